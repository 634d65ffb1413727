//! The limit that an upstream names in its answers.

use std::time::Instant;

/// What an upstream last said about its limit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Limit {
    /// Requests a second from all entries together; `None` for no limit.
    rate: Option<f64>,
    /// When it was said.
    at: Option<Instant>,
}

impl Limit {
    /// Records what the answer to a request that was sent at `sent_at` says, and reports whether
    /// that is a change. An answer without a limit may be older than one that names it, unless its
    /// request was sent later.
    pub(super) fn record(&mut self, rate: Option<f64>, sent_at: Instant, now: Instant) -> bool {
        let is_older = self.at.is_some_and(|at| sent_at < at);
        if rate.is_none() && (self.rate.is_none() || is_older) {
            return false;
        }
        self.at = Some(now);
        std::mem::replace(&mut self.rate, rate) != rate
    }
}
