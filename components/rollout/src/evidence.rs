//! Reports of all entries on one roll-out, and their sums over time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use config::ids::{Incarnation, NodeId};
use indexmap::{IndexMap, IndexSet};
use state::rollouts::{Number, Phase};

use crate::{Counts, Report, Version};

/// One process of an entry.
pub type EntryProcess = (NodeId, Incarnation);

/// Time between two sums that are kept.
const HISTORY_STEP: Duration = Duration::from_millis(250);
/// Time for which sums are kept.
const HISTORY_LENGTH: Duration = Duration::from_secs(16);
/// Time after an entry's last report for which it counts as serving.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Sums over all entries, by route.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sums {
    pub(crate) new: IndexMap<CompactString, Counts>,
    pub(crate) old: IndexMap<CompactString, Counts>,
}

impl Sums {
    fn add(&mut self, report: &Report) {
        for (sums, version) in [(&mut self.new, &report.new), (&mut self.old, &report.old)] {
            for (route, counts) in &version.routes {
                sums.entry(route.clone()).or_default().add(counts);
            }
        }
    }

    /// Returns what was counted since `earlier`.
    pub(crate) fn since(&self, earlier: &Sums) -> Sums {
        let difference = |now: &IndexMap<CompactString, Counts>, earlier: &IndexMap<_, Counts>| {
            let since = |(route, counts): (&CompactString, &Counts)| {
                let since = earlier.get(route).map(|earlier| counts.since(earlier));
                (route.clone(), since.unwrap_or_else(|| counts.clone()))
            };
            now.iter().map(since).collect()
        };
        Sums {
            new: difference(&self.new, &earlier.new),
            old: difference(&self.old, &earlier.old),
        }
    }

    /// Returns the routes on which any version was counted.
    pub(crate) fn routes(&self) -> IndexSet<&CompactString> {
        self.new.keys().chain(self.old.keys()).collect()
    }

    /// Returns the sums over all routes, of the new version and of the old ones.
    pub(crate) fn totals(&self) -> (Counts, Counts) {
        let total = |routes: &IndexMap<CompactString, Counts>| {
            let mut total = Counts::default();
            for counts in routes.values() {
                total.add(counts);
            }
            total
        };
        (total(&self.new), total(&self.old))
    }
}

/// Last report of one process.
#[derive(Debug)]
struct Received {
    at: Instant,
    report: Report,
}

/// Reports of all entries on one roll-out. Those of processes that are gone are kept: what they
/// counted still holds.
#[derive(Debug)]
pub struct Evidence {
    number: Number,
    since: Instant,
    reports: IndexMap<EntryProcess, Received>,
    history: VecDeque<(Instant, Sums)>,
}

impl Evidence {
    /// Starts without reports, at the time `now` at which this process began to lead.
    pub fn new(number: Number, now: Instant) -> Self {
        Evidence {
            number,
            since: now,
            reports: IndexMap::new(),
            history: VecDeque::new(),
        }
    }

    /// Returns the number of the roll-out.
    pub fn number(&self) -> Number {
        self.number
    }

    /// Returns how long reports have been collected.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Records the report of an entry. One on another roll-out is dropped.
    pub fn record(&mut self, process: EntryProcess, report: Report, now: Instant) {
        if report.number != self.number {
            return;
        }
        self.reports.insert(process, Received { at: now, report });
    }

    /// Keeps the current sums, from time to time.
    pub fn observe(&mut self, now: Instant) {
        let last = self.history.back().map(|(at, _)| *at);
        let is_due = last.is_none_or(|at| now.saturating_duration_since(at) >= HISTORY_STEP);
        if is_due {
            self.history.push_back((now, self.sums()));
        }
        let is_old = |at: Instant| now.saturating_duration_since(at) > HISTORY_LENGTH;
        while self.history.front().is_some_and(|(at, _)| is_old(*at)) {
            self.history.pop_front();
        }
    }

    /// Returns the sums over all entries.
    pub(crate) fn sums(&self) -> Sums {
        let mut sums = Sums::default();
        for received in self.reports.values() {
            sums.add(&received.report);
        }
        sums
    }

    /// Returns the sums as they were `age` ago; `None` if none are kept of that time.
    pub(crate) fn sums_before(&self, age: Duration, now: Instant) -> Option<&Sums> {
        let is_before = |at: Instant| now.saturating_duration_since(at) >= age;
        let mut newest_first = self.history.iter().rev();
        newest_first
            .find(|(at, _)| is_before(*at))
            .map(|(_, sums)| sums)
    }

    /// Returns the requests that were sent to the new version, and to all versions.
    pub fn sent(&self) -> (u64, u64) {
        let (new, old) = self.sums().totals();
        (new.sent, new.sent + old.sent)
    }

    /// Reports whether all entries that reported lately know the phase, and none has requests at the
    /// old versions.
    pub fn has_moved(&self, now: Instant) -> bool {
        let mut live = self
            .reports
            .values()
            .filter(|received| now.saturating_duration_since(received.at) < REPORT_LIFETIME);
        live.all(|Received { report, .. }| {
            let Version { running, .. } = report.old;
            report.phase == Some(Phase::Moved) && running == 0
        })
    }
}
