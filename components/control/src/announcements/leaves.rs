//! Leaves of upstreams, which a majority of the group holds before they are acknowledged.
//!
//! An upstream may say only once that it leaves, and this process may be killed or cut off right after
//! it has acknowledged that. Two majorities have a member in common: while the group works, one that
//! holds the leave is among those that entries hear.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::ids::UpstreamId;
use config::release;
use fleet::Holders;
use indexmap::IndexSet;
use link::Connection;
use state::{Command, Output};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};
use tracing::warn;
use wire::{Delta, Role};

use super::BATCH_INTERVAL;
use crate::Node;
use crate::replica::Replica;

/// Time for which leaves are collected before the others are asked to hold them.
const COLLECTION_INTERVAL: Duration = Duration::from_millis(10);

/// Leaves that others are to hold.
#[derive(Debug, Default)]
pub(super) struct Queue {
    collected: Mutex<Round>,
    added: Notify,
    /// Leaves that another control process asked this one to hold, and that are not repeated yet.
    held: Mutex<IndexSet<UpstreamId>>,
}

/// Leaves that the others are asked to hold in one message.
#[derive(Debug, Default)]
struct Round {
    upstreams: IndexSet<UpstreamId>,
    outcome: watch::Sender<Option<bool>>,
}

impl Queue {
    /// Adds a leave. The receiver gets whether enough others hold it.
    fn add(&self, upstream: UpstreamId) -> watch::Receiver<Option<bool>> {
        let mut collected = self.collected();
        collected.upstreams.insert(upstream);
        self.added.notify_one();
        collected.outcome.subscribe()
    }

    fn take(&self) -> Round {
        std::mem::take(&mut *self.collected())
    }

    fn collected(&self) -> MutexGuard<'_, Round> {
        let collected = self.collected.lock();
        collected.unwrap_or_else(PoisonError::into_inner)
    }

    fn held(&self) -> MutexGuard<'_, IndexSet<UpstreamId>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Tells everyone that an upstream leaves, and returns whether enough others hold it.
    pub(crate) async fn hold_leave(&self, upstream: UpstreamId) -> bool {
        let mut outcome = self.announcements.leaves.add(upstream);
        let outcome = outcome.wait_for(Option::is_some).await;
        outcome.is_ok_and(|outcome| *outcome == Some(true))
    }

    /// Holds changes that the other end of a connection is about to acknowledge, and relays them.
    pub(crate) fn handle_hold(&self, from: &Connection, deltas: Vec<Delta>, age: Duration) {
        let updated = self.relay(from, deltas, age);
        if from.hello().role == Role::Control {
            self.announcements.leaves.held().extend(updated);
        }
    }

    /// Tells the other control processes what this one was asked to hold, as the process that asked
    /// may not have reached all of them.
    pub(super) fn repeat_leaves(&self) {
        let held = std::mem::take(&mut *self.announcements.leaves.held());
        if !held.is_empty() {
            let mut deltas = self.announcements.full_deltas(&held);
            // A leave that names no incarnation would apply to a restart since then.
            deltas.retain(|delta| !matches!(delta, Delta::Leave(_, None)));
            self.inform_controls(&deltas);
        }
    }

    /// Asks the others to hold the leaves of a round.
    async fn hold_round(self: Arc<Self>, round: Round) {
        let deltas = self.announcements.full_deltas(&round.upstreams);
        let held = self
            .holders()
            .hold(deltas, |body| self.local_request(body))
            .await;
        if !held {
            let upstreams: Vec<&str> = round.upstreams.iter().map(|name| &**name).collect();
            warn!(
                upstreams = upstreams.join(", "),
                "control: too few others confirm that upstreams leave"
            );
        }
        round.outcome.send_replace(Some(held));
    }

    /// Returns who has to hold a leave: a majority of the voters, or of the members that this process
    /// was told of if it knows no voters; an entry if there is no other control process.
    fn holders(&self) -> Holders {
        let status = self.replica.status();
        let members = match status.voters.is_empty() {
            true => status.told_group,
            false => status.voters,
        };
        let own = &self.settings.node;
        let controls = self.peers.control_connections();
        let subscribers = self.announcements.subscribers().clone();
        let mut holders = Holders::majority(&members, own, controls);
        if holders.needed > 0 {
            holders.informed.extend(subscribers);
            return holders;
        }
        let confirms = |connection: &Connection| connection.level() >= release::HOLDS;
        let (confirming, informed): (Vec<_>, Vec<_>) = subscribers.into_iter().partition(confirms);
        Holders {
            needed: confirming.len().min(1),
            confirming,
            informed: [holders.informed, informed].concat(),
        }
    }
}

/// Asks others to hold the collected leaves until the process stops.
pub(crate) async fn run<R>(node: Arc<Node<R>>)
where
    R: Replica<Command = Command, Output = Output>,
{
    while !*node.stopped.borrow() {
        // Without leaves it looks now and then whether the process stops.
        let leaves = &node.announcements.leaves;
        if timeout(BATCH_INTERVAL, leaves.added.notified())
            .await
            .is_ok()
        {
            sleep(COLLECTION_INTERVAL).await;
            tokio::spawn(node.clone().hold_round(leaves.take()));
        }
    }
}
