//! The number of engines that a load needs.

use std::time::Duration;

use crate::Model;

/// Share of its time for which an engine computes prompts, up to which it serves well: requests are
/// not spread evenly over the engines.
const MAX_PREFILL_SHARE: f64 = 0.8;
/// Share of the places of an engine's batch that may be taken on average.
const MAX_BATCH_SHARE: f64 = 0.85;
/// Ratio of the wait that 95% of the requests stay below to the average one, for waits that are
/// distributed exponentially.
const P95_PER_MEAN: f64 = 3.0;
/// Ratio of the longest pause of a stream to the average one, while other prompts are computed.
const LONGEST_PER_MEAN_PAUSE: f64 = 4.0;
/// Share of the longest wait that is left for queueing where an engine at rest is hardly in time, or
/// late: further engines make it no faster.
const MIN_WAIT_SHARE: f64 = 0.25;
/// Ratio of the pauses of a busy engine to those of one at rest that is accepted where the latter
/// are hardly in time, or late.
const MIN_PAUSE_RATIO: f64 = 2.0;
/// Load for which there is room without a further engine, relative to the present one. Another engine
/// serves only after its boot time, and until then a burst, and the prompts of engines that are
/// lost, are served by the others.
const HEADROOM: f64 = 2.0;
/// Most engines that are considered.
const MAX_COUNT: u32 = 4_096;

/// The load of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests of callers per second.
    pub requests_per_second: f64,
    /// Tokens of their prompts per second, cached or not.
    pub prompt_tokens_per_second: f64,
    /// Engines that served them while the model was learned.
    pub instances: u32,
}

/// What a service has to keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Time to the first event.
    pub first_event: Duration,
    /// Longest pause between two events; zero for no limit.
    pub pause: Duration,
    /// Requests that an engine runs at the same time.
    pub batch: u32,
}

/// Numbers of engines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sizing {
    /// Fewest engines with which the load is served in time.
    pub sufficient: u32,
    /// Fewest engines that compute all prompts while none of them is cached.
    pub cold: u32,
    /// Engines with which a usual rise of the load is served in time as well; not less than the others.
    pub comfortable: u32,
}

impl Sizing {
    /// Returns the engines that `load` needs.
    pub fn new(model: &Model, load: Load, objective: &Objective) -> Self {
        let engine = Engine::new(model, load);
        let raised = load.requests_per_second * HEADROOM;
        let cold = cold_count(model, load);
        Sizing {
            sufficient: engine.fewest(load.requests_per_second, objective),
            cold,
            comfortable: engine.fewest(raised, objective).max(cold),
        }
    }

    /// Returns the fewest engines with which the load is served in time when the share `lost` of all
    /// caches is lost, between 0 and 1.
    pub fn sufficient_without(&self, lost: f64) -> u32 {
        let further = self.cold.saturating_sub(self.sufficient);
        self.sufficient + (f64::from(further) * lost.clamp(0.0, 1.0)).ceil() as u32
    }

    /// Returns the larger number of each.
    pub fn max(self, other: Sizing) -> Sizing {
        Sizing {
            sufficient: self.sufficient.max(other.sufficient),
            cold: self.cold.max(other.cold),
            comfortable: self.comfortable.max(other.comfortable),
        }
    }
}

/// Returns the engines that compute the prompts of `load` while none of them is cached.
fn cold_count(model: &Model, load: Load) -> u32 {
    let tokens_per_ms = load.prompt_tokens_per_second / 1_000.0;
    let busy = tokens_per_ms * model.prefill_ms_per_token;
    (busy / MAX_PREFILL_SHARE).ceil().min(f64::from(MAX_COUNT)) as u32
}

/// An engine and the average request.
struct Engine<'a> {
    model: &'a Model,
    /// Time between two events of a request that is alone, while no prompt is computed.
    event_ms: f64,
    /// What each further request adds to it.
    event_ms_per_request: f64,
}

impl<'a> Engine<'a> {
    /// Takes the time for prompts, during which no events are made, out of the times between events.
    fn new(model: &'a Model, load: Load) -> Self {
        let prefill =
            load.requests_per_second / 1_000.0 * model.tokens * model.prefill_ms_per_token;
        let prefill_share = prefill / f64::from(load.instances.max(1));
        let idle = 1.0 - prefill_share.min(MAX_PREFILL_SHARE);
        Engine {
            model,
            event_ms: model.event_ms * idle,
            event_ms_per_request: model.event_ms_per_request * idle,
        }
    }

    /// Returns the fewest engines that serve `requests_per_second` in time.
    fn fewest(&self, requests_per_second: f64, objective: &Objective) -> u32 {
        let serves = |count: &u32| {
            let per_engine = requests_per_second / f64::from(*count);
            self.serves(per_engine / 1_000.0, objective)
        };
        (1..MAX_COUNT).find(serves).unwrap_or(MAX_COUNT)
    }

    /// Reports whether an engine serves `rate` requests per millisecond in time.
    fn serves(&self, rate: f64, objective: &Objective) -> bool {
        let model = self.model;
        let prefill_ms = model.tokens * model.prefill_ms_per_token;
        let prefill_share = rate * prefill_ms;
        if prefill_share > MAX_PREFILL_SHARE {
            return false;
        }
        let idle = 1.0 - prefill_share;
        let prefill_ms_squared = model.tokens_squared * model.prefill_ms_per_token.powi(2);
        // Pollaczek-Khinchine formula.
        let wait_ms = rate * prefill_ms_squared / (2.0 * idle);
        let Some(batch) = self.batch(rate, idle, wait_ms) else {
            return false;
        };
        P95_PER_MEAN * wait_ms <= self.longest_wait_ms(objective)
            && batch <= f64::from(objective.batch) * MAX_BATCH_SHARE
            && self.pause_ms(batch, idle) <= self.longest_pause_ms(objective)
    }

    /// Returns the time that a request may wait for others, in milliseconds.
    fn longest_wait_ms(&self, objective: &Objective) -> f64 {
        let target = millis(objective.first_event);
        let at_rest = self.model.first_event(self.model.tokens_p95);
        (target - at_rest).max(target * MIN_WAIT_SHARE)
    }

    /// Returns the time between two events that is accepted on average, in milliseconds.
    fn longest_pause_ms(&self, objective: &Objective) -> f64 {
        match objective.pause {
            Duration::ZERO => f64::INFINITY,
            pause => {
                let at_rest = self.event_ms * MIN_PAUSE_RATIO;
                at_rest.max(millis(pause) / LONGEST_PER_MEAN_PAUSE)
            }
        }
    }

    /// Returns the average number of requests at an engine, by Little's law: their number follows
    /// from the time that they take, which grows with their number. `None` if it grows without end.
    fn batch(&self, rate: f64, idle: f64, wait_ms: f64) -> Option<f64> {
        let model = self.model;
        let growth = rate * model.events * self.event_ms_per_request / idle;
        if growth >= 1.0 {
            return None;
        }
        let alone = self.event_ms - self.event_ms_per_request;
        let first_ms = model.first_event(model.tokens) + wait_ms;
        let time = first_ms + model.events * alone.max(0.0) / idle;
        Some(rate * time / (1.0 - growth))
    }

    /// Returns the average time between two events of a request in a batch, in milliseconds.
    fn pause_ms(&self, batch: f64, idle: f64) -> f64 {
        let others = (batch - 1.0).max(0.0);
        (self.event_ms + others * self.event_ms_per_request) / idle
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
