//! Calls with an idempotency key run at most once.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use errors::{Error, Peer, Result, Step};
use fleet::claim::{Claim, Settlement, Verdict};
use fleet::{Control, Standalone, View};
use googletest::prelude::*;
use limits::{Draw, Grant};
use upstream::Announcement;

use crate::behaviour::Behaviour;
use crate::bench::{Bench, eventually, settings, text};
use crate::caller::{Answer, call};

const PATH: &str = "/services/shop/exposures";

fn place_order(bench: &Bench<impl Control>, key: &str, body: &str) -> Answer {
    call(
        bench.address,
        "POST",
        PATH,
        &[("idempotency-key", key)],
        body,
    )
}

#[gtest]
fn can_replay_a_recorded_answer() {
    let bench = Bench::start();
    let shop = bench.upstream("shop-1", "shop");
    let first = place_order(&bench, "k1", "plate 7");
    let second = place_order(&bench, "k1", "plate 7");
    expect_eq!(first.body, second.body);
    expect_eq!([first.outcome(), second.outcome()], ["answered"; 2]);
    expect_eq!(shop.executions(), 1);
    expect_eq!(first.body, "POST /exposures HTTP/1.1 #1");
    expect_eq!(
        shop.calls("/exposures")[0]
            .headers
            .get("idempotency-key")
            .map(String::as_str),
        Some("k1")
    );
}

#[gtest]
fn errors_on_the_same_key_with_another_body() {
    let bench = Bench::start();
    let shop = bench.upstream("shop-1", "shop");
    place_order(&bench, "k1", "plate 7");
    let other = place_order(&bench, "k1", "plate 8");
    expect_eq!(other.status, 422);
    expect_eq!(other.outcome(), "not-run");
    expect_eq!(shop.executions(), 1);
}

#[gtest]
fn keeps_the_unknown_outcome_of_a_call() {
    let bench = Bench::start();
    let shop = bench.upstream("shop-1", "shop");
    shop.script([Behaviour::NoAnswer]);
    for _ in 0..3 {
        let answer = place_order(&bench, "k1", "plate 7");
        expect_eq!(answer.status, 502);
        expect_eq!(answer.outcome(), "unknown");
    }
    expect_eq!(shop.executions(), 1);
}

#[gtest]
fn can_free_the_key_of_a_call_that_was_not_run() {
    let bench = Bench::start();
    let shop = bench.upstream("shop-1", "shop");
    shop.script([Behaviour::Reject]);
    expect_eq!(place_order(&bench, "k1", "plate 7").outcome(), "not-run");
    expect_eq!(place_order(&bench, "k1", "plate 7").outcome(), "answered");
    expect_eq!(shop.executions(), 1);
}

#[gtest]
fn runs_a_call_once_for_concurrent_callers() {
    let bench = Bench::start();
    let shop = bench.upstream("shop-1", "shop");
    shop.script([Behaviour::Complete(Duration::from_millis(300))]);
    let bodies: Vec<String> = std::thread::scope(|scope| {
        let calls = [0; 8].map(|_| scope.spawn(|| place_order(&bench, "k1", "plate 7").body));
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    expect_that!(bodies, each(eq(&bodies[0])));
    expect_eq!(shop.executions(), 1);
}

#[gtest]
fn errors_on_a_key_that_is_not_printable_or_too_long() {
    let bench = Bench::start();
    bench.upstream("shop-1", "shop");
    for key in ["", "caf\u{e9}", &"k".repeat(256)] {
        expect_eq!(place_order(&bench, key, "plate 7").status, 400);
    }
}

/// A control group that is slow, or answers with an error after it has committed.
struct FaultyControl {
    inner: Standalone,
    /// Delay of each verdict.
    delay_ms: AtomicU64,
    /// Dispatch window of granted claims.
    window_ms: u64,
    /// How many of the next claims are committed, but answered with an error.
    errors: AtomicUsize,
    settled: std::sync::Mutex<Vec<Settlement>>,
}

impl FaultyControl {
    fn new(delay_ms: u64, window_ms: u64, errors: usize) -> Self {
        FaultyControl {
            inner: Standalone::new(text()),
            delay_ms: AtomicU64::new(delay_ms),
            window_ms,
            errors: AtomicUsize::new(errors),
            settled: std::sync::Mutex::default(),
        }
    }
}

impl Control for FaultyControl {
    fn view(&self) -> &Arc<ArcSwap<View>> {
        self.inner.view()
    }

    async fn announce(&self, announcement: Announcement) -> Result<()> {
        self.inner.announce(announcement).await
    }

    async fn draw(&self, draws: Vec<Draw>) -> Result<Vec<Grant>> {
        self.inner.draw(draws).await
    }

    async fn claim(&self, claim: Claim) -> Result<Verdict> {
        let verdict = self.inner.claim(claim).await?;
        let delay = Duration::from_millis(self.delay_ms.load(Ordering::SeqCst));
        tokio::time::sleep(delay).await;
        let take = |count: usize| count.checked_sub(1);
        let failing = self
            .errors
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take);
        match (failing, verdict) {
            (Ok(_), _) => Err(Error::Protocol(
                Step::Commit,
                Peer::Local,
                "no quorum".into(),
            )),
            (Err(_), Verdict::Granted { .. }) => Ok(Verdict::Granted {
                dispatch_within_ms: self.window_ms,
            }),
            (Err(_), verdict) => Ok(verdict),
        }
    }

    async fn settle(&self, claim: Claim, settlement: Settlement) -> Result<()> {
        self.settled.lock().unwrap().push(settlement.clone());
        self.inner.settle(claim, settlement).await
    }
}

#[gtest]
fn errors_as_not_run_if_the_claim_is_granted_too_late_to_dispatch() {
    let bench = Bench::start_with(settings(), FaultyControl::new(150, 100, 0));
    let shop = bench.upstream("shop-1", "shop");
    let answer = place_order(&bench, "k1", "plate 7");
    expect_eq!(answer.status, 503);
    expect_eq!(answer.outcome(), "not-run");
    expect_eq!(shop.executions(), 0);
    let settled = || bench.entry.control().settled.lock().unwrap().clone();
    eventually("the settlement", || !settled().is_empty());
    expect_that!(settled(), elements_are![eq(&Settlement::NotRun)]);
    // The key is free again once the control group is fast.
    bench.entry.control().delay_ms.store(0, Ordering::SeqCst);
    expect_eq!(place_order(&bench, "k1", "plate 7").outcome(), "answered");
}

#[gtest]
fn errors_as_not_run_if_it_is_unknown_whether_the_claim_was_committed() {
    let bench = Bench::start_with(settings(), FaultyControl::new(0, 2_000, 1));
    let shop = bench.upstream("shop-1", "shop");
    let answer = place_order(&bench, "k1", "plate 7");
    expect_eq!(answer.status, 503);
    expect_eq!(answer.outcome(), "not-run");
    expect_eq!(shop.executions(), 0);
    // The claim was committed in spite of the error. It must be released.
    expect_eq!(place_order(&bench, "k1", "plate 7").outcome(), "answered");
    expect_eq!(shop.executions(), 1);
}

#[gtest]
fn records_the_answer_before_the_caller_receives_it() {
    let bench = Bench::start_with(settings(), FaultyControl::new(0, 2_000, 0));
    bench.upstream("shop-1", "shop");
    place_order(&bench, "k1", "plate 7");
    let settled = bench.entry.control().settled.lock().unwrap().clone();
    expect_that!(
        settled,
        elements_are![matches_pattern!(Settlement::Answered(_))]
    );
}

#[gtest]
fn can_finish_a_call_whose_caller_disconnected() {
    let bench = Bench::start();
    let shop = bench.upstream("shop-1", "shop");
    shop.script([Behaviour::Complete(Duration::from_millis(200))]);
    let mut caller = crate::caller::Caller::connect(bench.address);
    caller.send("POST", PATH, &[("idempotency-key", "k1")], "plate 7");
    eventually("the call", || shop.executions() > 0);
    drop(caller);
    let answer = place_order(&bench, "k1", "plate 7");
    expect_eq!(answer.outcome(), "answered");
    expect_eq!(shop.executions(), 1);
}
