//! Load balancing: chooses the upstream of each request.
//!
//! The module does no I/O and reads no clock; callers pass the current time.
//!
//! Prompts share parts, and an engine that has a part in its cache does not compute it again. All
//! entries therefore send prompts with the same shared parts to the same engine, their home. They
//! need no coordination for this: rendezvous hashing derives the home from the last shared part and
//! the names of the engines. An overloaded home is passed over. Its load is the work of all entries
//! as reported by the leader, which is some hundred milliseconds old, plus the work that this entry
//! has added since its last report.
//!
//! Services are balanced by requests, as if their upstreams were equally fast, or by expected work and
//! speed ([`Balancer::is_balanced_by_work`]).

mod brittle;
mod by_work;
mod choice;
mod estimate;
mod exchange;
mod explanation;
mod feedback;
mod health;
mod holders;
mod home;
mod level;
mod limit;
mod limits;
mod places;
mod prefixes;
mod rates;
mod residence;
mod rollout;
mod room;
mod sampled;
mod serving;
mod settings;
mod speeds;
mod tally;
mod tenure;
mod tenures;
mod upstream;
mod warm;
mod work;

pub use brittle::Position;
pub use choice::{Choice, Criteria, Shortage};
pub use explanation::{Candidate, Explanation, LeftOut, Reason};
pub use level::Level;
pub use rates::Rates;
pub use settings::Settings;
pub use speeds::Speeds;
pub use tally::Tally;
pub use work::{Ended, Kind as RequestKind};

use std::net::SocketAddr;
use std::time::Instant;

use ::limits::Process;
use ::upstream::{Routes, Software};
use config::Text;
use config::ids::{ServiceId, UpstreamId};
use config::text::Kind;
use indexmap::IndexMap;
use performance::Model;
use wire::Work;

use crate::call::PartId;
use brittle::Brittle;
use choice::Selection;
use estimate::{Affinity, Basis, Estimate};
use residence::Residence;
use rollout::Rollouts;
use upstream::Upstream;
use work::Learned;

/// The upstreams known to one entry, and the work in flight at each.
#[derive(Debug, Default)]
pub struct Balancer {
    settings: Settings,
    upstreams: IndexMap<UpstreamId, Upstream>,
    brittle: Brittle,
    rollouts: Rollouts,
    /// What the engines of each service do, as far as the leader has learned it.
    models: IndexMap<ServiceId, Model>,
    /// What was learned of the work of requests.
    work: Learned,
    /// Engines that have shared parts, as far as this entry has sent them there.
    residence: Residence,
    tally: Tally,
    /// Number of choices so far.
    choices: u64,
}

/// Outcome of a request that was sent to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream answered, or the caller disconnected.
    Answered,
    /// The request was not sent.
    Unsent,
    /// The upstream refused the request without running it.
    Refused,
    /// The upstream failed: no answer, or an invalid one.
    Failed,
    /// The upstream accepted no connection.
    Unreachable,
}

impl Balancer {
    /// Creates a balancer without upstreams.
    pub fn new(settings: Settings) -> Self {
        Balancer {
            settings,
            ..Balancer::default()
        }
    }

    /// Applies the text in force and the known routes. An upstream is removed
    /// [`Settings::retention_after_lease`] after its lease, once this entry has no work there.
    pub fn update(&mut self, text: &Text, routes: &Routes, now: Instant) {
        for route in routes.all() {
            let name = &route.announcement.upstream;
            let service = text.services.get(&route.announcement.service);
            let slot = self.upstreams.entry(name.clone());
            let upstream = slot.or_insert_with(|| Upstream::new(route));
            upstream.apply_announcement(route, service);
        }
        let retention = self.settings.retention_after_lease;
        self.upstreams
            .retain(|_, u| now < u.expires + retention || u.own_work != Work::default());
        self.mark_superseded();
        self.work.update(text, self.settings.balance);
        self.observe_tenures(now);
    }

    /// Returns the number of known upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Reports whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Marks the upstreams whose address is now used by an upstream with a later incarnation.
    fn mark_superseded(&mut self) {
        let mut newest: IndexMap<_, u64> = IndexMap::new();
        for upstream in self.upstreams.values() {
            let incarnation = newest.entry(upstream.address).or_default();
            *incarnation = upstream.incarnation.max(*incarnation);
        }
        for upstream in self.upstreams.values_mut() {
            let is_newest = newest.get(&upstream.address) == Some(&upstream.incarnation);
            upstream.superseded = !is_newest;
        }
    }

    /// Chooses the upstream with the lowest score, and counts the request as sent to it.
    ///
    /// # Errors
    /// Returns a [`Shortage`] if no upstream takes work, or if the expected time to the first event
    /// exceeds the deadline or the longest accepted wait.
    pub fn choose(&mut self, criteria: &Criteria<'_>, now: Instant) -> Result<Choice, Shortage> {
        self.choices = self.choices.wrapping_add(1);
        let selection = self.select(criteria, self.choices, now)?;
        let Selection {
            choice,
            estimate,
            warm,
        } = selection;
        let upstream = self.upstreams.get_mut(&choice.upstream);
        let upstream = upstream.ok_or(Shortage::NoUpstream)?;
        upstream.record_dispatch(criteria, &estimate, now);
        if let (Some(warm), Some(prompt)) = (warm, criteria.prompt) {
            self.tally
                .record(&warm.source, warm.is_second_place, warm.cold_tokens);
            let ready = now + estimate.first_event;
            let process = (&choice.upstream, choice.incarnation);
            self.residence.record(prompt, process, ready, now);
        }
        Ok(choice)
    }

    /// Selects the upstream of the choice with this number, and counts nothing.
    fn select(
        &self,
        criteria: &Criteria<'_>,
        number: u64,
        now: Instant,
    ) -> Result<Selection, Shortage> {
        if let Some(prompt) = self.warm_prompt(criteria) {
            return self.select_warm(criteria, prompt, now);
        }
        let usable = self.usable(criteria, now);
        let (home, best) = self.best(&usable, criteria, number, now);
        let Some((name, estimate)) = best else {
            return Err(self.shortage(criteria, now));
        };
        self.check_limit(criteria, &estimate)?;
        let fetch_from = self.fetch_source(criteria, &name, now);
        let upstream = self.upstreams.get(&name).ok_or(Shortage::NoUpstream)?;
        Ok(Selection {
            choice: Choice {
                fetch_from,
                ..upstream.choice(&name, &estimate, home.as_deref(), now)
            },
            estimate,
            warm: None,
        })
    }

    /// Checks that a request is expected to begin in time at the best upstream.
    fn check_limit(&self, criteria: &Criteria<'_>, best: &Estimate) -> Result<(), Shortage> {
        let limit = criteria.limit(best.at_rest);
        match best.first_event > limit {
            true => Err(Shortage::Overloaded(best.first_event - limit)),
            false => Ok(()),
        }
    }

    /// Returns the home of a prompt, and the upstream with the lowest score: among the home and its
    /// substitutes if one of them is expected to begin the request in time, otherwise among more of them.
    fn best(
        &self,
        usable: &[(&UpstreamId, &Upstream)],
        criteria: &Criteria<'_>,
        number: u64,
        now: Instant,
    ) -> (Option<UpstreamId>, Option<(UpstreamId, Estimate)>) {
        let Some(ranked) = home::ranked(criteria, usable, now) else {
            return match self.is_sampled(criteria) {
                true => (
                    None,
                    self.lowest(&self.sampled(usable, number, now), None, criteria, now),
                ),
                false => (None, self.lowest(usable, None, criteria, now)),
            };
        };
        let home = ranked.first().map(|(name, _)| *name);
        let lowest = |size| self.lowest(&ranked[..size], home, criteria, now);
        let is_in_time = |best: &Option<(UpstreamId, Estimate)>| {
            let estimate = best.as_ref().map(|(_, estimate)| estimate);
            estimate.is_some_and(|best| best.first_event <= criteria.limit(best.at_rest))
        };
        let mut groups = home::groups(ranked.len()).map(lowest);
        let best = groups.find(is_in_time);
        let best = best.unwrap_or_else(|| lowest(ranked.len()));
        (home.cloned(), best)
    }

    /// Returns the upstream with the lowest score, and what is expected of it.
    fn lowest(
        &self,
        upstreams: &[(&UpstreamId, &Upstream)],
        home: Option<&UpstreamId>,
        criteria: &Criteria<'_>,
        now: Instant,
    ) -> Option<(UpstreamId, Estimate)> {
        let rates = self.rates(criteria.service);
        let by = self.basis(criteria, &rates);
        let estimated = upstreams.iter().map(|(name, upstream)| {
            let affinity = affinity(name, home);
            let estimate = Estimate::new(upstream, criteria, affinity, &by, now);
            (*name, estimate)
        });
        let lowest = estimated.min_by(|a, b| a.1.score.total_cmp(&b.1.score));
        lowest.map(|(name, estimate)| (name.clone(), estimate))
    }

    /// Returns what estimates for a request are based on.
    fn basis<'b>(&'b self, criteria: &Criteria<'_>, rates: &'b Rates) -> Basis<'b> {
        Basis {
            settings: &self.settings,
            rates,
            is_by_work: self.is_balanced_by_work(criteria.service),
        }
    }

    /// Returns the rates of a service's engines.
    fn rates(&self, service: &ServiceId) -> Rates {
        let model = self.models.get(service);
        model.map_or(self.settings.unknown_rates, Rates::from)
    }

    /// Returns why no upstream is usable: all that could take the request have paused, this entry has no
    /// place at a brittle one, or there is none.
    fn shortage(&self, criteria: &Criteria<'_>, now: Instant) -> Shortage {
        let candidates = self.upstreams.iter();
        let candidates = candidates.filter(|(name, u)| is_candidate(name, u, criteria));
        let pauses = candidates.filter_map(|(_, upstream)| upstream.pause(now));
        let wait = pauses.min().or_else(|| self.brittle_wait(criteria, now));
        wait.map_or(Shortage::NoUpstream, Shortage::Overloaded)
    }

    /// Returns the engine from which the chosen one may fetch parts that it lacks.
    fn fetch_source(
        &self,
        criteria: &Criteria<'_>,
        chosen: &UpstreamId,
        now: Instant,
    ) -> Option<SocketAddr> {
        let reachable = self.upstreams.iter().filter(|(_, upstream)| {
            upstream.service == *criteria.service
                && upstream.is_engine
                && now < upstream.expires
                && !upstream.superseded
                && !upstream.health.is_ejected(now)
                && !upstream.limit.is_named()
        });
        home::fetch_source(criteria, chosen, reachable).map(|upstream| upstream.address)
    }

    /// Returns the upstreams to which the request may be sent: serving upstreams of the service
    /// with a valid lease that are not passed over, have not paused and, if they name a limit, have
    /// a permit. If there are none, those that are passed over are included.
    /// If all leases have expired as well, every upstream last known to be serving is included, so
    /// that an entry without contact to the control group continues to serve.
    fn usable(&self, criteria: &Criteria<'_>, now: Instant) -> Vec<(&UpstreamId, &Upstream)> {
        let all = self.eligible(criteria, now);
        let is_live = |upstream: &Upstream| now < upstream.expires;
        let is_healthy = |upstream: &Upstream| !upstream.health.is_passed_over(now);
        let healthy: Vec<_> = all
            .iter()
            .copied()
            .filter(|(_, upstream)| is_live(upstream) && is_healthy(upstream))
            .collect();
        let live: Vec<_> = all
            .iter()
            .copied()
            .filter(|(_, upstream)| is_live(upstream))
            .collect();
        match (healthy.is_empty(), live.is_empty()) {
            (false, _) => healthy,
            (true, false) => live,
            (true, true) => all,
        }
    }

    /// Returns the upstreams to which the request may be sent, whatever their lease and health.
    fn eligible(&self, criteria: &Criteria<'_>, now: Instant) -> Vec<(&UpstreamId, &Upstream)> {
        let takes_it = |(name, upstream): &(&UpstreamId, &Upstream)| {
            upstream.service == *criteria.service
                && self.obstacle(name, upstream, criteria, now).is_none()
        };
        let all = self.upstreams.iter().filter(takes_it).collect();
        self.keep_to_versions(all, criteria, now)
    }

    /// Returns why an upstream of the service may not take the request, whatever its lease and health.
    fn obstacle(
        &self,
        name: &UpstreamId,
        upstream: &Upstream,
        criteria: &Criteria<'_>,
        now: Instant,
    ) -> Option<Reason> {
        let lasting = lasting_obstacle(name, upstream, criteria);
        lasting.or_else(|| match upstream.pause(now) {
            Some(_) => Some(Reason::Paused),
            None if !upstream.limit.allows(now) => Some(Reason::NoPermit),
            None if !self.brittle.allows(name, upstream, now) => Some(Reason::NoPlace),
            None => None,
        })
    }

    /// Returns the software version of a service if it has only one: among all its upstreams that
    /// are known, also those that have left within [`Settings::retention_after_lease`].
    pub fn only_software(&self, service: &ServiceId) -> Option<&Software> {
        let upstreams = self.upstreams.values();
        let mut versions = upstreams
            .filter(|upstream| upstream.service == *service)
            .map(|upstream| &upstream.software);
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    /// Reports whether the upstream of a choice has said that it is leaving or reclaimed.
    pub fn is_leaving(&self, choice: &Choice) -> bool {
        let upstream = self.upstreams.get(&choice.upstream);
        upstream.is_some_and(Upstream::is_leaving)
    }

    /// Reports whether another process has taken the place of the one of a choice, by its name or
    /// its address, though that had not said that it leaves.
    pub fn is_replaced(&self, choice: &Choice) -> bool {
        match self.upstreams.get(&choice.upstream) {
            Some(upstream) if upstream.incarnation > choice.incarnation => true,
            Some(upstream) => upstream.superseded && !upstream.is_leaving(),
            None => false,
        }
    }

    /// Reports whether this entry expects `upstream` to have `part` in its cache, for tests and
    /// logs.
    pub fn has_part(&self, upstream: &str, part: PartId) -> bool {
        self.upstreams
            .get(upstream)
            .is_some_and(|upstream| upstream.prefixes.has_part(part))
    }

    /// Returns the upstream if its current process is `process`.
    fn process(&mut self, (name, incarnation): &Process) -> Option<&mut Upstream> {
        let upstream = self.upstreams.get_mut(name)?;
        (upstream.incarnation == *incarnation).then_some(upstream)
    }

    /// Returns the upstream of a choice, or `None` if it has been removed or restarted since.
    fn upstream_of(&mut self, choice: &Choice) -> Option<&mut Upstream> {
        let upstream = self.upstreams.get_mut(&choice.upstream)?;
        (upstream.incarnation == choice.incarnation).then_some(upstream)
    }
}

/// Reports whether an upstream may take a request, whatever its lease, health and limit.
fn is_candidate(name: &UpstreamId, upstream: &Upstream, criteria: &Criteria<'_>) -> bool {
    upstream.service == *criteria.service && lasting_obstacle(name, upstream, criteria).is_none()
}

/// Returns why an upstream of the service may not take the request, whatever its lease, health, limit and
/// pauses.
fn lasting_obstacle(
    name: &UpstreamId,
    upstream: &Upstream,
    criteria: &Criteria<'_>,
) -> Option<Reason> {
    match criteria.software {
        _ if upstream.is_leaving() => Some(Reason::Leaving),
        _ if upstream.superseded => Some(Reason::Superseded),
        _ if criteria.excluded.contains(name) => Some(Reason::Excluded),
        Some(software) if *software != upstream.software => Some(Reason::OtherVersion),
        _ => None,
    }
}

/// Returns the relation of an engine to the home of a prompt.
fn affinity(name: &UpstreamId, home: Option<&UpstreamId>) -> Affinity {
    match home {
        Some(home) if home == name => Affinity::Home,
        Some(_) => Affinity::Away,
        None => Affinity::Any,
    }
}

/// Reports whether the upstreams of a service of this kind are engines.
pub(super) fn is_engine(kind: Kind) -> bool {
    kind == Kind::Model
}
