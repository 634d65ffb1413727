//! The directory of upstreams, which relays their announcements. The caller passes the time to each
//! call.

mod departures;
mod record;

use std::time::{Duration, Instant};

use config::ids::{Incarnation, ServiceId, UpstreamId};
use indexmap::{IndexMap, IndexSet};
use upstream::{Announcement, Availability, Conflict, Software};
use wire::{Delta, fingerprint};

use departures::Departures;
use record::Record;

/// Renewals after which the full announcement is relayed again.
const RENEWALS_PER_FULL: u32 = 20;
/// Time for which an upstream is kept after its lease has expired, so that an older announcement
/// that arrives late does not add it again.
const EXPIRED_RETENTION: Duration = Duration::from_secs(60);
/// Largest number of upstreams; announcements of further ones are ignored.
const MAX_UPSTREAMS: usize = 20_000;

/// The newest announcement of each upstream.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    records: IndexMap<UpstreamId, Record>,
    departures: Departures,
}

/// Effect of a leave on the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum Leave {
    /// The upstream is marked as leaving; with its last announcement.
    Marked(Box<Announcement>),
    /// The upstream is not known. The leave is kept for announcements that arrive later.
    Kept,
    /// The same leave is known.
    Repeated,
    /// A later incarnation of the upstream is known.
    Outdated,
}

/// Effect of a delta on the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// The announcement is newer than the known one; with the time at which it was made.
    Newer(Box<Announcement>, Instant),
    /// The upstream left, and no announcement of it is known.
    Departed(UpstreamId),
    /// Nothing changed.
    Unchanged,
    /// The delta is a renewal of an announcement that is not known; the full one is required.
    Missing(UpstreamId),
}

impl Directory {
    /// Returns the number of known upstreams.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Reports whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the announcements whose lease has not expired.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Announcement> {
        self.records
            .values()
            .filter(move |record| now < record.expires())
            .map(|record| &record.announcement)
    }

    /// Returns all announcements with the time at which they were made.
    pub fn announcements(&self) -> Vec<(Announcement, Instant)> {
        let records = self.records.values();
        records
            .map(|record| (record.announcement.clone(), record.announced))
            .collect()
    }

    /// Returns the software versions of a service's upstreams, each once, also of those whose lease
    /// expired a short time ago.
    pub fn software_of(&self, service: &ServiceId) -> Vec<Software> {
        let records = self.records.values();
        let own = records.filter(|record| record.announcement.service == *service);
        let versions: IndexSet<Software> = own
            .map(|record| record.announcement.software.clone())
            .collect();
        versions.into_iter().collect()
    }

    /// Reports whether an announcement of an upstream is known whose lease has not expired.
    pub fn knows(&self, upstream: &str, now: Instant) -> bool {
        let record = self.records.get(upstream);
        record.is_some_and(|record| now < record.expires())
    }

    /// Returns the availability in the newest announcement of an upstream.
    pub fn availability(&self, upstream: &str) -> Option<Availability> {
        let record = self.records.get(upstream)?;
        Some(record.announcement.availability)
    }

    /// Returns why an announcement that was made at `announced` can't be of the upstream that it names. One
    /// that leaves, or whose lease has expired, may come back as anything.
    pub fn conflict(&self, announcement: &Announcement, announced: Instant) -> Option<Conflict> {
        let record = self.records.get(&announcement.upstream)?;
        let known = &record.announcement;
        match known.availability {
            Availability::Serving if announced < record.expires() => {
                announcement.conflict_with(known)
            }
            _ => None,
        }
    }

    /// Stores an announcement that was made at `announced`, and returns it if it is newer than the
    /// known one and does not contradict it. It is stored as leaving if a leave that arrived before applies to it.
    pub fn insert(
        &mut self,
        announcement: Announcement,
        announced: Instant,
    ) -> Option<Announcement> {
        if self.conflict(&announcement, announced).is_some() {
            return None;
        }
        let announcement = match self.departures.apply_to(&announcement, announced) {
            true => leaving(announcement),
            false => announcement,
        };
        let version = |a: &Announcement| (a.incarnation, a.sequence);
        let newest = self.records.get(&announcement.upstream);
        let fingerprint = fingerprint(&announcement);
        let renewals = match newest {
            Some(known) if version(&known.announcement) >= version(&announcement) => return None,
            Some(known) if known.fingerprint == fingerprint => known.renewals + 1,
            None if self.records.len() >= MAX_UPSTREAMS => return None,
            _ => 0,
        };
        let upstream = announcement.upstream.clone();
        let record = Record {
            announced,
            fingerprint,
            renewals: renewals % RENEWALS_PER_FULL,
            announcement: announcement.clone(),
        };
        self.departures.forget(&upstream);
        self.records.insert(upstream, record);
        Some(announcement)
    }

    /// Marks an upstream as leaving. `incarnation` is the one that leaves, if it is known.
    pub fn mark_leaving(
        &mut self,
        upstream: &str,
        incarnation: Option<Incarnation>,
        now: Instant,
    ) -> Leave {
        let Some(record) = self.records.get(upstream) else {
            return match self.departures.keep(upstream, incarnation, now) {
                true => Leave::Kept,
                false => Leave::Repeated,
            };
        };
        let known = &record.announcement;
        match incarnation {
            Some(ended) if ended < known.incarnation => return Leave::Outdated,
            _ => {}
        }
        // A later incarnation left before its announcement arrived: it takes the place of this one.
        let last = Announcement {
            incarnation: incarnation.unwrap_or(known.incarnation),
            ..known.clone()
        };
        match self.insert(leaving(last), now) {
            Some(last) => Leave::Marked(Box::new(last)),
            None => Leave::Repeated,
        }
    }

    /// Applies a delta that was in transit for at most `transit`.
    pub fn apply(&mut self, delta: Delta, transit: Duration, now: Instant) -> Update {
        let announced_at = |age_ms| {
            let age = Duration::from_millis(age_ms) + transit;
            now.checked_sub(age).unwrap_or(now)
        };
        match delta {
            Delta::Leave(id, incarnation) => match self.mark_leaving(&id, incarnation, now) {
                Leave::Marked(announcement) => Update::Newer(announcement, now),
                Leave::Kept => Update::Departed(id),
                Leave::Repeated | Leave::Outdated => Update::Unchanged,
            },
            Delta::Full(full) => self.update(full.announcement, announced_at(full.age_ms)),
            Delta::Renewal(renewal) => {
                let announced = announced_at(renewal.5);
                match self.records.get(&renewal.1) {
                    Some(record) if record.matches(&renewal) => {
                        let announcement = Announcement {
                            sequence: renewal.4,
                            load: renewal.load(),
                            ..record.announcement.clone()
                        };
                        self.update(announcement, announced)
                    }
                    Some(record) if record.outranks(&renewal) => Update::Unchanged,
                    _ => Update::Missing(renewal.1),
                }
            }
        }
    }

    fn update(&mut self, announcement: Announcement, announced: Instant) -> Update {
        match self.insert(announcement, announced) {
            Some(stored) => Update::Newer(Box::new(stored), announced),
            None => Update::Unchanged,
        }
    }

    /// Returns the delta that relays the newest announcement of an upstream.
    pub fn delta(&self, upstream: &str, now: Instant) -> Option<Delta> {
        match self.records.get(upstream) {
            Some(record) if record.renewals > 0 => Some(record.renewal_delta(now)),
            _ => self.full_delta(upstream, now),
        }
    }

    /// Returns the full announcement of an upstream, or its leave.
    pub fn full_delta(&self, upstream: &str, now: Instant) -> Option<Delta> {
        match self.records.get(upstream) {
            Some(record) => Some(record.full_delta(now)),
            None => self.departures.delta(upstream),
        }
    }

    /// Returns all announcements in full, and the leaves of unknown upstreams.
    pub fn full_deltas(&self, now: Instant) -> Vec<Delta> {
        let announcements = self.records.values().map(|record| record.full_delta(now));
        announcements.chain(self.departures.repeatable()).collect()
    }

    /// Removes upstreams whose lease expired long ago, or that left long ago.
    pub fn remove_expired(&mut self, now: Instant) {
        self.records
            .retain(|_, record| now < record.expires() + EXPIRED_RETENTION);
        self.departures.remove_old(EXPIRED_RETENTION, now);
    }
}

/// Returns the announcement of an incarnation that left; it outranks all others of it.
fn leaving(announcement: Announcement) -> Announcement {
    Announcement {
        availability: Availability::Leaving,
        sequence: u64::MAX,
        ..announcement
    }
}
