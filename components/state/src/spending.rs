//! Tokens that accounts spent within the last window of their limits, recorded so that a new leader
//! can continue from them.

use config::ids::AccountId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// Tokens that were spent at about the same time.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Slice {
    /// Age in milliseconds when it was recorded.
    pub age_ms: u64,
    /// Tokens that were spent.
    pub tokens: f64,
}

/// Slices of the last window by account, oldest first.
pub type Slices = IndexMap<AccountId, Vec<Slice>>;

/// The newest record of what accounts spent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Spending {
    at: Millis,
    accounts: Slices,
}

impl Spending {
    /// Returns the leader's wall clock when it made the record.
    pub fn at(&self) -> Millis {
        self.at
    }

    /// Returns the slices of the accounts that used much of their limit.
    pub fn accounts(&self) -> &Slices {
        &self.accounts
    }

    /// Replaces the record.
    pub(crate) fn record(&mut self, at: Millis, accounts: Slices) {
        *self = Spending { at, accounts };
    }
}
