//! Records of the software versions at which streams began.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use upstream::{Origin, Origins, StreamKey};

fn origin(request: &str, software: &str) -> Origin {
    Origin {
        key: StreamKey::new("press", request),
        software: software.into(),
    }
}

#[test]
fn can_find_a_record_for_a_minute() {
    let mut origins = Origins::default();
    let start = Instant::now();
    origins.record(origin("first", "v1"), start);
    for second in 1..=60 {
        origins.record(
            origin(&second.to_string(), "v2"),
            start + Duration::from_secs(second),
        );
        assert_that!(origins.find(&origin("first", "").key), some(eq("v1")));
    }
    assert_that!(origins.find(&StreamKey::new("other", "first")), none());
}

#[test]
fn discards_old_records() {
    let mut origins = Origins::default();
    let start = Instant::now();
    for minute in 0..3 {
        let now = start + Duration::from_secs(61 * minute);
        origins.record(origin(&minute.to_string(), "v1"), now);
    }
    assert_that!(origins.find(&origin("0", "").key), none());
    assert_that!(origins.find(&origin("2", "").key), some(eq("v1")));
}

#[test]
fn bounds_its_records() {
    let mut origins = Origins::default();
    let now = Instant::now();
    for number in 0..250_000 {
        origins.record(origin(&number.to_string(), "v1"), now);
    }
    let found = (0..250_000).filter(|n| origins.find(&origin(&n.to_string(), "").key).is_some());
    assert_that!(found.count(), le(200_000));
}

#[test]
fn knows_no_version_of_a_stream_that_is_said_to_have_begun_at_two() {
    let mut origins = Origins::default();
    let now = Instant::now();
    origins.record(origin("id", "v1"), now);
    origins.record(origin("id", "v1"), now);
    assert_that!(origins.find(&origin("id", "").key), some(eq("v1")));
    origins.record(origin("id", "v2"), now);
    origins.record(origin("id", "v1"), now + Duration::from_secs(100));
    assert_that!(origins.find(&origin("id", "").key), none());
}
