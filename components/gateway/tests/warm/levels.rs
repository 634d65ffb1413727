//! Homes follow the speed of the engines, and do not move with noise.

use gateway::balancer::Level;
use googletest::prelude::*;

use crate::traffic::Random;

const STEP_S: f64 = 0.25;

/// Follows `speed` for `seconds` on a machine that is shared: for 15% of the time, some 600 ms each,
/// everything takes 2.5 times as long. Returns how often the level changed.
fn follow(level: &mut Level, speed: f64, seconds: u32, random: &mut Random) -> u32 {
    let (mut changes, mut slow_s) = (0, 0.0);
    for _ in 0..seconds * 4 {
        slow_s -= STEP_S;
        if slow_s <= 0.0 && random.unit() < 0.075 {
            slow_s = 0.6;
        }
        let slowdown = if slow_s > 0.0 { 2.5 } else { 1.0 };
        changes += u32::from(level.follow(speed / slowdown, STEP_S));
    }
    changes
}

#[test]
fn keeps_its_level_while_other_workloads_slow_the_machine() {
    for seed in 0..20 {
        let mut random = Random::new(seed);
        let mut level = Level::default();
        let changes = follow(&mut level, 1.0, 600, &mut random);
        assert_that!(changes, le(2), "seed {seed}");
    }
}

#[test]
fn follows_a_lasting_speed_and_settles() {
    for (speed, weight) in [(0.5, 0.5), (1.4, 1.41), (2.0, 2.0), (1.1, 1.0)] {
        let mut level = Level::default();
        let early = (0..480).filter(|_| level.follow(speed, STEP_S)).count();
        let late = (0..2_400).filter(|_| level.follow(speed, STEP_S)).count();
        assert_that!(early, le(2), "speed {speed}");
        assert_that!(late, eq(0), "speed {speed}");
        assert_that!(level.weight(), near(weight, weight * 0.42), "speed {speed}");
    }
}

#[test]
fn ignores_speeds_that_are_none() {
    let mut level = Level::default();
    for speed in [0.0, f64::NAN, f64::INFINITY, -1.0] {
        assert_that!(level.follow(speed, 100.0), eq(false), "{speed}");
    }
    assert_that!(level.weight(), eq(1.0));
}

#[test]
fn makes_a_faster_engine_the_home_of_more_keys() {
    let mut fast = Level::default();
    fast.follow(2.0, 1_000.0);
    assert_that!(fast.weight(), near(2.0, 0.01));
    let usual = Level::default();
    let mut random = Random::new(7);
    let mut hash = || random.below(1 << 31) << 33 | random.below(1 << 31);
    let wins = (0..30_000).filter(|_| fast.score(hash()) > usual.score(hash()));
    assert_that!(wins.count() as f64 / 30_000.0, near(2.0 / 3.0, 0.02));
}
