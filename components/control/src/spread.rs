//! Announcements of upstreams on their way to all entries.
//!
//! An upstream announces itself to an entry, which sends it to every control process that it is
//! connected to, or to a control process. A control process passes it on to the entries that
//! subscribed here, and once to the other control processes, so that one broken path does not
//! matter. What came to the control process itself waits for others a little while, unless it
//! changes where requests may go.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use config::ids::{Incarnation, UpstreamId};
use fleet::{Directory, Learnt};
use indexmap::IndexSet;
use link::Connection;
use state::{Command, Output};
use tokio::time::sleep;
use tracing::info;
use upstream::Announcement;
use wire::{Delta, Push, Role};

use crate::Node;
use crate::replica::Replica;

/// Time for which renewals wait to be passed on together.
const BATCH: Duration = Duration::from_millis(400);
/// Upstreams in one message.
const PER_MESSAGE: usize = 500;

/// Upstreams known here, and the entries that want to hear of them.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    directory: Mutex<Directory>,
    subscribers: Mutex<Vec<Connection>>,
    /// Upstreams whose renewal came to this process and waits to be passed on.
    waiting: Mutex<IndexSet<UpstreamId>>,
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

    fn wait(&self, upstream: UpstreamId) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.insert(upstream);
    }

    fn take_waiting(&self) -> IndexSet<UpstreamId> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *waiting)
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

    /// Takes in an announcement that an upstream made to this process.
    pub(crate) fn announced(&self, announcement: Announcement) {
        let upstream = announcement.upstream.clone();
        let availability = announcement.availability;
        let (before, is_news) = {
            let now = Instant::now();
            let mut directory = self.spread.directory();
            let before = directory.availability(&upstream);
            (before, directory.insert(announcement, now))
        };
        match before {
            _ if !is_news => {}
            Some(before) if before == availability => self.spread.wait(upstream),
            _ => {
                info!(upstream = %upstream, "control: \"{upstream}\" is {availability:?}");
                self.pass_on_to_all(&IndexSet::from([upstream]));
            }
        }
    }

    /// Takes in that an upstream ended, as it said to this process.
    pub(crate) fn left(&self, upstream: &UpstreamId, incarnation: Option<Incarnation>) {
        let left = self
            .spread
            .directory()
            .leave(upstream, incarnation, Instant::now());
        info!(upstream = %upstream, known = left.is_some(), "control: \"{upstream}\" leaves");
        match left {
            Some(_) => self.pass_on_to_all(&IndexSet::from([upstream.clone()])),
            None => self.send_to_all(&[Delta::Left(upstream.clone(), incarnation)]),
        }
    }

    fn pass_on_to_all(&self, upstreams: &IndexSet<UpstreamId>) {
        self.send_to_all(&self.spread.deltas(upstreams));
    }

    fn send_to_all(&self, deltas: &[Delta]) {
        for subscriber in self.spread.subscribers().iter() {
            send(deltas, subscriber);
        }
        for control in self.peers.controls() {
            send(deltas, &control);
        }
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
            Push::Group(_) | Push::Newest(_) | Push::Draining(_) | Push::Log { .. } => {}
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
            for control in self.peers.controls() {
                send(&deltas, &control);
            }
        }
    }
}

/// Passes on what waits until the process stops.
pub(crate) async fn run<R>(node: Arc<Node<R>>)
where
    R: Replica<Command = Command, Output = Output>,
{
    while !*node.stopped.borrow() {
        sleep(BATCH).await;
        let waiting = node.spread.take_waiting();
        if !waiting.is_empty() {
            node.pass_on_to_all(&waiting);
        }
    }
}

fn send(deltas: &[Delta], to: &Connection) {
    for part in deltas.chunks(PER_MESSAGE) {
        to.push(Push::Upstreams(part.to_vec()));
    }
}
