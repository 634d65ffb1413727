//! The buckets of all accounts, kept by the leader.

use std::time::Instant;

use config::Text;
use config::ids::NodeId;
use config::text::Account;

use crate::{Draw, Grant, Limit, Meter, Policy};

/// One [`Meter`] for each kind of [`Limit`].
#[derive(Clone, Debug)]
pub struct Accounts {
    requests: Meter,
    tokens: Meter,
}

/// Largest batch of the token limit; a request takes hundreds of tokens, not one unit.
const MAX_TOKEN_BATCH: f64 = 100_000.0;

impl Default for Accounts {
    fn default() -> Self {
        Accounts {
            requests: Meter::new(Policy::default()),
            tokens: Meter::new(Policy {
                max_batch: MAX_TOKEN_BATCH,
                ..Policy::default()
            }),
        }
    }
}

impl Accounts {
    /// Grants `entry` a batch under the limits of `text`. The grant is empty if the text has no
    /// such account.
    pub fn draw(&mut self, entry: &NodeId, draw: &Draw, text: &Text, now: Instant) -> Grant {
        let account = text.accounts.get(&draw.report.account);
        let (meter, rate) = match draw.limit {
            Limit::Requests => (&mut self.requests, rate(account, |a| a.requests_per_second)),
            Limit::Tokens => (&mut self.tokens, rate(account, |a| a.tokens_per_second)),
        };
        match rate {
            Some(rate) => meter.draw(entry, &draw.report, rate, now),
            None => Grant::empty(),
        }
    }

    /// Drops the buckets of accounts that `text` does not have.
    pub fn retain(&mut self, text: &Text) {
        self.requests
            .retain(|name| text.accounts.contains_key(name));
        self.tokens.retain(|name| text.accounts.contains_key(name));
    }
}

fn rate(account: Option<&Account>, limit: impl Fn(&Account) -> f64) -> Option<f64> {
    account.map(limit)
}
