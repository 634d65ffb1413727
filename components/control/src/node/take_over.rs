//! The beginning of a term, in which what earlier leaders granted may still be valid.

use std::time::{Duration, Instant};

use config::ids::{Incarnation, NodeId};
use state::claims::millis;
use state::{Command, Output, State};
use tracing::info;
use wire::Failure;

use super::Node;
use super::token_limits::SpendingRecord;
use crate::clock;
use crate::leases::CLOCK_DRIFT_MARGIN;
use crate::replica::Replica;

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
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
