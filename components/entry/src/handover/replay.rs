//! Gives a kept answer to the caller that came back for it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::kept::Kept;
use crate::drain::Busy;
use crate::reply::{Body, Reply};
use crate::stream::KEEP_ALIVE;

/// Events that may wait for a slow caller.
const CHANNEL_EVENTS: usize = 32;

/// How an answer is to be given.
pub(super) struct Replay {
    /// The answer.
    pub kept: Arc<Kept>,
    /// Number of the last event that the caller has; 0 for none.
    pub after: usize,
    /// Time between keep-alive comments.
    pub keep_alive: Duration,
    /// Keeps the process from stopping.
    pub busy: Busy,
}

impl Replay {
    /// Begins the answer. Without events, it waits for the whole body.
    pub(super) async fn reply(self, runtime: &Handle) -> Reply {
        match self.kept.stream {
            true => self.stream(runtime),
            false => self.whole().await,
        }
    }

    fn stream(self, runtime: &Handle) -> Reply {
        let (sender, receiver) = mpsc::channel(CHANNEL_EVENTS);
        let mut reply = Reply::whole(StatusCode::OK, "text/event-stream", Bytes::new());
        let no_cache = HeaderValue::from_static("no-cache");
        reply.headers.insert(header::CACHE_CONTROL, no_cache);
        reply.body = Body::Stream(receiver);
        runtime.spawn(self.send_all(sender));
        reply
    }

    async fn send_all(self, sender: mpsc::Sender<Bytes>) {
        let _busy = &self.busy;
        let mut changes = self.kept.changes();
        let mut next = self.after;
        loop {
            changes.mark_unchanged();
            let ended = self.kept.ended().is_some();
            while let Some(event) = self.kept.part(next) {
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

    async fn whole(self) -> Reply {
        let mut changes = self.kept.changes();
        loop {
            changes.mark_unchanged();
            if let Some(end) = self.kept.ended() {
                let body = self.kept.part(0).unwrap_or_default();
                return Reply::json(end.status, body);
            }
            if changes.changed().await.is_err() {
                return Reply::json(StatusCode::BAD_GATEWAY, Bytes::new());
            }
        }
    }
}
