//! Claims of idempotency keys, which decide what request may run a non-idempotent call.

use bytes::Bytes;
use compact_str::CompactString;
use config::ids::{AccountId, RequestId, Version};
use serde::{Deserialize, Serialize};

/// A claim of the right to run a call once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Account of the caller, which scopes the key.
    pub account: AccountId,
    /// The caller's idempotency key.
    pub key: CompactString,
    /// Hash of method, path and body; the same key with another hash is refused.
    pub fingerprint: u64,
    /// The request that claims the key.
    pub request: RequestId,
    /// Version of the operators' text under which the entry admitted the call.
    pub version: Version,
}

/// Answer to a [`Claim`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// Only this request may run the call, and only if it dispatches it in time.
    Granted {
        /// Milliseconds after the entry sent the claim within which it must dispatch the call.
        dispatch_within_ms: u64,
    },
    /// Another request holds the claim and has not settled it. Also the verdict on a claim that
    /// arrives after its own request settled it as not run; the holder is then that request.
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
    /// The holder may have run the call, and the answer is lost.
    Unknown {
        /// The request that may have run it.
        holder: RequestId,
    },
    /// The key was claimed before with another method, path or body.
    Mismatch,
    /// The text in force is newer than the one that the entry admitted the call under; the call
    /// was not run.
    Outdated {
        /// Version in force.
        in_force: Version,
    },
    /// The table of claims is full; the call was not run.
    Full {
        /// Milliseconds until the next claim is due, when there may be space for another one.
        retry_after_ms: u64,
    },
}

/// Result of a call, as reported by the holder of its claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Settlement {
    /// The upstream answered.
    Answered(Answer),
    /// The call did not reach an upstream; the key may be claimed again.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// The recorded answer of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of `content-type`.
    pub content_type: CompactString,
    /// Body.
    pub body: Bytes,
}
