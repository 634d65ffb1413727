//! The buffered answer to one request, for a caller that may reconnect.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use config::ids::RequestId;
use http::StatusCode;
use tokio::sync::watch;

/// An answer, complete or still growing.
#[derive(Debug)]
pub(crate) struct Buffer {
    /// The request.
    pub request: RequestId,
    /// Hash of the caller's path and body.
    pub fingerprint: u64,
    /// Whether the caller requested a stream of events.
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

/// How a buffered answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct End {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// When it ended.
    pub at: Instant,
}

impl Buffer {
    pub(crate) fn new(request: RequestId, fingerprint: u64, stream: bool) -> Self {
        Buffer {
            request,
            fingerprint,
            stream,
            progress: Mutex::default(),
            changes: watch::Sender::new(()),
        }
    }

    /// Appends an event, or the body of an answer without events.
    pub(crate) fn push(&self, part: Bytes) {
        {
            let mut progress = self.progress();
            progress.bytes += part.len();
            progress.parts.push(part);
        }
        self.changes.send_replace(());
    }

    /// Marks the answer as ended.
    pub(crate) fn finish(&self, status: StatusCode) {
        let at = Instant::now();
        self.progress().end = Some(End { status, at });
        self.changes.send_replace(());
    }

    /// Returns the part at `index`, if it has been appended.
    pub(crate) fn part(&self, index: usize) -> Option<Bytes> {
        self.progress().parts.get(index).cloned()
    }

    /// Returns how the answer ended, or `None` while it is growing.
    pub(crate) fn end_state(&self) -> Option<End> {
        self.progress().end
    }

    /// Returns the size of all parts, in bytes.
    pub(crate) fn len_bytes(&self) -> usize {
        self.progress().bytes
    }

    /// Returns a receiver that is notified of every change.
    pub(crate) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
