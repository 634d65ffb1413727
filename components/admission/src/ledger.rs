//! The demand for one service, from the totals of all entries.

use std::time::{Duration, Instant};

use config::ids::{Incarnation, NodeId};
use indexmap::IndexMap;
use indexmap::map::Entry;

use crate::class::{MAX_CLASSES, MAX_RANK};
use crate::rate::Rate;
use crate::{Class, Demand, Report, Row, Totals};

/// Process of an entry.
pub type Process = (NodeId, Incarnation);

/// Time constant of the demand of a rank. It is short, so that a load that doubles is noticed
/// within a second.
const RANK_TIME: Duration = Duration::from_millis(750);
/// Time constant of the division of a rank's demand among its accounts, of which each sends few
/// requests in that time.
const ACCOUNT_TIME: Duration = Duration::from_millis(2_500);
/// Time constant of the share of late answers.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);
/// Time after a process's last report from which on its totals may be old and say nothing of the
/// present rate.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Time after the last request of a class, or the last report of a process, for which it is kept.
const RETENTION: Duration = Duration::from_secs(60);

/// Most classes that a process reports: those that it tells apart, and the others of each rank.
const MAX_REPORTED: usize = MAX_CLASSES + MAX_RANK as usize + 1;

/// The demand for one service by class.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    started: Instant,
    processes: IndexMap<Process, Known>,
    classes: IndexMap<Class, Rate>,
    ranks: IndexMap<u8, Rate>,
    /// Answers that began, as requests, and those of them that were late, as compute time.
    answers: Rate,
}

/// What a process reported last.
#[derive(Clone, Debug)]
struct Known {
    at: Instant,
    /// Whether it has reported all classes, so that another one is new.
    is_whole: bool,
    totals: IndexMap<Class, Totals>,
    begun: u64,
    late: u64,
}

impl Known {
    /// Replaces the totals of a class, and returns their rise; `None` if the former ones are not known.
    fn update(&mut self, row: &Row) -> Option<Demand> {
        let is_full = self.totals.len() >= MAX_REPORTED;
        match self.totals.entry(row.class) {
            Entry::Occupied(mut known) => Some(row.totals.since(&known.insert(row.totals))),
            Entry::Vacant(_) if is_full => None,
            Entry::Vacant(new) => {
                new.insert(row.totals);
                self.is_whole.then(|| row.totals.since(&Totals::default()))
            }
        }
    }
}

impl Ledger {
    pub(crate) fn new(now: Instant) -> Self {
        Ledger {
            started: now,
            processes: IndexMap::new(),
            classes: IndexMap::new(),
            ranks: IndexMap::new(),
            answers: Rate::new(now),
        }
    }

    /// Adds the rise of the totals of a process since its last report. Totals of a process that was
    /// not heard of lately only serve as a base.
    pub(crate) fn record(&mut self, process: &Process, report: &Report, now: Instant) {
        let before = self.processes.swap_remove(process);
        let is_recent = |known: &Known| now.saturating_duration_since(known.at) < REPORT_LIFETIME;
        let mut known = before.filter(is_recent).unwrap_or_else(|| Known {
            at: now,
            is_whole: false,
            totals: IndexMap::new(),
            begun: report.begun,
            late: report.late,
        });
        // What arrived since the last report did so half of that time ago on average. Without this, the
        // rates of a few entries would seem higher right after their reports.
        let age = now.saturating_duration_since(known.at) / 2;
        for row in &report.rows {
            if let Some(rise) = known.update(row) {
                self.add(row.class, rise, age, now);
            }
        }
        self.add_answers(&known, report, age, now);
        known.at = now;
        known.is_whole |= report.is_whole;
        (known.begun, known.late) = (report.begun, report.late);
        self.processes.insert(process.clone(), known);
    }

    /// Returns the demand per second by class.
    pub(crate) fn demands(&self, now: Instant) -> IndexMap<Class, Demand> {
        let rate = |rate: &Rate| rate.per_second(ACCOUNT_TIME, self.started, now);
        let mut sums: IndexMap<u8, Demand> = IndexMap::new();
        for (class, class_rate) in &self.classes {
            *sums.entry(class.rank).or_default() += rate(class_rate);
        }
        let demand = |(class, class_rate): (&Class, &Rate)| {
            let sum = sums.get(&class.rank)?.place_ms;
            let rank = self.ranks.get(&class.rank)?;
            let rank = rank.per_second(RANK_TIME, self.started, now).place_ms;
            let factor = rank / sum.max(f64::MIN_POSITIVE);
            Some((*class, rate(class_rate) * factor))
        };
        self.classes.iter().filter_map(demand).collect()
    }

    /// Returns how many answers begin per second, and how many of them late.
    pub(crate) fn answers(&self, now: Instant) -> (f64, f64) {
        let rate = self.answers.per_second(ANSWER_TIME, self.started, now);
        (rate.requests, rate.compute_ms)
    }

    /// Drops classes and processes that are gone.
    pub(crate) fn drop_old(&mut self, now: Instant) {
        let is_kept = |at: Instant| now.saturating_duration_since(at) < RETENTION;
        self.processes.retain(|_, known| is_kept(known.at));
        self.classes.retain(|_, rate| is_kept(rate.at()));
    }

    fn add(&mut self, class: Class, rise: Demand, age: Duration, now: Instant) {
        if rise == Demand::default() {
            return;
        }
        let others = self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&class);
        let class = match others {
            true => class.others(),
            false => class,
        };
        let new = || Rate::new(now);
        let rate = self.classes.entry(class).or_insert_with(new);
        rate.add(rise, age, ACCOUNT_TIME, now);
        let rank = self.ranks.entry(class.rank).or_insert_with(new);
        rank.add(rise, age, RANK_TIME, now);
    }

    fn add_answers(&mut self, before: &Known, report: &Report, age: Duration, now: Instant) {
        let rise = Demand {
            requests: report.begun.saturating_sub(before.begun) as f64,
            compute_ms: report.late.saturating_sub(before.late) as f64,
            place_ms: 0.0,
        };
        self.answers.add(rise, age, ANSWER_TIME, now);
    }
}
