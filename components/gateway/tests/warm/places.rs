//! The second place of a part.

use gateway::balancer::{Outcome, Settings};
use googletest::prelude::*;
use indexmap::IndexMap;

use crate::group::{Group, OWN_TOKENS, SHARED_TOKENS};

const SETTLED_MS: u64 = 40_000;
const PROMPTS: u32 = 640;

/// Sends prompts of one part, and returns how many each engine got, most first.
fn engines_of(group: &mut Group, entry: usize, part: u64) -> Vec<(String, u32)> {
    let mut counts: IndexMap<String, u32> = IndexMap::new();
    for _ in 0..PROMPTS {
        let choice = group.ask(entry, part);
        *counts.entry(choice.upstream.to_string()).or_default() += 1;
        group.pass(20);
    }
    counts.sort_by(|_, a, _, b| b.cmp(a));
    counts.into_iter().collect()
}

#[test]
fn sends_a_small_part_of_the_prompts_to_one_engine_in_another_data_centre() {
    let mut group = Group::new(2, 16);
    group.pass(SETTLED_MS);
    for part in 1..6 {
        let at_first = engines_of(&mut group, 0, part);
        let at_second = engines_of(&mut group, 1, part);
        let names = |engines: &[(String, u32)]| -> Vec<String> {
            engines.iter().map(|(name, _)| name.clone()).collect()
        };
        assert_that!(names(&at_first), eq(&names(&at_second)), "part {part}");
        assert_that!(at_first.len(), eq(2), "{at_first:?}");
        assert_that!(at_first[1].1, ge(PROMPTS / 40));
        assert_that!(at_first[1].1, le(PROMPTS / 8));
        let (home, second) = (group.place(&at_first[0].0), group.place(&at_first[1].0));
        assert_that!(home, not(eq(second)));
    }
}

#[test]
fn keeps_the_second_place_in_the_same_data_centre_where_traffic_is_dear() {
    let settings = Settings {
        remote_fetch_is_dear: true,
        ..Settings::default()
    };
    let mut group = Group::with_settings(1, 16, &settings);
    group.pass(SETTLED_MS);
    for part in 1..6 {
        let engines = engines_of(&mut group, 0, part);
        assert_that!(engines.len(), eq(2), "{engines:?}");
        assert_that!(group.place(&engines[0].0), eq(group.place(&engines[1].0)));
    }
}

#[test]
fn has_no_second_place_for_parts_that_are_used_rarely() {
    // Each prompt there would copy a part that hardly anybody asks for.
    let mut group = Group::new(1, 16);
    group.pass(SETTLED_MS);
    let _ = group.entry(0).take_tally();
    for part in 1..200 {
        group.ask(0, part);
    }
    assert_that!(group.entry(0).take_tally().second_places, eq(0));
}

#[test]
fn finds_the_parts_at_the_second_place_after_a_crash_of_the_home() {
    for part in 1..20 {
        let mut group = Group::new(2, 16);
        group.pass(SETTLED_MS);
        let engines = engines_of(&mut group, 0, part);
        let home = group.send(1, part);
        assert_that!(home.upstream, eq(engines[0].0.as_str()));
        group.finish(1, &home, Outcome::Unreachable);
        // The second entry knows nothing but that the home is gone.
        let next = group.ask(1, part);
        assert_that!(next.uncached_tokens, le(OWN_TOKENS + SHARED_TOKENS / 2));
        if next.upstream != engines[1].0.as_str() {
            let second = group.address(&engines[1].0);
            assert_that!(next.fetch_from, some(eq(second)), "part {part}");
        }
    }
}

#[test]
fn passes_over_a_second_place_that_is_busier() {
    // With its share sent there regardless, 2.5% of the requests of a busy fleet were late.
    let mut group = Group::new(1, 16);
    group.pass(SETTLED_MS);
    let engines = engines_of(&mut group, 0, 1);
    let second = &engines[1].0;
    let others: Vec<_> = (0..16).map(|number| format!("e{number}")).collect();
    let others = others.iter().filter(|name| *name != second);
    let others: Vec<_> = others.map(|name| name.as_str().into()).collect();
    for part in 100..120 {
        group.send_except(0, part, &others);
    }
    let later = engines_of(&mut group, 0, 1);
    assert_that!(later.len(), eq(1), "{later:?}");
}
