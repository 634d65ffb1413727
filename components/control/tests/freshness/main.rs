//! No entry serves under an older text than one that was answered as accepted, whatever is
//! delayed, lost or led by another; and each guard is needed for it.

mod event;
mod world;

use event::events;
use googletest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use world::{Guard, World};

const SEED: u64 = 0x5eed_0004;

fn run(without: Option<Guard>) -> std::result::Result<(), TestError<Vec<event::Event>>> {
    let mut runner = TestRunner::new(Config {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    });
    runner.run(&events(), |events| {
        let mut world = World::new(without);
        for event in events {
            world.apply(event);
            world.check()?;
        }
        Ok(())
    })
}

#[test]
fn never_serves_an_older_text_than_the_accepted_one() {
    assert_that!(run(None), ok(anything()));
}

#[test]
fn reaches_acceptance_in_many_cases() {
    let mut runner = TestRunner::new(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    });
    let accepted = std::cell::Cell::new(0);
    let result = runner.run(&events(), |events| {
        let mut world = World::new(None);
        events.into_iter().for_each(|event| world.apply(event));
        accepted.set(accepted.get() + usize::from(world.accepted() > 0));
        Ok(())
    });
    assert_that!(result, ok(anything()));
    assert_that!(accepted.get(), ge(100));
}

#[test]
fn errors_without_the_lease_measured_from_the_question() {
    assert_that!(run(Some(Guard::LeaseFromQuestion)), err(anything()));
}

#[test]
fn errors_without_the_wait_for_entries_that_miss_the_version() {
    assert_that!(run(Some(Guard::WaitForMissing)), err(anything()));
}

#[test]
fn errors_without_the_wait_of_a_new_leader() {
    assert_that!(run(Some(Guard::WaitAfterTakeOver)), err(anything()));
}

#[test]
fn errors_without_the_read_barrier_of_the_leader() {
    assert_that!(run(Some(Guard::ReadBarrier)), err(anything()));
}

#[test]
fn errors_without_the_record_of_a_lease_before_it_is_given() {
    assert_that!(run(Some(Guard::RecordBeforeAnswer)), err(anything()));
}
