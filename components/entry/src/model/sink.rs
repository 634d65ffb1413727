//! The way to the caller: events as they come, or one whole answer at the end.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use tokio::sync::{mpsc, oneshot};

use crate::exchange::Exchange;
use crate::failure::Failure;
use crate::outcome::Outcome;
use crate::reply::{Body, Reply};
use crate::stream::Encoder;

/// Events that may wait for a slow caller in its channel.
const CHANNEL_EVENTS: usize = 32;
/// Longest time to give the last event to a slow caller.
const LAST_EVENT: Duration = Duration::from_secs(5);

/// Where the answer goes.
pub(super) struct Sink {
    reply: Option<oneshot::Sender<Reply>>,
    events: Option<mpsc::Sender<Bytes>>,
    streams: bool,
}

/// Why an event was not taken.
pub(super) enum Refused {
    /// The caller reads too slowly.
    Full,
    /// The caller left.
    Gone,
}

/// Why a wait ended.
pub(super) enum Wake {
    /// There is room for an event.
    Room,
    /// The caller left.
    Gone,
}

impl Sink {
    pub(super) fn new(reply: oneshot::Sender<Reply>, streams: bool) -> Self {
        Sink {
            reply: Some(reply),
            events: None,
            streams,
        }
    }

    pub(super) fn streams(&self) -> bool {
        self.streams
    }

    /// Sends the head of a streamed answer unless it was sent.
    pub(super) fn open(&mut self, request: &str) {
        if !self.streams || self.events.is_some() {
            return;
        }
        let Some(reply) = self.reply.take() else {
            return;
        };
        let (sender, receiver) = mpsc::channel(CHANNEL_EVENTS);
        let mut head = Reply::whole(StatusCode::OK, "text/event-stream", Bytes::new());
        let no_cache = HeaderValue::from_static("no-cache");
        head.headers.insert(header::CACHE_CONTROL, no_cache);
        head.body = Body::Stream(receiver);
        let head = head.with_request(request).with_outcome(Outcome::Answered);
        self.events = Some(sender);
        // A caller that left is noticed by `closed`.
        let _ = reply.send(head);
    }

    /// Reports whether the caller has left.
    pub(super) fn is_closed(&self) -> bool {
        let events = self.events.as_ref().map(mpsc::Sender::is_closed);
        let reply = self.reply.as_ref().map(oneshot::Sender::is_closed);
        events.or(reply).unwrap_or(true)
    }

    /// Gives an event to the caller's connection if there is room.
    pub(super) fn try_send(&self, event: Bytes) -> Result<(), Refused> {
        match &self.events {
            None => Err(Refused::Full),
            Some(events) => events.try_send(event).map_err(|error| match error {
                mpsc::error::TrySendError::Full(_) => Refused::Full,
                mpsc::error::TrySendError::Closed(_) => Refused::Gone,
            }),
        }
    }

    /// Returns once the caller left or, if that is wanted, there is room for an event.
    pub(super) async fn wait(&mut self, wants_room: bool) -> Wake {
        match (&self.events, &mut self.reply) {
            (Some(events), _) if wants_room => match events.reserve().await {
                Ok(_) => return Wake::Room,
                Err(_) => return Wake::Gone,
            },
            (Some(events), _) => events.closed().await,
            (None, Some(reply)) => reply.closed().await,
            (None, None) => std::future::pending().await,
        }
        Wake::Gone
    }

    /// Gives an event to the caller's connection, as soon as there is room.
    pub(super) async fn send(&self, event: Bytes) -> Result<(), Refused> {
        match &self.events {
            None => Err(Refused::Gone),
            Some(events) => events.send(event).await.map_err(|_| Refused::Gone),
        }
    }

    /// Marks the stream as whole; a stream that closes without the mark is seen to be cut.
    pub(super) async fn end(&self) -> Result<(), Refused> {
        self.send(Bytes::new()).await
    }

    /// Answers with a whole body.
    pub(super) fn answer(&mut self, exchange: &mut Exchange, reply: Reply, why: &str) {
        let reply = exchange.answer(reply, why);
        if let Some(sender) = self.reply.take() {
            let _ = sender.send(reply);
        }
    }

    /// Ends without a whole answer, and says so.
    pub(super) async fn fail(&mut self, exchange: &mut Exchange, failure: &Failure) {
        match (self.reply.take(), &self.events) {
            (Some(sender), _) => drop(sender.send(exchange.fail(failure))),
            (None, Some(events)) => {
                let outcome = exchange.give_up(failure);
                let event = Encoder::error(&failure.body_with(outcome));
                let last = async {
                    events.send(event).await.is_ok() && events.send(Bytes::new()).await.is_ok()
                };
                let _ = tokio::time::timeout(LAST_EVENT, last).await;
            }
            (None, None) => drop(exchange.give_up(failure)),
        }
    }
}
