//! Limits that are drawn in batches by several entries.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use limits::{Bucket, Decision, Grant, Meter, Policy, Report, Share};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const SEED: u64 = 0x5eed_0005;
const ENTRIES: usize = 4;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn report(unspent: f64) -> Report {
    Report {
        account: "shop".into(),
        unspent,
        wanted: 1.0,
    }
}

fn grant(units: f64, retry_after: Duration) -> Grant {
    Grant {
        units,
        lease: ms(1_000),
        retry_after,
        fallback_rate: 2.0,
    }
}

/// Decides on a request as an entry does, with a leader that answers at once.
fn admits(meter: &mut Meter, share: &mut Share, entry: usize, rate: f64, now: Instant) -> bool {
    let decision = match share.decide(1.0, now) {
        Decision::Draw => {
            let report = report(share.take_unspent(now));
            let entry = format!("entry-{entry}").into();
            share.accept(meter.draw(&entry, &report, rate, now), now);
            share.decide(1.0, now)
        }
        decision => decision,
    };
    decision == Decision::Admitted
}

#[test]
fn never_admits_more_than_rate_and_burst_however_many_entries_hold_a_batch() {
    for entries in [10, 100, 300] {
        let (rate, policy, start) = (1_000.0, Policy::default(), Instant::now());
        let mut meter = Meter::new(policy);
        let mut shares = vec![Share::default(); entries];
        let mut admitted = 0.0;
        // Each entry draws a batch and stays idle; then all spend within a tenth of a second.
        for (pause_ms, requests) in [(1_000, 1), (100, 1_000)] {
            for (entry, share) in shares.iter_mut().enumerate() {
                let now = start
                    + ms(pause_ms * entry as u64 / entries as u64)
                    + ms(2_000 * u64::from(requests > 1));
                for _ in 0..requests {
                    let is_admitted = admits(&mut meter, share, entry, rate, now);
                    admitted += f64::from(u8::from(is_admitted && requests > 1));
                }
            }
        }
        let bound = rate * 0.1 + rate * policy.burst.as_secs_f64();
        assert_that!(admitted, le(bound), "{entries} entries");
    }
}

#[test]
fn never_admits_more_than_rate_and_burst() {
    let mut runner = TestRunner::new(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    });
    let arrivals = proptest::collection::vec((0..ENTRIES, 0..60_u64), 1..400);
    let result = runner.run(&(1.0..200.0_f64, arrivals), |(rate, arrivals)| {
        let policy = Policy::default();
        let mut meter = Meter::new(policy);
        let mut shares = [Share::default(); ENTRIES];
        let start = Instant::now();
        let (mut now, mut admitted) = (start, Vec::new());
        for (entry, pause) in arrivals {
            now += ms(pause);
            if admits(&mut meter, &mut shares[entry], entry, rate, now) {
                admitted.push(now);
            }
        }
        for (first, from) in admitted.iter().enumerate() {
            for (last, to) in admitted.iter().enumerate().skip(first) {
                let count = (last + 1 - first) as f64;
                let burst = (rate * policy.burst.as_secs_f64()).max(1.0);
                let max_admitted = rate * (*to - *from).as_secs_f64() + burst;
                prop_assert!(
                    count <= max_admitted + 1e-6,
                    "{count} admitted, {max_admitted} allowed"
                );
            }
        }
        Ok(())
    });
    assert_that!(result, ok(anything()));
}

#[test]
fn can_spend_a_batch_until_its_lease_ends() {
    let start = Instant::now();
    let mut share = Share::default();
    assert_that!(share.decide(1.0, start), eq(Decision::Draw));
    share.accept(grant(3.0, Duration::ZERO), start);
    assert_that!(share.decide(1.0, start + ms(999)), eq(Decision::Admitted));
    assert_that!(share.decide(1.0, start + ms(1_000)), eq(Decision::Draw));
    assert_that!(share.take_unspent(start + ms(1_000)), eq(0.0));
}

#[test]
fn refuses_without_asking_before_the_retry_time() {
    let start = Instant::now();
    let mut share = Share::default();
    share.accept(grant(0.0, ms(200)), start);
    let retry_after = ms(50);
    let refused = Decision::Refused { retry_after };
    assert_that!(share.decide(1.0, start + ms(150)), eq(refused));
    assert_that!(share.decide(1.0, start + ms(200)), eq(Decision::Draw));
}

#[test]
fn returns_unspent_units_to_the_bucket() {
    let now = Instant::now();
    let mut meter = Meter::new(Policy::default());
    let first = meter.draw(&"entry-1".into(), &report(0.0), 100.0, now);
    assert_that!(first.units, eq(5.0));
    let all = (0..40).map(|_| {
        meter
            .draw(&"entry-1".into(), &report(0.0), 100.0, now)
            .units
    });
    assert_that!(all.sum::<f64>(), near(95.0, 1e-6));
    let back = meter.draw(&"entry-1".into(), &report(3.0), 100.0, now);
    assert_that!(back.units, near(3.0, 1e-6));
}

#[test]
fn admits_at_the_fallback_rate_while_the_leader_does_not_answer() {
    let start = Instant::now();
    let mut share = Share::default();
    share.accept(grant(0.0, Duration::ZERO), start);
    share.fall_back(100.0, ms(200), start);
    let admitted = |share: &mut Share, now| {
        (0..10)
            .filter(|_| share.decide(1.0, now) == Decision::Admitted)
            .count()
    };
    assert_that!(admitted(&mut share, start), eq(2));
    assert_that!(admitted(&mut share, start + ms(1_000)), eq(2));
    share.fall_back(100.0, ms(200), start + ms(1_000));
    let refused = matches_pattern!(Decision::Refused { .. });
    assert_that!(share.decide(1.0, start + ms(1_100)), refused);
}

#[test]
fn refuses_without_a_rate_and_bounds_the_retry_time_of_the_lowest_rate() {
    let now = Instant::now();
    let mut share = Share::default();
    share.fall_back(0.0, ms(200), now);
    let retry_after = ms(200);
    assert_that!(
        share.decide(1.0, now),
        eq(Decision::Refused { retry_after })
    );

    let mut meter = Meter::new(Policy::default());
    let entry = "entry-1".into();
    meter.draw(&entry, &report(0.0), f64::MIN_POSITIVE, now);
    let grant = meter.draw(&entry, &report(0.0), f64::MIN_POSITIVE, now);
    assert_that!(grant.retry_after, eq(ms(3_600_000)));
}

#[test]
fn can_take_units_after_the_wait_time() {
    let start = Instant::now();
    let mut bucket = Bucket::new(10.0, ms(1_000), start);
    assert_that!(bucket.take(10.0, 0.0, start), eq(true));
    assert_that!(bucket.wait_time(1.0, 0.0, start), eq(ms(100)));
    assert_that!(bucket.take(1.0, 0.0, start + ms(99)), eq(false));
    assert_that!(bucket.take(1.0, 0.0, start + ms(101)), eq(true));
}

#[test]
fn never_takes_more_than_rate_and_burst_and_can_take_after_the_wait_time() {
    const RATE: f64 = 50.0;
    const BURST: Duration = Duration::from_secs(1);
    let mut runner = TestRunner::new(Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    });
    let calls = proptest::collection::vec((0..60_u64, 1..80_u32), 1..200);
    let result = runner.run(&calls, |calls| {
        let start = Instant::now();
        let mut bucket = Bucket::new(RATE, BURST, start);
        let (mut now, mut taken, mut largest) = (start, 0.0, 0.0_f64);
        for (pause, units) in calls {
            now += ms(pause);
            let units = f64::from(units);
            if !bucket.take(units, 0.0, now) {
                now += bucket.wait_time(units, 0.0, now) + Duration::from_nanos(1);
                prop_assert!(bucket.take(units, 0.0, now));
            }
            taken += units;
            largest = largest.max(units);
            let elapsed = (now - start).as_secs_f64();
            prop_assert!(taken <= RATE * elapsed + RATE + largest + 1e-3);
        }
        Ok(())
    });
    assert_that!(result, ok(anything()));
}

#[gtest]
fn can_take_more_than_the_capacity_from_a_full_bucket_and_refills_the_deficit() {
    let start = Instant::now();
    let mut bucket = Bucket::new(100.0, ms(1_000), start);
    expect_true!(bucket.take(300.0, 0.0, start));
    expect_false!(bucket.take(1.0, 0.0, start + ms(1_900)));
    expect_eq!(bucket.wait_time(100.0, 0.0, start + ms(1_900)), ms(1_100));
    expect_true!(bucket.take(100.0, 0.0, start + ms(3_000)));
}
