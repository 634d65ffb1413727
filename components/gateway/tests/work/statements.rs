//! What upstreams state of their load and their slowdown.

use std::time::Duration;

use config::text::{Balance, Kind};
use gateway::Load;
use gateway::balancer::{Choice, Outcome, Shortage};
use googletest::prelude::*;

use crate::simulation::{Case, Simulation};
use crate::{engines, plain};

fn load(running: u32, waiting: u32, slowdown: Option<f64>) -> Load {
    Load {
        running,
        waiting,
        slots: 6,
        slowdown,
    }
}

/// Returns one entry with upstreams of a plain service.
fn entry(balance: Balance) -> Simulation {
    Simulation::new(Case {
        entries: 1,
        ..plain(balance, 1)
    })
}

/// Lets an upstream of the first entry state a load in an answer.
fn state(simulation: &mut Simulation, upstream: &str, load: &Load) {
    let sent = simulation.choose().expect("an upstream takes work");
    let now = simulation.now();
    let entry = &mut simulation.entries[0];
    entry.record_finish(&sent, true, Outcome::Answered, now);
    let choice = Choice {
        upstream: upstream.into(),
        ..sent
    };
    entry.record_statement(&choice, load, now);
}

/// Guards against deployments whose text says nothing, and whose upstreams state no slowdown: they are
/// balanced as before.
#[test]
fn are_followed_from_the_first_slowdown_on() {
    let mut simulation = entry(Balance::Auto);
    let service = "service".into();
    assert_that!(
        simulation.entries[0].is_balanced_by_work(&service),
        eq(false)
    );
    state(&mut simulation, "u1", &load(1, 0, None));
    assert_that!(
        simulation.entries[0].is_balanced_by_work(&service),
        eq(false)
    );
    let choice = simulation.choose().expect("an upstream takes work");
    assert_that!(choice.work_ms, none());
    state(&mut simulation, "u1", &load(1, 0, Some(100.0)));
    assert_that!(
        simulation.entries[0].is_balanced_by_work(&service),
        eq(true)
    );
    let choice = simulation.choose().expect("an upstream takes work");
    assert_that!(choice.work_ms, some(gt(0)));
    assert_that!(choice.reason.as_str(), contains_substring("speed 1.00"));
}

#[test]
fn are_not_followed_where_the_text_says_by_requests() {
    let mut simulation = entry(Balance::ByRequests);
    state(&mut simulation, "u1", &load(1, 0, Some(400.0)));
    let service = "service".into();
    assert_that!(
        simulation.entries[0].is_balanced_by_work(&service),
        eq(false)
    );
    let now = simulation.now();
    assert_that!(
        simulation.entries[0].report_speeds(now).is_empty(),
        eq(true)
    );
}

/// Guards against a speed that is made up without any evidence.
#[test]
fn are_not_needed_for_the_usual_speed() {
    let simulation = entry(Balance::ByWork);
    let speed = simulation.entries[0].speed("u0", simulation.now());
    assert_that!(speed, some(eq(1.0)));
}

/// Guards against a slow upstream that is chosen until the next answer shows how slow it is.
#[test]
fn let_an_upstream_that_is_slow_at_the_moment_get_less() {
    let mut simulation = entry(Balance::ByWork);
    state(&mut simulation, "u1", &load(0, 0, Some(300.0)));
    let chosen = |simulation: &mut Simulation| {
        let choose = |_| simulation.choose().expect("an upstream takes work");
        let choices: Vec<Choice> = (0..40).map(choose).collect();
        let now = simulation.now();
        for choice in &choices {
            simulation.entries[0].record_finish(choice, true, Outcome::Answered, now);
        }
        let of_upstream = choices.iter().filter(|choice| choice.upstream == "u1");
        of_upstream.count()
    };
    assert_that!(chosen(&mut simulation), lt(7));
    simulation.pass(Duration::from_secs(2));
    assert_that!(chosen(&mut simulation), gt(7));
}

/// Guards against requests that wait behind those of other entries which this one does not know of.
#[test]
fn show_that_an_upstream_has_a_queue() {
    let mut simulation = entry(Balance::ByWork);
    for upstream in ["u0", "u1", "u2"] {
        state(&mut simulation, upstream, &load(6, 12, None));
    }
    let mut expected = Vec::new();
    for _ in 0..40 {
        let choice = simulation.choose().expect("an upstream takes work");
        let now = simulation.now();
        let entry = &mut simulation.entries[0];
        entry.record_finish(&choice, true, Outcome::Answered, now);
        expected.push((choice.upstream == "u3", choice.expected_first_event));
    }
    let at_rest = expected.iter().find(|(is_free, _)| *is_free);
    let queued = expected.iter().find(|(is_free, _)| !is_free);
    let (at_rest, queued) = (
        at_rest.expect("it is chosen").1,
        queued.expect("so is another").1,
    );
    assert_that!(queued, ge(at_rest * 2));
}

/// Guards against generations that are sent to engines where they are late, as these are full.
#[test]
fn refuse_generations_where_all_engines_have_a_queue() {
    let mut simulation = Simulation::new(Case {
        entries: 1,
        upstreams: 2,
        kind: Kind::Model,
        ..engines(Balance::ByWork, 1)
    });
    let max_wait = Duration::from_millis(420);
    for upstream in ["u0", "u1"] {
        let full = Load {
            running: 16,
            waiting: 40,
            slots: 16,
            slowdown: None,
        };
        state(&mut simulation, upstream, &full);
    }
    let refused = simulation.choose_within(max_wait);
    assert_that!(refused, err(matches_pattern!(Shortage::Overloaded(_))));
    simulation.pass(Duration::from_secs(1));
    assert_that!(simulation.choose_within(max_wait).is_ok(), eq(true));
}
