//! Whether callers can tell complete answers from others, for each way in which an upstream can
//! frame and end an answer.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use entry::handover::ENTRIES;
use fleet::{Control, Standalone};
use googletest::prelude::*;
use serde_json::json;

use crate::behaviour::Behaviour;
use crate::bench::{Bench, announcement, completion, expected, settings, text};
use crate::caller::Answer;
use crate::fake::Fake;
use crate::framing::{BODY, Close, End, Framing};
use crate::handover::SharedControl;

const FRAMINGS: [Framing; 4] = [
    Framing::Length,
    Framing::Chunks,
    Framing::Connection,
    Framing::Coding,
];
/// Tokens of an answer of a model.
const TOKENS: usize = 6;
/// Benches that a test runs at the same time, so that other tests keep their pace.
const MAX_BENCHES: usize = 3;
/// Longest time for which an upstream that sends bytes without end may hold a caller: the timeout
/// of the services, with room for a slow machine.
const MAX_HOLD: Duration = Duration::from_secs(12);

/// Calls that are answered with one behaviour, and completely when they are repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// Plain, may be repeated.
    Get,
    /// Plain, may run once.
    Post,
    /// Streamed answer of a model.
    Stream,
    /// Answer of a model as one body.
    Body,
}

/// Longest time after which a stream has left an engine that ends no event; half of the timeout of
/// the bench's service.
const MAX_EVENT_WAIT: Duration = Duration::from_secs(4);

struct Case {
    kind: Kind,
    framing: Framing,
    end: End,
}

impl Case {
    /// Makes the call, and describes what its caller gets.
    fn describe(&self) -> String {
        let Case { kind, framing, end } = self;
        let bench = Bench::start();
        let (fake, answer) = self.call(&bench);
        let content = match kind {
            Kind::Get | Kind::Post if answer.status == 200 => match answer.body.as_str() {
                BODY => "the body".to_owned(),
                repeated if repeated.ends_with("#2") => "the body".to_owned(),
                part => format!("{part:?}"),
            },
            Kind::Post => format!("{}, {} calls", answer.outcome(), fake.calls("/jobs").len()),
            Kind::Stream => {
                let (ids, text) = answer.events();
                let is_expected = text == expected("ticket", TOKENS);
                let done = answer.is_done();
                format!(
                    "{} events, expected: {is_expected}, done: {done}",
                    ids.len()
                )
            }
            Kind::Body if answer.status == 200 => {
                let text = answer.json()["choices"][0]["text"].clone();
                format!("expected: {}", text == expected("ticket", TOKENS))
            }
            _ => answer.outcome().to_owned(),
        };
        let status = answer.status;
        format!("{kind:?} {framing:?} {end:?}: {status}, {content}\n")
    }

    /// Makes the call at one upstream that is known by two names.
    fn call(&self, bench: &Bench) -> (Fake, Answer) {
        let (name, service) = match self.kind {
            Kind::Get | Kind::Post => ("shop", "shop"),
            Kind::Stream | Kind::Body => ("engine", "assistant"),
        };
        let fake = Fake::start(name);
        for number in 1..=2 {
            let name = format!("{name}-{number}");
            let serving = json!({"state": "serving"});
            bench.announce_as(&name, fake.address, service, 1, serving);
        }
        fake.script([Behaviour::Framed(self.framing, self.end)]);
        let answer = match self.kind {
            Kind::Get => bench.get("/services/shop/jobs"),
            Kind::Post => bench.post("/services/shop/jobs", &[], "plate"),
            Kind::Stream => bench.stream("ticket", TOKENS),
            Kind::Body => bench.post("/v1/completions", &[], &completion("ticket", TOKENS, false)),
        };
        (fake, answer)
    }
}

fn cases(kinds: &[Kind], ends: &[End]) -> Vec<Case> {
    let mut cases = Vec::new();
    for &kind in kinds {
        for framing in FRAMINGS {
            let case = |&end| Case { kind, framing, end };
            cases.extend(ends.iter().map(case));
        }
    }
    cases
}

/// Applies `f` to all cases, some at a time.
fn map<T: Send>(cases: &[Case], f: impl Fn(&Case) -> T + Sync) -> Vec<T> {
    let mut results = Vec::new();
    for chunk in cases.chunks(MAX_BENCHES) {
        let chunk: Vec<T> = thread::scope(|scope| {
            let threads: Vec<thread::ScopedJoinHandle<'_, T>> =
                chunk.iter().map(|case| scope.spawn(|| f(case))).collect();
            let joined = threads.into_iter().map(thread::ScopedJoinHandle::join);
            joined
                .map(|result| result.expect("the case does not panic"))
                .collect()
        });
        results.extend(chunk);
    }
    results
}

#[gtest]
fn never_answers_with_a_plain_answer_that_was_broken_off() {
    let ends = [
        End::Whole,
        End::MoreBytes,
        End::Within(Close::Fin),
        End::Within(Close::Reset),
        End::Within(Close::Silence),
    ];
    let table = map(&cases(&[Kind::Get, Kind::Post], &ends), Case::describe);
    insta::assert_snapshot!(table.concat());
}

#[gtest]
fn never_answers_with_an_answer_of_a_model_that_was_broken_off() {
    let ends = [
        End::Whole,
        End::MoreBytes,
        End::Within(Close::Fin),
        End::Within(Close::Reset),
        End::Within(Close::Silence),
        End::Between(Close::Fin),
        End::Between(Close::Reset),
        End::Between(Close::Silence),
    ];
    let table = map(&cases(&[Kind::Stream, Kind::Body], &ends), Case::describe);
    insta::assert_snapshot!(table.concat());
}

#[gtest]
fn never_holds_a_caller_for_bytes_without_end() {
    let kinds = [Kind::Get, Kind::Post, Kind::Stream, Kind::Body];
    let cases = cases(&kinds, &[End::Endless, End::Slow, End::EndlessHead]);
    let held = map(&cases, |case| {
        let bench = Bench::start();
        let started = Instant::now();
        let (_, answer) = case.call(&bench);
        let is_repeated = case.kind != Kind::Post;
        (answer.status == 200 && !is_repeated, started.elapsed())
    });
    for (case, (is_answered, elapsed)) in cases.iter().zip(held) {
        let Case { kind, framing, end } = case;
        expect_false!(is_answered, "{kind:?} {framing:?} {end:?}");
        expect_that!(elapsed, lt(MAX_HOLD), "{kind:?} {framing:?} {end:?}");
    }
}

#[gtest]
fn never_keeps_a_head_that_is_larger_than_its_bound() {
    let cases = cases(&[Kind::Get, Kind::Post, Kind::Stream], &[End::LargeHead]);
    let calls = map(&cases, |case| {
        let bench = Bench::start();
        let (fake, answer) = case.call(&bench);
        (answer.status, fake.calls("/").len())
    });
    for (case, (status, calls)) in cases.iter().zip(calls) {
        let Case { kind, framing, .. } = case;
        // The first answer is a failure: an idempotent call is repeated, another one is not.
        let expected = match kind {
            Kind::Post => (502, 1),
            _ => (200, 2),
        };
        let attempts = calls.min(2);
        expect_eq!((status, attempts), expected, "{kind:?} {framing:?}");
    }
}

#[gtest]
fn never_waits_longer_for_the_end_of_an_event_than_for_its_start() {
    let bench = Bench::start();
    let case = Case {
        kind: Kind::Stream,
        framing: Framing::Chunks,
        end: End::Slow,
    };
    let started = Instant::now();
    let (_, answer) = case.call(&bench);
    expect_eq!(answer.events().1, expected("ticket", TOKENS));
    expect_that!(started.elapsed(), lt(MAX_EVENT_WAIT));
}

#[gtest]
fn never_passes_on_a_stream_of_another_entry_that_was_broken_off_as_complete() {
    let ends = [
        End::Whole,
        End::Within(Close::Fin),
        End::Between(Close::Fin),
    ];
    let mut table = String::new();
    for Case { framing, end, .. } in cases(&[Kind::Stream], &ends) {
        let control = SharedControl(Arc::new(Standalone::new(text())));
        let bench = Bench::start_with(settings(), control.clone());
        let other = Fake::start("entry:other");
        let serving = json!({"state": "serving"});
        let announced = announcement(&other.name, other.address, ENTRIES, 1, serving);
        let announced = serde_json::from_value(announced).expect("the announcement is valid");
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let announced = runtime.block_on(control.announce(announced));
        announced.expect("a serving entry is announced");
        other.script([Behaviour::Framed(framing, end)]);
        let headers = [("idempotency-key", "k1"), ("last-event-id", "2")];
        let body = completion("ticket", TOKENS, true);
        let answer = bench.post("/v1/completions", &headers, &body);
        let complete = answer.complete;
        table += &format!(
            "{framing:?} {end:?}: {}, complete: {complete}\n",
            answer.status
        );
    }
    insta::assert_snapshot!(table);
}

/// Statuses that no answer may have (RFC 9110, section 15), or that none of an entry's requests asks for.
const INVALID_STATUSES: [u16; 9] = [0, 1, 99, 101, 600, 700, 999, 1_000, 2_000];

/// Guards against a status that a caller's HTTP library can't interpret, such as 600, or takes for a switch
/// of protocols, 101.
#[gtest]
fn never_answers_with_an_invalid_status() {
    for status in INVALID_STATUSES {
        let bench = Bench::start();
        let fake = bench.upstream("shop-1", "shop");
        fake.script([Behaviour::Status(status), Behaviour::Status(status)]);
        let once = bench.post("/services/shop/jobs", &[], "plate");
        expect_eq!(once.status, 502, "once, {status}");
        expect_eq!(once.outcome(), "unknown", "once, {status}");
        fake.script([0; 4].map(|_| Behaviour::Status(status)));
        let repeated = bench.get("/services/shop/jobs");
        expect_that!(
            repeated.status,
            any![eq(200), eq(502)],
            "repeated, {status}"
        );
    }
}

/// The same on a connection that has carried another answer before, which only idempotent calls use.
#[gtest]
fn never_answers_with_an_invalid_status_on_a_kept_connection() {
    for status in INVALID_STATUSES {
        let bench = Bench::start();
        let fake = bench.upstream("shop-1", "shop");
        let first = bench.get("/services/shop/jobs");
        expect_eq!(first.status, 200, "{status}");
        fake.script([0; 4].map(|_| Behaviour::Status(status)));
        let repeated = bench.get("/services/shop/jobs");
        expect_that!(repeated.status, any![eq(200), eq(502)], "{status}");
    }
}

/// The same for the answers of engines.
#[gtest]
fn never_answers_a_call_of_a_model_with_an_invalid_status() {
    for status in INVALID_STATUSES {
        let bench = Bench::start();
        let fake = bench.upstream("engine-1", "assistant");
        fake.script([0; 8].map(|_| Behaviour::Status(status)));
        let answer = bench.post("/v1/completions", &[], &completion("ticket", TOKENS, false));
        expect_that!(answer.status, any![eq(200), eq(502), eq(503)], "{status}");
    }
}
