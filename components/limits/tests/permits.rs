//! Limits that upstreams name, over many entries.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use limits::{Naming, PERMIT_LIFETIME, Permits, Process};

const TERM: u64 = 1;

fn process(name: &str) -> Process {
    (name.into(), 1)
}

fn naming(name: &str, rate: Option<f64>, age: Duration) -> Naming {
    Naming {
        process: process(name),
        rate,
        age_ms: age.as_millis() as u64,
    }
}

/// Permits of a leader that has just heard of one upstream's limit.
fn limited(rate: f64, now: Instant) -> Permits {
    let mut permits = Permits::new(TERM);
    permits.record(&[naming("u-1", Some(rate), Duration::ZERO)], now);
    permits
}

/// Draws all permits each 10 ms for 20 s, and returns when each was given out.
fn draw_all(permits: &mut Permits, now: Instant) -> Vec<Duration> {
    let mut given = Vec::new();
    for turn in 0..2_000 {
        let elapsed = Duration::from_millis(turn * 10);
        let wanted = [process("u-1")];
        while let Some(permit) = permits.draw(&wanted, 100, 10, now + elapsed).permit {
            given.extend((0..permit.count).map(|_| elapsed));
        }
    }
    given
}

#[test]
fn gives_out_no_more_than_may_arrive_within_four_seconds() {
    for rate in [0.5, 1.0, 3.0, 20.0, 1_000.0] {
        let now = Instant::now();
        let given = draw_all(&mut limited(rate, now), now);
        // A permit may be used until it expires.
        let span = Duration::from_secs(4) + PERMIT_LIFETIME;
        let within = |(index, first): (usize, &Duration)| {
            given.partition_point(|at| *at < *first + span) - index
        };
        let most = given.iter().enumerate().map(within);
        let allowed = 1.5 * rate * 4.0 + 5.0;
        assert_that!(
            most.max().unwrap_or(0) as f64,
            le(allowed),
            "{rate} a second"
        );
        assert_that!(
            given.len() as f64,
            ge((rate * 19.0).floor()),
            "{rate} a second"
        );
    }
}

#[test]
fn starts_without_permits_at_a_new_leader() {
    let now = Instant::now();
    let mut permits = limited(10.0, now);
    let drawn = permits.draw(&[process("u-1")], 1, 10, now);
    assert_that!(drawn.permit, none());
    assert_that!(drawn.retry_after_ms, ge(250));
}

#[test]
fn prefers_the_upstream_with_the_most_permits() {
    let now = Instant::now();
    let mut permits = limited(1.0, now);
    permits.record(&[naming("u-2", Some(10.0), Duration::ZERO)], now);
    let wanted = [process("u-1"), process("u-2")];
    let later = now + Duration::from_secs(2);
    let drawn = permits.draw(&wanted, 1, 10, later).permit;
    assert_that!(
        drawn.map(|permit| permit.process),
        some(eq(&process("u-2")))
    );
}

#[test]
fn gives_out_nothing_for_an_upstream_without_a_limit() {
    let now = Instant::now();
    let mut permits = limited(1.0, now);
    permits.record(
        &[naming("u-1", None, Duration::ZERO)],
        now + Duration::from_secs(5),
    );
    let later = now + Duration::from_secs(10);
    assert_that!(permits.offer(later), is_empty());
    assert_that!(permits.draw(&[process("u-1")], 1, 10, later).permit, none());
}

#[test]
fn keeps_to_the_later_of_two_statements() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut permits = limited(1.0, now);
    let number = permits.number();
    permits.record(&[naming("u-1", None, Duration::from_secs(3))], now);
    assert_that!(permits.number(), eq(number));
    assert_that!(permits.namings(now)[0].rate, some(eq(1.0)));
    permits.record(
        &[naming("u-1", None, Duration::ZERO)],
        now + Duration::from_secs(1),
    );
    assert_that!(permits.number(), gt(number));
    assert_that!(permits.namings(now)[0].rate, none());
}

#[test]
fn numbers_only_changes() {
    let now = Instant::now();
    let mut permits = limited(1.0, now);
    let number = permits.number();
    permits.record(
        &[naming("u-1", Some(1.0), Duration::ZERO)],
        now + Duration::from_secs(1),
    );
    assert_that!(permits.number(), eq(number));
}

#[test]
fn offers_a_permit_each_second_while_nobody_draws() {
    let now = Instant::now();
    let mut permits = limited(5.0, now);
    let mut offered = 0;
    for turn in 1..=40 {
        offered += permits.offer(now + Duration::from_millis(turn * 250)).len();
    }
    assert_that!(offered, all!(ge(8), le(10)));
}

#[test]
fn keeps_permits_for_entries_that_draw() {
    let now = Instant::now();
    let mut permits = limited(1.0, now);
    permits.draw(&[process("u-1")], 1, 10, now);
    assert_that!(
        permits.offer(now + Duration::from_millis(1_500)),
        is_empty()
    );
    let drawn = permits.draw(&[process("u-1")], 1, 10, now + Duration::from_millis(1_600));
    assert_that!(drawn.permit, some(anything()));
}

#[test]
fn lets_entries_draw_less_often_the_more_there_are() {
    let now = Instant::now();
    let pauses = [10, 100, 300, 2_200].map(|entries| {
        let mut permits = limited(10.0, now);
        permits
            .draw(&[process("u-1")], 1, entries, now)
            .retry_after_ms
    });
    assert_that!(pauses, eq([250, 2_500, 4_000, 4_000]));
}

#[test]
fn bears_a_limit_that_allows_a_request_in_more_than_a_lifetime() {
    for rate in [1e-300, f64::MIN_POSITIVE, 1e-12, 0.0] {
        let now = Instant::now();
        let given = draw_all(&mut limited(rate, now), now);
        assert_that!(given.len(), le(2), "{rate}");
    }
}
