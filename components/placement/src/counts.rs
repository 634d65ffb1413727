//! How many instances of a service to order where and in which class, where the cloud takes orders
//! by count. Pure: time comes in with each call.
//!
//! The counts are the cheapest with which enough instances are left when any one data centre is
//! lost. They grow at once and shrink after a while; instances that are to go stay until those
//! that replace them serve. A slot whose instances are taken back, or that has none to sell, is
//! left out for a while.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use config::text::{Class, Scaling};
use indexmap::IndexMap;

use crate::{Allocation, Need, Offer, Slot, allocate};

/// Settings of a [`Counter`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Requests in progress that one instance carries well within the latency target.
    pub requests_per_instance: f64,
    /// Prompt tokens waiting to be computed that one instance works off in time.
    pub tokens_per_instance: f64,
    /// Fewest instances that must be left when a data centre is lost.
    pub least: u32,
    /// Time for which less must be needed before fewer are ordered.
    pub hold: Duration,
    /// Time for which a slot is left out after its instances were taken back.
    pub after_reclaim: Duration,
    /// Time for which a slot is left out after it had none to sell.
    pub after_refusal: Duration,
    /// Share of the price by which a new slot must be cheaper than one that is held.
    pub stickiness: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            requests_per_instance: 9.0,
            tokens_per_instance: 12_000.0,
            least: 4,
            hold: Duration::from_secs(12),
            after_reclaim: Duration::from_secs(6),
            after_refusal: Duration::from_secs(2),
            stickiness: 0.05,
        }
    }
}

/// Instances of one slot that announce themselves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Present {
    /// Instances that take work.
    pub serving: u32,
    /// Instances that are taken back.
    pub reclaimed: u32,
}

/// Work of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests in progress.
    pub requests: f64,
    /// Prompt tokens that wait to be computed.
    pub tokens: f64,
}

/// A count to be ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The slot.
    pub slot: Slot,
    /// Instances that it is to have.
    pub count: u32,
    /// Why, for the log.
    pub reason: CompactString,
}

/// Plans the counts of one service. Its memory may be lost with its process.
#[derive(Debug, Default)]
pub struct Counter {
    settings: Settings,
    capacity: u32,
    surplus_since: Option<Instant>,
    left_out: IndexMap<Slot, Instant>,
    ordered: IndexMap<Slot, u32>,
}

impl Counter {
    /// Knows nothing yet.
    pub fn new(settings: Settings) -> Self {
        Counter {
            settings,
            ..Counter::default()
        }
    }

    /// Takes in that a slot has none to sell.
    pub fn refused(&mut self, slot: &Slot, now: Instant) {
        self.ordered.swap_remove(slot);
        self.leave_out(slot, now + self.settings.after_refusal);
    }

    /// Takes in that an order was taken.
    pub fn ordered(&mut self, order: &Order) {
        self.ordered.insert(order.slot.clone(), order.count);
    }

    /// Returns the orders that lead to the counts that are right now.
    pub fn plan(
        &mut self,
        scaling: &Scaling,
        present: &IndexMap<Slot, Present>,
        demand: Demand,
        now: Instant,
    ) -> Vec<Order> {
        self.note_reclaims(present, now);
        let capacity = self.size(demand, now);
        let need = Need {
            capacity,
            on_demand: 0,
            limit: u32::MAX,
        };
        let offers = self.offers(scaling, present, now);
        let mut wanted = allocate(&offers, need);
        keep_minimum(&mut wanted, &offers, scaling);
        let serving = |slot: &Slot| present.get(slot).map_or(0, |p| p.serving);
        let is_complete = wanted
            .counts
            .iter()
            .all(|(slot, count)| serving(slot) >= *count);
        let mut orders = Vec::new();
        for offer in &offers {
            let slot = &offer.slot;
            let count = wanted.counts.get(slot).copied().unwrap_or(0);
            let known = self.ordered.get(slot).copied();
            let held = known.unwrap_or(serving(slot));
            let count = match is_complete {
                true => count,
                false => count.max(held),
            };
            if count != held || (known.is_none() && count > 0) {
                orders.push(Order {
                    slot: slot.clone(),
                    count,
                    reason: format_compact!(
                        "{} in all, so that {capacity} are left without any one data centre; \
                         {:.0} requests in progress, {:.0} tokens wait; {} serve here",
                        wanted.total(),
                        demand.requests,
                        demand.tokens,
                        serving(slot),
                    ),
                });
            }
        }
        orders
    }

    /// Leaves out slots whose instances are taken back.
    fn note_reclaims(&mut self, present: &IndexMap<Slot, Present>, now: Instant) {
        let reclaimed = present.iter().filter(|(_, present)| present.reclaimed > 0);
        for (slot, _) in reclaimed {
            self.ordered.swap_remove(slot);
            self.leave_out(slot, now + self.settings.after_reclaim);
        }
    }

    fn leave_out(&mut self, slot: &Slot, until: Instant) {
        let known = self.left_out.entry(slot.clone()).or_insert(until);
        *known = until.max(*known);
    }

    /// Returns how many instances must be left when a data centre is lost.
    fn size(&mut self, demand: Demand, now: Instant) -> u32 {
        let by_requests = demand.requests / self.settings.requests_per_instance;
        let by_tokens = demand.tokens / self.settings.tokens_per_instance;
        let needed = by_requests.max(by_tokens).ceil() as u32;
        let needed = needed.max(self.settings.least);
        let since = self.surplus_since.unwrap_or(now);
        let held = now.saturating_duration_since(since) >= self.settings.hold;
        match self.capacity {
            known if known < needed => {
                self.capacity = needed;
                self.surplus_since = None;
            }
            known if known == needed => self.surplus_since = None,
            _ if held && self.surplus_since.is_some() => {
                self.capacity -= 1;
                self.surplus_since = Some(now);
            }
            _ => self.surplus_since = Some(since),
        }
        self.capacity
    }

    fn offers(
        &self,
        scaling: &Scaling,
        present: &IndexMap<Slot, Present>,
        now: Instant,
    ) -> Vec<Offer> {
        let mut offers = Vec::new();
        for (data_centre, price) in &scaling.prices {
            for class in Class::ALL {
                let slot = Slot {
                    data_centre: data_centre.clone(),
                    class,
                };
                let price = match class {
                    Class::Reclaimable => price * scaling.reclaimable_price,
                    Class::OnDemand => *price,
                };
                let held = present.get(&slot).map_or(0, |present| present.serving);
                let is_left_out = self.left_out.get(&slot).is_some_and(|until| now < *until);
                offers.push(Offer {
                    held_price: price * (1.0 - self.settings.stickiness),
                    new_price: price,
                    held,
                    limit: match is_left_out {
                        true => held.min(scaling.max_count),
                        false => scaling.max_count,
                    },
                    slot,
                });
            }
        }
        offers
    }
}

/// Adds instances where a data centre has fewer than it must have, of the cheapest class that it
/// offers.
fn keep_minimum(wanted: &mut Allocation, offers: &[Offer], scaling: &Scaling) {
    for data_centre in scaling.prices.keys() {
        let here = |slot: &Slot| slot.data_centre == *data_centre;
        let counts = wanted.counts.iter().filter(|(slot, _)| here(slot));
        let count: u32 = counts.map(|(_, count)| count).sum();
        let missing = scaling.min_count.saturating_sub(count);
        let open = offers.iter().filter(|offer| here(&offer.slot));
        let open = open.filter(|offer| offer.limit >= missing);
        let cheapest = open.min_by(|a, b| a.new_price.total_cmp(&b.new_price));
        if let Some(offer) = cheapest.filter(|_| missing > 0) {
            *wanted.counts.entry(offer.slot.clone()).or_default() += missing;
        }
    }
}
