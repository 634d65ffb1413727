//! Requests that the leader answers.

use std::sync::PoisonError;
use std::time::{Duration, Instant};

use config::ids::{Incarnation, NodeId, Version};
use state::claims::millis;
use state::text::{Outcome, Submission};
use state::{Change, Command, Output, State};
use tokio::time::sleep;
use tracing::info;
use wire::{Answer, Body, Failure, FreshnessLease, Overview, Query, Request, Submitted};

use super::replacement::Entries;
use super::token_limits::SpendingRecord;
use super::{Node, whole_texts};
use crate::leases::CLOCK_DRIFT_MARGIN;
use crate::replica::Replica;
use crate::{clock, difference};

/// Longest wait of a submission for its version to be in force everywhere. A replacement waits as
/// long as its request says.
const MAX_IN_FORCE_WAIT: Duration = Duration::from_secs(30);

/// Time between two checks whether a whole text may be sent.
const TURN_POLL_INTERVAL: Duration = Duration::from_millis(20);

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
            Body::Report(report) => {
                let text = self.text().map(|(_, text)| text);
                let process = (node, incarnation);
                let now = Instant::now();
                let (serving, replaced_ms) = self.serving_entries(&process.0);
                let overview =
                    self.workload()
                        .record_report(process, *report, text.as_deref(), now);
                Ok(Answer::Overview(Box::new(Overview {
                    now_ms: clock::monotonic_unix_ms(),
                    entries: overview.entries.max(serving),
                    replaced_ms,
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

    /// Returns the accounts' spending that an earlier leader recorded.
    fn recorded_spending(&self) -> SpendingRecord {
        let state = self.machine.read();
        let spending = state.spending();
        let age = clock::monotonic_unix_ms().saturating_sub(spending.at());
        SpendingRecord {
            age: Duration::from_millis(age),
            accounts: spending.accounts().clone(),
        }
    }

    /// Prepares for a new term, in which leases that earlier leaders granted may still be valid.
    /// Returns the term.
    pub(super) async fn take_over(&self) -> Result<u64, Failure> {
        let term = self.replica.status().term;
        if self.leadership().term == term {
            return Ok(term);
        }
        self.read_barrier().await?;
        let mut leadership = self.leadership();
        if leadership.term != term {
            let lease = millis(self.settings.freshness_lease + CLOCK_DRIFT_MARGIN);
            let entries = entries_with_possible_lease(&self.machine.read(), lease);
            leadership
                .leases
                .take_over(entries.into_iter(), Instant::now());
            self.take_over_limits();
            self.take_over_reports(term);
            leadership.term = term;
            leadership.since = Instant::now();
            info!("control: became the leader of term {term}");
        }
        Ok(term)
    }

    /// Assumes that every entry that served lately holds an allotment of the accounts' token
    /// limits.
    fn take_over_limits(&self) {
        let Some((_, text)) = self.text() else {
            return;
        };
        let record = self.recorded_spending();
        let processes = {
            let state = self.machine.read();
            entries_with_possible_lease(&state, millis(limits::ALLOTMENT_RETENTION))
        };
        let now = Instant::now();
        self.workload()
            .limits()
            .take_over(&processes, &record, &text, now);
    }

    /// Keeps the quarantine that an earlier leader recorded.
    fn take_over_reports(&self, term: u64) {
        let now = clock::monotonic_unix_ms();
        let verdicts = self.machine.read().verdicts().as_of(now);
        self.workload().take_over(term, &verdicts, Instant::now());
    }

    async fn confirm(
        &self,
        entry: NodeId,
        incarnation: Incarnation,
        entry_version: Version,
        fetches: bool,
    ) -> Result<Answer, Failure> {
        let term = self.replica.status().term;
        self.join(&entry, incarnation).await?;
        // Recorded before the lease is granted, so that every submission waits for it.
        self.leadership()
            .leases
            .record(&entry, incarnation, entry_version, Instant::now());
        self.read_barrier().await?;
        let (version, source) = {
            let state = self.machine.read();
            let version = state.texts().newest();
            let revision = state
                .texts()
                .revision(version)
                .filter(|_| version > entry_version && !fetches);
            (
                version,
                revision.map(|revision| revision.source.to_string()),
            )
        };
        if let Some(source) = &source {
            self.wait_to_send(&entry, incarnation, source.len()).await?;
        }
        match self.replica.status().term {
            now if now == term && self.leads() => Ok(Answer::FreshnessLease(FreshnessLease {
                version,
                lease_ms: millis(self.settings.freshness_lease),
                source,
                leader: self.settings.node.clone(),
            })),
            _ => Err(Failure::NoLeader),
        }
    }

    /// Waits until a text of `bytes` may be sent with the lease of an entry that fetches none.
    async fn wait_to_send(
        &self,
        entry: &NodeId,
        incarnation: Incarnation,
        bytes: usize,
    ) -> Result<(), Failure> {
        if bytes < whole_texts::MIN_BYTES {
            return Ok(());
        }
        let deadline = Instant::now() + whole_texts::MAX_WAIT;
        loop {
            let process = (entry.clone(), incarnation);
            let now = Instant::now();
            let may_send = {
                let mut texts = self
                    .whole_texts
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                texts.begin(process, bytes, now)
            };
            match may_send {
                true => return Ok(()),
                false if now >= deadline => {
                    let reason = "the text is sent to other entries first";
                    return Err(Failure::Uncertain(reason.into()));
                }
                false => sleep(TURN_POLL_INTERVAL).await,
            }
        }
    }

    async fn join(&self, entry: &NodeId, incarnation: Incarnation) -> Result<(), Failure> {
        let serves = || self.machine.read().members().serves(entry, incarnation);
        if serves() {
            return Ok(());
        }
        let change = Change::Join {
            entry: entry.clone(),
            incarnation,
        };
        self.commit(change).await?;
        match serves() {
            true => {
                info!("control: entry \"{entry}\" joined with incarnation {incarnation}");
                Ok(())
            }
            false => Err(Failure::Refused(
                "a later process of the same entry serves".into(),
            )),
        }
    }

    async fn leave(&self, entry: NodeId, incarnation: Incarnation) -> Result<Answer, Failure> {
        let now = Instant::now();
        self.leadership().leases.release(&entry, incarnation, now);
        self.commit(Change::Lost {
            entry: entry.clone(),
            incarnation,
        })
        .await?;
        self.leadership().leases.remove(&entry, incarnation, now);
        info!("control: entry \"{entry}\" left");
        Ok(Answer::Done)
    }

    async fn submit(&self, submission: Submission, wait: Duration) -> Result<Answer, Failure> {
        let base = submission.base;
        self.parse_submitted(submission.source.as_str().into())
            .await?;
        let id = submission.id.clone();
        let outcome = match self.commit(Change::Submit(submission)).await? {
            Output::Submitted(outcome) => outcome,
            output => return Err(unexpected_output(&output)),
        };
        info!("control: submission \"{id}\" on base {base}: {outcome:?}");
        let missing = match outcome {
            Outcome::Accepted { version } => {
                self.peers.announce_version(version);
                self.wait_in_force(version, Entries::WithLease, wait.min(MAX_IN_FORCE_WAIT))
                    .await?
            }
            _ => Vec::new(),
        };
        Ok(Answer::Submitted(
            self.submission_result(outcome, base, missing),
        ))
    }

    pub(super) fn submission_result(
        &self,
        outcome: Outcome,
        base: Version,
        missing: Vec<NodeId>,
    ) -> Submitted {
        let state = self.machine.read();
        let texts = state.texts();
        let newest = texts.newest();
        let source = |version| texts.revision(version).map(|r| &*r.source);
        let difference = match outcome {
            Outcome::Conflict { .. } if base == 0 => source(newest).map(|n| (n, "")),
            Outcome::Conflict { .. } => source(newest).zip(source(base)),
            _ => None,
        };
        Submitted {
            outcome,
            newest,
            missing,
            difference: difference.map(|(new, old)| difference::lines(old, new)),
        }
    }

    /// Returns once this process is confirmed as the leader and has applied all committed entries.
    pub(super) async fn read_barrier(&self) -> Result<(), Failure> {
        let passed = self.replica.read_barrier().await;
        passed.map_err(|_| Failure::NoLeader)
    }
}

/// Returns the entries that may hold a lease of an earlier leader: those that are serving, and
/// those that were recorded as lost at most `lease_ms` ago: a lease may have been granted while the
/// loss was being committed.
fn entries_with_possible_lease(state: &State, lease_ms: u64) -> Vec<(NodeId, Incarnation)> {
    let since = clock::unix_ms().min(state.now()).saturating_sub(lease_ms);
    state
        .members()
        .iter()
        .filter(|(_, member)| member.lost_at.is_none_or(|at| at >= since))
        .map(|(entry, member)| (entry.clone(), member.incarnation))
        .collect()
}

pub(super) fn unexpected_output(output: &Output) -> Failure {
    Failure::Uncertain(format!("the state machine answered {output:?}").into())
}
