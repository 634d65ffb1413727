//! What an account may spend of a limit that all entries share, where each entry admits by itself
//! and tells the others afterwards.
//!
//! The limit holds for each span of a window's length: the steady rate over the window, and the
//! burst. Within it requests may come as they like, since a prompt can be as large as a second's
//! rate. An entry that admits on news which are some hundred milliseconds old can let an account
//! go beyond its limit; that is missing later. In exchange no request waits for an answer of the
//! leader, and none is refused while any part of the limit is left anywhere.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use config::text::Account;

/// Slices into which a window is divided; what was spent in one becomes free together.
const SLICES: u32 = 16;

/// A steady rate with a burst, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Tokens per second.
    pub per_second: f64,
    /// Tokens beyond the rate in each window.
    pub burst: f64,
}

impl Rate {
    /// Returns the tokens that may be spent within `window`.
    pub fn within(&self, window: Duration) -> f64 {
        self.per_second * window.as_secs_f64() + self.burst
    }
}

/// Returns the token limit of an account; `None` if it has none.
pub fn tokens(account: &Account) -> Option<Rate> {
    let per_second = account.tokens_per_second;
    per_second.is_finite().then(|| Rate {
        per_second,
        burst: account.token_burst.unwrap_or(per_second),
    })
}

/// What was spent within the last window, by all entries, as the leader knows it.
#[derive(Clone, Debug)]
pub struct Spent {
    window: Duration,
    slices: VecDeque<(Instant, f64)>,
}

impl Spent {
    /// Starts with nothing spent.
    pub fn new(window: Duration) -> Self {
        Spent {
            window,
            slices: VecDeque::new(),
        }
    }

    /// Starts as if the steady rate had been spent all the while, for a leader that does not know
    /// what was: an account keeps to its rate until what was before has left the window.
    pub fn unknown(rate: Rate, window: Duration, now: Instant) -> Self {
        let length = window / SLICES;
        let slice = |back: u32| {
            let began = now.checked_sub(length * back)?;
            Some((began, rate.per_second * length.as_secs_f64()))
        };
        Spent {
            window,
            slices: (1..=SLICES).rev().filter_map(slice).collect(),
        }
    }

    /// Counts tokens as spent now.
    pub fn add(&mut self, tokens: f64, now: Instant) {
        self.forget(now);
        let length = self.window / SLICES;
        match self.slices.back_mut() {
            Some((began, sum)) if now.saturating_duration_since(*began) < length => *sum += tokens,
            _ => self.slices.push_back((now, tokens)),
        }
    }

    /// Returns the tokens that are left of a limit; below zero after it was passed.
    pub fn left(&mut self, rate: Rate, now: Instant) -> f64 {
        self.forget(now);
        let spent: f64 = self.slices.iter().map(|(_, sum)| sum).sum();
        rate.within(self.window) - spent
    }

    fn forget(&mut self, now: Instant) {
        let over = self.window + self.window / SLICES;
        while let Some((began, _)) = self.slices.front() {
            if now.saturating_duration_since(*began) < over {
                break;
            }
            self.slices.pop_front();
        }
    }
}

/// What an account may spend, as an entry knows it from what the leader last told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    tokens: f64,
    told: Instant,
}

/// Time after the leader last told for which an entry waits before it counts on the steady rate.
const PATIENCE: Duration = Duration::from_millis(1_500);

impl Balance {
    /// Starts with what the leader told, or with a whole burst where it told nothing yet.
    pub fn new(tokens: f64, now: Instant) -> Self {
        Balance { tokens, told: now }
    }

    /// Takes `tokens` if the balance covers them, and reports whether it did. One of `entries` that
    /// hears nothing more of the leader goes on at its part of the rate.
    pub fn take(&mut self, tokens: f64, rate: Rate, entries: u32, now: Instant) -> bool {
        self.fill(rate, entries, now);
        let covered = self.tokens > 0.0 && self.tokens >= tokens.min(rate.burst);
        if covered {
            self.tokens -= tokens;
        }
        covered
    }

    /// Gives back tokens that were taken and not used.
    pub fn put_back(&mut self, tokens: f64) {
        self.tokens += tokens;
    }

    /// Returns the time until `tokens` can be taken at the steady rate.
    pub fn wait(&self, tokens: f64, rate: Rate) -> Duration {
        let missing = (tokens.min(rate.burst) - self.tokens).max(0.0);
        Duration::try_from_secs_f64(missing / rate.per_second).unwrap_or(Duration::MAX)
    }

    fn fill(&mut self, rate: Rate, entries: u32, now: Instant) {
        let silence = now.saturating_duration_since(self.told);
        if silence > PATIENCE {
            let gained = silence.as_secs_f64() * rate.per_second / f64::from(entries.max(1));
            self.tokens = (self.tokens + gained).min(rate.burst);
            self.told = now;
        }
    }
}
