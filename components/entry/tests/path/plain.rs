//! Calls of plain services without a key.

use std::time::Duration;

use config::settings::{Machine, Settings};
use fleet::Standalone;
use googletest::prelude::*;

use crate::behaviour::Behaviour;
use crate::bench::{Bench, settings, text};

#[gtest]
fn can_forward_a_call_with_its_method_path_and_query() {
    let bench = Bench::start();
    let shop = bench.upstream("shop-1", "shop");
    let answer = bench.get("/services/shop/jobs/7?full=1");
    expect_eq!(answer.status, 200);
    expect_eq!(answer.outcome(), "answered");
    expect_eq!(answer.body, "GET /jobs/7?full=1 HTTP/1.1 #1");
    let seen = &shop.calls("/jobs")[0];
    expect_false!(seen.headers.contains_key("authorization"));
    expect_eq!(
        seen.headers
            .get("chervilloft-request-id")
            .map(String::as_str),
        Some(answer.header("chervilloft-request-id"))
    );
}

#[gtest]
fn can_retry_an_idempotent_call_at_another_upstream() {
    let bench = Bench::start();
    let shops = ["shop-1", "shop-2"].map(|name| bench.upstream(name, "shop"));
    for behaviour in [
        Behaviour::NoAnswer,
        Behaviour::HalfBody,
        Behaviour::Unbounded,
    ] {
        shops[0].script([behaviour.clone()]);
        shops[1].script([behaviour]);
        let answer = bench.get("/services/shop/jobs");
        // Both upstreams fail in each round; only the behaviours left in their scripts differ.
        expect_eq!(answer.status, 502);
        expect_eq!(answer.outcome(), "unknown");
    }
    shops[0].script([Behaviour::HalfBody]);
    let answers = [0, 1].map(|_| bench.get("/services/shop/jobs").status);
    expect_eq!(answers, [200, 200]);
}

#[gtest]
fn errors_as_unknown_after_one_dispatch_of_a_call_that_may_not_be_repeated() {
    for behaviour in [
        Behaviour::NoAnswer,
        Behaviour::HalfBody,
        Behaviour::Unbounded,
        Behaviour::SilentAfter(0),
    ] {
        let bench = Bench::start();
        let shops = ["shop-1", "shop-2"].map(|name| bench.upstream(name, "shop"));
        for shop in &shops {
            shop.script([behaviour.clone()]);
        }
        let answer = bench.post("/services/shop/exposures", &[], "plate");
        expect_eq!(answer.outcome(), "unknown", "{behaviour:?}");
        let executions: usize = shops.iter().map(super::fake::Fake::executions).sum();
        expect_eq!(executions, 1, "{behaviour:?}");
    }
}

#[gtest]
fn errors_as_not_run_when_the_upstream_declares_that_it_did_not_run_the_call() {
    let bench = Bench::start();
    let shop = bench.upstream("shop-1", "shop");
    shop.script([Behaviour::Reject]);
    let answer = bench.post("/services/shop/exposures", &[], "plate");
    expect_eq!(answer.status, 503);
    expect_eq!(answer.outcome(), "not-run");
    expect_eq!(shop.executions(), 0);
}

#[gtest]
fn never_takes_an_earlier_refusal_for_one_of_another_call() {
    let bench = Bench::start();
    let shop = bench.upstream("shop-1", "shop");
    for method in ["POST", "GET"] {
        shop.script(std::iter::repeat_n(Behaviour::StaleReject, 3));
        let answer = match method {
            "POST" => bench.post("/services/shop/exposures", &[], "plate"),
            _ => bench.get("/services/shop/jobs"),
        };
        expect_eq!(answer.outcome(), "unknown", "{method}");
        shop.script([]);
    }
    expect_ge!(shop.executions(), 2);
}

#[gtest]
fn can_reach_another_upstream_when_one_refuses_connections() {
    let bench = Bench::start();
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let serving = serde_json::json!({"state": "serving"});
    bench.announce_as("shop-1", address, "shop", 1, serving);
    let shop = bench.upstream("shop-2", "shop");
    for _ in 0..2 {
        let answer = bench.post("/services/shop/exposures", &[], "plate");
        expect_eq!(answer.outcome(), "answered");
    }
    expect_eq!(shop.executions(), 2);
}

#[gtest]
fn can_hedge_a_slow_read() {
    let bench = Bench::start();
    let shops = ["shop-1", "shop-2"].map(|name| bench.upstream(name, "shop"));
    shops[0].script([Behaviour::SilentAfter(0)]);
    let answers = [0, 1].map(|_| bench.get("/services/shop/jobs").status);
    expect_eq!(answers, [200, 200]);
}

#[gtest]
fn errors_as_not_run_when_a_dependency_has_no_upstream() {
    let bench = Bench::start();
    let dependent = bench.upstream("dependent-1", "dependent");
    let answer = bench.get("/services/dependent/x");
    expect_eq!(answer.status, 503);
    expect_eq!(answer.outcome(), "not-run");
    expect_that!(
        answer.body,
        contains_substring("\\\"absent\\\", which has no upstream")
    );
    expect_eq!(dependent.executions(), 0);
}

#[gtest]
fn can_forward_an_error_of_the_service() {
    let bench = Bench::start();
    bench
        .upstream("shop-1", "shop")
        .script([Behaviour::Status(500)]);
    let answer = bench.post("/services/shop/exposures", &[], "plate");
    expect_eq!(answer.status, 500);
    expect_eq!(answer.outcome(), "answered");
}

#[gtest]
fn can_answer_a_slow_call_within_its_timeout() {
    let bench = Bench::start();
    let shop = bench.upstream("shop-1", "shop");
    shop.script([Behaviour::Complete(Duration::from_millis(800))]);
    let answer = bench.post("/services/shop/exposures", &[], "plate");
    expect_eq!(answer.outcome(), "answered");
}

#[gtest]
fn can_abandon_an_unresponsive_connection_of_the_only_upstream() {
    let bench = Bench::start();
    let shop = bench.upstream("shop-1", "shop");
    shop.script([Behaviour::SilentAfter(0)]);
    let answer = bench.get("/services/shop/status");
    expect_eq!(answer.status, 200, "{}", answer.body);
    expect_eq!(answer.outcome(), "answered");
    expect_eq!(shop.executions(), 2);
}

/// Guards against a refusal that promises that a call has not run whose answer found no memory, and against
/// further dispatches, whose answers find none either.
#[gtest]
fn errors_as_unknown_after_one_dispatch_of_a_call_whose_answer_exceeds_the_memory() {
    let machine = Machine {
        memory_mb: 1.0,
        ..Machine::default()
    };
    let large = Behaviour::Large(machine.budget_bytes() + 1);
    let settings = Settings {
        machine,
        ..settings()
    };
    let bench = Bench::start_with(settings, Standalone::new(text()));
    let shop = bench.upstream("shop-1", "shop");
    shop.script([large.clone(), large]);
    let once = bench.post("/services/shop/exposures", &[], "plate");
    expect_eq!(once.status, 502);
    expect_eq!(once.outcome(), "unknown");
    expect_that!(once.body, contains_substring("it may have run"));
    let idempotent = bench.get("/services/shop/jobs");
    expect_eq!(idempotent.status, 502);
    expect_eq!(idempotent.outcome(), "unknown");
    expect_eq!(shop.executions(), 2);
    expect_eq!(bench.get("/services/shop/jobs").status, 200);
}
