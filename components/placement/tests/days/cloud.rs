//! A cloud that sells engines by count, takes them back and runs out of them.

use config::text::{Class, Scaling};
use indexmap::IndexMap;
use placement::Slot;
use placement::autoscaler::{Order, Supply};

use crate::random::Random;

/// Time under load in which the cache of an engine fills, in seconds.
const COLD_S: f64 = 5.0;
/// Capacity of an engine with an empty cache, which computes three times the tokens.
const COLD_CAPACITY: f64 = 1.0 / 3.0;

/// A reclaim of all reclaimable engines of a data centre.
#[derive(Clone, Debug)]
pub(crate) struct Reclaim {
    pub(crate) at_s: f64,
    pub(crate) data_centre: usize,
    pub(crate) notice_s: f64,
    /// End of the time in which no reclaimable engines are sold.
    pub(crate) sold_out_until_s: f64,
    pub(crate) is_everywhere: bool,
}

impl Reclaim {
    /// Returns the reclaims of a day, `interval_s` apart on average.
    pub(crate) fn of_day(
        first_s: f64,
        interval_s: f64,
        day_s: f64,
        data_centres: usize,
        random: &mut Random,
    ) -> Vec<Reclaim> {
        let mut reclaims = Vec::new();
        let mut at_s = first_s;
        while at_s < day_s {
            reclaims.push(Reclaim {
                at_s,
                data_centre: random.below(data_centres),
                notice_s: random.between(1.7, 2.5),
                sold_out_until_s: at_s + random.between(7.0, 13.0),
                is_everywhere: random.below(2) == 0,
            });
            at_s += interval_s * random.between(0.6, 1.4);
        }
        reclaims
    }
}

/// An engine from its order on.
#[derive(Clone, Debug)]
struct Engine {
    slot: Slot,
    /// Time at which it serves.
    serves_at_s: f64,
    /// Time under load since then.
    loaded_s: f64,
    /// Time at which it is taken away, after a notice.
    leaves_at_s: Option<f64>,
}

/// How the cloud answers an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Answer {
    Accepted,
    SoldOut,
    /// The order exceeds the bounds of the data centre.
    OutOfBounds,
}

/// The cloud, and what it was paid.
#[derive(Clone, Debug)]
pub(crate) struct Cloud {
    pub(crate) scaling: Scaling,
    reclaims: Vec<Reclaim>,
    engines: Vec<Engine>,
    /// Share of all caches that was lost in the last reclaim, and its time.
    lost: (f64, f64),
    pub(crate) paid: f64,
}

impl Cloud {
    /// Starts with `count` on-demand engines with full caches in each data centre.
    pub(crate) fn new(scaling: Scaling, count: u32, reclaims: Vec<Reclaim>) -> Self {
        let slots = scaling.prices.keys().map(|data_centre| Slot {
            data_centre: data_centre.clone(),
            class: Class::OnDemand,
        });
        let engines = slots.flat_map(|slot| {
            (0..count).map(move |_| Engine {
                slot: slot.clone(),
                serves_at_s: f64::NEG_INFINITY,
                loaded_s: COLD_S,
                leaves_at_s: None,
            })
        });
        Cloud {
            engines: engines.collect(),
            scaling,
            reclaims,
            lost: (0.0, f64::NEG_INFINITY),
            paid: 0.0,
        }
    }

    /// Advances to `now_s` by `step_s`, at the end of which there is load or none.
    pub(crate) fn advance(&mut self, now_s: f64, step_s: f64, is_loaded: bool) {
        self.paid += step_s
            * self
                .engines
                .iter()
                .map(|e| self.price(&e.slot))
                .sum::<f64>();
        for engine in &mut self.engines {
            if is_loaded && engine.serves_at_s <= now_s {
                engine.loaded_s += step_s;
            }
        }
        self.engines
            .retain(|engine| engine.leaves_at_s.is_none_or(|at| now_s < at));
        let begun = |reclaim: &&Reclaim| (now_s - step_s..now_s).contains(&reclaim.at_s);
        let reclaims: Vec<Reclaim> = self.reclaims.iter().filter(begun).cloned().collect();
        for reclaim in reclaims {
            self.reclaim(&reclaim, now_s);
        }
    }

    fn reclaim(&mut self, reclaim: &Reclaim, now_s: f64) {
        let slot = self.slot(reclaim.data_centre);
        let caches = self.capacity(now_s);
        self.engines
            .retain(|engine| engine.slot != slot || engine.serves_at_s <= now_s);
        for engine in self.engines.iter_mut().filter(|e| e.slot == slot) {
            engine.leaves_at_s = Some(reclaim.at_s + reclaim.notice_s);
        }
        let share = 1.0 - self.capacity(now_s) / caches.max(1.0);
        self.lost = (share, now_s);
    }

    fn slot(&self, data_centre: usize) -> Slot {
        let (data_centre, _) = self
            .scaling
            .prices
            .get_index(data_centre)
            .expect("a data centre");
        Slot {
            data_centre: data_centre.clone(),
            class: Class::Reclaimable,
        }
    }

    fn price(&self, slot: &Slot) -> f64 {
        let price = self.scaling.prices[&slot.data_centre];
        match slot.class {
            Class::Reclaimable => price * self.scaling.reclaimable_price,
            Class::OnDemand => price,
        }
    }

    /// Sets the number of engines of a slot; the newest ones are released first.
    pub(crate) fn order(&mut self, order: &Order, now_s: f64) -> Answer {
        let kept = |engine: &&Engine| engine.leaves_at_s.is_none();
        let engines = || self.engines.iter().filter(kept);
        let held = engines().filter(|e| e.slot == order.slot).count();
        let here = engines().filter(|e| e.slot.data_centre == order.slot.data_centre);
        let beside = here.count() - held;
        let count = order.count as usize;
        if count > held && count + beside > self.scaling.max_count as usize {
            return Answer::OutOfBounds;
        }
        if count > held && self.is_sold_out(&order.slot, now_s) {
            return Answer::SoldOut;
        }
        let mut surplus = held.saturating_sub(count);
        let mut engines = std::mem::take(&mut self.engines);
        engines.reverse();
        engines.retain(|engine| {
            let is_released =
                surplus > 0 && engine.slot == order.slot && engine.leaves_at_s.is_none();
            surplus -= usize::from(is_released);
            !is_released
        });
        engines.reverse();
        engines.extend((held..count).map(|_| Engine {
            slot: order.slot.clone(),
            serves_at_s: now_s + self.scaling.boot_time.as_secs_f64(),
            loaded_s: 0.0,
            leaves_at_s: None,
        }));
        self.engines = engines;
        Answer::Accepted
    }

    /// Reports whether no reclaimable engine is sold in a slot.
    pub(crate) fn is_sold_out(&self, slot: &Slot, now_s: f64) -> bool {
        let lasts = |r: &&Reclaim| (r.at_s..r.sold_out_until_s).contains(&now_s);
        let mut lasting = self.reclaims.iter().filter(lasts);
        let is_here = |r: &Reclaim| r.is_everywhere || self.slot(r.data_centre) == *slot;
        slot.class == Class::Reclaimable && lasting.any(is_here)
    }

    /// Returns what engines announce.
    pub(crate) fn supply(&self, now_s: f64) -> IndexMap<Slot, Supply> {
        let mut supply: IndexMap<Slot, Supply> = IndexMap::new();
        let serving = self.engines.iter().filter(|e| e.serves_at_s <= now_s);
        for engine in serving {
            let counts = supply.entry(engine.slot.clone()).or_default();
            match engine.leaves_at_s {
                Some(_) => counts.reclaimed += 1,
                None => counts.serving += 1,
            }
        }
        supply
    }

    /// Returns the capacity in engines with full caches.
    pub(crate) fn capacity(&self, now_s: f64) -> f64 {
        let serving = self.engines.iter();
        let serving = serving.filter(|e| e.serves_at_s <= now_s && e.leaves_at_s.is_none());
        let capacity = serving.map(|engine| match engine.loaded_s < COLD_S {
            true => COLD_CAPACITY,
            false => 1.0,
        });
        capacity.sum()
    }

    /// Returns the ratio of the prompt tokens to compute to the usual ones, after caches were lost
    /// with the engines that left.
    pub(crate) fn tokens_ratio(&self, now_s: f64) -> f64 {
        let (share, at_s) = self.lost;
        let fading = (1.0 - (now_s - at_s) / COLD_S).clamp(0.0, 1.0);
        1.0 + (1.0 / COLD_CAPACITY - 1.0) * share * fading
    }

    /// Returns the engines that were ordered and not released, by class.
    pub(crate) fn count(&self, class: Class) -> usize {
        let of_class = self.engines.iter().filter(|e| e.slot.class == class);
        of_class.count()
    }
}
