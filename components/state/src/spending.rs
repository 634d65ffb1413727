//! What accounts spent lately of their token limits, so that a leader that knows nothing of before
//! goes on from there.

use config::ids::AccountId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// Tokens that were spent about the same time.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Slice {
    /// Age in milliseconds when it was recorded.
    pub age_ms: u64,
    /// Tokens.
    pub tokens: f64,
}

/// What accounts spent within a window, oldest first.
pub type Slices = IndexMap<AccountId, Vec<Slice>>;

/// The newest record of a leader.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Spending {
    at: Millis,
    accounts: Slices,
}

impl Spending {
    /// Returns when the leader recorded it, by its wall clock.
    pub fn at(&self) -> Millis {
        self.at
    }

    /// Returns what was recorded of the accounts that spent much of their limit.
    pub fn accounts(&self) -> &Slices {
        &self.accounts
    }

    /// Replaces the record.
    pub(crate) fn record(&mut self, at: Millis, accounts: Slices) {
        *self = Spending { at, accounts };
    }
}
