//! Tests of encoding and decoding envelopes.

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use wire::{
    Answer, Body, Envelope, Frame, MAX_FRAME_BYTES, Malformed, Push, Request, decode, encode,
};

const SEED: u64 = 0x5eed_0002;

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })
}

fn confirm() -> Envelope {
    let request = Request {
        node: "entry-1".into(),
        incarnation: 1_700_000_000_000,
        forwarded: false,
        body: Body::Confirm {
            version: 7,
            fetches: true,
        },
    };
    Envelope(3, 2, Frame::Call(1, request))
}

#[test]
fn can_decode_what_was_encoded() {
    let bytes = encode(&confirm()).expect("the frame is small");
    assert_that!(decode(&bytes), ok(eq(&confirm())));
}

#[test]
fn encodes_a_heartbeat_in_few_bytes() {
    let heartbeat = Envelope(1_000, 1_000, Frame::Heartbeat);
    assert_that!(encode(&heartbeat).map(|b| b.len()), ok(le(&12)));
}

#[test]
fn errors_on_a_frame_that_is_too_large() {
    let message = vec![0; MAX_FRAME_BYTES + 1].into();
    let from = "control-1".into();
    let large = Envelope(1, 1, Frame::Push(Push::Log { from, message }));
    let too_large = || matches_pattern!(Malformed::TooLarge(..));
    assert_that!(encode(&large), err(too_large()));
    assert_that!(decode(&vec![0; MAX_FRAME_BYTES + 1]), err(too_large()));
}

#[test]
fn errors_on_bytes_after_a_frame() {
    let mut bytes = encode(&confirm()).expect("the frame is small");
    bytes.push(0);
    assert_that!(decode(&bytes), err(eq(&Malformed::Trailing(1))));
}

#[test]
fn errors_on_random_bytes_without_a_panic() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..300);
    let result = runner().run(&bytes, |bytes| {
        prop_assert!(decode(&bytes).is_err());
        Ok(())
    });
    assert_that!(result, ok(anything()));
}

#[test]
fn never_panics_on_a_damaged_frame() {
    let undamaged = encode(&confirm()).expect("the frame is small");
    let damage = (0..undamaged.len(), any::<u8>(), 0..=undamaged.len());
    let result = runner().run(&damage, |(position, byte, length)| {
        let mut bytes = undamaged.clone();
        bytes[position] = byte;
        bytes.truncate(length);
        let _ = decode(&bytes);
        Ok(())
    });
    assert_that!(result, ok(anything()));
}

#[test]
fn errors_on_deep_nesting_and_on_lengths_beyond_the_input() {
    let deep = vec![0x81; 100_000];
    let long = [0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff];
    let text = [0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff];
    for bytes in [&deep[..], &long[..], &text[..]] {
        assert_that!(decode(bytes), err(matches_pattern!(Malformed::Syntax(_))));
    }
}

#[test]
fn encodes_the_record_of_a_stream_in_few_bytes() {
    let origin = upstream::Origin {
        key: upstream::StreamKey::new("press", "823a11edea8991b7"),
        software: "v1.12.3".into(),
    };
    let call = |body| {
        let request = Request {
            node: "10.128.0.9".into(),
            incarnation: 1_790_000_000_000,
            forwarded: false,
            body,
        };
        Envelope(1_000_000, 1_000_000, Frame::Call(1_000_000, request))
    };
    let key = origin.key;
    let record = encode(&call(Body::RecordOrigin(origin))).map(|bytes| bytes.len());
    let find = encode(&call(Body::FindOrigin(key))).map(|bytes| bytes.len());
    let done = Envelope(
        1_000_000,
        1_000_000,
        Frame::Answer(1_000_000, Ok(Answer::Done)),
    );
    let done = encode(&done).map(|bytes| bytes.len());
    println!("record {record:?}, find {find:?}, done {done:?}");
    assert_that!(record, ok(le(&160)));
    assert_that!(find, ok(le(&140)));
    assert_that!(done, ok(le(&32)));
}
