//! Reports of entries on their work, and the leader's sums over all entries.

use std::net::SocketAddr;

use admission::Plan;
use config::ids::{AccountId, NodeId, ServiceId, UpstreamId};
use limits::{Naming, Permit, Refusals, Statement};
use performance::{Model, Sample};
use serde::{Deserialize, Serialize};
use state::usage::Window;

use crate::{MomentTable, SpeedTable, WorkTable};

/// Report of an entry on its work. Its totals count from the start of the process.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Statements about the accounts with a token limit.
    #[serde(rename = "spent")]
    pub statements: Statements,
    /// Requests that started to run, by accounting window and account.
    #[serde(rename = "begun")]
    pub started: Vec<(Window, AccountId, u64)>,
    /// Work in progress, by upstream.
    #[serde(rename = "held")]
    pub work: Vec<(UpstreamId, Work)>,
    /// Demand admitted since the process started, by service.
    #[serde(rename = "offered")]
    pub demand: Vec<(ServiceId, DemandTotals)>,
    /// Crashes of upstreams, and what is known of the parts of prompts.
    #[serde(default)]
    pub quarantine: quarantine::Report,
    /// The same for requests, by their fingerprints.
    #[serde(default)]
    pub requests: quarantine::Report,
    /// Limits that upstreams named and that differ from what the leader has told.
    #[serde(default)]
    pub limits: Limits,
    /// What upstreams said about the refusals that they bear, where it differs from what the leader
    /// has told.
    #[serde(default)]
    pub refusals: Vec<Refusals>,
    /// Address at which the entry takes requests that others forward; `None` if it takes none.
    #[serde(default)]
    pub forwarding: Option<SocketAddr>,
    /// Services of which the entry reaches no upstream.
    #[serde(default)]
    pub out_of_reach: Vec<ServiceId>,
    /// Samples of complete answers since the last report.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub samples: Vec<(ServiceId, Vec<Sample>)>,
    /// Models that the entry has and the leader has not told.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<(ServiceId, Model)>,
    /// Whether the entry reads [`Overview::work_table`] in place of [`Overview::work`].
    #[serde(default, skip_serializing_if = "is_false")]
    pub reads_work_table: bool,
    /// Evidence of the speeds of upstreams that the entry has.
    #[serde(default, skip_serializing_if = "SpeedTable::is_empty")]
    pub speeds: SpeedTable,
    /// Services of which an upstream stated its slowdown, so that they are balanced by work unless the
    /// text says otherwise.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub by_work: Vec<ServiceId>,
    /// What follows from the newest statements of upstreams to the entry.
    #[serde(default, skip_serializing_if = "MomentTable::is_empty")]
    pub moments: MomentTable,
    /// Demand for the services that are balanced by work, by rank and account.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<(ServiceId, admission::Report)>,
    /// What the entry counted in each roll-out of which the leader told.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<rollout::Report>,
    /// Whether the entry keeps to [`Overview::rollouts`].
    #[serde(default, skip_serializing_if = "is_false")]
    pub reads_rollouts: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_false(flag: &bool) -> bool {
    !flag
}

/// Totals of what callers requested of a service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DemandTotals {
    /// Number of requests.
    pub requests: u64,
    /// Tokens of their prompts.
    pub input_tokens: u64,
    /// Largest number of tokens that their answers may have.
    pub output_tokens: u64,
}

/// Work in progress at one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Work {
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens of requests whose first event has not arrived.
    pub prefill_tokens: u32,
    /// Expected time of the generations and plain calls in progress, in milliseconds of a usual upstream;
    /// `None` if the service is not balanced by work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work_ms: Option<u32>,
}

impl Work {
    /// Returns this work and `other`.
    #[must_use]
    pub fn with(self, other: Work) -> Work {
        let work_ms = match (self.work_ms, other.work_ms) {
            (Some(own), Some(other)) => Some(own.saturating_add(other)),
            (own, other) => own.or(other),
        };
        Work {
            requests: self.requests.saturating_add(other.requests),
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
            work_ms,
        }
    }

    /// Returns this work without the `part` of it.
    #[must_use]
    pub fn without(self, part: Work) -> Work {
        let part_ms = part.work_ms.unwrap_or_default();
        Work {
            requests: self.requests.saturating_sub(part.requests),
            prefill_tokens: self.prefill_tokens.saturating_sub(part.prefill_tokens),
            work_ms: self.work_ms.map(|work_ms| work_ms.saturating_sub(part_ms)),
        }
    }
}

/// Statements of an entry about accounts with a token limit. At most one of them about an account
/// waits for its answer at a time.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Statements {
    /// Number that is higher than that of all earlier statements of the process.
    pub number: u64,
    /// The statements.
    pub accounts: Vec<(AccountId, Statement)>,
}

/// Answer to [`Statements`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Balances {
    /// Length of the window over which the limits apply, in milliseconds.
    pub window_ms: u64,
    /// Balances of the accounts that the statements name and that have a limit.
    pub accounts: Vec<(AccountId, Balance)>,
}

/// An account's token limit, as the leader knows it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Balance {
    /// Tokens that all entries together may spend now; negative after they spent too fast.
    #[serde(rename = "left")]
    pub available: i64,
    /// Tokens that the entry may spend within any window.
    #[serde(rename = "part")]
    pub allotment: u64,
}

/// State of all entries, as the leader knows it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Overview {
    /// The leader's time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Number of entries that serve or reported recently.
    pub entries: u32,
    /// Time since another process of the reporting entry was replaced or lost, in milliseconds.
    #[serde(default)]
    pub replaced_ms: Option<u64>,
    /// Answer to the statements of the report.
    pub balances: Balances,
    /// Work in progress of all entries, including the reporting one, by upstream; empty for an entry that
    /// reads the table.
    #[serde(rename = "held")]
    pub work: Vec<(UpstreamId, Work)>,
    /// The same in a short form.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work_table: Option<WorkTable>,
    /// [`Work::work_ms`] of each row of that table, 0 for none; empty if no row has one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub work_ms: Vec<u32>,
    /// Evidence of the speeds of upstreams that all entries have together, including the reporting one;
    /// `None` if the entry was told a moment ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speeds: Option<SpeedTable>,
    /// What follows from the newest statements of upstreams to all entries.
    #[serde(default, skip_serializing_if = "MomentTable::is_empty")]
    pub moments: MomentTable,
    /// Parts of prompts under suspicion and in quarantine.
    #[serde(default)]
    pub quarantine: quarantine::Notice,
    /// Requests under suspicion and in quarantine, by their fingerprints.
    #[serde(default)]
    pub requests: quarantine::Notice,
    /// Limits that upstreams named; `None` if the entry has the newest ones.
    #[serde(default)]
    pub limits: Option<Limits>,
    /// Permits that nobody has drawn.
    #[serde(default)]
    pub permits: Vec<Permit>,
    /// What upstreams said about the refusals that they bear.
    #[serde(default)]
    pub refusals: Vec<Refusals>,
    /// Position of the reporting entry among all, from 0, and their number; set while upstreams bear
    /// few refusals.
    #[serde(default)]
    pub position: Option<(u32, u32)>,
    /// Entries to which the reporting one may forward requests: they reach the upstreams that it
    /// does not.
    #[serde(default)]
    pub forwarders: Vec<Forwarder>,
    /// What the upstreams of each service do, as far as it is known.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<(ServiceId, Model)>,
    /// Shares of the requests that are admitted, for services that can't take all of them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub plans: Vec<(ServiceId, Plan)>,
    /// The roll-outs that are in progress or were rolled back.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<rollout::Stage>,
}

/// An entry that takes requests of others and sends them to upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Forwarder {
    /// Name of the entry.
    pub node: NodeId,
    /// Address at which it takes them.
    pub address: SocketAddr,
}

/// Limits that upstreams named in their answers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Limits {
    /// Number of the newest change of the leader's that is known.
    pub number: u64,
    /// What the upstreams said.
    pub namings: Vec<Naming>,
}
