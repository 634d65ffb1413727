//! The planned stop.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use entry::handover::{Record, Successor, TakeOver};
use fleet::Standalone;
use googletest::prelude::*;

use crate::behaviour::Behaviour;
use crate::bench::{Bench, completion, eventually, expected, keys, settings, text};
use crate::caller::{Caller, call};

#[gtest]
fn can_stop_without_interrupting_requests_in_progress() {
    let bench = Bench::start();
    let engine = bench.upstream("engine-1", "assistant");
    let shop = bench.upstream("shop-1", "shop");
    engine.set_pace(Duration::from_millis(10));
    shop.script([Behaviour::Complete(Duration::from_millis(900))]);
    let mut stream = Caller::connect(bench.address);
    stream.send(
        "POST",
        "/v1/completions",
        &[],
        &completion("ticket", 120, true),
    );
    let mut plain_call = Caller::connect(bench.address);
    plain_call.send(
        "POST",
        "/services/shop/exposures",
        &[("idempotency-key", "k1")],
        "plate",
    );
    eventually("both calls", || engine.open() > 0 && shop.executions() > 0);
    let address = bench.address;
    let stopping = thread::spawn(move || bench.entry.stop());
    eventually("the end of readiness", || {
        call(address, "GET", "/readyz", &[], "").status == 503
    });
    // The load balancer has not noticed the stop yet, so its requests are still served.
    let late = call(address, "GET", "/services/shop/x", &[], "");
    expect_eq!(late.status, 200);
    expect_eq!(late.header("connection"), "close");
    thread::sleep(Duration::from_millis(350));
    let refused = call(address, "GET", "/services/shop/x", &[], "");
    expect_eq!(refused.status, 503);
    expect_eq!(refused.outcome(), "not-run");
    expect_eq!(refused.header("connection"), "close");
    let answer = stream.receive();
    expect_eq!(answer.events().1, expected("ticket", 120));
    expect_true!(answer.is_done() && answer.complete);
    expect_eq!(plain_call.receive().outcome(), "answered");
    stopping.join().unwrap();
}

#[gtest]
fn answers_a_call_that_may_run_once_and_outlasts_a_planned_stop() {
    let mut settings = settings();
    settings.entry.drain_timeout = Duration::from_millis(300);
    let mut text = text();
    let service = text.services.get_mut("shop").expect("the service is known");
    service.timeout = Duration::from_secs(60);
    let bench = Bench::start_with(settings, Standalone::new(text));
    let shop = bench.upstream("shop-1", "shop");
    shop.script([Behaviour::Complete(Duration::from_secs(60))]);
    let mut plain_call = Caller::connect(bench.address);
    plain_call.send("POST", "/services/shop/exposures", &[], "plate");
    eventually("the call", || shop.executions() > 0);
    let stopping = thread::spawn(move || bench.entry.stop());
    let answer = plain_call.receive();
    expect_eq!(answer.status, 504);
    expect_eq!(answer.outcome(), "unknown");
    stopping.join().unwrap();
}

/// Stores all records, and returns an unreachable address.
#[derive(Default)]
struct MemorySuccessor(Mutex<Vec<Record>>);

impl Successor for MemorySuccessor {
    fn take_over(&self, record: Record) -> TakeOver {
        self.0.lock().unwrap().push(record);
        // Nothing listens at this address, so that the entry can't relay the answer.
        let unreachable = "127.0.0.1:1".parse().unwrap();
        Box::pin(std::future::ready(Some(unreachable)))
    }
}

#[gtest]
fn can_hand_over_a_request_that_does_not_finish_in_time() {
    let mut settings = settings();
    settings.entry.drain_timeout = Duration::from_millis(300);
    let successor = Arc::new(MemorySuccessor::default());
    let control = Standalone::new(text());
    let entry = entry::start_with(settings, keys(), control, successor.clone()).unwrap();
    let address = entry.address;
    let bench = Bench { entry, address };
    let engine = bench.upstream("engine-1", "assistant");
    engine.set_pace(Duration::from_millis(20));
    let mut stream = Caller::connect(address);
    let headers = [("idempotency-key", "k1")];
    stream.send(
        "POST",
        "/v1/completions",
        &headers,
        &completion("ticket", 2_000, true),
    );
    eventually("the stream", || !engine.calls("/v1/completions").is_empty());
    let stopping = thread::spawn(move || bench.entry.stop());
    let answer = stream.receive();
    stopping.join().unwrap();
    expect_that!(answer.body, contains_substring("event: error\n"));
    expect_that!(answer.body, contains_substring("\"code\":\"draining\""));
    expect_false!(answer.is_done());
    let records = successor.0.lock().unwrap();
    expect_eq!(records.len(), 1);
    expect_eq!(records[0].key.as_deref(), Some("k1"));
    let emitted = answer.events().0.len();
    expect_eq!(records[0].emitted, emitted);
    expect_eq!(
        records[0].tokens.concat(),
        expected("ticket", records[0].tokens.len())
    );
}

#[gtest]
fn counts_a_request_that_no_entry_takes_over() {
    let mut settings = settings();
    settings.entry.drain_timeout = Duration::from_millis(300);
    let bench = Bench::start_with(settings, Standalone::new(text()));
    let engine = bench.upstream("engine-1", "assistant");
    let shop = bench.upstream("shop-1", "shop");
    engine.set_pace(Duration::from_millis(20));
    // This call outlives the stream and delays the stop, so that the metrics can still be read.
    shop.script([Behaviour::Complete(Duration::from_millis(1_500))]);
    let address = bench.address;
    let mut stream = Caller::connect(address);
    let body = completion("ticket", 2_000, true);
    stream.send("POST", "/v1/completions", &[], &body);
    let mut plain_call = Caller::connect(address);
    let headers = [("idempotency-key", "k1")];
    plain_call.send("POST", "/services/shop/exposures", &headers, "plate");
    eventually("both calls", || engine.open() > 0 && shop.executions() > 0);
    let failures = "chervilloft_handover_failures_total";
    expect_eq!(bench.metric(failures), 0.0);
    expect_eq!(bench.metric("chervilloft_lifecycle_errors_total"), 0.0);
    expect_eq!(bench.metric("chervilloft_text_version"), 1.0);
    let stopping = thread::spawn(move || bench.entry.stop());
    let answer = stream.receive();
    expect_that!(
        answer.body,
        contains_substring("nobody took the request over")
    );
    let metrics = call(address, "GET", "/metrics", &[], "").body;
    expect_that!(metrics, contains_substring(format!("{failures} 1\n")));
    expect_eq!(plain_call.receive().outcome(), "answered");
    stopping.join().unwrap();
}
