//! What entries tell each other of work and speeds.

use std::time::Duration;

use config::text::Balance;
use gateway::balancer::Outcome;
use googletest::prelude::*;
use wire::{SpeedTable, Work};

use crate::simulation::{Case, Simulation};
use crate::{TIME, engines, plain};

fn work_of(simulation: &mut Simulation, entry: usize) -> Vec<Work> {
    let report = simulation.entries[entry].report();
    report.into_iter().map(|(_, work)| work).collect()
}

/// Guards against work that is counted for ever, or not at all.
#[test]
fn counts_the_expected_work_until_the_request_ends() {
    let mut simulation = Simulation::new(plain(Balance::ByWork, 1));
    let choice = simulation.choose().expect("an upstream takes work");
    let work_ms = choice.work_ms;
    assert_that!(work_ms, some(gt(0)));
    let counted = Work {
        requests: 1,
        prefill_tokens: 0,
        work_ms,
    };
    assert_that!(work_of(&mut simulation, 0), eq(&vec![counted]));
    let now = simulation.now();
    simulation.entries[0].record_finish(&choice, true, Outcome::Answered, now);
    assert_that!(work_of(&mut simulation, 0), is_empty());
}

/// Guards against reports that an older release reads differently.
#[test]
fn states_no_work_for_services_that_are_balanced_by_requests() {
    let mut simulation = Simulation::new(plain(Balance::ByRequests, 1));
    let _ = simulation.choose().expect("an upstream takes work");
    let counted = Work {
        requests: 1,
        ..Work::default()
    };
    assert_that!(work_of(&mut simulation, 0), eq(&vec![counted]));
}

/// Guards against an upstream that seems idle as the leader, or the other entries, are of an older
/// release, which states requests only.
#[test]
fn takes_the_work_of_requests_without_any_as_usual() {
    let mut simulation = Simulation::new(Case {
        upstreams: 2,
        ..plain(Balance::ByWork, 1)
    });
    let busy = Work {
        requests: 60,
        ..Work::default()
    };
    simulation.entries[0].apply_work(&[("u0".into(), busy)]);
    for _ in 0..10 {
        let choice = simulation.choose().expect("an upstream takes work");
        assert_that!(choice.upstream.as_str(), eq("u1"));
    }
}

/// Guards against a new process that inherits the speed of the one before, from this entry or others.
#[test]
fn begins_at_the_usual_speed_after_a_restart() {
    let mut simulation = Simulation::new(engines(Balance::ByWork, 1));
    simulation.run(TIME, Duration::ZERO);
    let (_, learned) = simulation.speeds(0)[0];
    assert_that!(learned, gt(1.15));
    let before: Vec<SpeedTable> = {
        let now = simulation.now();
        let entries = simulation.entries.iter_mut();
        entries.map(|entry| entry.report_speeds(now)).collect()
    };
    simulation.restart(0);
    let now = simulation.now();
    simulation.entries[0].apply_speeds(&SpeedTable::sum(&before), now);
    let (_, learned) = simulation.speeds(0)[0];
    assert_that!(learned, near(1.0, 1e-9));
}

/// Guards against speeds that a new leader does not hear of, as entries have told them before.
#[test]
fn tells_a_new_leader_all_speeds_with_the_next_report() {
    let mut simulation = Simulation::new(engines(Balance::ByWork, 1));
    simulation.run(TIME, Duration::ZERO);
    let now = simulation.now();
    let first = simulation.entries[3].report_speeds(now);
    let second = simulation.entries[3].report_speeds(now);
    assert_that!(first.is_empty(), eq(false));
    assert_that!(second, eq(&first));
}

/// Guards against a new entry that takes all upstreams as equally fast until it has seen many answers.
#[test]
fn tells_a_new_entry_the_speeds_that_others_learned() {
    let mut simulation = Simulation::new(engines(Balance::ByWork, 1));
    simulation.run(TIME, Duration::ZERO);
    simulation.replace_entry(0);
    assert_that!(simulation.speeds(0)[0].1, eq(1.0));
    simulation.exchange();
    let (new, old) = (simulation.speeds(0)[0].1, simulation.speeds(1)[0].1);
    assert_that!(new, near(old, 0.15));
}

/// Guards against work that is long done and still keeps an entry from an upstream.
#[test]
fn spreads_the_work_evenly_once_the_overview_is_too_old() {
    let mut simulation = Simulation::new(Case {
        upstreams: 2,
        ..plain(Balance::ByWork, 1)
    });
    let busy = Work {
        requests: 40,
        prefill_tokens: 0,
        work_ms: Some(2_000),
    };
    simulation.entries[0].apply_work(&[("u0".into(), busy)]);
    let chosen = simulation.choose().expect("an upstream takes work");
    assert_that!(chosen.upstream.as_str(), eq("u1"));
    simulation.entries[0].even_out_work();
    let mut chosen = Vec::new();
    for _ in 0..20 {
        let choice = simulation.choose().expect("an upstream takes work");
        assert_that!(choice.in_flight, ge(20));
        chosen.push(choice.upstream);
    }
    assert_that!(chosen, contains(eq("u0")));
}
