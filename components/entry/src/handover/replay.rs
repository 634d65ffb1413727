//! Replays a buffered answer to a caller that reconnected.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::buffer::Buffer;
use crate::drain::Guard;
use crate::reply::{Body, Reply};
use crate::stream::KEEP_ALIVE;

/// Events that are queued for a slow caller.
const CHANNEL_CAPACITY: usize = 32;

/// The replay of one answer.
pub(super) struct Replay {
    /// The buffered answer.
    pub buffer: Arc<Buffer>,
    /// Number of the last event that the caller received; 0 for none.
    pub after: usize,
    /// Time between keep-alive comments.
    pub keep_alive: Duration,
    /// Keeps the process from stopping during the replay.
    pub guard: Guard,
}

impl Replay {
    /// Returns the reply. A stream begins at once; without events, the complete body is awaited.
    pub(super) async fn reply(self, runtime: &Handle) -> Reply {
        match self.buffer.stream {
            true => self.stream(runtime),
            false => self.full().await,
        }
    }

    fn stream(self, runtime: &Handle) -> Reply {
        let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let mut reply = Reply::full(StatusCode::OK, "text/event-stream", Bytes::new());
        let no_cache = HeaderValue::from_static("no-cache");
        reply.headers.insert(header::CACHE_CONTROL, no_cache);
        reply.body = Body::Stream(receiver);
        runtime.spawn(self.send_all(sender));
        reply
    }

    async fn send_all(self, sender: mpsc::Sender<Bytes>) {
        let _guard = &self.guard;
        let mut changes = self.buffer.changes();
        let mut next = self.after;
        loop {
            changes.mark_unchanged();
            let ended = self.buffer.end_state().is_some();
            while let Some(event) = self.buffer.part(next) {
                next += 1;
                if sender.send(event).await.is_err() {
                    return;
                }
            }
            if ended {
                // The empty item marks the end.
                let _ = sender.send(Bytes::new()).await;
                return;
            }
            let changed = timeout(self.keep_alive, changes.changed()).await;
            if changed.is_err() && sender.send(KEEP_ALIVE.into()).await.is_err() {
                return;
            }
        }
    }

    async fn full(self) -> Reply {
        let mut changes = self.buffer.changes();
        loop {
            changes.mark_unchanged();
            if let Some(end) = self.buffer.end_state() {
                let body = self.buffer.part(0).unwrap_or_default();
                return Reply::json(end.status, body);
            }
            if changes.changed().await.is_err() {
                return Reply::json(StatusCode::BAD_GATEWAY, Bytes::new());
            }
        }
    }
}
