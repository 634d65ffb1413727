//! Roll-outs at the leader: orders, the evidence of the entries, and the phases that follow.
//!
//! What was ordered and each phase are in the replicated log before they take effect. The evidence is
//! not: entries report totals, so that a new leader has all of it after one report of each entry.

use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use config::ids::ServiceId;
use config::release;
use indexmap::IndexMap;
use rollout::{EntryProcess, Evidence, Progress, Stage};
use state::rollouts::{Advance, Order, Outcome, Phase, Rollout};
use state::{Change, Command, Output};
use tokio::time::sleep;
use tracing::{info, warn};
use wire::{Answer, Body, Failure, Query};

use super::Node;
use super::leader::unexpected_output;
use crate::clock;
use crate::replica::Replica;

/// Time between two decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an order or a question waits for a leader, so that a change of leader does not
/// fail it.
const LEADER_WAIT: Duration = Duration::from_millis(4_000);
/// Time between two attempts to reach the leader.
const LEADER_RETRY: Duration = Duration::from_millis(150);
/// Time for which entries are told of a completed roll-out. The old upstreams stop at once.
const COMPLETED_MS: u64 = 30_000;
/// Time for which entries are told of a roll-back. The upstreams of the bad version drain meanwhile.
const ROLLED_BACK_MS: u64 = 600_000;

/// Evidence on the roll-outs, of one term.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    term: u64,
    evidence: IndexMap<ServiceId, Evidence>,
}

impl Rollouts {
    /// Keeps the evidence on the roll-outs in progress, and starts that on new ones.
    fn keep(&mut self, term: u64, active: &[(ServiceId, Rollout)], now: Instant) {
        if self.term != term {
            *self = Rollouts {
                term,
                ..Rollouts::default()
            };
        }
        self.evidence
            .retain(|service, _| active.iter().any(|(active, _)| active == service));
        for (service, rollout) in active {
            let number = rollout.number;
            let evidence = self.evidence.entry(service.clone());
            let evidence = evidence.or_insert_with(|| Evidence::new(number, now));
            if evidence.number() != number {
                *evidence = Evidence::new(number, now);
            }
        }
    }
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    fn rollouts(&self) -> MutexGuard<'_, Rollouts> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Orders a roll-out on behalf of an operator, directly or through the leader. The same order may
    /// be sent again.
    ///
    /// # Errors
    /// Returns why there is no answer, and whether the roll-out may have begun.
    pub(crate) async fn order_rollout(&self, order: Order) -> Result<Outcome, Failure> {
        let deadline = Instant::now() + LEADER_WAIT;
        loop {
            let request = self.local_request(Body::BeginRollout(order.clone()));
            match self.handle(request).await {
                Ok(Answer::Rollout(outcome)) => return Ok(outcome),
                Ok(_) => return Err(Failure::Uncertain("the answer is of another kind".into())),
                Err(failure @ Failure::Refused(_)) => return Err(failure),
                Err(failure) if Instant::now() + LEADER_RETRY >= deadline => return Err(failure),
                Err(_) => sleep(LEADER_RETRY).await,
            }
        }
    }

    /// Returns the newest roll-out of a service; `None` if there was none.
    ///
    /// # Errors
    /// If no leader confirms that it is the newest.
    pub(crate) async fn read_rollout(&self, service: &str) -> Result<Option<Rollout>, Failure> {
        if self.replica.forwards_only() {
            let request = self.local_request(Body::Query(Query::Rollouts));
            return match self.handle(request).await? {
                Answer::Document(document) => {
                    let read = serde_json::from_str::<state::rollouts::Rollouts>(&document);
                    let rollouts = read.map_err(|e| Failure::Uncertain(e.to_string().into()))?;
                    Ok(rollouts.get(service).cloned())
                }
                _ => Err(Failure::Uncertain("the answer is of another kind".into())),
            };
        }
        self.read_barrier().await?;
        Ok(self.machine.read().rollouts().get(service).cloned())
    }

    /// Records an order as the leader.
    pub(super) async fn begin_rollout(&self, order: Order) -> Result<Answer, Failure> {
        self.read_barrier().await?;
        let known = {
            let state = self.machine.read();
            let now = clock::unix_ms().max(state.now());
            state.rollouts().outcome_without_change(&order, now)
        };
        if let Some(outcome) = known {
            return Ok(Answer::Rollout(outcome));
        }
        let text = self.text().map(|(_, text)| text);
        match text {
            Some(text) if text.services.contains_key(&order.service) => {}
            Some(_) => return Err(Failure::Refused("the text names no such service".into())),
            None => return Err(Failure::Uncertain("no text is known yet".into())),
        }
        if !self.group_reads(release::ROLLOUTS) {
            let reason = "a control process of an earlier release takes part in the group";
            return Err(Failure::Uncertain(reason.into()));
        }
        if !self.workload().keeps_to_rollouts(Instant::now()) {
            let reason = "no entry has reported yet, or one does not keep to roll-outs";
            return Err(Failure::Uncertain(reason.into()));
        }
        let (service, to) = (order.service.clone(), order.to.clone());
        let duration_ms = order.duration_ms;
        match self.commit(Change::BeginRollout(order)).await? {
            Output::Rollout(outcome) => {
                info!(
                    service = %service, software = %to, duration_ms,
                    "rollout: order of \"{service}\" to \"{to}\" recorded: {outcome:?}"
                );
                Ok(Answer::Rollout(outcome))
            }
            output => Err(unexpected_output(&output)),
        }
    }

    /// Records what an entry counted, and returns what it is told of the roll-outs.
    pub(super) fn record_rollouts(
        &self,
        process: &EntryProcess,
        reports: Vec<rollout::Report>,
        now: Instant,
    ) -> Vec<Stage> {
        let told = self.told_rollouts();
        if told.is_empty() {
            return Vec::new();
        }
        let active = in_progress(&told);
        let term = self.replica.status().term;
        let mut rollouts = self.rollouts();
        rollouts.keep(term, &active, now);
        for report in reports {
            let mut evidence = rollouts.evidence.values_mut();
            if let Some(evidence) = evidence.find(|known| known.number() == report.number) {
                evidence.record(process.clone(), report, now);
            }
        }
        let stage = |(service, rollout): (ServiceId, Rollout)| {
            let evidence = rollouts.evidence.get(&service);
            let share = match (rollout.phase, evidence) {
                (phase, Some(evidence)) => rollout::share(evidence, phase, now),
                (Phase::Completed, None) => 1.0,
                (_, None) => 0.0,
            };
            Stage {
                service,
                number: rollout.number,
                to: rollout.to,
                phase: rollout.phase,
                share,
            }
        };
        told.into_iter().map(stage).collect()
    }

    /// Returns the roll-outs in progress, and those that ended a short time ago.
    fn told_rollouts(&self) -> Vec<(ServiceId, Rollout)> {
        let state = self.machine.read();
        let now = clock::unix_ms();
        let is_told = |rollout: &Rollout| {
            let age = now.saturating_sub(rollout.phase_at);
            match rollout.phase {
                Phase::Completed => age < COMPLETED_MS,
                Phase::RolledBack => age < ROLLED_BACK_MS,
                Phase::Canary | Phase::Moving | Phase::Moved => true,
            }
        };
        let rollouts = state.rollouts().iter();
        let told = rollouts.filter(|(_, rollout)| is_told(rollout));
        told.map(|(service, rollout)| (service.clone(), rollout.clone()))
            .collect()
    }

    /// Returns the phases that begin now.
    fn next_phases(&self, now: Instant) -> Vec<Advance> {
        let active = in_progress(&self.told_rollouts());
        let term = self.replica.status().term;
        let mut rollouts = self.rollouts();
        rollouts.keep(term, &active, now);
        let unix_ms = clock::unix_ms();
        let since = |at| Duration::from_millis(unix_ms.saturating_sub(at));
        let next = |(service, known): (ServiceId, Rollout)| {
            let evidence = rollouts.evidence.get_mut(&service)?;
            let progress = Progress {
                phase: known.phase,
                elapsed: since(known.begun_at),
                in_phase: since(known.phase_at),
                duration: Duration::from_millis(known.duration_ms),
            };
            let next = rollout::next(evidence, &progress, now)?;
            Some(Advance {
                service,
                number: known.number,
                phase: next.phase,
                reason: next.reason,
            })
        };
        active.into_iter().filter_map(next).collect()
    }

    /// Records that a phase begins.
    async fn advance(&self, advance: Advance) {
        let Advance {
            service,
            phase,
            reason,
            ..
        } = advance.clone();
        match self.commit(Change::AdvanceRollout(advance)).await {
            Ok(Output::Advanced(true)) => {
                let name = phase_name(phase);
                self.metrics
                    .rollout_phases
                    .with_label_values(&[&service, name])
                    .inc();
                info!(service = %service, phase = name, "rollout: \"{service}\" is {name}: {reason}");
            }
            Ok(output) => warn!(service = %service, "rollout: {phase:?} not begun: {output:?}"),
            Err(failure) => warn!(service = %service, "rollout: {phase:?} not begun: {failure:?}"),
        }
    }
}

/// Decides about the roll-outs while this process leads.
pub(crate) async fn run_rollouts<R>(node: Arc<Node<R>>)
where
    R: Replica<Command = Command, Output = Output>,
{
    while !*node.stopped.borrow() {
        sleep(DECISION_INTERVAL).await;
        let is_active = {
            let state = node.machine.read();
            let mut rollouts = state.rollouts().iter();
            rollouts.any(|(_, rollout)| !rollout.phase.is_final())
        };
        if !is_active || !node.leads() || node.take_over().await.is_err() {
            continue;
        }
        for advance in node.next_phases(Instant::now()) {
            node.advance(advance).await;
        }
    }
}

fn in_progress(rollouts: &[(ServiceId, Rollout)]) -> Vec<(ServiceId, Rollout)> {
    let active = rollouts
        .iter()
        .filter(|(_, rollout)| !rollout.phase.is_final());
    active.cloned().collect()
}

/// Returns the name of a phase for logs and metrics.
fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Canary => "canary",
        Phase::Moving => "moving",
        Phase::Moved => "moved",
        Phase::Completed => "completed",
        Phase::RolledBack => "rolled-back",
    }
}
