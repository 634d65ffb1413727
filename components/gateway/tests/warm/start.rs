//! Engines that have just started.

use std::net::SocketAddr;

use config::ids::UpstreamId;
use gateway::balancer::{Outcome, Settings};
use googletest::prelude::*;
use indexmap::IndexMap;

use crate::group::{Group, OWN_TOKENS, SHARED_TOKENS};

#[test]
fn counts_shared_parts_as_cold_after_a_start_and_as_cached_later() {
    let mut group = Group::new(1, 9);
    let cold = group.ask(0, 1).uncached_tokens;
    group.pass(40_000);
    let warm = group.ask(0, 2).uncached_tokens;
    assert_that!(cold, gt(OWN_TOKENS + SHARED_TOKENS / 2));
    assert_that!(warm, eq(OWN_TOKENS));
}

#[test]
fn counts_a_part_as_cached_that_it_has_just_sent() {
    let mut group = Group::new(1, 9);
    let first = group.send(0, 1);
    let second = group.send(0, 1);
    assert_that!(second.upstream, eq(&first.upstream));
    assert_that!(second.uncached_tokens, eq(OWN_TOKENS));
}

#[test]
fn keeps_the_homes_of_engines_that_start_together() {
    // Ramped up one after the other, each home would move several times, and each part with it.
    let mut group = Group::new(2, 20);
    let first: Vec<_> = (1..60).map(|part| group.ask(0, part).upstream).collect();
    group.pass(5_000);
    let later: Vec<_> = (1..60).map(|part| group.ask(1, part).upstream).collect();
    assert_that!(first, eq(&later));
}

/// Guards against a queue that counts one cold part once for each entry which has not sent it yet.
#[test]
fn reports_no_cold_parts_as_queued_to_other_entries() {
    let mut group = Group::new(2, 9);
    let first = group.send(0, 1);
    let reported = group.entry(0).report();
    let tokens = reported.iter().map(|(_, work)| work.prefill_tokens);
    assert_that!(first.cold_tokens, gt(SHARED_TOKENS / 2));
    assert_that!(tokens.sum::<u32>(), eq(OWN_TOKENS));
    // The entry that sent it knows that the engine computes it.
    let second = group.send(0, 1);
    assert_that!(second.upstream, eq(&first.upstream));
    assert_that!(second.queued_tokens, eq(first.uncached_tokens));
    group.finish(0, &first, Outcome::Answered);
    let third = group.send(0, 1);
    assert_that!(third.queued_tokens, eq(OWN_TOKENS));
}

#[test]
fn spreads_cold_prompts_over_the_engines() {
    let mut group = Group::new(1, 10);
    let mut tokens: IndexMap<UpstreamId, u32> = IndexMap::new();
    for part in 1..=60 {
        let choice = group.send(0, part);
        *tokens.entry(choice.upstream).or_default() += choice.uncached_tokens;
    }
    let mean = tokens.values().sum::<u32>() / 10;
    assert_that!(tokens.len(), eq(10));
    assert_that!(tokens.values().max(), some(le(&(mean * 2))));
}

#[test]
fn moves_homes_to_new_engines_gradually_and_lets_them_fetch_from_the_former_ones() {
    let settings = Settings {
        second_place_interval: 0,
        ..Settings::default()
    };
    let mut group = Group::with_settings(2, 9, &settings);
    group.pass(40_000);
    let former: Vec<SocketAddr> = (1..200).map(|part| group.ask(0, part).address).collect();
    let new = group.add(50);
    let mut counts = Vec::new();
    for _ in 0..3 {
        let mut count = 0;
        for (part, former) in (1..200).zip(&former) {
            let choice = group.ask(1, part);
            if choice.address == new {
                count += 1;
                assert_that!(choice.fetch_from, some(eq(*former)), "part {part}");
                // What is fetched is not counted as computed.
                assert_that!(choice.uncached_tokens, eq(OWN_TOKENS), "part {part}");
            } else {
                assert_that!(choice.address, eq(*former), "part {part}");
            }
        }
        counts.push(count);
        group.pass(5_500);
    }
    assert_that!(counts[0], le(4));
    assert_that!(counts[1], gt(counts[0]));
    assert_that!(counts[2], gt(counts[1]));
    assert_that!(counts[2], ge(10));
}
