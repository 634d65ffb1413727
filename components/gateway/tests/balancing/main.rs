//! The choice of upstreams, simulated without a network.

mod crowds;
mod fleet;
mod limits;
mod overload;
mod queue;
mod room;

use std::time::Duration;

use fleet::{Fleet, engine, prompt};
use gateway::balancer::{Outcome, Shortage};
use googletest::prelude::*;
use indexmap::IndexMap;
use upstream::{Announcement, Availability, Software};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn sends_prompts_with_the_same_parts_to_the_same_engine_from_every_entry() {
    let mut fleet = Fleet::new(9, 10);
    fleet.advance(ms(15_000));
    for part in 1..40 {
        let homes: Vec<_> = (0..10).map(|entry| fleet.send(entry, part)).collect();
        assert_that!(
            homes.iter().all(|home| *home == homes[0]),
            eq(true),
            "part {part}"
        );
        fleet.finish_all();
    }
}

#[test]
fn spreads_parts_over_all_engines() {
    let mut fleet = Fleet::new(9, 1);
    fleet.advance(ms(15_000));
    let mut counts: IndexMap<String, u32> = IndexMap::new();
    for part in 1..200 {
        *counts.entry(fleet.send(0, part)).or_default() += 1;
        fleet.finish_all();
    }
    assert_that!(counts.len(), eq(9));
    assert_that!(counts.values().max(), some(le(&45)));
}

#[test]
fn passes_over_a_home_with_too_much_to_compute() {
    let mut fleet = Fleet::new(9, 10);
    fleet.advance(ms(15_000));
    let mut counts: IndexMap<String, u32> = IndexMap::new();
    for turn in 0..30 {
        *counts.entry(fleet.send(turn % 10, 1)).or_default() += 1;
        fleet.report_all();
    }
    // An engine computes the unshared parts of 16 prompts within 1.2 s: 3,700 tokens each at 50
    // tokens per millisecond.
    assert_that!(counts.values().max(), some(le(&16)));
}

#[test]
fn moves_homes_to_a_new_engine_one_after_the_other() {
    let mut fleet = Fleet::new(4, 1);
    fleet.advance(ms(15_000));
    fleet.announce(&engine("e9"));
    let count_at_new = |fleet: &mut Fleet| {
        let mut at_new = 0;
        for part in 1..100 {
            at_new += u32::from(fleet.send(0, part) == "e9");
            fleet.finish_all();
        }
        at_new
    };
    let at_once = count_at_new(&mut fleet);
    fleet.advance(ms(12_000));
    let later = count_at_new(&mut fleet);
    assert_that!(at_once, le(4));
    assert_that!(later, ge(8));
}

#[test]
fn lets_a_new_home_fetch_missing_parts_from_the_former_one() {
    let mut fleet = Fleet::new(4, 1);
    fleet.advance(ms(15_000));
    let home = fleet.choose(0, 1).expect("there are engines");
    fleet.finish_all();
    let mut leaving = engine(&home.upstream);
    leaving.availability = Availability::Reclaimed { in_ms: 2_000 };
    leaving.sequence = 100;
    fleet.announce(&leaving);
    let next = fleet.choose(0, 1).expect("there are engines");
    assert_that!(next.upstream, not(eq(&home.upstream)));
    assert_that!(next.fetch_from, some(eq(home.address)));
}

#[test]
fn lets_an_idle_engine_fetch_shared_parts_from_a_busy_home() {
    let mut fleet = Fleet::new(9, 1);
    fleet.advance(ms(15_000));
    let home = fleet.choose(0, 1).expect("there are engines");
    let choices: Vec<_> = (0..6)
        .map(|_| fleet.choose(0, 1).expect("there are engines"))
        .collect();
    let away = choices
        .iter()
        .find(|choice| choice.upstream != home.upstream);
    let away = away.expect("another engine is chosen once the home has a queue");
    assert_that!(away.fetch_from, some(eq(home.address)));
    assert_that!(away.uncached_tokens, lt(4_000));
}

#[test]
fn sends_no_request_to_a_leaving_upstream() {
    let mut fleet = Fleet::new(2, 1);
    let mut leaving = engine("e0");
    leaving.availability = Availability::Leaving;
    leaving.sequence = 100;
    fleet.announce(&leaving);
    for part in 1..50 {
        assert_that!(fleet.send(0, part), eq("e1"));
    }
}

#[test]
fn keeps_choosing_when_all_leases_have_expired() {
    let mut fleet = Fleet::new(2, 1);
    fleet.advance_without_announcements(ms(30_000));
    assert_that!(fleet.choose(0, 1).is_ok(), eq(true));
}

#[test]
fn sends_no_request_to_an_upstream_whose_address_is_used_by_a_later_one() {
    let mut fleet = Fleet::new(1, 1);
    let mut later = engine("e1");
    later.address = engine("e0").address;
    later.incarnation = 50;
    fleet.announce(&later);
    for part in 1..20 {
        assert_that!(fleet.send(0, part), eq("e1"));
    }
}

#[test]
fn ejects_an_upstream_that_fails_repeatedly_unless_all_fail() {
    let mut fleet = Fleet::new(3, 1);
    fleet.advance(ms(15_000));
    let failing = fleet.choose(0, 1).expect("there are engines");
    fleet.finish(0, &failing, Outcome::Failed);
    for _ in 0..2 {
        fleet.fail(0, &failing.upstream);
    }
    assert_that!(fleet.send(0, 1), not(eq(failing.upstream.as_str())));
    for other in ["e0", "e1", "e2"] {
        (0..3).for_each(|_| fleet.fail(0, other));
    }
    assert_that!(fleet.choose(0, 1).is_ok(), eq(true));
}

#[test]
fn refuses_requests_that_no_engine_can_begin_before_the_deadline() {
    let mut fleet = Fleet::new(2, 1);
    fleet.advance(ms(15_000));
    for part in 0..400 {
        let _ = fleet.choose(0, part);
    }
    let chosen = fleet.choose(0, 1_000);
    assert_that!(
        chosen,
        err(matches_pattern!(Shortage::Overloaded(gt(&ms(0)))))
    );
}

#[test]
fn counts_no_work_from_before_an_upstream_restarted() {
    let mut fleet = Fleet::new(1, 1);
    let before = fleet.choose(0, 1).expect("there is an engine");
    let mut restarted = engine("e0");
    restarted.incarnation = 60;
    restarted.sequence = 1;
    fleet.announce(&restarted);
    fleet.finish(0, &before, Outcome::Answered);
    assert_that!(fleet.report(0), is_empty());
    assert_that!(prompt(1, 1).parts.len(), eq(2));
}

#[test]
fn never_chooses_another_software_version_than_a_stream_began_at() {
    let mut fleet = Fleet::new(4, 2);
    for name in ["n8", "n9"] {
        fleet.announce(&Announcement {
            software: "v2".into(),
            ..engine(name)
        });
    }
    fleet.advance(ms(15_000));
    let (old, new) = (Software::default(), Software::from("v2"));
    let choose = |fleet: &mut Fleet, software: &Software| {
        let choice = fleet.choose_at(0, 1, Duration::MAX, Some(software));
        choice.map(|choice| choice.software)
    };
    for _ in 0..40 {
        assert_that!(choose(&mut fleet, &new), ok(eq(&new)));
        assert_that!(choose(&mut fleet, &old), ok(eq(&old)));
    }
    // All leases have expired, as at an entry that is cut off.
    fleet.advance_without_announcements(ms(20_000));
    assert_that!(choose(&mut fleet, &new), ok(eq(&new)));
    let other = Software::from("v3");
    assert_that!(choose(&mut fleet, &other), err(eq(&Shortage::NoUpstream)));
}

#[test]
fn knows_the_only_software_version_of_a_service_for_a_minute_after_the_last_other_one() {
    let mut fleet = Fleet::new(4, 1);
    fleet.advance(ms(15_000));
    assert_that!(fleet.only_software(0), some(eq(&Software::default())));
    let new = Announcement {
        software: "v2".into(),
        ..engine("n8")
    };
    fleet.announce(&new);
    assert_that!(fleet.only_software(0), none());
    fleet.forget("n8");
    fleet.advance(ms(60_000));
    assert_that!(fleet.only_software(0), none());
    fleet.advance(ms(30_000));
    assert_that!(fleet.only_software(0), some(eq(&Software::default())));
}

#[test]
fn ejects_an_upstream_that_accepts_no_connection_at_once() {
    let mut fleet = Fleet::new(2, 1);
    let choice = fleet.choose(0, 1).expect("there are engines");
    fleet.finish(0, &choice, Outcome::Unreachable);
    let first = choice.upstream.to_string();
    for part in 1..20 {
        assert_that!(fleet.send(0, part), not(eq(&first)));
        fleet.finish_all();
    }
    fleet.advance(ms(5_000));
    let mut later = (1..50).map(|part| fleet.send(0, part));
    assert_that!(later.any(|name| name == first), eq(true));
}
