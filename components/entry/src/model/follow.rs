//! Gives the caller an answer that another entry goes on with, for as long as this one runs.

use std::net::SocketAddr;

use fleet::Control;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::relay::Relay;
use crate::drain::Phase;
use crate::failure::Failure;
use crate::handover;
use crate::lifecycle::{Event, State};
use crate::reply::Reply;

impl<C: Control> Relay<C> {
    /// Follows the answer at `keeper`; ends with `failure` if it does not come in time.
    pub(super) async fn follow(mut self, keeper: SocketAddr, failure: &Failure) {
        match self.followed(keeper).await {
            Some(Followed::Stream) => {
                self.complete();
                let _ = self.sink.end().await;
                self.exchange.end_stream("answered by another entry");
            }
            Some(Followed::Whole(reply)) => {
                self.complete();
                let why = "answered by another entry";
                self.sink.answer(&mut self.exchange, reply, why);
            }
            None => self.sink.fail(&mut self.exchange, failure).await,
        }
    }

    async fn followed(&mut self, keeper: SocketAddr) -> Option<Followed> {
        let request = handover::follow_request(keeper, &self.core.keys.fleet, &self.record())?;
        let client = self.core.plain.clone();
        let response = tokio::select! {
            response = client.send(keeper, request) => response.ok()?,
            () = self.ends() => return None,
        };
        match self.sink.streams() {
            true => self.pass_on(response).await,
            false => {
                let status = response.status();
                let body = tokio::select! {
                    body = response.into_body().collect() => body.ok()?.to_bytes(),
                    () = self.ends() => return None,
                };
                Some(Followed::Whole(Reply::json(status, body)))
            }
        }
    }

    async fn pass_on(&mut self, response: Response<Incoming>) -> Option<Followed> {
        if response.status() != StatusCode::OK {
            return None;
        }
        self.sink.open(&self.exchange.subject.request);
        let mut body = response.into_body();
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.ends() => return None,
            };
            match frame {
                None => return Some(Followed::Stream),
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

    /// Returns once this entry's time is over.
    async fn ends(&mut self) {
        while self.core.drain.phase() < Phase::HandingOver {
            if self.changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn complete(&mut self) {
        if self.exchange.state().state() == State::Dispatched {
            self.exchange.step(Event::Accepted);
        }
        self.exchange.step(Event::Completed);
    }
}

/// How the answer of another entry ended.
enum Followed {
    /// All events were passed on.
    Stream,
    /// The whole body.
    Whole(Reply),
}
