//! The leader's plan for one service.

use std::time::{Duration, Instant};

use config::duration::bounded;
use indexmap::IndexMap;

use crate::capacity::Capacity;
use crate::division::{self, RankShares};
use crate::ledger::Ledger;
use crate::{AccountKey, Demand, Load, Plan, Process, Report, Supply};

/// Time after the start of a leader in which it hears of all entries.
const LEARNING_TIME: Duration = Duration::from_secs(1);
/// Shortest time between two plans.
const PERIOD: Duration = Duration::from_millis(250);
/// Part of the way to the newest shares that the plan goes in a period.
const APPROACH: f64 = 0.5;
/// Share from which on a class counts as admitted whole.
const NEARLY_ALL: f64 = 0.985;
/// Time after which callers retry for each unit of the demand beyond the capacity, relative to it.
const RETRY_PER_EXCESS: Duration = Duration::from_millis(1_500);
/// Bounds of the average time after which callers retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(8);

/// Plans the shares of one service's requests that are admitted.
#[derive(Clone, Debug)]
pub struct Planner {
    started: Instant,
    ledger: Ledger,
    capacity: Capacity,
    /// Shares of the last plan, before they were rounded.
    shares: IndexMap<u8, RankShares>,
    plan: Plan,
    planned_at: Option<Instant>,
}

impl Planner {
    /// Creates the planner of a new leader.
    pub fn new(now: Instant) -> Self {
        Planner {
            started: now,
            ledger: Ledger::new(now),
            capacity: Capacity::default(),
            shares: IndexMap::new(),
            plan: Plan::default(),
            planned_at: None,
        }
    }

    /// Records the report of a process of an entry.
    pub fn record(&mut self, process: &Process, report: &Report, now: Instant) {
        self.ledger.record(process, report, now);
    }

    /// Reports whether the next plan is due.
    pub fn is_due(&self, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        since(self.started) >= LEARNING_TIME && self.planned_at.is_none_or(|at| since(at) >= PERIOD)
    }

    /// Makes the next plan, for engines that are under `load`. Without engines nothing is planned, as
    /// there is none that could be overloaded.
    pub fn plan(&mut self, supply: &Supply, load: &Load, now: Instant) -> &Plan {
        self.ledger.drop_old(now);
        self.planned_at = Some(now);
        if supply.speed <= 0.0 {
            self.plan = Plan::default();
            return &self.plan;
        }
        let answers = self.ledger.answers(now);
        let demands = self.ledger.demands(now);
        let all = demands.values().fold(Demand::default(), |sum, d| sum + *d);
        let is_short = !all.fits(&self.capacity.per_second(supply, load));
        self.capacity.correct(supply, load, answers, is_short);
        let capacity = self.capacity.per_second(supply, load);
        let newest = division::divide(&demands, &capacity);
        self.shares = approach(&self.shares, newest);
        self.plan = Plan::new(&self.shares, retry_after(&all, &capacity));
        &self.plan
    }

    /// Returns the newest plan; `None` while too little is known or after too long a time.
    pub fn newest(&self, now: Instant) -> Option<&Plan> {
        let age = now.saturating_duration_since(self.planned_at?);
        (age < crate::MAX_PLAN_AGE).then_some(&self.plan)
    }

    /// Returns the share of each rank's work that is admitted, from 0 to 1; all ranks with a demand are
    /// named.
    pub fn ranks(&self) -> impl Iterator<Item = (u8, f64)> {
        let ranks = self.shares.iter();
        ranks.map(|(rank, shares)| (*rank, shares.share))
    }

    /// Returns what the engines can take relative to what follows from their speed and places.
    pub fn capacity_factor(&self) -> f64 {
        self.capacity.factor()
    }
}

/// Returns the shares on the way from `before` to `newest`.
fn approach(
    before: &IndexMap<u8, RankShares>,
    newest: IndexMap<u8, RankShares>,
) -> IndexMap<u8, RankShares> {
    let step = |before: f64, newest: f64| match before + (newest - before) * APPROACH {
        share if newest >= 1.0 && share >= NEARLY_ALL => 1.0,
        share => share,
    };
    let rank = |(rank, newest): (u8, RankShares)| {
        let known = before.get(&rank);
        let share = step(known.map_or(1.0, |known| known.share), newest.share);
        let account = |(account, newest): (AccountKey, f64)| {
            let known = known.and_then(|known| known.accounts.get(&account).copied());
            (account, step(known.unwrap_or(1.0), newest))
        };
        let accounts = newest.accounts.into_iter().map(account).collect();
        (rank, RankShares { share, accounts })
    };
    newest.into_iter().map(rank).collect()
}

/// Returns the time after which callers should retry on average: the larger the demand is relative to
/// the capacity, the later.
fn retry_after(demand: &Demand, capacity: &Demand) -> Duration {
    let excess = (demand.dominant_part_of(capacity) - 1.0).max(0.0);
    let after = bounded(RETRY_PER_EXCESS.as_secs_f64() * excess);
    after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
