//! The output to the caller: a stream of events, or one complete answer at the end.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use tokio::sync::{mpsc, oneshot};

use crate::exchange::Exchange;
use crate::failure::Failure;
use crate::outcome::Outcome;
use crate::reply::{Body, Reply};
use crate::stream::Encoder;

/// Events that are queued for a slow caller.
const CHANNEL_CAPACITY: usize = 32;
/// Timeout for sending the last event to a slow caller.
const LAST_EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// The output of one answer.
pub(super) struct Sink {
    reply: Option<oneshot::Sender<Reply>>,
    events: Option<mpsc::Sender<Bytes>>,
    streaming: bool,
}

/// Why an event was not sent.
pub(super) enum SendError {
    /// The channel is full because the caller reads too slowly.
    Full,
    /// The caller disconnected.
    Disconnected,
}

/// Why a wait ended.
pub(super) enum Wake {
    /// The channel has capacity for an event.
    Ready,
    /// The caller disconnected.
    Disconnected,
}

impl Sink {
    pub(super) fn new(reply: oneshot::Sender<Reply>, streaming: bool) -> Self {
        Sink {
            reply: Some(reply),
            events: None,
            streaming,
        }
    }

    pub(super) fn is_streaming(&self) -> bool {
        self.streaming
    }

    /// Sends the head of a streamed answer, unless it was sent before.
    pub(super) fn send_head(&mut self, request: &str) {
        if !self.streaming || self.events.is_some() {
            return;
        }
        let Some(reply) = self.reply.take() else {
            return;
        };
        let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let mut head = Reply::full(StatusCode::OK, "text/event-stream", Bytes::new());
        let no_cache = HeaderValue::from_static("no-cache");
        head.headers.insert(header::CACHE_CONTROL, no_cache);
        head.body = Body::Stream(receiver);
        let head = head.with_request(request).with_outcome(Outcome::Answered);
        self.events = Some(sender);
        // A disconnected caller is detected by `Self::wait`.
        let _ = reply.send(head);
    }

    /// Reports whether the caller has disconnected.
    pub(super) fn is_closed(&self) -> bool {
        let events = self.events.as_ref().map(mpsc::Sender::is_closed);
        let reply = self.reply.as_ref().map(oneshot::Sender::is_closed);
        events.or(reply).unwrap_or(true)
    }

    /// Sends an event if the channel has capacity.
    pub(super) fn try_send(&self, event: Bytes) -> Result<(), SendError> {
        match &self.events {
            None => Err(SendError::Full),
            Some(events) => events.try_send(event).map_err(|error| match error {
                mpsc::error::TrySendError::Full(_) => SendError::Full,
                mpsc::error::TrySendError::Closed(_) => SendError::Disconnected,
            }),
        }
    }

    /// Waits until the caller disconnects or, with `wants_capacity`, the channel has capacity for
    /// an event.
    pub(super) async fn wait(&mut self, wants_capacity: bool) -> Wake {
        match (&self.events, &mut self.reply) {
            (Some(events), _) if wants_capacity => match events.reserve().await {
                Ok(_) => return Wake::Ready,
                Err(_) => return Wake::Disconnected,
            },
            (Some(events), _) => events.closed().await,
            (None, Some(reply)) => reply.closed().await,
            (None, None) => std::future::pending().await,
        }
        Wake::Disconnected
    }

    /// Sends an event, and waits for capacity if needed.
    pub(super) async fn send(&self, event: Bytes) -> Result<(), SendError> {
        match &self.events {
            None => Err(SendError::Disconnected),
            Some(events) => events
                .send(event)
                .await
                .map_err(|_| SendError::Disconnected),
        }
    }

    /// Marks the stream as complete. Without the mark, the caller's connection is closed as
    /// incomplete.
    pub(super) async fn end(&self) -> Result<(), SendError> {
        self.send(Bytes::new()).await
    }

    /// Sends a reply with its complete body.
    pub(super) fn answer(&mut self, exchange: &mut Exchange, reply: Reply, why: &str) {
        let reply = exchange.answer(reply, why);
        if let Some(sender) = self.reply.take() {
            let _ = sender.send(reply);
        }
    }

    /// Sends a failure as the reply or, within a stream, as its last event.
    pub(super) async fn fail(&mut self, exchange: &mut Exchange, failure: &Failure) {
        match (self.reply.take(), &self.events) {
            (Some(sender), _) => drop(sender.send(exchange.fail(failure))),
            (None, Some(events)) => {
                let outcome = exchange.give_up(failure);
                let event = Encoder::error(&failure.event_data(outcome));
                let last = async {
                    events.send(event).await.is_ok() && events.send(Bytes::new()).await.is_ok()
                };
                let _ = tokio::time::timeout(LAST_EVENT_TIMEOUT, last).await;
            }
            (None, None) => drop(exchange.give_up(failure)),
        }
    }
}
