//! Bodies within a budget of memory.

use bytes::Bytes;
use googletest::prelude::*;
use tokio::time::{Duration, sleep};
use web::{Budget, Delivery, Reading, Shortage};

/// Budget of the tests, in bytes. An eighth of it is for bodies that arrive at once.
const LIMIT: usize = 640 * 1_024;
/// Largest body, in bytes.
const MAX_BODY: usize = 512 * 1_024;
/// Bytes of a body of which two fit into the budget.
const LARGE: usize = 200_000;

fn part(bytes: usize) -> Bytes {
    Bytes::from(vec![b'x'; bytes])
}

/// Begins a body that does not end.
fn begin(budget: &Budget, bytes: usize) -> Reading {
    let mut reading = Reading::new(budget, MAX_BODY);
    reading.push(part(bytes), false).expect("there is room");
    reading
}

// A reservation that ended before its bytes would let the process hold more than its budget.
#[googletest::test]
fn holds_the_reservation_as_long_as_the_bytes() {
    let budget = Budget::new(LIMIT);
    for is_whole in [true, false] {
        let mut reading = Reading::new(&budget, MAX_BODY);
        reading.push(part(40_000), is_whole).expect("there is room");
        let bytes = reading.finish().expect("there is room");
        let clone = bytes.slice(10..20);
        drop(bytes);
        expect_that!(budget.used(), ge(40_000));
        drop(clone);
        expect_that!(budget.used(), eq(0));
    }
}

#[test]
fn keeps_the_parts_in_order() {
    let budget = Budget::new(LIMIT);
    let mut reading = Reading::new(&budget, MAX_BODY);
    let expected: Vec<u8> = (0..150_000_u32).map(|index| index as u8).collect();
    for part in expected.chunks(977) {
        let part = Bytes::copy_from_slice(part);
        reading.push(part, false).expect("there is room");
    }
    let bytes = reading.finish().expect("there is room");
    assert_that!(bytes == expected, eq(true));
}

// Counting the payload alone would let buffers of single bytes exceed the budget.
#[test]
fn counts_buffers_and_not_only_their_payload() {
    let budget = Budget::new(LIMIT);
    let _reading = begin(&budget, 1);
    assert_that!(budget.used(), ge(8 * 1_024));
}

#[tokio::test]
async fn drops_the_body_without_progress_for_longest_first() {
    let budget = Budget::new(LIMIT);
    let mut first = begin(&budget, LARGE);
    let mut second = begin(&budget, LARGE);
    sleep(Duration::from_millis(5)).await;
    first.push(part(1_000), false).expect("it goes on");
    let third = begin(&budget, LARGE);
    second.wait_until_dropped().await;
    assert_that!(second.push(part(1), false), err(eq(Shortage::Dropped)));
    assert_that!(first.push(part(1), false), ok(anything()));
    assert_that!(third.finish().map(|bytes| bytes.len()), ok(eq(LARGE)));
    assert_that!(budget.dropped(), eq(1));
}

// Single bytes now and then would keep the memory of a body that never ends.
#[tokio::test]
async fn drops_a_body_below_the_least_rate_before_one_that_stalled_later() {
    let budget = Budget::new(LIMIT);
    let mut slow = begin(&budget, LARGE);
    // The begin counts for 3.1 s at the least rate, and a second is granted.
    sleep(Duration::from_millis(4_500)).await;
    let faster = begin(&budget, LARGE);
    sleep(Duration::from_millis(50)).await;
    slow.push(part(1), false).expect("there is room");
    let _third = begin(&budget, LARGE);
    assert_that!(slow.push(part(1), false), err(eq(Shortage::Dropped)));
    assert_that!(faster.finish(), ok(anything()));
}

// Complete bodies belong to requests that may run, and must not be dropped.
#[test]
fn refuses_a_body_when_only_complete_ones_are_held() {
    let budget = Budget::new(LIMIT);
    let complete: Vec<Bytes> = (0..2)
        .map(|_| begin(&budget, LARGE).finish().expect("there is room"))
        .collect();
    let mut late = Reading::new(&budget, MAX_BODY);
    let _ = late.push(part(LARGE), false);
    assert_that!(late.push(part(200_000), false), err(eq(Shortage::Dropped)));
    drop(late);
    drop(complete);
    assert_that!(budget.used(), eq(0));
}

#[test]
fn takes_a_small_body_at_once_while_large_ones_hold_the_rest() {
    let budget = Budget::new(LIMIT);
    let _large: Vec<Bytes> = (0..2)
        .map(|_| begin(&budget, LARGE).finish().expect("there is room"))
        .collect();
    let mut small = Reading::new(&budget, MAX_BODY);
    assert_that!(small.push(part(1_000), true), ok(anything()));
}

#[test]
fn refuses_a_body_beyond_the_largest_size() {
    let budget = Budget::new(LIMIT);
    let mut reading = begin(&budget, MAX_BODY);
    assert_that!(reading.push(part(1), false), err(eq(Shortage::TooLarge)));
    drop(reading);
    assert_that!(budget.used(), eq(0));
}

// A buffer that grew would count twice, so that an answer of more than half of the budget did not fit.
#[test]
fn counts_a_body_of_known_length_once() {
    let budget = Budget::new(LIMIT);
    let mut reading = Reading::of_length(&budget, 500_000);
    for _ in 0..5 {
        reading.push(part(100_000), false).expect("there is room");
        assert_that!(budget.used(), eq(500_000));
    }
    assert_that!(reading.push(part(1), false), err(eq(Shortage::TooLarge)));
}

#[test]
fn delivers_the_parts_in_order_and_then_frees_them() {
    let budget = Budget::new(LIMIT);
    let expected: Vec<u8> = (0..150_000_u32).map(|index| index as u8).collect();
    let mut reading = Reading::new(&budget, MAX_BODY);
    let received = Bytes::from(expected.clone());
    reading.push(received, false).expect("there is room");
    let mut delivery = Delivery::new(&budget, reading.finish().expect("there is room"));
    let mut sent = Vec::new();
    while let Some(part) = delivery.next_part().expect("it is not dropped") {
        sent.extend_from_slice(&part);
        assert_that!(delivery.remaining(), eq(expected.len() - sent.len()));
    }
    assert_that!(sent == expected, eq(true));
    drop(delivery);
    assert_that!(budget.used(), eq(0));
}

// Callers that read nothing kept the memory of their answers until they left.
#[tokio::test]
async fn drops_a_delivery_that_stalls_for_a_new_body() {
    let budget = Budget::new(LIMIT);
    let answer = begin(&budget, LARGE).finish().expect("there is room");
    let mut stalled = Delivery::new(&budget, answer);
    stalled.next_part().expect("it is not dropped");
    let _other = begin(&budget, LARGE).finish().expect("there is room");
    sleep(Duration::from_millis(1_050)).await;
    let _new = begin(&budget, LARGE);
    assert_that!(stalled.next_part().err(), some(eq(Shortage::Dropped)));
}

// An answer that its caller reads must not be cut for a request that can be refused.
#[test]
fn refuses_a_body_while_deliveries_go_on() {
    let budget = Budget::new(LIMIT);
    let answers = (0..2).map(|_| begin(&budget, LARGE).finish().expect("there is room"));
    let mut deliveries: Vec<_> = answers.map(|b| Delivery::new(&budget, b)).collect();
    let mut late = Reading::new(&budget, MAX_BODY);
    assert_that!(late.push(part(LARGE), false), err(eq(Shortage::Dropped)));
    for delivery in &mut deliveries {
        let part = delivery.next_part().expect("it is not dropped");
        assert_that!(part.map_or(0, |part| part.len()), gt(0));
    }
}
