//! Workload of all entries, as they report it to the leader. It reads no clock: the time is an
//! argument of each call.
//!
//! It is not replicated: each entry reports totals, so that a new leader has the whole workload
//! after one report of each entry.

mod reports;

use std::time::{Duration, Instant};

use config::Text;
use config::ids::{AccountId, NodeId, ServiceId};
use indexmap::IndexMap;
use limits::{Permits, refusals};
use performance::{Load, Model, Sizing};
use quarantine::{Evidence, Kind, Record};
use state::usage::{Counts, Window};
use wire::{DemandTotals, Limits, Overview, Report, WorkTable};

use super::performance::{Performance, objective};
use super::plans::{Basis, Planned, Plans, Supplies};
use super::rate::{Demand, Rate};
use super::token_limits::{EntryProcess, TokenLimits};
use reports::{EntryReport, Reports};

/// Time between two times that an entry is told the speeds of upstreams. They change over seconds.
const SPEEDS_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of usage windows whose counts are kept.
const MAX_WINDOWS: usize = 16;

/// Reports of all entries, and the sums over them.
#[derive(Debug)]
pub(crate) struct Workload {
    entries: Reports,
    limits: TokenLimits,
    /// Evidence about parts of prompts that crash upstreams.
    parts: Evidence,
    /// Evidence about requests that crash upstreams.
    requests: Evidence,
    permits: Permits,
    refusals: refusals::Records,
    /// Started requests by usage window, process and account.
    window_counts: IndexMap<Window, IndexMap<EntryProcess, Counts>>,
    rates: IndexMap<ServiceId, Rate>,
    performance: Performance,
    plans: Plans,
}

/// Returns what is assumed of a service's upstreams under a demand while nothing is learned.
fn assumed(demand: Demand) -> Model {
    let per_request = 1.0 / demand.requests.max(f64::MIN_POSITIVE);
    Model::assumed(
        demand.input_tokens * per_request,
        demand.output_tokens * per_request,
    )
}

/// The number of instances that a service needs, and from what it follows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Needed {
    pub(crate) sizing: Sizing,
    pub(crate) load: Load,
    pub(crate) model: Model,
}

impl Workload {
    /// Starts without reports at the time `now`; token limits apply over `limit_window`.
    pub(crate) fn new(limit_window: Duration, now: Instant) -> Self {
        Workload {
            entries: Reports::default(),
            limits: TokenLimits::new(limit_window),
            parts: Evidence::new(Kind::Part, 0, &[], now),
            requests: Evidence::new(Kind::Request, 0, &[], now),
            permits: Permits::new(0),
            refusals: refusals::Records::default(),
            window_counts: IndexMap::new(),
            rates: IndexMap::new(),
            performance: Performance::default(),
            plans: Plans::default(),
        }
    }

    /// Returns the token limits of accounts.
    pub(crate) fn limits(&mut self) -> &mut TokenLimits {
        &mut self.limits
    }

    /// Returns the evidence about each kind of subject that crashes upstreams.
    pub(crate) fn evidence(&mut self) -> [&mut Evidence; 2] {
        [&mut self.parts, &mut self.requests]
    }

    /// Starts a term with the verdicts that earlier leaders recorded, and without the limits that
    /// upstreams named, which the entries will state.
    pub(crate) fn take_over(&mut self, term: u64, verdicts: &[Record], now: Instant) {
        self.parts = Evidence::new(Kind::Part, term, verdicts, now);
        self.requests = Evidence::new(Kind::Request, term, verdicts, now);
        self.permits = Permits::new(term);
        self.refusals = refusals::Records::default();
        self.rates.clear();
        self.plans = Plans::default();
    }

    /// Returns the limits that upstreams named.
    pub(crate) fn permits(&mut self) -> &mut Permits {
        &mut self.permits
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
        self.remove_old_entries(now);
        self.add_counts(&process, report.started);
        let balances = text.map(|text| {
            self.limits
                .balances(&process, &report.statements, text, now)
        });
        let quarantine = self.parts.record(&process, &report.quarantine, now);
        let requests = self.requests.record(&process, &report.requests, now);
        let limits = self.record_limits(&report.limits, now);
        let permits = self.permits.offer(now);
        self.refusals.learn(&report.refusals, now);
        self.performance
            .record(&report.samples, &report.models, now);
        self.plans.record(&process, &report.classes, now);
        let models = text.map(|text| self.performance.models(text, now));
        let reads_work_table = report.reads_work_table;
        let before = self.entries.get(&process);
        let speeds_told = before.and_then(|report| report.speeds_told);
        let is_due = |told| now.saturating_duration_since(told) >= SPEEDS_PERIOD;
        let speeds_due = speeds_told.is_none_or(is_due);
        let report = EntryReport {
            at: now,
            work: report.work,
            demand: report.demand.into_iter().collect(),
            forwarding: report.forwarding,
            out_of_reach: report.out_of_reach,
            speeds: report.speeds,
            moments: report.moments,
            speeds_told: if speeds_due { Some(now) } else { speeds_told },
            by_work: report.by_work,
            reads_rollouts: report.reads_rollouts,
        };
        let forwarders = self.entries.forwarders(&process, &report.out_of_reach, now);
        self.add_demand(&process, &report.demand, now);
        let node = process.0.clone();
        self.entries.insert(process, report);
        let speeds = speeds_due.then(|| self.entries.total_speeds(now));
        let total = self.entries.total_work(now);
        let (work, work_table, work_ms) = match reads_work_table {
            true => {
                let named = total.iter().map(|(name, work)| (name.as_str(), *work));
                let (table, work_ms) = WorkTable::with_work_ms(named);
                (Vec::new(), Some(table), work_ms)
            }
            false => (total, None, Vec::new()),
        };
        Overview {
            now_ms: 0,
            replaced_ms: None,
            entries: u32::try_from(self.entries.live(now).count()).unwrap_or(u32::MAX),
            balances: balances.unwrap_or_default(),
            work,
            work_table,
            work_ms,
            speeds,
            moments: self.entries.newest_moments(now),
            quarantine,
            requests,
            limits,
            permits,
            refusals: self.refusals.statements(now),
            position: self.position(&node, now),
            forwarders,
            models: models.unwrap_or_default(),
            plans: self.plans.newest(now),
            rollouts: Vec::new(),
        }
    }

    /// Reports whether entries have reported lately, and all of these keep to roll-outs.
    pub(crate) fn keeps_to_rollouts(&self, now: Instant) -> bool {
        self.entries.keeps_to_rollouts(now)
    }

    /// Returns the position of an entry among those that reported, and their number, while upstreams
    /// bear few refusals.
    fn position(&self, node: &NodeId, now: Instant) -> Option<(u32, u32)> {
        match self.refusals.any_bears_few() {
            true => self.entries.position(node, now),
            false => None,
        }
    }

    /// Records the limits that an entry heard of, and returns all of them unless the entry has the
    /// newest ones.
    fn record_limits(&mut self, limits: &Limits, now: Instant) -> Option<Limits> {
        self.permits.record(&limits.namings, now);
        let number = self.permits.number();
        (number != limits.number).then(|| Limits {
            number,
            namings: self.permits.namings(now),
        })
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

    /// Returns the instances that a service needs, of which `instances` serve now that run `batch`
    /// requests each at the same time; `None` without any demand or route. Until enough is known of
    /// them, the usual is assumed.
    pub(crate) fn needed(
        &mut self,
        service: &str,
        text: &Text,
        instances: u32,
        batch: u32,
        now: Instant,
    ) -> Option<Needed> {
        let demand = self.rates.get(service)?.per_second(now);
        let load = Load {
            requests_per_second: demand.requests,
            prompt_tokens_per_second: demand.input_tokens,
            instances,
        };
        let learned = self.performance.model(service, text, now);
        let model = learned.unwrap_or_else(|| assumed(demand));
        let sizing = Sizing::new(&model, load, &objective(text, service, batch)?);
        Some(Needed {
            sizing,
            load,
            model,
        })
    }

    /// Reports whether a service is balanced by work: an entry reported that an upstream of it stated
    /// its slowdown.
    pub(crate) fn is_balanced_by_work(&self, service: &ServiceId) -> bool {
        self.entries.is_balanced_by_work(service)
    }

    /// Returns the services whose next plan of admission is due.
    pub(crate) fn plans_due(&self, now: Instant) -> Vec<ServiceId> {
        self.plans.due(now)
    }

    /// Makes the next plans of admission of `services`, while `supplies` serve.
    pub(crate) fn plan(
        &mut self,
        services: &[ServiceId],
        supplies: Supplies,
        text: &Text,
        now: Instant,
    ) -> Vec<Planned> {
        self.plans.set_supplies(supplies);
        let work = self.entries.total_work(now).into_iter().collect();
        let planned = services.iter().filter_map(|service| {
            let model = self.performance.model(service, text, now);
            let model = model.unwrap_or_else(|| Model::assumed(0.0, 0.0));
            let basis = Basis {
                speed: self.service_speed(service),
                ms_per_token: model.prefill_ms_per_token,
                target: objective(text, service, 1)?.first_event,
            };
            self.plans.plan(service, &work, basis, now)
        });
        planned.collect()
    }

    /// Returns the sum of the speeds of a service's upstreams that serve; 1.0 is a usual one.
    pub(crate) fn service_speed(&self, service: &str) -> f64 {
        self.plans.speed(service)
    }

    fn add_demand(
        &mut self,
        process: &EntryProcess,
        demand: &IndexMap<ServiceId, DemandTotals>,
        now: Instant,
    ) {
        // What came before a process's first report, or while none arrived, may be old, so that it
        // adds nothing to the rate.
        let before = self.entries.get_live(process, now);
        for (service, total) in demand {
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

    fn remove_old_entries(&mut self, now: Instant) {
        if self.entries.remove_old(now) {
            let entries = &self.entries;
            self.limits
                .retain_processes(|process| entries.contains(process));
        }
    }
}
