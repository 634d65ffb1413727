//! Background tasks: notifications to connected entries, and the periodic work of the leader.

use std::sync::Arc;
use std::time::{Duration, Instant};

use config::ids::{AccountId, UpstreamId};
use config::release;
use indexmap::IndexSet;
use quarantine::{Kind, Record};
use state::{Change, Command, Output, State};
use tokio::time::sleep;
use tracing::{info, warn};
use wire::Push;

use super::Node;
use super::token_limits::Spent;
use super::workload::Workload;
use crate::replica::Replica;

/// Time between two reads of the state for changes that entries are notified of.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two commands that only advance the clock of the replicated state.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the upstreams that are draining and get no new work.
pub(crate) fn draining(state: &State) -> Vec<UpstreamId> {
    state.orders().draining().keys().cloned().collect()
}

/// Notifies the connected entries of each new version and each change of the draining upstreams
/// that is applied here, and updates the gauges.
pub(crate) async fn notify_entries<R>(node: Arc<Node<R>>)
where
    R: Replica<Command = Command, Output = Output>,
{
    let mut announced_version = 0;
    let mut announced_draining = Vec::new();
    while !*node.stopped.borrow() {
        let (newest, claims, draining) = {
            let state = node.machine.read();
            (
                state.texts().newest(),
                state.claims().len(),
                draining(&state),
            )
        };
        if draining != announced_draining {
            node.peers
                .push_to_entries(&Push::Draining(draining.clone()));
            announced_draining = draining;
        }
        if newest > announced_version {
            node.keep_newest_text();
            node.peers.announce_version(newest);
            node.admit_named();
            announced_version = newest;
        }
        node.metrics
            .version
            .set(i64::try_from(newest).unwrap_or(i64::MAX));
        node.metrics
            .claims
            .set(i64::try_from(claims).unwrap_or(i64::MAX));
        node.metrics.leads.set(i64::from(node.leads()));
        sleep(POLL_INTERVAL).await;
    }
}

/// Commits the leader's periodic changes: entries whose lease has expired, the spending of accounts
/// that spent more than half of their limit, and the current time.
pub(crate) async fn run_leader_tasks<R>(node: Arc<Node<R>>)
where
    R: Replica<Command = Command, Output = Output>,
{
    let mut last_tick = Instant::now();
    let mut last_recorded = Instant::now();
    let mut exceeded = IndexSet::new();
    while !*node.stopped.borrow() {
        sleep(LEASE_CHECK_INTERVAL).await;
        if !node.leads() || node.take_over().await.is_err() {
            continue;
        }
        record_lost_entries(&node).await;
        record_verdicts(&node).await;
        if last_recorded.elapsed() >= limits::RECORD_PERIOD - LEASE_CHECK_INTERVAL / 2 {
            last_recorded = Instant::now();
            observe_spending(&node, &mut exceeded);
            record_spending(&node).await;
        }
        if last_tick.elapsed() >= TICK_INTERVAL {
            last_tick = Instant::now();
            let _ = node.commit(Change::Tick).await;
            let unknowns = node.machine.read().claims().unknowns().count();
            node.metrics
                .unknowns
                .set(i64::try_from(unknowns).unwrap_or(i64::MAX));
        }
    }
}

async fn record_lost_entries<R>(node: &Node<R>)
where
    R: Replica<Command = Command, Output = Output>,
{
    let now = Instant::now();
    let expired = node.leadership().leases.expired(now);
    for (entry, incarnation) in expired {
        let change = Change::Lost {
            entry: entry.clone(),
            incarnation,
        };
        if node.commit(change).await.is_ok() {
            warn!("control: entry \"{entry}\" is lost: its freshness lease expired");
            node.leadership().leases.remove(&entry, incarnation, now);
        }
    }
}

/// Updates the gauges of what accounts spent, and logs which accounts go beyond their limit or
/// return to it.
fn observe_spending<R>(node: &Node<R>, exceeded: &mut IndexSet<AccountId>)
where
    R: Replica<Command = Command, Output = Output>,
{
    let Some((_, text)) = node.text() else {
        return;
    };
    let spending = node.workload().limits().spent(&text, Instant::now());
    for Spent {
        account,
        tokens,
        limit,
    } in spending
    {
        let gauge = node.metrics.account_spent.with_label_values(&[&account]);
        gauge.set(tokens as i64);
        match tokens > limit {
            true if exceeded.insert(account.clone()) => {
                warn!("control: account \"{account}\" spent {tokens:.0} tokens of {limit:.0}");
            }
            false if exceeded.shift_remove(&account) => {
                info!("control: account \"{account}\" is within its limit again");
            }
            _ => {}
        }
    }
}

/// Records the spending of accounts that spent more than half of their limit. A leader that starts
/// after all processes were killed continues from the record; for all other accounts it assumes
/// that they spent at their steady rate.
async fn record_spending<R>(node: &Node<R>)
where
    R: Replica<Command = Command, Output = Output>,
{
    let Some((_, text)) = node.text() else {
        return;
    };
    let spending = node.workload().limits().above_half(&text, Instant::now());
    if spending.is_empty() {
        return;
    }
    if let Err(failure) = node.commit(Change::RecordSpending(spending)).await {
        warn!("control: the spending of accounts is not recorded: {failure:?}");
    }
}

/// Records what is in quarantine if it has changed, once the whole group can read that. Trials are granted once they have been recorded,
/// so that no later leader grants them again.
async fn record_verdicts<R>(node: &Node<R>)
where
    R: Replica<Command = Command, Output = Output>,
{
    if !node.group_reads(release::PERMITS) {
        return;
    }
    let Some(verdicts) = changed_verdicts(&mut node.workload(), Instant::now()) else {
        return;
    };
    let subjects = verdicts.iter().map(|record| match record.kind {
        Kind::Part => format!("part {:x}", record.subject),
        Kind::Request => format!("request {:x}", record.subject),
    });
    let subjects = subjects.collect::<Vec<_>>().join(", ");
    match node.commit(Change::RecordVerdicts(verdicts)).await {
        Ok(_) => {
            info!("control: in quarantine: \"{subjects}\"");
            for evidence in node.workload().evidence() {
                evidence.open_trials();
            }
        }
        Err(failure) => {
            warn!("control: what is in quarantine is not recorded: {failure:?}");
            for evidence in node.workload().evidence() {
                evidence.keep_changed();
            }
        }
    }
}

/// Returns all verdicts if any of them has changed.
fn changed_verdicts(workload: &mut Workload, now: Instant) -> Option<Vec<Record>> {
    let mut is_changed = false;
    let mut verdicts = Vec::new();
    for evidence in workload.evidence() {
        evidence.begin_trials(now);
        is_changed |= evidence.take_changed();
        verdicts.extend(evidence.records(now));
    }
    is_changed.then_some(verdicts)
}
