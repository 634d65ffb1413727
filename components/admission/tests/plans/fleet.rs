//! A leader with one entry, whose callers ask for the same in each second.

use std::time::{Duration, Instant};

use admission::{Class, Load, Plan, Planner, Process, Report, Row, Supply, Totals};

pub(crate) const PERIOD: Duration = Duration::from_millis(250);

/// Returns engines that compute prompts for 0.8 s of each second with 80 places each.
pub(crate) fn supply(engines: f64) -> Supply {
    Supply {
        speed: engines,
        places: engines * 80.0,
        target: Duration::from_millis(500),
    }
}

/// Returns a load that gives no reason to correct the estimate of the capacity.
pub(crate) fn usual_load(supply: &Supply) -> Load {
    Load {
        requests: supply.places * 0.8,
        waiting_ms: 0.0,
    }
}

pub(crate) fn process(entry: u32) -> Process {
    (format!("entry-{entry}").into(), 1)
}

pub(crate) fn class(rank: u8, account: &str) -> Class {
    Class::new(rank, Some(account))
}

/// An entry whose callers ask for the same in each second.
pub(crate) struct Entry {
    /// Class, requests per second, and time for the prompt and for a place of each request.
    pub(crate) asked: Vec<(Class, u64, u64, u64)>,
    pub(crate) ms: u64,
}

impl Entry {
    pub(crate) fn new(asked: Vec<(Class, u64, u64, u64)>) -> Self {
        Entry { asked, ms: 0 }
    }

    pub(crate) fn report(&self) -> Report {
        let row = |(class, rate, compute_ms, place_ms): &(Class, u64, u64, u64)| {
            let requests = rate * self.ms / 1_000;
            Row {
                class: *class,
                totals: Totals {
                    requests,
                    compute_ms: requests * compute_ms,
                    place_ms: requests * place_ms,
                },
            }
        };
        Report {
            is_whole: true,
            rows: self.asked.iter().map(row).collect(),
            ..Report::default()
        }
    }
}

/// A leader with one entry.
pub(crate) struct Fleet {
    pub(crate) planner: Planner,
    pub(crate) entry: Entry,
    pub(crate) now: Instant,
}

impl Fleet {
    pub(crate) fn new(asked: Vec<(Class, u64, u64, u64)>) -> Self {
        let now = Instant::now();
        Fleet {
            planner: Planner::new(now),
            entry: Entry::new(asked),
            now,
        }
    }

    /// Lets `seconds` pass with reports and plans, while engines are loaded as usual.
    pub(crate) fn pass(&mut self, seconds: u64, supply: &Supply) {
        self.pass_periods(seconds * 4, supply, &usual_load(supply));
    }

    /// Lets periods of reports and plans pass.
    pub(crate) fn pass_periods(&mut self, periods: u64, supply: &Supply, load: &Load) {
        for _ in 0..periods {
            self.now += PERIOD;
            self.entry.ms += 250;
            let report = self.entry.report();
            self.planner.record(&process(1), &report, self.now);
            if self.planner.is_due(self.now) {
                self.planner.plan(supply, load, self.now);
            }
        }
    }

    pub(crate) fn plan(&self) -> Plan {
        let plan = self.planner.newest(self.now);
        plan.expect("a plan is known").clone()
    }
}
