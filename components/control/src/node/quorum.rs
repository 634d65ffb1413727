//! Tells operators when the group has no leader, or tolerates fewer losses than it should.

use std::sync::Arc;
use std::time::{Duration, Instant};

use state::{Command, Output};
use tokio::time::sleep;
use tracing::{info, warn};

use super::Node;
use crate::replica::{Replica, Status};

/// Time between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a leader after which the group is reported; an election takes less.
const NO_LEADER_REPORT_AFTER: Duration = Duration::from_secs(2);
/// Time for which the group tolerates fewer losses than it should before that is reported; a restart of
/// a process takes less.
const MARGIN_REPORT_AFTER: Duration = Duration::from_secs(5);

/// A condition that is reported once it has lasted for a time, and again when it ends.
#[derive(Debug, Default)]
struct Condition {
    since: Option<Instant>,
    is_reported: bool,
}

/// What to report of a condition, with the time since it began.
#[derive(Debug)]
enum Report {
    Lasts(Duration),
    Ended(Duration),
}

impl Condition {
    /// Records whether the condition holds; it is reported after `limit`.
    fn update(&mut self, holds: bool, limit: Duration) -> Option<Report> {
        let since = self.since.get_or_insert_with(Instant::now);
        let elapsed = since.elapsed();
        match holds {
            true if elapsed > limit && !std::mem::replace(&mut self.is_reported, true) => {
                Some(Report::Lasts(elapsed))
            }
            true => None,
            false => {
                self.since = None;
                std::mem::take(&mut self.is_reported).then_some(Report::Ended(elapsed))
            }
        }
    }
}

/// Reports in logs and metrics while no leader is known here, and, as the leader, while the group
/// tolerates fewer losses than it should.
pub(crate) async fn watch_quorum<R>(node: Arc<Node<R>>)
where
    R: Replica<Command = Command, Output = Output>,
{
    let mut no_leader = Condition::default();
    let mut reduced_margin = Condition::default();
    while !*node.stopped.borrow() {
        sleep(POLL_INTERVAL).await;
        let status = node.replica.status();
        node.report_leader(&status, &mut no_leader);
        node.report_margin(&status, &mut reduced_margin);
    }
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    fn report_leader(&self, status: &Status, no_leader: &mut Condition) {
        let has_leader = self.leads() || status.leader.is_some();
        self.metrics.has_leader.set(i64::from(has_leader));
        match no_leader.update(!has_leader, NO_LEADER_REPORT_AFTER) {
            Some(Report::Ended(elapsed)) => info!(
                elapsed_ms = elapsed.as_millis(),
                "control: the group has a leader again"
            ),
            Some(Report::Lasts(elapsed)) => {
                let reached = |name: &&config::ids::NodeId| {
                    **name == self.settings.node || self.peers.is_connected(name)
                };
                let reached = status.voters.iter().filter(reached).count();
                warn!(
                    elapsed_ms = elapsed.as_millis(),
                    voters = status.voters.join(", "),
                    reached,
                    "control: the group has no leader; {reached} of {} voters can be reached",
                    status.voters.len()
                );
            }
            None => {}
        }
    }

    fn report_margin(&self, status: &Status, reduced: &mut Condition) {
        let margin = status.margin.clone().unwrap_or_default();
        let (tolerated, full) = (margin.tolerated, margin.full);
        let gauge = i64::try_from(tolerated).unwrap_or(i64::MAX);
        self.metrics.tolerated_losses.set(gauge);
        self.metrics
            .margin_reduced
            .set(i64::from(margin.is_reduced()));
        match reduced.update(margin.is_reduced(), MARGIN_REPORT_AFTER) {
            Some(Report::Lasts(elapsed)) => {
                let missing: Vec<_> = margin.missing.iter().map(ToString::to_string).collect();
                warn!(
                    elapsed_ms = elapsed.as_millis(),
                    missing = missing.join(", "),
                    learners = status.learners.join(", "),
                    "control: the group tolerates {tolerated} more losses of voters, not {full}"
                );
            }
            Some(Report::Ended(elapsed)) if status.margin.is_some() => info!(
                elapsed_ms = elapsed.as_millis(),
                "control: the group tolerates {tolerated} losses of voters again"
            ),
            Some(Report::Ended(_)) | None => {}
        }
    }
}
