//! The evidence of all entries about the subjects of one kind, at the leader.

use std::time::{Duration, Instant};

use config::ids::{Incarnation, NodeId, UpstreamId};
use indexmap::IndexMap;

use crate::kind::Threshold;
use crate::verdict::Verdict;
use crate::{Kind, Notice, Record, Report, SubjectId};

/// Longest wait for what the entries know of a subject under suspicion.
const MAX_ANSWER_WAIT: Duration = Duration::from_millis(1_200);
/// Time after its last report for which an entry is waited for.
const ENTRY_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which a crash counts.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Crashes that are kept at one time.
const MAX_CRASHES: usize = 256;
/// Parts under suspicion at one time.
const MAX_SUSPICIONS: usize = 512;

/// What entries have reported, and the subjects in quarantine.
#[derive(Debug)]
pub struct Evidence {
    kind: Kind,
    /// When the term started. Entries may not have reported to this leader yet.
    since: Instant,
    crashes: IndexMap<(UpstreamId, Incarnation), Crash>,
    suspicions: IndexMap<SubjectId, Suspicion>,
    verdicts: IndexMap<SubjectId, Verdict>,
    /// Number of the notice that each entry has applied, and the time of its report.
    entries: IndexMap<(NodeId, Incarnation), (u64, Instant)>,
    /// Number of the newest notice.
    number: u64,
    /// Whether the verdicts differ from the ones recorded last.
    changed: bool,
}

#[derive(Debug)]
struct Crash {
    at: Instant,
    /// Positions of the subjects among those of their requests.
    suspects: IndexMap<SubjectId, u32>,
}

/// A subject that was being answered when an upstream crashed.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: Instant,
    /// Notice that asks the entries about the subject.
    notice: u64,
    begun_well: Option<Instant>,
}

/// Crashes that count against a subject.
#[derive(Clone, Copy, Debug)]
struct Charge {
    subject: SubjectId,
    /// Whether an answer with the subject has begun well before.
    is_known: bool,
    position: u32,
    crashes: usize,
    first: Instant,
    last: Instant,
}

impl Evidence {
    /// Starts a term with the verdicts that earlier leaders recorded, of which those on other kinds
    /// are left out. Notices of a later term have higher numbers.
    pub fn new(kind: Kind, term: u64, records: &[Record], now: Instant) -> Self {
        let records = records.iter().filter(|record| record.kind == kind);
        let verdict = |record: &Record| (record.subject, Verdict::from_record(*record, now));
        Evidence {
            kind,
            since: now,
            crashes: IndexMap::new(),
            suspicions: IndexMap::new(),
            verdicts: records.map(verdict).collect(),
            entries: IndexMap::new(),
            number: term << 32,
            changed: false,
        }
    }

    /// Adds the report of an entry's process, and returns the answer to it.
    pub fn record(
        &mut self,
        process: &(NodeId, Incarnation),
        report: &Report,
        now: Instant,
    ) -> Notice {
        self.drop_old(now);
        self.entries.insert(process.clone(), (report.notice, now));
        for crash in &report.crashes {
            self.add_crash(crash, now);
        }
        for (subject, age_ms) in &report.begun_well {
            self.acquit(*subject, before(now, *age_ms));
        }
        self.judge(now);
        let mut trials = Vec::new();
        for subject in &report.refused {
            if let Some(verdict) = self.verdicts.get_mut(subject)
                && verdict.record_refusal(now)
            {
                trials.push(*subject);
            }
        }
        let watched = self.suspicions.keys().chain(self.verdicts.keys());
        Notice {
            number: self.number,
            watched: watched.copied().collect(),
            quarantined: self.verdicts.keys().copied().collect(),
            trials,
        }
    }

    /// Begins the trials that are due. They are granted once they have been recorded; see
    /// [`Evidence::open_trials`].
    pub fn begin_trials(&mut self, now: Instant) {
        for verdict in self.verdicts.values_mut() {
            self.changed |= verdict.begin_trial(now);
        }
    }

    /// Reports whether the verdicts have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the verdicts as they are replicated.
    pub fn records(&self, now: Instant) -> Vec<Record> {
        let verdicts = self.verdicts.iter();
        let records = verdicts.map(|(subject, verdict)| verdict.record(*subject, now));
        records.collect()
    }

    /// Grants the trials that were begun, after they have been recorded.
    pub fn open_trials(&mut self) {
        self.verdicts.values_mut().for_each(Verdict::open_trial);
    }

    /// Notes that the newest verdicts could not be recorded.
    pub fn keep_changed(&mut self) {
        self.changed = true;
    }

    fn add_crash(&mut self, crash: &crate::Crash, now: Instant) {
        let at = before(now, crash.age_ms);
        if now.saturating_duration_since(at) >= CRASH_RETENTION {
            return;
        }
        let key = (crash.upstream.clone(), crash.incarnation);
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&key) {
            self.crashes.shift_remove_index(0);
        }
        let known = self.crashes.entry(key).or_insert_with(|| Crash {
            at,
            suspects: IndexMap::new(),
        });
        known.at = known.at.min(at);
        known.suspects.extend(crash.suspects.iter().copied());
        for (subject, _) in &crash.suspects {
            let is_known =
                self.suspicions.contains_key(subject) || self.verdicts.contains_key(subject);
            let crashes = self.crashes.values();
            let crashes = crashes.filter(|crash| crash.suspects.contains_key(subject));
            if is_known
                || crashes.count() < self.kind.suspicious_crashes()
                || self.suspicions.len() >= MAX_SUSPICIONS
            {
                continue;
            }
            self.number += 1;
            let suspicion = Suspicion {
                since: now,
                notice: self.number,
                begun_well: None,
            };
            self.suspicions.insert(*subject, suspicion);
        }
    }

    /// Records that an answer with `subject` began well at `at`.
    fn acquit(&mut self, subject: SubjectId, at: Instant) {
        if let Some(suspicion) = self.suspicions.get_mut(&subject) {
            suspicion.begun_well = suspicion.begun_well.max(Some(at));
        }
        if self
            .verdicts
            .get(&subject)
            .is_some_and(|verdict| verdict.is_lifted_by(at))
        {
            self.verdicts.shift_remove(&subject);
            self.crashes.values_mut().for_each(|crash| {
                crash.suspects.shift_remove(&subject);
            });
            self.changed = true;
        }
    }

    /// Puts subjects into quarantine against which there is enough evidence.
    fn judge(&mut self, now: Instant) {
        while let Some(subject) = self.guilty(now) {
            self.suspicions.shift_remove(&subject);
            self.verdicts.insert(subject, Verdict::new(self.kind, now));
            self.changed = true;
        }
    }

    /// Returns a subject to put into quarantine.
    fn guilty(&self, now: Instant) -> Option<SubjectId> {
        let charges = self.charges();
        let (known, unknown): (Vec<Charge>, Vec<Charge>) =
            charges.into_iter().partition(|charge| charge.is_known);
        self.most_charged(&unknown, self.kind.threshold(false), now)
            .or_else(|| self.most_charged(&known, self.kind.threshold(true), now))
    }

    /// Returns the subject with the most crashes if they reach the threshold. Among subjects with
    /// the same number it is the last of its request, which fewest requests share, after one more
    /// crash.
    fn most_charged(
        &self,
        charges: &[Charge],
        threshold: Threshold,
        now: Instant,
    ) -> Option<SubjectId> {
        let most = charges.iter().map(|charge| charge.crashes).max()?;
        let top = charges.iter().filter(|charge| charge.crashes == most);
        let is_tie = top.clone().count() > 1;
        let charge = top.max_by_key(|charge| charge.position)?;
        let suspicion = self.suspicions.get(&charge.subject)?;
        let span = charge.last.saturating_duration_since(charge.first);
        let is_enough = charge.crashes >= threshold.crashes + usize::from(is_tie);
        (is_enough && span >= threshold.span && self.is_answered(suspicion, now))
            .then_some(charge.subject)
    }

    /// Returns the crashes against each subject under suspicion: those after an answer with it last
    /// began well, and without a subject that is in quarantine.
    fn charges(&self) -> Vec<Charge> {
        let mut charges: IndexMap<SubjectId, Charge> = IndexMap::new();
        let is_explained = |crash: &&Crash| {
            let mut suspects = crash.suspects.keys();
            suspects.any(|subject| self.verdicts.contains_key(subject))
        };
        for crash in self.crashes.values().filter(|crash| !is_explained(crash)) {
            for (subject, position) in &crash.suspects {
                let Some(suspicion) = self.suspicions.get(subject) else {
                    continue;
                };
                if suspicion.begun_well.is_some_and(|at| at >= crash.at) {
                    continue;
                }
                let charge = charges.entry(*subject).or_insert(Charge {
                    subject: *subject,
                    is_known: suspicion.begun_well.is_some(),
                    position: 0,
                    crashes: 0,
                    first: crash.at,
                    last: crash.at,
                });
                charge.position = charge.position.max(*position);
                charge.crashes += 1;
                charge.first = charge.first.min(crash.at);
                charge.last = charge.last.max(crash.at);
            }
        }
        charges.into_values().collect()
    }

    /// Reports whether all entries have said what they know of a subject, or had time enough.
    fn is_answered(&self, suspicion: &Suspicion, now: Instant) -> bool {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        let is_live = |at: Instant| elapsed(at) < ENTRY_LIFETIME;
        let mut live = self.entries.values().filter(|(_, at)| is_live(*at));
        let knows_entries = elapsed(self.since) >= ENTRY_LIFETIME;
        (knows_entries && live.all(|(notice, _)| *notice >= suspicion.notice))
            || elapsed(suspicion.since) >= MAX_ANSWER_WAIT
    }

    fn drop_old(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= CRASH_RETENTION;
        self.crashes.retain(|_, crash| !is_old(crash.at));
        self.suspicions
            .retain(|_, suspicion| !is_old(suspicion.since));
        self.entries.retain(|_, (_, at)| !is_old(*at));
        let count = self.verdicts.len();
        self.verdicts.retain(|_, verdict| !verdict.is_idle(now));
        self.changed |= self.verdicts.len() < count;
    }
}

/// Returns the time `age_ms` milliseconds before `now`.
fn before(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms))
        .unwrap_or(now)
}
