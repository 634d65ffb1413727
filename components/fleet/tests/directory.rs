//! Leaves of upstreams in the directory.

use std::time::{Duration, Instant};

use config::ids::Incarnation;
use fleet::{Directory, Leave, Update};
use googletest::prelude::*;
use upstream::{Announcement, Availability, Conflict};
use wire::{AgedAnnouncement, Delta};

fn announcement(incarnation: Incarnation, sequence: u64) -> Announcement {
    serde_json::from_value(serde_json::json!({
        "upstream": "u-1", "incarnation": incarnation, "sequence": sequence, "service": "bookings",
        "address": "127.0.0.1:9", "data_centre": "penang", "class": "on-demand",
        "capacity": {}, "load": {}, "lease_ms": 6_000, "availability": {"state": "serving"},
    }))
    .expect("the announcement is valid")
}

fn left(incarnation: Option<Incarnation>, now: Instant) -> Directory {
    let mut directory = Directory::default();
    let leave = directory.mark_leaving("u-1", incarnation, now);
    assert_that!(leave, eq(&Leave::Kept));
    directory
}

fn is_serving(directory: &Directory) -> bool {
    directory.availability("u-1") == Some(Availability::Serving)
}

// A deregistration of an upstream that the process did not know yet was forgotten at once.
#[gtest]
fn keeps_a_leave_of_an_unknown_upstream_for_late_announcements() {
    let now = Instant::now();
    let mut directory = left(Some(5), now);
    let stored = directory.insert(announcement(5, 9), now + Duration::from_secs(3));
    expect_that!(
        stored.map(|stored| stored.availability),
        some(eq(Availability::Leaving))
    );
    let late = directory.insert(announcement(5, 10), now + Duration::from_secs(4));
    expect_that!(late, none());
    let restarted = directory.insert(announcement(6, 1), now + Duration::from_secs(5));
    expect_that!(restarted, some(anything()));
    expect_that!(is_serving(&directory), eq(true));
}

#[gtest]
fn applies_a_leave_without_an_incarnation_to_announcements_made_before_it() {
    let made = Instant::now();
    let left_at = made + Duration::from_secs(1);
    let full = |age_ms| {
        Delta::Full(AgedAnnouncement {
            age_ms,
            announcement: announcement(5, 9),
        })
    };
    let received = left_at + Duration::from_secs(1);
    let mut directory = left(None, left_at);
    let update = directory.apply(full(1_500), Duration::ZERO, received);
    expect_that!(update, matches_pattern!(Update::Newer(..)));
    expect_that!(is_serving(&directory), eq(false));
    let mut directory = left(None, left_at);
    directory.apply(full(500), Duration::ZERO, received);
    expect_that!(is_serving(&directory), eq(true));
}

// A process that connects a moment later did not learn of it.
#[gtest]
fn tells_a_kept_leave_to_processes_that_connect_later() {
    let now = Instant::now();
    let deltas = left(Some(5), now).full_deltas(now);
    expect_that!(deltas, eq(&vec![Delta::Leave("u-1".into(), Some(5))]));
    let mut other = Directory::default();
    for delta in deltas {
        let update = other.apply(delta, Duration::ZERO, now);
        expect_that!(update, eq(&Update::Departed("u-1".into())));
    }
    other.insert(announcement(5, 9), now);
    expect_that!(is_serving(&other), eq(false));
    // Told again without an incarnation, it would apply to a restart.
    expect_that!(left(None, now).full_deltas(now), is_empty());
}

// The announcement of a start may arrive after the leave of the same start.
#[gtest]
fn applies_a_leave_to_a_later_incarnation_than_the_known_one() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.insert(announcement(5, 9), now);
    let leave = directory.mark_leaving("u-1", Some(6), now);
    expect_that!(leave, matches_pattern!(Leave::Marked(anything())));
    expect_that!(directory.insert(announcement(6, 1), now), none());
    expect_that!(is_serving(&directory), eq(false));
    expect_that!(
        directory.mark_leaving("u-1", Some(6), now),
        eq(&Leave::Repeated)
    );
    expect_that!(
        directory.mark_leaving("u-1", Some(5), now),
        eq(&Leave::Outdated)
    );
}

#[gtest]
fn forgets_kept_leaves_in_the_end() {
    let now = Instant::now();
    let mut directory = left(Some(5), now);
    directory.remove_expired(now + Duration::from_secs(120));
    expect_that!(directory.full_deltas(now), is_empty());
}

/// Length of the announcements' lease.
const LEASE: Duration = Duration::from_secs(6);

fn of_service(service: &str, incarnation: Incarnation, sequence: u64) -> Announcement {
    Announcement {
        service: service.into(),
        ..announcement(incarnation, sequence)
    }
}

fn at_another_address(incarnation: Incarnation, sequence: u64) -> Announcement {
    Announcement {
        address: ([127, 0, 0, 1], 10).into(),
        ..announcement(incarnation, sequence)
    }
}

// Another writer that named a later start moved an upstream to another service.
#[gtest]
fn keeps_an_upstream_in_its_service_while_its_lease_is_valid() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.insert(announcement(5, 1), now);
    let other = of_service("plates", 9, 1);
    let conflict = directory.conflict(&other, now);
    expect_that!(conflict, some(eq(&Conflict::Service("bookings".into()))));
    expect_that!(directory.insert(other.clone(), now), none());
    // Its own announcements go on counting, with the other writer's in turn.
    for sequence in 2..5 {
        let renewed = directory.insert(announcement(5, sequence), now);
        expect_that!(renewed, some(anything()));
        expect_that!(
            directory.insert(of_service("plates", 9, sequence), now),
            none()
        );
    }
    // A service that changes does so once the upstream has left, or its lease has ended.
    let mut left = directory.clone();
    left.mark_leaving("u-1", Some(5), now);
    expect_that!(left.insert(other.clone(), now), some(anything()));
    expect_that!(directory.insert(other, now + LEASE), some(anything()));
}

#[gtest]
fn lets_a_restart_change_the_address_but_not_a_running_process() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.insert(announcement(5, 1), now);
    let moved = at_another_address(5, 2);
    expect_that!(
        directory.conflict(&moved, now),
        some(matches_pattern!(Conflict::Address(anything())))
    );
    expect_that!(directory.insert(moved, now), none());
    expect_that!(
        directory.insert(at_another_address(6, 1), now),
        some(anything())
    );
    // What the former process sent before arrives late.
    expect_that!(directory.insert(announcement(5, 3), now), none());
    expect_that!(directory.insert(at_another_address(6, 1), now), none());
}
