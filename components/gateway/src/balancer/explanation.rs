//! Explains a choice without making it, for operators.
//!
//! What is explained comes from the functions that make the choice. Nothing is counted or learned.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config::ids::{DataCentreId, UpstreamId};
use serde::{Deserialize, Serialize};

use super::choice::{Choice, Criteria, Shortage};
use super::estimate::Estimate;
use super::upstream::Upstream;
use super::{Balancer, affinity, home};

/// What the next choice for a request would be, and what it depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Whether the service is balanced by work; otherwise by requests.
    pub is_by_work: bool,
    /// The upstreams that may take the request, in the order in which one is looked for.
    pub candidates: Vec<Candidate>,
    /// The other upstreams of the service.
    pub left_out: Vec<LeftOut>,
    /// What [`Balancer::choose`] would return.
    pub result: Result<Choice, Shortage>,
}

/// An upstream that may take a request, and what is expected of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Number of the group in which it is compared, from 1. A group contains the ones before it, and is
    /// looked at only if none of those is expected to begin the request in time. `None` if the upstream
    /// was not drawn for the next choice.
    pub group: Option<usize>,
    /// Expected time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// The same if the upstream had no other request.
    pub at_rest_ms: f64,
    /// Longest expected time to the first event with which the request is sent there.
    pub limit_ms: f64,
    /// Expected cost for this and other requests, in milliseconds; the lowest one is chosen.
    pub score: f64,
    /// Expected work, with the computation of the prompt, in milliseconds of a usual upstream; `None` for
    /// a service that is balanced by requests.
    pub work_ms: Option<f64>,
    /// Speed relative to the usual one.
    pub speed: f64,
    /// Tokens of the prompt that are expected in its cache.
    pub cached_tokens: u32,
    /// Tokens of the prompt that it would fetch from another engine.
    pub fetched_tokens: u32,
    /// Tokens of the prompt that it would compute.
    pub computed_tokens: u32,
    /// Tokens of earlier requests that it has to compute first.
    pub queued_tokens: u32,
    /// Requests in flight there, of all entries.
    pub in_flight: u32,
    /// Time until its lease expires, in milliseconds; 0 if it has expired.
    pub lease_ms: u64,
}

/// An upstream of the service that may not take a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeftOut {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Why it may not.
    pub reason: Reason,
}

/// Why an upstream of the service may not take a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It has said that it is leaving, or it is reclaimed.
    Leaving,
    /// An upstream with a later incarnation uses its address.
    Superseded,
    /// The request was tried there before.
    Excluded,
    /// The request goes to another version of the software.
    OtherVersion,
    /// It has said that it takes no requests for now.
    Paused,
    /// It names a limit, and this entry has no permit.
    NoPermit,
    /// It bears few refusals, and this entry has no place there.
    NoPlace,
    /// Its lease has expired.
    LeaseExpired,
    /// Requests to it have failed.
    Ejected,
    /// It has just refused a request.
    Refusing,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Leaving => "leaving",
            Reason::Superseded => "superseded",
            Reason::Excluded => "excluded",
            Reason::OtherVersion => "other software version",
            Reason::Paused => "paused",
            Reason::NoPermit => "no permit",
            Reason::NoPlace => "no place",
            Reason::LeaseExpired => "lease expired",
            Reason::Ejected => "ejected",
            Reason::Refusing => "refused a request just now",
        })
    }
}

impl Balancer {
    /// Explains what [`Balancer::choose`] would return now, and changes nothing.
    pub fn explain(&self, criteria: &Criteria<'_>, now: Instant) -> Explanation {
        let number = self.choices.wrapping_add(1);
        Explanation {
            is_by_work: self.is_balanced_by_work(criteria.service),
            candidates: self.candidates(criteria, number, now),
            left_out: self.left_out(criteria, now),
            result: self
                .select(criteria, number, now)
                .map(|selection| selection.choice),
        }
    }

    fn candidates(&self, criteria: &Criteria<'_>, number: u64, now: Instant) -> Vec<Candidate> {
        let mut usable = self.usable(criteria, now);
        let drawn = match self.is_sampled(criteria) {
            true => Some(self.sampled(&usable, number, now)),
            false => None,
        };
        if let Some(drawn) = &drawn {
            // Of equal scores, that of the first one drawn is the lowest.
            let position = |name: &UpstreamId| drawn.iter().position(|(other, _)| *other == name);
            usable.sort_by_key(|(name, _)| position(name).unwrap_or(usize::MAX));
        }
        let (has_groups, estimates) = self.estimates(usable, criteria, now);
        let count = estimates.len();
        let group = |position: usize, name: &UpstreamId| match &drawn {
            Some(drawn) => drawn.iter().any(|(other, _)| *other == name).then_some(1),
            None if !has_groups => Some(1),
            None => {
                let first = home::groups(count).position(|size| position < size);
                first.map(|group| group + 1)
            }
        };
        let candidate = |(position, (name, estimate)): (usize, (&UpstreamId, Estimate))| {
            let upstream = &self.upstreams[name];
            let group = group(position, name);
            Candidate::new((name, upstream), &estimate, criteria, group, now)
        };
        let mut candidates: Vec<_> = estimates.into_iter().enumerate().map(candidate).collect();
        if !has_groups {
            let is_passed_by = |candidate: &Candidate| candidate.group.is_none();
            candidates.sort_by(|a, b| {
                let by_group = is_passed_by(a).cmp(&is_passed_by(b));
                by_group.then(a.score.total_cmp(&b.score))
            });
        }
        candidates
    }

    /// Returns what is expected of each usable upstream, and whether they are compared in groups, in
    /// whose order they are then.
    fn estimates<'a>(
        &'a self,
        usable: Vec<(&'a UpstreamId, &'a Upstream)>,
        criteria: &Criteria<'_>,
        now: Instant,
    ) -> (bool, Vec<(&'a UpstreamId, Estimate)>) {
        if let Some(prompt) = self.warm_prompt(criteria) {
            return (true, self.estimates_warm(criteria, prompt, now));
        }
        let ranked = home::ranked(criteria, &usable, now);
        let has_groups = ranked.is_some();
        let ranked = ranked.unwrap_or(usable);
        let home = ranked.first().map(|(name, _)| *name);
        let home = home.filter(|_| has_groups);
        let rates = self.rates(criteria.service);
        let by = self.basis(criteria, &rates);
        let estimates = ranked.into_iter().map(|(name, upstream)| {
            let affinity = affinity(name, home);
            (name, Estimate::new(upstream, criteria, affinity, &by, now))
        });
        (has_groups, estimates.collect())
    }

    fn left_out(&self, criteria: &Criteria<'_>, now: Instant) -> Vec<LeftOut> {
        let (eligible, usable) = (self.eligible(criteria, now), self.usable(criteria, now));
        let contains = |upstreams: &[(&UpstreamId, &Upstream)], name: &UpstreamId| {
            upstreams.iter().any(|(other, _)| *other == name)
        };
        let reason = |name: &UpstreamId, upstream: &Upstream| {
            let obstacle = self.obstacle(name, upstream, criteria, now);
            obstacle.unwrap_or(match contains(&eligible, name) {
                false => Reason::OtherVersion,
                true if now >= upstream.expires => Reason::LeaseExpired,
                true if upstream.health.is_ejected(now) => Reason::Ejected,
                true => Reason::Refusing,
            })
        };
        let of_service = self.upstreams.iter();
        let of_service = of_service.filter(|(_, upstream)| upstream.service == *criteria.service);
        let left_out = of_service.filter(|(name, _)| !contains(&usable, name));
        left_out
            .map(|(name, upstream)| LeftOut {
                upstream: name.clone(),
                reason: reason(name, upstream),
            })
            .collect()
    }
}

impl Candidate {
    fn new(
        (name, upstream): (&UpstreamId, &Upstream),
        estimate: &Estimate,
        criteria: &Criteria<'_>,
        group: Option<usize>,
        now: Instant,
    ) -> Self {
        let input = match criteria.prompt.filter(|_| upstream.is_engine) {
            Some(prompt) => prompt.input_tokens,
            None => 0,
        };
        let missing = estimate.uncached_tokens + estimate.fetched_tokens;
        let lease = upstream.expires.saturating_duration_since(now);
        Candidate {
            upstream: name.clone(),
            address: upstream.address,
            data_centre: upstream.data_centre.clone(),
            group,
            first_event_ms: millis(estimate.first_event),
            at_rest_ms: millis(estimate.at_rest),
            limit_ms: millis(criteria.limit(estimate.at_rest)),
            score: estimate.score,
            work_ms: estimate.by_work.map(|by_work| by_work.total_ms()),
            speed: upstream.speed(now),
            cached_tokens: input.saturating_sub(missing),
            fetched_tokens: estimate.fetched_tokens,
            computed_tokens: estimate.uncached_tokens,
            queued_tokens: upstream.queued_tokens(),
            in_flight: estimate.in_flight,
            lease_ms: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
