//! Requests that expect an answer.

use config::ids::{Incarnation, NodeId, ServiceId, Version};
use config::release::{self, Level};
use limits::{Draw, Process};
use serde::{Deserialize, Serialize};
use state::claim::{Claim, Settlement};
use state::rollouts;
use state::text::{Edit, Replacement, Submission};
use upstream::{Origin, StreamKey};

use crate::{Delta, Report, Statements};

/// A request, on behalf of one process of an entry or of an operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// Entry or control process that makes the request, also if another process forwards it.
    pub node: NodeId,
    /// Incarnation of that process.
    pub incarnation: Incarnation,
    /// Whether a control process forwarded the request; it is forwarded at most once.
    pub forwarded: bool,
    /// Operation that is requested.
    pub body: Body,
}

/// Operation that is requested.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// An entry requests a freshness lease.
    Confirm {
        /// Version that the entry has in force; 0 for none.
        #[serde(rename = "holds")]
        version: Version,
        /// Whether the entry fetches newer texts with [`Body::FetchText`]. Otherwise the lease
        /// carries them.
        #[serde(default)]
        fetches: bool,
    },
    /// An entry fetches a part of a text. Every control process that has applied the text answers
    /// by itself.
    FetchText(patch::Range),
    /// An entry stops for good and gives up its lease.
    Leave,
    /// An entry requests the exclusive right to run a call.
    Claim(Claim),
    /// An entry reports the outcome of a claim.
    Settle(Claim, Settlement),
    /// An entry reports its use of accounts' limits, and requests further grants.
    Draw(Vec<Draw>),
    /// An operator submits a text, and waits up to `wait_ms` until it is in force everywhere.
    Submit {
        /// The submission.
        submission: Submission,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
    },
    /// An operator submits a text whose version the operator chose, and waits up to `wait_ms` until
    /// it is in force everywhere.
    Replace {
        /// The text.
        replacement: Replacement,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
    },
    /// Like `Replace`, with a patch of the text that the sender knows as the newest. The outcome is
    /// a conflict if the leader has another one.
    Edit {
        /// The text.
        edit: Edit,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
    },
    /// An entry reports its work, and requests the sums over all entries.
    Report(Box<Report>),
    /// An entry needs a larger allotment of the token limit of accounts, between two reports.
    Balance(Statements),
    /// An entry needs permits for requests to one of the upstreams.
    DrawPermits {
        /// Upstreams that name a limit and that may take the request.
        wanted: Vec<Process>,
        /// Requests that the entry expects within a quarter of a second.
        count: u32,
    },
    /// An entry records at which software version a stream began. Every control process answers
    /// by itself.
    RecordOrigin(Origin),
    /// An entry asks at which software version a stream began. Every control process answers by
    /// itself.
    FindOrigin(StreamKey),
    /// A process that learned of changes of upstreams asks the receiver to hold them, before it
    /// acknowledges them. The receiver also relays them.
    Hold(Vec<Delta>),
    /// An entry asks for the software versions of the upstreams of a service, including those that
    /// left a short time ago. Every control process answers by itself.
    ListSoftware(ServiceId),
    /// An operator orders a roll-out.
    BeginRollout(rollouts::Order),
    /// An operator reads the leader's state.
    Query(Query),
}

impl Body {
    /// Returns the lowest level of a process that can read the request.
    pub fn level(&self) -> Level {
        match self {
            Body::FetchText(_) | Body::Edit { .. } => release::EDITS,
            Body::DrawPermits { .. } => release::PERMITS,
            Body::Hold(_) | Body::ListSoftware(_) => release::HOLDS,
            Body::BeginRollout(_) | Body::Query(Query::Rollouts) => release::ROLLOUTS,
            Body::Confirm { .. }
            | Body::Leave
            | Body::Claim(_)
            | Body::Settle(..)
            | Body::Draw(_)
            | Body::Submit { .. }
            | Body::Replace { .. }
            | Body::Report(_)
            | Body::Balance(_)
            | Body::RecordOrigin(_)
            | Body::FindOrigin(_)
            | Body::Query(_) => release::UNDECLARED,
        }
    }
}

/// A document that operators read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Query {
    /// The text in force with its version and submitter, in JSON.
    Text,
    /// The text in force exactly as submitted; empty before the first.
    Source,
    /// State of the leader, the quorum and the entries, in JSON.
    Status,
    /// Calls whose outcome is unknown, in JSON.
    Unknowns,
    /// The usage ledger, in JSON.
    Ledger,
    /// Orders to engines and the cloud, in JSON.
    Orders,
    /// The newest roll-out of each service, in JSON.
    Rollouts,
}
