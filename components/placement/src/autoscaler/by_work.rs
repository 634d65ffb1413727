//! What is remembered between the plans of a service that is balanced by work: sizings, refusals,
//! orders without an answer and the times of changes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use indexmap::IndexMap;
use performance::Sizing;

use super::warmth::Warmth;
use super::{Autoscaler, Economy, Input, Order, Settings, Supply};
use crate::Slot;

/// Growth of a back-off with each refusal.
const BACKOFF_FACTOR: f64 = 1.5;
/// Quantile of the recent sizings that is taken as the steady one.
const STEADY_QUANTILE: f64 = 0.6;
/// State of the plan of a service that is balanced by work.
#[derive(Debug, Default)]
pub(super) struct ByWork {
    is_active: bool,
    pub(super) warmth: Warmth,
    /// Sizings within the last [`Economy::comfort_window`].
    sizings: VecDeque<(Instant, Sizing)>,
    /// Refusals of each slot since instances were last available, least recent first.
    pub(super) refusals: IndexMap<Slot, u32>,
    /// Orders without an answer.
    unanswered: IndexMap<Slot, Unanswered>,
    /// When the count of each slot was last increased.
    pub(super) increased: IndexMap<Slot, Instant>,
    pub(super) replaced_at: Option<Instant>,
    pub(super) released_at: Option<Instant>,
    pub(super) status: Option<Status>,
}

/// An order that the cloud may have accepted.
#[derive(Clone, Debug)]
struct Unanswered {
    order: Order,
    tries: u32,
    /// Time at which it is sent again.
    due: Instant,
}

/// Sums of the last plan, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Instances that are wanted.
    pub wanted: u32,
    /// Instances ordered, or serving without an order.
    pub ordered: u32,
    /// Instances whose caches are filled.
    pub warm: u32,
    /// Usual instances that suffice.
    pub sufficient: u32,
    /// Wanted capacity in usual instances that is left after the loss of a data centre.
    pub after_loss: u32,
    /// Slots without capacity to sell.
    pub sold_out: u32,
}

impl ByWork {
    /// Reports whether the service was balanced by work at the last plan.
    pub(super) fn is_active(&self) -> bool {
        self.is_active
    }

    /// Records what a plan reads.
    pub(super) fn observe(
        &mut self,
        supply: &IndexMap<Slot, Supply>,
        input: &Input,
        economy: &Economy,
        now: Instant,
    ) {
        self.is_active = input.is_balanced_by_work;
        let has_demand = input.forecast.sizing != Sizing::default();
        self.warmth
            .record(supply, has_demand, economy.warm_time, now);
        let window = economy.comfort_window;
        self.sizings
            .retain(|(at, _)| now.saturating_duration_since(*at) <= window);
        if input.forecast.is_learned {
            self.sizings.push_back((now, input.forecast.sizing));
        }
    }

    /// Records that the cloud answered an order of a slot.
    pub(super) fn record_answer(&mut self, slot: &Slot) {
        self.unanswered.shift_remove(slot);
    }

    /// Records that the cloud gave no answer to an order.
    pub(super) fn record_failure(&mut self, order: &Order, settings: &Settings, now: Instant) {
        if !self.is_active {
            return;
        }
        let tries = self.unanswered.get(&order.slot).map_or(0, |o| o.tries);
        let wait = match tries {
            0 => Duration::ZERO,
            tries => backoff(tries, settings),
        };
        let unanswered = Unanswered {
            order: order.clone(),
            tries: tries + 1,
            due: now + wait,
        };
        self.unanswered.insert(order.slot.clone(), unanswered);
    }

    /// Reports whether there is an order without an answer.
    pub(super) fn awaits_answer(&self) -> bool {
        !self.unanswered.is_empty()
    }

    /// Returns the orders without an answer that are due.
    pub(super) fn repeated(&self, now: Instant) -> Vec<Order> {
        let due = self.unanswered.values().filter(|order| order.due <= now);
        let repeated = due.map(|Unanswered { order, tries, .. }| Order {
            reason: format_compact!("repeated after {tries} calls without an answer"),
            ..order.clone()
        });
        repeated.collect()
    }

    /// Returns the instances with which the waves and bursts of the last time are served: those that
    /// suffice at the peak, and those that are comfortable on average. Comfortable numbers hold a
    /// burst already, so that their peak would count it twice.
    pub(super) fn comfortable(&self) -> u32 {
        let sizings = || self.sizings.iter().map(|(_, sizing)| sizing);
        let peak = sizings().map(|sizing| sizing.sufficient).max();
        let sum: f64 = sizings().map(|s| f64::from(s.comfortable)).sum();
        let mean = sum / sizings().count().max(1) as f64;
        peak.unwrap_or(0).max(mean.ceil() as u32)
    }

    /// Returns the sizing of the last [`Settings::scale_down_delay`] without bursts, which end before
    /// instances ordered for them serve; `None` while nothing was learned.
    pub(super) fn steady(&self, time: Duration, now: Instant) -> Option<Sizing> {
        let recent = self.sizings.iter().rev();
        let recent = recent.take_while(|(at, _)| now.saturating_duration_since(*at) <= time);
        let sizings: Vec<Sizing> = recent.map(|(_, sizing)| *sizing).collect();
        let quantile = |count: fn(&Sizing) -> u32| {
            let mut counts: Vec<u32> = sizings.iter().map(count).collect();
            counts.sort_unstable();
            let index = (counts.len() as f64 * STEADY_QUANTILE) as usize;
            counts.get(index).copied()
        };
        Some(Sizing {
            sufficient: quantile(|sizing| sizing.sufficient)?,
            cold: quantile(|sizing| sizing.cold)?,
            comfortable: self.comfortable(),
        })
    }

    /// Returns the instances that would have sufficed at any moment of the last `time`.
    pub(super) fn lasting(&self, time: Duration, now: Instant) -> u32 {
        let recent = self.sizings.iter().rev();
        let recent = recent.take_while(|(at, _)| now.saturating_duration_since(*at) <= time);
        let counts = recent.map(|(_, sizing)| sizing.sufficient);
        counts.min().unwrap_or(0)
    }

    /// Keeps the increase of one slot that was refused before: while it is refused, so are the others
    /// mostly.
    pub(super) fn probe_one(&self, orders: &mut Vec<Order>, serving: impl Fn(&Slot) -> u32) {
        let refused = self.refusals.keys().find(|slot| {
            let mut orders = orders.iter();
            orders.any(|order| order.slot == **slot && order.count > serving(slot))
        });
        let Some(first) = refused.cloned() else {
            return;
        };
        orders.retain(|order| {
            let is_increase = order.count > serving(&order.slot);
            !is_increase || order.slot == first || !self.refusals.contains_key(&order.slot)
        });
    }
}

impl Autoscaler {
    /// Returns the sums of the last plan; `None` unless the service is balanced by work.
    pub fn status(&self) -> Option<Status> {
        self.by_work.status.filter(|_| self.by_work.is_active)
    }

    /// Excludes the slots that were refused for a time that grows with each refusal.
    pub(super) fn back_off(&mut self, slot: &Slot, now: Instant) {
        self.by_work.record_answer(slot);
        let count = self.by_work.refusals.shift_remove(slot).unwrap_or(0) + 1;
        self.by_work.refusals.insert(slot.clone(), count);
        let most = self.by_work.refusals.values().copied().max().unwrap_or(1);
        let until = now + backoff(most, &self.settings);
        let refused: Vec<Slot> = self.by_work.refusals.keys().cloned().collect();
        for slot in refused {
            self.exclude(&slot, until);
        }
    }

    /// Records that more instances of a slot were accepted. What was refused before may then be
    /// available again as well.
    pub(super) fn record_increase(&mut self, slot: &Slot, now: Instant) {
        self.by_work.increased.insert(slot.clone(), now);
        if self.by_work.refusals.contains_key(slot) {
            for (slot, _) in std::mem::take(&mut self.by_work.refusals) {
                self.excluded.swap_remove(&slot);
            }
        }
    }
}

/// Returns the time for which a slot is excluded after refusals.
fn backoff(refusals: u32, settings: &Settings) -> Duration {
    let growth = BACKOFF_FACTOR.powf(f64::from(refusals.saturating_sub(1).min(16)));
    let wait = settings.refusal_backoff.mul_f64(growth);
    wait.min(settings.economy.max_refusal_backoff)
}
