//! Workload of all entries, as they report it to the leader. It reads no clock: the time is an
//! argument of each call.
//!
//! It is not replicated: each entry reports totals, so that a new leader has the whole workload
//! after one report of each entry.

use std::time::{Duration, Instant};

use config::Text;
use config::ids::{AccountId, Incarnation, NodeId, ServiceId, UpstreamId};
use indexmap::IndexMap;
use limits::SlidingWindow;
use placement::autoscaler::Demand;
use state::spending::{Slice, Slices};
use state::usage::{Counts, Window};
use wire::{Balance, DemandTotals, Overview, Report, Work};

use super::rate::Rate;

/// Time after an entry's last report for which its work is counted.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Time after an entry's last report for which its totals are kept.
const ENTRY_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of usage windows whose counts are kept.
const MAX_WINDOWS: usize = 16;

/// One process of an entry.
type EntryProcess = (NodeId, Incarnation);

/// Reports of all entries, and the sums over them.
#[derive(Debug)]
pub(crate) struct Workload {
    entries: IndexMap<EntryProcess, EntryReport>,
    spent: IndexMap<AccountId, SlidingWindow>,
    /// Set when reports resume after a time without any.
    resumption: Option<Resumption>,
    /// Length of the sliding window over which token limits apply.
    limit_window: Duration,
    /// Started requests by usage window, process and account.
    window_counts: IndexMap<Window, IndexMap<EntryProcess, Counts>>,
    rates: IndexMap<ServiceId, Rate>,
}

/// Spending of the accounts that spent more than half of their limit, as an earlier leader recorded
/// it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpendingRecord {
    /// Time since it was recorded.
    pub(crate) age: Duration,
    pub(crate) accounts: Slices,
}

/// Resumption of reports after a time without any, with the recorded spending to continue from.
#[derive(Debug)]
struct Resumption {
    at: Instant,
    record: SpendingRecord,
}

/// Last report of one entry.
#[derive(Debug)]
struct EntryReport {
    /// Time at which it was received.
    at: Instant,
    spent: IndexMap<AccountId, u64>,
    work: Vec<(UpstreamId, Work)>,
    demand: IndexMap<ServiceId, DemandTotals>,
}

impl Workload {
    /// Starts without reports; token limits apply over `limit_window`.
    pub(crate) fn new(limit_window: Duration) -> Self {
        Workload {
            entries: IndexMap::new(),
            spent: IndexMap::new(),
            resumption: None,
            limit_window,
            window_counts: IndexMap::new(),
            rates: IndexMap::new(),
        }
    }

    /// Reports whether no entry has reported within [`REPORT_LIFETIME`], so that recent spending is
    /// unknown.
    pub(crate) fn is_idle(&self, now: Instant) -> bool {
        self.live_reports(now).next().is_none()
    }

    /// Discards the counted spending, and continues from the record of an earlier leader.
    pub(crate) fn resume_from(&mut self, record: SpendingRecord, now: Instant) {
        self.spent.clear();
        self.resumption = Some(Resumption { at: now, record });
    }

    /// Returns the spending within the last window of the accounts that spent more than half of
    /// their limit (see [`SlidingWindow::needs_record`]).
    pub(crate) fn spending_above_half(&mut self, text: &Text, now: Instant) -> Slices {
        let slice = |(age, tokens): (Duration, f64)| Slice {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            tokens,
        };
        let mut spending = Slices::new();
        for (name, rate) in limited_accounts(text) {
            if let Some(spent) = self.spent.get_mut(name)
                && spent.needs_record(rate, now)
            {
                let slices = spent.slices(now).into_iter().map(slice).collect();
                spending.insert(name.clone(), slices);
            }
        }
        spending
    }

    /// Returns each account with a token limit, what it spent within the last window and its limit
    /// for such a window.
    pub(crate) fn spending(&mut self, text: &Text, now: Instant) -> Vec<(AccountId, f64, f64)> {
        let window = self.limit_window;
        let mut spending = Vec::new();
        for (name, rate) in limited_accounts(text) {
            if let Some(spent) = self.spent.get_mut(name) {
                spending.push((name.clone(), spent.total(now), rate.within(window)));
            }
        }
        spending
    }

    /// Records a report, and returns the sums over all entries and the balances under the limits of
    /// `text`.
    pub(crate) fn record_report(
        &mut self,
        process: EntryProcess,
        report: Report,
        text: Option<&Text>,
        now: Instant,
    ) -> Overview {
        self.entries
            .retain(|_, report| now.saturating_duration_since(report.at) < ENTRY_RETENTION);
        self.add_counts(&process, report.started);
        self.add_spent(&process, &report.spent, text, now);
        let report = EntryReport {
            at: now,
            spent: report.spent.into_iter().collect(),
            work: report.work,
            demand: report.demand.into_iter().collect(),
        };
        self.add_demand(&process, &report.demand, now);
        self.entries.insert(process, report);
        Overview {
            now_ms: 0,
            entries: u32::try_from(self.live_reports(now).count()).unwrap_or(u32::MAX),
            balances: self.balances(text, now),
            work: self.total_work(now),
        }
    }

    /// Returns the number of requests that each account started in a usage window, as reported so
    /// far.
    pub(crate) fn counts(&self, window: Window) -> Counts {
        let mut counts = Counts::new();
        let processes = self.window_counts.get(&window).into_iter().flatten();
        for (account, count) in processes.flat_map(|(_, counts)| counts) {
            *counts.entry(account.clone()).or_default() += count;
        }
        counts
    }

    /// Returns the demand for a service, per second.
    pub(crate) fn rate(&self, service: &str, now: Instant) -> Demand {
        self.rates
            .get(service)
            .map_or(Demand::default(), |rate| rate.per_second(now))
    }

    fn add_demand(
        &mut self,
        process: &EntryProcess,
        demand: &IndexMap<ServiceId, DemandTotals>,
        now: Instant,
    ) {
        let before = self.entries.get(process);
        for (service, total) in demand {
            // The total of a process's first report may be old, so it adds nothing to the rate.
            let known =
                before.map(|report| report.demand.get(service).copied().unwrap_or_default());
            let known = known.unwrap_or(*total);
            let rate = self.rates.entry(service.clone()).or_insert(Rate::new(now));
            rate.add(known, *total, now);
        }
    }

    fn add_counts(&mut self, process: &EntryProcess, started: Vec<(Window, AccountId, u64)>) {
        for (window, account, count) in started {
            let processes = self.window_counts.entry(window).or_default();
            let counts = processes.entry(process.clone()).or_default();
            let known = counts.entry(account).or_default();
            *known = count.max(*known);
        }
        self.window_counts.sort_unstable_keys();
        while self.window_counts.len() > MAX_WINDOWS {
            self.window_counts.shift_remove_index(0);
        }
    }

    fn add_spent(
        &mut self,
        process: &EntryProcess,
        spent: &[(AccountId, u64)],
        text: Option<&Text>,
        now: Instant,
    ) {
        for (name, rate) in text.into_iter().flat_map(limited_accounts) {
            if !self.spent.contains_key(name) {
                let initial = self.initial_spent(name, rate, now);
                self.spent.insert(name.clone(), initial);
            }
        }
        let before = self.entries.get(process);
        for (account, total) in spent {
            // The total of a process's first report may be old, so it is not counted as spent.
            let known = before.map(|report| report.spent.get(account).copied().unwrap_or(0));
            let used = total.saturating_sub(known.unwrap_or(*total));
            if let Some(account_spent) = self.spent.get_mut(account) {
                let interval = before.map_or(Duration::ZERO, |report| {
                    now.saturating_duration_since(report.at)
                });
                account_spent.add_over(used as f64, interval, now);
            }
        }
    }

    fn balances(&mut self, text: Option<&Text>, now: Instant) -> Vec<(AccountId, Balance)> {
        let mut balances = Vec::new();
        for (name, rate) in text.into_iter().flat_map(limited_accounts) {
            if let Some(spent) = self.spent.get_mut(name) {
                let headroom = spent.headroom(rate, now);
                let balance = Balance {
                    available: headroom.available as i64,
                    remaining: headroom.remaining as i64,
                    spent: headroom.spent as u64,
                };
                balances.push((name.clone(), balance));
            }
        }
        balances
    }

    /// Returns the assumed spending of a newly added account. Within one limit window
    /// after a resumption it is the recorded spending, or the steady rate if none was recorded;
    /// otherwise it is zero.
    fn initial_spent(&self, account: &str, rate: limits::Rate, now: Instant) -> SlidingWindow {
        let window = self.limit_window;
        let elapsed = |resumption: &Resumption| now.saturating_duration_since(resumption.at);
        let Some(resumption) = self
            .resumption
            .as_ref()
            .filter(|resumption| elapsed(resumption) < window)
        else {
            return SlidingWindow::new(window);
        };
        match resumption.record.accounts.get(account) {
            Some(slices) => {
                let to_pair = |slice: &Slice| (Duration::from_millis(slice.age_ms), slice.tokens);
                let slices: Vec<_> = slices.iter().map(to_pair).collect();
                let since = resumption.record.age + elapsed(resumption);
                SlidingWindow::from_record(&slices, since, rate, window, now)
            }
            None => SlidingWindow::at_steady_rate(rate, window, now),
        }
    }

    fn live_reports(&self, now: Instant) -> impl Iterator<Item = &EntryReport> {
        let reports = self.entries.values();
        reports.filter(move |report| now.saturating_duration_since(report.at) < REPORT_LIFETIME)
    }

    fn total_work(&self, now: Instant) -> Vec<(UpstreamId, Work)> {
        let mut sums: IndexMap<UpstreamId, Work> = IndexMap::new();
        for (upstream, work) in self.live_reports(now).flat_map(|report| &report.work) {
            let sum = sums.entry(upstream.clone()).or_default();
            sum.requests += work.requests;
            sum.prefill_tokens += work.prefill_tokens;
        }
        sums.into_iter().collect()
    }
}

/// Returns the accounts that have a token limit.
fn limited_accounts(text: &Text) -> impl Iterator<Item = (&AccountId, limits::Rate)> {
    let accounts = text.accounts.iter();
    accounts.filter_map(|(name, account)| Some((name, limits::token_rate(account)?)))
}
