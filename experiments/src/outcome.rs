//! Results of a run.

use crate::{Micros, SECOND};

/// Latency target for the first token.
const FIRST_TOKEN_TARGET: Micros = 12 * SECOND / 10;
/// Latency target between two tokens.
const BETWEEN_TOKENS_TARGET: Micros = 40_000;

/// Counts and price of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Requests that arrived after the warm-up.
    pub requests: usize,
    /// Requests answered within both latency targets.
    pub within_targets: usize,
    /// Requests answered whose first token missed its target.
    pub late: usize,
    /// Requests answered whose mean time between tokens missed its target.
    pub slow: usize,
    /// Requests neither refused nor answered to the end; 0 in a correct run.
    pub unanswered: usize,
    /// Requests refused.
    pub refused: usize,
    /// Prompt tokens computed although an engine had computed them before.
    pub recomputed_tokens: u64,
    /// Price of the fleet per hour, at the start of the run.
    pub price: f64,
}

impl Outcome {
    /// Returns the share of requests within both targets.
    pub fn share_within_targets(&self) -> f64 {
        self.within_targets as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of requests whose first token missed its target.
    pub fn share_late(&self) -> f64 {
        self.late as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of requests whose time between tokens missed its target.
    pub fn share_slow(&self) -> f64 {
        self.slow as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of requests refused.
    pub fn share_refused(&self) -> f64 {
        self.refused as f64 / self.requests.max(1) as f64
    }

    /// Returns the recomputed tokens per request that was not refused.
    pub fn recomputed_per_request(&self) -> f64 {
        self.recomputed_tokens as f64 / (self.requests - self.refused).max(1) as f64
    }
}

/// Progress of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    /// Time of the first token.
    pub(crate) first: Option<Micros>,
    /// Time of the last token.
    pub(crate) last: Option<Micros>,
    pub(crate) refused: bool,
    /// Current dispatch that the router counts.
    pub(crate) dispatch: Option<Dispatch>,
    /// Refusals by engines so far.
    pub(crate) refusals: usize,
}

/// Request at an engine, as the entry's router counts it.
#[derive(Clone, Debug)]
pub(crate) struct Dispatch {
    pub(crate) entry: usize,
    pub(crate) at: Micros,
    pub(crate) choice: routing::Choice,
    /// Whether its first token was recorded.
    pub(crate) has_first_token: bool,
}

impl Progress {
    /// Adds a request of `tokens` tokens that arrived at `arrived` to `outcome`.
    pub(crate) fn add_to(&self, arrived: Micros, tokens: usize, outcome: &mut Outcome) {
        outcome.requests += 1;
        outcome.refused += usize::from(self.refused);
        if self.refused {
            return;
        }
        let Some((first, last)) = self.first.zip(self.last) else {
            outcome.unanswered += 1;
            return;
        };
        let between = (last - first) / tokens.saturating_sub(1).max(1) as u64;
        let late = first - arrived > FIRST_TOKEN_TARGET;
        let slow = between > BETWEEN_TOKENS_TARGET;
        outcome.late += usize::from(late);
        outcome.slow += usize::from(slow);
        outcome.within_targets += usize::from(!late && !slow);
    }
}
