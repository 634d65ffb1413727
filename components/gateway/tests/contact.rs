//! When an entry may take the upstreams that it knows for all there are.

use std::time::{Duration, Instant};

use gateway::Contact;
use googletest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Records a check each 100 ms for `time`, and returns the time of the last one.
fn check(contact: &mut Contact, is_fresh: bool, start: Instant, time: Duration) -> Instant {
    let checks = u32::try_from(time.as_millis() / 100).expect("a short time");
    (0..=checks)
        .map(|number| start + ms(100) * number)
        .inspect(|now| contact.record(is_fresh, *now))
        .last()
        .expect("there is a check")
}

#[test]
fn is_settled_two_seconds_after_the_start() {
    let start = Instant::now();
    let mut contact = Contact::default();
    assert_that!(contact.is_settled(start), eq(false));
    let now = check(&mut contact, true, start, ms(1_900));
    assert_that!(contact.is_settled(now), eq(false));
    let now = check(&mut contact, true, now, ms(100));
    assert_that!(contact.is_settled(now), eq(true));
}

#[test]
fn is_not_settled_after_it_stood_still_until_two_seconds_later() {
    for pause in [1_000, 2_000, 8_000] {
        let mut contact = Contact::default();
        let now = check(&mut contact, true, Instant::now(), ms(5_000));
        // Requests may be read before the next check.
        let woken = now + ms(pause);
        assert_that!(contact.is_settled(woken), eq(false), "{pause} ms");
        let now = check(&mut contact, true, woken, ms(1_900));
        assert_that!(contact.is_settled(now), eq(false), "{pause} ms");
        let now = check(&mut contact, true, now, ms(200));
        assert_that!(contact.is_settled(now), eq(true), "{pause} ms");
    }
}

#[test]
fn is_not_settled_without_a_lease_nor_right_after_it() {
    let mut contact = Contact::default();
    let now = check(&mut contact, true, Instant::now(), ms(5_000));
    let now = check(&mut contact, false, now, ms(300));
    assert_that!(contact.is_settled(now), eq(false));
    let now = check(&mut contact, true, now, ms(1_000));
    assert_that!(contact.is_settled(now), eq(false));
    let now = check(&mut contact, true, now, ms(1_200));
    assert_that!(contact.is_settled(now), eq(true));
}
