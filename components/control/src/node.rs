//! One control process: answers requests where it leads, and passes them on where it does not.

mod allowance;
pub(crate) mod board;
mod current;
mod duty;
mod lead;
mod rate;
mod settings;

pub(crate) use duty::{draining, lead, tell_versions};
pub use settings::Settings;

use allowance::Allowance;
use board::Board;
use current::Current;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use errors::Step;
use link::Identity;
use state::{Change, Command, Output};
use tokio::sync::watch;
use wire::{Answer, Body, Failure, Query, Request};

use crate::leases::Leases;
use crate::peers::Peers;
use crate::replica::{Replica, Status};
use crate::spread::Spread;
use crate::{Machine, Metrics, clock, documents};

/// What the tasks of one control process share.
pub struct Node<R> {
    pub(crate) settings: Settings,
    pub(crate) identity: Identity,
    pub(crate) replica: R,
    pub(crate) machine: Machine,
    pub(crate) peers: Peers,
    pub(crate) spread: Spread,
    pub(crate) metrics: Metrics,
    led: Mutex<Led>,
    allowance: Mutex<Allowance>,
    board: Mutex<Board>,
    current: Mutex<Current>,
    pub(crate) stopped: watch::Sender<bool>,
}

/// What this process knows as the leader of a term.
struct Led {
    term: u64,
    /// When the term's take-over ended.
    since: Instant,
    leases: Leases,
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Joins the parts of a control process; nothing runs yet.
    pub fn new(settings: Settings, replica: R, machine: Machine) -> Arc<Self> {
        let identity = Identity {
            node: settings.node.clone(),
            incarnation: settings.incarnation,
            role: wire::Role::Control,
            secret: settings.secret.clone(),
        };
        Arc::new(Node {
            led: Mutex::new(Led {
                term: 0,
                since: Instant::now(),
                leases: Leases::new(settings.freshness_lease),
            }),
            allowance: Mutex::default(),
            board: Mutex::new(Board::new(settings.limit_window)),
            current: Mutex::default(),
            identity,
            replica,
            machine,
            peers: Peers::default(),
            spread: Spread::default(),
            metrics: Metrics::default(),
            stopped: watch::Sender::new(false),
            settings,
        })
    }

    /// Returns the replica.
    pub fn replica(&self) -> &R {
        &self.replica
    }

    /// Returns a handle to the state.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Returns a request of this process's own, or of an operator who asked it.
    pub(crate) fn own(&self, body: Body) -> Request {
        Request {
            node: self.settings.node.clone(),
            incarnation: self.settings.incarnation,
            forwarded: false,
            body,
        }
    }

    pub(crate) fn board(&self) -> MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a request, here or through the leader.
    ///
    /// # Errors
    /// Says why there is no answer, and whether the request may have taken effect.
    pub async fn handle(&self, request: Request) -> Result<Answer, Failure> {
        let kind = kind(&request.body);
        let answer = self.route(request).await;
        let result = match &answer {
            Ok(_) => "answered",
            Err(Failure::NoLeader) => "no-leader",
            Err(Failure::Uncertain(_)) => "uncertain",
            Err(Failure::Refused(_)) => "refused",
        };
        self.metrics
            .requests
            .with_label_values(&[kind, result])
            .inc();
        answer
    }

    async fn route(&self, request: Request) -> Result<Answer, Failure> {
        let status = self.replica.status();
        let query = match request.body {
            Body::Query(query) => Some(query),
            _ => None,
        };
        let answer = match status.leader {
            _ if self.leads() => self.lead(request).await,
            Some(ref leader) if !request.forwarded && *leader != self.settings.node => {
                self.peers.forward(leader, request).await
            }
            _ => Err(Failure::NoLeader),
        };
        match (answer, query) {
            (Err(Failure::NoLeader), Some(Query::Status)) => {
                let document = documents::without_quorum(&self.machine.read(), &status);
                Ok(Answer::Document(document.to_string()))
            }
            (answer, _) => answer,
        }
    }

    /// Reports whether this process may act as the leader now.
    pub fn leads(&self) -> bool {
        let until = self.replica.status().leads_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Commits a change.
    pub(crate) async fn commit(&self, change: Change) -> Result<Output, Failure> {
        let command = Command {
            at: clock::unix_ms(),
            change,
        };
        match self.replica.propose(command).await {
            Ok(output) => Ok(output),
            Err(error) if error.step() == Step::Route => Err(Failure::NoLeader),
            Err(error) => Err(Failure::Uncertain(error.to_string().into())),
        }
    }

    pub(crate) fn document(&self, query: Query, status: &Status) -> String {
        let upstreams = self.spread.live();
        let led = self.led();
        let state = self.machine.read();
        documents::document(query, &state, status, &led.leases, &upstreams).to_string()
    }

    /// Returns the last term that this process took over, and when.
    pub(crate) fn led_since(&self) -> Option<(u64, Instant)> {
        let led = self.led();
        (led.term > 0).then_some((led.term, led.since))
    }

    fn led(&self) -> MutexGuard<'_, Led> {
        self.led.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn kind(body: &Body) -> &'static str {
    match body {
        Body::Confirm { .. } => "confirm",
        Body::Leave => "leave",
        Body::Claim(_) => "claim",
        Body::Settle(..) => "settle",
        Body::Draw(_) => "draw",
        Body::Submit { .. } => "submit",
        Body::Replace { .. } => "replace",
        Body::Report(_) => "report",
        Body::Query(_) => "query",
    }
}
