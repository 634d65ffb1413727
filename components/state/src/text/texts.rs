//! Versions of the operators' text.

use std::sync::Arc;

use compact_str::CompactString;
use config::ids::Version;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use super::{Edit, Outcome, Replacement, Submission, SubmissionId};
use crate::Millis;

/// Largest text of a [`Submission`], in bytes.
pub const MAX_TEXT_BYTES: usize = 256 * 1_024;
/// Largest text of a [`Replacement`], in bytes.
pub const MAX_REPLACEMENT_BYTES: usize = 4 * 1_024 * 1_024;
/// Revisions kept at one time, so that a conflict can show the difference from its base.
pub const MAX_REVISIONS: usize = 32;
/// Outcomes of submissions kept at one time; the oldest is removed first. A resend of a removed one
/// can't be applied twice, since its base is no longer the newest version.
pub const MAX_SUBMISSIONS: usize = 4_096;

/// The newest revisions of the text, and the outcomes of the newest submissions.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Texts {
    newest: Version,
    revisions: IndexMap<Version, Revision>,
    submissions: IndexMap<SubmissionId, Record>,
}

/// A version of the text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Revision {
    /// Number of the version.
    pub version: Version,
    /// Operator who submitted it.
    pub operator: CompactString,
    /// When it was committed.
    pub at: Millis,
    /// The text, in the operators' language.
    pub source: Arc<str>,
}

/// A submission that was seen, and its outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Record {
    fingerprint: (u64, u64),
    outcome: Outcome,
}

impl Texts {
    /// Returns the newest version; 0 before the first text.
    pub fn newest(&self) -> Version {
        self.newest
    }

    /// Returns a version, or `None` if it is not kept.
    pub fn revision(&self, version: Version) -> Option<&Revision> {
        self.revisions.get(&version)
    }

    /// Puts a text in force if its base is the newest version.
    pub(crate) fn submit(&mut self, now: Millis, submission: Submission) -> Outcome {
        let fingerprint = fingerprint(&submission);
        let outcome = match self.submissions.get(&submission.id) {
            Some(first) if first.fingerprint == fingerprint => return first.outcome,
            Some(_) => return Outcome::Reused,
            None if submission.source.len() > MAX_TEXT_BYTES => return Outcome::TooLarge,
            None if submission.base != self.newest => Outcome::Conflict {
                newest: self.newest,
            },
            None => Outcome::Accepted {
                version: self.newest + 1,
            },
        };
        self.record(submission.id.clone(), fingerprint, outcome);
        if let Outcome::Accepted { version } = outcome {
            self.append(now, version, submission);
        }
        outcome
    }

    /// Puts a text in force if its version is higher than that of the newest one. The newest
    /// one is accepted again if it is sent again unchanged.
    pub(crate) fn replace(&mut self, now: Millis, replacement: Replacement) -> Outcome {
        if let Some(outcome) = self.outcome_without_change(&replacement) {
            return outcome;
        }
        let version = replacement.version;
        // Operators who number their texts compare them themselves, so earlier revisions are not
        // needed.
        self.revisions.clear();
        self.insert(Revision {
            version,
            operator: replacement.operator,
            at: now,
            source: replacement.source.into(),
        });
        Outcome::Accepted { version }
    }

    /// Returns the outcome of a replacement that would change nothing; `None` for others.
    pub fn outcome_without_change(&self, replacement: &Replacement) -> Option<Outcome> {
        let version = replacement.version;
        match self.revisions.get(&self.newest) {
            _ if replacement.source.len() > MAX_REPLACEMENT_BYTES => Some(Outcome::TooLarge),
            Some(newest) if newest.version == version && *newest.source == *replacement.source => {
                Some(Outcome::Accepted { version })
            }
            Some(newest) if newest.version >= version => Some(Outcome::Superseded {
                newest: newest.version,
            }),
            _ => None,
        }
    }

    /// Applies an edit if its base is the newest text.
    pub(crate) fn edit(&mut self, now: Millis, edit: Edit) -> Outcome {
        let newest = self.newest;
        let base = self.revisions.get(&newest);
        let base = base.map_or("", |revision| &revision.source);
        let source = match edit.base {
            base if base != newest => return Outcome::Conflict { newest },
            _ => patch::decode(base, &edit.patch, MAX_REPLACEMENT_BYTES),
        };
        match source {
            Ok(source) => self.replace(
                now,
                Replacement {
                    version: edit.version,
                    operator: edit.operator,
                    source,
                },
            ),
            // The leader encoded it relative to the same text, so that only its size can be wrong.
            Err(_) => Outcome::TooLarge,
        }
    }

    fn record(&mut self, id: SubmissionId, fingerprint: (u64, u64), outcome: Outcome) {
        while self.submissions.len() >= MAX_SUBMISSIONS {
            self.submissions.shift_remove_index(0);
        }
        let record = Record {
            fingerprint,
            outcome,
        };
        self.submissions.insert(id, record);
    }

    fn append(&mut self, now: Millis, version: Version, submission: Submission) {
        while self.revisions.len() >= MAX_REVISIONS {
            self.revisions.shift_remove_index(0);
        }
        self.insert(Revision {
            version,
            operator: submission.operator,
            at: now,
            source: submission.source.into(),
        });
    }

    fn insert(&mut self, revision: Revision) {
        self.newest = revision.version;
        self.revisions.insert(revision.version, revision);
    }
}

/// Returns a hash of base and text. The operator's name may differ between resends.
fn fingerprint(submission: &Submission) -> (u64, u64) {
    let hash = xxh3_128(submission.source.as_bytes()) ^ u128::from(submission.base);
    ((hash >> 64) as u64, hash as u64)
}
