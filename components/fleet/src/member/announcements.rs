//! Relays the announcements that upstreams send to this entry, and applies those that control
//! processes relay to it.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use config::ids::{NodeId, UpstreamId};
use errors::{Error, Peer, Result, Step};
use indexmap::IndexSet;
use link::Connection;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use tracing::info;
use upstream::{Announcement, Availability, Routes};
use wire::{Answer, Body, Delta, Failure, Push};

use super::Shared;
use crate::{Holders, Update, View, inform};

/// Time for which renewals are collected before they are relayed in one batch.
const BATCH_WINDOW: Duration = Duration::from_millis(200);
/// Interval of the removal of expired upstreams.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an expired route stays in the view, for logs.
const EXPIRED_RETENTION: Duration = Duration::from_secs(10);

/// Announcements that wait to be relayed and to be published in the view.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pending: Mutex<Pending>,
    urgent: Notify,
}

#[derive(Debug, Default)]
struct Pending {
    rebuild: bool,
    relay: IndexSet<UpstreamId>,
    publish: Vec<(Announcement, Instant)>,
}

impl Queue {
    fn push(&self, announcement: Announcement, announced: Instant, relay: bool) {
        let urgent = announcement.availability != Availability::Serving;
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if relay {
            pending.relay.insert(announcement.upstream.clone());
        }
        pending.publish.push((announcement, announced));
        if urgent {
            self.urgent.notify_one();
        }
    }

    fn rebuild(&self) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.rebuild = true;
        self.urgent.notify_one();
    }

    fn take(&self) -> Pending {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *pending)
    }
}

impl Shared {
    /// Replaces the set of draining upstreams.
    pub(crate) fn set_draining(&self, upstreams: Vec<UpstreamId>) {
        let upstreams: IndexSet<UpstreamId> = upstreams.into_iter().collect();
        let mut draining = self.draining.lock().unwrap_or_else(PoisonError::into_inner);
        if *draining != upstreams {
            info!("fleet: draining upstreams: {}", upstreams.len());
            *draining = upstreams;
            self.queue.rebuild();
        }
    }

    /// Applies an announcement that an upstream sent to this entry.
    pub(crate) fn handle_announcement(&self, announcement: Announcement) {
        let now = Instant::now();
        let stored = self.directory().insert(announcement, now);
        if let Some(announcement) = stored {
            self.queue.push(announcement, now, true);
        }
    }

    /// Applies an announcement by which an upstream leaves, and returns once a majority of the control
    /// processes holds it.
    ///
    /// # Errors
    /// If a majority does not confirm that in time.
    pub(crate) async fn handle_leave(&self, announcement: Announcement) -> Result<()> {
        let now = Instant::now();
        let upstream = announcement.upstream.clone();
        let (stored, delta) = {
            let mut directory = self.directory();
            let stored = directory.insert(announcement, now);
            (stored, directory.full_delta(&upstream, now))
        };
        if let Some(announcement) = stored {
            self.queue.push(announcement, now, false);
        }
        let deltas = delta.into_iter().collect();
        let holders = self.holders();
        match holders.hold(deltas, |body| self.request(body)).await {
            true => Ok(()),
            false => {
                let peer = Peer::Name("control".into());
                let reason = format!("too few hold that \"{upstream}\" leaves");
                Err(Error::Protocol(Step::Commit, peer, reason))
            }
        }
    }

    /// Returns the control processes of which a majority decides for the group.
    pub(super) fn holders(&self) -> Holders {
        let mut members: Vec<NodeId> = self.group().iter().cloned().collect();
        if members.is_empty() {
            let peers = self.settings.peers.iter();
            members = peers.map(|peer| peer.node.clone()).collect();
        }
        let connections = self.links.connections().values().cloned().collect();
        Holders::majority(&members, &self.identity.node, connections)
    }

    /// Applies deltas that a control process relayed, and requests missing announcements from it.
    pub(crate) fn apply_deltas(&self, deltas: Vec<Delta>, age: Duration, from: &Connection) {
        let now = Instant::now();
        let mut missing = Vec::new();
        for delta in deltas {
            let update = self.directory().apply(delta, age, now);
            match update {
                Update::Newer(announcement, at) => self.queue.push(*announcement, at, false),
                Update::Missing(upstream) => missing.push(upstream),
                Update::Departed(_) | Update::Unchanged => {}
            }
        }
        if !missing.is_empty() {
            from.push(Push::Missing(missing));
        }
    }

    /// Answers a request of a control process, which may ask this entry to hold changes.
    pub(crate) fn answer(
        &self,
        body: Body,
        age: Duration,
        from: &Connection,
    ) -> std::result::Result<Answer, Failure> {
        match body {
            Body::Hold(deltas) => {
                self.apply_deltas(deltas, age, from);
                Ok(Answer::Done)
            }
            _ => Err(Failure::Refused("an entry answers no such request".into())),
        }
    }

    /// Sends the full announcements of `upstreams` to a control process that requested them.
    pub(crate) fn send_full(&self, upstreams: &[UpstreamId], to: &Connection) {
        let now = Instant::now();
        let directory = self.directory();
        let deltas = upstreams
            .iter()
            .filter_map(|u| directory.full_delta(u, now));
        to.push(Push::Upstreams(deltas.collect()));
    }

    /// Sends the announcements of all known upstreams to a newly connected control process.
    pub(crate) fn send_all(&self, to: &Connection) {
        inform(to, &self.directory().full_deltas(Instant::now()));
    }
}

pub(crate) async fn run(shared: Arc<Shared>) {
    let mut next_expiry = Instant::now() + EXPIRY_INTERVAL;
    while !*shared.stopped.borrow() {
        let urgent = timeout(BATCH_WINDOW, shared.queue.urgent.notified()).await;
        if urgent.is_ok() {
            // Collects announcements that arrive together in one message.
            sleep(BATCH_WINDOW / 10).await;
        }
        let pending = shared.queue.take();
        relay(&shared, &pending.relay);
        let now = Instant::now();
        let expiry_due = now >= next_expiry;
        if expiry_due {
            next_expiry = now + EXPIRY_INTERVAL;
            shared.directory().remove_expired(now);
        }
        match pending.rebuild {
            true => rebuild(&shared),
            false => publish(&shared, pending.publish, expiry_due.then_some(now)),
        }
    }
}

fn relay(shared: &Shared, upstreams: &IndexSet<UpstreamId>) {
    let now = Instant::now();
    let deltas: Vec<Delta> = {
        let directory = shared.directory();
        let delta = |upstream: &UpstreamId| directory.delta(upstream, now);
        upstreams.iter().filter_map(delta).collect()
    };
    for link in shared.links.connections().values() {
        inform(link, &deltas);
    }
}

/// Rebuilds the routes of the view from the directory, after the set of draining upstreams changed.
fn rebuild(shared: &Shared) {
    let announcements = shared.directory().announcements();
    update_view(shared, Routes::default(), announcements, None);
}

fn publish(shared: &Shared, newer: Vec<(Announcement, Instant)>, expiry_at: Option<Instant>) {
    if newer.is_empty() && expiry_at.is_none() {
        return;
    }
    let routes = Routes::clone(&shared.view.load().routes);
    update_view(shared, routes, newer, expiry_at);
}

/// Inserts announcements into `routes`, and replaces those of the view with the result. Draining
/// upstreams are inserted as leaving. Routes that expired long before `expiry_at` are removed.
fn update_view(
    shared: &Shared,
    mut routes: Routes,
    newer: Vec<(Announcement, Instant)>,
    expiry_at: Option<Instant>,
) {
    let draining = shared
        .draining
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    for (mut announcement, announced) in newer {
        let is_draining = draining.contains(&announcement.upstream);
        if is_draining && announcement.availability == Availability::Serving {
            announcement.availability = Availability::Leaving;
        }
        let expires = announced + Duration::from_millis(announcement.lease_ms);
        routes.insert(announcement, announced, expires);
    }
    if let Some(horizon) = expiry_at.and_then(|now| now.checked_sub(EXPIRED_RETENTION)) {
        routes.remove_expired(horizon);
    }
    let routes = Arc::new(routes);
    shared.view.rcu(|view| View {
        routes: routes.clone(),
        ..(**view).clone()
    });
}
