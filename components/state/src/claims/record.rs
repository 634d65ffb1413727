//! A granted claim of the table.

use compact_str::CompactString;
use config::ids::{AccountId, Incarnation, NodeId, RequestId};
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::claim::{Answer, Verdict};

/// A granted claim and its outcome.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Record {
    pub(crate) fingerprint: u64,
    pub(crate) holder: Holder,
    pub(crate) granted_at: Millis,
    pub(crate) retention_ms: u64,
    pub(crate) due: Millis,
    pub(crate) outcome: Outcome,
}

/// The request that may run a call, and the entry's process that serves it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Holder {
    pub(crate) request: RequestId,
    pub(crate) entry: NodeId,
    pub(crate) incarnation: Incarnation,
}

/// The outcome of a claimed call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Outcome {
    Pending,
    Answered(Answer),
    NotRecorded,
    Unknown,
}

impl Record {
    /// Returns the verdict on another claim of the same key; a repeated claim by the holder is
    /// granted again while it is pending.
    pub(crate) fn verdict(&self, fingerprint: u64, claimant: &Holder, dispatch_ms: u64) -> Verdict {
        let holder = self.holder.request.clone();
        match &self.outcome {
            _ if self.fingerprint != fingerprint => Verdict::Mismatch,
            Outcome::Pending if self.holder == *claimant => Verdict::Granted {
                dispatch_within_ms: dispatch_ms,
            },
            Outcome::Pending => Verdict::Held { holder },
            Outcome::Answered(answer) => Verdict::Recorded(answer.clone()),
            Outcome::NotRecorded => Verdict::NotRecorded { holder },
            Outcome::Unknown => Verdict::Unknown { holder },
        }
    }

    pub(crate) fn answer_bytes(&self) -> usize {
        match &self.outcome {
            Outcome::Answered(answer) => answer.body.len(),
            _ => 0,
        }
    }
}

/// A call that may have run and whose answer is lost, as shown to operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Unknown {
    /// Account of the caller.
    pub account: AccountId,
    /// The caller's idempotency key.
    pub key: CompactString,
    /// The request that may have run the call.
    pub request: RequestId,
    /// Entry that served the request.
    pub entry: NodeId,
    /// When the claim was granted.
    pub granted_at: Millis,
    /// When the key is removed and may be claimed again.
    pub forgotten_at: Millis,
}
