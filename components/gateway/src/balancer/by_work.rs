//! Estimates for services that are balanced by work: the work ahead of a request at an upstream over
//! the speed of the upstream, and the request's own work.

use std::fmt;
use std::time::{Duration, Instant};

use super::choice::Criteria;
use super::estimate::{Cost, MAX_REPORT_AGE, Tokens, in_flight};
use super::rates::Rates;
use super::settings::Settings;
use super::upstream::Upstream;

/// Shortest time that a request is taken to occupy a slot, in milliseconds.
const MIN_SLOT_MS: f64 = 1.0;

/// Work of a request, and the speed of the upstream for which it was estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ByWork {
    /// Work besides the prompt, in milliseconds of a usual upstream.
    pub(super) work_ms: u32,
    /// Prefill of the prompt, in milliseconds of a usual upstream.
    pub(super) prefill_ms: f64,
    pub(super) speed: f64,
}

impl ByWork {
    /// Returns the work with the prompt, in milliseconds of a usual upstream.
    pub(super) fn total_ms(&self) -> f64 {
        f64::from(self.work_ms) + self.prefill_ms
    }
}

impl fmt::Display for ByWork {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (work_ms, speed) = (self.total_ms(), self.speed);
        write!(f, "work {work_ms:.0} ms, speed {speed:.2}")
    }
}

/// Returns the costs at an engine that lacks `tokens` of the prompt.
pub(super) fn engine_cost(
    upstream: &Upstream,
    tokens: &Tokens,
    criteria: &Criteria<'_>,
    (settings, rates): (&Settings, &Rates),
    now: Instant,
) -> Cost {
    let speed = upstream.speed(now);
    let prefill_ms = f64::from(tokens.computed) * rates.prefill_ms_per_token;
    let repeated_ms = f64::from(tokens.repeated) * rates.prefill_ms_per_token;
    let ahead = Ahead::new(upstream, criteria, rates.first_event_ms + prefill_ms, now);
    let queue = f64::from(upstream.queued_tokens()) * rates.prefill_ms_per_token / speed;
    let fetch = match tokens.fetched {
        0 => 0.0,
        _ => settings.fetch_ms,
    };
    let at_rest = (rates.first_event_ms + prefill_ms) / speed + fetch;
    let first_event = at_rest + queue + ahead.slot_wait_ms / speed;
    let crowd = (ahead.work_ms + criteria.work_ms) / rates.slot_time_ms.max(MIN_SLOT_MS);
    Cost {
        first_event,
        at_rest,
        score: first_event
            + prefill_ms / speed * settings.prefill_weight
            + crowd * settings.batch_delay_ms / speed
            + repeated_ms / speed * settings.repeat_weight
            + f64::from(tokens.charged) * settings.fetch_ms_per_token,
        by_work: Some(ByWork::new(criteria, prefill_ms, speed)),
    }
}

/// Returns the costs of a plain call.
pub(super) fn plain_cost(upstream: &Upstream, criteria: &Criteria<'_>, now: Instant) -> Cost {
    let speed = upstream.speed(now);
    let ahead = Ahead::new(upstream, criteria, 0.0, now);
    let at_rest = criteria.work_ms / speed;
    Cost {
        first_event: at_rest + ahead.slot_wait_ms / speed,
        at_rest,
        score: at_rest + ahead.work_ms / ahead.slots / speed,
        by_work: Some(ByWork::new(criteria, 0.0, speed)),
    }
}

impl ByWork {
    fn new(criteria: &Criteria<'_>, prefill_ms: f64, speed: f64) -> Self {
        ByWork {
            // 0 stands for none in the table of the work.
            work_ms: criteria.work_ms.round().max(1.0) as u32,
            prefill_ms,
            speed,
        }
    }
}

/// Requests ahead of one at an upstream. Times are those of a usual upstream.
struct Ahead {
    /// Requests that it runs at the same time.
    slots: f64,
    /// Work of the requests ahead, besides their prompts.
    work_ms: f64,
    /// Time until a slot is free.
    slot_wait_ms: f64,
}

impl Ahead {
    /// `first_ms` is the time for which a request occupies a slot before its first event.
    fn new(upstream: &Upstream, criteria: &Criteria<'_>, first_ms: f64, now: Instant) -> Self {
        let slots = upstream.known_slots();
        let request_ms = request_ms(upstream, criteria);
        let slot_ms = (request_ms + first_ms).max(MIN_SLOT_MS);
        let requests = f64::from(in_flight(upstream, now));
        let waiting = waiting(upstream, slots / slot_ms * upstream.speed(now), now);
        // A request gets the slot of the one that many ahead of it.
        let further = match waiting {
            waiting if waiting > 0.0 => waiting + 1.0,
            _ => 0.0,
        };
        let excess = (requests + 1.0 - slots).max(further).max(0.0);
        Ahead {
            slots,
            work_ms: requests * request_ms,
            slot_wait_ms: excess / slots * slot_ms,
        }
    }
}

/// Returns the average work of the requests at an upstream besides their prompts. Those of entries
/// that don't state it are taken to be like this one.
fn request_ms(upstream: &Upstream, criteria: &Criteria<'_>) -> f64 {
    let work = [upstream.own_work, upstream.other_work];
    let known = work
        .iter()
        .filter_map(|work| Some((work.requests, work.work_ms?)));
    let (requests, work_ms) = known.fold((0.0, 0.0), |(requests, work_ms), (count, ms)| {
        (requests + f64::from(count), work_ms + f64::from(ms))
    });
    match requests > 0.0 && work_ms > 0.0 {
        true => work_ms / requests,
        false => criteria.work_ms,
    }
}

/// Returns the requests that wait at an upstream for a slot by its last statement, less those that `rate`
/// requests a millisecond have taken since.
fn waiting(upstream: &Upstream, rate: f64, now: Instant) -> f64 {
    let Some((load, at)) = upstream.stated else {
        return 0.0;
    };
    let age = now.saturating_duration_since(at);
    match age < MAX_REPORT_AGE {
        true => (f64::from(load.waiting) - millis(age) * rate).max(0.0),
        false => 0.0,
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
