//! Which services are out of an entry's reach, and to which entries it may forward requests.

use std::time::{Duration, Instant};

use gateway::{Finding, Forwarders, Reach};
use googletest::prelude::*;
use wire::Forwarder;

const SERVICE: &str = "assistant";

fn fail(reach: &mut Reach, upstream: &str, known: usize, now: Instant) -> Finding {
    reach.record_failure(&SERVICE.into(), &upstream.into(), known, now)
}

#[gtest]
fn a_service_is_out_of_reach_once_three_of_its_upstreams_in_a_row_accept_no_connection() {
    let mut reach = Reach::default();
    let now = Instant::now();
    expect_that!(fail(&mut reach, "a", 9, now), eq(Finding::First));
    expect_that!(fail(&mut reach, "a", 9, now), eq(Finding::Known));
    expect_that!(fail(&mut reach, "b", 9, now), eq(Finding::Known));
    expect_that!(reach.is_lost(SERVICE), eq(false));
    expect_that!(fail(&mut reach, "c", 9, now), eq(Finding::Lost));
    expect_that!(reach.lost(), eq(&vec![SERVICE]));
    expect_that!(fail(&mut reach, "d", 9, now), eq(Finding::Known));
}

#[gtest]
fn a_service_with_fewer_upstreams_is_out_of_reach_once_all_of_them_accept_no_connection() {
    let mut reach = Reach::default();
    let now = Instant::now();
    expect_that!(fail(&mut reach, "a", 2, now), eq(Finding::First));
    expect_that!(fail(&mut reach, "b", 2, now), eq(Finding::Lost));
}

#[gtest]
fn a_connection_to_one_upstream_brings_its_service_within_reach() {
    let mut reach = Reach::default();
    let now = Instant::now();
    fail(&mut reach, "a", 1, now);
    expect_that!(reach.record_success(SERVICE), eq(true));
    expect_that!(reach.is_lost(SERVICE), eq(false));
    expect_that!(reach.record_success(SERVICE), eq(false));
}

#[gtest]
fn forgets_failures_that_are_not_followed_by_others() {
    let mut reach = Reach::default();
    let now = Instant::now();
    fail(&mut reach, "a", 9, now);
    fail(&mut reach, "b", 9, now);
    let later = now + Duration::from_secs(5);
    expect_that!(fail(&mut reach, "c", 9, later), eq(Finding::First));
}

#[gtest]
fn a_service_stays_out_of_reach_until_a_connection_is_opened() {
    let mut reach = Reach::default();
    let now = Instant::now();
    fail(&mut reach, "a", 1, now);
    fail(&mut reach, "a", 1, now + Duration::from_secs(60));
    expect_that!(reach.is_lost(SERVICE), eq(true));
}

fn forwarders(names: &[&str]) -> Forwarders {
    let entry = |name: &&str| Forwarder {
        node: (*name).into(),
        address: ([127, 0, 0, 1], 1).into(),
    };
    let mut forwarders = Forwarders::default();
    forwarders.set(names.iter().map(entry).collect());
    forwarders
}

#[gtest]
fn forwards_to_the_entries_in_turn() {
    let mut forwarders = forwarders(&["a", "b", "c"]);
    let now = Instant::now();
    let mut next = || {
        forwarders
            .next(&[], now)
            .map(|entry| entry.node.to_string())
    };
    let mut turn: Vec<_> = (0..3).filter_map(|_| next()).collect();
    turn.sort();
    expect_that!(turn, eq(&vec!["a", "b", "c"]));
}

#[gtest]
fn passes_over_an_entry_that_did_not_take_a_request_for_some_time() {
    let mut forwarders = forwarders(&["a", "b"]);
    let now = Instant::now();
    forwarders.pass_over(&"a".into(), now);
    for _ in 0..4 {
        let next = forwarders.next(&[], now).map(|entry| entry.node);
        expect_that!(next, some(eq("b")));
    }
    expect_that!(forwarders.next(&["b".into()], now), none());
    let later = now + Duration::from_secs(1);
    expect_that!(forwarders.next(&["b".into()], later), some(anything()));
}
