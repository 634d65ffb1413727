//! Announcements of services that the text in force doesn't name.
//!
//! Such a one may be of another writer, and must not keep the real upstream of its id out of its own
//! service. It may also be of an upstream that starts before the text that names its service.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use config::ids::{ServiceId, UpstreamId};
use indexmap::IndexMap;
use state::{Command, Output};
use upstream::Announcement;

use super::outbox::Audience;
use crate::Node;
use crate::replica::Replica;

/// Most announcements that wait for their service; further ones wait for their next renewal.
const MAX_WAITING: usize = 2_000;

/// The newest announcements that wait until a text names their service, with the times at which they
/// were received.
#[derive(Debug, Default)]
pub(super) struct Unnamed {
    waiting: Mutex<IndexMap<UpstreamId, (Announcement, Instant)>>,
}

impl Unnamed {
    fn keep(&self, announcement: Announcement, now: Instant) {
        let mut waiting = self.waiting();
        waiting.retain(|_, (waits, received)| is_valid(waits, *received, now));
        let upstream = announcement.upstream.clone();
        if waiting.len() < MAX_WAITING || waiting.contains_key(&upstream) {
            waiting.insert(upstream, (announcement, now));
        }
    }

    /// Removes and returns the valid announcements whose service `is_named`.
    fn take(
        &self,
        is_named: impl Fn(&ServiceId) -> bool,
        now: Instant,
    ) -> Vec<(Announcement, Instant)> {
        let mut waiting = self.waiting();
        let all = std::mem::take(&mut *waiting).into_iter();
        let valid = all.filter(|(_, (waits, received))| is_valid(waits, *received, now));
        let (named, others) = valid.partition(|(_, (waits, _))| is_named(&waits.service));
        *waiting = others;
        let named: IndexMap<_, _> = named;
        named.into_values().collect()
    }

    fn waiting(&self) -> MutexGuard<'_, IndexMap<UpstreamId, (Announcement, Instant)>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_valid(announcement: &Announcement, received: Instant, now: Instant) -> bool {
    now < received + Duration::from_millis(announcement.lease_ms)
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Keeps an announcement that serves, of an upstream that is not known, until a text names its
    /// service. Reports whether it did.
    pub(crate) fn keep_unnamed(&self, announcement: &Announcement) -> bool {
        let now = Instant::now();
        if self
            .announcements
            .directory()
            .knows(&announcement.upstream, now)
        {
            return false;
        }
        let unnamed = match self.text() {
            Some((_, text)) => !text.services.contains_key(&announcement.service),
            // Without a text nothing says which services there are.
            None => false,
        };
        if unnamed {
            self.announcements.unnamed.keep(announcement.clone(), now);
        }
        unnamed
    }

    /// Stores and forwards the announcements whose service the newest text names.
    pub(crate) fn admit_named(&self) {
        let Some((_, text)) = self.text() else { return };
        let is_named = |service: &ServiceId| text.services.contains_key(service);
        let named = self.announcements.unnamed.take(is_named, Instant::now());
        let mut directory = self.announcements.directory();
        let stored = named
            .into_iter()
            .filter_map(|(announcement, received)| directory.insert(announcement, received));
        let upstreams: Vec<UpstreamId> = stored.map(|stored| stored.upstream).collect();
        self.announcements.outbox.add(upstreams, Audience::Everyone);
    }
}
