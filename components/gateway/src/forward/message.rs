//! What two entries say about a forwarded request, in headers of the request and its answer.

use std::time::Duration;

use config::ids::{AccountId, Incarnation, NodeId, RequestId, ServiceId, UpstreamId};
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tracing::warn;
use upstream::Software;

/// Header with the [`Attempt`] that the other entry is asked to make, in JSON.
pub(super) const ATTEMPT: HeaderName = HeaderName::from_static("chervilloft-attempt");
/// Header with what came of it: [`Served`] in JSON.
pub(super) const SERVED: HeaderName = HeaderName::from_static("chervilloft-served");
/// Header with what came of it if no upstream has answered: [`Failure`] in JSON.
pub(super) const FAILURE: HeaderName = HeaderName::from_static("chervilloft-failure");

/// Asks another entry for one attempt at a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Attempt {
    /// Entry that took the request from its caller.
    pub(crate) entry: NodeId,
    /// Identifier of the request, the same at both entries.
    pub(crate) request: RequestId,
    /// Version of the text by which the request was admitted.
    pub(crate) version: u64,
    /// Service of the route that was selected.
    pub(crate) service: ServiceId,
    /// Account of the caller, if there is one.
    pub(crate) account: Option<AccountId>,
    /// Software version at which a stream has to go on; `None` for any.
    pub(crate) software: Option<Software>,
    /// Upstreams that were tried before.
    pub(crate) excluded: Vec<UpstreamId>,
    /// Time until the deadline, in milliseconds.
    pub(crate) time_left_ms: u64,
    /// Last event received of an earlier run.
    pub(crate) resume_after: Option<u64>,
    /// Whether no other attempt will follow.
    pub(crate) is_last: bool,
}

impl Attempt {
    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        Duration::from_millis(self.time_left_ms)
    }
}

/// The upstream to which the other entry sent the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Served {
    /// Name of the upstream.
    pub(crate) upstream: UpstreamId,
    /// Incarnation of the upstream.
    pub(crate) incarnation: Incarnation,
    /// Version of the upstream's software.
    pub(crate) software: Software,
}

/// Why no upstream has answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Failure {
    /// Upstream to which the request was sent, if it was.
    pub(crate) served: Option<Served>,
    /// The reason.
    pub(crate) reason: Reason,
}

/// Reason for which no upstream has answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Reason {
    /// The other entry can't make the attempt, and nothing was sent.
    Unable(String),
    /// No upstream takes work, and nothing was sent.
    NoUpstream,
    /// Upstreams are overloaded or have paused for so many milliseconds; nothing was sent.
    Overloaded(u64),
    /// The upstream refused the request without running it.
    NotRun,
    /// The connection to the upstream broke; the request may have run.
    Broken(String),
    /// The answer was invalid; the request may have run.
    Unknown(String),
    /// No answer came in time; the request may have run.
    TimedOut,
}

/// Encodes a message as the value of a header. One that a header can't hold, as with a DEL in the
/// text of an error, becomes an empty one, which the other entry takes for an unclear outcome.
pub(super) fn encode<T: Serialize>(message: &T) -> HeaderValue {
    let json = serde_json::to_vec(message).unwrap_or_default();
    HeaderValue::from_bytes(&json).unwrap_or_else(|error| {
        warn!("forward: a message can't be encoded: {error}");
        HeaderValue::from_static("{}")
    })
}

/// Decodes the message of a header; `None` if there is none or it can't be read.
pub(super) fn decode<T: DeserializeOwned>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    serde_json::from_slice(headers.get(name)?.as_bytes()).ok()
}
