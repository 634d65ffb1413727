//! What an account may spend of a limit that all entries share, where each entry admits by itself
//! and tells the others afterwards.
//!
//! An entry that admits on news which are some hundred milliseconds old can let an account go
//! beyond its limit; the balance then goes below zero, and what was taken too much is missing
//! later. In exchange no request waits for an answer of the leader, and none is refused while any
//! part of the limit is left anywhere.

use std::time::{Duration, Instant};

use config::text::Account;

/// A steady rate with a burst, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Tokens per second.
    pub per_second: f64,
    /// Tokens that can be spent at once after a pause.
    pub burst: f64,
}

/// Returns the token limit of an account; `None` if it has none.
pub fn tokens(account: &Account) -> Option<Rate> {
    let per_second = account.tokens_per_second;
    per_second.is_finite().then(|| Rate {
        per_second,
        burst: account.token_burst.unwrap_or(per_second),
    })
}

/// Tokens that an account may spend now; below zero after it went beyond its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    rate: Rate,
    tokens: f64,
    at: Instant,
}

impl Balance {
    /// Starts with the whole burst.
    pub fn full(rate: Rate, now: Instant) -> Self {
        Balance {
            rate,
            tokens: rate.burst,
            at: now,
        }
    }

    /// Starts with what another process told.
    pub fn told(rate: Rate, tokens: f64, now: Instant) -> Self {
        Balance {
            rate,
            tokens,
            at: now,
        }
    }

    /// Changes the limit from `now` on.
    pub fn set(&mut self, rate: Rate, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(rate.burst);
    }

    /// Takes `tokens` off, whether they are there or not.
    pub fn spend(&mut self, tokens: f64, now: Instant) {
        self.fill(now);
        self.tokens = (self.tokens - tokens).max(-self.rate.burst);
    }

    /// Returns the tokens that may be spent.
    pub fn available(&mut self, now: Instant) -> f64 {
        self.fill(now);
        self.tokens
    }

    /// Takes `tokens` if the balance covers them, or if it is full; reports whether it did.
    pub fn take(&mut self, tokens: f64, now: Instant) -> bool {
        self.fill(now);
        let covered = self.tokens >= tokens.min(self.rate.burst);
        if covered {
            self.tokens -= tokens;
        }
        covered
    }

    /// Returns the time until `tokens` can be taken, if nobody else spends.
    pub fn wait(&mut self, tokens: f64, now: Instant) -> Duration {
        self.fill(now);
        let missing = (tokens.min(self.rate.burst) - self.tokens).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate.per_second).unwrap_or(Duration::MAX)
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        let filled = self.tokens + passed * self.rate.per_second;
        self.tokens = filled.min(self.rate.burst);
        self.at = self.at.max(now);
    }
}
