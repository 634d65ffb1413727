//! The plan of a service that is balanced by work.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use config::text::{Class, Scaling};
use indexmap::IndexMap;
use performance::Sizing;

use super::counts::{Counts, Need, Offer};
use super::transition::{Allowance, Moved, Step, advance};
use super::warmth::Warmth;
use super::{Autoscaler, Economy, Input, Order, START_SLACK, Settings, Supply};
use crate::Slot;

/// Growth of a back-off with each refusal.
const BACKOFF_FACTOR: f64 = 1.5;
/// Bounds of the speed of an instance.
const SPEEDS: (f64, f64) = (0.25, 4.0);

/// State of the plan of a service that is balanced by work.
#[derive(Debug, Default)]
pub(super) struct ByWork {
    is_active: bool,
    warmth: Warmth,
    /// Comfortable numbers of instances within the last [`Economy::comfort_window`].
    comfortable: VecDeque<(Instant, u32)>,
    /// Refusals of each slot since instances were last available, least recent first.
    refusals: IndexMap<Slot, u32>,
    /// Orders without an answer.
    unanswered: IndexMap<Slot, Unanswered>,
    /// When the count of each slot was last increased.
    increased: IndexMap<Slot, Instant>,
    replaced_at: Option<Instant>,
    released_at: Option<Instant>,
    status: Option<Status>,
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
        self.warmth.record(supply, economy.warm_time, now);
        let window = economy.comfort_window;
        self.comfortable
            .retain(|(at, _)| now.saturating_duration_since(*at) <= window);
        if input.forecast.is_learned {
            let sizing = input.forecast.sizing;
            self.comfortable.push_back((now, sizing.comfortable));
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

    /// Returns the orders without an answer that are due.
    fn repeated(&self, now: Instant) -> Vec<Order> {
        let due = self.unanswered.values().filter(|order| order.due <= now);
        let repeated = due.map(|Unanswered { order, tries, .. }| Order {
            reason: format_compact!("repeated after {tries} calls without an answer"),
            ..order.clone()
        });
        repeated.collect()
    }

    fn largest_comfortable(&self) -> u32 {
        let counts = self.comfortable.iter().map(|(_, count)| *count);
        counts.max().unwrap_or(0)
    }

    /// Keeps the increase of one slot that was refused before: while it is refused, so are the others
    /// mostly.
    fn probe_one(&self, orders: &mut Vec<Order>, serving: impl Fn(&Slot) -> u32) {
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

    /// Returns the orders for a service that is balanced by work.
    pub(super) fn plan_by_work(
        &mut self,
        scaling: &Scaling,
        supply: &IndexMap<Slot, Supply>,
        input: &Input,
        needed: Sizing,
        now: Instant,
    ) -> Vec<Order> {
        if !self.by_work.unanswered.is_empty() {
            return self.by_work.repeated(now);
        }
        let offers = self.priced_offers(scaling, supply, input, now);
        let need = self.need(scaling, needed);
        let wanted = Counts::best(&offers, &need, &self.settings.economy);
        let mut steps = self.steps(&offers, &wanted, now);
        let allowance = self.allowance(&offers, &need, &wanted, scaling, now);
        let moved = advance(&mut steps, &wanted, allowance);
        self.record_moves(moved, now);
        self.by_work.status = Some(self.summary(&steps, &wanted, &need, now));
        let changed = steps.iter().filter(|step| step.next != step.current);
        let mut orders: Vec<Order> = changed
            .map(|step| Order {
                slot: step.slot.clone(),
                count: step.next,
                reason: reason(step, &wanted, &need),
            })
            .collect();
        let current = |slot: &Slot| {
            let step = steps.iter().find(|step| step.slot == *slot);
            step.map_or(0, |step| step.current)
        };
        self.by_work.probe_one(&mut orders, current);
        orders
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

    fn priced_offers(
        &self,
        scaling: &Scaling,
        supply: &IndexMap<Slot, Supply>,
        input: &Input,
        now: Instant,
    ) -> Vec<Offer> {
        let economy = &self.settings.economy;
        let offers = self.offers(scaling, supply, now);
        let mean_speed = mean_speed(supply, input);
        let priced = offers.into_iter().map(|offer| {
            let existing = self.current_count(&offer.slot, offer.serving, scaling, now);
            let time = match offer.slot.class {
                Class::Reclaimable => economy.reclaimable_use,
                Class::OnDemand => economy.on_demand_use,
            };
            let start = offer.price * scaling.boot_time.as_secs_f64() + economy.cold_cost;
            Offer {
                kept_price: offer.price,
                new_price: offer.price + start / time.as_secs_f64(),
                existing,
                limit: match self.is_excluded(&offer.slot, now) {
                    true => existing,
                    false => scaling.max_count,
                },
                speed: speed(&offer.slot, supply, input).unwrap_or(mean_speed),
                slot: offer.slot,
            }
        });
        priced.collect()
    }

    fn is_excluded(&self, slot: &Slot, now: Instant) -> bool {
        self.excluded.get(slot).is_some_and(|until| now < *until)
    }

    fn need(&self, scaling: &Scaling, needed: Sizing) -> Need {
        let economy = &self.settings.economy;
        let data_centres = scaling.prices.len().max(1) as f64;
        let lost = self.reclaims.len() as f64;
        let comfortable = needed.comfortable.max(self.by_work.largest_comfortable());
        Need {
            sufficient: f64::from(needed.sufficient_without(lost / data_centres)),
            sufficient_after_loss: f64::from(
                needed.sufficient_without((lost + 1.0) / data_centres),
            ),
            comfortable: f64::from(comfortable),
            loss_probability: match self.is_in_wave() {
                true => economy.wave_loss_probability,
                false => economy.loss_probability,
            },
            min_count: scaling.min_count,
            max_count: scaling.max_count,
        }
    }

    fn steps(&self, offers: &[Offer], wanted: &Counts, now: Instant) -> Vec<Step> {
        let keep_time = self.settings.economy.keep_time;
        let steps = offers.iter().map(|offer| {
            let increased = self.by_work.increased.get(&offer.slot);
            Step {
                slot: offer.slot.clone(),
                current: offer.existing,
                wanted: wanted.count(&offer.slot),
                warm: self.by_work.warmth.warm(&offer.slot).min(offer.existing),
                price: offer.kept_price,
                may_release: increased
                    .is_none_or(|at| now.saturating_duration_since(*at) >= keep_time),
                next: offer.existing,
            }
        });
        steps.collect()
    }

    /// Returns what this round may do. Nothing is replaced or released before what the service needs
    /// was learned for the time in which instances ordered by an earlier leader start.
    fn allowance(
        &self,
        offers: &[Offer],
        need: &Need,
        wanted: &Counts,
        scaling: &Scaling,
        now: Instant,
    ) -> Allowance {
        let economy = &self.settings.economy;
        let is_past = |since: Option<Instant>, time: Duration| {
            since.is_none_or(|at| now.saturating_duration_since(at) >= time)
        };
        let hold = economy.warm_time.max(scaling.boot_time + START_SLACK);
        let may_move =
            self.learned_since.is_some() && is_past(self.learned_since, hold) && !self.is_in_wave();
        let existing: u32 = offers.iter().map(|offer| offer.existing).sum();
        let portion = (f64::from(existing) * economy.portion).ceil() as u32;
        let when = |condition: bool| match condition {
            true => portion,
            false => 0,
        };
        let capacity = |offer: &Offer| f64::from(offer.existing) * offer.speed;
        Allowance {
            replaced: when(may_move && is_past(self.by_work.replaced_at, economy.warm_time)),
            released: when(may_move && is_past(self.by_work.released_at, economy.release_interval)),
            ignored: (f64::from(wanted.total()) * economy.min_change) as u32,
            is_urgent: offers.iter().map(capacity).sum::<f64>() < need.sufficient,
            max_count: scaling.max_count,
        }
    }

    fn record_moves(&mut self, moved: Moved, now: Instant) {
        if moved.replaced > 0 {
            self.by_work.replaced_at = Some(now);
        }
        if moved.released > 0 {
            self.by_work.released_at = Some(now);
        }
    }

    fn summary(&self, steps: &[Step], wanted: &Counts, need: &Need, now: Instant) -> Status {
        let refused = self.by_work.refusals.keys();
        let sold_out = refused.filter(|slot| self.is_excluded(slot, now)).count();
        Status {
            wanted: wanted.total(),
            ordered: steps.iter().map(|step| step.next).sum(),
            warm: steps.iter().map(|step| step.warm).sum(),
            sufficient: need.sufficient as u32,
            after_loss: wanted.capacity_after_loss as u32,
            sold_out: u32::try_from(sold_out).unwrap_or(u32::MAX),
        }
    }
}

/// Says why an order is sent, for the log.
fn reason(step: &Step, wanted: &Counts, need: &Need) -> CompactString {
    let what = match (step.next > step.current, step.next == step.wanted) {
        (true, true) => "more",
        (true, false) => "more, a portion",
        (false, true) => "fewer",
        (false, false) => "fewer, a portion",
    };
    format_compact!(
        "{what}: {} wanted here at {:.2} each, {} in all at {:.1}; capacity {:.1}, {:.1} after a loss \
         of probability {:.2}; {:.0} suffice, {:.0} after a loss, {:.0} are comfortable; {} of {} here \
         are warm",
        step.wanted,
        step.price,
        wanted.total(),
        wanted.price,
        wanted.capacity,
        wanted.capacity_after_loss,
        need.loss_probability,
        need.sufficient,
        need.sufficient_after_loss,
        need.comfortable,
        step.warm,
        step.current,
    )
}

/// Returns the time for which a slot is excluded after refusals.
fn backoff(refusals: u32, settings: &Settings) -> Duration {
    let growth = BACKOFF_FACTOR.powf(f64::from(refusals.saturating_sub(1).min(16)));
    let wait = settings.refusal_backoff.mul_f64(growth);
    wait.min(settings.economy.max_refusal_backoff)
}

/// Returns the mean speed of the instances of a slot, if it is known.
fn speed(slot: &Slot, supply: &IndexMap<Slot, Supply>, input: &Input) -> Option<f64> {
    let sum = *input.speeds.get(slot)?;
    let serving = supply.get(slot).map_or(0, |supply| supply.serving);
    let mean = sum / f64::from(serving);
    mean.is_finite().then_some(mean.clamp(SPEEDS.0, SPEEDS.1))
}

/// Returns the mean speed of all instances whose speed is known, and 1.0 if none is.
fn mean_speed(supply: &IndexMap<Slot, Supply>, input: &Input) -> f64 {
    let known = input.speeds.iter().filter_map(|(slot, _)| {
        let serving = f64::from(supply.get(slot)?.serving);
        Some((speed(slot, supply, input)? * serving, serving))
    });
    let (speeds, serving) = known.fold((0.0, 0.0), |(a, b), (c, d)| (a + c, b + d));
    match serving > 0.0 {
        true => speeds / serving,
        false => 1.0,
    }
}
