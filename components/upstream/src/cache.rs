//! Cache events, which engines publish late and with gaps.

use serde::{Deserialize, Serialize};

use crate::blocks::BlockHash;

/// Answer of `GET /v1/cache/events?after=N`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Page {
    /// Events after `N`, oldest first; a missing number is a gap.
    pub events: Vec<Event>,
    /// Number of the last event that the engine published.
    pub last: u64,
}

/// One change of a prefix cache.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Number of the event, one more than that of the one before.
    pub sequence: u64,
    /// What changed.
    pub change: Change,
}

/// What changed in a prefix cache.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Blocks were stored.
    Stored(Vec<BlockHash>),
    /// Blocks were evicted.
    Evicted(Vec<BlockHash>),
    /// All blocks were dropped.
    Cleared,
}

/// Answer of `GET /v1/cache/blocks`: the whole cache after event `last`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Contents {
    /// Blocks held.
    pub blocks: Vec<BlockHash>,
    /// Number of the last event that the contents include.
    pub last: u64,
}
