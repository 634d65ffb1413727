//! Texts that replace the one in force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use config::ids::{NodeId, Version};
use config::release;
use state::claims::millis;
use state::text::{Edit, MAX_REPLACEMENT_BYTES, Outcome, Replacement};
use state::{Change, Command, Output};
use tokio::time::sleep;
use tracing::info;
use wire::{Answer, Body, Failure, Query, Submitted};

use super::Node;
use super::leader::unexpected_output;
use crate::replica::Replica;

/// Time between two checks for entries that miss a version.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after its last request within which an entry is in contact. Entries ask for a lease each
/// half second, and report each second at least, also while they fetch a text.
const ENTRY_CONTACT: Duration = Duration::from_millis(1_200);
/// Names of entries that one log line lists.
const MAX_NAMES: usize = 8;
/// Smallest text that is committed as what it changes, once the whole group can read that.
const MIN_EDIT_BYTES: usize = 64 * 1_024;

/// Entries that the acknowledgement of a text waits for.
#[derive(Clone, Copy)]
pub(super) enum Entries {
    /// All that may serve, whether or not they are in contact.
    WithLease,
    /// Those in contact.
    InContact,
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Submits a text on behalf of an operator, directly or through the leader, and returns the
    /// leader's answer.
    ///
    /// # Errors
    /// Returns why there is no answer, and whether the text may have been put in force.
    pub(crate) async fn submit_replacement(
        &self,
        replacement: Replacement,
        wait: Duration,
    ) -> Result<Answer, Failure> {
        let wait_ms = millis(wait);
        if replacement.source.len() >= MIN_EDIT_BYTES && self.forwards_edits() {
            let edit = edit_of(&replacement, &self.newest_text())?;
            let body = Body::Edit { edit, wait_ms };
            match self.handle(self.local_request(body)).await? {
                // The leader has another text: it gets the whole one.
                Answer::Submitted(Submitted {
                    outcome: Outcome::Conflict { .. },
                    ..
                }) => {}
                answer => return Ok(answer),
            }
        }
        let body = Body::Replace {
            replacement,
            wait_ms,
        };
        self.handle(self.local_request(body)).await
    }

    /// Reports whether this process forwards texts to a leader that can read edits.
    fn forwards_edits(&self) -> bool {
        let leader = self.replica.status().leader;
        let level = leader.map(|leader| self.peers.level_of(&leader));
        !self.leads() && level.is_some_and(|level| level >= release::EDITS)
    }

    /// Returns the newest text with its version; an empty one of version 0 if there is none.
    fn newest_text(&self) -> (Version, Arc<str>) {
        let state = self.machine.read();
        let newest = state.texts().revision(state.texts().newest());
        newest.map_or((0, "".into()), |r| (r.version, r.source.clone()))
    }

    /// Returns the newest text exactly as it was submitted; `None` if there is none.
    ///
    /// # Errors
    /// If no leader confirms that it is the newest.
    pub(crate) async fn read_newest_text(&self) -> Result<Option<Arc<str>>, Failure> {
        if self.replica.forwards_only() {
            let request = self.local_request(Body::Query(Query::Source));
            return match self.handle(request).await? {
                Answer::Document(source) if source.is_empty() => Ok(None),
                Answer::Document(source) => Ok(Some(source.into())),
                _ => Err(Failure::Uncertain("the answer is of another kind".into())),
            };
        }
        self.read_barrier().await?;
        let (version, source) = self.newest_text();
        Ok((version > 0).then_some(source))
    }

    /// Puts an edit in force as the leader, if it was made for the newest text. The outcome is a
    /// conflict otherwise.
    pub(super) async fn edit(&self, edit: Edit, wait: Duration) -> Result<Answer, Failure> {
        self.read_barrier().await?;
        let (newest, base) = self.newest_text();
        let source = match edit.base {
            base_version if base_version != newest => None,
            _ => patch::decode(&base, &edit.patch, MAX_REPLACEMENT_BYTES).ok(),
        };
        let Some(source) = source else {
            // The sender then sends the whole text.
            return Ok(Answer::Submitted(Submitted {
                outcome: Outcome::Conflict { newest },
                newest,
                missing: Vec::new(),
                difference: None,
            }));
        };
        let replacement = Replacement {
            version: edit.version,
            operator: edit.operator,
            source,
        };
        self.replace(replacement, wait).await
    }

    /// Commits a text, and waits until it is in force at all entries in contact. Entries that are
    /// cut off are not waited for: they may go on with an older text.
    pub(super) async fn replace(
        &self,
        replacement: Replacement,
        wait: Duration,
    ) -> Result<Answer, Failure> {
        let began = Instant::now();
        let text = self
            .parse_submitted(replacement.source.as_str().into())
            .await?;
        let version = replacement.version;
        let bytes = replacement.source.len();
        let outcome = self.commit_replacement(replacement).await?;
        if let Outcome::Accepted { version } = outcome {
            self.keep_parsed(version, text.into());
            self.peers.announce_version(version);
        }
        if let Outcome::Accepted { .. } | Outcome::Superseded { .. } = outcome {
            let committed = began.elapsed();
            let missing = self
                .wait_in_force(version, Entries::InContact, wait)
                .await?;
            info!(
                version,
                bytes,
                committed_ms = committed.as_millis(),
                elapsed_ms = began.elapsed().as_millis(),
                missing = names(missing.iter().map(NodeId::to_string)),
                silent = self.silent_entries(version),
                "control: text {version} waited for entries, without it: {}",
                missing.len()
            );
        }
        let result = self.submission_result(outcome, version, Vec::new());
        Ok(Answer::Submitted(result))
    }

    /// Returns the names of the entries that an acknowledgement of a text does not wait for, each with
    /// the milliseconds since it was heard of.
    fn silent_entries(&self, version: Version) -> String {
        let leadership = self.leadership();
        let now = Instant::now();
        let silent = leadership.leases.silent(version, ENTRY_CONTACT, now);
        let described = silent.iter();
        names(described.map(|(entry, silence)| format!("{entry} ({} ms)", silence.as_millis())))
    }

    /// Commits a text, a large one as what it changes.
    async fn commit_replacement(&self, replacement: Replacement) -> Result<Outcome, Failure> {
        self.read_barrier().await?;
        loop {
            let outcome = {
                let state = self.machine.read();
                state.texts().outcome_without_change(&replacement)
            };
            if let Some(outcome) = outcome {
                return Ok(outcome);
            }
            let change = match replacement.source.len() {
                bytes if bytes >= MIN_EDIT_BYTES && self.group_reads(release::EDITS) => {
                    Change::Edit(edit_of(&replacement, &self.newest_text())?)
                }
                _ => Change::Replace(replacement.clone()),
            };
            match self.commit(change).await? {
                // Another text was committed meanwhile: the next edit is relative to that one.
                Output::Submitted(Outcome::Conflict { .. }) => {}
                Output::Submitted(outcome) => return Ok(outcome),
                output => return Err(unexpected_output(&output)),
            }
        }
    }

    /// Waits until none of `entries` can serve under a version older than `version`, and returns
    /// those that still can when the wait is over.
    pub(super) async fn wait_in_force(
        &self,
        version: Version,
        entries: Entries,
        wait: Duration,
    ) -> Result<Vec<NodeId>, Failure> {
        let deadline = Instant::now() + wait;
        loop {
            // Leadership may have been lost and regained: another leader may have granted leases.
            let term = self.take_over().await?;
            let now = Instant::now();
            let missing = {
                let leases = &self.leadership().leases;
                match entries {
                    Entries::WithLease => leases.missing(version, now),
                    Entries::InContact => leases.missing_in_contact(version, ENTRY_CONTACT, now),
                }
            };
            match missing {
                missing if missing.is_empty() || now >= deadline => {
                    self.read_barrier().await?;
                    return match self.replica.status().term == term && self.leads() {
                        true => Ok(missing),
                        false => Err(Failure::Uncertain(
                            "the leader changed before the text was in force everywhere".into(),
                        )),
                    };
                }
                _ => sleep(POLL_INTERVAL).await,
            }
        }
    }
}

/// Returns the first [`MAX_NAMES`] names for a log line, and how many more there are.
fn names(names: impl Iterator<Item = String>) -> String {
    let all: Vec<String> = names.collect();
    let listed = all[..all.len().min(MAX_NAMES)].join(", ");
    match all.len().saturating_sub(MAX_NAMES) {
        0 => listed,
        more => format!("{listed} and {more} more"),
    }
}

/// Returns a replacement as an edit of the text `base`.
fn edit_of(replacement: &Replacement, base: &(Version, Arc<str>)) -> Result<Edit, Failure> {
    let (version, text) = base;
    Edit::new(replacement, (*version, text))
        .map_err(|fault| Failure::Uncertain(fault.to_string().into()))
}
