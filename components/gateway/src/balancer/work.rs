//! Expected work of requests, in milliseconds of a usual upstream of their service, and what is learned
//! of it from their answers.

use std::time::{Duration, Instant};

use config::Text;
use config::ids::ServiceId;
use config::text::Balance;
use indexmap::IndexMap;
use performance::{Lengths, Model, Usual};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::upstream::Upstream;
use super::{Balancer, Choice};
use crate::Prompt;

/// Fewest events of an answer from whose pauses a speed is learned.
const MIN_EVENTS: u64 = 3;

/// What requests have in common that take similar work.
#[derive(Clone, Copy, Debug)]
pub struct Kind<'a> {
    /// Service to which they are sent.
    pub service: &'a ServiceId,
    /// Route that they match.
    pub route: &'a str,
    /// Account of the caller; `None` for a request without one.
    pub account: Option<&'a str>,
}

/// A complete answer.
#[derive(Clone, Copy, Debug)]
pub struct Ended<'a> {
    /// Kind of the request.
    pub kind: Kind<'a>,
    /// Prompt of a generation; `None` for a plain call.
    pub prompt: Option<&'a Prompt>,
    /// Time to the first event, or to the first bytes of a plain answer.
    pub first_event: Duration,
    /// Time from the first event to the last.
    pub stream: Duration,
    /// Number of events.
    pub events: u64,
}

/// What was learned of the work of requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Learned {
    services: IndexMap<ServiceId, Service>,
    /// Events of generations, and times of plain calls in milliseconds.
    lengths: Lengths,
}

#[derive(Clone, Copy, Debug, Default)]
struct Service {
    balance: Balance,
    /// Whether an upstream has stated its slowdown.
    stated: bool,
    usual: Usual,
}

impl Learned {
    /// Applies the text in force. Services whose text leaves it open are balanced by `default`.
    pub(super) fn update(&mut self, text: &Text, default: Balance) {
        for (name, service) in &text.services {
            let learned = self.services.entry(name.clone()).or_default();
            learned.balance = match service.balance {
                Balance::Auto => default,
                balance => balance,
            };
        }
        self.services
            .retain(|name, _| text.services.contains_key(name));
    }

    /// Records that an upstream of a service has stated its slowdown.
    pub(super) fn record_stated(&mut self, service: &ServiceId) {
        if let Some(service) = self.services.get_mut(service) {
            service.stated = true;
        }
    }

    fn is_balanced_by_work(&self, service: &ServiceId) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| match service.balance {
            Balance::ByWork => true,
            Balance::ByRequests => false,
            Balance::Auto => service.stated,
        })
    }

    /// Returns the expected events of a generation.
    fn events(&self, keys: &[u64], prompt: &Prompt, model: &Model) -> f64 {
        let hint = prompt.length_hint.map(f64::from);
        let limit = f64::from(prompt.output_tokens.max(1));
        let learned = self.lengths.expected(keys, hint).or(hint);
        let events = learned.unwrap_or(match model.events {
            events if events > 0.0 => events,
            _ => limit,
        });
        events.min(limit)
    }
}

impl Balancer {
    /// Reports whether a service is balanced by work; otherwise it is balanced by requests.
    pub fn is_balanced_by_work(&self, service: &ServiceId) -> bool {
        self.work.is_balanced_by_work(service)
    }

    /// Reports whether the text or the settings ask that a service be balanced by work. Only then are its requests
    /// admitted, and its instances ordered, by their work as well.
    pub fn is_planned_by_work(&self, service: &ServiceId) -> bool {
        let service = self.work.services.get(service);
        service.is_some_and(|service| service.balance == Balance::ByWork)
    }

    /// Returns the services whose instances are ordered by their work.
    pub fn services_by_work(&self) -> Vec<ServiceId> {
        let services = self.work.services.keys();
        let by_work = services.filter(|service| self.is_planned_by_work(service));
        by_work.cloned().collect()
    }

    /// Returns the expected work of a request besides its prompt, in milliseconds of a usual upstream: the
    /// generation, or a plain call. 0 if the service is balanced by requests.
    pub fn work_ms(&self, kind: &Kind<'_>, prompt: Option<&Prompt>) -> f64 {
        match self.is_balanced_by_work(kind.service) {
            true => self.answer_ms(kind.service, &kind.keys(), prompt),
            false => 0.0,
        }
    }

    fn answer_ms(&self, service: &ServiceId, keys: &[u64], prompt: Option<&Prompt>) -> f64 {
        let model = self.models.get(service).copied();
        match prompt {
            Some(prompt) => {
                let tokens = f64::from(prompt.output_tokens);
                let model = model.unwrap_or_else(|| Model::assumed(0.0, tokens));
                self.work.events(keys, prompt, &model) * model.event_ms
            }
            None => {
                let learned = self.work.lengths.expected(keys, None);
                let measured = || {
                    model
                        .map(|model| model.first_event_ms)
                        .filter(|ms| *ms > 0.0)
                };
                let expected = learned.or_else(measured);
                expected.unwrap_or(self.settings.plain_call_ms)
            }
        }
    }

    /// Learns from a complete answer of a service that is balanced by work.
    pub fn record_end(&mut self, choice: &Choice, ended: &Ended<'_>, now: Instant) {
        let service = ended.kind.service;
        if !self.is_balanced_by_work(service) {
            return;
        }
        let model = self.models.get(service).copied();
        let Some(upstream) = self.upstreams.get(&choice.upstream) else {
            return;
        };
        let keys = ended.kind.keys();
        let times = match ended.prompt.filter(|_| upstream.is_engine) {
            Some(prompt) => {
                let hint = prompt.length_hint.map(f64::from);
                self.work.lengths.record(&keys, hint, ended.events as f64);
                model.and_then(|model| generation_times(choice, ended, &model, upstream))
            }
            None => {
                let queue = queue_share(choice, upstream);
                let actual = millis(ended.first_event);
                let alone = self.work.lengths.expected(&keys, None);
                let measured = actual / (1.0 + queue);
                self.work.lengths.record(&keys, None, measured);
                alone.map(|alone| (alone, measured))
            }
        };
        let Some((expected, actual)) = times else {
            return;
        };
        let usual = self.work.services.get_mut(service);
        let ratio = usual.and_then(|service| service.usual.record(expected / actual));
        if let Some((ratio, upstream)) = ratio.zip(self.upstream_of(choice)) {
            upstream.speed.record_answer(ratio, now);
        }
    }
}

impl Kind<'_> {
    /// Returns the keys under which requests of this kind are learned, the narrowest first.
    fn keys(&self) -> [u64; 3] {
        let service = seed(self.service);
        let route = xxh3_64_with_seed(self.route.as_bytes(), service);
        let account = self.account.unwrap_or_default();
        [xxh3_64_with_seed(account.as_bytes(), route), route, service]
    }
}

fn seed(service: &ServiceId) -> u64 {
    xxh3_64_with_seed(service.as_bytes(), 0)
}

/// Returns the expected and the actual time of a generation, in milliseconds, without the parts from which
/// nothing can be learned: a few events, and a wait for other prompts, which says more of the queue
/// than of the engine.
fn generation_times(
    choice: &Choice,
    ended: &Ended<'_>,
    model: &Model,
    upstream: &Upstream,
) -> Option<(f64, f64)> {
    let has_stream = ended.events >= MIN_EVENTS;
    let has_slot = f64::from(choice.in_flight) < upstream.known_slots();
    let has_first = has_slot && choice.queued_tokens <= choice.uncached_tokens;
    let in_flight = f64::from(choice.in_flight);
    let event_ms = model.event_ms + in_flight * model.event_ms_per_request;
    let tokens = f64::from(choice.uncached_tokens) + f64::from(choice.queued_tokens);
    let stream = (
        ended.events.saturating_sub(1) as f64 * event_ms,
        millis(ended.stream),
    );
    let first = (model.first_event(tokens), millis(ended.first_event));
    match (has_stream, has_first) {
        (true, true) => Some((stream.0 + first.0, stream.1 + first.1)),
        (true, false) => Some(stream),
        (false, true) => Some(first),
        (false, false) => None,
    }
}

/// Returns how long a plain call waited for a slot, relative to its own time.
fn queue_share(choice: &Choice, upstream: &Upstream) -> f64 {
    let slots = upstream.known_slots();
    (f64::from(choice.in_flight) + 1.0 - slots).max(0.0) / slots
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
