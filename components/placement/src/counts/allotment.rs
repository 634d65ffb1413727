//! The cheapest counts with which enough instances are left after a reclaim.

use config::text::{Class, Scaling};
use indexmap::IndexMap;

use crate::Slot;

/// What a slot offers.
#[derive(Clone, Debug)]
pub(super) struct Room {
    pub(super) slot: Slot,
    /// Price of one instance.
    pub(super) price: f64,
    /// Most instances that it can have.
    pub(super) limit: u32,
    /// Instances that take work.
    pub(super) serving: u32,
}

/// Counts by slot.
#[derive(Clone, Debug, Default)]
pub(super) struct Allotment {
    counts: IndexMap<Slot, u32>,
    price: f64,
}

impl Allotment {
    /// Returns the cheapest counts with which `capacity` instances are left when all reclaimable
    /// ones of a data centre are taken back; the nearest to it where there is too little room.
    pub(super) fn cheapest(rooms: &[Room], capacity: u32, scaling: &Scaling) -> Self {
        let tries = (0..=capacity).map(|on_demand| {
            let mut allotment = Allotment::default();
            let placed = allotment.buy_on_demand(rooms, on_demand, scaling);
            allotment.buy_reclaimable(rooms, capacity.saturating_sub(placed), scaling);
            allotment.keep_minimum(rooms, scaling);
            allotment
        });
        let by_need = |a: &Allotment, b: &Allotment| {
            let missing = |allotment: &Allotment| capacity.saturating_sub(allotment.left());
            let by_missing = missing(a).cmp(&missing(b));
            by_missing.then(a.price.total_cmp(&b.price))
        };
        tries.min_by(by_need).unwrap_or_default()
    }

    pub(super) fn count(&self, slot: &Slot) -> u32 {
        self.counts.get(slot).copied().unwrap_or(0)
    }

    pub(super) fn total(&self) -> u32 {
        self.counts.values().sum()
    }

    /// Returns the instances that are left when the fullest data centre's are taken back.
    fn left(&self) -> u32 {
        let reclaimable = self.counts.iter();
        let reclaimable = reclaimable.filter(|(slot, _)| slot.class == Class::Reclaimable);
        let most = reclaimable.map(|(_, count)| *count).max().unwrap_or(0);
        self.total() - most
    }

    /// Buys the cheapest on demand, and returns how many there was room for.
    fn buy_on_demand(&mut self, rooms: &[Room], count: u32, scaling: &Scaling) -> u32 {
        (0..count)
            .take_while(|_| self.buy(rooms, Class::OnDemand, scaling, |room, _| room.price))
            .count() as u32
    }

    /// Buys evenly over the data centres until enough are left without the fullest one.
    fn buy_reclaimable(&mut self, rooms: &[Room], left: u32, scaling: &Scaling) {
        let enough = |allotment: &Allotment| {
            let counts = allotment.counts.iter();
            let counts = counts.filter(|(slot, _)| slot.class == Class::Reclaimable);
            let counts: Vec<u32> = counts.map(|(_, count)| *count).collect();
            let most = counts.iter().copied().max().unwrap_or(0);
            counts.iter().sum::<u32>() - most >= left
        };
        let emptiest =
            |room: &Room, count: u32| f64::from(count) + room.price / f64::from(u32::MAX);
        while !enough(self) && self.buy(rooms, Class::Reclaimable, scaling, emptiest) {}
    }

    /// Adds instances where a data centre has fewer than it must have.
    fn keep_minimum(&mut self, rooms: &[Room], scaling: &Scaling) {
        for data_centre in scaling.prices.keys() {
            let here: Vec<Room> = rooms
                .iter()
                .filter(|room| room.slot.data_centre == *data_centre)
                .cloned()
                .collect();
            while self.in_data_centre(&here) < scaling.min_count {
                let by_price = |room: &Room, _| room.price;
                let bought = self.buy(&here, Class::Reclaimable, scaling, by_price)
                    || self.buy(&here, Class::OnDemand, scaling, by_price);
                if !bought {
                    break;
                }
            }
        }
    }

    /// Buys one instance of a class where `rank` is least; reports whether there was room.
    fn buy(
        &mut self,
        rooms: &[Room],
        class: Class,
        scaling: &Scaling,
        rank: impl Fn(&Room, u32) -> f64,
    ) -> bool {
        let has_room = |room: &&Room| {
            let here: Vec<Room> = rooms
                .iter()
                .filter(|other| other.slot.data_centre == room.slot.data_centre)
                .cloned()
                .collect();
            room.slot.class == class
                && self.count(&room.slot) < room.limit
                && self.in_data_centre(&here) < scaling.max_count
        };
        let open = rooms.iter().filter(has_room);
        let ranked = |room: &&Room| rank(room, self.count(&room.slot));
        let best = open.min_by(|a, b| ranked(a).total_cmp(&ranked(b)));
        let Some(room) = best else {
            return false;
        };
        *self.counts.entry(room.slot.clone()).or_default() += 1;
        self.price += room.price;
        true
    }

    fn in_data_centre(&self, rooms: &[Room]) -> u32 {
        rooms.iter().map(|room| self.count(&room.slot)).sum()
    }
}
