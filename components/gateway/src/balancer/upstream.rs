//! State of one upstream in the balancer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ::upstream::{Availability, Route, Software};
use compact_str::{CompactString, format_compact};
use config::ids::{DataCentreId, Incarnation, ServiceId, UpstreamId};
use config::text::Service;
use performance::Speed;
use wire::Work;

use super::Outcome;
use super::choice::{Choice, Criteria};
use super::estimate::Estimate;
use super::health::Health;
use super::is_engine;
use super::limit::Limit;
use super::places::Places;
use super::prefixes::Prefixes;
use super::tenure::Tenure;
use crate::Load;

/// Weight of the newest call in the average duration of plain calls.
const NEWEST_WEIGHT: f64 = 0.2;

/// An upstream and the work in flight there.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) service: ServiceId,
    pub(super) software: Software,
    pub(super) incarnation: Incarnation,
    pub(super) address: SocketAddr,
    pub(super) data_centre: DataCentreId,
    pub(super) availability: Availability,
    pub(super) expires: Instant,
    /// When this entry first learned of the upstream.
    pub(super) first_seen: Instant,
    /// Whether an upstream with a later incarnation uses the address now.
    pub(super) superseded: bool,
    pub(super) is_engine: bool,
    /// Requests that fit into a batch.
    pub(super) slots: u32,
    /// Current work of this entry, without [`Upstream::own_cold_tokens`].
    pub(super) own_work: Work,
    /// Tokens of cold shared parts that this entry's requests are expected to compute. They are not
    /// reported: each entry takes a part for cold that it has not sent itself, but the engine computes
    /// it once. Summed over all entries, they made the queues of homes look so long that prompts went
    /// to engines that computed the parts again.
    own_cold_tokens: u32,
    /// Work of this entry as of its last report.
    pub(super) reported_work: Work,
    /// Work of the other entries, as last received from the leader.
    pub(super) other_work: Work,
    /// Running and waiting requests that the upstream reported in an answer, and when.
    pub(super) reported_load: Option<(u32, Instant)>,
    /// What the upstream stated of its load in an answer, and when.
    pub(super) stated: Option<(Load, Instant)>,
    pub(super) speed: Speed,
    /// Average time to the first event, in milliseconds; only for upstreams that are not engines.
    pub(super) call_ms: Option<f64>,
    pub(super) prefixes: Prefixes,
    pub(super) tenure: Tenure,
    pub(super) health: Health,
    pub(super) limit: Limit,
    /// This entry's requests of which it is not known whether the upstream took them.
    pub(super) places: Places,
    /// Whether an answer said that the process is leaving.
    pub(super) said_leaving: bool,
    /// Until when the process takes no requests, as it said in an answer.
    paused_until: Option<Instant>,
}

impl Upstream {
    pub(super) fn new(route: &Route) -> Self {
        let announcement = &route.announcement;
        Upstream {
            service: announcement.service.clone(),
            software: announcement.software.clone(),
            incarnation: announcement.incarnation,
            address: announcement.address,
            data_centre: announcement.data_centre.clone(),
            availability: announcement.availability,
            expires: route.expires,
            first_seen: route.announced,
            superseded: false,
            is_engine: false,
            slots: announcement.capacity.batch,
            own_work: Work::default(),
            own_cold_tokens: 0,
            reported_work: Work::default(),
            other_work: Work::default(),
            reported_load: None,
            stated: None,
            speed: Speed::default(),
            call_ms: None,
            prefixes: Prefixes::default(),
            tenure: Tenure::default(),
            health: Health::default(),
            limit: Limit::default(),
            places: Places::default(),
            said_leaving: false,
            paused_until: None,
        }
    }

    /// Applies the newest announcement. The state is reset if the upstream has restarted.
    pub(super) fn apply_announcement(&mut self, route: &Route, service: Option<&Service>) {
        if route.announcement.incarnation > self.incarnation {
            *self = Upstream::new(route);
        }
        let announcement = &route.announcement;
        self.software = announcement.software.clone();
        self.availability = announcement.availability;
        self.expires = route.expires;
        self.address = announcement.address;
        self.slots = announcement.capacity.batch;
        self.is_engine = service.is_some_and(|service| is_engine(service.kind));
    }

    /// Returns the speed of the upstream relative to the usual one of its service, which is 1.0.
    pub(super) fn speed(&self, now: Instant) -> f64 {
        self.speed.value(now)
    }

    /// Returns the requests that the upstream runs at the same time: as it stated in an answer, otherwise
    /// as announced.
    pub(super) fn known_slots(&self) -> f64 {
        let stated = self.stated.map(|(load, _)| load.slots);
        let slots = stated.filter(|slots| *slots > 0).unwrap_or(self.slots);
        f64::from(slots.max(1))
    }

    /// Reports whether the process is leaving, by its announcements or its answers.
    pub(super) fn is_leaving(&self) -> bool {
        self.said_leaving || self.availability != Availability::Serving
    }

    /// Records that the process takes no requests for the time `pause`.
    pub(super) fn record_pause(&mut self, pause: Duration, now: Instant) {
        let until = now.checked_add(pause);
        self.paused_until = self.paused_until.max(until);
    }

    /// Returns how long the process still takes no requests.
    pub(super) fn pause(&self, now: Instant) -> Option<Duration> {
        let left = self.paused_until?.checked_duration_since(now);
        left.filter(|left| !left.is_zero())
    }

    /// Returns the prompt tokens that it still has to compute, for requests of all entries.
    pub(super) fn queued_tokens(&self) -> u32 {
        self.own_work.prefill_tokens + self.own_cold_tokens + self.other_work.prefill_tokens
    }

    /// Counts a request as sent.
    pub(super) fn record_dispatch(
        &mut self,
        criteria: &Criteria<'_>,
        estimate: &Estimate,
        now: Instant,
    ) {
        self.limit.take(now);
        self.places.take(now);
        self.own_work = self.own_work.with(Work {
            requests: 1,
            prefill_tokens: estimate
                .uncached_tokens
                .saturating_sub(estimate.cold_tokens),
            work_ms: estimate.by_work.map(|by_work| by_work.work_ms),
        });
        self.own_cold_tokens += estimate.cold_tokens;
        if let Some(prompt) = criteria.prompt.filter(|_| self.is_engine) {
            self.prefixes.record(prompt);
        }
    }

    /// Returns the choice of this upstream for a request, before that is counted.
    pub(super) fn choice(
        &self,
        name: &UpstreamId,
        estimate: &Estimate,
        home: Option<&str>,
        now: Instant,
    ) -> Choice {
        let expiry_ms = self.expires.saturating_duration_since(now).as_millis();
        let affinity = match home {
            Some(home) if home == name.as_str() => "on the home engine",
            Some(_) => "not on the home engine",
            None => "no home engine",
        };
        let by_work = estimate
            .by_work
            .map_or_else(CompactString::default, |by_work| {
                format_compact!("{by_work}, ")
            });
        Choice {
            upstream: name.clone(),
            incarnation: self.incarnation,
            software: self.software.clone(),
            address: self.address,
            fetch_from: None,
            is_taken: false,
            uncached_tokens: estimate.uncached_tokens,
            cold_tokens: estimate.cold_tokens,
            queued_tokens: self.queued_tokens(),
            in_flight: estimate.in_flight,
            expected_first_event: estimate.first_event,
            work_ms: estimate.by_work.map(|by_work| by_work.work_ms),
            reason: format_compact!(
                "{affinity}, {} in flight, {} tokens to compute, {by_work}\
                announcement expires in {expiry_ms} ms",
                estimate.in_flight,
                estimate.uncached_tokens,
            ),
        }
    }

    pub(super) fn record_first_event(&mut self, choice: &Choice, elapsed: Duration, _now: Instant) {
        self.release_prefill(choice);
        if !self.is_engine {
            let ms = elapsed.as_secs_f64() * 1_000.0;
            let average = self.call_ms.unwrap_or(ms);
            self.call_ms = Some(average + (ms - average) * NEWEST_WEIGHT);
        }
    }

    pub(super) fn record_finish(
        &mut self,
        choice: &Choice,
        prompt_computed: bool,
        outcome: Outcome,
        now: Instant,
    ) {
        self.own_work = self.own_work.without(Work {
            requests: 1,
            prefill_tokens: 0,
            work_ms: choice.work_ms,
        });
        if self.own_work.requests == 0 {
            self.own_work.work_ms = None;
        }
        match (choice.is_taken, outcome) {
            (true, _) => {}
            (false, Outcome::Unsent | Outcome::Unreachable) => self.places.release(),
            (false, _) => self.places.spend(self.own_work.requests, now),
        }
        if !prompt_computed {
            self.release_prefill(choice);
        }
        match outcome {
            Outcome::Answered => self.health.record_success(),
            Outcome::Unsent => {}
            Outcome::Refused => self.health.record_refusal(now),
            Outcome::Failed => self.health.record_failure(now),
            Outcome::Unreachable => self.health.record_unreachable(now),
        }
    }

    /// Removes the prompt of a request from the tokens still to be computed.
    fn release_prefill(&mut self, choice: &Choice) {
        let tokens = self.own_work.prefill_tokens;
        let reported = choice.uncached_tokens.saturating_sub(choice.cold_tokens);
        self.own_work.prefill_tokens = tokens.saturating_sub(reported);
        self.own_cold_tokens = self.own_cold_tokens.saturating_sub(choice.cold_tokens);
    }
}
