//! The cheapest counts by slot that carry the demand without any one data centre.

use config::ids::DataCentreId;
use config::text::Class;
use indexmap::IndexMap;

use crate::Slot;

/// What a slot offers.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The slot.
    pub slot: Slot,
    /// Price per hour of an instance that is held already.
    pub held_price: f64,
    /// Price per hour of a further instance.
    pub new_price: f64,
    /// Instances held.
    pub held: u32,
    /// Most instances, those held included.
    pub limit: u32,
}

/// What the instances must carry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Instances that must be left when any one data centre is lost.
    pub capacity: u32,
    /// Instances that must be on demand.
    pub on_demand: u32,
    /// Most instances in all.
    pub limit: u32,
}

/// Counts by slot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Allocation {
    /// Instances by slot; slots without any are left out.
    pub counts: IndexMap<Slot, u32>,
    /// Price of all per hour.
    pub price: f64,
    /// Instances that are missing when the fullest data centre is lost.
    pub shortfall: u32,
}

impl Allocation {
    /// Returns how many instances there are.
    pub fn total(&self) -> u32 {
        self.counts.values().sum()
    }

    /// Returns how many instances are left when the fullest data centre is lost.
    pub fn survivors(&self) -> u32 {
        let mut by_data_centre: IndexMap<&DataCentreId, u32> = IndexMap::new();
        for (slot, count) in &self.counts {
            *by_data_centre.entry(&slot.data_centre).or_default() += count;
        }
        self.total() - by_data_centre.values().max().copied().unwrap_or_default()
    }
}

/// Returns the cheapest counts that meet `need`, or the nearest that the limits allow.
///
/// For a total of `t` instances no data centre may hold more than `t - capacity`; under such a
/// bound taking the cheapest first is optimal, so trying each total finds the optimum.
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
    let mut rest = Allocation {
        shortfall: need.capacity,
        ..Allocation::default()
    };
    top_up(&mut rest, offers, need);
    rest
}

/// A part of an offer at one price.
struct Tranche<'a> {
    slot: &'a Slot,
    price: f64,
    from: u32,
    to: u32,
}

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

/// Returns the cheapest `total` instances with at most `bound` in each data centre.
fn fill(offers: &[Offer], need: Need, total: u32, bound: u32) -> Option<Allocation> {
    let tranches = tranches(offers);
    let mut allocation = Allocation::default();
    let floor = need.on_demand.min(total);
    let floor_bound = floor.div_ceil(2).min(bound);
    let on_demand = |t: &&Tranche<'_>| t.slot.class == Class::OnDemand;
    take(
        &mut allocation,
        tranches.iter().filter(on_demand),
        floor,
        floor_bound,
    );
    take(&mut allocation, tranches.iter(), total, bound);
    (allocation.total() == total).then_some(allocation)
}

/// Adds instances without a bound by data centre until the demand itself is carried.
fn top_up(allocation: &mut Allocation, offers: &[Offer], need: Need) {
    let total = need.capacity.min(need.limit).max(allocation.total());
    take(allocation, tranches(offers).iter(), total, u32::MAX);
}

fn take<'a>(
    allocation: &mut Allocation,
    tranches: impl Iterator<Item = &'a Tranche<'a>>,
    total: u32,
    bound: u32,
) {
    for tranche in tranches {
        let missing = total.saturating_sub(allocation.total());
        let data_centre = &tranche.slot.data_centre;
        let there: u32 = allocation
            .counts
            .iter()
            .filter(|(slot, _)| slot.data_centre == *data_centre)
            .map(|(_, count)| count)
            .sum();
        let known = allocation.counts.get(tranche.slot).copied().unwrap_or(0);
        let left = tranche.to.saturating_sub(known.max(tranche.from));
        let more = missing.min(bound.saturating_sub(there)).min(left);
        if more > 0 {
            *allocation.counts.entry(tranche.slot.clone()).or_default() += more;
            allocation.price += f64::from(more) * tranche.price;
        }
    }
}
