//! Division of what engines can take among ranks and accounts.

use indexmap::IndexMap;

use crate::class::OTHERS;
use crate::{AccountKey, Class, Demand};

/// Share of each rank that is admitted whatever the more urgent ones ask for.
const RANK_FLOOR: f64 = 1.0 / 3.0;
/// Factor of the square of the part of all demand that fits, which bounds the floor: it is reached while
/// less than half fits. More urgent ranks are then served first with most of what there is.
const FLOOR_PER_SQUARE: f64 = 4.0 / 3.0;
/// Floor relative to the part of all demand that fits; a quarter is what a rank must get.
const MIN_FLOOR: f64 = 0.3;
/// Share of an account that is admitted whatever the other accounts of the rank ask for, relative to
/// the share of all requests; a quarter is what an account must get.
const ACCOUNT_FLOOR: f64 = 0.3;
/// Halvings by which the level of fair shares is found; the last one is far below a permille.
const LEVEL_STEPS: u32 = 30;

/// What is admitted of one rank.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RankShares {
    /// Share of all its work.
    pub(crate) share: f64,
    /// Share of each account.
    pub(crate) accounts: IndexMap<AccountKey, f64>,
}

impl RankShares {
    /// Returns the share of accounts that are not told apart. If all are, the demand of another one is
    /// too new to be known, and within any fair share.
    pub(crate) fn unlisted(&self) -> f64 {
        self.accounts.get(&OTHERS).copied().unwrap_or(1.0)
    }
}

/// Divides `capacity` among the classes: more urgent ranks first, and equally among the accounts of a
/// rank, of which none gets more than it asks for.
pub(crate) fn divide(
    demands: &IndexMap<Class, Demand>,
    capacity: &Demand,
) -> IndexMap<u8, RankShares> {
    let mut ranks: IndexMap<u8, Vec<(AccountKey, Demand)>> = IndexMap::new();
    for (class, demand) in demands {
        let accounts = ranks.entry(class.rank).or_default();
        accounts.push((class.account, *demand));
    }
    ranks.sort_unstable_keys();
    let sums: Vec<Demand> = ranks.values().map(|accounts| sum(accounts)).collect();
    let shares = rank_shares(&sums, capacity);
    let admitted: f64 = sums.iter().zip(&shares).map(|(d, s)| d.requests * s).sum();
    let requests: f64 = sums.iter().map(|demand| demand.requests).sum();
    let overall = admitted / requests.max(f64::MIN_POSITIVE);
    let divided = ranks.into_iter().zip(shares);
    divided
        .map(|((rank, accounts), share)| {
            let floor = (overall * ACCOUNT_FLOOR).min(share);
            let accounts = account_shares(&accounts, share, floor, capacity);
            (rank, RankShares { share, accounts })
        })
        .collect()
}

fn sum(accounts: &[(AccountKey, Demand)]) -> Demand {
    let demands = accounts.iter().map(|(_, demand)| *demand);
    demands.fold(Demand::default(), |sum, demand| sum + demand)
}

/// Returns the share of each rank, of which `demands` are the sums, the most urgent one first.
fn rank_shares(demands: &[Demand], capacity: &Demand) -> Vec<f64> {
    let all = demands.iter().fold(Demand::default(), |sum, d| sum + *d);
    if all.fits(capacity) {
        return vec![1.0; demands.len()];
    }
    let fitting = all.part_in(capacity);
    let floor = (fitting * fitting * FLOOR_PER_SQUARE).max(fitting * MIN_FLOOR);
    let floor = floor.min(RANK_FLOOR);
    let mut room = *capacity - all * floor;
    let mut most = 1.0 - floor;
    let share = |demand: &Demand| {
        most = demand.part_in(&room).min(most);
        room = room - *demand * most;
        floor + most
    };
    demands.iter().map(share).collect()
}

/// Returns the share of each account of a rank of which `share` is admitted: each is admitted up to
/// the same part of the capacity, and at least `floor` of what it asks for. The accounts that are not
/// told apart get the share of the rank, as they would get little as a single account.
fn account_shares(
    accounts: &[(AccountKey, Demand)],
    share: f64,
    floor: f64,
    capacity: &Demand,
) -> IndexMap<AccountKey, f64> {
    let part = |demand: &Demand| demand.dominant_part_of(capacity);
    let share_at = |(account, demand): &(AccountKey, Demand), level: f64| {
        if *account == OTHERS {
            return share;
        }
        let fair = level / part(demand).max(f64::MIN_POSITIVE);
        fair.min(1.0).max(floor)
    };
    let room = sum(accounts) * share;
    let fits = |level: f64| {
        let admitted = accounts.iter().map(|row| row.1 * share_at(row, level));
        let admitted = admitted.fold(Demand::default(), |sum, demand| sum + demand);
        admitted.fits(&room)
    };
    let highest = accounts.iter().map(|(_, d)| part(d)).fold(0.0, f64::max);
    let level = match share >= 1.0 {
        true => highest,
        false => largest_level(highest, fits),
    };
    let shares = accounts.iter();
    shares.map(|row| (row.0, share_at(row, level))).collect()
}

/// Returns the largest level up to `highest` that fits.
fn largest_level(highest: f64, fits: impl Fn(f64) -> bool) -> f64 {
    let halve = |(low, high): (f64, f64), _| {
        let middle = f64::midpoint(low, high);
        match fits(middle) {
            true => (middle, high),
            false => (low, middle),
        }
    };
    (0..LEVEL_STEPS).fold((0.0, highest), halve).0
}
