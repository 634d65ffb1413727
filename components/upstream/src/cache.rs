//! Events of prefix caches. Engines publish them with a delay, and some events may be lost.

use serde::{Deserialize, Serialize};

use crate::blocks::BlockHash;

/// Response to `GET /v1/cache/events?after=N`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Page {
    /// Events after `N`, oldest first; a missing sequence number means that an event was lost.
    pub events: Vec<Event>,
    /// Sequence number of the last event that the engine published.
    pub last: u64,
}

/// An event of a prefix cache.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Sequence number of the event, one more than that of the previous event.
    pub sequence: u64,
    /// Change of the cache.
    pub change: Change,
}

/// Change of a prefix cache.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Blocks were stored.
    Stored(Vec<BlockHash>),
    /// Blocks were evicted.
    Evicted(Vec<BlockHash>),
    /// All blocks were removed.
    Cleared,
}

/// Response to `GET /v1/cache/blocks`: the full contents of the cache after event `last`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Contents {
    /// Blocks in the cache.
    pub blocks: Vec<BlockHash>,
    /// Sequence number of the last event that the contents include.
    pub last: u64,
}
