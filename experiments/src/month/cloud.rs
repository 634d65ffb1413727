//! Cloud that starts, bills and reclaims instances.

use std::time::{Duration, Instant};

use config::Text;
use config::text::Class;
use indexmap::IndexMap;
use placement::ledger::Row;
use placement::{Action, Inputs, Instance, Ledger, Planner, Slot, State};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use upstream::{Role, Served};

use super::demand;

/// Time between two plans.
const STEP_TIME: Duration = Duration::from_secs(300);
const STEP_HOURS: f64 = 300.0 / 3_600.0;
const STEPS_PER_DAY: u32 = 288;
/// Reclaims per reclaimable instance and hour, apart from reclaims of a whole slot.
const RECLAIMS_PER_HOUR: f64 = 0.01;
/// Probability per step that all reclaimable instances of a data centre are reclaimed: on average
/// once in 6 days.
const SLOT_RECLAIM_PROBABILITY: f64 = 1.0 / (6.0 * 288.0);
/// Range of the number of steps for which a reclaimed slot refuses starts.
const REFUSED_STEPS: std::ops::Range<u32> = 12..48;

/// Instances, their bill and the planner that orders them.
pub(super) struct Cloud {
    text: Text,
    planner: Planner,
    instances: Vec<Instance>,
    /// Slots that refuse starts, with the remaining steps.
    refused_slots: IndexMap<Slot, u32>,
    prices: IndexMap<Slot, f64>,
    ledger: Ledger,
    now: Instant,
    rng: StdRng,
    /// Instances started so far.
    started: u64,
}

impl Cloud {
    pub(super) fn new(text: Text, seed: u64) -> Self {
        Cloud {
            prices: Slot::all(&text).map(|(s, cost)| (s, cost.price)).collect(),
            text,
            planner: Planner::default(),
            instances: Vec::new(),
            refused_slots: IndexMap::new(),
            ledger: Ledger::default(),
            now: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            started: 0,
        }
    }

    /// Simulates `days` days and returns their ledger.
    pub(super) fn simulate(&mut self, days: u32) -> Ledger {
        for day in 0..days {
            let factor = demand::day_factor(day, &mut self.rng);
            for step in 0..STEPS_PER_DAY {
                let peak = self.text.services["engines"].expected_requests_per_second;
                let hour = f64::from(step) * STEP_HOURS;
                self.reclaim(day);
                self.plan(demand::rate(peak, hour, factor));
                self.bill(day);
                self.now += STEP_TIME;
            }
        }
        std::mem::take(&mut self.ledger)
    }

    fn plan(&mut self, rate: f64) {
        for instance in &mut self.instances {
            if instance.state == State::Starting {
                instance.state = State::Running;
            }
        }
        let demand = IndexMap::from([("engines".into(), rate)]);
        let inputs = Inputs {
            text: &self.text,
            demand: &demand,
            prices: &self.prices,
            instances: &self.instances,
            now: self.now,
        };
        for decision in self.planner.plan(&inputs) {
            self.execute(decision.action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Start { service, slot } if self.refused_slots.contains_key(&slot) => {
                self.planner.record_refusal(&service, &slot, self.now);
            }
            Action::Start { service, slot } => {
                self.planner.record_start(&service, &slot);
                self.started += 1;
                self.instances.push(Instance {
                    instance: format!("i{}", self.started).into(),
                    service,
                    slot,
                    state: State::Starting,
                    started: self.now,
                    in_progress: 0,
                    models: vec![Served {
                        model: "model".into(),
                        version: "1".into(),
                        adapters: Vec::new(),
                    }],
                    loading: None,
                    role: Role::Both,
                });
            }
            Action::Drain { instance } => {
                let drained = self.instances.iter_mut().find(|i| i.instance == instance);
                if let Some(instance) = drained {
                    instance.state = State::Draining;
                }
            }
            Action::Stop { instance } => self.instances.retain(|i| i.instance != instance),
            Action::Load { .. } | Action::Unload { .. } | Action::Assign { .. } => {}
        }
    }

    fn reclaim(&mut self, day: u32) {
        self.refused_slots.retain(|_, remaining| {
            *remaining -= 1;
            *remaining > 0
        });
        if self.rng.random_bool(SLOT_RECLAIM_PROBABILITY) {
            let index = self.rng.random_range(0..self.text.data_centres.len());
            let slot = Slot {
                data_centre: self.text.data_centres.keys()[index].clone(),
                class: Class::Reclaimable,
            };
            let steps = self.rng.random_range(REFUSED_STEPS);
            self.refused_slots.insert(slot, steps);
        }
        let mut remaining = Vec::new();
        for instance in std::mem::take(&mut self.instances) {
            let slot_reclaimed = self.refused_slots.contains_key(&instance.slot);
            let reclaimed = self.rng.random_bool(RECLAIMS_PER_HOUR * STEP_HOURS);
            let reclaimable = instance.slot.class == Class::Reclaimable;
            if reclaimable && (slot_reclaimed || reclaimed) {
                self.planner.record_reclaim(&instance.slot, self.now);
                self.ledger.add(Row {
                    day,
                    slot: instance.slot,
                    service: instance.service,
                    reclaims: 1,
                    ..Row::default()
                });
            } else {
                remaining.push(instance);
            }
        }
        self.instances = remaining;
    }

    fn bill(&mut self, day: u32) {
        for instance in &self.instances {
            let price = self.prices.get(&instance.slot).copied().unwrap_or(0.0);
            self.ledger.add(Row {
                day,
                slot: instance.slot.clone(),
                service: instance.service.clone(),
                hours: STEP_HOURS,
                spend: STEP_HOURS * price,
                reclaims: 0,
            });
        }
    }
}
