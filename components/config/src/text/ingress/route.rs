//! Routes by host and path.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::ServiceId;

/// Where requests to one host and path go, and what may be done with them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: CompactString,
    /// Host that requests name, without a port.
    pub host: CompactString,
    /// Beginning of the path, from slash to slash.
    pub prefix: CompactString,
    /// Services that serve the route.
    pub splits: Vec<Split>,
    /// What may be repeated, and how the answer comes.
    #[serde(default)]
    pub kind: Kind,
    /// Longest time that a caller is kept waiting for the end of the answer.
    #[serde(with = "crate::duration")]
    pub timeout: Duration,
    /// Time within which the answer, or the first event of a stream, is due.
    #[serde(with = "crate::duration")]
    pub target: Duration,
    /// Longest pause between two events of a stream that is on time.
    #[serde(default = "second", with = "crate::duration")]
    pub gap: Duration,
    /// Rank among routes; 0 comes first. An account's own rank goes before it.
    #[serde(default)]
    pub rank: u8,
    /// Most upstreams to which one request may be sent.
    #[serde(default = "one")]
    pub attempts: u32,
    /// Whether requests need no key.
    #[serde(default)]
    pub public: bool,
}

/// The share of one service in a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Split {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the other services of the route.
    #[serde(default = "one")]
    pub weight: u32,
}

/// What may be repeated, and how the answer comes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A whole answer; the request may run more than once.
    Idempotent,
    /// A whole answer; the request runs at most once.
    #[default]
    Once,
    /// A stream of events; the request runs at most once.
    Stream,
    /// A stream of events that another run can go on with.
    ResumableStream,
}

impl Kind {
    /// Reports whether a request that may have run can be sent again from the beginning.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::ResumableStream)
    }

    /// Reports whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::ResumableStream)
    }
}

fn one() -> u32 {
    1
}

fn second() -> Duration {
    Duration::from_secs(1)
}
