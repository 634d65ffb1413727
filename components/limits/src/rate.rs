//! The token limit of an account.

use std::time::Duration;

use config::text::Account;

/// A token limit: a steady rate and a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Tokens per second.
    pub per_second: f64,
    /// Tokens that may be spent in each window in addition to the steady rate.
    pub burst: f64,
}

impl Rate {
    /// Returns the tokens that may be spent in a window of this length.
    pub fn within(&self, window: Duration) -> f64 {
        self.per_second * window.as_secs_f64() + self.burst
    }
}

/// Returns the token limit of an account, or `None` if it has none. The burst defaults to the
/// tokens of one second.
pub fn token_rate(account: &Account) -> Option<Rate> {
    let per_second = account.tokens_per_second;
    per_second.is_finite().then(|| Rate {
        per_second,
        burst: account.token_burst.unwrap_or(per_second),
    })
}
