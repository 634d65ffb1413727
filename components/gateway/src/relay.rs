//! Streams an upstream's answer to the caller.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::Bytes;
use http::{Response, response};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Sleep;
use tracing::{info, warn};
use web::Framing;

use crate::balancer::Outcome;
use crate::call::Call;
use crate::connection::Connection;
use crate::core::{Core, lock};
use crate::dispatch::{self, Answer, Attempts};
use crate::request_log::RequestLog;
use crate::ticket::Ticket;
use crate::{EventBuffer, Refusal, Reply};

/// Body of an answer that is read from an upstream. An interrupted event stream of an idempotent
/// call is resumed at another upstream.
pub(crate) struct Relay {
    core: Arc<Core>,
    call: Arc<Call>,
    status: u16,
    state: State,
    /// Buffers incomplete events if the stream can be resumed at another upstream.
    events: Option<EventBuffer>,
    deadline: Pin<Box<Sleep>>,
    attempts: Option<Attempts>,
    request_log: Option<RequestLog>,
    /// Whether the request was added to the usage of its account.
    usage_recorded: bool,
}

/// State of a relayed answer.
enum State {
    Reading(Box<Source>),
    Resuming(Pin<Box<dyn Future<Output = Resumed> + Send>>),
    Done,
}

/// The upstream's answer that is currently read.
struct Source {
    body: Incoming,
    framing: Framing,
    ticket: Ticket,
    connection: Connection,
    reply: Reply,
}

impl Source {
    fn new(answer: Answer) -> (response::Parts, Source) {
        let (parts, body) = answer.response.into_parts();
        let source = Source {
            framing: Framing::of(&parts.headers, &body),
            body,
            ticket: answer.ticket,
            connection: answer.connection,
            reply: answer.reply,
        };
        (parts, source)
    }
}

/// Result of an attempt to resume the answer at another upstream.
struct Resumed {
    answer: Result<Answer, Refusal>,
    attempts: Attempts,
    request_log: RequestLog,
}

/// Returns the response to the caller for an upstream's answer.
pub(crate) fn relay(
    core: &Arc<Core>,
    call: Arc<Call>,
    answer: Answer,
    mut attempts: Attempts,
    mut request_log: RequestLog,
) -> Response<web::Body> {
    let (mut parts, source) = Source::new(answer);
    attempts.exclude(&source.ticket.choice().upstream);
    request_log.set_framing(source.framing);
    dispatch::remove_connection_headers(&mut parts.headers);
    let is_event_stream = call.route.kind.is_stream() && parts.status.is_success();
    let is_resumable = is_event_stream && call.is_idempotent();
    let relay = Relay {
        core: core.clone(),
        status: parts.status.as_u16(),
        deadline: Box::pin(tokio::time::sleep_until(call.deadline.into())),
        events: is_resumable.then(EventBuffer::default),
        state: State::Reading(Box::new(source)),
        attempts: Some(attempts),
        request_log: Some(request_log),
        usage_recorded: false,
        call,
    };
    Response::from_parts(parts, relay.boxed_unsync())
}

impl Relay {
    /// Records that the answer has started; later calls have no effect.
    fn record_start(&mut self) {
        if let State::Reading(source) = &mut self.state {
            source.ticket.record_first_event();
        }
        if let Some(request_log) = &mut self.request_log {
            request_log.record_first_event();
        }
        if !std::mem::replace(&mut self.usage_recorded, true)
            && let Some(account) = &self.call.account
        {
            lock(&self.core.usage).record(&account.name, Instant::now());
        }
    }

    /// Writes the log line of the request with `outcome`; later calls have no effect.
    fn log_outcome(&mut self, outcome: &str) {
        if let Some(request_log) = &mut self.request_log {
            request_log.set_outcome(outcome, self.status);
        }
        self.request_log = None;
    }

    /// Handles the end of the upstream's body, and returns its connection to the pool.
    fn finish_answer(&mut self) {
        let finished = std::mem::replace(&mut self.state, State::Done);
        if let State::Reading(source) = finished {
            let Source {
                mut ticket,
                connection,
                reply,
                ..
            } = *source;
            let outcome = match self.status {
                500.. => Outcome::Failed,
                _ => Outcome::Answered,
            };
            ticket.finish(outcome);
            let choice = ticket.choice();
            let now = Instant::now();
            let max_connections = self.core.table.load().max_connections(&self.call.service);
            lock(&self.core.pool).put(choice, connection, reply.keep_alive, max_connections, now);
        }
        self.log_outcome("answered");
    }

    /// Handles a failure in the middle of the answer, and resumes it at another upstream if that is
    /// allowed.
    fn handle_failure(&mut self, detail: &str) -> Result<(), io::Error> {
        let failed = std::mem::replace(&mut self.state, State::Done);
        let State::Reading(mut source) = failed else {
            return Err(io::Error::other("the answer has already ended"));
        };
        source.ticket.finish(Outcome::Failed);
        let upstream = source.ticket.choice().upstream.clone();
        let framing = source.framing;
        // Closing the connection stops the upstream before another one continues the answer.
        drop(source);
        warn!(
            request = %self.call.id,
            upstream = %upstream,
            %framing,
            "answer: the upstream failed before the end: {detail}"
        );
        let Some(events) = &mut self.events else {
            self.log_outcome("broken");
            return Err(io::Error::other(detail.to_owned()));
        };
        events.discard_partial();
        let (Some(attempts), Some(request_log)) = (self.attempts.take(), self.request_log.take())
        else {
            return Err(io::Error::other("the answer has already ended"));
        };
        let last = events.last_id().or(self.call.resume_after);
        self.state = State::Resuming(Box::pin(resume(
            self.core.clone(),
            self.call.clone(),
            last,
            attempts,
            request_log,
        )));
        Ok(())
    }

    /// Continues with the answer of another upstream, or fails if there is none.
    fn handle_resumed(&mut self, resumed: Resumed) -> Result<(), io::Error> {
        let Resumed {
            answer,
            attempts,
            request_log,
        } = resumed;
        self.attempts = Some(attempts);
        self.request_log = Some(request_log);
        match answer {
            Ok(answer) => {
                let upstream = &answer.ticket.choice().upstream;
                info!(
                    request = %self.call.id,
                    upstream = %upstream,
                    "answer: resumed at another upstream"
                );
                let (_, source) = Source::new(answer);
                if let Some(request_log) = &mut self.request_log {
                    request_log.set_framing(source.framing);
                }
                self.state = State::Reading(Box::new(source));
                Ok(())
            }
            Err(refusal) => {
                self.state = State::Done;
                self.log_outcome("broken");
                Err(io::Error::other(refusal.to_string()))
            }
        }
    }

    /// Handles the last bytes of the answer, and returns all bytes still to be sent to the caller.
    fn finish_stream(&mut self, data: &Bytes) -> Bytes {
        let rest = match &mut self.events {
            Some(events) => events.finish(data),
            None => data.clone(),
        };
        self.finish_answer();
        rest
    }

    /// Returns the bytes that can be sent to the caller: only complete events if the stream can be
    /// resumed.
    fn take_complete_events(&mut self, data: Bytes) -> Bytes {
        match &mut self.events {
            Some(events) => events.push(&data),
            None => data,
        }
    }
}

/// Sends the request to another upstream, which continues after the event `last`.
async fn resume(
    core: Arc<Core>,
    call: Arc<Call>,
    last: Option<u64>,
    mut attempts: Attempts,
    mut request_log: RequestLog,
) -> Resumed {
    let answer = dispatch::dispatch(&core, &call, last, &mut attempts, &mut request_log).await;
    let answer = answer.and_then(|answer| match answer.response.status().is_success() {
        true => Ok(answer),
        false => Err(Refusal::Lost(format!(
            "status {}",
            answer.response.status()
        ))),
    });
    if let Ok(answer) = &answer {
        attempts.exclude(&answer.ticket.choice().upstream);
    }
    Resumed {
        answer,
        attempts,
        request_log,
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.get_mut();
        if this.deadline.as_mut().poll(cx).is_ready() && !matches!(this.state, State::Done) {
            this.state = State::Done;
            this.log_outcome("cut-at-deadline");
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        loop {
            match &mut this.state {
                State::Done => return Poll::Ready(None),
                State::Resuming(resuming) => {
                    let resumed = ready!(resuming.as_mut().poll(cx));
                    if let Err(error) = this.handle_resumed(resumed) {
                        return Poll::Ready(Some(Err(error)));
                    }
                }
                State::Reading(source) => {
                    let frame = ready!(Pin::new(&mut source.body).poll_frame(cx));
                    match frame.map(|frame| frame.map(Frame::into_data)) {
                        Some(Ok(Ok(data))) => {
                            // A body of known length is not polled after its last frame.
                            let is_last = source.body.is_end_stream();
                            this.record_start();
                            let data = match is_last {
                                true => this.finish_stream(&data),
                                false => this.take_complete_events(data),
                            };
                            if !data.is_empty() {
                                return Poll::Ready(Some(Ok(Frame::data(data))));
                            }
                        }
                        Some(Ok(Err(_trailers))) => {}
                        Some(Err(error)) => {
                            if let Err(error) = this.handle_failure(&error.to_string()) {
                                return Poll::Ready(Some(Err(error)));
                            }
                        }
                        None => {
                            this.record_start();
                            let rest = this.finish_stream(&Bytes::new());
                            return match rest.is_empty() {
                                true => Poll::Ready(None),
                                false => Poll::Ready(Some(Ok(Frame::data(rest)))),
                            };
                        }
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.state, State::Done) && self.request_log.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
