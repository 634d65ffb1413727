//! Estimates the time to the first event at an upstream, and scores it.

use config::duration::bounded;
use std::time::{Duration, Instant};

use super::by_work::{self, ByWork};
use super::choice::Criteria;
use super::rates::Rates;
use super::settings::Settings;
use super::upstream::Upstream;
use crate::Prompt;

/// Age up to which the load that an upstream reported replaces a lower count by the entries.
pub(super) const MAX_REPORT_AGE: Duration = Duration::from_millis(500);
/// Penalty in milliseconds of an upstream that fails every request.
const FAILURE_PENALTY_MS: f64 = 400.0;

/// Relation of an engine to the home of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Affinity {
    /// The engine is the home, and has the shared parts in its cache.
    Home,
    /// Another engine is the home; missing parts are fetched from it.
    Away,
    /// The prompt has no home.
    Any,
    /// What is expected of the engine's cache, by what is known of the prompt's parts.
    Expected(Expectation),
}

/// Tokens of a prompt that an engine need not compute.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Expectation {
    /// Leading tokens in its cache.
    pub(super) cached: u32,
    /// Tokens that it fetches from another engine.
    pub(super) fetched: u32,
    /// Tokens that it computes though the prompt's home computes them as well, or has them.
    pub(super) repeated: u32,
    /// Tokens of shared parts that it is expected to compute.
    pub(super) cold: u32,
    /// Whether all entries prefer it for the prompt.
    pub(super) is_preferred: bool,
}

impl Affinity {
    fn is_preferred(self) -> bool {
        match self {
            Affinity::Home => true,
            Affinity::Expected(expectation) => expectation.is_preferred,
            Affinity::Away | Affinity::Any => false,
        }
    }
}

/// Expected cost of sending a request to one upstream.
#[derive(Clone, Debug)]
pub(super) struct Estimate {
    /// Expected time to the first event.
    pub(super) first_event: Duration,
    /// What it would be if the upstream had no other request.
    pub(super) at_rest: Duration,
    /// Tokens of the prompt that the upstream has to compute.
    pub(super) uncached_tokens: u32,
    /// Those of them that belong to shared parts of the prompt.
    pub(super) cold_tokens: u32,
    /// Tokens of the prompt that the upstream fetches from another engine.
    pub(super) fetched_tokens: u32,
    /// Requests in flight at the upstream, of all entries.
    pub(super) in_flight: u32,
    /// Expected cost for this and other requests, in milliseconds; the lowest score is chosen.
    pub(super) score: f64,
    /// `None` if the service is balanced by requests.
    pub(super) by_work: Option<ByWork>,
}

/// What estimates are based on, besides the upstream and the request.
pub(super) struct Basis<'a> {
    pub(super) settings: &'a Settings,
    /// Rates of the service's engines.
    pub(super) rates: &'a Rates,
    /// Whether the service is balanced by work.
    pub(super) is_by_work: bool,
}

impl Estimate {
    pub(super) fn new(
        upstream: &Upstream,
        criteria: &Criteria<'_>,
        affinity: Affinity,
        basis: &Basis<'_>,
        now: Instant,
    ) -> Self {
        let settings = basis.settings;
        let in_flight = in_flight(upstream, now);
        let remote_delay = if upstream.data_centre == settings.data_centre {
            0.0
        } else {
            settings.remote_delay_ms
        };
        let penalty = upstream.health.failure_rate() * FAILURE_PENALTY_MS;
        let prompt = criteria.prompt.filter(|_| upstream.is_engine);
        let tokens = prompt.map(|prompt| Tokens::new(upstream, prompt, affinity, settings));
        let cost = match (&tokens, basis.is_by_work) {
            (Some(tokens), false) => {
                engine_cost(upstream, tokens, in_flight, settings, basis.rates)
            }
            (None, false) => plain_cost(upstream, in_flight, settings),
            (Some(tokens), true) => {
                let by = (settings, basis.rates);
                by_work::engine_cost(upstream, tokens, criteria, by, now)
            }
            (None, true) => by_work::plain_cost(upstream, criteria, now),
        };
        let bonus = match (&tokens, affinity) {
            (Some(_), affinity) if affinity.is_preferred() => settings.home_bonus_ms,
            _ => 0.0,
        };
        Estimate {
            first_event: millis(cost.first_event + remote_delay),
            at_rest: millis(cost.at_rest + remote_delay),
            uncached_tokens: tokens.as_ref().map_or(0, |tokens| tokens.computed),
            cold_tokens: tokens.as_ref().map_or(0, |tokens| tokens.cold),
            fetched_tokens: tokens.as_ref().map_or(0, |tokens| tokens.fetched),
            in_flight,
            score: cost.score + remote_delay + penalty - bonus,
            by_work: cost.by_work,
        }
    }
}

/// Expected costs at one upstream, in milliseconds.
pub(super) struct Cost {
    pub(super) first_event: f64,
    pub(super) at_rest: f64,
    pub(super) score: f64,
    /// `None` if the service is balanced by requests.
    pub(super) by_work: Option<ByWork>,
}

fn plain_cost(upstream: &Upstream, in_flight: u32, settings: &Settings) -> Cost {
    let time = upstream.call_ms.unwrap_or(settings.plain_call_ms);
    let queue = f64::from(in_flight) / f64::from(upstream.slots.max(1));
    let first_event = time * (1.0 + queue);
    Cost {
        first_event,
        at_rest: time,
        score: first_event,
        by_work: None,
    }
}

fn engine_cost(
    upstream: &Upstream,
    tokens: &Tokens,
    in_flight: u32,
    settings: &Settings,
    rates: &Rates,
) -> Cost {
    let batch = f64::from(upstream.slots.max(1));
    let in_flight = f64::from(in_flight);
    let queue = f64::from(upstream.queued_tokens()) * rates.prefill_ms_per_token;
    let prefill = f64::from(tokens.computed) * rates.prefill_ms_per_token;
    let slot_wait = (in_flight + 1.0 - batch).max(0.0) / batch * rates.slot_time_ms;
    let fetch = if tokens.fetched > 0 {
        settings.fetch_ms
    } else {
        0.0
    };
    let at_rest = rates.first_event_ms + prefill + fetch;
    let first_event = at_rest + queue + slot_wait;
    let repeated = f64::from(tokens.repeated) * rates.prefill_ms_per_token;
    let fetch_cost = f64::from(tokens.charged) * settings.fetch_ms_per_token;
    Cost {
        first_event,
        at_rest,
        score: first_event
            + prefill * settings.prefill_weight
            + repeated * settings.repeat_weight
            + in_flight * settings.batch_delay_ms
            + fetch_cost,
        by_work: None,
    }
}

/// Returns the requests in flight at an upstream, of all entries.
pub(super) fn in_flight(upstream: &Upstream, now: Instant) -> u32 {
    let counted = upstream.own_work.requests + upstream.other_work.requests;
    match upstream.reported_load {
        Some((reported, at)) if now.saturating_duration_since(at) < MAX_REPORT_AGE => {
            counted.max(reported)
        }
        _ => counted,
    }
}

/// Tokens of a prompt that are not in an engine's cache.
pub(super) struct Tokens {
    /// Tokens that have to be computed.
    pub(super) computed: u32,
    /// Tokens that are fetched from the prompt's home.
    pub(super) fetched: u32,
    /// Tokens of the fetched ones whose copy counts as a cost. All further prompts use the home's.
    pub(super) charged: u32,
    /// Tokens of those to be computed that another engine has computed or computes as well.
    pub(super) repeated: u32,
    /// Tokens of shared parts among those to be computed.
    cold: u32,
}

impl Tokens {
    fn new(upstream: &Upstream, prompt: &Prompt, affinity: Affinity, settings: &Settings) -> Self {
        let local = upstream.prefixes.cached_tokens(prompt);
        let shared = prompt.parts.split_last().map_or(0, |(_, shared)| {
            shared.iter().map(|part| part.tokens).sum::<u32>()
        });
        let shared = (f64::from(shared) * settings.home_cached_share) as u32;
        let fetched = match affinity {
            Affinity::Home => 0,
            Affinity::Away => shared.saturating_sub(local),
            Affinity::Any => 0,
            Affinity::Expected(expectation) => expectation.fetched,
        };
        let cached = match affinity {
            Affinity::Home | Affinity::Away => local.max(shared),
            Affinity::Any => local,
            Affinity::Expected(expectation) => expectation.cached + expectation.fetched,
        };
        let repeated = match affinity {
            Affinity::Expected(expectation) => expectation.repeated,
            Affinity::Home | Affinity::Away | Affinity::Any => 0,
        };
        let cold = match affinity {
            Affinity::Expected(expectation) => expectation.cold,
            Affinity::Home | Affinity::Away | Affinity::Any => 0,
        };
        Tokens {
            computed: prompt.input_tokens.saturating_sub(cached),
            fetched,
            charged: if affinity.is_preferred() { 0 } else { fetched },
            repeated,
            cold,
        }
    }
}

fn millis(ms: f64) -> Duration {
    bounded(ms / 1_000.0)
}
