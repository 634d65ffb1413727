//! The short form of the work in progress.

use googletest::prelude::*;
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
