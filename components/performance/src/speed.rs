//! Speed of one upstream, learned from the times of its answers and corrected by what it states.

use std::time::{Duration, Instant};

use crate::{Evidence, Moment, Statements};

/// Bounds of a speed.
const MIN_SPEED: f64 = 0.25;
const MAX_SPEED: f64 = 4.0;
/// Evidence, in answers, that counts for the usual speed. It keeps the first few answers, some of
/// which come from busy moments, from moving the speed far.
const USUAL_WEIGHT: f64 = 2.0;
/// Largest deviation of an answer from the estimate, as a logarithm, that counts in full: a factor of
/// two. What deviates more says little of the upstream's speed.
const MAX_DEVIATION: f64 = 0.7;

/// Speed of one process of an upstream at one entry. 1.0 is the usual speed of its service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    /// Answers that this entry saw.
    own: Evidence,
    /// The same as of this entry's last report.
    reported: Evidence,
    /// Answers that the other entries saw, as last received.
    others: Evidence,
    /// When the evidence was last decayed.
    decayed_at: Option<Instant>,
    statements: Statements,
    /// Logarithm that all speeds of the service have on average.
    usual: f64,
}

impl Speed {
    /// Records an answer that took `1 / ratio` times as long as is usual in the service. A ratio that
    /// is not a positive number is ignored.
    pub fn record_answer(&mut self, ratio: f64, now: Instant) {
        let log = ratio.ln();
        if !log.is_finite() {
            return;
        }
        self.decay(now);
        let average = self.average();
        // Known slow and fast moments are taken out, so that what remains is the average.
        let corrected = log - self.statements.correction(now);
        self.statements.record_answer(log - average, now);
        let deviation = (corrected - average).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.own.add(average + deviation);
    }

    /// Records the slowdown that the upstream states, where 100 is the usual.
    pub fn record_slowdown(&mut self, slowdown: f64, now: Instant) {
        self.statements.record(slowdown, now);
    }

    /// Returns the speed.
    pub fn value(&self, now: Instant) -> f64 {
        let log = self.average() - self.usual + self.statements.correction(now);
        log.exp().clamp(MIN_SPEED, MAX_SPEED)
    }

    /// Returns the evidence of this entry, for a report to the leader.
    pub fn report(&mut self, now: Instant) -> Evidence {
        self.decay(now);
        self.reported = self.own;
        self.own
    }

    /// Applies the evidence of all entries, which includes this entry's last report.
    pub fn apply(&mut self, all: Evidence, now: Instant) {
        self.decay(now);
        self.others = all.without(self.reported);
    }

    /// Returns what follows from the newest statement to this entry, for a report to the leader.
    pub fn moment(&self) -> Option<Moment> {
        self.statements.moment()
    }

    /// Applies what follows from the newest statement to another entry; `None` for nothing.
    pub fn receive(&mut self, moment: Option<Moment>) {
        self.statements.receive(moment);
    }

    /// Takes the average of the service's speeds, as a logarithm, as the usual one.
    pub fn set_usual(&mut self, usual: f64) {
        self.usual = usual;
    }

    /// Returns the logarithm of the speed between statements, before the usual one is taken out.
    pub fn average(&self) -> f64 {
        let usual = Evidence::new(USUAL_WEIGHT, self.usual);
        self.own.with(self.others).with(usual).average()
    }

    fn decay(&mut self, now: Instant) {
        let since = self.decayed_at.replace(now);
        let age = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        for evidence in [&mut self.own, &mut self.reported, &mut self.others] {
            evidence.decay(age);
        }
    }
}
