//! Durations as text.

use std::time::Duration;

use config::duration;
use googletest::prelude::*;

#[gtest]
fn can_parse_what_it_formats() {
    for ms in [0, 1, 40, 1_000, 1_200, 90_000, 86_400_000] {
        let duration = Duration::from_millis(ms);
        expect_that!(
            duration::parse(&duration::format(duration)),
            ok(eq(&duration))
        );
    }
}

#[gtest]
fn errors_on_what_is_not_a_duration() {
    for text in [
        "",
        "5",
        "s",
        "1.2.3s",
        "5 parsecs",
        "-1s",
        "99999999999999999999999d",
        "400d",
        "100000000000000d",
    ] {
        expect_that!(duration::parse(text), err(anything()), "{text}");
    }
}

#[gtest]
fn bounds_numbers_from_outside() {
    let now = std::time::Instant::now();
    for seconds in [f64::INFINITY, f64::MAX, 1e300, 1e12] {
        expect_that!(duration::bounded(seconds), eq(duration::LONGEST));
    }
    for seconds in [f64::NAN, f64::NEG_INFINITY, -1.0, -0.0] {
        expect_that!(duration::bounded(seconds), eq(Duration::ZERO), "{seconds}");
    }
    let longest = duration::bounded_millis(u64::MAX);
    expect_that!(now.checked_add(longest * 3), some(anything()));
}
