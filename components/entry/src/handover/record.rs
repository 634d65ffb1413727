//! The state of a request that is handed over.

use bytes::Bytes;
use compact_str::CompactString;
use config::ids::{AccountId, RequestId, ServiceId, Version};
use config::text::Priority;
use serde::{Deserialize, Serialize};
use upstream::Software;

use crate::stream::Api;

/// Everything that another entry needs to continue an accepted request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The request.
    pub request: RequestId,
    /// The caller's account, which scopes the key.
    pub account: AccountId,
    /// The caller's idempotency key. Without one, the request's identifier serves as the key.
    pub key: Option<CompactString>,
    /// Hash of the caller's path and body, see `handover::fingerprint`.
    pub fingerprint: u64,
    /// The service.
    pub service: ServiceId,
    /// Version of the text under which the request was admitted.
    pub version: Version,
    /// Which API was called.
    #[serde(rename = "shape")]
    pub api: Api,
    /// Whether the caller requested a stream of events.
    pub stream: bool,
    /// Priority among waiting requests.
    pub priority: Priority,
    /// When the request was admitted, in seconds since the Unix epoch.
    pub created: u64,
    /// Milliseconds left until the request's timeout.
    pub remaining_ms: u64,
    /// Body of the call as it is sent to engines.
    pub body: Bytes,
    /// Tokens received so far.
    pub tokens: Vec<CompactString>,
    /// Software version of the engine that began the answer; `None` before its first token.
    pub software: Option<Software>,
    /// How many of the tokens were passed to the caller's connection.
    pub emitted: usize,
}

impl Record {
    /// Returns the key with which the caller can reconnect.
    pub fn key(&self) -> &str {
        self.key.as_deref().unwrap_or(&self.request)
    }
}
