//! What is left after the loss of a data centre, and what is kept for it.

use std::time::{Duration, Instant};

use config::text::{Class, Scaling};
use googletest::prelude::*;
use indexmap::IndexMap;
use performance::Sizing;
use placement::Slot;
use placement::autoscaler::{Autoscaler, Economy, Forecast, Input, Settings, Supply};

use crate::cloud::Reclaim;
use crate::day::{Case, run, scaling};
use crate::random::Random;

const SIZING: Sizing = Sizing {
    sufficient: 40,
    cold: 55,
    comfortable: 70,
};

/// What suffices with [`SIZING`] after a quarter of the caches went with a data centre: a quarter of
/// what is missing to the cold number is needed as well.
const SUFFICIENT_AFTER_LOSS: u32 = 44;

/// Runs rounds in which orders take effect at once, and returns the counts.
fn settle(scaling: &Scaling, speed: Option<f64>) -> IndexMap<Slot, u32> {
    let (counts, _) = settle_by(scaling, speed, SIZING);
    counts
}

/// The same for a sizing; also returns the last round with an order.
fn settle_by(scaling: &Scaling, speed: Option<f64>, sizing: Sizing) -> (IndexMap<Slot, u32>, u32) {
    let mut last_order = 0;
    // Small differences are not worth an order, and would hide what is wanted.
    let economy = Economy {
        min_change: 0.0,
        ..Economy::default()
    };
    let mut autoscaler = Autoscaler::new(Settings {
        economy,
        ..Settings::default()
    });
    let mut counts: IndexMap<Slot, u32> = IndexMap::new();
    for data_centre in scaling.prices.keys() {
        let data_centre = data_centre.clone();
        let class = Class::OnDemand;
        counts.insert(Slot { data_centre, class }, 10);
    }
    let start = Instant::now();
    for round in 0..240 {
        let supply = counts.iter().map(|(slot, count)| {
            let supply = Supply {
                serving: *count,
                reclaimed: 0,
            };
            (slot.clone(), supply)
        });
        let supply = supply.collect();
        let speeds = counts.iter().filter_map(|(slot, count)| {
            let sum = speed? * f64::from(*count);
            Some((slot.clone(), sum))
        });
        let input = Input {
            forecast: Forecast {
                sizing,
                is_learned: true,
            },
            is_balanced_by_work: true,
            speeds: speeds.collect(),
        };
        let now = start + Duration::from_millis(500) * round;
        for order in autoscaler.plan(scaling, &supply, input, now) {
            autoscaler.record_order(&order, now);
            counts.insert(order.slot, order.count);
            last_order = round;
        }
    }
    (counts, last_order)
}

/// Returns the reclaimable instances that remain after the loss of the data centre with the most.
fn reclaimable_after_loss(counts: &IndexMap<Slot, u32>) -> u32 {
    let reclaimable = counts.iter();
    let reclaimable = reclaimable.filter(|(slot, _)| slot.class == Class::Reclaimable);
    let lost = reclaimable.map(|(_, count)| *count).max().unwrap_or(0);
    total(counts, Class::Reclaimable) - lost
}

fn total(counts: &IndexMap<Slot, u32>, class: Class) -> u32 {
    let of_class = counts.iter().filter(|(slot, _)| slot.class == class);
    of_class.map(|(_, count)| count).sum()
}

/// Guards against a reserve that the loss of the largest data centre uses up.
#[test]
fn keeps_what_suffices_after_the_loss_of_any_data_centre() {
    let counts = settle(&scaling(30), None);
    let reclaimable = total(&counts, Class::Reclaimable);
    let lost = counts
        .iter()
        .filter(|(slot, _)| slot.class == Class::Reclaimable);
    let lost = lost.map(|(_, count)| *count).max().unwrap_or(0);
    assert_that!(total(&counts, Class::OnDemand), eq(0));
    // A quarter of the caches goes with a data centre: 40 and a quarter of 15.
    assert_that!(reclaimable - lost, ge(44));
}

/// Guards against a reserve that costs more than what callers would lose without it.
#[test]
fn keeps_no_reserve_at_the_price_of_on_demand_instances() {
    let dear = Scaling {
        reclaimable_price: 1.0,
        ..scaling(30)
    };
    let counts = settle(&dear, None);
    let all = total(&counts, Class::OnDemand) + total(&counts, Class::Reclaimable);
    assert_that!(all, all![ge(40), le(50)]);
}

/// Guards against a fleet of slow machines that is counted as one of usual ones.
#[test]
fn orders_more_instances_the_slower_they_are() {
    let counts = |speed| settle(&scaling(60), speed);
    assert_that!(counts(Some(1.0)), eq(&counts(None)));
    for speed in [0.5, 0.8] {
        let counts = counts(Some(speed));
        let capacity = f64::from(reclaimable_after_loss(&counts)) * speed;
        assert_that!(capacity, ge(f64::from(SUFFICIENT_AFTER_LOSS)), "{speed}");
    }
}

/// Guards against capacity that is missing for long after a reclaim while nothing is sold for 13 s.
/// The load needs 36 engines on average, and 47 at the peak of a wave.
#[test]
fn serves_most_of_the_load_while_nothing_is_sold_for_13_s() {
    for data_centre in 0..4 {
        let loss = |reclaims| {
            let day = run(&Case {
                reclaims: Some(reclaims),
                ..Case::default()
            });
            day.missing
        };
        let reclaim = Reclaim {
            at_s: 60.0,
            data_centre,
            notice_s: 1.7,
            sold_out_until_s: 73.0,
            is_everywhere: true,
        };
        let missing = loss(vec![reclaim]) - loss(Vec::new());
        assert_that!(
            missing,
            le(36.0 * 13.0 * 0.08),
            "without data centre {data_centre}"
        );
    }
}

/// Guards against counts that swing while nothing changes.
#[test]
fn orders_nothing_more_under_a_constant_need() {
    let mut random = Random::new(7);
    for _ in 0..12 {
        let sufficient = random.between(3.0, 90.0);
        let sizing = Sizing {
            sufficient: sufficient as u32,
            cold: (sufficient * random.between(0.5, 2.0)) as u32,
            comfortable: (sufficient * random.between(1.5, 2.5)) as u32,
        };
        let max_count = random.between(10.0, 40.0) as u32;
        let (counts, last_order) = settle_by(&scaling(max_count), None, sizing);
        assert_that!(last_order, lt(180), "{sizing:?}, {max_count}: {counts:?}");
    }
}
