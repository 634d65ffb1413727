//! Commands, which are the entries of the replicated log.

use config::ids::{Incarnation, NodeId};
use config::release::{self, Level};
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::claim::{Claim, Settlement};
use crate::ledger::Usage;
use crate::order::Order;
use crate::rollouts::{self, Advance};
use crate::spending::Slices;
use crate::text::{Edit, Replacement, Submission};
use crate::usage::{Counts, Window};

/// A change of the replicated state, with the time at which the leader proposed it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Command {
    /// The leader's wall clock when it proposed the command.
    pub at: Millis,
    /// What changes.
    pub change: Change,
}

/// What a command changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// Replaces the operators' text if its base is the newest version.
    Submit(Submission),
    /// Replaces the operators' text by one that has a higher version.
    Replace(Replacement),
    /// Does the same with a patch of the newest text, if that has not changed meanwhile.
    Edit(Edit),
    /// Claims the right to run a call once.
    Claim {
        /// Entry that claims it.
        entry: NodeId,
        /// Incarnation of the entry's process.
        incarnation: Incarnation,
        /// The claim.
        claim: Claim,
        /// Milliseconds for which the outcome is kept after the claim is settled.
        retention_ms: u64,
    },
    /// Reports the result of a call that was claimed.
    Settle {
        /// Entry that reports it.
        entry: NodeId,
        /// Incarnation of the entry's process.
        incarnation: Incarnation,
        /// The claim as it was granted.
        claim: Claim,
        /// Result of the call.
        settlement: Settlement,
    },
    /// Registers an entry that starts to serve, or that serves again after it was lost.
    Join {
        /// The entry.
        entry: NodeId,
        /// Incarnation of the entry's process.
        incarnation: Incarnation,
    },
    /// Marks an entry as lost because its freshness lease has expired.
    Lost {
        /// The entry.
        entry: NodeId,
        /// Incarnation of the entry's process.
        incarnation: Incarnation,
    },
    /// Adds instance hours to the ledger.
    #[serde(rename = "Use")]
    AddUsage(Usage),
    /// Records an order before it is sent, and gives it a fencing number.
    Order(Order),
    /// Assigns the duties that only one process may have at a time, under a new fencing number.
    #[serde(rename = "Take")]
    TakeDuties {
        /// Control process that takes over the duties.
        holder: NodeId,
    },
    /// Closes a window, so that its counts are final.
    #[serde(rename = "Close")]
    CloseWindow {
        /// The window.
        window: Window,
        /// Requests that ran in it, by account.
        counts: Counts,
    },
    /// Marks the reports of all windows up to this one as accepted by the cloud.
    #[serde(rename = "Reported")]
    MarkReported(Window),
    /// Records what the accounts that used much of their limit spent within the last window.
    #[serde(rename = "Spend")]
    RecordSpending(Slices),
    /// Records the parts of prompts and the requests that are in quarantine.
    RecordVerdicts(Vec<quarantine::Record>),
    /// Begins a roll-out, unless another one of the service is in progress.
    BeginRollout(rollouts::Order),
    /// Begins the next phase of a roll-out.
    AdvanceRollout(Advance),
    /// Advances the time of the state without any other change.
    Tick,
}

impl Change {
    /// Returns the lowest level of a process that can read the change.
    pub fn level(&self) -> Level {
        match self {
            Change::Edit(_) => release::EDITS,
            Change::RecordVerdicts(_) => release::PERMITS,
            Change::BeginRollout(_) | Change::AdvanceRollout(_) => release::ROLLOUTS,
            Change::Submit(_)
            | Change::Replace(_)
            | Change::Claim { .. }
            | Change::Settle { .. }
            | Change::Join { .. }
            | Change::Lost { .. }
            | Change::AddUsage(_)
            | Change::Order(_)
            | Change::TakeDuties { .. }
            | Change::CloseWindow { .. }
            | Change::MarkReported(_)
            | Change::RecordSpending(_)
            | Change::Tick => release::UNDECLARED,
        }
    }
}
