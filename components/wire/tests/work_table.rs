//! The short form of the work in progress.

use googletest::prelude::*;
use serde::{Deserialize, Serialize};
use wire::{Answer, Envelope, Frame, Overview, Work, WorkTable};

fn work(number: u32) -> Work {
    Work {
        requests: number % 24,
        prefill_tokens: number * 700,
        work_ms: None,
    }
}

fn names(count: u32) -> Vec<String> {
    (0..count)
        .map(|number| format!("i-{number:08x}f1"))
        .collect()
}

#[test]
fn returns_the_work_of_the_upstreams_that_are_asked_for() {
    let names = names(240);
    let named = names
        .iter()
        .zip(0..)
        .map(|(name, n)| (name.as_str(), work(n)));
    let table = WorkTable::new(named);
    let asked = [
        ("unknown", 0),
        (names[7].as_str(), 7),
        (names[230].as_str(), 230),
    ];
    assert_that!(table.of(asked), eq(&vec![(7, work(7)), (230, work(230))]));
}

#[test]
fn takes_a_quarter_of_the_leaders_link_at_two_hundred_entries_and_240_upstreams() {
    /// 100 Mbit/s, and four reports of each entry per second.
    const LINK_BYTES_PER_SECOND: usize = 100_000_000 / 8;
    const REPORTS_PER_SECOND: usize = 200 * 4;
    let names = names(240);
    let named = names
        .iter()
        .zip(0..)
        .map(|(name, n)| (name.as_str(), work(n)));
    let overview = Overview {
        work_table: Some(WorkTable::new(named)),
        ..Overview::default()
    };
    let answer = Answer::Overview(Box::new(overview));
    let envelope = Envelope(1, 1, Frame::Answer(1, Ok(answer)));
    let bytes = wire::encode(&envelope).expect("an answer can be encoded");
    assert_that!(
        bytes.len() * REPORTS_PER_SECOND,
        le(LINK_BYTES_PER_SECOND / 4)
    );
}

/// The work of an upstream as releases before the expected milliseconds read and write it.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct OlderWork {
    requests: u32,
    prefill_tokens: u32,
}

fn encoded(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("the value can be encoded");
    bytes
}

/// Guards against reports that a process of the release before can't read, or reads differently.
#[test]
fn is_read_by_the_release_before_and_reads_what_that_wrote() {
    let older = OlderWork {
        requests: 3,
        prefill_tokens: 700,
    };
    let without = Work {
        requests: 3,
        prefill_tokens: 700,
        work_ms: None,
    };
    assert_that!(encoded(&without), eq(&encoded(&older)));
    let with = Work {
        work_ms: Some(90),
        ..without
    };
    let read: OlderWork = ciborium::from_reader(encoded(&with).as_slice()).expect("it is read");
    assert_that!(read, eq(&older));
    let read: Work = ciborium::from_reader(encoded(&older).as_slice()).expect("it is read");
    assert_that!(read, eq(without));
}

/// Guards against rows of four figures, which a process of the release before can't read.
#[test]
fn has_the_expected_milliseconds_apart_from_its_rows() {
    let by_work = |work: Work| Work {
        work_ms: Some(40 * work.requests),
        ..work
    };
    let named = [
        ("a", by_work(work(5))),
        ("b", work(6)),
        ("a", by_work(work(7))),
    ];
    let (table, work_ms) = WorkTable::with_work_ms(named);
    let plain = WorkTable::new(named.map(|(name, work)| {
        (
            name,
            Work {
                work_ms: None,
                ..work
            },
        )
    }));
    assert_that!(encoded(&table), eq(&encoded(&plain)));
    assert_that!(work_ms, eq(&vec![40 * 12, 0]));
    let read = table.with(&work_ms, [("a", 'a'), ("b", 'b')]);
    let sum = by_work(work(5)).with(by_work(work(7)));
    assert_that!(read, eq(&vec![('a', sum), ('b', work(6))]));
    let (_, none) = WorkTable::with_work_ms([("b", work(6))]);
    assert_that!(none, is_empty());
}
