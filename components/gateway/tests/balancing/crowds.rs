//! Many entries that know of each other's work only late: none of them may follow the others to the
//! engine that was the least loaded one a moment ago.

use std::time::Duration;

use gateway::admission;
use gateway::balancer::{Choice, Rates, Settings};
use googletest::prelude::*;
use indexmap::IndexMap;

use crate::fleet::Fleet;

const TARGET: Duration = Duration::from_millis(1_200);
const STEP: Duration = Duration::from_millis(10);
/// Prompt tokens that an engine computes per step.
const TOKENS_PER_STEP: u32 = 600;
/// Steps between two exchanges of the entries' work.
const REPORT_STEPS: u32 = 25;
/// Steps between two announcements of the engines.
const ANNOUNCEMENT_STEPS: u32 = 100;
const STEPS: u32 = 1_500;
/// Step from which on a leader that falls silent answers no more, and steps until the entries take
/// what they know as too old.
const SILENCE_STEP: u32 = 750;
const AGING_STEPS: u32 = 100;
/// Shared parts that the prompts begin with.
const SHARED_PARTS: u64 = 1_500;

/// A request at an engine: entry, choice, time waited and tokens still to be computed.
struct Running {
    entry: usize,
    choice: Choice,
    waited: Duration,
    tokens: u32,
}

/// What callers got.
#[derive(Debug, Default)]
struct Outcomes {
    on_time: u32,
    late: u32,
    refused: u32,
    /// Requests that were sent to an engine other than the home of their prompt.
    away: u32,
}

/// What the entries hear from the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Leader {
    Answers,
    /// No report is answered from [`SILENCE_STEP`] on.
    FallsSilent,
}

/// Simulates `entries` entries before `engines` engines, which are busy for the share `busy` of their
/// time with the parts of prompts that are not shared.
fn simulate(entries: usize, engines: u16, busy: f64, leader: Leader) -> Outcomes {
    let rates = Rates {
        prefill_ms_per_token: STEP.as_millis() as f64 / f64::from(TOKENS_PER_STEP),
        ..Rates::default()
    };
    let settings = Settings {
        unknown_rates: rates,
        ..Settings::default()
    };
    let mut fleet = Fleet::with_settings(engines, entries, &settings);
    fleet.advance(Duration::from_secs(15));
    let mut queues: IndexMap<String, Vec<Running>> = IndexMap::new();
    let mut outcomes = Outcomes::default();
    let max_wait = admission::max_wait_for_rank(TARGET, 1);
    let per_step = f64::from(engines) * busy * f64::from(TOKENS_PER_STEP) / 3_700.0;
    let mut due = 0.0;
    // A linear congruential generator: the same requests on each run.
    let mut state = 1_u64;
    let mut random = |below: u64| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % below
    };
    for step in 0..STEPS {
        match step % ANNOUNCEMENT_STEPS {
            0 => fleet.advance(STEP),
            _ => fleet.pass(STEP),
        }
        let silent_steps = match leader {
            Leader::Answers => None,
            Leader::FallsSilent => step.checked_sub(SILENCE_STEP),
        };
        match silent_steps {
            None if step % REPORT_STEPS == 0 => fleet.report_all(),
            Some(AGING_STEPS) => fleet.even_out_work(),
            _ => {}
        }
        for queue in queues.values_mut() {
            compute_step(queue, &mut fleet, &mut outcomes);
        }
        due += per_step;
        while due >= 1.0 {
            due -= 1.0;
            let entry = random(entries as u64) as usize;
            match fleet.choose_within(entry, random(SHARED_PARTS), max_wait) {
                Ok(choice) => {
                    outcomes.away += u32::from(choice.reason.starts_with("not on the home"));
                    let queue = queues.entry(choice.upstream.to_string()).or_default();
                    queue.push(Running {
                        entry,
                        tokens: choice.uncached_tokens,
                        waited: Duration::ZERO,
                        choice,
                    });
                }
                Err(_) => outcomes.refused += 1,
            }
        }
    }
    outcomes
}

/// Computes the prompts of one engine for one step, in the order of arrival.
fn compute_step(queue: &mut Vec<Running>, fleet: &mut Fleet, outcomes: &mut Outcomes) {
    let mut budget = TOKENS_PER_STEP;
    for running in queue.iter_mut() {
        running.waited += STEP;
    }
    while let Some(running) = queue.first_mut() {
        let computed = budget.min(running.tokens);
        running.tokens -= computed;
        budget -= computed;
        if running.tokens > 0 {
            return;
        }
        match running.waited <= TARGET {
            true => outcomes.on_time += 1,
            false => outcomes.late += 1,
        }
        fleet.answer(running.entry, &running.choice, running.waited);
        queue.remove(0);
    }
}

/// Checks that at most one request in `late` is not answered in time.
fn check(outcomes: &Outcomes, late: u32) {
    let all = outcomes.on_time + outcomes.late + outcomes.refused;
    assert_that!(outcomes.on_time, ge(all - all / late), "{outcomes:?}");
}

#[test]
fn answers_in_time_however_many_entries_share_the_engines() {
    for (entries, engines) in [(10, 10), (50, 40), (200, 40), (200, 120)] {
        let outcomes = simulate(entries, engines, 0.75, Leader::Answers);
        check(&outcomes, 100);
        // Each request that is sent elsewhere moves or computes shared parts again.
        let all = outcomes.on_time + outcomes.late + outcomes.refused;
        assert_that!(outcomes.away, le(all / 4), "{outcomes:?}");
    }
}

#[test]
fn answers_in_time_while_the_leader_is_silent() {
    let outcomes = simulate(100, 60, 0.8, Leader::FallsSilent);
    check(&outcomes, 50);
}
