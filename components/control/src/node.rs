//! One control process: answers requests while it is the leader, and forwards them to the leader
//! otherwise.

mod background;
mod entries;
mod leader;
mod meters;
mod parsed_text;
mod performance;
pub(crate) mod plans;
mod quorum;
mod rate;
mod replacement;
mod rollouts;
mod settings;
mod submissions;
mod take_over;
mod text_parts;
mod token_limits;
mod whole_texts;
pub(crate) mod workload;

pub(crate) use background::{draining, notify_entries, run_leader_tasks};
pub(crate) use quorum::watch_quorum;
pub(crate) use rollouts::run_rollouts;
pub use settings::Settings;

use meters::Meters;
use parsed_text::ParsedText;
use rollouts::Rollouts;
use whole_texts::WholeTexts;
use workload::Workload;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use config::release::Level;
use errors::Step;
use link::Identity;
use patch::Archive;
use state::{Change, Command, Output};
use tokio::sync::watch;
use tracing::warn;
use upstream::Origins;
use wire::{Answer, Body, Failure, Query, Request};

use crate::announcements::Announcements;
use crate::leases::Leases;
use crate::origin_files::OriginFiles;
use crate::peers::Peers;
use crate::replica::{Replica, Status};
use crate::{Machine, Metrics, clock, documents};

/// State that the tasks of one control process share.
pub struct Node<R> {
    pub(crate) settings: Settings,
    pub(crate) identity: Identity,
    pub(crate) replica: R,
    pub(crate) machine: Machine,
    pub(crate) peers: Peers,
    pub(crate) announcements: Announcements,
    pub(crate) metrics: Metrics,
    /// Memory for the bodies of operators' and upstreams' requests.
    pub(crate) budget: web::Budget,
    leadership: Mutex<Leadership>,
    meters: Mutex<Meters>,
    workload: Mutex<Workload>,
    rollouts: Mutex<Rollouts>,
    origins: Mutex<Origins>,
    origin_files: Option<OriginFiles>,
    parsed_text: Mutex<ParsedText>,
    archive: Mutex<Archive>,
    whole_texts: Mutex<WholeTexts>,
    pub(crate) stopped: watch::Sender<bool>,
}

/// State of this process as the leader of a term.
struct Leadership {
    term: u64,
    /// When the take-over of the term was completed.
    since: Instant,
    leases: Leases,
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Creates a control process; its tasks are started by
    /// [`Process::start`](crate::Process::start).
    pub fn new(settings: Settings, replica: R, machine: Machine) -> Arc<Self> {
        let identity = Identity {
            node: settings.node.clone(),
            incarnation: settings.incarnation,
            role: wire::Role::Control,
            secret: settings.secret.clone(),
        };
        let (origin_files, origins) = open_origins(&settings);
        let budget = web::Budget::new(settings.budget_bytes);
        let metrics = Metrics::default();
        metrics.register(budget.collectors());
        Arc::new(Node {
            leadership: Mutex::new(Leadership {
                term: 0,
                since: Instant::now(),
                leases: Leases::new(settings.freshness_lease),
            }),
            meters: Mutex::default(),
            workload: Mutex::new(Workload::new(settings.limit_window, Instant::now())),
            rollouts: Mutex::default(),
            origins: Mutex::new(origins),
            origin_files,
            parsed_text: Mutex::default(),
            archive: Mutex::default(),
            whole_texts: Mutex::default(),
            identity,
            replica,
            machine,
            peers: Peers::default(),
            announcements: Announcements::default(),
            metrics,
            budget,
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

    /// Returns a request of this process, or of an operator who is connected to it.
    pub(crate) fn local_request(&self, body: Body) -> Request {
        Request {
            node: self.settings.node.clone(),
            incarnation: self.settings.incarnation,
            forwarded: false,
            body,
        }
    }

    pub(crate) fn workload(&self) -> MutexGuard<'_, Workload> {
        self.workload.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a request, directly or by forwarding it to the leader.
    ///
    /// # Errors
    /// Returns why there is no answer, and whether the request may have taken effect.
    pub async fn handle(&self, request: Request) -> Result<Answer, Failure> {
        let kind = request_kind(&request.body);
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
        let keeps_state = !self.replica.forwards_only();
        if keeps_state && let Some(answer) = self.answer_by_itself(&request.body) {
            return Ok(answer);
        }
        if let Body::FetchText(range) = request.body
            && keeps_state
        {
            return self.text_part(range).await;
        }
        let status = self.replica.status();
        let query = match request.body {
            Body::Query(query) => Some(query),
            _ => None,
        };
        let answer = match status.leader {
            _ if !keeps_state => self.peers.forward_to_group(&self.group(), request).await,
            _ if self.leads() => self.answer_as_leader(request).await,
            Some(ref leader) if !request.forwarded && *leader != self.settings.node => {
                self.peers.forward(leader, request).await
            }
            _ => Err(Failure::NoLeader),
        };
        match (answer, query) {
            (Err(Failure::NoLeader), Some(Query::Status)) => {
                let document = documents::no_quorum_document(&self.machine.read(), &status);
                Ok(Answer::Document(document.to_string()))
            }
            (answer, _) => answer,
        }
    }

    /// Answers a request that needs no leader; returns `None` for others.
    fn answer_by_itself(&self, body: &Body) -> Option<Answer> {
        match body {
            Body::RecordOrigin(origin) => {
                self.origins().record(origin.clone(), Instant::now());
                if let Some(files) = &self.origin_files {
                    files.append(origin.clone());
                }
                Some(Answer::Done)
            }
            Body::ListSoftware(service) => {
                Some(Answer::Software(self.announcements.software_of(service)))
            }
            Body::FindOrigin(key) => Some(Answer::Origin(self.origins().find(key).cloned())),
            _ => None,
        }
    }

    fn origins(&self) -> MutexGuard<'_, Origins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports whether this process holds the leader's lease now.
    pub fn leads(&self) -> bool {
        let until = self.replica.status().leads_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Reports whether all voters, and all other control processes in contact, can read a level. A
    /// learner that is gone stays listed; one that comes back is sent only what it can read.
    pub(crate) fn group_reads(&self, level: Level) -> bool {
        let voters = self.replica.status().voters;
        let mut others = voters.iter().filter(|node| **node != self.settings.node);
        let in_contact = self.peers.lowest_level();
        others.all(|node| self.peers.level_of(node) >= level)
            && in_contact.is_none_or(|lowest| lowest >= level)
    }

    /// Commits a change with the current time, and returns the result of applying it.
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
        let upstreams = self.announcements.live();
        let leadership = self.leadership();
        let state = self.machine.read();
        documents::document(query, &state, status, &leadership.leases, &upstreams).to_string()
    }

    /// Returns the last term that this process took over as the leader, and when.
    pub(crate) fn leadership_since(&self) -> Option<(u64, Instant)> {
        let leadership = self.leadership();
        (leadership.term > 0).then_some((leadership.term, leadership.since))
    }

    fn leadership(&self) -> MutexGuard<'_, Leadership> {
        self.leadership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens the files with the software versions at which streams began, and returns their records.
/// Without the files the process serves on.
fn open_origins(settings: &Settings) -> (Option<OriginFiles>, Origins) {
    let mut origins = Origins::default();
    let opened = settings.origins_folder.as_deref().map(OriginFiles::open);
    let files = match opened {
        Some(Ok((files, records))) => {
            let now = Instant::now();
            for origin in records {
                origins.record(origin, now);
            }
            Some(files)
        }
        Some(Err(error)) => {
            warn!("origins: the files can't be used: {error}");
            None
        }
        None => None,
    };
    (files, origins)
}

fn request_kind(body: &Body) -> &'static str {
    match body {
        Body::Confirm { .. } => "confirm",
        Body::FetchText(_) => "fetch-text",
        Body::Leave => "leave",
        Body::Claim(_) => "claim",
        Body::Settle(..) => "settle",
        Body::Draw(_) => "draw",
        Body::Submit { .. } => "submit",
        Body::Replace { .. } => "replace",
        Body::Edit { .. } => "edit",
        Body::Report(_) => "report",
        Body::Balance(_) => "balance",
        Body::DrawPermits { .. } => "draw-permits",
        Body::RecordOrigin(_) => "record-origin",
        Body::FindOrigin(_) => "find-origin",
        Body::Hold(_) => "hold",
        Body::ListSoftware(_) => "list-software",
        Body::BeginRollout(_) => "begin-rollout",
        Body::Query(_) => "query",
    }
}
