//! What is computed again when engines come, leave and crash, and with empty caches.

use googletest::prelude::*;

use crate::totals::Totals;
use crate::world::{Size, World};

/// Engines that are busy for more than half of their time. Their caches hold the prompts of some 20 s, so
/// that rare parts are evicted.
const SIZE: Size = Size {
    entries: 80,
    engines: 40,
    shared_parts: 300,
    load: 1.4,
};
/// Time for which the caches fill before anything happens.
const WARM_UP_MS: u64 = 20_000;

/// Plays a scenario on engines with full caches, with or without balancing by work. Returns what is
/// counted from its begin on.
fn play(by_work: bool, seed: u64, scenario: impl Fn(&mut World)) -> Totals {
    let mut world = World::new(SIZE, by_work, seed);
    world.settle(1_000);
    world.run(WARM_UP_MS);
    world.totals = Totals::default();
    let _ = world.tally();
    scenario(&mut world);
    report(by_work, seed, &mut world)
}

fn report(by_work: bool, seed: u64, world: &mut World) -> Totals {
    let (totals, tally) = (world.totals, world.tally());
    eprintln!(
        "by work {by_work}, seed {seed}: {:.1}% computed again, {:.1}% in time, {totals:?}, {tally:?}",
        totals.repeated_share() * 100.0,
        totals.on_time_share() * 100.0,
    );
    totals
}

/// Checks that less than a tenth of the tokens is computed again, and not more than without
/// balancing by work; and that as many requests are in time.
fn check(scenario: impl Fn(&mut World)) {
    for seed in [1, 2] {
        let before = play(false, seed, &scenario);
        let after = play(true, seed, &scenario);
        compare(&before, &after);
    }
}

fn compare(before: &Totals, after: &Totals) {
    assert_that!(after.repeated_share(), lt(0.1));
    assert_that!(after.repeated_share(), le(before.repeated_share()));
    assert_that!(after.on_time_share(), ge(before.on_time_share() - 0.01));
}

#[test]
fn keeps_parts_of_a_data_centre_that_is_reclaimed() {
    check(|world| {
        let leaving = world.names(|_, engine| engine.data_centre == 1);
        world.reclaim(&leaving, 2_000);
        world.run(20_000);
    });
}

#[test]
fn keeps_parts_while_a_quarter_of_the_engines_crashes() {
    // The runs of one seed differ by more than the change makes, in both directions. So the bound
    // holds for each seed, and the comparison is that of all seeds together.
    let (mut before, mut after) = (Totals::default(), Totals::default());
    for seed in 1..=7 {
        let crash = |world: &mut World| {
            let crashed = world.names(|index, _| index % 4 == index / 4 % 4);
            world.crash(&crashed);
            world.run(20_000);
        };
        before.add(&play(false, seed, crash));
        let totals = play(true, seed, crash);
        assert_that!(totals.repeated_share(), lt(0.1), "seed {seed}");
        after.add(&totals);
    }
    compare(&before, &after);
}

#[test]
fn keeps_parts_while_half_of_the_engines_are_replaced() {
    check(|world| {
        for portion in 0..6 {
            world.add(5);
            world.run(1_500);
            let old = world.names(|index, _| index < 5);
            world.reclaim(&old, 2_000);
            world.run(1_500 + portion * 100);
        }
        world.run(5_000);
    });
}

#[test]
fn keeps_parts_while_engines_are_added() {
    check(|world| {
        world.add(30);
        world.run(20_000);
    });
}

#[test]
fn computes_parts_once_after_a_start_with_empty_caches() {
    for seed in [1, 2] {
        let start = |by_work| {
            let mut world = World::new(SIZE, by_work, seed);
            world.settle(1_000);
            world.run(20_000);
            report(by_work, seed, &mut world)
        };
        compare(&start(false), &start(true));
    }
}
