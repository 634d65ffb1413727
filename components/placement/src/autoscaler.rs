//! Plans how many instances of a service run in each data centre and class, for clouds that take
//! orders by count. The module uses no clock: callers pass the current time.
//!
//! The counts follow the sizing of the service, which depends on the requests per second and on what
//! an instance was seen to do, and not on the number of waiting requests. More requests wait while
//! instances are lost, so that counts based on them would grow without bound. While the sizing is
//! assumed and not learned, the service keeps as many instances as it has, or gets more.
//!
//! The planned counts are the cheapest with which enough instances remain when the cloud takes back
//! the reclaimable instances of some data centres. They are large enough for each sizing of the last
//! seconds, so that they grow at once and shrink after a delay. Instances are kept until those that
//! replace them serve. A slot whose instances were taken back, or that the cloud has sold out, is
//! excluded for a while.
//!
//! Reclaims come in waves: the remaining instances must survive the loss of as many further data
//! centres as were lost recently, and reclaimable ones are kept until the wave is over. Some instances leave without announcing that they are reclaimed,
//! so a slot also counts as reclaimed when none of its instances serve any more although more were
//! ordered.
//!
//! For a service that is balanced by work, the counts are those with the largest value of answers
//! less the price of the instances ([`Economy`]), and they are reached in portions.

mod allocation;
mod by_work;
mod counts;
mod economy;
mod input;
mod plan;
mod settings;
mod speeds;
mod transition;
mod warmth;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use config::text::{Class, Scaling};
use indexmap::{IndexMap, IndexSet};
use performance::Sizing;

use crate::Slot;
use allocation::{Allocation, Need, Offer};
use by_work::ByWork;
pub use by_work::Status;
pub use economy::Economy;
pub use input::{Forecast, Input};
pub use settings::Settings;

/// Time beyond the boot time after which an ordered instance is no longer expected to start.
const START_SLACK: Duration = Duration::from_secs(2);

/// The announced instances of one slot.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Supply {
    /// Instances that accept requests.
    pub serving: u32,
    /// Instances that the cloud is taking back.
    pub reclaimed: u32,
}

/// An order of a number of instances in one slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The slot.
    pub slot: Slot,
    /// Number of instances that the slot is to have.
    pub count: u32,
    /// Reason for the order, for the log.
    pub reason: CompactString,
}

/// Plans the instance counts of one service. Its state is kept in memory only.
#[derive(Debug, Default)]
pub struct Autoscaler {
    settings: Settings,
    /// Sizings within the last [`Settings::scale_down_delay`].
    recent: VecDeque<(Instant, Sizing)>,
    /// What is needed at least until the sizing was learned for [`Settings::learning_time`].
    initial: Sizing,
    learned_since: Option<Instant>,
    /// When there was demand first.
    demand_since: Option<Instant>,
    /// When the exclusion of each slot ends.
    excluded: IndexMap<Slot, Instant>,
    /// The last accepted order of each slot.
    accepted: IndexMap<Slot, Acceptance>,
    /// Instances that served in the previous round.
    previous_serving: IndexMap<Slot, u32>,
    /// When the instances of a slot were last taken back.
    reclaims: IndexMap<Slot, Instant>,
    /// When the first plan was made.
    started: Option<Instant>,
    by_work: ByWork,
}

/// The count of an accepted order and the time of its acceptance.
#[derive(Clone, Copy, Debug)]
struct Acceptance {
    count: u32,
    at: Instant,
}

impl Autoscaler {
    /// Creates an autoscaler that has observed nothing yet.
    pub fn new(settings: Settings) -> Self {
        Autoscaler {
            settings,
            ..Autoscaler::default()
        }
    }

    /// Records that the cloud has no more instances of a slot to sell. An earlier order of the slot
    /// stays in force.
    pub fn record_refusal(&mut self, slot: &Slot, now: Instant) {
        match self.by_work.is_active() {
            true => self.back_off(slot, now),
            false => self.exclude(slot, now + self.settings.refusal_backoff),
        }
    }

    /// Records that the cloud accepted an order.
    pub fn record_order(&mut self, order: &Order, now: Instant) {
        let count = order.count;
        let acceptance = Acceptance { count, at: now };
        self.accepted.insert(order.slot.clone(), acceptance);
        let serving = self.previous_serving.get(&order.slot).copied();
        if count > serving.unwrap_or(0) {
            self.record_increase(&order.slot, now);
        }
        self.by_work.record_answer(&order.slot);
    }

    /// Records that it is unknown whether the cloud accepted an order. Where the service is balanced
    /// by work, the order is repeated with the same count, and there is no other until its answer.
    pub fn record_failure(&mut self, order: &Order, now: Instant) {
        self.by_work.record_failure(order, &self.settings, now);
    }

    /// Records that the cloud answered an order with an error of its own, which says nothing of its
    /// capacity.
    pub fn record_error(&mut self, order: &Order, now: Instant) {
        match self.by_work.is_active() {
            true => self.record_failure(order, now),
            false => self.record_refusal(&order.slot, now),
        }
    }

    /// Returns the orders that bring the counts to those needed now.
    pub fn plan(
        &mut self,
        scaling: &Scaling,
        supply: &IndexMap<Slot, Supply>,
        input: impl Into<Input>,
        now: Instant,
    ) -> Vec<Order> {
        let input = input.into();
        self.started.get_or_insert(now);
        self.record_reclaims(supply, now);
        let serving = supply.values().map(|supply| supply.serving).sum();
        let needed = self.update_sizing(input.forecast, serving, now);
        self.by_work
            .observe(supply, &input, &self.settings.economy, now);
        match input.is_balanced_by_work {
            true => self.plan_by_work(scaling, supply, &input, needed, now),
            false => self.plan_by_requests(scaling, supply, needed, now),
        }
    }

    /// Returns the orders for a service that is balanced by requests, or of which that is not known.
    fn plan_by_requests(
        &self,
        scaling: &Scaling,
        supply: &IndexMap<Slot, Supply>,
        needed: Sizing,
        now: Instant,
    ) -> Vec<Order> {
        let offers = self.offers(scaling, supply, now);
        let losses = self.losses(now);
        let lost = losses as f64 / scaling.prices.len().max(1) as f64;
        let need = Need {
            losses,
            survivors: needed.sufficient_without(lost),
            target: needed.comfortable,
        };
        let allocation = Allocation::new(&offers, need, scaling);
        let mut orders = Vec::new();
        for Offer { slot, serving, .. } in &offers {
            let current = self.current_count(slot, *serving, scaling, now);
            let count = match slot.class {
                Class::Reclaimable if self.is_in_wave() => allocation.count(slot).max(current),
                Class::OnDemand if self.is_undecided(now) => allocation.count(slot).max(current),
                _ => allocation.count(slot),
            };
            if count != current {
                orders.push(Order {
                    slot: slot.clone(),
                    count,
                    reason: format_compact!(
                        "{} in total, {} must remain after the loss of {} data centres, {} are \
                         comfortable; {serving} serve here",
                        allocation.total(),
                        need.survivors,
                        need.losses,
                        need.target,
                    ),
                });
            }
        }
        orders
    }

    /// Records reclaims and excludes the slots whose instances were taken back.
    fn record_reclaims(&mut self, supply: &IndexMap<Slot, Supply>, now: Instant) {
        let serving = |slot: &Slot| supply.get(slot).map_or(0, |supply| supply.serving);
        let has_notice = |slot: &Slot| supply.get(slot).is_some_and(|supply| supply.reclaimed > 0);
        let has_vanished = |slot: &Slot| {
            let ordered = self.accepted.get(slot).is_some_and(|order| order.count > 0);
            let served = self
                .previous_serving
                .get(slot)
                .is_some_and(|count| *count > 0);
            slot.class == Class::Reclaimable && ordered && served && serving(slot) == 0
        };
        let slots = supply.keys().chain(self.previous_serving.keys());
        let reclaimed: IndexSet<Slot> = slots
            .filter(|slot| has_notice(slot) || has_vanished(slot))
            .cloned()
            .collect();
        for slot in reclaimed {
            self.accepted.swap_remove(&slot);
            self.exclude(&slot, now + self.settings.reclaim_backoff);
            self.reclaims.insert(slot, now);
        }
        let window = self.settings.reclaim_window;
        self.reclaims
            .retain(|_, at| now.saturating_duration_since(*at) < window);
        self.previous_serving = supply
            .iter()
            .map(|(slot, supply)| (slot.clone(), supply.serving))
            .collect();
    }

    /// Returns the number of data centres whose loss must be survived: as many as the current wave
    /// has taken so far, and at least one.
    fn losses(&self, now: Instant) -> usize {
        let window = self.settings.reclaim_window;
        let recent = self.reclaims.values();
        let recent = recent.filter(|at| now.saturating_duration_since(**at) < window);
        recent.count().max(1)
    }

    /// Reports whether reclaimable instances were taken back within [`Settings::reclaim_window`]. No other
    /// ones are given back then: the wave may take further data centres before new instances have
    /// started elsewhere.
    fn is_in_wave(&self) -> bool {
        !self.reclaims.is_empty()
    }

    /// Reports whether the first answers may still show that the service is balanced by work. The
    /// caches of the instances that serve at the start are then worth more than their price.
    fn is_undecided(&self, now: Instant) -> bool {
        let is_within = |since: Option<Instant>, time: Duration| {
            since.is_some_and(|at| now.saturating_duration_since(at) < time)
        };
        let hold = self.settings.economy.undecided_hold;
        let is_first_demand = is_within(self.demand_since, self.settings.learning_time.min(hold));
        self.learned_since.is_none() && (is_within(self.started, hold) || is_first_demand)
    }

    /// Returns the count of the last accepted order of a slot. After the time that instances need
    /// to start, at most the number that serve is returned.
    fn current_count(&self, slot: &Slot, serving: u32, scaling: &Scaling, now: Instant) -> u32 {
        let Some(order) = self.accepted.get(slot) else {
            return serving;
        };
        let time = scaling.boot_time + START_SLACK;
        match now.saturating_duration_since(order.at) < time {
            true => order.count,
            false => order.count.min(serving),
        }
    }

    /// Excludes a slot until a time, unless it is already excluded for longer.
    fn exclude(&mut self, slot: &Slot, until: Instant) {
        let end = self.excluded.entry(slot.clone()).or_insert(until);
        *end = until.max(*end);
    }

    /// Records a forecast, and returns the largest recent sizing.
    fn update_sizing(&mut self, forecast: Forecast, serving: u32, now: Instant) -> Sizing {
        let age = |at: Instant| now.saturating_duration_since(at);
        let delay = self.settings.scale_down_delay;
        self.recent.retain(|(at, _)| age(*at) <= delay);
        if forecast.is_learned {
            self.learned_since.get_or_insert(now);
            self.recent.push_back((now, forecast.sizing));
        }
        if forecast.sizing != Sizing::default() {
            self.demand_since.get_or_insert(now);
        }
        let learning_time = self.settings.learning_time;
        let is_past = |since: Option<Instant>| since.is_some_and(|at| age(at) >= learning_time);
        let initial = self.update_initial(serving);
        let least = match forecast.is_learned {
            true if is_past(self.learned_since) => Sizing::default(),
            // What is assumed counts only if nothing is learned for long.
            false if is_past(self.demand_since) => initial.max(forecast.sizing),
            _ => initial,
        };
        let recent = self.recent.iter().map(|(_, sizing)| *sizing);
        let largest = recent.fold(least, Sizing::max);
        Sizing {
            sufficient: largest.sufficient.max(self.settings.min_survivors),
            ..largest
        }
    }

    /// Returns what is needed at least while nothing is learned: the instances that served at first
    /// are taken as comfortable.
    fn update_initial(&mut self, serving: u32) -> Sizing {
        if self.initial == Sizing::default() {
            self.initial = Sizing {
                sufficient: serving.div_ceil(2),
                comfortable: serving,
                ..Sizing::default()
            };
        }
        self.initial
    }

    /// Returns the offers of all slots.
    fn offers(
        &self,
        scaling: &Scaling,
        supply: &IndexMap<Slot, Supply>,
        now: Instant,
    ) -> Vec<Offer> {
        let mut offers = Vec::new();
        for (data_centre, price) in &scaling.prices {
            for class in Class::ALL {
                let slot = Slot {
                    data_centre: data_centre.clone(),
                    class,
                };
                let serving = supply.get(&slot).map_or(0, |supply| supply.serving);
                let is_excluded = self.excluded.get(&slot).is_some_and(|until| now < *until);
                let may_start = |order: &&Acceptance| {
                    let time = scaling.boot_time + START_SLACK;
                    now.saturating_duration_since(order.at) < time
                };
                let pending = self.accepted.get(&slot).filter(may_start);
                offers.push(Offer {
                    expected: pending.map_or(serving, |order| order.count.max(serving)),
                    price: match class {
                        Class::Reclaimable => price * scaling.reclaimable_price,
                        Class::OnDemand => *price,
                    },
                    limit: match is_excluded {
                        true => serving.min(scaling.max_count),
                        false => scaling.max_count,
                    },
                    serving,
                    slot,
                });
            }
        }
        offers
    }
}
