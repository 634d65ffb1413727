//! The first seconds of a day.

use config::text::Class;
use googletest::prelude::*;

use crate::day::{Case, run};

/// Time from the first request until instances may be released: 1.5 s until the sizing is learned, and
/// 4 s for which it is to be known.
const FIRST_RELEASE_S: f64 = 5.5;

/// Guards against callers that meet nothing but cold caches because all serving instances were
/// replaced 5 s before the first request.
#[test]
fn keeps_all_instances_of_the_start_until_the_sizing_was_learned() {
    let day = run(&Case::default());
    let first = day
        .counts
        .iter()
        .take_while(|(at_s, ..)| *at_s < FIRST_RELEASE_S);
    for (at_s, on_demand, _) in first {
        assert_that!(*on_demand, eq(60), "at {at_s} s");
    }
}

/// Guards against the release of all on-demand instances in one round.
#[test]
fn releases_at_most_a_fifth_at_a_time() {
    for seed in 1..=3 {
        let day = run(&Case {
            seed,
            ..Case::default()
        });
        for pair in day.counts.windows(2) {
            let (at_s, before, reclaimable) = pair[0];
            let (_, after, _) = pair[1];
            let portion = (before + reclaimable).div_ceil(5);
            assert_that!(
                before.saturating_sub(after),
                le(portion),
                "{seed}, {at_s} s"
            );
        }
    }
}

/// Guards against prices that are paid to the end of the day, because no data centre has a place for
/// what is cheaper.
#[test]
fn replaces_on_demand_instances_also_where_the_bounds_leave_few_places() {
    let day = run(&Case {
        max_count: 20,
        reclaims: Some(Vec::new()),
        ..Case::default()
    });
    let (_, on_demand, reclaimable) = day.counts[day.counts.len() - 1];
    assert_that!(on_demand, le(2));
    assert_that!(reclaimable, ge(50));
}

/// Guards against a service that turns out to be balanced by requests and stays on demand.
#[test]
fn replaces_all_at_once_where_the_service_is_balanced_by_requests() {
    let day = run(&Case {
        is_balanced_by_work: false,
        reclaims: Some(Vec::new()),
        ..Case::default()
    });
    let on_demand = |at: f64| {
        let round = day.counts.iter().find(|(at_s, ..)| *at_s >= at);
        round.map_or(0, |(_, on_demand, _)| *on_demand)
    };
    assert_that!(on_demand(1.0), eq(60));
    assert_that!(on_demand(3.0), eq(0));
}

/// Guards against a new leader that takes the instances of its predecessor for surplus.
#[test]
fn keeps_the_counts_under_a_new_leader() {
    let case = Case {
        reclaims: Some(Vec::new()),
        new_leader_s: 50.0,
        ..Case::default()
    };
    let day = run(&case);
    let total = |at: f64| {
        let round = day.counts.iter().find(|(at_s, ..)| *at_s >= at);
        round.map_or(0, |(_, on_demand, reclaimable)| on_demand + reclaimable)
    };
    let released = day.sent.iter().filter(|sent| {
        let is_new_leader = (50.0..56.0).contains(&sent.at_s);
        is_new_leader && sent.order.count < sent.before
    });
    assert_that!(released.count(), eq(0));
    assert_that!(total(55.0), ge(total(49.5)));
    let is_on_demand = |sent: &&crate::day::Sent| sent.order.slot.class == Class::OnDemand;
    let late = day.sent.iter().filter(|sent| sent.at_s >= 50.0);
    assert_that!(late.filter(is_on_demand).count(), le(4));
}

/// Guards against the release of what serves while the leader gets no figures.
#[test]
fn keeps_the_counts_while_it_is_not_known_what_is_needed() {
    let day = run(&Case {
        reclaims: Some(Vec::new()),
        unknown_s: 40.0..80.0,
        ..Case::default()
    });
    // What was known until 40 s holds for 12 s.
    let unknown = day
        .sent
        .iter()
        .filter(|sent| (53.0..80.0).contains(&sent.at_s));
    assert_that!(unknown.count(), eq(0));
}
