//! What a stopping entry hands over of a request that it can't finish in time.

use compact_str::CompactString;
use config::ids::{AccountId, RequestId, ServiceId, Version};

/// Everything that another entry needs to go on with an accepted stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The request.
    pub request: RequestId,
    /// The caller's account, which scopes the key.
    pub account: AccountId,
    /// The caller's key, without which it can't come back for the answer.
    pub key: Option<CompactString>,
    /// Service that answers.
    pub service: ServiceId,
    /// Version of the text under which the request was admitted.
    pub version: Version,
    /// Path of the call.
    pub path: CompactString,
    /// Body of the call as engines get it, tokens included.
    pub body: bytes::Bytes,
    /// Tokens received so far.
    pub tokens: Vec<CompactString>,
    /// Tokens of them that were given to the caller's connection.
    pub emitted: usize,
}

/// The edge to the process that goes on with a request.
pub trait Keeper: Send + Sync + 'static {
    /// Takes a request over, and reports whether it did.
    fn keep(&self, record: Record) -> bool;
}

/// Takes nothing over.
#[derive(Clone, Copy, Debug, Default)]
pub struct Nobody;

impl Keeper for Nobody {
    fn keep(&self, record: Record) -> bool {
        tracing::warn!(
            request = %record.request,
            tokens = record.tokens.len(),
            "request: nobody takes it over"
        );
        false
    }
}
