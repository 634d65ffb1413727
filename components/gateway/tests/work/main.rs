//! The choice by expected work and speed, under loads on uneven upstreams.

mod caches;
mod exchange;
mod simulation;
mod statements;
mod upstreams;

use std::time::Duration;

use config::text::{Balance, Kind};
use googletest::prelude::*;
use simulation::{Case, Outcomes, Simulation};

const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];
/// Time for which a load runs, and after which it is counted.
const TIME: Duration = Duration::from_secs(20);
const COUNTED_FROM: Duration = Duration::from_secs(5);

fn engines(balance: Balance, seed: u64) -> Case {
    Case {
        kind: Kind::Model,
        balance,
        entries: 20,
        upstreams: 12,
        slots: 16,
        requests_per_second: 110.0,
        target: Duration::from_millis(600),
        has_full_caches: false,
        seed,
    }
}

fn plain(balance: Balance, seed: u64) -> Case {
    Case {
        kind: Kind::Plain,
        balance,
        entries: 20,
        upstreams: 4,
        slots: 6,
        requests_per_second: 240.0,
        target: Duration::from_millis(150),
        has_full_caches: false,
        seed,
    }
}

/// Returns the outcomes of a load on `case` for each seed.
fn run(case: fn(Balance, u64) -> Case, balance: Balance) -> [Outcomes; SEEDS.len()] {
    let outcomes = SEEDS.map(|seed| Simulation::new(case(balance, seed)).run(TIME, COUNTED_FROM));
    for outcome in &outcomes {
        println!(
            "{balance:?}: {outcome:?}, {:.3} in time",
            outcome.share_in_time()
        );
    }
    outcomes
}

/// Asserts that over all seeds, more is in time by work than by requests.
fn assert_is_better(case: fn(Balance, u64) -> Case) {
    let mean = |outcomes: [Outcomes; SEEDS.len()]| {
        let shares = outcomes.iter().map(Outcomes::share_in_time);
        shares.sum::<f64>() / outcomes.len() as f64
    };
    let by_requests = mean(run(case, Balance::ByRequests));
    let by_work = mean(run(case, Balance::ByWork));
    println!("{by_requests:.3} in time by requests, {by_work:.3} by work");
    assert_that!(by_work, gt(by_requests));
}

/// Guards against slow engines that get as much as fast ones and begin late.
#[test]
fn serves_more_in_time_on_uneven_engines_than_by_requests() {
    assert_is_better(engines);
}

/// Guards against engines that are full and still get more, where they have hardly room for the load.
#[test]
fn serves_more_in_time_on_busy_engines_than_by_requests() {
    assert_is_better(|balance, seed| Case {
        requests_per_second: 150.0,
        ..engines(balance, seed)
    });
}

/// Guards against knowledge of caches that costs more than it gains: by requests, entries take each part
/// for cached, and here they are right. By work, they take parts for cold for some seconds, and must
/// neither refuse nor delay requests for it.
#[test]
fn serves_more_in_time_on_busy_engines_with_full_caches_than_by_requests() {
    assert_is_better(|balance, seed| Case {
        requests_per_second: 150.0,
        has_full_caches: true,
        ..engines(balance, seed)
    });
}

/// Guards against slow upstreams of plain services that are told from fast ones by a few calls.
#[test]
fn serves_more_in_time_on_uneven_plain_upstreams_than_by_requests() {
    assert_is_better(plain);
}

/// Guards against entries that see few calls each, and all send theirs to the same upstream until the
/// next exchange.
#[test]
fn serves_more_in_time_on_plain_upstreams_of_eighty_entries_than_by_requests() {
    assert_is_better(|balance, seed| Case {
        entries: 80,
        ..plain(balance, seed)
    });
}

/// Guards against entries that learn other speeds than those that their upstreams have.
#[test]
fn learns_the_speeds_of_uneven_engines_at_each_entry() {
    let mut simulation = Simulation::new(engines(Balance::ByWork, 1));
    simulation.run(TIME, COUNTED_FROM);
    for entry in [0, 7] {
        let speeds = simulation.speeds(entry);
        let logs = speeds.iter().map(|(actual, _)| actual.ln());
        let usual = (logs.sum::<f64>() / speeds.len() as f64).exp();
        let errors = speeds
            .iter()
            .map(|(actual, learned)| (learned * usual / actual).ln().abs());
        assert_that!(errors.sum::<f64>() / speeds.len() as f64, lt(0.15));
    }
}
