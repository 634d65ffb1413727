//! Simulation of one account's requests at all entries.

use std::time::{Duration, Instant};

use limits::Rate;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::fleet::Fleet;

const SEED: u64 = 0x5eed_0020;
/// Length of the window over which the limit applies.
pub(crate) const WINDOW: Duration = Duration::from_secs(8);
/// The account's limit in most scenarios.
pub(crate) const RATE: Rate = Rate {
    per_second: 500_000.0,
    burst: 500_000.0,
};
/// Time before the first request, in which entries and leader exchange reports.
const WARM_UP: Duration = Duration::from_secs(1);
/// Simulated time after that.
const LENGTH: Duration = Duration::from_secs(50);
const STEP: Duration = Duration::from_millis(10);
/// Number of steps between two reports of an entry, which is 250 ms.
const REPORT_STEPS: u32 = 25;
/// Smallest and largest number of tokens of a request.
const TOKENS: std::ops::Range<f64> = 2_000.0..32_000.0;

/// The requests of one account, and one fault.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) entries: usize,
    /// Requested tokens relative to the limit before `hot_at`.
    pub(crate) usual_load: f64,
    /// Requested tokens relative to the limit from `hot_at` on.
    pub(crate) hot_load: f64,
    pub(crate) hot_at: Duration,
    /// Fraction of the requests that reaches the first entry.
    pub(crate) skew: f64,
    pub(crate) fault: Fault,
    pub(crate) rate: Rate,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            entries: 10,
            usual_load: 0.0,
            hot_load: 0.0,
            hot_at: Duration::ZERO,
            skew: 0.0,
            fault: Fault::None,
            rate: RATE,
        }
    }
}

/// A fault of processes or links.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    None,
    /// The leader dies, and another one takes over after `gap`.
    NewLeader {
        at: Duration,
        gap: Duration,
    },
    /// The first entries can't reach the leader.
    Cut {
        share: f64,
        from: Duration,
        to: Duration,
    },
    /// All processes are killed and serve again after `gap`.
    Restart {
        at: Duration,
        gap: Duration,
    },
}

/// What all entries admitted together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    /// Largest excess over the limit in any window, relative to the limit of a window.
    pub(crate) excess: f64,
    /// Admitted part of the requested tokens.
    pub(crate) admitted: f64,
    /// Admitted part of what the rate yields, once the account is hot for a window.
    pub(crate) used: f64,
    /// Draws per second, beside the regular reports.
    pub(crate) draws: f64,
}

/// Plays a scenario.
pub(crate) fn run(scenario: &Scenario) -> Outcome {
    let mut rng = StdRng::seed_from_u64(SEED);
    let start = Instant::now() + WARM_UP;
    let mut fleet = Fleet::new(scenario.entries, scenario.rate, WINDOW, start - WARM_UP);
    warm_up(&mut fleet, scenario.entries, start - WARM_UP);
    let mut admitted: Vec<(Duration, f64)> = Vec::new();
    let mut requested = 0.0;
    let mut time = Duration::ZERO;
    while time < LENGTH {
        let now = start + time;
        apply_fault(&mut fleet, scenario, time, now);
        let step = (time.as_millis() / STEP.as_millis()) as u32;
        receive_answers(&mut fleet, step, scenario.entries, now);
        for entry in reporting(step, scenario.entries) {
            if is_connected(scenario, entry, time) {
                fleet.report(entry, now);
            }
        }
        let load = match time < scenario.hot_at {
            true => scenario.usual_load,
            false => scenario.hot_load,
        };
        let mean_tokens = (TOKENS.start + TOKENS.end) / 2.0;
        let expected = load * scenario.rate.per_second * STEP.as_secs_f64() / mean_tokens;
        let count = expected.floor() as u32 + u32::from(rng.random_bool(expected.fract()));
        for _ in 0..count {
            let tokens = rng.random_range(TOKENS).floor();
            let entry = match rng.random_bool(scenario.skew) {
                true => 0,
                false => rng.random_range(0..scenario.entries),
            };
            if is_down(scenario, time) {
                continue;
            }
            requested += tokens;
            let is_connected = is_connected(scenario, entry, time);
            if fleet.admit(entry, tokens as u64, is_connected, now) {
                admitted.push((time, tokens));
            }
        }
        time += STEP;
    }
    Outcome {
        draws: fleet.draws() as f64 / LENGTH.as_secs_f64(),
        ..outcome(scenario, &admitted, requested)
    }
}

fn warm_up(fleet: &mut Fleet, entries: usize, from: Instant) {
    let steps = (WARM_UP.as_millis() / STEP.as_millis()) as u32;
    for step in 0..steps {
        let now = from + STEP * step;
        receive_answers(fleet, step, entries, now);
        for entry in reporting(step, entries) {
            fleet.report(entry, now);
        }
    }
}

/// Returns the entries that report in a step, one after the other within each report period.
fn reporting(step: u32, entries: usize) -> impl Iterator<Item = usize> {
    let first = (step % REPORT_STEPS) as usize;
    (first..entries).step_by(REPORT_STEPS as usize)
}

/// Lets the entries that reported in the step before receive their answers.
fn receive_answers(fleet: &mut Fleet, step: u32, entries: usize, now: Instant) {
    for entry in reporting(step + REPORT_STEPS - 1, entries) {
        fleet.receive(entry, now);
    }
}

fn apply_fault(fleet: &mut Fleet, scenario: &Scenario, time: Duration, now: Instant) {
    match scenario.fault {
        Fault::NewLeader { at, gap } if time == at + gap => {
            fleet.replace_leader(fleet.incarnation(), now);
        }
        Fault::Restart { at, gap } if time == at + gap => {
            let former = fleet.restart_entries(now);
            fleet.replace_leader(former, now);
        }
        _ => {}
    }
}

fn is_connected(scenario: &Scenario, entry: usize, time: Duration) -> bool {
    match scenario.fault {
        Fault::None => true,
        Fault::NewLeader { at, gap } | Fault::Restart { at, gap } => time < at || time >= at + gap,
        Fault::Cut { share, from, to } => {
            let is_cut = (entry as f64) < share * scenario.entries as f64;
            !is_cut || time < from || time >= to
        }
    }
}

fn is_down(scenario: &Scenario, time: Duration) -> bool {
    matches!(scenario.fault, Fault::Restart { at, gap } if time >= at && time < at + gap)
}

fn outcome(scenario: &Scenario, admitted: &[(Duration, f64)], requested: f64) -> Outcome {
    let total: f64 = admitted.iter().map(|(_, tokens)| tokens).sum();
    let (mut first, mut sum, mut largest) = (0, 0.0, 0.0_f64);
    for (time, tokens) in admitted {
        sum += tokens;
        while admitted[first].0 + WINDOW <= *time {
            sum -= admitted[first].1;
            first += 1;
        }
        largest = largest.max(sum);
    }
    let from = scenario.hot_at + WINDOW;
    let late = admitted.iter().filter(|(time, _)| *time >= from);
    let late: f64 = late.map(|(_, tokens)| tokens).sum();
    Outcome {
        excess: (largest / scenario.rate.within(WINDOW) - 1.0).max(0.0),
        admitted: total / requested,
        used: late / (scenario.rate.per_second * (LENGTH - from).as_secs_f64()),
        draws: 0.0,
    }
}
