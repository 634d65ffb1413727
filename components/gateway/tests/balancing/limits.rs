//! Engines that name a limit.

use gateway::balancer::Shortage;
use googletest::prelude::*;

use crate::fleet::{Fleet, engine};
use crate::ms;

#[test]
fn sends_to_an_engine_with_a_limit_only_with_a_permit_for_each_request() {
    let mut fleet = Fleet::new(1, 2);
    fleet.name_limit("e0", Some(1.0));
    assert_that!(fleet.choose(0, 1), err(eq(&Shortage::NoUpstream)));
    fleet.permit(0, "e0", 2);
    assert_that!(fleet.choose(0, 1), ok(anything()));
    assert_that!(fleet.choose(0, 1), ok(anything()));
    assert_that!(fleet.choose(0, 1), err(eq(&Shortage::NoUpstream)));
    assert_that!(fleet.choose(1, 1), err(eq(&Shortage::NoUpstream)));
}

#[test]
fn uses_no_permit_that_has_expired() {
    let mut fleet = Fleet::new(1, 1);
    fleet.name_limit("e0", Some(1.0));
    fleet.permit(0, "e0", 2);
    fleet.advance(ms(1_000));
    assert_that!(fleet.choose(0, 1), err(eq(&Shortage::NoUpstream)));
}

#[test]
fn sends_to_other_engines_first() {
    let mut fleet = Fleet::new(3, 1);
    fleet.name_limit("e1", Some(1.0));
    for part in 1..50 {
        assert_that!(fleet.send(0, part), not(eq("e1")));
        fleet.finish_all();
    }
}

#[test]
fn fetches_no_parts_from_an_engine_with_a_limit() {
    let mut fleet = Fleet::new(4, 1);
    fleet.advance(ms(15_000));
    let home = fleet.choose(0, 1).expect("there are engines");
    fleet.finish_all();
    fleet.name_limit(&home.upstream, Some(1.0));
    let next = fleet.choose(0, 1).expect("there are engines");
    assert_that!(next.upstream, not(eq(&home.upstream)));
    assert_that!(next.fetch_from, not(some(eq(home.address))));
}

#[test]
fn forgets_a_limit_that_is_no_longer_named() {
    let mut fleet = Fleet::new(1, 1);
    fleet.name_limit("e0", Some(1.0));
    fleet.advance(ms(100));
    fleet.name_limit("e0", None);
    assert_that!(fleet.choose(0, 1), ok(anything()));
}

#[test]
fn forgets_the_limit_of_an_engine_that_starts_again() {
    let mut fleet = Fleet::new(1, 1);
    fleet.name_limit("e0", Some(1.0));
    let mut restarted = engine("e0");
    restarted.incarnation = 2;
    fleet.announce(&restarted);
    assert_that!(fleet.choose(0, 1), ok(anything()));
}

#[test]
fn keeps_a_part_of_a_limit_without_a_leader() {
    for (entries, rate) in [(10, 1.0), (10, 20.0), (300, 20.0)] {
        let mut fleet = Fleet::new(1, entries);
        fleet.name_limit("e0", Some(rate));
        let mut sent = 0;
        for _ in 0..80 {
            fleet.cut_off();
            fleet.advance(ms(50));
            sent += (0..entries)
                .filter(|entry| fleet.choose(*entry, 1).is_ok())
                .count();
            fleet.finish_all();
        }
        assert_that!(
            sent as f64,
            le(rate * 4.0),
            "{entries} entries, {rate} a second"
        );
    }
}
