//! Texts that operators submit on a base version, at the leader.

use std::time::Duration;

use config::ids::{NodeId, Version};
use state::text::{Outcome, Submission};
use state::{Change, Command, Output};
use tracing::info;
use wire::{Answer, Failure, Submitted};

use super::Node;
use super::leader::unexpected_output;
use super::replacement::Entries;
use crate::difference;
use crate::replica::Replica;

/// Longest wait of a submission for its version to be in force everywhere. A replacement waits as
/// long as its request says.
const MAX_IN_FORCE_WAIT: Duration = Duration::from_secs(30);

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Commits a submission, and waits until its version is in force everywhere.
    pub(super) async fn submit(
        &self,
        submission: Submission,
        wait: Duration,
    ) -> Result<Answer, Failure> {
        let base = submission.base;
        self.parse_submitted(submission.source.as_str().into())
            .await?;
        let id = submission.id.clone();
        let outcome = match self.commit(Change::Submit(submission)).await? {
            Output::Submitted(outcome) => outcome,
            output => return Err(unexpected_output(&output)),
        };
        info!("control: submission \"{id}\" on base {base}: {outcome:?}");
        let missing = match outcome {
            Outcome::Accepted { version } => {
                self.peers.announce_version(version);
                self.wait_in_force(version, Entries::WithLease, wait.min(MAX_IN_FORCE_WAIT))
                    .await?
            }
            _ => Vec::new(),
        };
        Ok(Answer::Submitted(
            self.submission_result(outcome, base, missing),
        ))
    }

    pub(super) fn submission_result(
        &self,
        outcome: Outcome,
        base: Version,
        missing: Vec<NodeId>,
    ) -> Submitted {
        let state = self.machine.read();
        let texts = state.texts();
        let newest = texts.newest();
        let source = |version| texts.revision(version).map(|r| &*r.source);
        let difference = match outcome {
            Outcome::Conflict { .. } if base == 0 => source(newest).map(|n| (n, "")),
            Outcome::Conflict { .. } => source(newest).zip(source(base)),
            _ => None,
        };
        Submitted {
            outcome,
            newest,
            missing,
            difference: difference.map(|(new, old)| difference::lines(old, new)),
        }
    }
}
