//! Parts of texts that entries fetch.

use std::sync::{MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use config::ids::Version;
use patch::{Archive, Range};
use state::{Command, Output};
use tokio::time::sleep;
use wire::{Answer, Failure};

use super::Node;
use crate::replica::Replica;

/// Longest wait for a text that is committed but not yet applied here: followers learn of it with
/// the next message of the leader.
const APPLY_WAIT: Duration = Duration::from_millis(250);
/// Time between two checks for the text.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Returns a part of a text that is applied here. Needs no leader: a text with a version is
    /// never replaced by another one.
    pub(super) async fn text_part(&self, range: Range) -> Result<Answer, Failure> {
        let deadline = Instant::now() + APPLY_WAIT;
        while self.keep_newest_text() < range.version && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
        let part = self.archive().part(range);
        match part {
            Ok(Some(part)) => Ok(Answer::TextPart(part)),
            Ok(None) => Err(Failure::Refused(
                format!("text {} is not kept here", range.version).into(),
            )),
            Err(fault) => Err(Failure::Refused(fault.to_string().into())),
        }
    }

    /// Keeps the newest text for entries that fetch it, or that later ask what has changed since
    /// then. Returns its version.
    pub(crate) fn keep_newest_text(&self) -> Version {
        let (version, source) = {
            let state = self.machine.read();
            let newest = state.texts().newest();
            let revision = state.texts().revision(newest);
            (newest, revision.map(|revision| revision.source.clone()))
        };
        if let Some(source) = source {
            self.archive().add(version, &source);
        }
        version
    }

    fn archive(&self) -> MutexGuard<'_, Archive> {
        self.archive.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
