//! Classes of requests, by which shares are planned.

use xxhash_rust::xxh3::xxh3_64;

/// Hash of the name of a client account; names would take most of what an overview carries.
pub type AccountKey = u32;

/// Highest rank that is told apart; requests of higher ones count as this.
pub const MAX_RANK: u8 = 7;

/// Maximum number of classes of a service that are told apart, at an entry and at the leader.
pub const MAX_CLASSES: usize = 256;

/// Key of all accounts beyond those that are told apart.
pub(crate) const OTHERS: AccountKey = AccountKey::MAX;

/// Requests of one rank and account.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Class {
    /// Rank, at most [`MAX_RANK`]; 0 is the most urgent.
    pub rank: u8,
    /// Account.
    pub account: AccountKey,
}

impl Class {
    /// Returns the class of requests of an account; `None` for requests without one.
    pub fn new(rank: u8, account: Option<&str>) -> Self {
        Class {
            rank: rank.min(MAX_RANK),
            account: account_key(account),
        }
    }

    /// Returns the class for the accounts of the rank that are not told apart.
    pub fn others(self) -> Self {
        Class {
            account: OTHERS,
            ..self
        }
    }
}

/// Returns the key of an account; `None` for requests without one.
pub fn account_key(account: Option<&str>) -> AccountKey {
    let hash = xxh3_64(account.unwrap_or_default().as_bytes()) as AccountKey;
    hash.min(OTHERS - 1)
}
