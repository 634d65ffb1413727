//! Limits of accounts and freshness of the text.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{Control, View};
use googletest::prelude::*;

use crate::bench::{Bench, SMALL_KEY, completion};

#[gtest]
fn errors_beyond_the_rate_of_an_account() {
    let bench = Bench::start();
    bench.upstream("engine-1", "assistant");
    let key = format!("Bearer {SMALL_KEY}");
    let headers = [("authorization", key.as_str())];
    let body = completion("ticket", 2, false);
    let statuses: Vec<u16> = (0..6)
        .map(|_| bench.post("/v1/completions", &headers, &body).status)
        .collect();
    expect_eq!(statuses[..2], [200, 200]);
    expect_that!(statuses, contains(eq(&429)));
    let large = completion("ticket", 5_000, false);
    let answer = bench.post("/v1/completions", &headers, &large);
    expect_eq!(answer.status, 429);
    expect_eq!(answer.outcome(), "not-run");
    expect_ne!(answer.header("retry-after"), "");
    expect_eq!(bench.stream("others are not concerned", 2).status, 200);
}

#[gtest]
fn errors_as_not_run_and_is_not_ready_without_a_fresh_text() {
    let bench = Bench::start();
    bench.upstream("engine-1", "assistant");
    expect_eq!(bench.get("/readyz").status, 200);
    let view = bench.entry.control().view();
    let stale = View {
        fresh_until: Some(Instant::now() + Duration::from_millis(50)),
        ..(**view.load()).clone()
    };
    view.store(Arc::new(stale));
    std::thread::sleep(Duration::from_millis(80));
    expect_eq!(bench.get("/readyz").status, 503);
    expect_eq!(bench.get("/healthz").status, 200);
    let answer = bench.stream("ticket", 2);
    expect_eq!(answer.status, 503);
    expect_eq!(answer.outcome(), "not-run");
    expect_eq!(answer.header("retry-after"), "1");
}
