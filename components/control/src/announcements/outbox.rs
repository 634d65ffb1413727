//! Upstreams whose changes are to be forwarded.

use std::sync::{Mutex, MutexGuard, PoisonError};

use config::ids::UpstreamId;
use indexmap::IndexSet;
use tokio::sync::Notify;

/// To whom a change is forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Audience {
    /// The subscribers and the other control processes.
    Everyone,
    /// The subscribers: another control process sent the change, and sends it to all others.
    Subscribers,
}

/// Changes that are not forwarded yet.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pending: Mutex<Pending>,
    added: Notify,
}

/// Upstreams with changes, by audience.
#[derive(Debug, Default)]
pub(super) struct Pending {
    pub(super) everyone: IndexSet<UpstreamId>,
    pub(super) subscribers: IndexSet<UpstreamId>,
}

impl Outbox {
    /// Adds upstreams whose newest announcements are to be forwarded.
    pub(super) fn add(&self, upstreams: impl IntoIterator<Item = UpstreamId>, audience: Audience) {
        let mut pending = self.pending();
        match audience {
            Audience::Everyone => pending.everyone.extend(upstreams),
            Audience::Subscribers => pending.subscribers.extend(upstreams),
        }
        self.added.notify_one();
    }

    /// Waits until there are changes.
    pub(super) async fn added(&self) {
        self.added.notified().await;
    }

    /// Removes and returns the changes, each for one audience.
    pub(super) fn take(&self) -> Pending {
        let mut pending = std::mem::take(&mut *self.pending());
        let everyone = &pending.everyone;
        pending
            .subscribers
            .retain(|upstream| !everyone.contains(upstream));
        pending
    }

    fn pending(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
