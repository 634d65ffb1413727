//! A subject in quarantine, and the trials of it.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{Kind, SubjectId};

/// Time after the last refused request for which a verdict stands.
const IDLE_RETENTION: Duration = Duration::from_secs(600);
/// Time after a refused request within which a trial is granted: there must be a request to try.
const DEMAND_LIFETIME: Duration = Duration::from_secs(5);

/// A verdict as it is replicated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Kind of the subject.
    #[serde(default)]
    pub kind: Kind,
    /// The subject; recorded under the name of the first kind, as earlier releases did.
    #[serde(rename = "part")]
    pub subject: SubjectId,
    /// Time since the verdict or the newest trial, in milliseconds.
    pub age_ms: u64,
    /// Trials so far.
    pub trials: u32,
}

/// State of the newest trial.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trial {
    /// None is to be granted.
    Closed,
    /// It is being recorded.
    Recorded,
    /// The next entry that refuses such a request gets it.
    Open,
}

/// A verdict at the leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Verdict {
    kind: Kind,
    /// When it fell, or when the newest trial began.
    since: Instant,
    trials: u32,
    trial: Trial,
    refused: Instant,
}

impl Verdict {
    pub(crate) fn new(kind: Kind, now: Instant) -> Self {
        Verdict {
            kind,
            since: now,
            trials: 0,
            trial: Trial::Closed,
            refused: now,
        }
    }

    pub(crate) fn from_record(record: Record, now: Instant) -> Self {
        let age = Duration::from_millis(record.age_ms);
        Verdict {
            since: now.checked_sub(age).unwrap_or(now),
            trials: record.trials,
            ..Verdict::new(record.kind, now)
        }
    }

    pub(crate) fn record(&self, subject: SubjectId, now: Instant) -> Record {
        let age = now.saturating_duration_since(self.since);
        Record {
            kind: self.kind,
            subject,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            trials: self.trials,
        }
    }

    /// Reports whether an answer that began well at `at` shows that the subject is sound.
    pub(crate) fn is_lifted_by(&self, at: Instant) -> bool {
        at > self.since
    }

    /// Reports whether no request with the subject has come for a long time.
    pub(crate) fn is_idle(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.refused) >= IDLE_RETENTION
    }

    /// Begins a trial if one is due, and reports whether it has.
    pub(crate) fn begin_trial(&mut self, now: Instant) -> bool {
        let Some(pause) = self.kind.trial_pauses().get(self.trials as usize) else {
            return false;
        };
        let is_due = now >= self.since + *pause;
        let has_demand = now.saturating_duration_since(self.refused) < DEMAND_LIFETIME;
        if !is_due || !has_demand || self.trial != Trial::Closed {
            return false;
        }
        self.trials += 1;
        self.since = now;
        self.trial = Trial::Recorded;
        true
    }

    /// Allows the trial that has been recorded to be granted.
    pub(crate) fn open_trial(&mut self) {
        if self.trial == Trial::Recorded {
            self.trial = Trial::Open;
        }
    }

    /// Records that an entry refused a request with the subject, and reports whether it gets the
    /// trial.
    pub(crate) fn record_refusal(&mut self, now: Instant) -> bool {
        self.refused = now;
        let granted = self.trial == Trial::Open;
        if granted {
            self.trial = Trial::Closed;
        }
        granted
    }
}
