//! Splitting the bytes of a stream into events.

use gateway::{EventBuffer, EventError, MAX_EVENT_BYTES};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const SEED: u64 = 0x5eed_0011;

fn stream(events: u64) -> Vec<u8> {
    let event = |id: u64| format!("id: {id}\ndata: piece {id}\n\n");
    (1..=events).map(event).collect::<String>().into_bytes()
}

#[test]
fn returns_complete_events_however_the_bytes_are_split() {
    let mut runner = TestRunner::new(Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    });
    let cuts = proptest::collection::vec(1..40_usize, 1..40);
    let result = runner.run(&cuts, |cuts| {
        let bytes = stream(12);
        let mut events = EventBuffer::default();
        let mut passed = Vec::new();
        let mut rest = &bytes[..];
        for cut in cuts {
            let (part, after) = rest.split_at(cut.min(rest.len()));
            rest = after;
            passed.extend_from_slice(&events.push(part).expect("the events are valid"));
            let text = String::from_utf8_lossy(&passed).into_owned();
            prop_assert!(text.is_empty() || text.ends_with("\n\n"));
            let last = text.matches("id: ").count() as u64;
            prop_assert_eq!(events.last_id(), (last > 0).then_some(last));
        }
        passed.extend_from_slice(&events.push(rest).expect("the events are valid"));
        prop_assert!(!events.is_within_event());
        prop_assert_eq!(passed, bytes);
        Ok(())
    });
    assert_that!(result.map_err(|error| error.to_string()), ok(eq(&())));
}

fn push(events: &mut EventBuffer, bytes: &str) -> String {
    let passed = events.push(bytes.as_bytes()).expect("the events are valid");
    String::from_utf8(passed.to_vec()).expect("the events are text")
}

#[test]
fn can_resume_after_the_last_complete_event() {
    let mut events = EventBuffer::default();
    assert_that!(
        push(&mut events, "id: 1\ndata: a\n\nid: 2\nda"),
        eq("id: 1\ndata: a\n\n")
    );
    events.discard_partial();
    assert_that!(events.last_id(), some(eq(1)));
    assert_that!(
        push(&mut events, "id: 2\ndata: b\n\n"),
        eq("id: 2\ndata: b\n\n")
    );
    assert_that!(events.last_id(), some(eq(2)));
}

#[test]
fn can_split_events_with_carriage_returns_and_without_numbers() {
    for end in ["\r\n", "\r", "\n"] {
        let complete = format!("data: a{end}{end}data: b{end}{end}");
        let mut events = EventBuffer::default();
        let passed = push(&mut events, &format!("{complete}data: c"));
        assert_that!(passed, eq(&complete));
        assert_that!(events.last_id(), none());
        assert_that!(events.is_within_event(), eq(true));
    }
}

#[test]
fn never_takes_a_stream_that_ends_within_an_event_for_a_complete_one() {
    let whole = "id: 1\r\ndata: a\r\n\r\n: comment\n\nid: 2\ndata: b\n\n";
    let ends = [
        whole.find(": comment"),
        whole.find("\nid: 2"),
        whole.find("id: 2"),
    ];
    for length in 0..=whole.len() {
        let mut events = EventBuffer::default();
        push(&mut events, &whole[..length]);
        let is_end = length == 0
            || length == whole.len()
            || ends.contains(&Some(length))
            // The line feed of a pair may be missing at the end.
            || ends[0] == Some(length + 1);
        assert_that!(events.is_within_event(), eq(!is_end), "{length} bytes");
    }
}

#[test]
fn passes_on_comments_between_events_at_once() {
    let mut events = EventBuffer::default();
    assert_that!(push(&mut events, ": keep-alive\n"), eq(": keep-alive\n"));
    assert_that!(push(&mut events, "data: a\n: comment\n"), eq(""));
    assert_that!(push(&mut events, "\n"), eq("data: a\n: comment\n\n"));
}

#[test]
fn errors_on_an_event_without_end() {
    let mut events = EventBuffer::default();
    let piece = [b'x'; 1_000];
    let pushed = (0..MAX_EVENT_BYTES).map_while(|_| events.push(&piece).ok());
    assert_that!(pushed.count(), eq(MAX_EVENT_BYTES / piece.len()));
    assert_that!(
        events.push(&piece),
        err(eq(&EventError::TooLong(MAX_EVENT_BYTES)))
    );
}

#[test]
fn never_passes_on_another_answer_that_follows_the_stream() {
    let mut events = EventBuffer::default();
    let other = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra";
    let passed = push(&mut events, &format!("id: 1\ndata: a\n\n{other}"));
    assert_that!(passed, eq("id: 1\ndata: a\n\n"));
    assert_that!(push(&mut events, "\n\n"), eq(""));
    assert_that!(events.is_within_event(), eq(true));
    assert_that!(events.last_id(), some(eq(1)));
}

#[test]
fn passes_on_complete_events_before_one_without_end() {
    let mut events = EventBuffer::default();
    let endless = "x".repeat(MAX_EVENT_BYTES + 1);
    let passed = push(&mut events, &format!("id: 1\ndata: a\n\ndata: {endless}"));
    assert_that!(passed, eq("id: 1\ndata: a\n\n"));
    assert_that!(events.last_id(), some(eq(1)));
    assert_that!(events.push(b"x"), err(anything()));
    assert_that!(events.last_id(), some(eq(1)));
}

#[test]
fn never_counts_a_comment_as_an_event() {
    let mut events = EventBuffer::default();
    push(&mut events, ": keep-alive\n\n\n");
    assert_that!(events.has_events(), eq(false));
    push(&mut events, "data: a\n\n");
    assert_that!(events.has_events(), eq(true));
    events.discard_partial();
    assert_that!(events.has_events(), eq(false));
}
