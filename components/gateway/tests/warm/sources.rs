//! The engine that is named as the source of a fetch.

use std::slice::from_ref;

use gateway::balancer::Outcome;
use googletest::prelude::*;

use crate::group::Group;

/// Time after which engines that started together count as warm.
const SETTLED_MS: u64 = 40_000;

#[test]
fn names_no_source_while_no_engine_has_anything() {
    let mut group = Group::new(1, 9);
    for part in 1..50 {
        assert_that!(group.ask(0, part).fetch_from, none(), "part {part}");
    }
}

#[test]
fn never_names_an_engine_that_has_just_started() {
    // By the highest weight alone, a tenth of the parts would be fetched from the new one.
    let mut group = Group::new(1, 9);
    group.pass(SETTLED_MS);
    let new = group.add(50);
    for part in 1..200 {
        let choice = group.ask(0, part);
        assert_that!(choice.fetch_from, not(some(eq(new))), "part {part}");
    }
}

#[test]
fn fetches_from_a_leaving_home_until_it_is_gone() {
    let mut group = Group::new(2, 9);
    group.pass(SETTLED_MS);
    let home = group.ask(0, 1);
    group.reclaim(&home.upstream, 2_000);
    group.pass(500);
    // The second entry has never sent the part, and names the same engine.
    for entry in 0..2 {
        let next = group.ask(entry, 1);
        assert_that!(next.upstream, not(eq(&home.upstream)));
        assert_that!(next.fetch_from, some(eq(home.address)));
    }
    group.pass(2_000);
    for entry in 0..2 {
        let next = group.ask(entry, 1);
        assert_that!(next.fetch_from, not(some(eq(home.address))));
    }
}

#[test]
fn agrees_on_the_new_home_and_on_its_source_when_a_data_centre_leaves() {
    let mut group = Group::new(3, 16);
    group.pass(SETTLED_MS);
    let homes: Vec<_> = (1..100).map(|part| group.ask(0, part)).collect();
    for number in [1, 5, 9, 13] {
        group.reclaim(&format!("e{number}"), 2_000);
    }
    group.pass(1_000);
    for (part, home) in (1..100).zip(homes) {
        let is_leaving = group.place(&home.upstream) == "dc1";
        let first = group.ask(1, part);
        let second = group.ask(2, part);
        assert_that!(first.upstream, eq(&second.upstream), "part {part}");
        assert_that!(first.fetch_from, eq(second.fetch_from), "part {part}");
        assert_that!(first.uncached_tokens, eq(second.uncached_tokens));
        if is_leaving {
            assert_that!(first.fetch_from, some(eq(home.address)), "part {part}");
        }
    }
}

#[test]
fn does_not_name_a_home_that_has_failed() {
    let mut group = Group::new(1, 9);
    group.pass(SETTLED_MS);
    let home = group.send(0, 1);
    group.finish(0, &home, Outcome::Unreachable);
    let next = group.ask(0, 1);
    assert_that!(next.upstream, not(eq(&home.upstream)));
    assert_that!(next.fetch_from, not(some(eq(home.address))));
}

#[test]
fn keeps_a_failed_home_in_mind_until_it_answers() {
    // Without that, the new home counts as cold again whenever an ejection of the former one ends.
    let mut group = Group::new(1, 9);
    group.pass(SETTLED_MS);
    let home = group.send(0, 1);
    group.finish(0, &home, Outcome::Unreachable);
    group.pass(5_000);
    let excluded = [home.upstream];
    let next = group.ask_except(0, 1, &excluded);
    let later = group.ask_except(0, 1, &excluded);
    assert_that!(next.uncached_tokens, lt(6_000));
    assert_that!(later.uncached_tokens, le(next.uncached_tokens));
}

#[test]
fn prefers_an_engine_that_is_known_to_have_the_parts() {
    let mut group = Group::new(1, 9);
    group.pass(SETTLED_MS);
    let home = group.ask(0, 1);
    let second = group.ask_except(0, 1, from_ref(&home.upstream));
    let others = [home.upstream.clone(), second.upstream.clone()];
    let third = group.ask_except(0, 2, &others);
    group.pass(1_000);
    let engines = [third.upstream.clone()];
    let next = group.ask_except(0, 2, &engines);
    assert_that!(next.fetch_from, some(eq(third.address)));
}

#[test]
fn does_not_name_an_engine_that_is_still_computing_the_parts() {
    let mut group = Group::new(1, 9);
    let first = group.send(0, 1);
    let next = group.send_except(0, 1, from_ref(&first.upstream));
    assert_that!(next.fetch_from, none());
    group.pass(1_000);
    let excluded = [first.upstream.clone(), next.upstream.clone()];
    let later = group.send_except(0, 1, &excluded);
    let source = later.fetch_from.expect("two engines have the part");
    assert_that!([first.address, next.address].contains(&source), eq(true));
}

#[test]
fn forgets_what_it_sent_to_an_engine_that_has_restarted() {
    let mut group = Group::new(1, 9);
    group.pass(SETTLED_MS);
    let home = group.ask(0, 1);
    group.change(&home.upstream, |announcement| announcement.incarnation = 2);
    group.pass(1_000);
    let next = group.ask_except(0, 1, from_ref(&home.upstream));
    assert_that!(next.fetch_from, not(some(eq(home.address))));
}

#[test]
fn counts_engines_as_warm_while_the_entry_is_cut_off() {
    // Without a lease all engines would count as gone, and every part as cold.
    let mut group = Group::new(1, 9);
    group.pass(SETTLED_MS);
    let before = group.ask(0, 1);
    group.pass_in_silence(30_000);
    let after = group.ask(0, 1);
    assert_that!(after.upstream, eq(&before.upstream));
    assert_that!(after.uncached_tokens, le(before.uncached_tokens));
}

#[test]
fn forgets_what_an_engine_refused_to_take() {
    let mut group = Group::new(1, 9);
    group.pass(SETTLED_MS);
    let home = group.ask(0, 1);
    let refused = group.send_except(0, 1, from_ref(&home.upstream));
    group.finish(0, &refused, Outcome::Refused);
    group.pass(2_000);
    let excluded = [home.upstream.clone(), refused.upstream.clone()];
    let next = group.ask_except(0, 1, &excluded);
    assert_that!(next.fetch_from, some(eq(home.address)));
    assert_that!(
        next.reason.as_str(),
        ends_with(format!("source {} known", home.address))
    );
}
