//! Routes by host and path.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::ServiceId;

/// Services, timeouts and retry rules of the requests to one host and path prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Route {
    /// Name, shown in logs and metrics.
    pub name: CompactString,
    /// Host header of the requests, without a port.
    pub host: CompactString,
    /// Prefix of the path; it begins and ends with a slash.
    pub prefix: CompactString,
    /// Services that serve the route, with their weights.
    pub splits: Vec<Split>,
    /// Whether requests may be repeated, and the form of the answer.
    #[serde(default)]
    pub kind: Kind,
    /// Longest time until the end of the answer.
    #[serde(with = "crate::duration")]
    pub timeout: Duration,
    /// Latency target: time until the answer, or until the first event of a stream. The longest wait
    /// for an upstream and the time after which a call is retried are derived from it.
    #[serde(with = "crate::duration")]
    pub target: Duration,
    /// Target of the time between two events of a stream.
    #[serde(default = "default_gap", with = "crate::duration")]
    pub gap: Duration,
    /// Rank of requests; 0 is served first. The rank of an account takes precedence.
    #[serde(default)]
    pub rank: u8,
    /// Most upstreams to which one request is sent.
    #[serde(default = "one")]
    pub attempts: u32,
    /// Whether requests are accepted without a key.
    #[serde(default)]
    pub public: bool,
}

impl Route {
    /// Reports whether requests on the route may go to `service`.
    pub fn may_select(&self, service: &str) -> bool {
        let mut splits = self.splits.iter();
        splits.any(|split| split.service == service && split.weight > 0)
    }
}

/// A service of a route and its share of the requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Split {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight relative to the other services of the route.
    #[serde(default = "one")]
    pub weight: u32,
}

/// Whether requests may be repeated, and the form of the answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A single answer; the request may run more than once.
    Idempotent,
    /// A single answer; the request runs at most once.
    #[default]
    Once,
    /// A stream of events; the request runs at most once.
    Stream,
    /// A stream of events that another run can continue after the last event received.
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

fn default_gap() -> Duration {
    Duration::from_secs(1)
}
