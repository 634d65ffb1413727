//! Leaves of upstreams of which no announcement is known.

use std::time::{Duration, Instant};

use config::ids::{Incarnation, UpstreamId};
use indexmap::IndexMap;
use upstream::Announcement;
use wire::Delta;

/// Largest number of leaves that are kept.
const MAX_DEPARTURES: usize = 20_000;

/// Leaves of unknown upstreams. They apply to announcements that were made before them and arrive
/// later.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    departures: IndexMap<UpstreamId, Departure>,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    /// The incarnation that left, if the leave names it.
    incarnation: Option<Incarnation>,
    at: Instant,
}

impl Departures {
    /// Keeps a leave, and reports whether it was new.
    pub(super) fn keep(
        &mut self,
        upstream: &str,
        incarnation: Option<Incarnation>,
        now: Instant,
    ) -> bool {
        match self.departures.get(upstream) {
            Some(known) if known.incarnation >= incarnation => return false,
            None if self.departures.len() >= MAX_DEPARTURES => return false,
            _ => {}
        }
        let departure = Departure {
            incarnation,
            at: now,
        };
        self.departures.insert(upstream.into(), departure);
        true
    }

    /// Forgets the leave of an upstream, of which an announcement is known now.
    pub(super) fn forget(&mut self, upstream: &str) {
        self.departures.swap_remove(upstream);
    }

    /// Reports whether an announcement, made at `announced`, is of an incarnation that left. A leave
    /// without an incarnation is compared by time.
    pub(super) fn apply_to(&self, announcement: &Announcement, announced: Instant) -> bool {
        match self.departures.get(&announcement.upstream) {
            Some(departure) => match departure.incarnation {
                Some(ended) => announcement.incarnation <= ended,
                None => announced < departure.at,
            },
            None => false,
        }
    }

    /// Returns the delta that relays the leave of an upstream.
    pub(super) fn delta(&self, upstream: &str) -> Option<Delta> {
        let departure = self.departures.get(upstream)?;
        Some(Delta::Leave(upstream.into(), departure.incarnation))
    }

    /// Returns the leaves that name an incarnation. Others can't be told again later: they would
    /// apply to a restart.
    pub(super) fn repeatable(&self) -> impl Iterator<Item = Delta> {
        let departures = self.departures.iter();
        departures
            .filter(|(_, departure)| departure.incarnation.is_some())
            .map(|(upstream, departure)| Delta::Leave(upstream.clone(), departure.incarnation))
    }

    /// Removes leaves that are older than `retention`.
    pub(super) fn remove_old(&mut self, retention: Duration, now: Instant) {
        self.departures
            .retain(|_, departure| now < departure.at + retention);
    }
}
