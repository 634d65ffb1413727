//! Requests that the leader answers.

use std::time::{Duration, Instant};

use config::Text;
use state::claims::millis;
use state::{Change, Command, Output};
use wire::{Answer, Body, Failure, Overview, Query, Request};

use super::Node;
use crate::clock;
use crate::replica::Replica;

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Answers a request as the leader.
    pub(super) async fn answer_as_leader(&self, request: Request) -> Result<Answer, Failure> {
        self.take_over().await?;
        let (node, incarnation) = (request.node, request.incarnation);
        self.leadership()
            .leases
            .hear(&node, incarnation, Instant::now());
        match request.body {
            Body::Confirm { version, fetches } => {
                self.confirm(node, incarnation, version, fetches).await
            }
            Body::Leave => self.leave(node, incarnation).await,
            Body::Claim(claim) => {
                let change = Change::Claim {
                    entry: node,
                    incarnation,
                    claim,
                    retention_ms: millis(self.settings.claim_retention),
                };
                match self.commit(change).await? {
                    Output::Verdict(verdict) => Ok(Answer::Verdict(verdict)),
                    output => Err(unexpected_output(&output)),
                }
            }
            Body::Settle(claim, settlement) => {
                let change = Change::Settle {
                    entry: node,
                    incarnation,
                    claim,
                    settlement,
                };
                match self.commit(change).await? {
                    Output::Settled(changed) => Ok(Answer::Settled(changed)),
                    output => Err(unexpected_output(&output)),
                }
            }
            Body::Draw(draws) => Ok(Answer::Grants(self.draw(&node, &draws))),
            Body::Submit {
                submission,
                wait_ms,
            } => {
                self.submit(submission, Duration::from_millis(wait_ms))
                    .await
            }
            Body::Replace {
                replacement,
                wait_ms,
            } => {
                self.replace(replacement, Duration::from_millis(wait_ms))
                    .await
            }
            Body::Edit { edit, wait_ms } => self.edit(edit, Duration::from_millis(wait_ms)).await,
            Body::Report(mut report) => {
                let text = self.text().map(|(_, text)| text);
                let process = (node, incarnation);
                let now = Instant::now();
                if let Some(text) = &text {
                    self.plan_admission(text, now);
                }
                let (serving, replaced_ms) = self.serving_entries(&process.0);
                let counted = std::mem::take(&mut report.rollouts);
                let rollouts = self.record_rollouts(&process, counted, now);
                let overview =
                    self.workload()
                        .record_report(process, *report, text.as_deref(), now);
                Ok(Answer::Overview(Box::new(Overview {
                    now_ms: clock::monotonic_unix_ms(),
                    entries: overview.entries.max(serving),
                    replaced_ms,
                    rollouts,
                    ..overview
                })))
            }
            Body::Balance(statements) => {
                let process = (node, incarnation);
                let balances = self.text().map(|(_, text)| {
                    let mut workload = self.workload();
                    let now = Instant::now();
                    workload
                        .limits()
                        .balances(&process, &statements, &text, now)
                });
                Ok(Answer::Balances(balances.unwrap_or_default()))
            }
            Body::DrawPermits { wanted, count } => {
                let (serving, _) = self.serving_entries(&node);
                let now = Instant::now();
                let mut workload = self.workload();
                let drawn = workload.permits().draw(&wanted, count, serving, now);
                Ok(Answer::Permits(drawn))
            }
            Body::BeginRollout(order) => self.begin_rollout(order).await,
            Body::RecordOrigin(_)
            | Body::FindOrigin(_)
            | Body::ListSoftware(_)
            | Body::FetchText(_)
            | Body::Hold(_) => Err(Failure::Refused("the leader is not needed for it".into())),
            Body::Query(Query::Source) => {
                self.read_barrier().await?;
                let state = self.machine.read();
                let newest = state.texts().revision(state.texts().newest());
                let source = newest.map(|revision| revision.source.to_string());
                Ok(Answer::Document(source.unwrap_or_default()))
            }
            Body::Query(query) => {
                self.read_barrier().await?;
                let status = self.replica.status();
                Ok(Answer::Document(self.document(query, &status)))
            }
        }
    }

    /// Makes the plans of admission that are due.
    fn plan_admission(&self, text: &Text, now: Instant) {
        let due = self.workload().plans_due(now);
        if due.is_empty() {
            return;
        }
        let supplies = self.announcements.supplies();
        let planned = self.workload().plan(&due, supplies, text, now);
        for planned in &planned {
            self.metrics.record_plan(planned);
        }
    }

    /// Returns how many entries serve, and the milliseconds since the process of `entry` replaced
    /// another one.
    fn serving_entries(&self, entry: &str) -> (u32, Option<u64>) {
        let state = self.machine.read();
        let members = state.members();
        let replaced = members.get(entry).and_then(|member| member.replaced_at);
        let age = |at| clock::unix_ms().saturating_sub(at);
        let serving = members.iter().filter(|(_, member)| member.serves());
        let serving = u32::try_from(serving.count()).unwrap_or(u32::MAX);
        (serving, replaced.map(age))
    }

    /// Returns once this process is confirmed as the leader and has applied all committed entries.
    pub(super) async fn read_barrier(&self) -> Result<(), Failure> {
        let passed = self.replica.read_barrier().await;
        passed.map_err(|_| Failure::NoLeader)
    }
}

pub(super) fn unexpected_output(output: &Output) -> Failure {
    Failure::Uncertain(format!("the state machine answered {output:?}").into())
}
