//! What an account spent within a sliding window, and what it may spend at once.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use limits::{Rate, SlidingWindow};

const WINDOW: Duration = Duration::from_secs(8);
const RATE: Rate = Rate {
    per_second: 160_000.0,
    burst: 160_000.0,
};
/// Tokens that may be spent at once: the burst, and what the rate yields in a second.
const MAX_AVAILABLE: f64 = 320_000.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn counts_only_what_was_spent_within_the_window() {
    let now = Instant::now();
    let mut window = SlidingWindow::new(WINDOW);
    for second in 0..5 {
        window.add(250_000.0, now + ms(second * 1_000));
    }
    assert_that!(
        window.available(RATE, now + ms(7_900)),
        near(190_000.0, 1.0)
    );
    assert_that!(
        window.available(RATE, now + ms(8_900)),
        near(MAX_AVAILABLE, 1.0)
    );
    assert_that!(
        window.available(RATE, now + ms(20_000)),
        near(MAX_AVAILABLE, 1.0)
    );
}

#[test]
fn never_admits_a_whole_window_at_once_and_always_admits_some() {
    let now = Instant::now();
    let mut window = SlidingWindow::new(WINDOW);
    let mut admitted = Vec::new();
    for step in 0..300_u64 {
        let at = now + ms(step * 100);
        let tokens = window.available(RATE, at).max(0.0);
        window.add(tokens, at);
        admitted.push(tokens);
    }
    assert_that!(admitted[0], near(MAX_AVAILABLE, 1.0));
    for span in admitted.windows(80) {
        assert_that!(span.iter().sum::<f64>(), le(RATE.within(WINDOW) + 1.0));
    }
    for span in admitted.windows(25) {
        assert_that!(span.iter().sum::<f64>(), ge(RATE.per_second * 0.5));
    }
}

#[test]
fn holds_an_account_to_its_rate_when_its_past_is_not_known() {
    let now = Instant::now();
    let mut window = SlidingWindow::at_steady_rate(RATE, WINDOW, now);
    assert_that!(window.available(RATE, now), near(RATE.burst, 1.0));
    let after_a_second = window.available(RATE, now + ms(1_000));
    assert_that!(after_a_second, le(RATE.burst + RATE.per_second));
    assert_that!(
        window.available(RATE, now + ms(9_000)),
        near(MAX_AVAILABLE, 1.0)
    );
}

#[test]
fn frees_tokens_gradually_when_the_record_is_old() {
    let now = Instant::now();
    let slices = [(ms(7_000), 500_000.0), (ms(100), 40_000.0)];
    for since_ms in [3_000, 7_000, 20_000] {
        let mut window = SlidingWindow::from_record(&slices, ms(since_ms), RATE, WINDOW, now);
        let mut available = window.available(RATE, now);
        assert_that!(available, ge(RATE.burst), "{since_ms} ms old");
        for after in 1..4 {
            let later = window.available(RATE, now + ms(after * 1_000));
            assert_that!(later, ge(available), "{since_ms} ms old, after {after} s");
            available = later;
        }
        assert_that!(available, near(MAX_AVAILABLE, 1.0), "{since_ms} ms old");
    }
}

#[test]
fn records_an_account_only_if_it_spent_more_than_half_of_its_limit() {
    let now = Instant::now();
    let mut window = SlidingWindow::new(WINDOW);
    for second in 0..8 {
        let at = now + ms(second * 1_000);
        window.add(RATE.per_second / 2.0, at);
        assert_that!(window.needs_record(RATE, at), eq(false), "after {second} s");
    }
    window.add(RATE.per_second, now + ms(7_100));
    assert_that!(window.needs_record(RATE, now + ms(7_100)), eq(true));
}

#[test]
fn removes_tokens_no_later_than_they_leave_the_window() {
    let now = Instant::now();
    let mut window = SlidingWindow::new(WINDOW);
    window.add(5_000.0, now);
    window.add(3_000.0, now + ms(1_000));
    window.remove(3_000.0, now + ms(900));
    assert_that!(window.total(now + ms(1_100)), near(5_000.0, 0.1));
    for after in (0..20_000).step_by(250) {
        assert_that!(window.total(now + ms(after)), ge(0.0), "after {after} ms");
    }
}
