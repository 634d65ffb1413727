//! The membership of an entry in the fleet: its connections to the control processes, its freshness
//! lease, and the view that both keep up to date.

mod announcements;
mod confirm;
mod fetch;
mod links;
mod origins;
mod settings;

pub use settings::Settings;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use config::ids::{NodeId, UpstreamId, Version};
use errors::{Error, Peer, Result, Step};
use indexmap::IndexSet;
use limits::{Draw, Drawn, Grant, Process};
use link::Identity;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};
use tracing::info;
use upstream::{Announcement, Availability};
use wire::{Answer, Balances, Body, Overview, Report, Request, Role, Statements};

use crate::claim::{Claim, Settlement, Verdict};
use crate::{Control, Directory, Freshness, View};
use links::Links;

/// Longest wait for the verdict on a claim; shorter than the time within which the holder must
/// dispatch the call.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait for grants on accounts' limits.
const DRAW_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for a settlement to be committed.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay between two attempts to commit a claim or a settlement.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// An entry's access to the control group. Clones share the same member.
#[derive(Clone)]
pub struct Member {
    shared: Arc<Shared>,
}

/// State that the tasks of a member share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) identity: Identity,
    pub(crate) view: Arc<ArcSwap<View>>,
    pub(crate) links: Links,
    pub(crate) freshness: Mutex<Freshness>,
    pub(crate) directory: Mutex<Directory>,
    /// Announcements that wait to be relayed and to be published in the view.
    pub(crate) queue: announcements::Queue,
    /// Upstreams that get no new work, regardless of their announced availability.
    pub(crate) draining: Mutex<IndexSet<UpstreamId>>,
    /// The text in force as it was submitted, with its version.
    pub(crate) source: Mutex<(Version, Arc<str>)>,
    /// Newest version that is not in force here yet, and when a control process first named it.
    pub(crate) heard: Mutex<Option<(Version, std::time::Instant)>>,
    /// Wakes the task that renews the freshness lease.
    pub(crate) confirm_now: Notify,
    /// Control processes of the group, according to the newest message of one of them.
    pub(crate) group: Mutex<IndexSet<NodeId>>,
    /// Control processes to which a task maintains a connection.
    pub(crate) linked: Mutex<IndexSet<NodeId>>,
    pub(crate) stopped: watch::Sender<bool>,
}

impl Member {
    /// Starts the member's tasks on the current runtime. The view contains no fresh text until the
    /// control group has granted a freshness lease.
    pub fn start(settings: Settings) -> Member {
        let identity = Identity {
            node: settings.node.clone(),
            incarnation: settings.incarnation,
            role: Role::Entry,
            secret: settings.secret.clone(),
        };
        let shared = Arc::new(Shared {
            links: Links::new(settings.link),
            settings,
            identity,
            view: Arc::default(),
            freshness: Mutex::default(),
            directory: Mutex::default(),
            queue: announcements::Queue::default(),
            draining: Mutex::default(),
            source: Mutex::new((0, "".into())),
            heard: Mutex::default(),
            confirm_now: Notify::new(),
            group: Mutex::default(),
            linked: Mutex::default(),
            stopped: watch::Sender::new(false),
        });
        for peer in &shared.settings.peers {
            if shared.register_link(&peer.node) {
                tokio::spawn(links::maintain(shared.clone(), peer.clone()));
            }
        }
        tokio::spawn(confirm::run(shared.clone()));
        tokio::spawn(announcements::run(shared.clone()));
        Member { shared }
    }

    /// Leaves the fleet: gives up the freshness lease and stops all tasks.
    pub async fn leave(&self) {
        self.shared.give_up_lease();
        let request = self.shared.request(Body::Leave);
        let _ = self.shared.links.call(request, CLAIM_TIMEOUT).await;
        self.stop();
    }

    /// Stops all tasks without notifying the control group, as a crash does.
    pub fn stop(&self) {
        self.shared.stopped.send_replace(true);
        self.shared.links.close();
    }

    /// Returns the numbers of frames and bytes that the open connections have sent and received.
    pub fn traffic(&self) -> (u64, u64) {
        let connections = self.shared.links.connections();
        let traffic = connections.values().map(link::Connection::traffic);
        traffic.fold((0, 0), |(frames, bytes), traffic| {
            (frames + traffic.frames(), bytes + traffic.bytes())
        })
    }

    /// Signs a message to another process of the fleet.
    pub fn sign(&self, message: &[u8]) -> String {
        self.shared.identity.secret.sign(message)
    }

    /// Reports whether a process of the fleet signed `message`.
    pub fn verify(&self, message: &[u8], signature: &str) -> bool {
        self.shared.identity.secret.verify(message, signature)
    }

    /// Reports this entry's work to the leader, and returns the overview of all entries.
    ///
    /// # Errors
    /// If the leader does not answer within `limit`.
    pub async fn report(&self, report: Report, limit: Duration) -> Result<Overview> {
        let request = self.shared.request(Body::Report(Box::new(report)));
        match self.shared.links.call(request, limit).await? {
            Answer::Overview(overview) => Ok(*overview),
            _ => Err(unexpected_answer()),
        }
    }

    /// Asks the leader for a larger allotment of accounts' token limits.
    ///
    /// # Errors
    /// If the leader does not answer within `limit`.
    pub async fn balance(&self, statements: Statements, limit: Duration) -> Result<Balances> {
        let request = self.shared.request(Body::Balance(statements));
        match self.shared.links.call(request, limit).await? {
            Answer::Balances(balances) => Ok(balances),
            _ => Err(unexpected_answer()),
        }
    }

    /// Draws permits for requests to one of the upstreams `wanted`.
    ///
    /// # Errors
    /// If the leader does not answer within `limit`.
    pub async fn draw_permits(
        &self,
        wanted: Vec<Process>,
        count: u32,
        limit: Duration,
    ) -> Result<Drawn> {
        let request = self.shared.request(Body::DrawPermits { wanted, count });
        match self.shared.links.call(request, limit).await? {
            Answer::Permits(drawn) => Ok(drawn),
            _ => Err(unexpected_answer()),
        }
    }

    /// Sends the settlement until the control group has committed it.
    async fn settle_with_retries(&self, claim: &Claim, settlement: &Settlement) -> Result<()> {
        loop {
            let body = Body::Settle(claim.clone(), settlement.clone());
            let request = self.shared.request(body);
            match self.shared.links.call(request, CLAIM_TIMEOUT).await {
                Ok(Answer::Settled(_)) => return Ok(()),
                _ => sleep(RETRY_DELAY).await,
            }
        }
    }
}

impl Shared {
    pub(crate) fn request(&self, body: Body) -> Request {
        Request {
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            forwarded: false,
            body,
        }
    }

    pub(crate) fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn heard(&self) -> MutexGuard<'_, Option<(Version, std::time::Instant)>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that control process `from` names a version, which is not in force here yet.
    pub(crate) fn hear(&self, version: Version, from: &NodeId) {
        let mut heard = self.heard();
        if heard.is_none_or(|(known, _)| known < version) {
            *heard = Some((version, std::time::Instant::now()));
            info!(version, "fleet: control \"{from}\" names text {version}");
        }
    }

    pub(crate) fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn give_up_lease(&self) {
        self.stopped.send_replace(true);
        self.view.rcu(|view| View {
            fresh_until: None,
            ..(**view).clone()
        });
    }
}

impl Control for Member {
    fn view(&self) -> &Arc<ArcSwap<View>> {
        &self.shared.view
    }

    async fn announce(&self, announcement: Announcement) -> Result<()> {
        match announcement.availability {
            Availability::Serving => self.shared.handle_announcement(announcement),
            _ => return self.shared.handle_leave(announcement).await,
        }
        Ok(())
    }

    async fn draw(&self, draws: Vec<Draw>) -> Result<Vec<Grant>> {
        let count = draws.len();
        let request = self.shared.request(Body::Draw(draws));
        match self.shared.links.call(request, DRAW_TIMEOUT).await? {
            Answer::Grants(grants) if grants.len() == count => Ok(grants),
            _ => Err(unexpected_answer()),
        }
    }

    async fn claim(&self, claim: Claim) -> Result<Verdict> {
        if !self.shared.view.load().control_reachable {
            let reason = "the control group does not answer; nothing was claimed".to_owned();
            let peer = Peer::Name("control".into());
            return Err(Error::Protocol(Step::Route, peer, reason));
        }
        let deadline = Instant::now() + CLAIM_TIMEOUT;
        let request = self.shared.request(Body::Claim(claim.clone()));
        let result = loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            match self.shared.links.call(request.clone(), time_left).await {
                Ok(Answer::Verdict(verdict)) => return Ok(verdict),
                Ok(_) => break Err(unexpected_answer()),
                Err(error) if Instant::now() + RETRY_DELAY >= deadline => break Err(error),
                Err(_) => sleep(RETRY_DELAY).await,
            }
        };
        let member = self.clone();
        tokio::spawn(async move { member.settle(claim, Settlement::NotRun).await });
        result
    }

    async fn settle(&self, claim: Claim, settlement: Settlement) -> Result<()> {
        let limit = SETTLE_TIMEOUT;
        timeout(limit, self.settle_with_retries(&claim, &settlement))
            .await
            .map_err(|_| Error::Timeout(Step::Commit, Peer::Name("control".into()), limit))?
    }
}

fn unexpected_answer() -> Error {
    let reason = "answer is of another kind than the request".to_owned();
    Error::Protocol(Step::Receive, Peer::Name("control".into()), reason)
}
