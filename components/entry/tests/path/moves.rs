//! Streams that are moved to another upstream.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;

use crate::behaviour::Behaviour;
use crate::bench::{Bench, completion, eventually, expected};
use crate::caller::Caller;
use crate::fake::Fake;

/// Starts an entry with two engines, each of which behaves as `behaviour` at its first call.
fn start_two_engines(behaviour: &Behaviour) -> (Bench, [Fake; 2]) {
    let bench = Bench::start();
    let engines = ["engine-1", "engine-2"].map(|name| bench.upstream(name, "assistant"));
    for engine in &engines {
        engine.script([behaviour.clone()]);
    }
    (bench, engines)
}

/// Streams an answer from engines that all show `behaviour` at their first call, and asserts that
/// the answer is moved and complete.
fn assert_completes_after_move(behaviour: Behaviour) -> Bench {
    let (bench, engines) = start_two_engines(&behaviour);
    let third = bench.upstream("engine-3", "assistant");
    third.script([behaviour]);
    let answer = bench.stream("ticket", 12);
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.events().0, (1..=13).collect::<Vec<_>>());
    assert_eq!(answer.events().1, expected("ticket", 12));
    assert!(answer.is_done() && answer.complete);
    let calls: usize = engines
        .iter()
        .chain([&third])
        .map(|engine| engine.calls("/v1/completions").len())
        .sum();
    assert!(calls >= 2, "the stream was not moved");
    bench
}

#[gtest]
fn can_continue_after_an_engine_closes_early() {
    let bench = assert_completes_after_move(Behaviour::CloseAfter(5));
    expect_that!(
        bench.metric("chervilloft_moves_total{cause=\"closed\"}"),
        ge(1.0)
    );
    expect_that!(
        bench.metric("chervilloft_recomputed_tokens_total{cause=\"closed\"}"),
        ge(15.0)
    );
}

#[gtest]
fn can_continue_after_an_engine_stops_sending() {
    let bench = assert_completes_after_move(Behaviour::SilentAfter(5));
    expect_that!(
        bench.metric("chervilloft_moves_total{cause=\"silent\"}"),
        ge(1.0)
    );
}

#[gtest]
fn can_continue_after_a_token_is_missing() {
    let bench = assert_completes_after_move(Behaviour::GapAfter(5));
    expect_that!(
        bench.metric("chervilloft_moves_total{cause=\"fault\"}"),
        ge(1.0)
    );
}

#[gtest]
fn can_continue_after_a_token_is_repeated() {
    assert_completes_after_move(Behaviour::RepeatAfter(5));
}

#[gtest]
fn can_continue_after_a_stream_without_its_end_mark() {
    assert_completes_after_move(Behaviour::NoDone);
}

#[gtest]
fn can_continue_after_an_engine_fails_before_its_first_token() {
    assert_completes_after_move(Behaviour::NoAnswer);
}

#[gtest]
fn can_answer_without_events_after_an_engine_closes_early() {
    let (bench, _engines) = start_two_engines(&Behaviour::CloseAfter(5));
    bench.upstream("engine-3", "assistant");
    let body = completion("ticket", 12, false);
    let answer = bench.post("/v1/completions", &[], &body);
    expect_eq!(
        answer.json()["choices"][0]["text"],
        json!(expected("ticket", 12))
    );
    expect_eq!(answer.outcome(), "answered");
}

#[gtest]
fn errors_with_an_event_when_no_engine_can_finish() {
    let bench = Bench::start();
    let engine = bench.upstream("engine-1", "assistant");
    engine.script(vec![Behaviour::CloseAfter(1); 40]);
    let answer = bench.stream("ticket", 100);
    expect_that!(answer.body, contains_substring("event: error\n"));
    expect_that!(answer.body, contains_substring("\"outcome\":\"unknown\""));
    expect_false!(answer.is_done());
}

/// Streams from an engine that is announced as reclaimed after some tokens, and returns the entry,
/// the engines and the handle of the state with which the stream was resumed.
fn stream_while_reclaimed(export: bool, in_ms: u64) -> (Bench, [Fake; 2], String) {
    let bench = Bench::start();
    let engines = ["engine-1", "engine-2"].map(|name| bench.upstream(name, "assistant"));
    for engine in &engines {
        engine.set_pace(Duration::from_millis(15));
        if export {
            engine.allow_exports();
        }
    }
    let mut caller = Caller::connect(bench.address);
    caller.send(
        "POST",
        "/v1/completions",
        &[],
        &completion("ticket", 100, true),
    );
    eventually("the stream", || {
        engines.iter().any(|engine| engine.open() > 0)
    });
    std::thread::sleep(Duration::from_millis(200));
    let source = engines
        .iter()
        .find(|engine| !engine.calls("/v1/completions").is_empty());
    let source = source.expect("one of the engines streams");
    bench.announce(
        source,
        "assistant",
        2,
        json!({"state": "reclaimed", "in_ms": in_ms}),
    );
    let answer = caller.receive();
    assert_eq!(answer.events().0, (1..=101).collect::<Vec<_>>());
    assert_eq!(answer.events().1, expected("ticket", 100));
    assert!(answer.is_done() && answer.complete);
    let target = engines.iter().find(|engine| engine.name != source.name);
    let resumed = target.unwrap().calls("/v1/completions")[0].json();
    assert!(resumed["resume_tokens"].as_array().unwrap().len() > 2);
    (
        bench,
        engines,
        resumed["kv_handle"].as_str().unwrap_or("").to_owned(),
    )
}

#[gtest]
fn can_move_a_stream_with_its_state_when_its_engine_is_reclaimed() {
    let (bench, _, handle) = stream_while_reclaimed(true, 800);
    expect_eq!(handle, "imported");
    expect_eq!(
        bench.metric("chervilloft_moves_total{cause=\"reclaimed\"}"),
        1.0
    );
    expect_eq!(
        bench.metric("chervilloft_recomputed_tokens_total{cause=\"reclaimed\"}"),
        0.0
    );
}

#[gtest]
fn can_move_a_stream_without_its_state_when_engines_do_not_export() {
    let (bench, _, handle) = stream_while_reclaimed(false, 800);
    expect_eq!(handle, "");
    expect_that!(
        bench.metric("chervilloft_recomputed_tokens_total{cause=\"reclaimed\"}"),
        gt(10.0)
    );
}

#[gtest]
fn can_move_a_stream_without_its_state_when_the_time_left_is_short() {
    let (_, engines, handle) = stream_while_reclaimed(true, 150);
    expect_eq!(handle, "");
    expect_true!(
        engines
            .iter()
            .all(|engine| engine.calls("/v1/kv/export").is_empty())
    );
}

#[gtest]
fn keeps_a_stream_that_ends_in_time_at_its_engine() {
    let bench = Bench::start();
    let engines = ["engine-1", "engine-2"].map(|name| bench.upstream(name, "assistant"));
    for engine in &engines {
        engine.set_pace(Duration::from_millis(10));
    }
    let mut caller = Caller::connect(bench.address);
    caller.send(
        "POST",
        "/v1/completions",
        &[],
        &completion("ticket", 60, true),
    );
    eventually("the stream", || {
        engines.iter().any(|engine| engine.open() > 0)
    });
    std::thread::sleep(Duration::from_millis(150));
    for engine in &engines {
        let state = json!({"state": "reclaimed", "in_ms": 20_000});
        bench.announce(engine, "assistant", 2, state);
    }
    let answer = caller.receive();
    expect_eq!(answer.events().1, expected("ticket", 60));
    expect_eq!(
        bench.metric("chervilloft_moves_total{cause=\"reclaimed\"}"),
        0.0
    );
}

#[gtest]
fn can_move_a_stream_again_when_its_target_is_reclaimed_too() {
    let bench = Bench::start();
    let engines = ["engine-1", "engine-2"].map(|name| bench.upstream(name, "assistant"));
    for engine in &engines {
        engine.set_pace(Duration::from_millis(10));
        engine.allow_exports();
    }
    let mut caller = Caller::connect(bench.address);
    caller.send(
        "POST",
        "/v1/completions",
        &[],
        &completion("ticket", 150, true),
    );
    eventually("the stream", || {
        engines.iter().any(|engine| engine.open() > 0)
    });
    std::thread::sleep(Duration::from_millis(100));
    let state = json!({"state": "reclaimed", "in_ms": 600});
    let streaming = |engine: &Fake| !engine.calls("/v1/completions").is_empty();
    let source = engines.iter().position(streaming).unwrap();
    bench.announce(&engines[source], "assistant", 2, state.clone());
    std::thread::sleep(Duration::from_millis(10));
    bench.announce(&engines[1 - source], "assistant", 2, state);
    let replacement = bench.upstream("engine-3", "assistant");
    let answer = caller.receive();
    expect_eq!(answer.events().1, expected("ticket", 150));
    expect_true!(answer.is_done() && answer.complete);
    expect_false!(replacement.calls("/v1/completions").is_empty());
}

#[gtest]
fn can_wait_for_a_replacement_when_the_only_engine_fails() {
    let bench = Bench::start();
    let only = bench.upstream("engine-1", "assistant");
    only.script([Behaviour::CloseAfter(5)]);
    let mut caller = Caller::connect(bench.address);
    caller.send(
        "POST",
        "/v1/completions",
        &[],
        &completion("ticket", 12, true),
    );
    eventually("the stream", || !only.calls("/v1/completions").is_empty());
    bench.announce(&only, "assistant", 2, json!({"state": "leaving"}));
    std::thread::sleep(Duration::from_millis(300));
    bench.upstream("engine-2", "assistant");
    let answer = caller.receive();
    expect_eq!(answer.events().1, expected("ticket", 12));
}

#[gtest]
fn can_move_every_accepted_request_of_an_engine_that_fails() {
    /// More than the retry budget covers, and fewer than an engine is sent at once.
    const REQUESTS: usize = 30;
    let bench = Bench::start();
    let engine = bench.upstream("engine-1", "assistant");
    let failing = Behaviour::NoAnswerAfter(Duration::from_millis(500));
    engine.script(vec![failing; REQUESTS]);
    let incomplete: Vec<String> = std::thread::scope(|scope| {
        let call = |number: usize| {
            let bench = &bench;
            move || {
                let prompt = format!("p{number}-");
                let answer = bench.stream(&prompt, 4);
                let complete = answer.is_done() && answer.events().1 == expected(&prompt, 4);
                (!complete).then_some(answer.body)
            }
        };
        let calls: Vec<_> = (0..REQUESTS).map(|n| scope.spawn(call(n))).collect();
        eventually("all requests", || {
            engine.calls("/v1/completions").len() >= REQUESTS
        });
        bench.upstream("engine-2", "assistant");
        calls
            .into_iter()
            .filter_map(|call| call.join().unwrap())
            .collect()
    });
    expect_that!(incomplete, is_empty());
}

#[gtest]
fn moves_each_stream_only_to_the_software_version_that_began_it() {
    let bench = Bench::start();
    let versions = ["v1", "v2", "v1", "v2"];
    let engines: Vec<Fake> = versions
        .iter()
        .enumerate()
        .map(|(number, version)| bench.engine_at(&format!("engine-{number}"), version))
        .collect();
    for turn in 0..8 {
        for engine in &engines {
            engine.script([Behaviour::CloseAfter(5)]);
        }
        let prompt = format!("ticket{turn}");
        let answer = bench.stream(&prompt, 12);
        expect_eq!(answer.events().1, expected(&prompt, 12));
        let calls = |engine: &Fake| {
            let calls = engine.calls("/v1/completions").into_iter();
            calls
                .filter(|call| call.json()["prompt"] == json!(prompt))
                .count()
        };
        let mut used: Vec<&str> = Vec::new();
        for (engine, version) in engines.iter().zip(versions) {
            used.extend(std::iter::repeat_n(version, calls(engine)));
        }
        expect_that!(used.len(), ge(2));
        expect_that!(used, each(eq(&used[0])));
    }
}

#[gtest]
fn never_continues_a_stream_at_another_software_version() {
    let bench = Bench::start();
    let engines = ["v1", "v2"].map(|version| bench.engine_at(version, version));
    for engine in &engines {
        engine.script([Behaviour::CloseAfter(5), Behaviour::CloseAfter(1)]);
    }
    let answer = bench.stream("ticket", 12);
    let calls = engines.map(|engine| engine.calls("/v1/completions").len());
    expect_that!(calls, contains(eq(0)));
    // The engine that began the stream serves on, so that it is tried again.
    expect_eq!(answer.events().1, expected("ticket", 12));
}
