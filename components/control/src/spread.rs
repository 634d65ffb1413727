//! Announcements of upstreams on their way from one entry to all others.
//!
//! An entry sends what reached it to every control process that it is connected to. A control
//! process passes it on to the entries that subscribed here, and once to the other control
//! processes, so that one broken path does not matter.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use config::ids::UpstreamId;
use fleet::{Directory, Learnt};
use indexmap::IndexSet;
use link::Connection;
use state::{Command, Output};
use upstream::Announcement;
use wire::{Delta, Push, Role};

use crate::Node;
use crate::replica::Replica;

/// Upstreams in one message.
const PER_MESSAGE: usize = 500;

/// Upstreams known here, and the entries that want to hear of them.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    directory: Mutex<Directory>,
    subscribers: Mutex<Vec<Connection>>,
}

impl Spread {
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

    /// Sends everything that is known.
    pub(crate) fn introduce(&self, to: &Connection) {
        let all = self.directory().all(Instant::now());
        send(&all, to);
    }

    pub(crate) fn unsubscribe(&self, connection: &Connection) {
        self.subscribers()
            .retain(|other| other.is_open() && !other.is_same(connection));
    }

    /// Takes in deltas, and returns those that were news and the upstreams that were missed.
    fn learn(&self, deltas: Vec<Delta>, age: Duration) -> (IndexSet<UpstreamId>, Vec<UpstreamId>) {
        let now = Instant::now();
        let mut directory = self.directory();
        directory.forget(now);
        let (mut news, mut missing) = (IndexSet::new(), Vec::new());
        for delta in deltas {
            match directory.learn(delta, age, now) {
                Learnt::Newer(announcement, _) => {
                    news.insert(announcement.upstream);
                }
                Learnt::Missing(upstream) => missing.push(upstream),
                Learnt::Known => {}
            }
        }
        (news, missing)
    }

    fn deltas(&self, upstreams: &IndexSet<UpstreamId>) -> Vec<Delta> {
        let now = Instant::now();
        let directory = self.directory();
        let delta = |upstream: &UpstreamId| directory.delta(upstream, now);
        upstreams.iter().filter_map(delta).collect()
    }

    /// Returns the announcements whose lease has not run out.
    pub(crate) fn live(&self) -> Vec<Announcement> {
        self.directory().live(Instant::now()).cloned().collect()
    }
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Returns the upstreams that are known here and whose lease has not run out.
    pub fn upstreams(&self) -> Vec<Announcement> {
        self.spread.live()
    }

    /// Takes in a message that expects no answer.
    pub(crate) fn pushed(&self, from: &Connection, push: Push, age: Duration) {
        match push {
            Push::Subscribe => {
                self.spread.subscribers().push(from.clone());
                self.spread.introduce(from);
            }
            Push::Unsubscribe => self.spread.unsubscribe(from),
            Push::Upstreams(deltas) => self.spread_on(from, deltas, age),
            Push::Missing(upstreams) => {
                let now = Instant::now();
                let directory = self.spread.directory();
                let wholes = upstreams.iter().filter_map(|u| directory.whole(u, now));
                from.push(Push::Upstreams(wholes.collect()));
            }
            Push::Newest(_) | Push::Draining(_) | Push::Log { .. } => {}
        }
    }

    fn spread_on(&self, from: &Connection, deltas: Vec<Delta>, age: Duration) {
        let (news, missing) = self.spread.learn(deltas, age);
        if !missing.is_empty() {
            from.push(Push::Missing(missing));
        }
        if news.is_empty() {
            return;
        }
        let deltas = self.spread.deltas(&news);
        for subscriber in self.spread.subscribers().iter() {
            if subscriber.hello().node != from.hello().node {
                send(&deltas, subscriber);
            }
        }
        if from.hello().role == Role::Entry {
            for control in self.peers.dialed().values() {
                send(&deltas, control);
            }
        }
    }
}

fn send(deltas: &[Delta], to: &Connection) {
    for part in deltas.chunks(PER_MESSAGE) {
        to.push(Push::Upstreams(part.to_vec()));
    }
}
