//! The prompts at one engine, which computes them in the order of arrival.

use std::time::Duration;

use gateway::balancer::Choice;

use crate::fleet::Fleet;

/// Simulated time between two looks at the engines.
pub(crate) const STEP: Duration = Duration::from_millis(10);
/// Time within which callers expect the first event.
pub(crate) const TARGET: Duration = Duration::from_millis(1_200);

/// Number of requests by outcome.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) on_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
}

impl Outcomes {
    /// Returns the number of all requests that are no longer waiting.
    pub(crate) fn all(&self) -> u32 {
        self.on_time + self.late + self.refused
    }
}

/// Requests at one engine whose prompts are not computed yet.
#[derive(Debug, Default)]
pub(crate) struct Queue(Vec<Waiting>);

#[derive(Debug)]
struct Waiting {
    entry: usize,
    choice: Choice,
    waited: Duration,
    /// Tokens still to be computed.
    tokens: u32,
}

impl Queue {
    /// Adds a request that `entry` sends.
    pub(crate) fn push(&mut self, entry: usize, choice: Choice) {
        self.0.push(Waiting {
            entry,
            tokens: choice.uncached_tokens,
            choice,
            waited: Duration::ZERO,
        });
    }

    /// Computes up to `budget` tokens, the work of one [`STEP`].
    pub(crate) fn compute(&mut self, mut budget: u32, fleet: &mut Fleet, outcomes: &mut Outcomes) {
        for waiting in &mut self.0 {
            waiting.waited += STEP;
        }
        while let Some(first) = self.0.first_mut() {
            let computed = budget.min(first.tokens);
            first.tokens -= computed;
            budget -= computed;
            if first.tokens > 0 {
                return;
            }
            match first.waited <= TARGET {
                true => outcomes.on_time += 1,
                false => outcomes.late += 1,
            }
            fleet.answer(first.entry, &first.choice, first.waited);
            self.0.remove(0);
        }
    }
}
