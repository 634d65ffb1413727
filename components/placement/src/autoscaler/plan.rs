//! The plan of a service that is balanced by work.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use config::text::{Class, Scaling};
use indexmap::IndexMap;
use performance::Sizing;

use super::counts::{Counts, Need, Offer};
use super::speeds::{mean_speed, speed};
use super::transition::{Allowance, Moved, Step, advance};
use super::{Autoscaler, Input, Order, START_SLACK, Status, Supply};
use crate::Slot;

impl Autoscaler {
    /// Returns the orders for a service that is balanced by work.
    pub(super) fn plan_by_work(
        &mut self,
        scaling: &Scaling,
        supply: &IndexMap<Slot, Supply>,
        input: &Input,
        needed: Sizing,
        now: Instant,
    ) -> Vec<Order> {
        if self.by_work.awaits_answer() {
            return self.by_work.repeated(now);
        }
        let offers = self.priced_offers(scaling, supply, input, now);
        let need = self.need(scaling, &offers, needed, now);
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

    fn need(&self, scaling: &Scaling, offers: &[Offer], assumed: Sizing, now: Instant) -> Need {
        let economy = &self.settings.economy;
        let data_centres = scaling.prices.len().max(1) as f64;
        let lost = self.reclaims.len() as f64;
        let steady = self.by_work.steady(self.settings.scale_down_delay, now);
        let sizing = steady.unwrap_or(assumed);
        let least = self.settings.min_survivors;
        let suffice =
            |lost: f64| f64::from(sizing.sufficient_without(lost / data_centres).max(least));
        let lasting = f64::from(self.by_work.lasting(economy.rise_time, now));
        let rise = match lasting > capacity(offers) {
            true => lasting,
            false => 0.0,
        };
        Need {
            sufficient: suffice(lost).max(rise),
            sufficient_after_loss: suffice(lost + 1.0),
            comfortable: f64::from(sizing.comfortable),
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

    /// Returns what this round may do. Nothing is replaced or released before instances that an earlier
    /// leader ordered have started, and unless it is known for some time what the service needs.
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
        let start_time = scaling.boot_time + START_SLACK;
        let delay = self.settings.scale_down_delay;
        let is_known = self.by_work.steady(delay, now).is_some();
        let may_move = is_known
            && is_past(self.learned_since, self.settings.learning_time)
            && is_past(self.started, start_time);
        let may_replace = may_move && !self.is_in_wave();
        let existing: u32 = offers.iter().map(|offer| offer.existing).sum();
        let portion = (f64::from(existing) * economy.portion).ceil() as u32;
        let when = |condition: bool| match condition {
            true => portion,
            false => 0,
        };
        Allowance {
            replaced: when(may_replace && is_past(self.by_work.replaced_at, economy.warm_time)),
            released: when(may_move && is_past(self.by_work.released_at, economy.release_interval)),
            ignored: (f64::from(wanted.total()) * economy.min_change) as u32,
            is_urgent: capacity(offers) < need.sufficient,
            max_count: scaling.max_count,
            floor: need.sufficient_after_loss.ceil() as u32,
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

/// Returns the capacity of the instances that exist or were ordered, in usual instances.
fn capacity(offers: &[Offer]) -> f64 {
    let capacities = offers.iter();
    let capacities = capacities.map(|offer| f64::from(offer.existing) * offer.speed);
    capacities.sum()
}
