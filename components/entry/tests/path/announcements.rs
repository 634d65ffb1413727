//! Announcements of upstreams.

use googletest::prelude::*;
use serde_json::json;

use crate::bench::{Bench, announcement};
use crate::fake::Fake;

#[gtest]
fn can_accept_an_announcement_and_reply_when_to_renew_it() {
    let bench = Bench::start();
    let fake = Fake::start("shop-1");
    let serving = json!({"state": "serving"});
    let answer = bench.announce_as("shop-1", fake.address, "shop", 1, serving.clone());
    expect_eq!(answer.body, "{\"renew_ms\":10000}");
    let again = bench.announce_as("shop-1", fake.address, "shop", 1, serving);
    expect_eq!(again.status, 409);
}

#[gtest]
fn errors_on_a_forged_announcement() {
    let bench = Bench::start();
    let fake = Fake::start("shop-1");
    let body = announcement(
        "shop-1",
        fake.address,
        "shop",
        1,
        json!({"state": "serving"}),
    );
    for signature in ["", "00", "zz"] {
        let headers = [("chervilloft-signature", signature)];
        let answer = bench.post("/v1/upstreams", &headers, &body.to_string());
        expect_eq!(answer.status, 401);
    }
    expect_eq!(bench.get("/services/shop/x").status, 503);
}

#[gtest]
fn errors_on_an_unknown_service_and_on_an_invalid_announcement() {
    let bench = Bench::start();
    let fake = Fake::start("shop-1");
    let serving = json!({"state": "serving"});
    let answer = bench.announce_as("shop-1", fake.address, "nothing", 1, serving);
    expect_eq!(answer.status, 404);
    let invalid = json!({"state": "dancing"});
    let answer = bench.announce_as("shop-1", fake.address, "shop", 1, invalid);
    expect_eq!(answer.status, 400);
}

// An announcement that named another address was acknowledged, although it was ignored.
#[gtest]
fn errors_on_an_announcement_that_moves_a_running_process() {
    let bench = Bench::start();
    let [fake, other] = ["shop-1", "shop-2"].map(Fake::start);
    for state in ["serving", "leaving"] {
        let serving = json!({"state": "serving"});
        bench.announce_as("shop-1", fake.address, "shop", 1, serving);
        let moved = bench.announce_as("shop-1", other.address, "shop", 2, json!({"state": state}));
        expect_eq!(moved.status, 409);
        expect_eq!(bench.get("/services/shop/x").status, 200);
    }
    expect_eq!(fake.executions(), 2);
}

#[gtest]
fn sends_no_new_requests_to_an_upstream_that_is_leaving() {
    let bench = Bench::start();
    let shop = bench.upstream("shop-1", "shop");
    expect_eq!(bench.get("/services/shop/x").status, 200);
    bench.announce(&shop, "shop", 2, json!({"state": "leaving"}));
    let answer = bench.get("/services/shop/x");
    expect_eq!(answer.status, 503);
    expect_eq!(answer.outcome(), "not-run");
    expect_eq!(shop.executions(), 1);
}
