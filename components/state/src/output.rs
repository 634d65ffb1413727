//! Results of commands.

use serde::{Deserialize, Serialize};

use crate::claim::Verdict;
use crate::rollouts;
use crate::text::Outcome;

/// Result of a [`crate::Command`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Output {
    /// Result of a submission.
    Submitted(Outcome),
    /// Result of a claim.
    Verdict(Verdict),
    /// Whether a settlement changed the claim.
    Settled(bool),
    /// Fencing number of a recorded order.
    Fence(u64),
    /// Result of an order of a roll-out.
    Rollout(rollouts::Outcome),
    /// Whether the next phase of a roll-out has begun.
    Advanced(bool),
    /// The command has no result.
    Done,
    /// The command was applied before and changed nothing.
    Skipped,
}
