//! The allocation of instances to slots: reclaimable ones as far as they are available, and
//! on-demand ones for the rest.

use config::text::{Class, Scaling};
use indexmap::IndexMap;

use crate::Slot;

/// Minimum number of data centres that offer reclaimable instances for [`Need::survivors`] to be
/// met by reclaimable instances alone. With fewer, each data centre would need too many of them.
const MIN_RECLAIMABLE_DATA_CENTRES: usize = 3;
/// Factor on the price of an instance that already exists, because its cache is warm.
const EXISTING_PRICE_FACTOR: f64 = 0.1;
/// Reclaimable instances that a data centre may have beyond an even share.
const MAX_IMBALANCE: u32 = 1;

/// The price and limit of a slot and the instances that it has.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    pub(super) slot: Slot,
    /// Price of one instance.
    pub(super) price: f64,
    /// Maximum number of instances.
    pub(super) limit: u32,
    /// Instances that accept requests.
    pub(super) serving: u32,
    /// Instances that accept requests or were ordered so recently that they may still start.
    pub(super) expected: u32,
}

/// Requirements on the instances of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Need {
    /// Number of data centres whose reclaimable instances may be taken back before others have
    /// started.
    pub(super) losses: usize,
    /// Instances that must remain after these losses, at any price.
    pub(super) survivors: u32,
    /// Instances with which requests are served well, as far as reclaimable ones are available.
    pub(super) target: u32,
}

/// The number of instances in each slot.
#[derive(Clone, Debug, Default)]
pub(super) struct Allocation {
    counts: IndexMap<Slot, u32>,
}

impl Allocation {
    /// Returns the counts that meet `need`.
    ///
    /// A reclaimable instance counts as a survivor only if it serves or was ordered recently.
    /// Missing survivors are ordered on demand, and no on-demand instance is released while an
    /// allocated reclaimable one does not serve yet.
    pub(super) fn new(offers: &[Offer], need: Need, scaling: &Scaling) -> Self {
        let mut allocation = Allocation::default();
        allocation.allocate_reclaimable(offers, need, scaling);
        let missing = |available: fn(&Offer) -> u32| {
            let survivors = allocation.survivors(offers, need.losses, available);
            need.survivors.saturating_sub(survivors)
        };
        let min_on_demand = missing(|offer| offer.expected);
        let is_pending = |offer: &Offer| {
            let taken = other_classes(offers, offer)
                .map(|other| other.expected)
                .sum();
            let free = scaling.max_count.saturating_sub(taken);
            let allocated = allocation.count(&offer.slot).min(free);
            has_class(offer, Class::Reclaimable) && allocated > offer.serving
        };
        let max_on_demand = match offers.iter().any(is_pending) {
            true => u32::MAX,
            false => missing(|offer| offer.serving),
        };
        let on_demand = offers
            .iter()
            .filter(|offer| has_class(offer, Class::OnDemand));
        let existing: u32 = on_demand.map(|offer| offer.expected).sum();
        allocation.allocate_on_demand(
            offers,
            existing.clamp(min_on_demand, max_on_demand.max(min_on_demand)),
            scaling,
        );
        allocation.reduce_reclaimable(offers, scaling);
        allocation.ensure_minimum(offers, scaling);
        allocation
    }

    /// Returns the number of instances in a slot.
    pub(super) fn count(&self, slot: &Slot) -> u32 {
        self.counts.get(slot).copied().unwrap_or(0)
    }

    /// Returns the number of instances in all slots.
    pub(super) fn total(&self) -> u32 {
        self.counts.values().sum()
    }

    /// Allocates reclaimable instances evenly to the data centres.
    fn allocate_reclaimable(&mut self, offers: &[Offer], need: Need, scaling: &Scaling) {
        let data_centres = u32::try_from(scaling.prices.len().max(1)).unwrap_or(u32::MAX);
        let max_per_data_centre = need.target.div_ceil(data_centres) + MAX_IMBALANCE;
        let offers: Vec<Offer> = offers
            .iter()
            .filter(|offer| has_class(offer, Class::Reclaimable))
            .map(|offer| Offer {
                limit: offer.limit.min(max_per_data_centre),
                ..offer.clone()
            })
            .collect();
        let open_data_centres = offers.iter().filter(|offer| offer.limit > 0).count();
        let fewest_first =
            |offer: &Offer, count: u32| f64::from(count) + offer.price / f64::from(u32::MAX);
        loop {
            let survivors = self.survivors(&offers, need.losses, |_| u32::MAX);
            let survives =
                open_data_centres < MIN_RECLAIMABLE_DATA_CENTRES || survivors >= need.survivors;
            let is_enough = self.total() >= need.target && survives;
            if is_enough || !self.add(&offers, Class::Reclaimable, scaling, fewest_first) {
                return;
            }
        }
    }

    /// Allocates `count` on-demand instances, existing and cheap ones first.
    fn allocate_on_demand(&mut self, offers: &[Offer], count: u32, scaling: &Scaling) {
        let by_price = |offer: &Offer, count: u32| match count < offer.expected {
            true => offer.price * EXISTING_PRICE_FACTOR,
            false => offer.price,
        };
        for _ in 0..count {
            if !self.add(offers, Class::OnDemand, scaling, by_price) {
                return;
            }
        }
    }

    /// Returns the allocated reclaimable instances that remain after the loss of the `losses` data
    /// centres with the most of them. At most `available` instances of a slot are counted.
    fn survivors(&self, offers: &[Offer], losses: usize, available: impl Fn(&Offer) -> u32) -> u32 {
        let reclaimable = offers
            .iter()
            .filter(|offer| has_class(offer, Class::Reclaimable));
        let mut counts: Vec<u32> = reclaimable
            .map(|offer| self.count(&offer.slot).min(available(offer)))
            .collect();
        counts.sort_unstable();
        counts.iter().rev().skip(losses).sum()
    }

    /// Reduces the reclaimable instances of data centres in which the on-demand ones leave too few
    /// places for them.
    fn reduce_reclaimable(&mut self, offers: &[Offer], scaling: &Scaling) {
        for offer in offers
            .iter()
            .filter(|offer| has_class(offer, Class::Reclaimable))
        {
            let others = other_classes(offers, offer);
            let taken: u32 = others.map(|other| self.count(&other.slot)).sum();
            if let Some(count) = self.counts.get_mut(&offer.slot) {
                *count = (*count).min(scaling.max_count.saturating_sub(taken));
            }
        }
    }

    /// Adds instances in data centres that have fewer than the minimum.
    fn ensure_minimum(&mut self, offers: &[Offer], scaling: &Scaling) {
        let by_price = |offer: &Offer, _| offer.price;
        for data_centre in scaling.prices.keys() {
            let is_here = |offer: &&Offer| offer.slot.data_centre == *data_centre;
            let here: Vec<Offer> = offers.iter().filter(is_here).cloned().collect();
            while self.sum(&here) < scaling.min_count {
                let added = self.add(&here, Class::Reclaimable, scaling, by_price)
                    || self.add(&here, Class::OnDemand, scaling, by_price);
                if !added {
                    break;
                }
            }
        }
    }

    /// Adds one instance of a class to the slot with the lowest `rank` among those below their
    /// limits. Reports whether there was one.
    fn add(
        &mut self,
        offers: &[Offer],
        class: Class,
        scaling: &Scaling,
        rank: impl Fn(&Offer, u32) -> f64,
    ) -> bool {
        let is_open = |offer: &&Offer| {
            let local_offers = offers.iter();
            let local_offers =
                local_offers.filter(|other| other.slot.data_centre == offer.slot.data_centre);
            // On-demand instances are sure to start, so reclaimable ones that may never start do
            // not count against the limit for them.
            let occupied = |other: &Offer| match class {
                Class::OnDemand if has_class(other, Class::Reclaimable) => {
                    self.count(&other.slot).min(other.expected)
                }
                _ => self.count(&other.slot),
            };
            let in_data_centre: u32 = local_offers.map(occupied).sum();
            has_class(offer, class)
                && self.count(&offer.slot) < offer.limit
                && in_data_centre < scaling.max_count
        };
        let rank_of = |offer: &&Offer| rank(offer, self.count(&offer.slot));
        let open = offers.iter().filter(is_open);
        let best = open.min_by(|a, b| rank_of(a).total_cmp(&rank_of(b)));
        match best {
            Some(offer) => {
                *self.counts.entry(offer.slot.clone()).or_default() += 1;
                true
            }
            None => false,
        }
    }

    fn sum(&self, offers: &[Offer]) -> u32 {
        offers.iter().map(|offer| self.count(&offer.slot)).sum()
    }
}

/// Returns the offers of the other classes in the same data centre.
fn other_classes<'a>(offers: &'a [Offer], offer: &'a Offer) -> impl Iterator<Item = &'a Offer> {
    let is_here = |other: &&Offer| other.slot.data_centre == offer.slot.data_centre;
    let others = offers
        .iter()
        .filter(|other| other.slot.class != offer.slot.class);
    others.filter(is_here)
}

fn has_class(offer: &Offer, class: Class) -> bool {
    offer.slot.class == class
}
