//! Claims of idempotency keys: who may run a non-idempotent call, and what came of it.

use bytes::Bytes;
use compact_str::CompactString;
use config::ids::{AccountId, RequestId, Version};
use serde::{Deserialize, Serialize};

/// Asks for the right to run a call once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Account of the caller, which scopes the key.
    pub account: AccountId,
    /// The caller's idempotency key.
    pub key: CompactString,
    /// Hash of method, path and body; the same key with another hash is refused.
    pub fingerprint: u64,
    /// The request that asks.
    pub request: RequestId,
    /// Version of the text under which the entry admitted the call.
    pub version: Version,
}

/// Answer to a [`Claim`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// This request, and no other, may run the call, within `dispatch_within_ms` from asking.
    Granted {
        /// Milliseconds from the moment the entry asked; later it must not dispatch.
        dispatch_within_ms: u64,
    },
    /// Another request holds the claim and has not settled it.
    Held {
        /// The holder.
        holder: RequestId,
    },
    /// The call ran and its answer is recorded.
    Recorded(Answer),
    /// The call ran, but its answer was too large to record.
    NotRecorded {
        /// The request that ran it.
        holder: RequestId,
    },
    /// The holder may have run the call, and its answer is lost.
    Unknown {
        /// The request that may have run it.
        holder: RequestId,
    },
    /// The key was used with another method, path or body.
    Mismatch,
    /// The text in force is newer than the one that the entry admitted the call under; the call
    /// was not run.
    Outdated {
        /// Version in force.
        in_force: Version,
    },
    /// The table of claims is full; the call was not run.
    Full {
        /// Milliseconds after which a claim may be free.
        retry_after_ms: u64,
    },
}

/// What the holder reports at the end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Settlement {
    /// The upstream answered.
    Answered(Answer),
    /// The call did not reach an upstream; the key is free again.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// A recorded answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of `content-type`.
    pub content_type: CompactString,
    /// Body.
    pub body: Bytes,
}
