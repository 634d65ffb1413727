//! The division of one account's limit among the entries.

use std::time::{Duration, Instant};

use config::ids::NodeId;
use googletest::prelude::*;
use limits::{Decision, Division, Headroom, Holding, Rate, SlidingWindow, Statement};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const SEED: u64 = 0x5eed_0021;
const WINDOW: Duration = Duration::from_secs(8);
const RATE: Rate = Rate {
    per_second: 100_000.0,
    burst: 100_000.0,
};
const ENTRIES: usize = 5;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn node(entry: usize) -> NodeId {
    format!("entry-{entry}").into()
}

/// What happens next at one entry.
#[derive(Clone, Copy, Debug)]
enum Event {
    Request(u64),
    Statement,
    /// The leader gets the statement, and its answer is lost.
    LostAnswer,
    /// The leader is replaced; the entries go on.
    NewLeader,
}

fn events() -> impl Strategy<Value = Vec<(usize, Event, u64)>> {
    let event = prop_oneof![
        8 => (1_000..60_000_u64).prop_map(Event::Request),
        4 => Just(Event::Statement),
        2 => Just(Event::LostAnswer),
        1 => Just(Event::NewLeader),
    ];
    proptest::collection::vec((0..ENTRIES, event, 0..400_u64), 1..300)
}

/// An entry, and the number of its newest statement.
#[derive(Default)]
struct Entry {
    holding: Holding,
    number: u64,
}

/// Sends a statement, and returns the allotment that the leader answers with.
fn state(
    division: &mut Division,
    entry: &mut Entry,
    index: usize,
    wanted: u64,
    now: Instant,
) -> f64 {
    entry.number += 1;
    let statement = entry.holding.statement(wanted, now);
    let allotment = division.divide(&node(index), 1, entry.number, statement, RATE, now);
    allotment.expect("statements arrive in order")
}

fn apply(entry: &mut Entry, allotment: f64, now: Instant) {
    let headroom = Headroom {
        available: f64::MAX,
        allotment,
    };
    entry.holding.apply(headroom, WINDOW, now);
}

/// Returns the most tokens admitted within any window.
fn largest_window(admitted: &[(Instant, u64)]) -> u64 {
    let within = |from: Instant| {
        let span = admitted
            .iter()
            .filter(|(at, _)| *at >= from && *at < from + WINDOW);
        span.map(|(_, tokens)| tokens).sum()
    };
    let sums = admitted.iter().map(|(at, _)| within(*at));
    sums.max().unwrap_or(0)
}

#[test]
fn never_exceeds_the_limit_whatever_answers_are_lost_and_however_often_the_leader_changes() {
    let mut runner = TestRunner::new(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    });
    let processes: Vec<_> = (0..ENTRIES).map(|entry| (node(entry), 1)).collect();
    let result = runner.run(&events(), |events| {
        let mut now = Instant::now();
        let mut division = Division::new(WINDOW);
        let mut entries: Vec<Entry> = (0..ENTRIES).map(|_| Entry::default()).collect();
        let mut admitted = Vec::new();
        for (index, event, pause) in events {
            now += ms(pause);
            let entry = &mut entries[index];
            match event {
                Event::Request(tokens) => {
                    let mut decision = entry.holding.take(tokens, RATE, now);
                    if decision == Decision::Draw {
                        let allotment = state(&mut division, entry, index, tokens, now);
                        apply(entry, allotment, now);
                        decision = entry.holding.take(tokens, RATE, now);
                    }
                    if decision == Decision::Admitted {
                        admitted.push((now, tokens));
                    }
                }
                Event::Statement => {
                    let allotment = state(&mut division, entry, index, 0, now);
                    apply(entry, allotment, now);
                }
                Event::LostAnswer => {
                    state(&mut division, entry, index, 0, now);
                }
                Event::NewLeader => {
                    // All entries state what they hold before the new leader stops learning.
                    let spent = SlidingWindow::at_steady_rate(RATE, WINDOW, now);
                    division = Division::taken_over(WINDOW, &processes, spent, RATE, now);
                    for (index, entry) in entries.iter_mut().enumerate() {
                        let allotment = state(&mut division, entry, index, 0, now);
                        apply(entry, allotment, now);
                    }
                }
            }
        }
        let largest = largest_window(&admitted) as f64;
        prop_assert!(largest <= RATE.within(WINDOW), "{largest} admitted");
        Ok(())
    });
    result.expect("no window exceeds the limit");
}

#[test]
fn ignores_a_statement_that_arrives_after_a_later_one() {
    let now = Instant::now();
    let mut division = Division::new(WINDOW);
    let statement = Statement::default();
    let mut divide = |number| division.divide(&node(0), 1, number, statement, RATE, now);
    assert_that!(divide(2), some(gt(0.0)));
    assert_that!(divide(1), none());
    assert_that!(divide(3), some(gt(0.0)));
}

#[test]
fn gives_an_entry_that_asks_what_the_others_do_not_hold() {
    let now = Instant::now();
    let mut division = Division::new(WINDOW);
    let mut allotments = [0; 10];
    for (round, entry) in (1..4).flat_map(|round| (0..10).map(move |entry| (round, entry))) {
        let statement = Statement {
            allotment: allotments[entry],
            ..Statement::default()
        };
        let allotment = division.divide(&node(entry), 1, round, statement, RATE, now);
        allotments[entry] = allotment.unwrap_or_default() as u64;
    }
    let wanted = Statement {
        allotment: allotments[9],
        wanted: 200_000,
        ..Statement::default()
    };
    let allotment = division.divide(&node(9), 1, 4, wanted, RATE, now);
    assert_that!(allotment, some(ge(200_000.0)));
}

#[test]
fn keeps_the_part_of_an_entry_that_is_silent() {
    let now = Instant::now();
    let mut division = Division::new(WINDOW);
    let all = Statement {
        wanted: 500_000,
        ..Statement::default()
    };
    let silent = division.divide(&node(0), 1, 1, all, RATE, now);
    let later = now + ms(30_000);
    let greedy = Statement {
        wanted: 900_000,
        ..Statement::default()
    };
    let rest = division.divide(&node(1), 1, 1, greedy, RATE, later);
    let sum = silent.zip(rest).map(|(silent, rest)| silent + rest);
    assert_that!(sum, some(le(RATE.within(WINDOW))));
    let much_later = later + limits::ALLOTMENT_RETENTION;
    let rest = division.divide(&node(1), 1, 2, greedy, RATE, much_later);
    assert_that!(rest, some(near(RATE.within(WINDOW), 1.0)));
}

#[test]
fn counts_the_part_of_a_restarted_entry_as_spent_for_one_window() {
    let now = Instant::now();
    let mut division = Division::new(WINDOW);
    let all = Statement {
        wanted: 900_000,
        ..Statement::default()
    };
    let before = division.divide(&node(0), 1, 1, all, RATE, now);
    assert_that!(before, some(near(RATE.within(WINDOW), 1.0)));
    let after = division.divide(&node(0), 2, 1, all, RATE, now + ms(1_000));
    assert_that!(after, some(near(0.0, 1.0)));
    let later = division.divide(&node(0), 2, 2, all, RATE, now + ms(10_000));
    assert_that!(later, some(near(RATE.within(WINDOW), 1.0)));
}

#[test]
fn admits_a_request_larger_than_the_burst_when_nothing_was_spent() {
    let now = Instant::now();
    let mut division = Division::new(WINDOW);
    let mut entry = Entry::default();
    let allotment = state(&mut division, &mut entry, 0, 300_000, now);
    let headroom = Headroom {
        available: RATE.burst,
        allotment,
    };
    entry.holding.apply(headroom, WINDOW, now);
    let decision = entry.holding.take(300_000, RATE, now);
    assert_that!(decision, eq(Decision::Admitted));
}
