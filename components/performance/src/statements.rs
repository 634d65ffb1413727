//! The slowdown that an upstream states in its answers.

use std::time::{Duration, Instant};

/// Time constant with which a statement loses its weight. Slow moments last some hundred milliseconds.
const LIFETIME: Duration = Duration::from_millis(300);
/// Slowdown that is stated at the usual speed.
const USUAL: f64 = 100.0;
/// Largest stated slowdown that is taken as true.
const MAX_SLOWDOWN: f64 = 10_000.0;
/// Largest logarithm of a stated slowdown that counts in full: what the bounds of a speed are apart.
const MAX_LOG: f64 = 2.8;
/// Weight of the newest statement in the average one, once there are as many as its inverse.
const NEWEST_WEIGHT: f64 = 0.05;
/// Statements of the usual slowdown that the average one starts with.
const FIRST_STATEMENTS: f64 = 2.0;
/// Spread of the statements, as a sum of squared logarithms, up to which they are trusted more than
/// the times that are taken: that of about two slow moments.
const TRUST: f64 = 1.0;
/// Part of that sum and of its relation to the times that remains with each answer.
const MEMORY: f64 = 0.95;

/// Deviation of an upstream's speed from its average one, as it follows from a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Moment {
    /// Logarithm of the factor by which the speed deviates.
    pub log: f64,
    /// When the statement was made.
    pub at: Instant,
}

/// Statements of one upstream. A correction follows from how far the newest one deviates from the
/// average one, so that an upstream that always states the same is not corrected, and from how far
/// the times followed earlier ones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Statements {
    /// Logarithm of the newest slowdown, relative to the usual one, and when it was stated.
    newest: Option<(f64, Instant)>,
    /// What follows from the newest statement to another entry.
    received: Option<Moment>,
    /// Average of the logarithms.
    average: f64,
    count: f64,
    /// Sum of the squared corrections that full trust would have made.
    spread: f64,
    /// Sum of the products of these corrections and the actual deviations.
    relation: f64,
}

impl Statements {
    /// Records a statement. Figures that are absurd count as not stated.
    pub(crate) fn record(&mut self, slowdown: f64, now: Instant) {
        if !(slowdown > 0.0 && slowdown <= MAX_SLOWDOWN) {
            return;
        }
        let log = (slowdown / USUAL).ln().clamp(-MAX_LOG, MAX_LOG);
        self.newest = Some((log, now));
        self.count += 1.0;
        let weight = (1.0 / (self.count + FIRST_STATEMENTS)).max(NEWEST_WEIGHT);
        self.average += (log - self.average) * weight;
    }

    /// Records that the logarithm of the speed deviated from its average by `deviation` in an answer.
    pub(crate) fn record_answer(&mut self, deviation: f64, now: Instant) {
        let stated = self.stated(now);
        self.spread = self.spread * MEMORY + stated * stated;
        self.relation = self.relation * MEMORY + stated * deviation;
    }

    /// Records what follows from the newest statement to another entry; `None` for nothing.
    pub(crate) fn receive(&mut self, moment: Option<Moment>) {
        self.received = moment
            .filter(|moment| moment.log.is_finite())
            .map(|moment| Moment {
                log: moment.log.clamp(-MAX_LOG, MAX_LOG),
                ..moment
            });
    }

    /// Returns the deviation of the logarithm of the speed from its average at this moment, by the newest
    /// statement.
    pub(crate) fn correction(&self, now: Instant) -> f64 {
        let (own, received) = (self.moment(), self.received);
        let newest = match (own, received) {
            (Some(own), Some(received)) if received.at > own.at => Some(received),
            (own, received) => own.or(received),
        };
        newest.map_or(0.0, |moment| moment.log * weight(moment.at, now))
    }

    /// Returns what follows from the newest statement to this entry.
    pub(crate) fn moment(&self) -> Option<Moment> {
        let (log, at) = self.newest?;
        let trust = (self.relation + TRUST) / (self.spread + TRUST);
        Some(Moment {
            log: (self.average - log) * trust.clamp(0.0, 1.0),
            at,
        })
    }

    /// Returns the deviation as it is stated, with the weight that the statement's age leaves it.
    fn stated(&self, now: Instant) -> f64 {
        self.newest
            .map_or(0.0, |(log, at)| (self.average - log) * weight(at, now))
    }
}

/// Returns the weight of a statement.
fn weight(at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    (-age / LIFETIME.as_secs_f64()).exp()
}
