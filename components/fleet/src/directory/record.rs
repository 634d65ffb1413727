//! The newest announcement of one upstream, and the deltas that relay it.

use std::time::{Duration, Instant};

use upstream::Announcement;
use wire::{AgedAnnouncement, Delta, Renewal};

/// The newest announcement of an upstream.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) announcement: Announcement,
    /// When it was made.
    pub(super) announced: Instant,
    pub(super) fingerprint: u64,
    /// Renewals since the full announcement was relayed.
    pub(super) renewals: u32,
}

impl Record {
    pub(super) fn expires(&self) -> Instant {
        self.announced + Duration::from_millis(self.announcement.lease_ms)
    }

    /// Returns the age in milliseconds, rounded up so that relaying it never extends a lease.
    pub(super) fn age_ms(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.announced);
        u64::try_from(age.as_millis() + 1).unwrap_or(u64::MAX)
    }

    pub(super) fn full_delta(&self, now: Instant) -> Delta {
        Delta::Full(AgedAnnouncement {
            age_ms: self.age_ms(now),
            announcement: self.announcement.clone(),
        })
    }

    pub(super) fn renewal_delta(&self, now: Instant) -> Delta {
        let announcement = &self.announcement;
        let load = announcement.load;
        Delta::Renewal(Renewal(
            announcement.service.clone(),
            announcement.upstream.clone(),
            announcement.incarnation,
            self.fingerprint,
            announcement.sequence,
            self.age_ms(now),
            (
                load.running,
                load.waiting,
                load.queued_prefill_tokens,
                load.age_ms,
            ),
        ))
    }

    /// Reports whether a renewal is of this announcement.
    pub(super) fn matches(&self, renewal: &Renewal) -> bool {
        self.announcement.incarnation == renewal.2 && self.fingerprint == renewal.3
    }

    /// Reports whether a renewal is not newer than the announcement.
    pub(super) fn outranks(&self, renewal: &Renewal) -> bool {
        let announcement = &self.announcement;
        (announcement.incarnation, announcement.sequence) >= (renewal.2, renewal.4)
    }
}
