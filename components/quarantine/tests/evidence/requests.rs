//! Verdicts on requests.

use std::time::Duration;

use googletest::prelude::*;
use quarantine::{Kind, PartId};

use crate::fleet::{COMMON, Fleet};

/// Fingerprint of a request that crashes upstreams.
const CRASHING: PartId = 50;

#[test]
fn names_a_request_after_three_crashes_however_close_to_each_other() {
    let mut fleet = Fleet::of_kind(Kind::Request, 4);
    for entry in 0..3 {
        fleet.crash(&[(entry, &[CRASHING]), (3, &[entry as PartId])]);
    }
    fleet.pass(Duration::from_millis(1_500));
    assert_that!(fleet.quarantined(), eq(&vec![CRASHING]));
}

#[test]
fn asks_entries_for_no_request_that_upstreams_ran_at_one_crash_only() {
    let mut fleet = Fleet::of_kind(Kind::Request, 2);
    for crash in 0..20 {
        let bystanders: Vec<PartId> = (0..60).map(|number| 1_000 + crash * 60 + number).collect();
        fleet.crash(&[(0, &bystanders)]);
        fleet.pass(Duration::from_millis(250));
        assert_that!(fleet.report_of(0).watched, is_empty());
    }
    assert_that!(fleet.quarantined(), is_empty());
}

#[test]
fn names_no_request_that_is_answered_between_the_crashes() {
    let mut fleet = Fleet::of_kind(Kind::Request, 3);
    for _ in 0..8 {
        fleet.crash(&[(0, &[COMMON])]);
        fleet.pass(Duration::from_millis(250));
        fleet.begin_well(&[COMMON]);
        fleet.pass(Duration::from_millis(250));
    }
    assert_that!(fleet.quarantined(), is_empty());
}

#[test]
fn lets_a_request_through_twice_at_most_after_its_verdict() {
    let mut fleet = Fleet::of_kind(Kind::Request, 2);
    for _ in 0..3 {
        fleet.crash(&[(0, &[CRASHING])]);
        fleet.pass(Duration::from_millis(500));
    }
    fleet.pass(Duration::from_secs(1));
    assert_that!(fleet.quarantined(), eq(&vec![CRASHING]));
    let mut sent = 0;
    for _ in 0..2_000 {
        fleet.now += Duration::from_millis(500);
        fleet.keep_record();
        let now = fleet.now;
        if fleet.entries[0].refusal(&[CRASHING], now).is_none() {
            sent += 1;
            fleet.crash(&[(0, &[CRASHING])]);
        }
        fleet.report();
    }
    assert_that!(sent, eq(2));
}

#[test]
fn forgets_that_a_request_was_answered_after_some_time() {
    let mut fleet = Fleet::of_kind(Kind::Request, 1);
    fleet.begin_well(&[CRASHING]);
    fleet.now += Duration::from_secs(601);
    fleet.begin_well(&[COMMON]);
    fleet.now += Duration::from_secs(601);
    fleet.begin_well(&[COMMON]);
    // Three crashes are enough again, as for a request that no one has seen.
    for _ in 0..3 {
        fleet.crash(&[(0, &[CRASHING])]);
    }
    fleet.pass(Duration::from_millis(1_500));
    assert_that!(fleet.quarantined(), eq(&vec![CRASHING]));
}
