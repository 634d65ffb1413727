//! How far all entries together exceed an account's limit, and what they refuse below it, by the
//! number of entries, the skew of the load and the faults of processes and links.

mod fleet;
mod simulation;

use std::time::Duration;

use googletest::prelude::*;
use limits::Rate;
use simulation::{Fault, Outcome, Scenario};

/// Numbers of entries that share the limit.
const ENTRIES: [usize; 3] = [10, 100, 300];
/// Largest excess in any window that users accept, relative to the limit of a window.
const MAX_EXCESS: f64 = 0.1;
/// Time at which the account becomes hot in most scenarios.
const HOT_AT: Duration = Duration::from_secs(20);

fn at(offset_ms: u64) -> Duration {
    HOT_AT + Duration::from_millis(offset_ms)
}

/// An account that requests a bit more than half of its limit, and ten times its limit later on.
fn hot(entries: usize) -> Scenario {
    Scenario {
        entries,
        usual_load: 0.55,
        hot_load: 10.0,
        hot_at: HOT_AT,
        ..Scenario::default()
    }
}

fn expect_within_limit(name: &str, scenario: &Scenario) {
    let Outcome { excess, .. } = simulation::run(scenario);
    let entries = scenario.entries;
    expect_that!(excess, le(MAX_EXCESS), "{name}, {entries} entries");
}

#[gtest]
fn keeps_a_hot_account_within_its_limit_however_many_entries_share_it() {
    for entries in ENTRIES {
        expect_within_limit("load spread evenly", &hot(entries));
    }
}

#[gtest]
fn keeps_a_hot_account_within_its_limit_with_any_skew() {
    for (entries, skew) in ENTRIES.into_iter().flat_map(|n| [(n, 0.5), (n, 1.0)]) {
        let scenario = Scenario {
            skew,
            ..hot(entries)
        };
        expect_within_limit(&format!("skew {skew}"), &scenario);
    }
}

#[gtest]
fn keeps_an_account_within_its_limit_that_is_hot_from_the_first_second() {
    for entries in ENTRIES {
        let scenario = Scenario {
            hot_at: Duration::ZERO,
            ..hot(entries)
        };
        expect_within_limit("hot at once", &scenario);
    }
}

#[gtest]
fn keeps_a_hot_account_within_its_limit_when_the_leader_changes() {
    for (entries, after_ms) in ENTRIES
        .into_iter()
        .flat_map(|n| [(n, 100), (n, 700), (n, 3_000)])
    {
        let scenario = Scenario {
            fault: Fault::NewLeader {
                at: at(after_ms),
                gap: Duration::from_millis(1_400),
            },
            ..hot(entries)
        };
        expect_within_limit(&format!("new leader after {after_ms} ms"), &scenario);
    }
}

#[gtest]
fn keeps_a_hot_account_within_its_limit_when_entries_are_cut_off_from_the_leader() {
    for (entries, share) in ENTRIES
        .into_iter()
        .flat_map(|n| [(n, 0.3), (n, 0.5), (n, 1.0)])
    {
        let scenario = Scenario {
            fault: Fault::Cut {
                share,
                from: at(0) - Duration::from_secs(3),
                to: at(15_000),
            },
            ..hot(entries)
        };
        expect_within_limit(&format!("{share} of the entries cut off"), &scenario);
    }
}

#[gtest]
fn keeps_a_hot_account_within_its_limit_when_all_processes_restart() {
    for (entries, after_ms) in ENTRIES
        .into_iter()
        .flat_map(|n| [(n, 300), (n, 1_490), (n, 4_000)])
    {
        let scenario = Scenario {
            fault: Fault::Restart {
                at: at(after_ms),
                gap: Duration::from_millis(1_400),
            },
            ..hot(entries)
        };
        expect_within_limit(&format!("restart after {after_ms} ms"), &scenario);
    }
}

/// An account that never requests more than 60% of its limit.
fn modest(entries: usize) -> Scenario {
    Scenario {
        entries,
        usual_load: 0.6,
        hot_load: 0.6,
        ..Scenario::default()
    }
}

#[gtest]
fn refuses_nothing_below_the_limit_with_any_skew() {
    for (entries, skew) in ENTRIES
        .into_iter()
        .flat_map(|n| [(n, 0.0), (n, 0.5), (n, 1.0)])
    {
        let outcome = simulation::run(&Scenario {
            skew,
            ..modest(entries)
        });
        expect_that!(
            outcome.admitted,
            ge(0.999),
            "{entries} entries, skew {skew}"
        );
    }
}

#[gtest]
fn admits_almost_the_whole_limit_of_an_overloaded_account() {
    for entries in ENTRIES {
        let outcome = simulation::run(&hot(entries));
        expect_that!(outcome.used, ge(0.9), "{entries} entries");
    }
}

#[gtest]
fn draws_no_more_often_than_entries_report() {
    for entries in ENTRIES {
        let outcome = simulation::run(&hot(entries));
        let reports = entries as f64 / 0.25;
        expect_that!(outcome.draws, le(reports), "{entries} entries");
    }
}

/// An account with a limit of `size` times 160,000 tokens per second.
fn sized(size: f64, scenario: Scenario) -> Scenario {
    let tokens = 160_000.0 * size;
    Scenario {
        rate: Rate {
            per_second: tokens,
            burst: tokens,
        },
        ..scenario
    }
}

#[gtest]
fn keeps_an_overloaded_account_within_the_allowed_excess() {
    for skew in [0.0, 0.5, 1.0] {
        let scenario = Scenario {
            usual_load: 3.5,
            hot_load: 3.5,
            skew,
            ..hot(10)
        };
        expect_within_limit(&format!("skew {skew}"), &sized(1.0, scenario));
    }
}

#[gtest]
fn keeps_an_account_within_the_allowed_excess_at_many_entries() {
    for (hot_load, size) in [(3.5, 1.0), (7.0, 1.0), (4.2, 3.2), (5.0, 3.2)] {
        let scenario = Scenario {
            hot_load,
            ..hot(76)
        };
        let name = format!("{hot_load} times the limit of {size}");
        expect_within_limit(&name, &sized(size, scenario));
    }
}

#[gtest]
fn keeps_an_account_within_the_allowed_excess_while_the_leader_is_silent() {
    for after_ms in [300, 1_000, 3_000] {
        let fault = Fault::Cut {
            share: 1.0,
            from: at(after_ms),
            to: at(after_ms + 1_400),
        };
        let scenario = Scenario {
            hot_load: 4.2,
            fault,
            ..hot(76)
        };
        expect_within_limit(
            &format!("silent after {after_ms} ms"),
            &sized(3.2, scenario),
        );
    }
}

#[gtest]
fn keeps_an_account_within_the_allowed_excess_when_all_processes_are_killed() {
    for after_ms in [1_200, 1_490, 2_700, 4_000, 6_990] {
        let fault = Fault::Restart {
            at: at(after_ms),
            gap: Duration::ZERO,
        };
        let scenario = Scenario {
            hot_load: 3.5,
            skew: 0.2,
            fault,
            ..hot(10)
        };
        expect_within_limit(
            &format!("killed after {after_ms} ms"),
            &sized(1.0, scenario),
        );
    }
}

#[gtest]
fn admits_everything_within_the_limit_while_the_leader_is_silent() {
    let fault = Fault::Cut {
        share: 1.0,
        from: at(0),
        to: at(3_000),
    };
    let scenario = Scenario {
        usual_load: 0.55,
        hot_load: 0.55,
        fault,
        ..Scenario::default()
    };
    let outcome = simulation::run(&sized(1.0, scenario));
    expect_that!(outcome.admitted, ge(0.99));
}
