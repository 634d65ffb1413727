//! What is admitted of each class, and the decision about a request.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::division::RankShares;
use crate::{AccountKey, Class};

/// Age from which on a plan says nothing of the present load.
pub const MAX_PLAN_AGE: Duration = Duration::from_secs(2);

/// Largest number of accounts that a plan lists; it is sent to each entry several times per second.
const MAX_LISTED: usize = 96;
/// Share that stands for all, in the unit of a plan.
const WHOLE: u16 = 1_000;

/// Shares of the requests for one service that are admitted, in permille. While all demand fits, it
/// is empty. It is encoded as a list of its fields in their order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Encoded", into = "Encoded")]
pub struct Plan {
    /// By rank, the most urgent one first, the share of all its work and that of accounts that are not
    /// listed.
    ranks: Vec<(u8, u16, u16)>,
    /// By rank and account, the share of those that differ from the others of their rank.
    accounts: Vec<(u8, AccountKey, u16)>,
    /// Time after which callers should retry, on average, in milliseconds.
    retry_after_ms: u32,
}

type Encoded = (Vec<(u8, u16, u16)>, Vec<(u8, AccountKey, u16)>, u32);

impl From<Encoded> for Plan {
    fn from((ranks, accounts, retry_after_ms): Encoded) -> Self {
        Plan {
            ranks,
            accounts,
            retry_after_ms,
        }
    }
}

impl From<Plan> for Encoded {
    fn from(plan: Plan) -> Self {
        (plan.ranks, plan.accounts, plan.retry_after_ms)
    }
}

/// Returns the hash of a request by which it is decided about.
pub fn hash(request: &str) -> u64 {
    xxh3_64(request.as_bytes())
}

impl Plan {
    pub(crate) fn new(shares: &IndexMap<u8, RankShares>, retry_after: Duration) -> Self {
        let mut plan = Plan {
            retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
            ..Plan::default()
        };
        if shares.values().all(|rank| permille(rank.share) >= WHOLE) {
            return plan;
        }
        for (rank, shares) in shares {
            let unlisted = permille(shares.unlisted());
            plan.ranks.push((*rank, permille(shares.share), unlisted));
            let rows = shares.accounts.iter();
            let rows = rows.map(|(account, share)| (*rank, *account, permille(*share)));
            let differing = rows.filter(|(_, _, share)| *share != unlisted);
            plan.accounts.extend(differing);
        }
        plan.accounts.sort_by_key(|(_, _, share)| *share);
        if plan.accounts.len() > MAX_LISTED {
            plan.accounts.truncate(MAX_LISTED);
            for (_, share, unlisted) in &mut plan.ranks {
                *unlisted = (*share).min(*unlisted);
            }
        }
        plan
    }

    /// Reports whether all requests are admitted.
    pub fn admits_all(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Returns the share of each rank's work that is admitted, the most urgent rank first, from 0 to
    /// 1. A rank that is not named is admitted.
    pub fn ranks(&self) -> impl Iterator<Item = (u8, f64)> {
        let ranks = self.ranks.iter();
        ranks.map(|(rank, share, _)| (*rank, fraction(*share)))
    }

    /// Returns the share of a class that is admitted, from 0 to 1.
    pub fn share(&self, class: Class) -> f64 {
        let mut rows = self.accounts.iter();
        let listed =
            rows.find(|(rank, account, _)| (*rank, *account) == (class.rank, class.account));
        let mut ranks = self.ranks.iter();
        let share = match listed {
            Some((_, _, share)) => Some(*share),
            None => {
                let rank = ranks.find(|(rank, _, _)| *rank == class.rank);
                rank.map(|(_, _, unlisted)| *unlisted)
            }
        };
        fraction(share.unwrap_or(WHOLE))
    }

    /// Decides on a request by the lower half of its [`hash`].
    pub fn admits(&self, class: Class, hash: u64) -> bool {
        let point = f64::from(hash as u32) / (f64::from(u32::MAX) + 1.0);
        point < self.share(class)
    }

    /// Returns the time after which the caller of a refused request should retry: between half and one
    /// and a half of the average, by the upper half of its [`hash`], so that callers don't return
    /// together.
    pub fn retry_after(&self, hash: u64) -> Duration {
        let spread = f64::from((hash >> 32) as u32) / f64::from(u32::MAX);
        let average = Duration::from_millis(u64::from(self.retry_after_ms));
        average.mul_f64(0.5 + spread)
    }
}

fn permille(share: f64) -> u16 {
    (share.clamp(0.0, 1.0) * f64::from(WHOLE)).round() as u16
}

fn fraction(share: u16) -> f64 {
    f64::from(share) / f64::from(WHOLE)
}
