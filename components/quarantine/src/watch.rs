//! An entry's view of crashes and of the subjects of one kind in quarantine.

use std::time::{Duration, Instant};

use config::ids::{Incarnation, UpstreamId};
use indexmap::IndexMap;

use crate::{Crash, Notice, Report, SubjectId};

/// Time after the first event of an answer from which on it has begun well.
pub const BEGUN_WELL: Duration = Duration::from_secs(1);
/// Time for which a crash is reported.
const CRASH_LIFETIME: Duration = Duration::from_secs(10);
/// Time for which a refused subject is reported.
const REFUSAL_LIFETIME: Duration = Duration::from_secs(1);
/// Time within which a trial has to begin.
const TRIAL_LIFETIME: Duration = Duration::from_secs(10);
/// Crashes that are kept at one time.
const MAX_CRASHES: usize = 64;
/// Suspects of one crash.
const MAX_SUSPECTS: usize = 128;
/// Subjects of which it is remembered when an answer began well; twice as many at most.
const MAX_SUBJECTS: usize = 8_192;
/// Time for which it is remembered when an answer began well; twice as long at most.
const BEGUN_WELL_RETENTION: Duration = Duration::from_secs(600);

/// Crashes that an entry has seen, the subjects with which answers began well, and the newest
/// notice.
#[derive(Debug, Default)]
pub struct Watch {
    crashes: IndexMap<(UpstreamId, Incarnation), Seen>,
    /// When an answer last began well with a subject; newer ones and older ones.
    begun_well: [IndexMap<SubjectId, Instant>; 2],
    /// When the newer ones began to be collected.
    collected_since: Option<Instant>,
    notice: Notice,
    /// Until when a request with a subject may be let through.
    trials: IndexMap<SubjectId, Instant>,
    refused: IndexMap<SubjectId, Instant>,
}

#[derive(Debug)]
struct Seen {
    at: Instant,
    suspects: IndexMap<SubjectId, u32>,
}

impl Watch {
    /// Returns the subject for which a request is refused, if there is one. A trial of the subject
    /// is used up.
    pub fn refusal(&mut self, subjects: &[SubjectId], now: Instant) -> Option<SubjectId> {
        let refused = self.would_refuse(subjects, now);
        match refused {
            Some(subject) => {
                self.trials.swap_remove(&subject);
                self.refused.insert(subject, now);
            }
            None => {
                let subject = self.quarantined(subjects)?;
                self.trials.swap_remove(&subject);
            }
        }
        refused
    }

    /// Returns what [`Watch::refusal`] would return.
    pub fn would_refuse(&self, subjects: &[SubjectId], now: Instant) -> Option<SubjectId> {
        let subject = self.quarantined(subjects)?;
        let trial = self.trials.get(&subject);
        trial.is_none_or(|until| *until <= now).then_some(subject)
    }

    /// Returns the first subject that is in quarantine.
    pub fn quarantined(&self, subjects: &[SubjectId]) -> Option<SubjectId> {
        let quarantined = |subject: &&SubjectId| self.notice.quarantined.contains(subject);
        subjects.iter().find(quarantined).copied()
    }

    /// Records that an answer to a request with `subjects` has begun well.
    pub fn record_begun_well(&mut self, subjects: &[SubjectId], now: Instant) {
        let since = *self.collected_since.get_or_insert(now);
        let is_old = now.saturating_duration_since(since) >= BEGUN_WELL_RETENTION;
        if is_old || self.begun_well[0].len() >= MAX_SUBJECTS {
            self.begun_well[1] = std::mem::take(&mut self.begun_well[0]);
            self.collected_since = Some(now);
        }
        for subject in subjects {
            self.begun_well[0].insert(*subject, now);
        }
    }

    /// Reports whether a crash has been recorded already.
    pub fn knows_crash(&self, upstream: &UpstreamId, incarnation: Incarnation) -> bool {
        self.crashes.contains_key(&(upstream.clone(), incarnation))
    }

    /// Records that an upstream crashed while an answer to a request with `subjects` had not begun
    /// well.
    pub fn record_crash(
        &mut self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        subjects: &[SubjectId],
        now: Instant,
    ) {
        self.drop_old(now);
        let key = (upstream.clone(), incarnation);
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&key) {
            self.crashes.shift_remove_index(0);
        }
        let seen = self.crashes.entry(key).or_insert_with(|| Seen {
            at: now,
            suspects: IndexMap::new(),
        });
        for (position, subject) in (0..).zip(subjects) {
            if seen.suspects.len() < MAX_SUSPECTS {
                seen.suspects.insert(*subject, position);
            }
        }
    }

    /// Returns the statement for the next report to the leader.
    pub fn report(&mut self, now: Instant) -> Report {
        self.drop_old(now);
        let begun_well = |subject: &SubjectId| {
            let at = self
                .begun_well
                .iter()
                .find_map(|subjects| subjects.get(subject))?;
            Some((*subject, age_ms(*at, now)))
        };
        let crash = |((upstream, incarnation), seen): (&(UpstreamId, Incarnation), &Seen)| Crash {
            upstream: upstream.clone(),
            incarnation: *incarnation,
            age_ms: age_ms(seen.at, now),
            suspects: seen
                .suspects
                .iter()
                .map(|(subject, at)| (*subject, *at))
                .collect(),
        };
        Report {
            notice: self.notice.number,
            crashes: self.crashes.iter().map(crash).collect(),
            begun_well: self.notice.watched.iter().filter_map(begun_well).collect(),
            refused: self.refused.keys().copied().collect(),
        }
    }

    /// Applies the leader's answer to a report, and returns the subjects that it puts into quarantine
    /// or takes out.
    pub fn apply(&mut self, notice: Notice, now: Instant) -> Vec<SubjectId> {
        for subject in &notice.trials {
            self.trials.insert(*subject, now + TRIAL_LIFETIME);
        }
        let before = std::mem::replace(&mut self.notice, notice);
        let (old, new) = (&before.quarantined, &self.notice.quarantined);
        let added = new.iter().filter(|subject| !old.contains(subject));
        let removed = old.iter().filter(|subject| !new.contains(subject));
        added.chain(removed).copied().collect()
    }

    fn drop_old(&mut self, now: Instant) {
        let is_within = |at: Instant, limit| now.saturating_duration_since(at) < limit;
        self.crashes
            .retain(|_, seen| is_within(seen.at, CRASH_LIFETIME));
        self.refused
            .retain(|_, at| is_within(*at, REFUSAL_LIFETIME));
        self.trials.retain(|_, until| now < *until);
    }
}

fn age_ms(at: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(at);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}
