//! An entry's report on its batch of one account.

use config::ids::AccountId;
use serde::{Deserialize, Serialize};

/// The units of a batch that an entry returns to the leader, and the units that it needs next.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The account.
    pub account: AccountId,
    /// Units of the last batch that were not spent; 0 if its lease has expired.
    pub unspent: f64,
    /// Units that the next request needs; a grant covers them or is empty.
    pub wanted: f64,
}
