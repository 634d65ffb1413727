//! Probabilities of counts.

/// Smallest relative size of a term that is added to a sum.
const NEGLIGIBLE: f64 = 1e-9;

/// Returns the probability of `count` or more successes in `trials` independent trials that succeed
/// with probability `p`.
pub(crate) fn binomial_tail(trials: u64, count: u64, p: f64) -> f64 {
    let expected = trials as f64 * p;
    if count == 0 || count as f64 <= expected {
        return 1.0;
    }
    if count > trials || p <= 0.0 {
        return 0.0;
    }
    let (n, k) = (trials as f64, count as f64);
    let choose: f64 = (1..=count)
        .map(|i| ((n - k + i as f64) / i as f64).ln())
        .sum();
    let mut term = (choose + k * p.ln() + (n - k) * (1.0 - p).ln()).exp();
    let mut sum = 0.0;
    let mut at = k;
    // Terms only shrink beyond the expected number.
    while at <= n && term > sum * NEGLIGIBLE {
        sum += term;
        term *= (n - at) / (at + 1.0) * p / (1.0 - p);
        at += 1.0;
    }
    sum.min(1.0)
}
