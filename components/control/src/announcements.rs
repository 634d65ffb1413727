//! Distribution of upstreams' announcements to all entries.
//!
//! An upstream announces itself either to an entry, which sends the announcement to every control
//! process that it is connected to, or to a control process. A control process forwards it to the
//! entries that subscribed here and, if it came from an entry or an upstream, to the other control
//! processes, so that one broken connection loses no announcement.
//!
//! What is forwarded is collected first: renewals that an upstream sent to this process for longer, all
//! else for a moment. Hundreds of upstreams may start or leave at the same time, and a message for
//! each of them to each of hundreds of entries would keep the links busy that the control group needs
//! to stay in contact.
//!
//! That an upstream leaves is acknowledged only once a majority of the group holds it (`leaves`): the
//! upstream may say it only once.

mod leaves;
mod outbox;
mod unnamed;

pub(crate) use leaves::run as run_leaves;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use config::ids::{Incarnation, ServiceId, UpstreamId};
use fleet::{Directory, Leave, Update, inform};
use indexmap::IndexSet;
use link::Connection;
use state::{Command, Output};
use tokio::time::{sleep, timeout};
use tracing::info;
use upstream::{Announcement, Availability, Conflict, Software};
use wire::{Delta, Push, Role};

use crate::Node;
use crate::node::plans::Supplies;
use crate::replica::Replica;
use outbox::{Audience, Outbox};
use unnamed::Unnamed;

/// Time for which renewals are collected before they are forwarded.
const BATCH_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which changes are collected before they are forwarded.
const CHANGE_INTERVAL: Duration = Duration::from_millis(30);

/// Upstreams that are known here, and the connections that subscribed to their announcements.
#[derive(Debug, Default)]
pub(crate) struct Announcements {
    directory: Mutex<Directory>,
    subscribers: Mutex<Vec<Connection>>,
    /// Upstreams whose renewals were received here and are not forwarded yet.
    deferred: Mutex<IndexSet<UpstreamId>>,
    outbox: Outbox,
    leaves: leaves::Queue,
    unnamed: Unnamed,
}

impl Announcements {
    pub(crate) fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn subscribers(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends the announcements of all known upstreams.
    pub(crate) fn send_all(&self, to: &Connection) {
        let all = self.directory().full_deltas(Instant::now());
        inform(to, &all);
    }

    pub(crate) fn unsubscribe(&self, connection: &Connection) {
        self.subscribers()
            .retain(|other| other.is_open() && !other.is_same(connection));
    }

    /// Applies deltas. Returns the upstreams that they updated, and those whose full announcement
    /// is missing here.
    fn apply(&self, deltas: Vec<Delta>, age: Duration) -> (IndexSet<UpstreamId>, Vec<UpstreamId>) {
        let now = Instant::now();
        let mut directory = self.directory();
        directory.remove_expired(now);
        let (mut updated, mut missing) = (IndexSet::new(), Vec::new());
        for delta in deltas {
            match directory.apply(delta, age, now) {
                Update::Newer(announcement, _) => {
                    updated.insert(announcement.upstream);
                }
                Update::Departed(upstream) => {
                    updated.insert(upstream);
                }
                Update::Missing(upstream) => missing.push(upstream),
                Update::Unchanged => {}
            }
        }
        (updated, missing)
    }

    fn deltas(&self, upstreams: &IndexSet<UpstreamId>) -> Vec<Delta> {
        let now = Instant::now();
        let directory = self.directory();
        let delta = |upstream: &UpstreamId| directory.delta(upstream, now);
        upstreams.iter().filter_map(delta).collect()
    }

    fn full_deltas(&self, upstreams: &IndexSet<UpstreamId>) -> Vec<Delta> {
        let now = Instant::now();
        let directory = self.directory();
        let delta = |upstream: &UpstreamId| directory.full_delta(upstream, now);
        upstreams.iter().filter_map(delta).collect()
    }

    fn defer(&self, upstream: UpstreamId) {
        let mut deferred = self.deferred.lock().unwrap_or_else(PoisonError::into_inner);
        deferred.insert(upstream);
    }

    fn take_deferred(&self) -> IndexSet<UpstreamId> {
        let mut deferred = self.deferred.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *deferred)
    }

    /// Returns the software versions of a service's upstreams, also of those that left a short time
    /// ago.
    pub(crate) fn software_of(&self, service: &ServiceId) -> Vec<Software> {
        self.directory().software_of(service)
    }

    /// Returns the upstreams that serve, by service.
    pub(crate) fn supplies(&self) -> Supplies {
        let mut supplies = Supplies::new();
        let directory = self.directory();
        let live = directory.live(Instant::now());
        for announcement in live.filter(|a| a.availability == Availability::Serving) {
            let supply = supplies.entry(announcement.service.clone()).or_default();
            supply.upstreams.push(announcement.upstream.clone());
            supply.places += announcement.capacity.batch;
        }
        supplies
    }

    /// Returns the announcements whose lease has not expired.
    pub(crate) fn live(&self) -> Vec<Announcement> {
        self.directory().live(Instant::now()).cloned().collect()
    }
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Returns the upstreams that are known here and whose lease has not expired.
    pub fn upstreams(&self) -> Vec<Announcement> {
        self.announcements.live()
    }

    /// Applies an announcement that an upstream sent to this process, and forwards it. One by which
    /// the upstream leaves is left to [`Node::hold_leave`].
    ///
    /// # Errors
    /// If it can't be of the upstream that it names; what is known of that one stands.
    pub(crate) fn handle_announcement(&self, announcement: Announcement) -> Result<(), Conflict> {
        let upstream = announcement.upstream.clone();
        let availability = announcement.availability;
        if availability == Availability::Serving && self.keep_unnamed(&announcement) {
            return Ok(());
        }
        let (before, stored) = {
            let now = Instant::now();
            let mut directory = self.announcements.directory();
            if let Some(conflict) = directory.conflict(&announcement, now) {
                return Err(conflict);
            }
            let before = directory.availability(&upstream);
            (before, directory.insert(announcement, now))
        };
        match (before, stored) {
            (_, None) => {}
            (Some(before), _) if before == availability => self.announcements.defer(upstream),
            _ => {
                info!(upstream = %upstream, "control: upstream \"{upstream}\" is {availability:?}");
                if availability == Availability::Serving {
                    let outbox = &self.announcements.outbox;
                    outbox.add([upstream], Audience::Everyone);
                }
            }
        }
        Ok(())
    }

    /// Marks an upstream as leaving, after it reported to this process that it leaves.
    pub(crate) fn handle_leave(
        &self,
        upstream: &UpstreamId,
        incarnation: Option<Incarnation>,
    ) -> Leave {
        let mut directory = self.announcements.directory();
        let leave = directory.mark_leaving(upstream, incarnation, Instant::now());
        info!(
            upstream = %upstream,
            known = matches!(leave, Leave::Marked(_)),
            "control: upstream \"{upstream}\" leaves"
        );
        leave
    }

    fn broadcast(&self, upstreams: &IndexSet<UpstreamId>) {
        self.broadcast_deltas(&self.announcements.deltas(upstreams));
    }

    fn broadcast_deltas(&self, deltas: &[Delta]) {
        for subscriber in self.announcements.subscribers().iter() {
            inform(subscriber, deltas);
        }
        self.inform_controls(deltas);
    }

    fn inform_controls(&self, deltas: &[Delta]) {
        for control in self.peers.control_connections() {
            inform(&control, deltas);
        }
    }

    /// Handles a message that expects no answer.
    pub(crate) fn handle_push(&self, from: &Connection, push: Push, age: Duration) {
        match push {
            Push::Subscribe => {
                self.announcements.subscribers().push(from.clone());
                self.announcements.send_all(from);
            }
            Push::Unsubscribe => self.announcements.unsubscribe(from),
            Push::Upstreams(deltas) => {
                self.relay(from, deltas, age);
            }
            Push::Missing(upstreams) => {
                let now = Instant::now();
                let directory = self.announcements.directory();
                let announcements = upstreams
                    .iter()
                    .filter_map(|u| directory.full_delta(u, now));
                from.push(Push::Upstreams(announcements.collect()));
            }
            Push::Group(group) => self.replica.learn_group(group),
            Push::Newest(_) | Push::Draining(_) | Push::Log { .. } => {}
        }
    }

    /// Applies deltas and forwards them. Returns the upstreams that they updated.
    fn relay(&self, from: &Connection, deltas: Vec<Delta>, age: Duration) -> IndexSet<UpstreamId> {
        let (updated, missing) = self.announcements.apply(deltas, age);
        if !missing.is_empty() {
            from.push(Push::Missing(missing));
        }
        let audience = match from.hello().role {
            Role::Entry => Audience::Everyone,
            Role::Control => Audience::Subscribers,
        };
        if !updated.is_empty() {
            let outbox = &self.announcements.outbox;
            outbox.add(updated.iter().cloned(), audience);
        }
        updated
    }

    /// Forwards the collected changes.
    pub(crate) fn forward_changes(&self) {
        let pending = self.announcements.outbox.take();
        let to_everyone = self.announcements.deltas(&pending.everyone);
        let to_subscribers = self.announcements.deltas(&pending.subscribers);
        self.broadcast_deltas(&to_everyone);
        for subscriber in self.announcements.subscribers().iter() {
            inform(subscriber, &to_subscribers);
        }
    }
}

/// Forwards changes until the process stops.
pub(crate) async fn run_outbox<R>(node: Arc<Node<R>>)
where
    R: Replica<Command = Command, Output = Output>,
{
    while !*node.stopped.borrow() {
        // Without changes it looks now and then whether the process stops.
        let added = node.announcements.outbox.added();
        if timeout(BATCH_INTERVAL, added).await.is_ok() {
            sleep(CHANGE_INTERVAL).await;
            node.forward_changes();
        }
    }
}

/// Forwards the collected renewals until the process stops.
pub(crate) async fn run<R>(node: Arc<Node<R>>)
where
    R: Replica<Command = Command, Output = Output>,
{
    while !*node.stopped.borrow() {
        sleep(BATCH_INTERVAL).await;
        let deferred = node.announcements.take_deferred();
        if !deferred.is_empty() {
            node.broadcast(&deferred);
        }
        node.repeat_leaves();
    }
}
