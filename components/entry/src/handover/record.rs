//! What is handed over of a request.

use bytes::Bytes;
use compact_str::CompactString;
use config::ids::{AccountId, RequestId, ServiceId, Version};
use config::text::Priority;
use serde::{Deserialize, Serialize};

use crate::stream::Shape;

/// Everything that another entry needs to go on with an accepted request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The request.
    pub request: RequestId,
    /// The caller's account, which scopes the key.
    pub account: AccountId,
    /// The caller's key; without one, the request's identifier serves as the key.
    pub key: Option<CompactString>,
    /// Number of the caller's path and body, see [`super::fingerprint`].
    pub fingerprint: u64,
    /// Service that answers.
    pub service: ServiceId,
    /// Version of the text under which the request was admitted.
    pub version: Version,
    /// Which API was called.
    pub shape: Shape,
    /// Whether the caller wants events.
    pub stream: bool,
    /// Priority among waiting requests.
    pub priority: Priority,
    /// When the answer was begun, in seconds since the Unix epoch.
    pub created: u64,
    /// Milliseconds left until the request's timeout.
    pub remaining_ms: u64,
    /// Body of the call as engines get it.
    pub body: Bytes,
    /// Tokens received so far.
    pub tokens: Vec<CompactString>,
    /// Tokens of them that were given to the caller's connection.
    pub emitted: usize,
}

impl Record {
    /// Returns the key by which the caller can come back.
    pub fn key(&self) -> &str {
        self.key.as_deref().unwrap_or(&self.request)
    }
}
