//! The leader's record of which entry may serve under which version. It reads no clock: the time is
//! an argument of each call.

use std::time::{Duration, Instant};

use config::ids::{Incarnation, NodeId, Version};
use indexmap::IndexMap;

/// Time that the leader adds to each lease, for clocks that run at different rates.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(250);

/// Freshness leases by entry.
#[derive(Clone, Debug)]
pub struct Leases {
    /// Length of a lease with its margin.
    duration: Duration,
    leases: IndexMap<(NodeId, Incarnation), Lease>,
}

/// Lease of one process of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Newest version that the entry reported as in force; 0 if unknown.
    pub version: Version,
    /// Time until which the entry may serve under that version.
    pub expires_at: Instant,
    /// When the entry was last heard of.
    pub heard_at: Instant,
}

impl Leases {
    /// Starts without entries, for leases of length `lease`.
    pub fn new(lease: Duration) -> Self {
        Leases {
            duration: lease + CLOCK_DRIFT_MARGIN,
            leases: IndexMap::new(),
        }
    }

    /// Starts a term. Each of `entries` may hold a lease of an earlier leader, under any version.
    pub fn take_over(
        &mut self,
        entries: impl Iterator<Item = (NodeId, Incarnation)>,
        now: Instant,
    ) {
        let expires_at = now + self.duration;
        let lease = Lease {
            version: 0,
            expires_at,
            heard_at: now,
        };
        self.leases = entries.map(|process| (process, lease)).collect();
    }

    /// Records that an entry with `version` in force requests a lease. Must be called before the
    /// lease is granted.
    pub fn record(
        &mut self,
        entry: &NodeId,
        incarnation: Incarnation,
        version: Version,
        now: Instant,
    ) {
        let expires_at = now + self.duration;
        let process = (entry.clone(), incarnation);
        let lease = self.leases.entry(process).or_insert(Lease {
            version,
            expires_at,
            heard_at: now,
        });
        lease.heard_at = now;
        lease.version = lease.version.max(version);
        lease.expires_at = lease.expires_at.max(expires_at);
    }

    /// Records that an entry was heard of, if it has a lease.
    pub fn hear(&mut self, entry: &NodeId, incarnation: Incarnation, now: Instant) {
        if let Some(lease) = self.leases.get_mut(&(entry.clone(), incarnation)) {
            lease.heard_at = now;
        }
    }

    /// Returns the entries that may still serve under a version older than `version`.
    pub fn missing(&self, version: Version, now: Instant) -> Vec<NodeId> {
        self.missing_in_contact(version, self.duration, now)
    }

    /// Returns the entries that may still serve under a version older than `version` and that were
    /// heard of within `contact`.
    pub fn missing_in_contact(
        &self,
        version: Version,
        contact: Duration,
        now: Instant,
    ) -> Vec<NodeId> {
        let is_missing = |lease: &Lease| {
            now < lease.expires_at && now < lease.heard_at + contact && lease.version < version
        };
        let missing = self.leases.iter().filter(|(_, lease)| is_missing(lease));
        missing.map(|((entry, _), _)| entry.clone()).collect()
    }

    /// Returns the entries that were not heard of within `contact` and lack `version` as far as is
    /// known, each with the time since it was heard of.
    pub fn silent(
        &self,
        version: Version,
        contact: Duration,
        now: Instant,
    ) -> Vec<(NodeId, Duration)> {
        let silence = |lease: &Lease| now.saturating_duration_since(lease.heard_at);
        let leases = self.iter();
        let silent =
            leases.filter(|(_, lease)| lease.version < version && now >= lease.heard_at + contact);
        silent
            .map(|(entry, lease)| (entry.clone(), silence(lease)))
            .collect()
    }

    /// Returns the entries whose lease has expired.
    pub fn expired(&self, now: Instant) -> Vec<(NodeId, Incarnation)> {
        self.leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(process, _)| process.clone())
            .collect()
    }

    /// Removes an entry that left or was lost, unless it requested a lease since then.
    pub fn remove(&mut self, entry: &NodeId, incarnation: Incarnation, now: Instant) {
        let process = (entry.clone(), incarnation);
        if self
            .leases
            .get(&process)
            .is_some_and(|l| l.expires_at <= now)
        {
            self.leases.swap_remove(&process);
        }
    }

    /// Ends the lease of an entry that gave it up.
    pub fn release(&mut self, entry: &NodeId, incarnation: Incarnation, now: Instant) {
        if let Some(lease) = self.leases.get_mut(&(entry.clone(), incarnation)) {
            lease.expires_at = now;
        }
    }

    /// Returns all leases.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, &Lease)> {
        self.leases.iter().map(|((entry, _), lease)| (entry, lease))
    }
}
