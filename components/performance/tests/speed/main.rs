//! Learned speeds of uneven upstreams.

mod world;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use performance::{Evidence, Speed, Usual};
use world::{Statement, World};

const SEEDS: [u64; 3] = [1, 2, 3];
/// Time within which speeds are learned.
const LEARNING_TIME: Duration = Duration::from_secs(20);

/// Returns the average error of the speeds after [`LEARNING_TIME`] over all seeds.
fn error_of(world: impl Fn(u64) -> World) -> f64 {
    let errors = SEEDS.map(|seed| {
        let mut world = world(seed);
        world.run(LEARNING_TIME);
        world.error()
    });
    let error = errors.iter().sum::<f64>() / errors.len() as f64;
    println!("error {error:.3} of {errors:.3?}");
    error
}

/// Guards against speeds that an entry can't learn because it sees few answers of each upstream.
#[test]
fn are_learned_at_eighty_entries_that_each_see_few_answers() {
    let error = error_of(|seed| World::new(80, 60, |_| Statement::Nothing, seed));
    assert_that!(error, lt(0.1));
    let alone = error_of(|seed| {
        let mut world = World::new(80, 60, |_| Statement::Nothing, seed);
        world.exchanges = false;
        world
    });
    assert_that!(alone, gt(2.0 * error));
}

#[test]
fn are_learned_by_one_entry_from_what_it_sees() {
    let error = error_of(|seed| World::new(1, 60, |_| Statement::Nothing, seed));
    assert_that!(error, lt(0.1));
}

/// Guards against statements that count twice: in the times that are taken, and as a correction.
#[test]
fn are_the_same_with_true_statements() {
    let error = error_of(|seed| World::new(80, 60, |_| Statement::True, seed));
    assert_that!(error, lt(0.1));
}

/// Guards against upstreams that get no work, or too much, for what they state.
#[test]
fn are_corrected_by_the_times_if_statements_are_false() {
    let constant = |number: usize| match number % 3 {
        0 => Statement::Constant(400.0),
        1 => Statement::Constant(25.0),
        _ => Statement::True,
    };
    let error = error_of(|seed| World::new(4, 60, constant, seed));
    assert_that!(error, lt(0.12));
    let random = |number: usize| match number % 2 {
        0 => Statement::Random,
        _ => Statement::True,
    };
    let error = error_of(|seed| World::new(4, 60, random, seed));
    assert_that!(error, lt(0.12));
}

/// Guards against one answer in twenty that is ten times late, for another reason than the upstream.
#[test]
fn are_learned_in_spite_of_outliers() {
    let error = error_of(|seed| {
        let mut world = World::new(80, 60, |_| Statement::Nothing, seed);
        world.outliers = 0.05;
        world
    });
    assert_that!(error, lt(0.12));
}

/// Guards against a correction that is no better at the moment of a decision than the average speed.
#[test]
fn follow_true_statements_at_an_entry_that_sees_many_answers() {
    let present_error = |statement: Statement, seed| {
        let mut world = World::new(1, 20, move |_| statement, seed);
        let errors = (0..200).map(|_| {
            world.run(Duration::from_millis(100));
            world.present_error()
        });
        errors.sum::<f64>() / 200.0
    };
    let average = |statement| {
        SEEDS
            .map(|seed| present_error(statement, seed))
            .iter()
            .sum::<f64>()
    };
    let (stated, silent) = (average(Statement::True), average(Statement::Nothing));
    println!("stated {stated:.3}, silent {silent:.3}");
    assert_that!(stated, lt(0.8 * silent));
}

/// Guards against false statements of an upstream that gets all its work from one entry.
#[test]
fn are_hardly_corrected_by_statements_that_the_times_contradict() {
    let present_error = |statement: Statement, seed| {
        let mut world = World::new(1, 20, move |_| statement, seed);
        world.run(LEARNING_TIME);
        world.present_error()
    };
    let average = |statement| {
        SEEDS
            .map(|seed| present_error(statement, seed))
            .iter()
            .sum::<f64>()
    };
    let (random, silent) = (average(Statement::Random), average(Statement::Nothing));
    println!("random {random:.3}, silent {silent:.3}");
    assert_that!(random, lt(1.3 * silent));
}

#[test]
fn are_usual_without_any_statement_and_answer() {
    assert_that!(Speed::default().value(Instant::now()), eq(1.0));
}

/// Guards against a new process that inherits the speed of the one before.
#[test]
fn are_learned_anew_after_a_restart() {
    let mut world = World::new(20, 20, |_| Statement::Nothing, 1);
    world.run(LEARNING_TIME);
    world.restart(3, 2.0);
    world.exchange();
    assert_that!(world.learned(0, 3), eq(1.0));
    world.run(LEARNING_TIME);
    let expected = world.actual(3);
    assert_that!(world.learned(0, 3), near(expected, 0.2 * expected));
}

/// Guards against evidence of entries that are gone, and which nothing confirms.
#[test]
fn fade_once_nothing_is_reported() {
    let now = Instant::now();
    let mut speed = Speed::default();
    speed.apply(Evidence::new(50.0, -0.6), now);
    assert_that!(speed.value(now), lt(0.6));
    let mut world = World::new(2, 2, |_| Statement::Nothing, 1);
    world.run(LEARNING_TIME);
    world.replace_entries();
    world.exchange();
    assert_that!(world.learned(0, 0), eq(1.0));
    speed.apply(Evidence::default(), now);
    assert_that!(speed.value(now), eq(1.0));
}

/// Guards against one that leaves the bounds for absurd figures.
#[test]
fn stay_within_their_bounds_whatever_is_recorded() {
    let now = Instant::now();
    let absurd = [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300, 1e-300, 100.0];
    let mut speed = Speed::default();
    let mut usual = Usual::default();
    for figure in absurd.iter().cycle().take(1_000) {
        speed.record_slowdown(*figure, now);
        speed.record_answer(*figure, now);
        let _ = usual.record(*figure);
        assert_that!(speed.value(now), all!(ge(0.25), le(4.0)));
    }
}

/// Guards against statements that are taken as true long after they were made.
#[test]
fn return_to_what_was_learned_after_a_statement() {
    let now = Instant::now();
    let mut speed = Speed::default();
    for _ in 0..20 {
        speed.record_slowdown(100.0, now);
    }
    speed.record_slowdown(250.0, now);
    assert_that!(speed.value(now), lt(0.5));
    assert_that!(speed.value(now + Duration::from_millis(300)), gt(0.65));
    assert_that!(speed.value(now + Duration::from_secs(2)), gt(0.99));
}
