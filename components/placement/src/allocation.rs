//! The cheapest counts by slot that still carry the demand after the loss of any one data centre.

use config::ids::DataCentreId;
use config::text::Class;
use indexmap::IndexMap;

use crate::Slot;

/// Prices and limit of a slot for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The slot.
    pub slot: Slot,
    /// Price per hour of an instance that is already held.
    pub held_price: f64,
    /// Price per hour of an additional instance.
    pub new_price: f64,
    /// Instances held.
    pub held: u32,
    /// Maximum number of instances, including those held.
    pub limit: u32,
}

/// Requirements on an allocation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Instances that must remain after the loss of any one data centre.
    pub capacity: u32,
    /// Minimum number of on-demand instances.
    pub on_demand: u32,
    /// Maximum number of instances in total.
    pub limit: u32,
}

/// The number of instances in each slot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Allocation {
    /// Instances by slot; slots without instances are absent.
    pub counts: IndexMap<Slot, u32>,
    /// Total price per hour.
    pub price: f64,
    /// Instances by which the allocation falls short of [`Need::capacity`].
    pub shortfall: u32,
}

impl Allocation {
    /// Returns the total number of instances.
    pub fn total(&self) -> u32 {
        self.counts.values().sum()
    }

    /// Returns the number of instances that remain after the loss of the data centre with the most.
    pub fn survivors(&self) -> u32 {
        let mut by_data_centre: IndexMap<&DataCentreId, u32> = IndexMap::new();
        for (slot, count) in &self.counts {
            *by_data_centre.entry(&slot.data_centre).or_default() += count;
        }
        self.total() - by_data_centre.values().max().copied().unwrap_or_default()
    }
}

/// Returns the cheapest allocation that meets `need`, or the closest one that the limits allow.
///
/// With a total of `t` instances no data centre may hold more than `t - capacity`. Under such a
/// bound it is optimal to take the cheapest instances first, so trying each total finds the
/// optimum.
pub fn allocate(offers: &[Offer], need: Need) -> Allocation {
    for capacity in (1..=need.capacity).rev() {
        let best = (capacity + 1..=capacity.saturating_mul(2).min(need.limit))
            .filter_map(|total| fill(offers, need, total, total - capacity))
            .min_by(|a, b| a.price.total_cmp(&b.price));
        if let Some(mut best) = best {
            best.shortfall = need.capacity - capacity;
            top_up(&mut best, offers, need);
            return best;
        }
    }
    let mut fallback = Allocation {
        shortfall: need.capacity,
        ..Allocation::default()
    };
    top_up(&mut fallback, offers, need);
    fallback
}

/// Instances `from..to` of a slot, which have the same price.
struct Tranche<'a> {
    slot: &'a Slot,
    price: f64,
    from: u32,
    to: u32,
}

/// Returns the tranches of all offers, cheapest first.
fn tranches(offers: &[Offer]) -> Vec<Tranche<'_>> {
    let mut tranches: Vec<_> = offers
        .iter()
        .flat_map(|offer| {
            let tranche = |price, from, to| Tranche {
                slot: &offer.slot,
                price,
                from,
                to,
            };
            let held = offer.held.min(offer.limit);
            [
                tranche(offer.held_price, 0, held),
                tranche(offer.new_price, held, offer.limit),
            ]
        })
        .collect();
    tranches.sort_by(|a, b| a.price.total_cmp(&b.price));
    tranches
}

/// Returns the cheapest `total` instances with at most `bound` in each data centre, or `None` if
/// the limits are too low. The required on-demand instances are taken first, at most half of them
/// in one data centre.
fn fill(offers: &[Offer], need: Need, total: u32, bound: u32) -> Option<Allocation> {
    let tranches = tranches(offers);
    let mut allocation = Allocation::default();
    let min_on_demand = need.on_demand.min(total);
    let on_demand_bound = min_on_demand.div_ceil(2).min(bound);
    let on_demand = |t: &&Tranche<'_>| t.slot.class == Class::OnDemand;
    take(
        &mut allocation,
        tranches.iter().filter(on_demand),
        min_on_demand,
        on_demand_bound,
    );
    take(&mut allocation, tranches.iter(), total, bound);
    (allocation.total() == total).then_some(allocation)
}

/// Adds instances without a bound by data centre until there are as many as must remain after a
/// loss.
fn top_up(allocation: &mut Allocation, offers: &[Offer], need: Need) {
    let total = need.capacity.min(need.limit).max(allocation.total());
    take(allocation, tranches(offers).iter(), total, u32::MAX);
}

/// Adds the first instances of `tranches` up to `total`, with at most `bound` in each data centre.
fn take<'a>(
    allocation: &mut Allocation,
    tranches: impl Iterator<Item = &'a Tranche<'a>>,
    total: u32,
    bound: u32,
) {
    for tranche in tranches {
        let missing = total.saturating_sub(allocation.total());
        let data_centre = &tranche.slot.data_centre;
        let in_data_centre: u32 = allocation
            .counts
            .iter()
            .filter(|(slot, _)| slot.data_centre == *data_centre)
            .map(|(_, count)| count)
            .sum();
        let current = allocation.counts.get(tranche.slot).copied().unwrap_or(0);
        let available = tranche.to.saturating_sub(current.max(tranche.from));
        let added = missing
            .min(bound.saturating_sub(in_data_centre))
            .min(available);
        if added > 0 {
            *allocation.counts.entry(tranche.slot.clone()).or_default() += added;
            allocation.price += f64::from(added) * tranche.price;
        }
    }
}
