//! At which software versions streams began, so that they go on there.
//!
//! The module reads no clock; callers pass the current time.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::Software;

/// Time for which a record is kept at least. Callers come back for a stream before its deadline.
const MIN_RETENTION: Duration = Duration::from_secs(60);
/// Records after which the older half is discarded early, to bound the memory.
const MAX_RECENT: usize = 100_000;

/// Key of a stream: a hash of its account and of the request that brought its first event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StreamKey(u64, u64);

impl StreamKey {
    /// Returns the key of the stream that the request `begun` of `account` began.
    pub fn new(account: &str, begun: &str) -> StreamKey {
        let mut hash = Xxh3::new();
        // The length separates the two texts.
        hash.update(&account.len().to_le_bytes());
        hash.update(account.as_bytes());
        hash.update(begun.as_bytes());
        let hash = hash.digest128();
        StreamKey((hash >> 64) as u64, hash as u64)
    }

    /// Returns a part of the hash, from which the holders of the record are derived.
    pub fn seed(&self) -> u64 {
        self.0
    }
}

/// The software version of the upstream that began a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Origin {
    /// The stream.
    pub key: StreamKey,
    /// Version of the upstream's software.
    pub software: Software,
}

/// Records of the streams that began recently.
#[derive(Debug, Default)]
pub struct Origins {
    /// Newer records. `None` is the version of a stream that began at two versions, because its
    /// caller used the identifier twice.
    recent: IndexMap<StreamKey, Option<Software>>,
    older: IndexMap<StreamKey, Option<Software>>,
    /// When `recent` got its first record.
    since: Option<Instant>,
}

impl Origins {
    /// Adds a record. A second one about the same stream must agree, or its version is unknown.
    pub fn record(&mut self, origin: Origin, now: Instant) {
        let is_due = |since: &Instant| now.saturating_duration_since(*since) >= MIN_RETENTION;
        if self.since.as_ref().is_some_and(is_due) || self.recent.len() >= MAX_RECENT {
            self.older = std::mem::take(&mut self.recent);
            self.since = None;
        }
        self.since.get_or_insert(now);
        let known = self.known(&origin.key).cloned();
        let software = match known {
            Some(known) if known.as_ref() != Some(&origin.software) => None,
            _ => Some(origin.software),
        };
        self.recent.insert(origin.key, software);
    }

    /// Returns the version at which a stream began, if it is known.
    pub fn find(&self, key: &StreamKey) -> Option<&Software> {
        self.known(key)?.as_ref()
    }

    fn known(&self, key: &StreamKey) -> Option<&Option<Software>> {
        self.recent.get(key).or_else(|| self.older.get(key))
    }
}
