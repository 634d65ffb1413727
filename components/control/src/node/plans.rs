//! Plans of admission for the services that are balanced by work.

use std::time::{Duration, Instant};

use ::admission::{Load, Plan, Planner, Process, Report, Supply};
use config::ids::{ServiceId, UpstreamId};
use indexmap::IndexMap;
use tracing::info;
use wire::Work;

/// Change of the share of a rank from which on a line is logged.
const NOTABLE_CHANGE: f64 = 0.15;
/// Shortest time between two lines about a service.
const LOG_PERIOD: Duration = Duration::from_secs(2);

/// Upstreams of a service that serve.
#[derive(Clone, Debug, Default)]
pub(crate) struct Serving {
    pub(crate) upstreams: Vec<UpstreamId>,
    /// Sum of the places of their batches.
    pub(crate) places: u32,
}

/// Upstreams that serve, by service.
pub(crate) type Supplies = IndexMap<ServiceId, Serving>;

/// What the plan of a service follows from, beside what entries report of the demand.
#[derive(Clone, Copy, Debug)]
pub(super) struct Basis {
    /// Sum of the speeds of the upstreams that serve.
    pub(super) speed: f64,
    pub(super) ms_per_token: f64,
    /// Strictest target of the routes to the service.
    pub(super) target: Duration,
}

/// The shares of a service's ranks, and the correction of its capacity, for metrics.
#[derive(Clone, Debug)]
pub(crate) struct Planned {
    pub(crate) service: ServiceId,
    pub(crate) ranks: Vec<(u8, f64)>,
    pub(crate) capacity_factor: f64,
}

/// Plans of all services.
#[derive(Debug, Default)]
pub(super) struct Plans {
    planners: IndexMap<ServiceId, Planner>,
    supplies: Supplies,
    /// Shares of the ranks as logged last, and when.
    logged: IndexMap<ServiceId, (Vec<(u8, f64)>, Instant)>,
}

impl Plans {
    /// Records what a process of an entry reports of the demand.
    pub(super) fn record(
        &mut self,
        process: &Process,
        reports: &[(ServiceId, Report)],
        now: Instant,
    ) {
        for (service, report) in reports {
            let new = || Planner::new(now);
            let planner = self.planners.entry(service.clone()).or_insert_with(new);
            planner.record(process, report, now);
        }
    }

    /// Returns the services whose next plan is due.
    pub(super) fn due(&self, now: Instant) -> Vec<ServiceId> {
        let due = self.planners.iter().filter(|(_, p)| p.is_due(now));
        due.map(|(service, _)| service.clone()).collect()
    }

    pub(super) fn set_supplies(&mut self, supplies: Supplies) {
        self.supplies = supplies;
    }

    /// Returns the sum of the speeds of a service's upstreams that serve; 1.0 is a usual one.
    pub(super) fn speed(&self, service: &str) -> f64 {
        let serving = self.supplies.get(service);
        serving.map_or(0.0, |serving| serving.upstreams.len() as f64)
    }

    /// Makes the next plan of a service, with the work in progress of all entries.
    pub(super) fn plan(
        &mut self,
        service: &ServiceId,
        work: &IndexMap<UpstreamId, Work>,
        basis: Basis,
        now: Instant,
    ) -> Option<Planned> {
        let serving = self.supplies.get(service);
        let supply = Supply {
            speed: basis.speed,
            places: serving.map_or(0.0, |serving| f64::from(serving.places)),
            target: basis.target,
        };
        let upstreams = serving.into_iter().flat_map(|serving| &serving.upstreams);
        let mut load = Load::default();
        for held in upstreams.filter_map(|upstream| work.get(upstream)) {
            load.requests += f64::from(held.requests);
            load.waiting_ms += f64::from(held.prefill_tokens) * basis.ms_per_token;
        }
        let planner = self.planners.get_mut(service)?;
        planner.plan(&supply, &load, now);
        let planned = Planned {
            service: service.clone(),
            ranks: planner.ranks().collect(),
            capacity_factor: planner.capacity_factor(),
        };
        self.log(&planned, &supply, &load, now);
        Some(planned)
    }

    /// Returns the newest plans of the services of which not all requests are admitted.
    pub(super) fn newest(&self, now: Instant) -> Vec<(ServiceId, Plan)> {
        let plans = self.planners.iter();
        let plans = plans.filter_map(|(service, planner)| {
            let plan = planner.newest(now).filter(|plan| !plan.admits_all())?;
            Some((service.clone(), plan.clone()))
        });
        plans.collect()
    }

    /// Logs the shares of a service if they have changed notably.
    fn log(&mut self, planned: &Planned, supply: &Supply, load: &Load, now: Instant) {
        let logged = self.logged.get(&planned.service);
        let is_recent =
            logged.is_some_and(|(_, at)| now.saturating_duration_since(*at) < LOG_PERIOD);
        let before = |rank: u8| {
            let ranks = logged.map(|(ranks, _)| ranks.as_slice());
            let known = ranks.unwrap_or_default().iter().find(|(r, _)| *r == rank);
            known.map_or(1.0, |(_, share)| *share)
        };
        let is_notable = |(rank, share): &(u8, f64)| {
            let before = before(*rank);
            (share - before).abs() >= NOTABLE_CHANGE || (*share >= 1.0) != (before >= 1.0)
        };
        if is_recent || !planned.ranks.iter().any(is_notable) {
            return;
        }
        let shares = planned.ranks.iter();
        let shares = shares.map(|(rank, share)| format!("{:.0}% of rank {rank}", share * 100.0));
        info!(
            service = %planned.service,
            "admission: {} admits {}; {:.1} engines, {:.0} of {:.0} places taken, {:.0} ms of \
             prompts to compute, capacity times {:.2}",
            planned.service,
            shares.collect::<Vec<_>>().join(", "),
            supply.speed,
            load.requests,
            supply.places,
            load.waiting_ms,
            planned.capacity_factor,
        );
        let entry = (planned.ranks.clone(), now);
        self.logged.insert(planned.service.clone(), entry);
    }
}
