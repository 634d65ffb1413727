//! The expected time to the first token at one upstream.

use std::time::Instant;

use config::text::{Kind, Priority};
use upstream::blocks::BLOCK_TOKENS;

use crate::Request;
use crate::candidate::Candidate;
use crate::table::Group;

/// Tokens of a typical answer, for the time until a place in a full batch is free.
const TYPICAL_ANSWER_TOKENS: f64 = 128.0;
/// Seconds that a plain service takes for a typical call.
const PLAIN_SECONDS: f64 = 0.05;
/// Share of a prefix that is counted as cached while the index is uncertain.
const UNCERTAIN_SHARE: f64 = 0.5;

/// Queue, relative to the expected one, with which a request is admitted: what other entries have
/// sent since the last report is not known.
const QUEUE_MARGIN: f64 = 2.0;
/// Work sent since the last report, relative to an entry's own, since others send alike.
const OTHERS: f64 = 2.0;
/// Share of the prefill rate at which a reported queue is taken to have shrunk since.
const DRAIN_SHARE: f64 = 0.5;

/// Parts of the expected time to the first token, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Estimate {
    pub(crate) queue: f64,
    pub(crate) prefill: f64,
    pub(crate) network: f64,
    pub(crate) cached_tokens: usize,
    /// Requests at the upstream relative to its batch.
    pub(crate) fill: f64,
}

impl Estimate {
    pub(crate) fn new(
        candidate: &Candidate,
        group: &Group,
        request: &Request<'_>,
        hint: usize,
        now: Instant,
    ) -> Self {
        let depth = candidate.tracker.prefixes.depth(request.blocks, hint);
        let held = match candidate.tracker.is_uncertain() {
            true => (depth as f64 * UNCERTAIN_SHARE) as usize,
            false => depth,
        };
        let cached_tokens = (held * BLOCK_TOKENS).min(request.prompt_tokens);
        let rate = candidate.capacity.prefill_tokens_per_second.max(1.0);
        let (queue, fill) = queue(candidate, group, now);
        Estimate {
            queue: queue * overtaking(request.priority),
            prefill: (request.prompt_tokens - cached_tokens) as f64 / rate,
            network: candidate.network,
            cached_tokens,
            fill,
        }
    }

    /// Returns a time within which the first token comes in most cases, in seconds.
    pub(crate) fn cautious_first_token(&self) -> f64 {
        self.queue * QUEUE_MARGIN + self.prefill + self.network
    }

    /// Returns the whole expected time, in seconds.
    pub(crate) fn first_token(&self) -> f64 {
        self.queue + self.prefill + self.network
    }
}

/// Returns the seconds until a new request is computed, and the fill of the batch.
fn queue(candidate: &Candidate, group: &Group, now: Instant) -> (f64, f64) {
    let own = candidate.tracker.recent.since(candidate.measured, now);
    let load = &candidate.load;
    let capacity = &candidate.capacity;
    let age = now
        .saturating_duration_since(candidate.measured)
        .as_secs_f64();
    let batch = f64::from(capacity.batch.max(1));
    let at_upstream = f64::from(load.running + load.waiting) + own.requests as f64 * OTHERS;
    let seconds_per_request = match group.kind {
        Kind::Model => TYPICAL_ANSWER_TOKENS / capacity.decode_tokens_per_second.max(1.0),
        Kind::Plain => PLAIN_SECONDS,
    };
    let beyond = (at_upstream + 1.0 - batch).max(0.0);
    let for_place = beyond * seconds_per_request / batch;
    let rate = capacity.prefill_tokens_per_second.max(1.0);
    let reported = (load.queued_prefill_tokens as f64 - age * rate * DRAIN_SHARE).max(0.0);
    let for_prefill = (reported + own.tokens as f64 * OTHERS) / rate;
    let late = candidate.tracker.lateness(now);
    let queue = (for_place + for_prefill + late).max(0.0);
    (queue, at_upstream / batch)
}

/// Returns the share of the queue that a request of this priority waits for.
fn overtaking(priority: Priority) -> f64 {
    match priority {
        Priority::High => 0.3,
        Priority::Normal => 1.0,
        Priority::Low => 1.5,
    }
}
