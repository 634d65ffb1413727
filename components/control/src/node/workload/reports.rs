//! The last report of each entry, and what follows from all of them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config::ids::{NodeId, ServiceId, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use wire::{DemandTotals, Forwarder, MomentTable, SpeedTable, Work};
use xxhash_rust::xxh3::xxh3_64;

use crate::node::token_limits::EntryProcess;

/// Time after an entry's last report for which its work is counted.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Time after an entry's last report for which its totals are kept.
const ENTRY_RETENTION: Duration = Duration::from_secs(60);
/// Most entries that an entry is told of to which it may forward requests. Entries are told of
/// different ones, so that what one cut off forwards is spread.
const MAX_FORWARDERS: usize = 6;

/// Last report of one entry.
#[derive(Debug)]
pub(super) struct EntryReport {
    /// Time at which it was received.
    pub(super) at: Instant,
    pub(super) work: Vec<(UpstreamId, Work)>,
    pub(super) demand: IndexMap<ServiceId, DemandTotals>,
    pub(super) forwarding: Option<SocketAddr>,
    pub(super) out_of_reach: Vec<ServiceId>,
    pub(super) speeds: SpeedTable,
    pub(super) moments: MomentTable,
    /// When the entry was last told the speeds of all entries.
    pub(super) speeds_told: Option<Instant>,
    pub(super) by_work: Vec<ServiceId>,
    pub(super) reads_rollouts: bool,
}

/// The last report of each entry.
#[derive(Debug, Default)]
pub(super) struct Reports {
    entries: IndexMap<EntryProcess, EntryReport>,
}

impl EntryReport {
    fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < REPORT_LIFETIME
    }
}

impl Reports {
    /// Returns the last report of an entry.
    pub(super) fn get(&self, process: &EntryProcess) -> Option<&EntryReport> {
        self.entries.get(process)
    }

    /// Returns the last report of an entry if it counts.
    pub(super) fn get_live(&self, process: &EntryProcess, now: Instant) -> Option<&EntryReport> {
        self.get(process).filter(|report| report.is_live(now))
    }

    pub(super) fn insert(&mut self, process: EntryProcess, report: EntryReport) {
        self.entries.insert(process, report);
    }

    /// Reports whether a report of an entry is kept.
    pub(super) fn contains(&self, process: &EntryProcess) -> bool {
        self.entries.contains_key(process)
    }

    /// Removes the reports of entries that have sent none for long. Returns whether there were any.
    pub(super) fn remove_old(&mut self, now: Instant) -> bool {
        let count = self.entries.len();
        self.entries
            .retain(|_, report| now.saturating_duration_since(report.at) < ENTRY_RETENTION);
        self.entries.len() < count
    }

    /// Reports whether entries have reported lately, and all of these keep to roll-outs.
    pub(super) fn keeps_to_rollouts(&self, now: Instant) -> bool {
        let mut live = self.live(now).peekable();
        live.peek().is_some() && live.all(|report| report.reads_rollouts)
    }

    /// Returns the position of an entry among those that reported, and their number.
    pub(super) fn position(&self, node: &NodeId, now: Instant) -> Option<(u32, u32)> {
        let entries = self.entries.iter();
        let live = entries.filter(|(_, report)| report.is_live(now));
        let nodes: IndexSet<&NodeId> = live.map(|((node, _), _)| node).collect();
        let before = nodes.iter().filter(|other| **other < node).count();
        Some((
            u32::try_from(before).ok()?,
            u32::try_from(nodes.len()).ok()?,
        ))
    }

    /// Returns entries to which `process` may forward requests: if it does not reach some services,
    /// those that reach these, otherwise those that reach all.
    pub(super) fn forwarders(
        &self,
        (node, _): &EntryProcess,
        out_of_reach: &[ServiceId],
        now: Instant,
    ) -> Vec<Forwarder> {
        let count = self.entries.len();
        let first = xxh3_64(node.as_bytes()) as usize % count.max(1);
        let reaches = |report: &EntryReport| match out_of_reach {
            [] => report.out_of_reach.is_empty(),
            _ => out_of_reach
                .iter()
                .all(|service| !report.out_of_reach.contains(service)),
        };
        let from_first = (first..count).chain(0..first);
        let entries = from_first.filter_map(|index| self.entries.get_index(index));
        let forwarders = entries.filter_map(|((other, _), report)| {
            let usable = other != node && report.is_live(now) && reaches(report);
            Some(Forwarder {
                node: other.clone(),
                address: report.forwarding.filter(|_| usable)?,
            })
        });
        forwarders.take(MAX_FORWARDERS).collect()
    }

    /// Reports whether a service is balanced by work: an entry reported that an upstream of it stated
    /// its slowdown.
    pub(super) fn is_balanced_by_work(&self, service: &ServiceId) -> bool {
        let mut reports = self.entries.values();
        reports.any(|report| report.by_work.contains(service))
    }

    /// Returns the reports that count.
    pub(super) fn live(&self, now: Instant) -> impl Iterator<Item = &EntryReport> {
        let reports = self.entries.values();
        reports.filter(move |report| report.is_live(now))
    }

    /// Returns the sum of what the entries saw of the upstreams' speeds.
    pub(super) fn total_speeds(&self, now: Instant) -> SpeedTable {
        SpeedTable::sum(self.live(now).map(|report| &report.speeds))
    }

    /// Returns the newest statement of each upstream on its speed.
    pub(super) fn newest_moments(&self, now: Instant) -> MomentTable {
        let reports = self.live(now);
        MomentTable::newest(reports.map(|report| (&report.moments, report.at)), now)
    }

    /// Returns the work of all entries at each upstream.
    pub(super) fn total_work(&self, now: Instant) -> Vec<(UpstreamId, Work)> {
        let mut sums: IndexMap<UpstreamId, Work> = IndexMap::new();
        for (upstream, work) in self.live(now).flat_map(|report| &report.work) {
            let sum = sums.entry(upstream.clone()).or_default();
            *sum = sum.with(*work);
        }
        sums.into_iter().collect()
    }
}
