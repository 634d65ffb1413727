//! The counts with the largest value of answers less the price of the instances.
//!
//! The value is the mean over scenarios: no further reclaim, or the loss of all reclaimable
//! instances of any one data centre. Instances up to those that suffice in a scenario count fully,
//! those up to the comfortable number by the share of the time for which bursts need them.

use config::text::Class;
use indexmap::IndexMap;

use super::economy::Economy;
use crate::Slot;

/// Number of bounds on the reclaimable instances of a data centre that are tried before those beside
/// the best one.
const COARSE_BOUNDS: u32 = 8;

/// A slot with what it costs.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    pub(super) slot: Slot,
    /// Price per second of an instance that exists.
    pub(super) kept_price: f64,
    /// Price per second of another instance, with a part of what its start costs.
    pub(super) new_price: f64,
    /// Instances that exist or were ordered.
    pub(super) existing: u32,
    /// Most instances.
    pub(super) limit: u32,
    /// Speed of an instance.
    pub(super) speed: f64,
}

/// Requirements in usual instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Need {
    /// Instances that suffice while no further data centre is lost.
    pub(super) sufficient: f64,
    /// Instances that suffice after a further loss, with the caches that go with it.
    pub(super) sufficient_after_loss: f64,
    /// Instances that suffice in a burst.
    pub(super) comfortable: f64,
    /// Probability that a data centre is lost.
    pub(super) loss_probability: f64,
    /// Fewest instances in each data centre.
    pub(super) min_count: u32,
    /// Most instances in each data centre.
    pub(super) max_count: u32,
}

/// Counts by slot, in the order of the offers.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Counts {
    pub(super) by_slot: IndexMap<Slot, u32>,
    /// Price of all instances per second.
    pub(super) price: f64,
    /// Usual instances' worth of speed in all.
    pub(super) capacity: f64,
    /// The same after the loss of the data centre that has most of it.
    pub(super) capacity_after_loss: f64,
    /// Value of the answers less the prices.
    net: f64,
}

impl Counts {
    /// Returns the best counts. The even spread over data centres is found by trying each bound on
    /// the reclaimable instances of a data centre, under which the best instance is taken first.
    pub(super) fn best(offers: &[Offer], need: &Need, economy: &Economy) -> Counts {
        let data_centres = data_centres(offers);
        let try_bounds = |bounds: &mut dyn Iterator<Item = u32>| {
            let search = |bound| Search::new(offers, &data_centres, need, economy, bound);
            let found = bounds.map(|bound| (bound, search(bound).run()));
            found.reduce(|best, other| match other.1.net > best.1.net {
                true => other,
                false => best,
            })
        };
        let step = need.max_count.div_ceil(COARSE_BOUNDS).max(1);
        let mut coarse = (0..=COARSE_BOUNDS).map(|n| (n * step).min(need.max_count));
        let (bound, coarse) = try_bounds(&mut coarse).unwrap_or_default();
        let beside = bound.saturating_sub(step - 1)..(bound + step).min(need.max_count);
        match try_bounds(&mut beside.filter(|other| *other != bound)) {
            Some((_, fine)) if fine.net > coarse.net => fine,
            _ => coarse,
        }
    }

    pub(super) fn count(&self, slot: &Slot) -> u32 {
        self.by_slot.get(slot).copied().unwrap_or(0)
    }

    pub(super) fn total(&self) -> u32 {
        self.by_slot.values().sum()
    }
}

/// A search under one bound.
struct Search<'a> {
    offers: &'a [Offer],
    /// Index of the data centre of each offer.
    data_centres: &'a [usize],
    need: &'a Need,
    economy: &'a Economy,
    /// Most reclaimable instances in a data centre.
    bound: u32,
    /// Probability of the loss of each data centre.
    loss: f64,
    counts: Vec<u32>,
    /// Instances of all classes, by data centre.
    beside: Vec<u32>,
    /// Speed of the reclaimable instances, by offer; the loss of a data centre takes one of these.
    reclaimable: Vec<f64>,
    capacity: f64,
    price: f64,
    net: f64,
}

impl<'a> Search<'a> {
    fn new(
        offers: &'a [Offer],
        data_centres: &'a [usize],
        need: &'a Need,
        economy: &'a Economy,
        bound: u32,
    ) -> Self {
        let reclaimable = offers.iter().filter(|offer| is_reclaimable(offer)).count();
        Search {
            offers,
            data_centres,
            need,
            economy,
            bound,
            loss: need.loss_probability / reclaimable.max(1) as f64,
            counts: vec![0; offers.len()],
            beside: vec![0; offers.len()],
            reclaimable: vec![0.0; offers.len()],
            capacity: 0.0,
            price: 0.0,
            net: 0.0,
        }
    }

    fn run(mut self) -> Counts {
        while let Some((index, net)) = self.best_offer() {
            if net <= 0.0 {
                break;
            }
            self.add(index, net);
        }
        self.ensure_minimum();
        let lost = self.reclaimable.iter().copied().fold(0.0, f64::max);
        let slots = self.offers.iter().map(|offer| offer.slot.clone());
        Counts {
            by_slot: slots.zip(self.counts).collect(),
            price: self.price,
            capacity: self.capacity,
            capacity_after_loss: self.capacity - lost,
            net: self.net,
        }
    }

    /// Returns the offer whose next instance has the largest value less its price.
    fn best_offer(&self) -> Option<(usize, f64)> {
        // Instances mostly have the same speed, and then the same value but for their own loss.
        let mut of_speed: Option<(f64, f64)> = None;
        let open = (0..self.offers.len()).filter(|index| self.is_open(*index));
        let rated = open.map(|index| {
            let speed = self.offers[index].speed;
            let value = match of_speed {
                Some((known, value)) if known == speed => value,
                _ => self.value(speed),
            };
            of_speed = Some((speed, value));
            let own_loss = self.value_after_loss(index, speed);
            (index, value - own_loss - self.next_price(index))
        });
        rated.max_by(|(_, a), (_, b)| a.total_cmp(b))
    }

    fn is_open(&self, index: usize) -> bool {
        let offer = &self.offers[index];
        let limit = match offer.slot.class {
            Class::Reclaimable => offer.limit.min(self.bound),
            Class::OnDemand => offer.limit,
        };
        self.counts[index] < limit && self.count_beside(index) < self.need.max_count
    }

    /// Returns the instances of all classes in the data centre of an offer.
    fn count_beside(&self, index: usize) -> u32 {
        self.beside[self.data_centres[index]]
    }

    fn next_price(&self, index: usize) -> f64 {
        let offer = &self.offers[index];
        match self.counts[index] < offer.existing {
            true => offer.kept_price,
            false => offer.new_price,
        }
    }

    /// Returns the value of another instance that serves in all scenarios.
    fn value(&self, speed: f64) -> f64 {
        let no_loss = self.rise(self.capacity, speed, self.need.sufficient);
        let losses = (0..self.offers.len()).map(|lost| self.value_after_loss(lost, speed));
        (1.0 - self.need.loss_probability) * no_loss + losses.sum::<f64>()
    }

    /// Returns the value of another instance that serves after the loss of the instances of an offer;
    /// 0 if these can't be lost.
    fn value_after_loss(&self, lost: usize, speed: f64) -> f64 {
        if !is_reclaimable(&self.offers[lost]) {
            return 0.0;
        }
        let left = self.capacity - self.reclaimable[lost];
        self.loss * self.rise(left, speed, self.need.sufficient_after_loss)
    }

    fn rise(&self, capacity: f64, speed: f64, sufficient: f64) -> f64 {
        self.utility(capacity + speed, sufficient) - self.utility(capacity, sufficient)
    }

    /// Returns the value of the answers that a capacity gives.
    fn utility(&self, capacity: f64, sufficient: f64) -> f64 {
        let comfortable = self.need.comfortable.max(sufficient);
        let spare = (capacity.min(comfortable) - sufficient).max(0.0);
        let value = capacity.min(sufficient) + spare * self.economy.burst_share;
        value * self.economy.instance_value
    }

    fn add(&mut self, index: usize, net: f64) {
        let offer = &self.offers[index];
        self.price += offer.kept_price;
        self.net += net;
        self.capacity += offer.speed;
        self.counts[index] += 1;
        self.beside[self.data_centres[index]] += 1;
        if is_reclaimable(offer) {
            self.reclaimable[index] += offer.speed;
        }
    }

    /// Adds the cheapest instances in data centres that have fewer than the minimum.
    fn ensure_minimum(&mut self) {
        for index in 0..self.offers.len() {
            while self.count_beside(index) < self.need.min_count {
                let is_here = |i: &usize| self.data_centres[*i] == self.data_centres[index];
                let has_room = |i: &usize| self.counts[*i] < self.offers[*i].limit;
                let here = (0..self.offers.len()).filter(is_here).filter(has_room);
                let by_price =
                    |a: &usize, b: &usize| self.next_price(*a).total_cmp(&self.next_price(*b));
                let Some(cheapest) = here.min_by(by_price) else {
                    break;
                };
                let speed = self.offers[cheapest].speed;
                let value = self.value(speed) - self.value_after_loss(cheapest, speed);
                self.add(cheapest, value - self.next_price(cheapest));
            }
        }
    }
}

/// Returns the index of the first offer in the same data centre, for each offer.
fn data_centres(offers: &[Offer]) -> Vec<usize> {
    let is_same = |a: &Offer, b: &Offer| a.slot.data_centre == b.slot.data_centre;
    let first = |offer| offers.iter().position(|other| is_same(offer, other));
    let indices = offers.iter().map(|offer| first(offer).unwrap_or(0));
    indices.collect()
}

fn is_reclaimable(offer: &Offer) -> bool {
    offer.slot.class == Class::Reclaimable
}
