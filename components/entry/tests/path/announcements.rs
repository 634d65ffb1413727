//! Announcements of upstreams.

use googletest::prelude::*;
use serde_json::{Value, json};

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

/// Signs and sends an announcement of which one field is replaced, or left out.
fn announce_with(bench: &Bench, fake: &Fake, field: &str, value: Option<Value>) -> u16 {
    let mut body = announcement(
        "shop-1",
        fake.address,
        "shop",
        1,
        json!({"state": "serving"}),
    );
    let fields = body.as_object_mut().expect("it is an object");
    match value {
        Some(value) => fields.insert(field.to_owned(), value),
        None => fields.remove(field),
    };
    bench.send_announcement(&body.to_string()).status
}

#[gtest]
fn errors_on_announcements_in_which_a_field_is_missing_or_of_another_type() {
    let bench = Bench::start();
    let fake = Fake::start("shop-1");
    let whole = announcement(
        "shop-1",
        fake.address,
        "shop",
        1,
        json!({"state": "serving"}),
    );
    let optional = ["models"];
    let others = [
        json!(null),
        json!(true),
        json!(-1),
        json!(0.5),
        json!("text"),
        json!([1]),
        json!({"a": 1}),
    ];
    let kind = |value: &Value| std::mem::discriminant(value);
    for (field, value) in whole.as_object().expect("it is an object") {
        if !optional.contains(&field.as_str()) {
            expect_eq!(
                announce_with(&bench, &fake, field, None),
                400,
                "without {field}"
            );
        }
        for other in others.iter().filter(|other| kind(other) != kind(value)) {
            let status = announce_with(&bench, &fake, field, Some(other.clone()));
            expect_eq!(status, 400, "{field}: {other}");
        }
        let twice = format!("{{\"{field}\":{value},{}", &whole.to_string()[1..]);
        expect_eq!(bench.send_announcement(&twice).status, 400, "{field} twice");
    }
    for (field, value) in [
        ("upstream", json!("")),
        ("data_centre", json!("")),
        ("address", json!("0.0.0.0:80")),
        ("address", json!("224.0.0.1:80")),
        ("address", json!("127.0.0.1:0")),
        ("incarnation", json!(-1)),
        ("sequence", json!(0.5)),
        ("lease_ms", json!(0)),
        ("lease_ms", json!(60_001)),
        ("availability", json!({"state": "gone"})),
        ("availability", json!({"state": "reclaimed"})),
        ("class", json!("free")),
        ("models", json!([{"model": "m"}])),
        ("models", json!([["m", "1", []]])),
        ("capacity", json!({"batch": -1})),
        ("load", json!({"unknown": 1})),
        ("unknown", json!(1)),
    ] {
        let status = announce_with(&bench, &fake, field, Some(value.clone()));
        expect_eq!(status, 400, "{field}: {value}");
    }
    expect_eq!(bench.get("/services/shop/x").status, 503);
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
