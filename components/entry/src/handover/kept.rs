//! One answer that is kept for a caller who may come back.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use config::ids::RequestId;
use http::StatusCode;
use tokio::sync::watch;

/// An answer, whole or still growing.
#[derive(Debug)]
pub(crate) struct Kept {
    /// The request that is answered.
    pub request: RequestId,
    /// Number of the caller's path and body.
    pub fingerprint: u64,
    /// Whether the caller wants events.
    pub stream: bool,
    progress: Mutex<Progress>,
    changes: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Progress {
    parts: Vec<Bytes>,
    bytes: usize,
    end: Option<End>,
}

/// How a kept answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct End {
    /// Status of an answer without events.
    pub status: StatusCode,
    /// When it ended.
    pub at: Instant,
}

impl Kept {
    pub(crate) fn new(request: RequestId, fingerprint: u64, stream: bool) -> Self {
        Kept {
            request,
            fingerprint,
            stream,
            progress: Mutex::default(),
            changes: watch::Sender::new(()),
        }
    }

    /// Adds an event, or the body of an answer without events.
    pub(crate) fn push(&self, part: Bytes) {
        {
            let mut progress = self.progress();
            progress.bytes += part.len();
            progress.parts.push(part);
        }
        self.changes.send_replace(());
    }

    /// Marks the answer as ended.
    pub(crate) fn end(&self, status: StatusCode) {
        let at = Instant::now();
        self.progress().end = Some(End { status, at });
        self.changes.send_replace(());
    }

    /// Returns the part at `index`, if it is there.
    pub(crate) fn part(&self, index: usize) -> Option<Bytes> {
        self.progress().parts.get(index).cloned()
    }

    /// Returns how the answer ended, once it has.
    pub(crate) fn ended(&self) -> Option<End> {
        self.progress().end
    }

    /// Returns how many bytes are kept.
    pub(crate) fn bytes(&self) -> usize {
        self.progress().bytes
    }

    /// Returns a receiver that sees every change.
    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
