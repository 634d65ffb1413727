//! The explanation that an entry gives.

use std::net::SocketAddr;

use compact_str::CompactString;
use config::ids::{AccountId, DataCentreId, NodeId, RequestId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::balancer::{Candidate, Choice, LeftOut};

/// What would happen to a request now, and what that depends on. Fields that an older release does not
/// state have their defaults.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Answer {
    /// Name of the entry.
    pub entry: NodeId,
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Version of the text by which it decides; 0 before the first one.
    pub version: u64,
    /// Age of the leader's newest overview, in milliseconds; `None` before the first one.
    pub overview_age_ms: Option<f64>,
    /// Whether the entry has heard of all upstreams that joined some time ago.
    pub is_settled: bool,
    /// The request; `None` if it has no route or account.
    pub subject: Option<Subject>,
    /// Whether the service is balanced by work; otherwise by requests.
    pub is_by_work: bool,
    /// Decision by the token limit of the account; `None` if it has none.
    pub limit: Option<Limit>,
    /// Decision by the plan of admission; `None` if there is none for the service.
    pub plan: Option<Planned>,
    /// What would happen to the request.
    pub course: Course,
    /// Upstreams that may take it, in the order in which one is looked for.
    pub candidates: Vec<Candidate>,
    /// Other upstreams of the service.
    pub left_out: Vec<LeftOut>,
}

/// The request, as the entry would decide about it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Subject {
    /// Identifier.
    pub id: RequestId,
    /// Name of the route.
    pub route: CompactString,
    /// Selected service of the route.
    pub service: ServiceId,
    /// Name of the account.
    pub account: Option<AccountId>,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Target of the time to the first event, in milliseconds.
    pub target_ms: f64,
    /// Time until the deadline, in milliseconds.
    pub time_left_ms: f64,
    /// Longest expected time to the first event with which it is sent, unless its own prompt takes most
    /// of that time, in milliseconds; `None` for no bound but the deadline.
    pub max_wait_ms: Option<f64>,
    /// Expected work besides its prompt, in milliseconds of a usual upstream; `None` if the service is
    /// balanced by requests.
    pub work_ms: Option<f64>,
}

/// Decision by the token limit of an account.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    /// Tokens that the request takes.
    pub tokens: u64,
    /// `admitted`, `refused`, or `draw` if the entry would ask the leader, whose answer is not known.
    pub decision: CompactString,
}

/// Decision by the plan of admission.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Planned {
    /// Share of the requests of its rank and account that are admitted.
    pub share: f64,
    /// `admitted`, `refused`, or `room` if it is beyond the share and the engines have room.
    pub decision: CompactString,
}

/// What would happen to a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Course {
    /// It is sent to an upstream.
    Sent(Chosen),
    /// Another entry is asked to send it, and chooses the upstream.
    Forwarded {
        /// Name of that entry.
        entry: NodeId,
    },
    /// The entry asks the leader for a permit, and sends it to one of these if it gets one.
    NeedsPermit {
        /// Upstreams that name a limit.
        upstreams: Vec<UpstreamId>,
        /// What the caller gets at the least without a permit. The leader states the time to retry.
        otherwise: Refused,
    },
    /// It is refused.
    Refused(Refused),
}

impl Default for Course {
    fn default() -> Self {
        Course::Refused(Refused::default())
    }
}

/// The upstream that a request would be sent to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Chosen {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// Version of its software.
    pub software: CompactString,
    /// Engine from which it may fetch parts of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Expected time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Why it is chosen, as in the log.
    pub reason: CompactString,
}

impl From<&Choice> for Chosen {
    fn from(choice: &Choice) -> Self {
        Chosen {
            upstream: choice.upstream.clone(),
            address: choice.address,
            software: choice.software.as_str().into(),
            fetch_from: choice.fetch_from,
            first_event_ms: choice.expected_first_event.as_secs_f64() * 1_000.0,
            reason: choice.reason.clone(),
        }
    }
}

/// The refusal that the caller would get.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Refused {
    /// Name, as in logs and metrics.
    pub name: CompactString,
    /// The message.
    pub message: CompactString,
    /// Status of the answer.
    pub status: u16,
    /// Value of `Retry-After`, if there is one.
    pub retry_after: Option<CompactString>,
}
