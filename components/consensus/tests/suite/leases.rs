//! The safeguards of the lease, each by itself.

use consensus::{Guards, Settings};
use googletest::prelude::*;

use crate::guards::{SECOND, first_fault, millis, one_by_one};
use crate::world::World;

/// Cuts one voter and the leader off from each other.
fn part_voter(guards: Guards, seed: u64) -> Option<String> {
    let mut world = one_by_one(guards, 3, seed);
    let leader = world.elect();
    let deaf = world.others(&leader)[0].clone();
    world.cut(&leader, &deaf);
    world.cut(&deaf, &leader);
    world.run(5 * SECOND);
    first_fault(&world)
}

#[gtest]
fn lease_promise_keeps_leases_apart() {
    let guards = Guards {
        lease_promise: false,
        ..Guards::ON
    };
    let with: Vec<String> = (1..=20)
        .filter_map(|seed| part_voter(Guards::ON, seed))
        .collect();
    let without: Vec<String> = (1..=20)
        .filter_map(|seed| part_voter(guards, seed))
        .collect();
    expect_that!(with, is_empty());
    expect_that!(without, not(is_empty()));
    expect_that!(without, each(contains_substring("hold a lease")));
}

/// Restarts a voter that just promised its leader not to vote for another.
fn restart_voter(guards: Guards, seed: u64) -> Option<String> {
    let mut world = one_by_one(guards, 3, seed);
    let leader = world.elect();
    let [deaf, forgetful] = world.others(&leader).try_into().unwrap();
    world.cut(&leader, &deaf);
    world.run(millis(1_000 + 37 * seed));
    world.kill(&forgetful);
    world.start(&forgetful);
    world.isolate(&leader);
    world.run(3 * SECOND);
    first_fault(&world)
}

#[gtest]
fn restart_wait_keeps_promises_that_a_restart_forgot() {
    let guards = Guards {
        restart_wait: false,
        ..Guards::ON
    };
    let with: Vec<String> = (1..=40)
        .filter_map(|seed| restart_voter(Guards::ON, seed))
        .collect();
    let without: Vec<String> = (1..=40)
        .filter_map(|seed| restart_voter(guards, seed))
        .collect();
    expect_that!(with, is_empty());
    expect_that!(without, not(is_empty()));
    expect_that!(without, each(contains_substring("hold a lease")));
}

/// Cuts off a leader whose clock runs slower than those of the voters.
fn drift(guards: Guards, seed: u64) -> Option<String> {
    const DRIFT_PERMILLE: u32 = 200;
    let settings = Settings {
        drift_permille: DRIFT_PERMILLE,
        guards,
        ..Settings::default()
    };
    let mut world = World::new(settings, 3, 0, seed);
    let leader = world.elect();
    let now = world.now;
    for (name, server) in &mut world.servers {
        let rate_permille = match *name == leader {
            true => 1_000 - DRIFT_PERMILLE / 2,
            false => 1_000 + DRIFT_PERMILLE / 2,
        };
        server.clock = server.clock.at_rate(rate_permille, now);
    }
    world.run(SECOND);
    world.isolate(&leader);
    world.run(4 * SECOND);
    first_fault(&world)
}

#[gtest]
fn drift_bound_keeps_leases_apart_where_clocks_differ() {
    let guards = Guards {
        drift_bound: false,
        ..Guards::ON
    };
    let with: Vec<String> = (1..=40)
        .filter_map(|seed| drift(Guards::ON, seed))
        .collect();
    let without: Vec<String> = (1..=40).filter_map(|seed| drift(guards, seed)).collect();
    expect_that!(with, is_empty());
    expect_that!(without, not(is_empty()));
    expect_that!(without, each(contains_substring("hold a lease")));
}
