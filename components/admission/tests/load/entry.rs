//! An emulated entry: it decides by the newest plan and by what it knows of the engines.

use std::time::{Duration, Instant};

use admission::{Class, Demand, MAX_PLAN_AGE, Plan, Report, Row, Totals};
use indexmap::IndexMap;

/// Longest expected wait by rank, relative to the target.
const MAX_WAIT_PER_TARGET: [f64; 3] = [0.9, 0.7, 0.5];
/// Wait up to which an engine counts as idle, relative to the target.
const IDLE_WAIT: f64 = 0.1;
/// Average wait up to which the engines have room, by rank, relative to the target.
const ROOM_WAIT: [f64; 3] = [0.12, 0.08, 0.05];

/// Requests and time for prompts at one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Held {
    pub(crate) requests: f64,
    pub(crate) waiting_ms: f64,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) own: Vec<Held>,
    pub(crate) reported: Vec<Held>,
    others: Vec<Held>,
    totals: IndexMap<Class, Totals>,
    pub(crate) begun: u64,
    pub(crate) late: u64,
    plan: Option<(Plan, Instant)>,
}

/// A request that an entry decides about.
pub(crate) struct Asked<'a> {
    pub(crate) class: Class,
    pub(crate) hash: u64,
    pub(crate) demand: Demand,
    pub(crate) target_ms: f64,
    pub(crate) usable: &'a [usize],
    pub(crate) places: f64,
    pub(crate) serving: f64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Decision {
    Sent(usize),
    RefusedByPlan,
    RefusedLocally,
}

impl Entry {
    pub(crate) fn new(engines: usize) -> Self {
        Entry {
            own: vec![Held::default(); engines],
            reported: vec![Held::default(); engines],
            others: vec![Held::default(); engines],
            totals: IndexMap::new(),
            begun: 0,
            late: 0,
            plan: None,
        }
    }

    pub(crate) fn decide(&mut self, asked: &Asked<'_>, now: Instant) -> Decision {
        let totals = self.totals.entry(asked.class).or_default();
        totals.requests += 1;
        totals.compute_ms += asked.demand.compute_ms as u64;
        totals.place_ms += asked.demand.place_ms as u64;
        let held = |engine: &usize| Held {
            requests: self.own[*engine].requests + self.others[*engine].requests,
            waiting_ms: self.own[*engine].waiting_ms + self.others[*engine].waiting_ms,
        };
        let wait_ms = |held: Held| {
            let beyond = (held.requests + 1.0 - asked.places).max(0.0) / asked.places;
            held.waiting_ms + beyond * asked.demand.place_ms
        };
        let engines = asked.usable.iter().copied();
        let best = engines.min_by(|a, b| {
            wait_ms(held(a))
                .total_cmp(&wait_ms(held(b)))
                .then(held(a).requests.total_cmp(&held(b).requests))
        });
        let Some(best) = best else {
            return Decision::RefusedLocally;
        };
        let wait_ms = wait_ms(held(&best));
        let is_idle = wait_ms <= IDLE_WAIT * asked.target_ms && self.has_room(asked);
        let plan = self.plan.as_ref();
        let plan = plan.filter(|(_, at)| now.saturating_duration_since(*at) < MAX_PLAN_AGE);
        if !is_idle && plan.is_some_and(|(plan, _)| !plan.admits(asked.class, asked.hash)) {
            return Decision::RefusedByPlan;
        }
        let bound = MAX_WAIT_PER_TARGET[usize::from(asked.class.rank).min(2)] * asked.target_ms;
        if wait_ms + asked.demand.compute_ms > bound {
            return Decision::RefusedLocally;
        }
        self.own[best].requests += 1.0;
        self.own[best].waiting_ms += asked.demand.compute_ms;
        Decision::Sent(best)
    }

    /// Reports whether all engines together have room.
    fn has_room(&self, asked: &Asked<'_>) -> bool {
        let held = self.own.iter().chain(&self.others);
        let (requests, waiting_ms) = held.fold((0.0, 0.0), |(requests, waiting_ms), held| {
            (requests + held.requests, waiting_ms + held.waiting_ms)
        });
        let bound = ROOM_WAIT[usize::from(asked.class.rank).min(2)] * asked.target_ms;
        waiting_ms / asked.serving <= bound && requests * 2.0 < asked.serving * asked.places
    }

    pub(crate) fn report(&mut self) -> Report {
        self.reported = self.own.clone();
        let rows = self.totals.iter();
        Report {
            is_whole: true,
            rows: rows
                .map(|(class, totals)| Row {
                    class: *class,
                    totals: *totals,
                })
                .collect(),
            begun: self.begun,
            late: self.late,
        }
    }

    /// Takes the sums over all entries, and the plan.
    pub(crate) fn apply(&mut self, all: &[Held], plan: Option<&Plan>, now: Instant) {
        for ((others, all), reported) in self.others.iter_mut().zip(all).zip(&self.reported) {
            others.requests = (all.requests - reported.requests).max(0.0);
            others.waiting_ms = (all.waiting_ms - reported.waiting_ms).max(0.0);
        }
        self.plan = plan.map(|plan| (plan.clone(), now));
    }

    /// Spreads the work of the others evenly, since it is too old.
    pub(crate) fn even_out(&mut self) {
        let count = self.others.len() as f64;
        let requests = self.others.iter().map(|held| held.requests).sum::<f64>() / count;
        let waiting_ms = self.others.iter().map(|held| held.waiting_ms).sum::<f64>() / count;
        self.others.fill(Held {
            requests,
            waiting_ms,
        });
    }

    pub(crate) const MAX_WORK_AGE: Duration = Duration::from_secs(1);
}
