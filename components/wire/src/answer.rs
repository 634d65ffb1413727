//! Answers to requests.

use compact_str::CompactString;
use config::ids::{NodeId, Version};
use limits::{Drawn, Grant};
use serde::{Deserialize, Serialize};
use state::claim::Verdict;
use state::rollouts;
use state::text::Outcome;
use upstream::Software;

use crate::{Balances, Overview};

/// Answer to a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Answer {
    /// Answers `Confirm`.
    #[serde(rename = "Fresh")]
    FreshnessLease(FreshnessLease),
    /// Answers `Claim`.
    Verdict(Verdict),
    /// Answers `Settle` with whether the claim changed.
    Settled(bool),
    /// Answers `Draw` with a grant for each report, in order.
    #[serde(rename = "Drawn")]
    Grants(Vec<Grant>),
    /// Answers `Submit` and `Replace`.
    Submitted(Submitted),
    /// Answers `Report`.
    Overview(Box<Overview>),
    /// Answers `Balance`.
    Balances(Balances),
    /// Answers `DrawPermits`.
    Permits(Drawn),
    /// Answers `Query` with a JSON document, or with the text itself.
    Document(String),
    /// Answers `FetchText`.
    TextPart(patch::Part),
    /// Answers `FindOrigin`; `None` if the version is not known here.
    Origin(Option<Software>),
    /// Answers `ListSoftware`.
    Software(Vec<Software>),
    /// Answers `BeginRollout`.
    Rollout(rollouts::Outcome),
    /// Answers `Leave`, `RecordOrigin` and `Hold`.
    Done,
}

/// A freshness lease, which allows an entry to serve under the newest text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FreshnessLease {
    /// Newest version; the lease is valid only while the entry has this version in force.
    pub version: Version,
    /// Duration of the lease, in milliseconds from when the entry sent the request.
    pub lease_ms: u64,
    /// The newest text, if the entry has an older one in force and does not fetch it.
    pub source: Option<String>,
    /// The leader that granted the lease.
    pub leader: NodeId,
}

/// Outcome of a submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submitted {
    /// Outcome of the submission when it was first applied; a repetition returns the same.
    pub outcome: Outcome,
    /// Newest version at the time of the answer.
    pub newest: Version,
    /// Entries that may still serve under an older version; empty once the text is in force
    /// everywhere.
    pub missing: Vec<NodeId>,
    /// Difference between the submission's base and the newest text, for a conflict.
    pub difference: Option<String>,
}

/// Reason for which a request failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Failure {
    /// No leader is known or reachable, and nothing was proposed.
    NoLeader,
    /// The request may or may not have taken effect.
    Uncertain(CompactString),
    /// The request is invalid for this process or its state.
    Refused(CompactString),
}
