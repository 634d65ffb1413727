//! A stopping entry hands over a request, and the caller reconnects to any other entry.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use config::settings::Settings;
use entry::handover::ENTRIES;
use fleet::claim::{Claim, Settlement, Verdict};
use fleet::{Control, Standalone, View};
use googletest::prelude::*;
use limits::{Draw, Grant};
use upstream::Announcement;

use crate::bench::{Bench, completion, eventually, expected, settings, text};
use crate::caller::{Answer, Caller, call};
use crate::fake::Fake;

const TOKENS: usize = 150;
const PATH: &str = "/v1/completions";

/// A control group that several entries share.
#[derive(Clone)]
pub(crate) struct SharedControl(pub(crate) Arc<Standalone>);

impl Control for SharedControl {
    fn view(&self) -> &Arc<ArcSwap<View>> {
        self.0.view()
    }

    async fn announce(&self, announcement: Announcement) -> errors::Result<()> {
        self.0.announce(announcement).await
    }

    async fn draw(&self, draws: Vec<Draw>) -> errors::Result<Vec<Grant>> {
        self.0.draw(draws).await
    }

    async fn claim(&self, claim: Claim) -> errors::Result<Verdict> {
        self.0.claim(claim).await
    }

    async fn settle(&self, claim: Claim, settlement: Settlement) -> errors::Result<()> {
        self.0.settle(claim, settlement).await
    }
}

/// Three entries, and an engine whose answers take longer than the entries' drain timeout.
struct Fleet {
    entries: Vec<Bench<SharedControl>>,
    engine: Fake,
}

impl Fleet {
    fn start() -> Fleet {
        Fleet::start_with(settings_of("one"))
    }

    /// Starts the fleet with these settings for the first entry.
    fn start_with(first: Settings) -> Fleet {
        let control = SharedControl(Arc::new(Standalone::new(text())));
        let entries: Vec<_> = [first, settings_of("two"), settings_of("three")]
            .map(|settings| Bench::start_with(settings, control.clone()))
            .into();
        let view = control.view().clone();
        eventually("all entries", || {
            view.load().routes.for_service(ENTRIES).count() == 3
        });
        let engine = entries[0].upstream("engine-1", "assistant");
        engine.set_pace(Duration::from_millis(8));
        Fleet { entries, engine }
    }

    /// Sends a call to the first entry, stops that entry during the answer, and returns what the
    /// caller received.
    fn interrupt(&mut self, headers: &[(&str, &str)], stream: bool) -> Answer {
        let first = self.entries.remove(0);
        let mut caller = Caller::connect(first.address);
        let body = completion("ticket", TOKENS, stream);
        caller.send("POST", PATH, headers, &body);
        eventually("the call", || self.engine.open() > 0);
        let stopping = thread::spawn(move || first.entry.stop());
        let answer = caller.receive();
        stopping.join().unwrap();
        answer
    }

    fn reconnect(&self, entry: usize, headers: &[(&str, &str)], stream: bool) -> Answer {
        let body = completion("ticket", TOKENS, stream);
        call(self.entries[entry].address, "POST", PATH, headers, &body)
    }
}

fn settings_of(node: &str) -> Settings {
    let mut settings = settings();
    settings.node = node.into();
    settings.data_centre = node.into();
    settings.entry.balancer_lag = Duration::from_millis(50);
    settings.entry.drain_timeout = Duration::from_millis(300);
    settings
}

#[gtest]
fn can_finish_a_stream_on_any_other_entry() {
    let mut fleet = Fleet::start();
    let interrupted = fleet.interrupt(&[("idempotency-key", "k1")], true);
    expect_that!(
        interrupted.body,
        contains_substring("\"code\":\"draining\"")
    );
    let (ids, begin) = interrupted.events();
    expect_that!(ids.len(), all![gt(0), lt(TOKENS)]);
    let after = ids.len().to_string();
    for entry in [0, 1] {
        let headers = [("idempotency-key", "k1"), ("last-event-id", after.as_str())];
        let rest = fleet.reconnect(entry, &headers, true);
        expect_eq!(rest.status, 200, "{}", rest.body);
        expect_true!(rest.is_done() && rest.complete);
        let (rest_ids, end) = rest.events();
        expect_eq!(rest_ids.first().copied(), Some(ids.len() + 1));
        expect_eq!(rest_ids.last().copied(), Some(TOKENS + 1));
        expect_eq!(begin.clone() + &end, expected("ticket", TOKENS));
        expect_eq!(rest.outcome(), "answered");
    }
    // The engine was called twice: by the entry that stopped and by the one that took over.
    expect_eq!(fleet.engine.calls(PATH).len(), 2);
}

#[gtest]
fn can_return_the_complete_answer_to_a_caller_without_events() {
    let mut fleet = Fleet::start();
    let interrupted = fleet.interrupt(&[("idempotency-key", "k2")], false);
    expect_eq!(interrupted.status, 503);
    expect_that!(interrupted.header("retry-after"), not(eq("")));
    let answer = fleet.reconnect(1, &[("idempotency-key", "k2")], false);
    expect_eq!(answer.status, 200, "{}", answer.body);
    expect_eq!(
        answer.json()["choices"][0]["text"].as_str(),
        Some(expected("ticket", TOKENS).as_str())
    );
    expect_eq!(fleet.engine.calls(PATH).len(), 2);
}

#[gtest]
fn can_reconnect_with_the_request_id_if_there_was_no_key() {
    let mut fleet = Fleet::start();
    let interrupted = fleet.interrupt(&[], true);
    let request = interrupted.header("chervilloft-request-id").to_owned();
    let after = interrupted.events().0.len().to_string();
    let headers = [
        ("idempotency-key", request.as_str()),
        ("last-event-id", after.as_str()),
    ];
    let rest = fleet.reconnect(0, &headers, true);
    expect_eq!(
        interrupted.events().1 + &rest.events().1,
        expected("ticket", TOKENS)
    );
}

#[gtest]
fn errors_on_reconnecting_with_another_body_or_without_a_buffered_answer() {
    let mut fleet = Fleet::start();
    let interrupted = fleet.interrupt(&[("idempotency-key", "k3")], true);
    let after = interrupted.events().0.len().to_string();
    let headers = [("idempotency-key", "k3"), ("last-event-id", after.as_str())];
    for bench in &fleet.entries {
        let other = completion("another ticket", TOKENS, true);
        let answer = call(bench.address, "POST", PATH, &headers, &other);
        expect_eq!(answer.status, 422, "{}", answer.body);
        let unknown = [("idempotency-key", "k4"), ("last-event-id", "3")];
        let answer = call(bench.address, "POST", PATH, &unknown, &other);
        expect_eq!(answer.status, 409, "{}", answer.body);
        expect_eq!(answer.outcome(), "not-run");
    }
}

#[gtest]
fn errors_on_a_record_that_no_entry_signed() {
    let bench = Bench::start();
    let headers = [("chervilloft-signature", "00")];
    let answer = bench.post("/v1/kept", &headers, "record");
    expect_eq!(answer.status, 401);
    let unknown_caller = [
        ("authorization", "Bearer stranger"),
        ("idempotency-key", "k"),
    ];
    expect_eq!(
        call(bench.address, "GET", "/v1/kept", &unknown_caller, "").status,
        401
    );
    expect_eq!(bench.get("/v1/kept").status, 404);
}

#[gtest]
fn can_relay_an_answer_that_another_entry_finishes() {
    let mut settings = settings_of("one");
    settings.entry.hand_over_after = Duration::from_millis(100);
    settings.entry.drain_timeout = Duration::from_secs(20);
    for stream in [true, false] {
        let mut fleet = Fleet::start_with(settings.clone());
        let answer = fleet.interrupt(&[], stream);
        expect_eq!(answer.status, 200, "{}", answer.body);
        expect_eq!(answer.outcome(), "answered");
        match stream {
            true => {
                expect_true!(answer.is_done() && answer.complete);
                expect_eq!(answer.events().0, (1..=TOKENS + 1).collect::<Vec<_>>());
                expect_eq!(answer.events().1, expected("ticket", TOKENS));
            }
            false => expect_eq!(
                answer.json()["choices"][0]["text"].as_str(),
                Some(expected("ticket", TOKENS).as_str())
            ),
        }
        // One call of the first entry, and one of the entry that took over.
        expect_eq!(fleet.engine.calls(PATH).len(), 2);
    }
}
