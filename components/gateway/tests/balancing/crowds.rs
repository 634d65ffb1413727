//! Many entries that know of each other's work only late: none of them may follow the others to the
//! engine that was the least loaded one a moment ago.

use std::time::Duration;

use gateway::admission;
use gateway::balancer::{Rates, Settings};
use googletest::prelude::*;
use indexmap::IndexMap;

use crate::fleet::Fleet;
use crate::queue::{Outcomes, Queue, STEP, TARGET};

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

/// What the entries hear from the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Leader {
    Answers,
    /// No report is answered from [`SILENCE_STEP`] on.
    FallsSilent,
}

/// Simulates `entries` entries before `engines` engines, which are busy for the share `busy` of their
/// time with the parts of prompts that are not shared.
///
/// Returns the outcomes, and how many requests were sent to another engine than their prompt's home.
fn simulate(entries: usize, engines: u16, busy: f64, leader: Leader) -> (Outcomes, u32) {
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
    let mut queues: IndexMap<String, Queue> = IndexMap::new();
    let (mut outcomes, mut away) = (Outcomes::default(), 0);
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
            queue.compute(TOKENS_PER_STEP, &mut fleet, &mut outcomes);
        }
        due += per_step;
        while due >= 1.0 {
            due -= 1.0;
            let entry = random(entries as u64) as usize;
            match fleet.choose_within(entry, random(SHARED_PARTS), max_wait) {
                Ok(choice) => {
                    away += u32::from(choice.reason.starts_with("not on the home"));
                    let queue = queues.entry(choice.upstream.to_string()).or_default();
                    queue.push(entry, choice);
                }
                Err(_) => outcomes.refused += 1,
            }
        }
    }
    (outcomes, away)
}

/// Checks that at most one request in `late` is not answered in time.
fn check(outcomes: &Outcomes, late: u32) {
    let all = outcomes.all();
    assert_that!(outcomes.on_time, ge(all - all / late), "{outcomes:?}");
}

#[test]
fn answers_in_time_however_many_entries_share_the_engines() {
    for (entries, engines) in [(10, 10), (50, 40), (200, 40), (200, 120)] {
        let (outcomes, away) = simulate(entries, engines, 0.75, Leader::Answers);
        check(&outcomes, 100);
        // Each request that is sent elsewhere moves or computes shared parts again.
        assert_that!(away, le(outcomes.all() / 4), "{outcomes:?}");
    }
}

#[test]
fn answers_in_time_while_the_leader_is_silent() {
    let (outcomes, _) = simulate(100, 60, 0.8, Leader::FallsSilent);
    check(&outcomes, 50);
}
