//! Relays to the caller an answer that another entry continues, while this entry is still running.

use std::net::SocketAddr;

use fleet::Control;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use web::Framing;

use super::relay::Relay;
use crate::drain::Phase;
use crate::failure::Failure;
use crate::handover;
use crate::lifecycle::{Event, State};
use crate::reply::Reply;

impl<C: Control> Relay<C> {
    /// Relays the answer from `successor`. Ends with `failure` if the answer can't be received, or
    /// is not complete when the planned stop reaches [`Phase::Ending`].
    pub(super) async fn follow(mut self, successor: SocketAddr, failure: &Failure) {
        match self.receive_answer(successor).await {
            Some(RemoteAnswer::Streamed) => {
                self.mark_complete();
                let _ = self.sink.end().await;
                self.exchange.end_stream("answered by another entry");
            }
            Some(RemoteAnswer::Full(reply)) => {
                self.mark_complete();
                let why = "answered by another entry";
                self.sink.answer(&mut self.exchange, reply, why);
            }
            None => self.sink.fail(&mut self.exchange, failure).await,
        }
    }

    /// Receives the answer from `successor`, and relays it to the caller at once if it is streamed.
    async fn receive_answer(&mut self, successor: SocketAddr) -> Option<RemoteAnswer> {
        let request = handover::follow_request(successor, &self.core.keys.fleet, &self.record())?;
        let client = self.core.plain_client.clone();
        let response = tokio::select! {
            response = client.send(successor, request) => response.ok()?,
            () = self.core.until(Phase::Ending) => return None,
        };
        match self.sink.is_streaming() {
            true => self.relay_stream(response).await,
            false => {
                let status = response.status();
                let body = tokio::select! {
                    answer = handover::collect_kept(&self.core.memory, response) => answer.ok()?.body,
                    () = self.core.until(Phase::Ending) => return None,
                };
                Some(RemoteAnswer::Full(Reply::json(status, body)))
            }
        }
    }

    async fn relay_stream(&mut self, response: Response<Incoming>) -> Option<RemoteAnswer> {
        if response.status() != StatusCode::OK {
            return None;
        }
        self.sink.send_head(&self.exchange.subject.request);
        let framing = Framing::of(response.headers(), response.body());
        let mut body = response.into_body();
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.core.until(Phase::Ending) => return None,
            };
            match frame {
                // Entries send chunks; without them, the stream may have been cut.
                None if framing == Framing::Connection => return None,
                None => return Some(RemoteAnswer::Streamed),
                Some(Err(_)) => return None,
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    if !data.is_empty() {
                        self.sink.send(data).await.ok()?;
                    }
                }
            }
        }
    }

    fn mark_complete(&mut self) {
        if self.exchange.lifecycle().state() == State::Dispatched {
            self.exchange.apply(Event::Accepted);
        }
        self.exchange.apply(Event::Completed);
    }
}

/// An answer of another entry that was received completely.
enum RemoteAnswer {
    /// All events were relayed to the caller.
    Streamed,
    /// The answer is not streamed, and still has to be sent to the caller.
    Full(Reply),
}
