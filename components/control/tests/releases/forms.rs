//! One value of each stored and sent form, encoded.

use ciborium::into_writer;
use serde::Serialize;
use serde_json::{Value, json};
use state::{Change, Command, Position, State};
use wire::{Answer, Body, Delta, Envelope, Failure, Frame, Hello, Push, Query, Request, Role};

/// Name and bytes of a form.
pub(crate) type Form = (String, Vec<u8>);

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    into_writer(value, &mut bytes).expect("it can be encoded");
    bytes
}

/// Returns a value of a type whose fields are named in JSON.
fn from<T: serde::de::DeserializeOwned>(value: Value) -> T {
    serde_json::from_value(value).expect("the fields have these names")
}

fn change(name: &str, value: Value) -> (String, Change) {
    let value = match value {
        Value::Null => json!(name),
        value => json!({ name: value }),
    };
    (name.to_lowercase(), from(value))
}

fn claim() -> Value {
    json!({"account": "shop", "key": "k-1", "fingerprint": 7, "request": "r-1", "version": 2})
}

/// Changes of the state by the names of their variants.
pub(crate) fn changes() -> Vec<(String, Change)> {
    let holder = json!({"entry": "entry-1", "incarnation": 5, "claim": claim()});
    let with = |name: &str, value: Value| {
        let mut holder = holder.clone();
        holder[name] = value;
        holder
    };
    let process = json!({"entry": "entry-1", "incarnation": 5});
    let item = json!({"data_centre": "north", "class": "on-demand", "service": "model"});
    let text = json!({"version": 8, "operator": "ana", "source": "eight"});
    vec![
        change(
            "Submit",
            json!({"id": "s-1", "base": 0, "operator": "ana", "source": "one"}),
        ),
        change("Replace", text),
        change("Claim", with("retention_ms", json!(60_000))),
        change("Settle", with("settlement", json!("NotRun"))),
        change("Join", process.clone()),
        change("Lost", process),
        change(
            "Use",
            json!({"from": 1, "to": 2, "lines": [{"item": item, "instances": 3, "price_micros": 4}]}),
        ),
        change(
            "Order",
            json!({"action": {"Drain": {"instance": "i-1"}}, "reason": "the price"}),
        ),
        change("Take", json!({"holder": "control-1"})),
        change("Close", json!({"window": 3, "counts": {"shop": 4}})),
        change("Reported", json!(3)),
        change("Spend", json!({"shop": [{"age_ms": 10, "tokens": 2.5}]})),
        change("Tick", Value::Null),
        change(
            "RecordVerdicts",
            json!([{"kind": "Part", "part": 9, "age_ms": 5, "trials": 1}]),
        ),
        change(
            "BeginRollout",
            json!({"service": "model", "to": "v2", "duration_ms": 60_000}),
        ),
        // The index of the entry above is the low part of the number.
        change(
            "AdvanceRollout",
            json!({"service": "model", "number": (1_u64 << 40) + 15, "phase": "RolledBack",
                "reason": "why"}),
        ),
        (
            "edit".to_owned(),
            Change::Edit(state::text::Edit {
                version: 9,
                operator: "ana".into(),
                base: 8,
                patch: patch::encode("eight", "nine").expect("it is small"),
            }),
        ),
    ]
}

/// Requests by the names of their variants.
pub(crate) fn requests() -> Vec<(String, Body)> {
    let body = |name: &str, value: Value| {
        let value = match value {
            Value::Null => json!(name),
            value => json!({ name: value }),
        };
        (name.to_lowercase(), from::<Body>(value))
    };
    let statements = json!({"number": 4, "accounts": [["shop",
        [9, 8, 7, 6]]]});
    let text = json!({"version": 8, "operator": "ana", "source": "eight"});
    let report = json!({
        "spent": statements, "begun": [[3, "shop", 4]],
        "held": [["u-1", {"requests": 1, "prefill_tokens": 2}]],
        "offered": [["model", {"requests": 1, "input_tokens": 2, "output_tokens": 3}]],
    });
    let key = upstream::StreamKey::new("shop", "r-1");
    let origin = upstream::Origin {
        key,
        software: "v1".into(),
    };
    vec![
        body("Confirm", json!({"holds": 7, "fetches": true})),
        body("Leave", Value::Null),
        body("Claim", claim()),
        body("Settle", json!([claim(), "Unknown"])),
        body(
            "Submit",
            json!({"submission": {"id": "s-1", "base": 0, "operator": "ana", "source": "one"},
                   "wait_ms": 5}),
        ),
        body("Replace", json!({"replacement": text, "wait_ms": 5})),
        body("Report", report),
        body("Balance", statements.clone()),
        ("recordorigin".to_owned(), Body::RecordOrigin(origin)),
        ("findorigin".to_owned(), Body::FindOrigin(key)),
        body("Hold", json!([{"l": ["u-1", 5]}])),
        body("ListSoftware", json!("model")),
        ("query".to_owned(), Body::Query(Query::Source)),
        body(
            "BeginRollout",
            json!({"service": "model", "to": "v2", "duration_ms": 60_000}),
        ),
        body("DrawPermits", json!({"wanted": [["u-1", 5]], "count": 2})),
        body(
            "FetchText",
            json!({"version": 8, "base": 7, "offset": 16384}),
        ),
        (
            "edit".to_owned(),
            Body::Edit {
                edit: state::text::Edit {
                    version: 9,
                    operator: "ana".into(),
                    base: 8,
                    patch: patch::encode("eight", "nine").expect("it is small"),
                },
                wait_ms: 5,
            },
        ),
    ]
}

fn frames() -> Vec<(String, Frame)> {
    let named = |name: &str, frame| (name.to_owned(), frame);
    let overview = json!({
        "now_ms": 1, "entries": 2, "balances": {"window_ms": 8_000,
            "accounts": [["shop", {"left": -3, "part": 4}]]},
        "held": [["u-1", {"requests": 1, "prefill_tokens": 2}]],
    });
    let lease = json!({"version": 8, "lease_ms": 3_000, "source": null, "leader": "control-1"});
    let renewal = json!(["model", "u-1", 5, 6, 7, 8, [1, 2, 3, 4]]);
    let announcement = json!({
        "upstream": "u-1", "incarnation": 5, "sequence": 1, "service": "model",
        "address": "10.1.0.9:80", "data_centre": "north", "class": "on-demand", "lease_ms": 6_000, "models": [],
        "capacity": {}, "load": {}, "availability": {"state": "serving"}, "role": "both",
    });
    let aged = json!({"age_ms": 3, "announcement": announcement});
    vec![
        named(
            "hello",
            Frame::Hello(Hello {
                protocol: 1,
                node: "control-1".into(),
                incarnation: 5,
                role: Role::Control,
                nonce: [7; 16],
            }),
        ),
        named("proof", Frame::Proof("proof".into())),
        named("heartbeat", Frame::Heartbeat),
        named(
            "lease",
            Frame::Answer(1, Ok(Answer::FreshnessLease(from(lease)))),
        ),
        named(
            "overview",
            Frame::Answer(1, Ok(from(json!({"Overview": overview})))),
        ),
        named(
            "software",
            Frame::Answer(1, Ok(from(json!({"Software": ["v1"]})))),
        ),
        named(
            "rollout",
            Frame::Answer(1, Ok(from(json!({"Rollout": {"Begun": 5}})))),
        ),
        named(
            "overview-rollouts",
            Frame::Answer(1, Ok(from(json!({"Overview": overview_of_rollouts()})))),
        ),
        named("report-rollouts", Frame::Call(1, report_of_rollouts())),
        named("done", Frame::Answer(1, Ok(Answer::Done))),
        named("no-leader", Frame::Answer(1, Err(Failure::NoLeader))),
        named(
            "refused",
            Frame::Answer(1, Err(Failure::Refused("why".into()))),
        ),
        named("subscribe", Frame::Push(Push::Subscribe)),
        named("newest", Frame::Push(Push::Newest(8))),
        named("group", Frame::Push(Push::Group(vec!["10.1.0.9".into()]))),
        named("missing", Frame::Push(Push::Missing(vec!["u-1".into()]))),
        named("draining", Frame::Push(Push::Draining(vec!["u-1".into()]))),
        named(
            "renewal",
            Frame::Push(Push::Upstreams(vec![Delta::Renewal(from(renewal))])),
        ),
        named(
            "announcement",
            Frame::Push(Push::Upstreams(vec![Delta::Full(from(aged))])),
        ),
    ]
}

fn overview_of_rollouts() -> Value {
    json!({
        "now_ms": 1, "entries": 2, "balances": {"window_ms": 8_000, "accounts": []}, "held": [],
        "rollouts": [{"service": "model", "number": 5, "to": "v2", "phase": "Canary",
            "share": 0.5}],
    })
}

fn report_of_rollouts() -> Request {
    let counts = json!({"sent": 3, "ended": 2, "failed": 1, "sum_ms": 70, "times": [0, 1]});
    let report = json!({
        "spent": {"number": 4, "accounts": []}, "begun": [], "held": [], "offered": [],
        "rollouts": [{"number": 5, "phase": "Canary",
            "new": {"running": 1, "routes": {"a": counts}},
            "old": {"running": 0, "routes": {}}}],
    });
    Request {
        node: "entry-1".into(),
        incarnation: 5,
        forwarded: false,
        body: Body::Report(Box::new(from(report))),
    }
}

fn messages() -> Vec<(String, consensus::Message)> {
    let member = |node: &str| json!({"node": node, "disk": 77});
    let bodies = [
        ("ask", json!("Ask")),
        (
            "tell",
            json!({"Tell": {"asked": 7, "founded": false, "spare": true}}),
        ),
        ("join", json!("Join")),
        (
            "prevote",
            json!({"PreVote": {"last": {"index": 3, "term": 2}}}),
        ),
        (
            "vote",
            json!({"Vote": {"last": {"index": 3, "term": 2}, "transfer": false}}),
        ),
        (
            "append",
            json!({"Append": {"prev": {"index": 3, "term": 2}, "commit": 3, "round": 9, "entries": [
                {"index": 4, "term": 2, "payload": "Blank"},
                {"index": 5, "term": 2, "payload": {"Members": {"target": 1,
                    "voters": [member("control-1")], "outgoing": [], "learners": []}}}]}}),
        ),
        ("accepted", json!({"Accepted": {"matched": 3, "round": 9}})),
        (
            "rejected",
            json!({"Rejected": {"prev": 3, "hint": 2, "round": 9}}),
        ),
        ("succeed", json!("Succeed")),
        ("read", json!({"Read": {"id": 4}})),
        ("readreply", json!({"ReadReply": {"id": 4, "index": 3}})),
    ];
    let message = |(name, body): (&str, Value)| {
        let message = json!({"group": 5, "from": member("control-1"), "to": "control-2",
            "to_disk": null, "term": 2, "body": body});
        (name.to_owned(), from(message))
    };
    bodies.into_iter().map(message).collect()
}

/// Returns all forms.
pub(crate) fn all() -> Vec<Form> {
    let mut forms = Vec::new();
    let mut state = State::default();
    for (index, (name, change)) in changes().into_iter().enumerate() {
        let command = Command { at: 1_000, change };
        forms.push((format!("change-{name}"), encode(&command)));
        let position = Position {
            term: 1,
            index: index as u64 + 1,
        };
        state.apply(position, command);
    }
    forms.push((
        "snapshot".to_owned(),
        state.snapshot().expect("it can be encoded"),
    ));
    for (name, body) in requests() {
        let request = Request {
            node: "entry-1".into(),
            incarnation: 5,
            forwarded: false,
            body,
        };
        let envelope = Envelope(3, 2, Frame::Call(1, request));
        let bytes = wire::encode(&envelope).expect("it is small");
        forms.push((format!("request-{name}"), bytes));
    }
    for (name, frame) in frames() {
        let bytes = wire::encode(&Envelope(3, 2, frame)).expect("it is small");
        forms.push((format!("frame-{name}"), bytes));
    }
    for (name, message) in messages() {
        forms.push((format!("message-{name}"), encode(&message)));
    }
    forms
}
