//! Instance counts ordered by the autoscaler under reclaims and refusals.

use std::time::{Duration, Instant};

use config::text::{Class, Scaling};
use googletest::prelude::*;
use indexmap::IndexMap;
use performance::Sizing;
use placement::Slot;
use placement::autoscaler::{Autoscaler, Forecast, Supply};

const DATA_CENTRES: [(&str, f64); 4] = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];

/// Sizing at the usual load.
const USUAL: Sizing = Sizing {
    sufficient: 5,
    cold: 0,
    comfortable: 12,
};

fn scaling() -> Scaling {
    Scaling {
        min_count: 1,
        max_count: 6,
        boot_time: Duration::from_secs(4),
        reclaimable_price: 0.15,
        prices: DATA_CENTRES
            .iter()
            .map(|(name, price)| ((*name).into(), *price))
            .collect(),
    }
}

/// A cloud in which ordered instances serve after their boot time.
struct Cloud {
    now: Instant,
    autoscaler: Autoscaler,
    supply: IndexMap<Slot, Supply>,
    starting: Vec<(Instant, Slot, u32)>,
    /// Whether orders of more reclaimable instances are refused.
    sold_out: bool,
}

impl Cloud {
    fn new() -> Self {
        let on_demand = |data_centre: &str, serving| (slot(data_centre, Class::OnDemand), serving);
        let supply = [("a", 3), ("b", 2), ("c", 2), ("d", 2)]
            .into_iter()
            .map(|(name, serving)| on_demand(name, serving))
            .map(|(slot, serving)| {
                (
                    slot,
                    Supply {
                        serving,
                        reclaimed: 0,
                    },
                )
            })
            .collect();
        Cloud {
            now: Instant::now(),
            autoscaler: Autoscaler::default(),
            supply,
            starting: Vec::new(),
            sold_out: false,
        }
    }

    /// Advances the time by half a second, the interval of the leader's rounds, and carries out the
    /// orders.
    fn step(&mut self, sizing: impl Into<Option<Sizing>>) {
        let learned = sizing.into();
        self.step_by(Forecast {
            sizing: learned.unwrap_or_default(),
            is_learned: learned.is_some(),
        });
    }

    /// The same by a forecast.
    fn step_by(&mut self, forecast: Forecast) {
        self.now += Duration::from_millis(500);
        let now = self.now;
        let (started, starting): (Vec<_>, Vec<_>) =
            self.starting.drain(..).partition(|(at, ..)| *at <= now);
        self.starting = starting;
        for (_, slot, count) in started {
            self.supply.entry(slot).or_default().serving = count;
        }
        for order in self
            .autoscaler
            .plan(&scaling(), &self.supply, forecast, now)
        {
            let serving = self.serving(&order.slot);
            let is_more = order.count > serving;
            if is_more && self.sold_out && order.slot.class == Class::Reclaimable {
                self.autoscaler.record_refusal(&order.slot, now);
                continue;
            }
            self.autoscaler.record_order(&order, now);
            match is_more {
                true => {
                    let at = now + scaling().boot_time;
                    self.starting.push((at, order.slot, order.count));
                }
                false => self.supply.entry(order.slot).or_default().serving = order.count,
            }
        }
    }

    /// Advances the time by `seconds` in steps.
    fn run(&mut self, seconds: u32, sizing: impl Into<Option<Sizing>>) {
        let sizing = sizing.into();
        (0..seconds * 2).for_each(|_| self.step(sizing));
    }

    /// Takes back all reclaimable instances of a data centre with a notice.
    fn reclaim(&mut self, data_centre: &str) {
        let slot = slot(data_centre, Class::Reclaimable);
        let reclaimed = self.serving(&slot);
        self.starting.retain(|(_, starting, _)| *starting != slot);
        let reclaimed_supply = Supply {
            serving: 0,
            reclaimed,
        };
        self.supply.insert(slot.clone(), reclaimed_supply);
        self.step(USUAL);
        self.supply.insert(slot, Supply::default());
    }

    /// Takes back all reclaimable instances of a data centre without a notice.
    fn reclaim_without_notice(&mut self, data_centre: &str) {
        let slot = slot(data_centre, Class::Reclaimable);
        self.starting.retain(|(_, starting, _)| *starting != slot);
        self.supply.insert(slot, Supply::default());
    }

    fn serving(&self, slot: &Slot) -> u32 {
        self.supply.get(slot).map_or(0, |supply| supply.serving)
    }

    /// Returns the number of serving instances of a class.
    fn count(&self, class: Class) -> u32 {
        let of_class = self.supply.iter().filter(|(slot, _)| slot.class == class);
        of_class.map(|(_, supply)| supply.serving).sum()
    }

    fn total(&self) -> u32 {
        self.count(Class::OnDemand) + self.count(Class::Reclaimable)
    }
}

fn slot(data_centre: &str, class: Class) -> Slot {
    Slot {
        data_centre: data_centre.into(),
        class,
    }
}

#[test]
fn replaces_on_demand_instances_by_reclaimable_ones_and_never_runs_fewer() {
    let mut cloud = Cloud::new();
    for _ in 0..20 {
        cloud.step(USUAL);
        assert_that!(cloud.total(), ge(9));
    }
    assert_that!(cloud.count(Class::OnDemand), eq(0));
}

#[test]
fn keeps_enough_instances_when_any_data_centre_is_reclaimed() {
    let mut cloud = Cloud::new();
    cloud.run(10, USUAL);
    for (name, _) in DATA_CENTRES {
        let lost = cloud.serving(&slot(name, Class::Reclaimable));
        assert_that!(cloud.total() - lost, ge(5), "without {name}");
    }
}

#[test]
fn orders_on_demand_while_no_reclaimable_instance_is_available() {
    let mut cloud = Cloud::new();
    cloud.run(10, USUAL);
    cloud.sold_out = true;
    for (name, _) in DATA_CENTRES {
        cloud.reclaim(name);
        cloud.run(5, USUAL);
        assert_that!(cloud.total(), ge(5), "after the loss of {name}");
    }
    assert_that!(cloud.count(Class::Reclaimable), eq(0));
}

#[test]
fn replaces_reclaimable_instances_that_were_taken_without_a_notice() {
    let mut cloud = Cloud::new();
    cloud.run(10, USUAL);
    cloud.reclaim_without_notice("a");
    cloud.run(15, USUAL);
    assert_that!(cloud.count(Class::Reclaimable), ge(9));
}

#[test]
fn replaces_an_instance_that_crashed() {
    let mut cloud = Cloud::new();
    cloud.run(10, USUAL);
    let slot = slot("b", Class::Reclaimable);
    let before = cloud.serving(&slot);
    cloud.supply.entry(slot.clone()).or_default().serving = before - 1;
    cloud.run(15, USUAL);
    assert_that!(cloud.serving(&slot), eq(before));
}

/// A wave of reclaims takes two data centres at once and the other two six seconds later, while the
/// cloud has no reclaimable instance to sell.
#[test]
fn keeps_enough_instances_when_a_wave_takes_two_data_centres_at_a_time() {
    let mut cloud = Cloud::new();
    cloud.run(10, USUAL);
    cloud.sold_out = true;
    cloud.reclaim_without_notice("a");
    cloud.step(USUAL);
    cloud.reclaim_without_notice("b");
    cloud.run(6, USUAL);
    cloud.reclaim_without_notice("c");
    cloud.reclaim_without_notice("d");
    assert_that!(cloud.total(), ge(5));
}

#[test]
fn orders_no_more_for_requests_that_wait_during_a_reclaim() {
    let mut cloud = Cloud::new();
    cloud.run(10, USUAL);
    cloud.sold_out = true;
    cloud.reclaim("a");
    cloud.reclaim("b");
    cloud.run(10, USUAL);
    assert_that!(cloud.count(Class::OnDemand), le(6));
}

#[test]
fn returns_to_reclaimable_instances_when_they_are_available_again() {
    let mut cloud = Cloud::new();
    cloud.run(10, USUAL);
    cloud.sold_out = true;
    cloud.reclaim("a");
    cloud.reclaim("b");
    cloud.run(10, USUAL);
    cloud.sold_out = false;
    cloud.run(25, USUAL);
    assert_that!(cloud.count(Class::OnDemand), eq(0));
    assert_that!(cloud.count(Class::Reclaimable), ge(9));
}

#[test]
fn grows_at_once_and_shrinks_after_a_while() {
    let mut cloud = Cloud::new();
    cloud.run(10, USUAL);
    let before = cloud.total();
    let burst = Sizing {
        sufficient: 9,
        cold: 0,
        comfortable: 22,
    };
    cloud.run(6, burst);
    let grown = cloud.total();
    assert_that!(grown, gt(before));
    cloud.run(8, USUAL);
    assert_that!(cloud.total(), eq(grown));
    cloud.run(60, USUAL);
    assert_that!(cloud.total(), lt(grown));
}

#[test]
fn gives_back_no_reclaimable_instance_while_a_wave_lasts() {
    let mut cloud = Cloud::new();
    let burst = Sizing {
        sufficient: 9,
        cold: 0,
        comfortable: 22,
    };
    cloud.run(16, burst);
    cloud.run(10, USUAL);
    cloud.sold_out = true;
    cloud.reclaim("a");
    let left = cloud.count(Class::Reclaimable);
    // The burst no longer counts 12 s after its end.
    cloud.run(8, USUAL);
    assert_that!(cloud.count(Class::Reclaimable), eq(left));
    cloud.run(20, USUAL);
    assert_that!(cloud.count(Class::Reclaimable), lt(left));
}

#[test]
fn moves_no_on_demand_instance_for_its_price() {
    let mut cloud = Cloud::new();
    cloud.sold_out = true;
    cloud.run(5, USUAL);
    let before = cloud.supply.clone();
    cloud.run(20, USUAL);
    let no_increase = before
        .keys()
        .all(|slot| cloud.serving(slot) <= before[slot].serving);
    assert_that!(no_increase, eq(true));
}

#[test]
fn keeps_as_many_instances_as_there_are_while_the_sizing_is_not_known() {
    let mut cloud = Cloud::new();
    cloud.run(20, None);
    assert_that!(cloud.total(), eq(9));
    assert_that!(cloud.count(Class::OnDemand), eq(0));
}

/// An operator starts with far more instances than the load needs.
#[test]
fn orders_fewer_instances_seconds_after_the_sizing_is_known() {
    let mut cloud = Cloud::new();
    cloud.run(10, None);
    let small = Sizing {
        sufficient: 3,
        cold: 0,
        comfortable: 4,
    };
    cloud.run(2, small);
    assert_that!(cloud.total(), eq(9));
    cloud.run(4, small);
    assert_that!(cloud.total(), eq(4));
}

/// The first instances are too few, and no answer came from which anything could be learned.
#[test]
fn orders_what_is_assumed_to_be_needed_if_nothing_is_learned() {
    let mut cloud = Cloud::new();
    let assumed = Forecast {
        sizing: Sizing {
            sufficient: 10,
            cold: 0,
            comfortable: 20,
        },
        is_learned: false,
    };
    (0..6).for_each(|_| cloud.step_by(assumed));
    assert_that!(cloud.total(), le(18));
    (0..30).for_each(|_| cloud.step_by(assumed));
    assert_that!(cloud.total(), ge(20));
    cloud.run(20, USUAL);
    assert_that!(cloud.total(), le(13));
}

#[test]
fn keeps_the_instances_of_the_last_peak_when_the_sizing_is_lost() {
    let mut cloud = Cloud::new();
    cloud.run(20, USUAL);
    let before = cloud.total();
    cloud.run(5, None);
    assert_that!(cloud.total(), ge(before));
}

/// The engines that remain have to compute the prompts that were cached by those that are lost.
#[test]
fn keeps_more_instances_the_more_caches_are_lost() {
    let mut cloud = Cloud::new();
    let sizing = Sizing {
        sufficient: 4,
        cold: 8,
        comfortable: 8,
    };
    cloud.run(20, sizing);
    cloud.sold_out = true;
    for (lost, remaining) in [("a", 5), ("b", 6), ("c", 7), ("d", 8)] {
        cloud.reclaim(lost);
        cloud.run(6, sizing);
        let on_demand = cloud.count(Class::OnDemand);
        assert_that!(cloud.total(), ge(remaining), "without {lost}: {on_demand}");
    }
}
