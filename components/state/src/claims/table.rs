//! Grants, settlements and removals of claims.

use std::collections::BTreeSet;

use compact_str::CompactString;
use config::ids::{AccountId, Incarnation, RequestId, Version};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{
    DISPATCH_MARGIN, DISPATCH_WINDOW, Holder, MAX_ANSWER_BYTES, MAX_CLAIMS, MAX_TOTAL_ANSWER_BYTES,
    MAX_WITHDRAWALS, Outcome, PENDING_TIMEOUT, Record, Unknown, WITHDRAWAL_RETENTION, millis,
};
use crate::Millis;
use crate::claim::{Claim, Settlement, Verdict};

type Key = (AccountId, CompactString);

/// All claims that are kept, by account and key.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Claims {
    records: IndexMap<Key, Record>,
    withdrawals: IndexMap<RequestId, Millis>,
    answer_bytes: usize,
    #[serde(skip)]
    by_due: BTreeSet<(Millis, Key)>,
}

impl Claims {
    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Reports whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the claims whose outcome is unknown.
    pub fn unknowns(&self) -> impl Iterator<Item = Unknown> {
        self.records
            .iter()
            .filter(|(_, record)| matches!(record.outcome, Outcome::Unknown))
            .map(|((account, key), record)| Unknown {
                account: account.clone(),
                key: key.clone(),
                request: record.holder.request.clone(),
                entry: record.holder.entry.clone(),
                granted_at: record.granted_at,
                forgotten_at: record.due,
            })
    }

    /// Reports whether an entry's process has pending claims.
    pub fn has_pending(&self, entry: &str, incarnation: Incarnation) -> bool {
        self.records
            .values()
            .any(|record| is_pending_for(record, entry, incarnation))
    }

    /// Grants a claim whose key is free, or returns why it is not granted.
    pub(crate) fn claim(
        &mut self,
        now: Millis,
        in_force: Version,
        holder: Holder,
        claim: Claim,
        retention_ms: u64,
    ) -> Verdict {
        let key = (claim.account, claim.key);
        let dispatch_within_ms = millis(DISPATCH_WINDOW);
        match self.records.get(&key) {
            Some(record) => record.verdict(claim.fingerprint, &holder, dispatch_within_ms),
            None if claim.version < in_force => Verdict::Outdated { in_force },
            // The request was settled as not run before its claim arrived, so the call must not be
            // dispatched.
            None if self.withdrawals.contains_key(&holder.request) => Verdict::Held {
                holder: holder.request,
            },
            None if self.records.len() >= MAX_CLAIMS => Verdict::Full {
                retry_after_ms: self.ms_until_due(now),
            },
            None => {
                let record = Record {
                    fingerprint: claim.fingerprint,
                    holder,
                    granted_at: now,
                    retention_ms,
                    due: now + millis(PENDING_TIMEOUT),
                    outcome: Outcome::Pending,
                };
                self.by_due.insert((record.due, key.clone()));
                self.records.insert(key, record);
                Verdict::Granted { dispatch_within_ms }
            }
        }
    }

    /// Records the result that a holder reports, and reports whether that changed anything.
    pub(crate) fn settle(
        &mut self,
        now: Millis,
        holder: &Holder,
        claim: Claim,
        settlement: Settlement,
    ) -> bool {
        let key = (claim.account, claim.key);
        let outcome = self
            .records
            .get(&key)
            .map(|record| (record.holder == *holder, &record.outcome));
        match (settlement, outcome) {
            (Settlement::NotRun, None) => self.withdraw(now, claim.request),
            (Settlement::NotRun, Some((true, Outcome::Pending | Outcome::Unknown))) => {
                self.remove(&key);
                true
            }
            (Settlement::Answered(answer), Some((true, Outcome::Pending | Outcome::Unknown))) => {
                let fits = answer.body.len() <= MAX_ANSWER_BYTES
                    && self.answer_bytes + answer.body.len() <= MAX_TOTAL_ANSWER_BYTES;
                let outcome = match fits {
                    true => Outcome::Answered(answer),
                    false => Outcome::NotRecorded,
                };
                self.set_outcome(now, &key, outcome)
            }
            (Settlement::Unknown, Some((true, Outcome::Pending))) => {
                self.set_outcome(now, &key, Outcome::Unknown)
            }
            _ => false,
        }
    }

    /// Brings the due time of a lost entry's pending claims forward to the moment after which the
    /// entry may no longer dispatch them.
    pub(crate) fn shorten_deadlines(&mut self, now: Millis, entry: &str, incarnation: Incarnation) {
        let due = now + millis(DISPATCH_WINDOW + DISPATCH_MARGIN);
        self.reschedule(entry, incarnation, |record| record.due.min(due));
    }

    /// Undoes [`Claims::shorten_deadlines`] for claims that are still pending.
    pub(crate) fn restore_deadlines(&mut self, entry: &str, incarnation: Incarnation) {
        let limit = millis(PENDING_TIMEOUT);
        self.reschedule(entry, incarnation, |record| record.granted_at + limit);
    }

    /// Removes claims and withdrawals whose due time has passed; pending claims are kept with the
    /// outcome unknown instead.
    pub(crate) fn expire(&mut self, now: Millis) {
        while let Some((_, key)) = self.by_due.first().filter(|(due, _)| *due <= now).cloned() {
            match self.records.get(&key).map(|record| &record.outcome) {
                Some(Outcome::Pending) => {
                    self.set_outcome(now, &key, Outcome::Unknown);
                }
                _ => self.remove(&key),
            }
        }
        self.withdrawals.retain(|_, until| *until > now);
    }

    /// Rebuilds the index by due time, which snapshots don't contain.
    pub(crate) fn rebuild_index(&mut self) {
        let due = |(key, record): (&Key, &Record)| (record.due, key.clone());
        self.by_due = self.records.iter().map(due).collect();
    }

    /// Records that a request did not run, so that its claim is not granted if it arrives after the
    /// settlement. Returns false if there are already [`MAX_WITHDRAWALS`].
    fn withdraw(&mut self, now: Millis, request: RequestId) -> bool {
        let has_capacity = self.withdrawals.len() < MAX_WITHDRAWALS;
        if has_capacity {
            self.withdrawals
                .insert(request, now + millis(WITHDRAWAL_RETENTION));
        }
        has_capacity
    }

    /// Replaces the outcome of a claim, which is then kept for its retention time.
    fn set_outcome(&mut self, now: Millis, key: &Key, outcome: Outcome) -> bool {
        let Some(record) = self.records.get_mut(key) else {
            return false;
        };
        self.by_due.remove(&(record.due, key.clone()));
        self.answer_bytes -= record.answer_bytes();
        record.outcome = outcome;
        record.due = now + record.retention_ms;
        self.answer_bytes += record.answer_bytes();
        self.by_due.insert((record.due, key.clone()));
        true
    }

    fn remove(&mut self, key: &Key) {
        if let Some(record) = self.records.swap_remove(key) {
            self.by_due.remove(&(record.due, key.clone()));
            self.answer_bytes -= record.answer_bytes();
        }
    }

    /// Sets the due time of all pending claims of an entry's process.
    fn reschedule(
        &mut self,
        entry: &str,
        incarnation: Incarnation,
        due: impl Fn(&Record) -> Millis,
    ) {
        for (key, record) in &mut self.records {
            if is_pending_for(record, entry, incarnation) {
                self.by_due.remove(&(record.due, key.clone()));
                record.due = due(record);
                self.by_due.insert((record.due, key.clone()));
            }
        }
    }

    /// Returns the milliseconds until the next claim is due.
    fn ms_until_due(&self, now: Millis) -> u64 {
        self.by_due
            .first()
            .map_or(0, |(due, _)| due.saturating_sub(now))
    }
}

fn is_pending_for(record: &Record, entry: &str, incarnation: Incarnation) -> bool {
    let held = record.holder.entry == entry && record.holder.incarnation == incarnation;
    held && matches!(record.outcome, Outcome::Pending)
}
