//! Estimates of the time to the first token at one upstream.

use std::time::Instant;

use config::text::{Kind, Priority};
use upstream::blocks::BLOCK_TOKENS;

use crate::Request;
use crate::candidate::Candidate;
use crate::table::Group;

/// Tokens of a typical answer, from which the wait for a place in a full batch is estimated.
const TYPICAL_ANSWER_TOKENS: f64 = 128.0;
/// Duration of a typical call to a plain service, in seconds.
const PLAIN_CALL_SECONDS: f64 = 0.05;
/// Share of an indexed prefix that counts as cached while the index may be stale.
const STALE_CACHED_SHARE: f64 = 0.5;

/// Safety factor on the expected queue in the admission check. The queue already contains the work
/// of other entries by [`UNREPORTED_WORK_FACTOR`], but that is only an assumption.
const QUEUE_MARGIN: f64 = 2.0;
/// Ratio of all work sent since the last report to this entry's own; other entries are assumed to
/// send similar work.
const UNREPORTED_WORK_FACTOR: f64 = 2.0;
/// Share of the prefill rate at which a reported queue is assumed to shrink after the report.
const QUEUE_DRAIN_SHARE: f64 = 0.5;

/// Expected time to the first token at one upstream, and what it was derived from.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Estimate {
    /// Time in the queue, in seconds.
    pub(crate) queue: f64,
    /// Time to compute the prompt tokens that are not cached, in seconds.
    pub(crate) prefill: f64,
    /// Round trip to the upstream, in seconds.
    pub(crate) round_trip: f64,
    /// Prompt tokens that are expected to be cached.
    pub(crate) cached_tokens: usize,
    /// Requests at the upstream relative to its batch size.
    pub(crate) fill: f64,
}

impl Estimate {
    /// Estimates `request` at `candidate`; `hint` is the number of blocks that are probably cached.
    pub(crate) fn new(
        candidate: &Candidate,
        group: &Group,
        request: &Request<'_>,
        hint: usize,
        now: Instant,
    ) -> Self {
        let depth = candidate.tracker.prefixes.depth(request.blocks, hint);
        let cached_blocks = match candidate.tracker.is_stale() {
            true => (depth as f64 * STALE_CACHED_SHARE) as usize,
            false => depth,
        };
        let cached_tokens = (cached_blocks * BLOCK_TOKENS).min(request.prompt_tokens);
        let rate = candidate.capacity.prefill_tokens_per_second.max(1.0);
        let (queue, fill) = queue(candidate, group, now);
        Estimate {
            queue: queue * queue_factor(request.priority),
            prefill: (request.prompt_tokens - cached_tokens) as f64 / rate,
            round_trip: candidate.round_trip,
            cached_tokens,
            fill,
        }
    }

    /// Returns the time within which the first token arrives in most cases, in seconds.
    pub(crate) fn pessimistic_first_token(&self) -> f64 {
        self.queue * QUEUE_MARGIN + self.prefill + self.round_trip
    }

    /// Returns the expected time to the first token, in seconds.
    pub(crate) fn first_token(&self) -> f64 {
        self.queue + self.prefill + self.round_trip
    }
}

/// Returns the time for which a new request is queued, in seconds, and the fill of the batch.
fn queue(candidate: &Candidate, group: &Group, now: Instant) -> (f64, f64) {
    let unreported = candidate.tracker.window.since(candidate.measured, now);
    let load = &candidate.load;
    let capacity = &candidate.capacity;
    let age = now
        .saturating_duration_since(candidate.measured)
        .as_secs_f64();
    let batch = f64::from(capacity.batch.max(1));
    let requests = f64::from(load.running + load.waiting)
        + unreported.requests as f64 * UNREPORTED_WORK_FACTOR;
    let seconds_per_request = match group.kind {
        Kind::Model => TYPICAL_ANSWER_TOKENS / capacity.decode_tokens_per_second.max(1.0),
        Kind::Plain => PLAIN_CALL_SECONDS,
    };
    let excess = (requests + 1.0 - batch).max(0.0);
    let batch_wait = excess * seconds_per_request / batch;
    let rate = capacity.prefill_tokens_per_second.max(1.0);
    let reported_tokens =
        (load.queued_prefill_tokens as f64 - age * rate * QUEUE_DRAIN_SHARE).max(0.0);
    let prefill_wait = (reported_tokens + unreported.tokens as f64 * UNREPORTED_WORK_FACTOR) / rate;
    let lateness = candidate.tracker.lateness(now);
    let queue = (batch_wait + prefill_wait + lateness).max(0.0);
    (queue, requests / batch)
}

/// Returns the factor on the queueing time by priority: requests of high priority overtake others,
/// those of low priority are overtaken.
fn queue_factor(priority: Priority) -> f64 {
    match priority {
        Priority::High => 0.3,
        Priority::Normal => 1.0,
        Priority::Low => 1.5,
    }
}
