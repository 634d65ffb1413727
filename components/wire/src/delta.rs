//! Changes of upstreams, as they are relayed between processes.

use config::ids::{Incarnation, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};
use upstream::{Announcement, Load};
use xxhash_rust::xxh3::xxh3_64;

/// A change of one upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Delta {
    /// A full announcement.
    #[serde(rename = "w")]
    Full(AgedAnnouncement),
    /// A renewal, which changes only the load and the sequence number of an announcement.
    #[serde(rename = "r")]
    Renewal(Renewal),
    /// An upstream leaves, and the sender knows no announcement of it; with the incarnation that
    /// leaves, if known.
    #[serde(rename = "l")]
    Leave(UpstreamId, Option<Incarnation>),
}

/// A full announcement with its age.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AgedAnnouncement {
    /// Milliseconds since the upstream made the announcement.
    pub age_ms: u64,
    /// The announcement.
    pub announcement: Announcement,
}

/// The changes of a renewal, as a tuple to keep the encoding short.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Renewal(
    /// Service of the upstream.
    pub ServiceId,
    /// The upstream.
    pub UpstreamId,
    /// Incarnation of the upstream's process.
    pub Incarnation,
    /// Fingerprint of the full announcement that is renewed.
    pub u64,
    /// Sequence number of the renewal.
    pub u64,
    /// Milliseconds since the upstream sent the renewal.
    pub u64,
    /// Load: running requests, waiting requests, queued prefill tokens, and age in milliseconds.
    pub (u32, u32, u64, u64),
);

impl Renewal {
    /// Returns the load report.
    pub fn load(&self) -> Load {
        let (running, waiting, queued_prefill_tokens, age_ms) = self.6;
        Load {
            running,
            waiting,
            queued_prefill_tokens,
            age_ms,
        }
    }
}

/// Returns a hash of everything in an announcement except its load and its sequence number.
pub fn fingerprint(announcement: &Announcement) -> u64 {
    let without_load = Announcement {
        sequence: 0,
        load: Load::default(),
        ..announcement.clone()
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&without_load, &mut bytes).expect("an announcement can be encoded");
    xxh3_64(&bytes)
}
