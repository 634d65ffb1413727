//! The planner, which decides which instances to start, drain and stop and which models to load.

mod loads;
mod offers;
mod sizing;

use std::time::Instant;

use compact_str::format_compact;
use config::ids::ServiceId;
use config::text::{Kind, Service};
use indexmap::IndexMap;

use crate::backoff::Backoff;
use crate::history::History;
use crate::{
    Action, Allocation, Alternative, Decision, Inputs, Instance, Need, Settings, Slot, State,
    allocate,
};
use loads::Loads;
use offers::Offers;
use sizing::Sizing;

/// Plans the instances of one fleet.
///
/// The backoffs, reclaim histories and sizings are kept in memory only. After a restart the planner
/// collects them again and plans as for a fleet without history.
#[derive(Debug, Default)]
pub struct Planner {
    backoffs: IndexMap<(Slot, ServiceId), Backoff>,
    histories: IndexMap<Slot, History>,
    sizings: IndexMap<ServiceId, Sizing>,
    settings: Option<Settings>,
}

/// The plan of one service.
struct Plan<'a> {
    name: &'a ServiceId,
    service: &'a Service,
    instances: Vec<&'a Instance>,
    offers: Offers,
    need: Need,
    allocation: Allocation,
}

impl Planner {
    /// Creates a planner that uses `settings` instead of those for the objective of the text.
    pub fn new(settings: Settings) -> Self {
        Planner {
            settings: Some(settings),
            ..Planner::default()
        }
    }

    /// Records that the cloud refused a start, which starts or prolongs the backoff.
    pub fn record_refusal(&mut self, service: &ServiceId, slot: &Slot, now: Instant) {
        let settings = self.settings.clone().unwrap_or_default();
        let key = (slot.clone(), service.clone());
        let previous = self.backoffs.get(&key).copied();
        self.backoffs
            .insert(key, Backoff::next(previous, &settings, now));
    }

    /// Records that the cloud accepted a start, which ends the backoff of the slot and service.
    pub fn record_start(&mut self, service: &ServiceId, slot: &Slot) {
        self.backoffs.swap_remove(&(slot.clone(), service.clone()));
    }

    /// Records that the cloud took an instance back.
    pub fn record_reclaim(&mut self, slot: &Slot, now: Instant) {
        let history = self
            .histories
            .entry(slot.clone())
            .or_insert_with(|| History::new(now));
        history.record_reclaim();
    }

    /// Returns the settings for `inputs`: those given to [`Planner::new`], or else those for the
    /// objective of the text.
    pub fn settings(&self, inputs: &Inputs<'_>) -> Settings {
        let own = self.settings.clone();
        own.unwrap_or_else(|| Settings::for_objective(inputs.text.objective))
    }

    /// Returns the decisions for the current state. As long as they are not carried out, the same
    /// inputs give the same decisions a moment later.
    pub fn plan(&mut self, inputs: &Inputs<'_>) -> Vec<Decision> {
        let settings = self.settings(inputs);
        self.update_histories(inputs);
        let mut decisions = self.stop_overdue_starts(inputs, &settings);
        let mut loads = Loads::new(inputs, &settings);
        let mut reserved: IndexMap<Slot, u32> = IndexMap::new();
        for (name, service) in &inputs.text.services {
            let plan = self.plan_service(name, service, inputs, &settings, &reserved);
            for (slot, count) in &plan.allocation.counts {
                *reserved.entry(slot.clone()).or_default() += count;
            }
            decisions.extend(starts(&plan));
            decisions.extend(drains(&plan));
            decisions.extend(stops(&plan));
            match service.kind {
                Kind::Model => decisions.extend(loads.plan(service, &plan.instances)),
                Kind::Plain => {}
            }
        }
        decisions.extend(removals(inputs));
        decisions
    }

    /// Counts the instance hours since the last plan in the reclaim histories.
    fn update_histories(&mut self, inputs: &Inputs<'_>) {
        for (slot, _) in Slot::all(inputs.text) {
            let held = inputs.instances.iter();
            let held = held
                .filter(|i| i.slot == slot && i.provides_capacity())
                .count() as u32;
            let history = self
                .histories
                .entry(slot)
                .or_insert_with(|| History::new(inputs.now));
            history.advance(held, inputs.now);
        }
    }

    /// Stops instances that were not announced in time, and records a refusal for their slot
    /// unless a backoff is already running there.
    fn stop_overdue_starts(&mut self, inputs: &Inputs<'_>, settings: &Settings) -> Vec<Decision> {
        let is_overdue = |instance: &&Instance| {
            let waited = inputs.now.saturating_duration_since(instance.started);
            instance.state == State::Starting && waited > settings.start_timeout
        };
        let mut decisions = Vec::new();
        for instance in inputs.instances.iter().filter(is_overdue) {
            let key = (instance.slot.clone(), instance.service.clone());
            let wait = self
                .backoffs
                .get(&key)
                .and_then(|b| b.remaining(inputs.now));
            if wait.is_none() {
                self.record_refusal(&instance.service, &instance.slot, inputs.now);
            }
            let seconds = settings.start_timeout.as_secs();
            decisions.push(Decision {
                action: Action::Stop {
                    instance: instance.instance.clone(),
                },
                reason: format_compact!("not announced within {seconds} s of its start"),
                alternatives: Vec::new(),
            });
        }
        decisions
    }

    fn plan_service<'a>(
        &mut self,
        name: &'a ServiceId,
        service: &'a Service,
        inputs: &Inputs<'a>,
        settings: &Settings,
        reserved: &IndexMap<Slot, u32>,
    ) -> Plan<'a> {
        let of_service = inputs.instances.iter().filter(|i| i.service == *name);
        let instances: Vec<&Instance> = of_service.collect();
        let demand = inputs.demand.get(name).copied();
        let sizing = self.sizings.entry(name.clone()).or_default();
        let capacity = sizing.update(service, demand, settings, inputs.now);
        let need = Need {
            capacity,
            on_demand: (f64::from(capacity) * settings.on_demand_share).ceil() as u32,
            limit: service.max_instances,
        };
        let offers = Offers::new(self, name, &instances, inputs, settings, reserved);
        let allocation = allocate(&offers.offers, need);
        Plan {
            name,
            service,
            instances,
            offers,
            need,
            allocation,
        }
    }
}

impl Plan<'_> {
    /// Returns the number of instances in `slot` that provide capacity.
    fn held_count(&self, slot: &Slot) -> u32 {
        let held = self.instances.iter();
        held.filter(|i| i.slot == *slot && i.provides_capacity())
            .count() as u32
    }

    /// Returns the number of instances that `slot` should have.
    fn target_count(&self, slot: &Slot) -> u32 {
        self.allocation.counts.get(slot).copied().unwrap_or(0)
    }

    /// Reports whether all allocated instances are running and ready, so that the others can be
    /// drained.
    fn is_complete(&self) -> bool {
        let running = |slot: &Slot| {
            let instances = self.instances.iter();
            instances
                .filter(|i| i.slot == *slot && i.state == State::Running && self.is_ready(i))
                .count() as u32
        };
        let mut counts = self.allocation.counts.iter();
        counts.all(|(slot, count)| running(slot) >= *count)
    }

    /// Reports whether an instance has loaded all models of the service.
    fn is_ready(&self, instance: &Instance) -> bool {
        let models = &mut self.service.models.iter();
        models.all(|model| loads::has_model(instance, model))
    }
}

/// Returns the starts of instances that are missing in their slots.
fn starts(plan: &Plan<'_>) -> Vec<Decision> {
    let mut decisions = Vec::new();
    for (slot, target) in &plan.allocation.counts {
        for _ in plan.held_count(slot)..*target {
            decisions.push(Decision {
                action: Action::Start {
                    service: plan.name.clone(),
                    slot: slot.clone(),
                },
                reason: start_reason(plan, slot),
                alternatives: plan.offers.alternatives(slot),
            });
        }
    }
    decisions
}

fn start_reason(plan: &Plan<'_>, slot: &Slot) -> compact_str::CompactString {
    let Need {
        capacity,
        on_demand,
        ..
    } = plan.need;
    let total = plan.allocation.total();
    let price = plan.offers.price(slot);
    let base = format_compact!(
        "{total} instances so that {capacity} are left without any one data centre, at least \
         {on_demand} on demand; {price:.2} per hour with expected reclaims"
    );
    match plan.allocation.shortfall {
        0 => base,
        missing => format_compact!("{base}; the limits leave {missing} missing"),
    }
}

/// Returns the drains of surplus instances once the plan is complete. In each slot, instances that
/// are not ready go first, then those with the fewest requests, then the newest.
fn drains(plan: &Plan<'_>) -> Vec<Decision> {
    if !plan.is_complete() {
        return Vec::new();
    }
    let mut decisions = Vec::new();
    let mut slots: Vec<&Slot> = plan.instances.iter().map(|i| &i.slot).collect();
    slots.sort_by_key(|slot| (&slot.data_centre, slot.class));
    slots.dedup();
    for slot in slots {
        let surplus = plan
            .held_count(slot)
            .saturating_sub(plan.target_count(slot));
        let mut candidates: Vec<_> = plan.instances.iter().collect();
        candidates.retain(|i| i.slot == *slot && i.provides_capacity());
        candidates.sort_by_key(|i| {
            (
                plan.is_ready(i),
                i.in_progress,
                std::cmp::Reverse(i.started),
            )
        });
        decisions.extend(candidates.into_iter().take(surplus as usize).map(|instance| {
            let (total, capacity) = (plan.allocation.total(), plan.need.capacity);
            Decision {
                action: Action::Drain {
                    instance: instance.instance.clone(),
                },
                reason: format_compact!(
                    "{total} other instances run, of which {capacity} are needed without any \
                     one data centre"
                ),
                alternatives: Vec::<Alternative>::new(),
            }
        }));
    }
    decisions
}

/// Returns the stops of drained instances.
fn stops(plan: &Plan<'_>) -> Vec<Decision> {
    let is_drained = |i: &&&Instance| i.state == State::Draining && i.in_progress == 0;
    let instances = plan.instances.iter().filter(is_drained);
    instances
        .map(|instance| stop(instance, "drained"))
        .collect()
}

/// Returns the drains and stops of instances whose service is no longer in the text.
fn removals(inputs: &Inputs<'_>) -> Vec<Decision> {
    let is_unknown = |i: &&Instance| !inputs.text.services.contains_key(&i.service);
    let instances = inputs.instances.iter().filter(is_unknown);
    instances
        .filter_map(|instance| match instance.state {
            State::Draining if instance.in_progress == 0 => Some(stop(instance, "drained")),
            State::Starting | State::Running => Some(Decision {
                action: Action::Drain {
                    instance: instance.instance.clone(),
                },
                reason: format_compact!("service {} is not in the text", instance.service),
                alternatives: Vec::new(),
            }),
            State::Draining | State::Reclaimed => None,
        })
        .collect()
}

fn stop(instance: &Instance, reason: &str) -> Decision {
    Decision {
        action: Action::Stop {
            instance: instance.instance.clone(),
        },
        reason: reason.into(),
        alternatives: Vec::new(),
    }
}
