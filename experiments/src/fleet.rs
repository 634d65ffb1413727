//! Engines of a run, started by the planner.

use std::time::{Duration, Instant};

use config::Text;
use config::text::Class;
use indexmap::IndexMap;
use placement::{Action, Inputs, Instance, Planner, Slot, State};
use upstream::{Announcement, Availability, Capacity, Load, Role, Served};

use crate::engine::Engine;

/// Time until a started engine serves: boot and load of the model.
pub(crate) const START_TIME: Duration = Duration::from_secs(30);
/// Time between the notice and the end of a reclaimed instance, in milliseconds.
pub(crate) const NOTICE_MS: u64 = 5_000;

/// Engines and the instances on which they run; both have the same index.
pub(crate) struct Fleet {
    pub(crate) text: Text,
    pub(crate) engines: Vec<Engine>,
    pub(crate) instances: Vec<Instance>,
    /// Slot in which starts are refused.
    pub(crate) refused_slot: Option<Slot>,
    planner: Planner,
}

impl Fleet {
    /// Starts the instances of the planner's first plan; they serve index once.
    pub(crate) fn new(text: Text, now: Instant) -> Self {
        let mut fleet = Fleet {
            text,
            engines: Vec::new(),
            instances: Vec::new(),
            refused_slot: None,
            planner: Planner::default(),
        };
        for index in fleet.plan(now) {
            fleet.mark_ready(index);
        }
        fleet
    }

    /// Plans once and returns the indices of the started engines.
    pub(crate) fn plan(&mut self, now: Instant) -> Vec<usize> {
        let demand = IndexMap::from([("engines".into(), 0.0)]);
        let inputs = Inputs {
            text: &self.text,
            demand: &demand,
            prices: &IndexMap::new(),
            instances: &self.instances,
            now,
        };
        let mut started = Vec::new();
        for decision in self.planner.plan(&inputs) {
            match decision.action {
                Action::Start { service, slot } if self.refused_slot.as_ref() == Some(&slot) => {
                    self.planner.record_refusal(&service, &slot, now);
                }
                Action::Start { slot, .. } => started.push(self.start(slot, now)),
                _ => {}
            }
        }
        started
    }

    fn start(&mut self, slot: Slot, now: Instant) -> usize {
        let index = self.engines.len();
        self.engines.push(Engine::new(Capacity::default()));
        self.instances.push(Instance {
            instance: format!("engine-{index}").into(),
            service: "engines".into(),
            slot,
            state: State::Starting,
            started: now,
            in_progress: 0,
            models: vec![served_model()],
            loading: None,
            role: Role::Both,
        });
        index
    }

    pub(crate) fn mark_ready(&mut self, index: usize) {
        self.instances[index].state = State::Running;
    }

    /// Marks the reclaimable engines of the first data centre as reclaimed, refuses starts there
    /// and returns the indices of these engines.
    pub(crate) fn reclaim(&mut self, now: Instant) -> Vec<usize> {
        let data_centre = self.text.data_centres.keys().next().cloned();
        let slot = Slot {
            data_centre: data_centre.unwrap_or_default(),
            class: Class::Reclaimable,
        };
        let is_in_slot = |index: &usize| self.instances[*index].slot == slot;
        let lost: Vec<usize> = (0..self.instances.len()).filter(is_in_slot).collect();
        for index in &lost {
            self.instances[*index].state = State::Reclaimed;
            self.planner.record_reclaim(&slot, now);
        }
        self.refused_slot = Some(slot);
        lost
    }

    /// Returns the price of all instances per hour.
    pub(crate) fn price(&self) -> f64 {
        let price = |instance: &Instance| {
            let mut slots = Slot::all(&self.text);
            let cost = slots.find(|(slot, _)| *slot == instance.slot);
            cost.map_or(0.0, |(_, cost)| cost.price)
        };
        self.instances.iter().map(price).sum()
    }

    /// Returns the announcement of the engine with index `index`.
    pub(crate) fn announcement(&self, index: usize, load: Load, sequence: u64) -> Announcement {
        let instance = &self.instances[index];
        Announcement {
            upstream: instance.instance.clone(),
            incarnation: 1,
            sequence,
            service: "engines".into(),
            address: ([10, 0, 0, 1], 9_000 + index as u16).into(),
            data_centre: instance.slot.data_centre.clone(),
            class: instance.slot.class,
            role: Role::Both,
            models: vec![served_model()],
            capacity: self.engines[index].capacity,
            load,
            lease_ms: 5_000,
            availability: match instance.state {
                State::Running => Availability::Serving,
                State::Reclaimed => Availability::Reclaimed { in_ms: NOTICE_MS },
                State::Starting | State::Draining => Availability::Leaving,
            },
            fence: 0,
            software: Default::default(),
        }
    }
}

fn served_model() -> Served {
    Served {
        model: "model".into(),
        version: "1".into(),
        adapters: Vec::new(),
    }
}
