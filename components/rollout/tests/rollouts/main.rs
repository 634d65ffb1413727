//! Decisions about roll-outs under a simulated load.

mod simulation;

use std::time::Duration;

use googletest::prelude::*;
use simulation::{Answer, Result, Sent, Settings, WELL, play};
use state::rollouts::Phase;

const SEEDS: std::ops::Range<u64> = 1..21;

const FAILS: Answer = Answer {
    fails: true,
    slower: 1.0,
};
const SLOW: Answer = Answer {
    fails: false,
    slower: 5.0,
};

/// Returns `bad` for a share of the requests.
fn some(sent: &Sent<'_>, share: f64, bad: Answer) -> Answer {
    match sent.draw < share {
        true => bad,
        false => WELL,
    }
}

fn plays(settings: impl Fn(u64) -> Settings) -> Vec<(u64, Result)> {
    SEEDS.map(|seed| (seed, play(&settings(seed)))).collect()
}

/// Checks that a bad version is rolled back, and what it got until then.
fn expect_rolled_back(settings: impl Fn(u64) -> Settings) {
    for (seed, result) in plays(settings) {
        expect_that!(
            result.phase,
            eq(Phase::RolledBack),
            "seed {seed}: {result:?}"
        );
        expect_that!(result.new, le(result.bound()), "seed {seed}: {result:?}");
        expect_that!(result.too_late, eq(0), "seed {seed}: {result:?}");
    }
}

fn expect_completed(settings: impl Fn(u64) -> Settings) {
    for (seed, result) in plays(settings) {
        expect_that!(
            result.phase,
            eq(Phase::Completed),
            "seed {seed}: {result:?}"
        );
        expect_that!(result.cut, eq(0), "seed {seed}: {result:?}");
    }
}

#[gtest]
fn completes_a_good_version_before_its_deadline() {
    for seconds in [12, 20, 60] {
        expect_completed(|seed| Settings {
            seed,
            duration: Duration::from_secs(seconds),
            ..Settings::default()
        });
    }
}

// A canary that gets more than its share would break the bound with a version that turns bad.
#[gtest]
fn gives_the_canary_a_bounded_share() {
    for (seed, result) in plays(|seed| Settings {
        seed,
        behaviour: |sent| some(sent, 0.001, FAILS),
        cut_off: None,
        kills: vec![Duration::from_secs(8); 1],
        election: Duration::from_secs(60),
        ..Settings::default()
    }) {
        let share = result.new as f64 / result.requests as f64;
        expect_that!(share, lt(0.08), "seed {seed}: {result:?}");
        expect_that!(result.phase, eq(Phase::Canary), "seed {seed}");
    }
}

#[gtest]
fn rolls_a_version_back_soon_that_fails_from_the_start() {
    let settings = |seed| Settings {
        seed,
        behaviour: |sent| some(sent, 0.3, FAILS),
        ..Settings::default()
    };
    expect_rolled_back(settings);
    for (seed, result) in plays(settings) {
        let ended = result.ended;
        expect_that!(ended, lt(Duration::from_secs(8)), "seed {seed}: {result:?}");
    }
}

// A version that did well for long is judged by what it does now.
#[gtest]
fn rolls_a_version_back_that_turns_bad_late() {
    for share in [0.3, 1.0] {
        let behaviour: fn(&Sent<'_>) -> Answer = match share {
            0.3 => |sent| match sent.at > Duration::from_millis(7_200) {
                true => some(sent, 0.3, FAILS),
                false => WELL,
            },
            _ => |sent| match sent.at > Duration::from_millis(7_200) {
                true => FAILS,
                false => WELL,
            },
        };
        expect_rolled_back(|seed| Settings {
            seed,
            behaviour,
            rates: vec![("small", 70.0), ("large", 70.0), ("other", 60.0)],
            ..Settings::default()
        });
    }
}

// What a version did well for half a minute outweighs what it does now if only totals are compared.
#[gtest]
fn rolls_a_version_back_soon_that_turns_slow_late_in_a_long_rollout() {
    let settings = |seed| Settings {
        seed,
        duration: Duration::from_secs(60),
        behaviour: |sent| match sent.at > Duration::from_secs(36) {
            true => some(sent, 0.8, SLOW),
            false => WELL,
        },
        ..Settings::default()
    };
    expect_rolled_back(settings);
    for (seed, result) in plays(settings) {
        let ended = result.ended;
        expect_that!(
            ended,
            lt(Duration::from_secs(41)),
            "seed {seed}: {result:?}"
        );
    }
}

// A fault that shows under load only shows once the traffic moves.
#[gtest]
fn rolls_a_version_back_that_is_bad_under_load_only() {
    for (seed, result) in plays(|seed| Settings {
        seed,
        behaviour: |sent| match sent.per_second > 25 {
            true => FAILS,
            false => WELL,
        },
        ..Settings::default()
    }) {
        expect_that!(
            result.phase,
            eq(Phase::RolledBack),
            "seed {seed}: {result:?}"
        );
        expect_that!(result.new, le(result.bound()), "seed {seed}: {result:?}");
        expect_that!(result.too_late, eq(0), "seed {seed}: {result:?}");
    }
}

// The failures of one route vanish among the answers of all others.
#[gtest]
fn rolls_a_version_back_that_is_bad_on_one_route_only() {
    let settings = |seed| Settings {
        seed,
        rates: vec![("small", 90.0), ("other", 90.0), ("large", 20.0)],
        old_failures: 0.05,
        behaviour: |sent| match sent.route {
            "large" => FAILS,
            _ => some(sent, 0.05, FAILS),
        },
        ..Settings::default()
    };
    expect_rolled_back(settings);
    let ended = plays(settings).into_iter().map(|(_, result)| result.ended);
    let soon = ended
        .filter(|ended| *ended < Duration::from_secs(6))
        .count();
    expect_that!(soon, ge(18));
}

#[gtest]
fn rolls_a_version_back_that_is_several_times_slower() {
    expect_rolled_back(|seed| Settings {
        seed,
        behaviour: |_| SLOW,
        ..Settings::default()
    });
    expect_rolled_back(|seed| Settings {
        seed,
        behaviour: |sent| some(sent, 0.5, SLOW),
        rates: vec![("small", 70.0), ("large", 70.0), ("other", 60.0)],
        ..Settings::default()
    });
}

#[gtest]
fn rolls_back_with_too_few_requests() {
    for (seed, result) in plays(|seed| Settings {
        seed,
        rates: vec![("small", 4.0)],
        ..Settings::default()
    }) {
        expect_that!(
            result.phase,
            eq(Phase::RolledBack),
            "seed {seed}: {result:?}"
        );
        expect_that!(result.reason, contains_substring("too few answers"));
    }
}

// Failures that both versions have are not the new one's.
#[gtest]
fn completes_a_version_that_fails_as_often_as_the_old_ones() {
    let results = plays(|seed| Settings {
        seed,
        old_failures: 0.05,
        behaviour: |sent| some(sent, 0.05, FAILS),
        ..Settings::default()
    });
    let completed = results
        .iter()
        .filter(|(_, result)| result.phase == Phase::Completed);
    expect_that!(completed.count(), ge(results.len() - 1), "{results:?}");
}

// An entry that is not told of a roll-back must not go on with the canary.
#[gtest]
fn sends_nothing_to_a_bad_version_from_entries_that_are_cut_off() {
    let settings = |seed, behaviour| Settings {
        seed,
        cut_off: Some((Duration::from_secs(1), 8)),
        behaviour,
        ..Settings::default()
    };
    for (seed, result) in plays(|seed| settings(seed, |sent| some(sent, 0.3, FAILS))) {
        expect_that!(
            result.phase,
            eq(Phase::RolledBack),
            "seed {seed}: {result:?}"
        );
        expect_that!(result.by_cut_off, eq(0), "seed {seed}: {result:?}");
        expect_that!(result.new, le(result.bound()), "seed {seed}: {result:?}");
        expect_that!(result.too_late, eq(0), "seed {seed}: {result:?}");
    }
    for (seed, result) in plays(|seed| settings(seed, |_| WELL)) {
        expect_that!(
            result.phase,
            eq(Phase::Completed),
            "seed {seed}: {result:?}"
        );
        expect_that!(result.by_cut_off, eq(0), "seed {seed}: {result:?}");
    }
}

#[gtest]
fn completes_a_good_version_though_the_leader_changes_after_each_phase() {
    for duration in [12, 20] {
        for (seed, result) in plays(|seed| Settings {
            seed,
            duration: Duration::from_secs(duration),
            kills: vec![Duration::from_millis(1_000)],
            kill_after_phases: true,
            election: Duration::from_millis(1_000),
            ..Settings::default()
        }) {
            expect_that!(
                result.phase,
                eq(Phase::Completed),
                "seed {seed}: {result:?}"
            );
        }
    }
}

#[gtest]
fn completes_a_good_version_though_the_leader_is_lost_at_any_time() {
    for kill in (500..11_000).step_by(500) {
        for seed in 1..4 {
            let result = play(&Settings {
                seed,
                kills: vec![Duration::from_millis(kill)],
                ..Settings::default()
            });
            let lost_at = format!("leader lost at {kill} ms, seed {seed}: {result:?}");
            expect_that!(result.phase, eq(Phase::Completed), "{lost_at}");
        }
    }
}

#[gtest]
fn rolls_a_bad_version_back_though_the_leader_is_lost_at_any_time() {
    for kill in (250..8_000).step_by(250) {
        expect_rolled_back(|seed| Settings {
            seed,
            kills: vec![Duration::from_millis(kill)],
            behaviour: |sent| some(sent, 0.4, FAILS),
            ..Settings::default()
        });
    }
}
