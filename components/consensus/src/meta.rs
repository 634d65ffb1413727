//! What a snapshot stands for.

use serde::{Deserialize, Serialize};

use crate::{Mark, Membership};

/// The last entry that a snapshot holds, and the membership as of it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Meta {
    /// Last entry whose effect the snapshot holds.
    pub mark: Mark,
    /// Membership as of that entry.
    pub membership: Membership,
}
