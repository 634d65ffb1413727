//! What an entry tells the leader of one account.

use config::ids::AccountId;
use serde::{Deserialize, Serialize};

/// Returns what was not spent and asks for a new batch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The account.
    pub account: AccountId,
    /// Units of the last batch that were not spent; 0 where its lease has run out.
    pub unspent: f64,
    /// Units that the next request needs.
    pub wanted: f64,
}
