//! What the leader knows of the work of all entries. Pure: time comes in with each call.
//!
//! Nothing of it is replicated: each entry reports totals, so that a new leader knows everything
//! after one round of reports.

use std::time::{Duration, Instant};

use config::Text;
use config::ids::{AccountId, Incarnation, NodeId, ServiceId, UpstreamId};
use indexmap::IndexMap;
use limits::Spent;
use placement::counts::Demand;
use state::usage::{Counts, Window};
use wire::{Offered, Overview, Report, Work};

use super::rate::Rate;

/// Time after the last report for which an entry's work counts.
const KEPT: Duration = Duration::from_secs(2);
/// Time after which a silent entry is forgotten, with what it spent.
const FORGOTTEN: Duration = Duration::from_secs(60);
/// Windows whose counts are kept.
const WINDOWS: usize = 16;

/// One process of an entry.
type Process = (NodeId, Incarnation);

/// The work of all entries.
#[derive(Debug)]
pub(crate) struct Board {
    entries: IndexMap<Process, Seen>,
    spent: IndexMap<AccountId, Spent>,
    /// When reports began to come, after none had.
    began: Option<Instant>,
    /// Time over which limits hold.
    limit_window: Duration,
    begun: IndexMap<Window, IndexMap<Process, Counts>>,
    rates: IndexMap<ServiceId, Rate>,
}

#[derive(Debug)]
struct Seen {
    at: Instant,
    spent: IndexMap<AccountId, u64>,
    held: Vec<(UpstreamId, Work)>,
    offered: IndexMap<ServiceId, Offered>,
}

impl Board {
    /// Knows nothing yet; limits hold for each span of `limit_window`.
    pub(crate) fn new(limit_window: Duration) -> Self {
        Board {
            entries: IndexMap::new(),
            spent: IndexMap::new(),
            began: None,
            limit_window,
            begun: IndexMap::new(),
            rates: IndexMap::new(),
        }
    }

    /// Takes in a report and returns what all entries report, under the limits of `text`.
    pub(crate) fn report(
        &mut self,
        process: Process,
        report: Report,
        text: Option<&Text>,
        now: Instant,
    ) -> Overview {
        self.entries
            .retain(|_, seen| now.saturating_duration_since(seen.at) < FORGOTTEN);
        if self.live(now).next().is_none() {
            // What entries spent while another process led, or none, is not known.
            self.spent.clear();
            self.began = Some(now);
        }
        self.count(&process, report.begun);
        self.spend(&process, &report.spent, text, now);
        let seen = Seen {
            at: now,
            spent: report.spent.into_iter().collect(),
            held: report.held,
            offered: report.offered.into_iter().collect(),
        };
        self.offer(&process, &seen.offered, now);
        self.entries.insert(process, seen);
        Overview {
            now_ms: 0,
            entries: u32::try_from(self.live(now).count()).unwrap_or(u32::MAX),
            balances: self.balances(text, now),
            held: self.held(now),
        }
    }

    /// Returns the requests that ran in a window, as far as entries told.
    pub(crate) fn counts(&self, window: Window) -> Counts {
        let mut counts = Counts::new();
        let processes = self.begun.get(&window).into_iter().flatten();
        for (account, count) in processes.flat_map(|(_, counts)| counts) {
            *counts.entry(account.clone()).or_default() += count;
        }
        counts
    }

    /// Returns what callers ask of a service per second.
    pub(crate) fn rate(&self, service: &str, now: Instant) -> Demand {
        self.rates
            .get(service)
            .map_or(Demand::default(), |rate| rate.at(now))
    }

    fn offer(&mut self, process: &Process, offered: &IndexMap<ServiceId, Offered>, now: Instant) {
        let before = self.entries.get(process);
        for (service, total) in offered {
            // What was offered before this leader heard of the process is not known to be recent.
            let known = before.map(|seen| seen.offered.get(service).copied().unwrap_or_default());
            let known = known.unwrap_or(*total);
            let rate = self.rates.entry(service.clone()).or_insert(Rate::new(now));
            rate.add(known, *total, now);
        }
    }

    fn count(&mut self, process: &Process, begun: Vec<(Window, AccountId, u64)>) {
        for (window, account, count) in begun {
            let processes = self.begun.entry(window).or_default();
            let counts = processes.entry(process.clone()).or_default();
            let known = counts.entry(account).or_default();
            *known = count.max(*known);
        }
        self.begun.sort_unstable_keys();
        while self.begun.len() > WINDOWS {
            self.begun.shift_remove_index(0);
        }
    }

    fn spend(
        &mut self,
        process: &Process,
        spent: &[(AccountId, u64)],
        text: Option<&Text>,
        now: Instant,
    ) {
        let accounts = text.into_iter().flat_map(|text| &text.accounts);
        for (name, rate) in accounts.filter_map(|(name, a)| Some((name, limits::tokens(a)?))) {
            if !self.spent.contains_key(name) {
                self.spent.insert(name.clone(), self.first_spent(rate, now));
            }
        }
        let before = self.entries.get(process);
        for (account, total) in spent {
            // What a process spent before this leader heard of it is not known to be recent.
            let known = before.map(|seen| seen.spent.get(account).copied().unwrap_or(0));
            let used = total.saturating_sub(known.unwrap_or(*total));
            if let Some(of_account) = self.spent.get_mut(account) {
                of_account.add(used as f64, now);
            }
        }
    }

    fn balances(&mut self, text: Option<&Text>, now: Instant) -> Vec<(AccountId, i64)> {
        let accounts = text.into_iter().flat_map(|text| &text.accounts);
        let limited = accounts.filter_map(|(name, account)| Some((name, limits::tokens(account)?)));
        let mut told = Vec::new();
        for (name, rate) in limited {
            if let Some(spent) = self.spent.get_mut(name) {
                told.push((name.clone(), spent.left(rate, now) as i64));
            }
        }
        told
    }

    /// Returns what an account is taken to have spent when it is first heard of.
    fn first_spent(&self, rate: limits::Rate, now: Instant) -> Spent {
        let is_new = |began| now.saturating_duration_since(began) < self.limit_window;
        match self.began.is_some_and(is_new) {
            true => Spent::unknown(rate, self.limit_window, now),
            false => Spent::new(self.limit_window),
        }
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = &Seen> {
        let seen = self.entries.values();
        seen.filter(move |seen| now.saturating_duration_since(seen.at) < KEPT)
    }

    fn held(&self, now: Instant) -> Vec<(UpstreamId, Work)> {
        let mut sums: IndexMap<UpstreamId, Work> = IndexMap::new();
        for (upstream, work) in self.live(now).flat_map(|seen| &seen.held) {
            let sum = sums.entry(upstream.clone()).or_default();
            sum.requests += work.requests;
            sum.prefill_tokens += work.prefill_tokens;
        }
        sums.into_iter().collect()
    }
}
