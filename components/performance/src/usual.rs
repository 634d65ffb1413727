//! The usual relation of the expected times to the actual ones in one service.

/// Answers that the average spans.
const ANSWERS: f64 = 64.0;
/// Largest deviation of an answer that counts in full, as a logarithm.
const MAX_DEVIATION: f64 = 0.7;

/// Relation of the expected times to the actual ones, averaged over the answers of all upstreams of a
/// service at one entry. It takes what is wrong with the expectation alike for all of them out of
/// their speeds: one that is twice too long must not make all of them look fast.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usual {
    /// Average logarithm.
    log: f64,
    count: f64,
}

impl Usual {
    /// Records an answer that was expected to take `ratio` times as long as it did, and returns that
    /// ratio relative to the usual one. A ratio that is not a positive number is ignored.
    pub fn record(&mut self, ratio: f64) -> Option<f64> {
        let log = ratio.ln();
        if !log.is_finite() {
            return None;
        }
        self.count += 1.0;
        let deviation = match self.count {
            first if first <= 1.0 => log,
            _ => (log - self.log).clamp(-MAX_DEVIATION, MAX_DEVIATION),
        };
        self.log += deviation / self.count.min(ANSWERS);
        Some((log - self.log).exp())
    }
}
