//! Upstreams that fall if they have to refuse too many requests within a second.
//!
//! The bound counts the refusals of all entries together, which none of them sees in time. So each
//! upstream has as many places as it bears refusals, and these are divided among the entries. A
//! request takes a place until it is known that the upstream took it. If the upstream refused it, or that
//! stays unknown, the place is out of use for the next second.

use std::time::{Duration, Instant};

use ::limits::Refusals;
use ::limits::refusals::{Record, Records};
use config::ids::ServiceId;
use xxhash_rust::xxh3::xxh3_64;

use super::places::WINDOW;
use super::upstream::Upstream;
use super::{Balancer, Choice, Criteria, is_candidate};

/// Time for which a larger share is not used, so that the entries that held it know of it.
const GROWTH_DELAY: Duration = Duration::from_millis(1_500);
/// Time without a statement after which a service counts as sound.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(600);

/// What the upstreams of each service said, and this entry's position among all.
#[derive(Clone, Debug, Default)]
pub(super) struct Brittle {
    services: Records,
    /// Position and number of the entries; `None` before the leader has told.
    position: Option<Position>,
    /// The position before, and when it changed.
    before: Option<(Option<Position>, Instant)>,
}

/// Position of an entry among all, from 0.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// The position.
    pub index: u32,
    /// Number of entries.
    pub count: u32,
}

impl Position {
    /// Returns how many of the `places` of an upstream belong to the entry.
    pub fn share(self, upstream: &str, places: u32) -> u32 {
        let count = u64::from(self.count.max(1));
        let first = xxh3_64(upstream.as_bytes()) % count;
        let own = (u64::from(self.index) + count - first) % count;
        let all = u64::from(places);
        (all / count + u64::from(own < all % count)) as u32
    }
}

impl Brittle {
    /// Returns how many refusals within a second each upstream of the service bears, if they are
    /// brittle.
    fn refusals(&self, service: &str, now: Instant) -> Option<u32> {
        let statement = self.services.get(service)?;
        let age = now.saturating_duration_since(statement.said);
        statement.bearable.filter(|_| age < STATEMENT_LIFETIME)
    }

    /// Returns this entry's places at an upstream. Without a position it keeps one.
    fn share(&self, upstream: &str, places: u32, now: Instant) -> u32 {
        let share = |position: Option<Position>| {
            position.map_or(places.min(1), |position| position.share(upstream, places))
        };
        let current = share(self.position);
        match self.before {
            Some((before, at)) if now.saturating_duration_since(at) < GROWTH_DELAY => {
                current.min(share(before))
            }
            _ => current,
        }
    }

    /// Reports whether a request may be sent to `upstream`.
    pub(super) fn allows(&self, name: &str, upstream: &Upstream, now: Instant) -> bool {
        let Some(all) = self.refusals(&upstream.service, now) else {
            return true;
        };
        let places = &upstream.places;
        let is_full = places.is_full(upstream.own_work.requests, now);
        !is_full && places.in_use(now) < self.share(name, all, now)
    }

    /// Records a statement, and reports whether it is a change for its service.
    fn record(&mut self, service: &ServiceId, bearable: Option<u32>, said: Instant) -> bool {
        let before = self.services.replace(service, Record { bearable, said });
        before.and_then(|before| before.bearable) != bearable
    }
}

impl Balancer {
    /// Records whether an upstream said in its answer to a request that was sent at `sent_at` that
    /// it is brittle, and how many refusals within a second it bears. Reports whether that is a
    /// change for its service.
    pub fn record_brittle(
        &mut self,
        choice: &Choice,
        refusals: Option<u32>,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let Some(service) = self.upstream_of(choice).map(|u| u.service.clone()) else {
            return false;
        };
        let known = self.brittle.services.get(&service);
        // An answer without a statement may be older than one with it.
        let is_older = known.is_some_and(|known| sent_at < known.said);
        let was_sound = known.is_none_or(|known| known.bearable.is_none());
        if refusals.is_none() && (was_sound || is_older) {
            return false;
        }
        self.brittle.record(&service, refusals, now)
    }

    /// Returns what the upstreams of each service said, for a report to the leader.
    pub fn brittle(&self, now: Instant) -> Vec<Refusals> {
        self.brittle.services.statements(now)
    }

    /// Applies what upstreams said to other entries, and this entry's position among them.
    pub fn learn_brittle(
        &mut self,
        statements: &[Refusals],
        position: Option<Position>,
        now: Instant,
    ) {
        self.brittle.services.learn(statements, now);
        if position.is_some() && position != self.brittle.position {
            let before = std::mem::replace(&mut self.brittle.position, position);
            self.brittle.before = Some((before, now));
        }
    }

    /// Records that the upstream of a choice took the request.
    pub fn record_taken(&mut self, choice: &Choice) {
        if let Some(upstream) = self.upstream_of(choice) {
            upstream.places.release();
        }
    }

    /// Returns the time until this entry may send a request again to a brittle upstream that could
    /// take it; `None` if that is not why none may.
    pub(super) fn brittle_wait(&self, criteria: &Criteria<'_>, now: Instant) -> Option<Duration> {
        self.brittle.refusals(criteria.service, now)?;
        let candidates = self.upstreams.iter();
        let candidates = candidates.filter(|(name, u)| is_candidate(name, u, criteria));
        let waits = candidates.filter_map(|(_, upstream)| upstream.places.wait(now));
        Some(waits.min().unwrap_or(WINDOW / 4))
    }

    /// Reports whether this entry has no place at any upstream of a brittle service.
    pub fn has_no_place(&self, service: &str, now: Instant) -> bool {
        let Some(all) = self.brittle.refusals(service, now) else {
            return false;
        };
        let upstreams = self.upstreams.iter();
        let mut own = upstreams.filter(|(_, u)| u.service == service && now < u.expires);
        own.all(|(name, _)| self.brittle.share(name, all, now) == 0)
    }
}
