//! The retry budget that the entries share.

use std::time::Duration;

use config::ids::ServiceId;
use config::settings;
use gateway::{Retries, Share};
use googletest::prelude::*;

const ENTRIES: u32 = 10;

fn service() -> ServiceId {
    "plain".into()
}

/// Returns the budget of an entry whose node had no earlier process.
fn budget(entries: u32) -> Retries {
    let mut retries = Retries::new(settings::Retries::default(), entries);
    retries.update(share(entries), Duration::ZERO);
    retries
}

fn share(entries: u32) -> Share {
    Share {
        entries,
        replaced: None,
    }
}

/// Simulates `requests` per second at one entry, each of which asks for a retry, and returns the
/// number of retries granted in the last window.
fn granted_retries(requests: u32) -> u32 {
    let mut retries = budget(ENTRIES);
    let mut count = 0;
    for second in 0..40 {
        for _ in 0..requests {
            let at = Duration::from_secs(second);
            retries.record_request(&service(), at);
            let granted = retries.take(&service(), at);
            count += u32::from(granted && second >= 30);
        }
    }
    count
}

#[test]
fn keeps_the_retries_of_all_entries_within_the_bound() {
    for requests in [0, 1, 5, 50] {
        let bound = f64::from(requests * 10) * 0.2 + 50.0 / f64::from(ENTRIES);
        assert_that!(
            f64::from(granted_retries(requests)),
            le(bound),
            "{requests} requests per second"
        );
    }
}

#[test]
fn grants_retries_while_few_requests_fail() {
    assert_that!(granted_retries(10), ge(10));
}

#[test]
fn grants_retries_again_after_the_window() {
    let mut retries = budget(ENTRIES);
    let first = Duration::from_secs(1);
    while retries.take(&service(), first) {}
    assert_that!(retries.take(&service(), first), eq(false));
    assert_that!(retries.take(&service(), Duration::from_secs(12)), eq(true));
}

#[test]
fn keeps_the_retries_within_the_bound_however_many_entries_share_it() {
    let at = Duration::from_secs(1);
    for entries in [10, 100, 300, 2_200] {
        let mut granted = 0;
        for _ in 0..entries {
            let mut retries = budget(entries);
            retries.record_request(&service(), at);
            granted += u32::from(retries.take(&service(), at));
        }
        let bound = f64::from(entries) * 0.2 + 50.0;
        assert_that!(f64::from(granted), le(bound), "{entries} entries");
    }
}

/// Grants of `entries` entries that take all they can at each of `times`, in seconds since their
/// processes started, as if they had started together.
fn taken_at(retries: &mut [Retries], times: &[f64]) -> u32 {
    let mut taken = 0;
    for time in times {
        let at = Duration::from_secs_f64(*time);
        for entry in retries.iter_mut() {
            while entry.take(&service(), at) {
                taken += 1;
            }
        }
    }
    taken
}

fn fleet(entries: u32) -> Vec<Retries> {
    (0..entries).map(|_| budget(entries)).collect()
}

#[test]
fn keeps_the_retries_within_the_bound_across_the_edges_of_its_slices() {
    let taken = taken_at(&mut fleet(ENTRIES), &[20.95, 29.0, 30.05, 30.9]);
    assert_that!(f64::from(taken), le(50.0));
}

#[test]
fn keeps_the_retries_within_the_bound_while_all_entries_restart() {
    let before = taken_at(&mut fleet(ENTRIES), &[20.0]);
    let replaced = Share {
        replaced: Some(Duration::ZERO),
        ..share(ENTRIES)
    };
    let restarted = |_| {
        let mut retries = Retries::new(settings::Retries::default(), ENTRIES);
        retries.update(replaced, Duration::from_millis(200));
        retries
    };
    let mut entries: Vec<Retries> = (0..ENTRIES).map(restarted).collect();
    let after = taken_at(&mut entries, &[0.1, 0.5, 4.0, 9.5]);
    assert_that!(f64::from(before + after), le(50.0));
}

#[test]
fn keeps_the_retries_within_the_bound_while_a_new_leader_learns_the_entries() {
    let mut entries = fleet(ENTRIES);
    let mut taken = taken_at(&mut entries, &[20.0]);
    for (known, entry) in (1..).zip(entries.iter_mut()) {
        entry.update(share(known), Duration::from_secs_f64(20.5));
        taken += taken_at(std::slice::from_mut(entry), &[20.5]);
    }
    assert_that!(f64::from(taken), le(50.0));
}

#[test]
fn grants_retries_to_fewer_entries_once_the_others_are_gone_for_a_window() {
    let mut retries = budget(ENTRIES);
    retries.update(share(1), Duration::from_secs(20));
    let first = taken_at(std::slice::from_mut(&mut retries), &[20.0]);
    retries.update(share(1), Duration::from_secs(40));
    let second = taken_at(std::slice::from_mut(&mut retries), &[40.0]);
    assert_that!(second, gt(first));
}
