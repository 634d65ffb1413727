//! Streams an upstream's answer to the caller.

mod body;
mod bounds;
mod source;

use std::pin::Pin;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http::{HeaderMap, Response, header};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::Sleep;
use tracing::{info, warn};
use web::Framing;

pub(crate) use bounds::MAX_ANSWER_BYTES;

use crate::balancer::Outcome;
use crate::call::Call;
use crate::core::{Core, lock};
use crate::dispatch::{Answer, Attempts};
use crate::request_log::RequestLog;
use crate::{EventBuffer, crash, origin};
use bounds::Bounds;
use source::{Resumed, Source, resume};

/// Content type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Body of an answer that is read from an upstream. An interrupted event stream of an idempotent
/// call is resumed at another upstream.
pub(crate) struct Relay {
    core: Arc<Core>,
    call: Arc<Call>,
    status: u16,
    state: State,
    /// Incomplete event of a stream; `None` for a plain answer.
    events: Option<EventBuffer>,
    bounds: Bounds,
    /// Records the software version of the stream; no event is passed on before its end.
    recording: Option<Recording>,
    deadline: Pin<Box<Sleep>>,
    attempts: Option<Attempts>,
    request_log: Option<RequestLog>,
    /// Whether events came from another upstream before.
    is_resumed: bool,
    /// Whether the request was added to the usage of its account.
    usage_recorded: bool,
}

type Recording = Pin<Box<dyn Future<Output = ()> + Send>>;

/// State of a relayed answer.
enum State {
    Reading(Box<Source>),
    Resuming(Pin<Box<dyn Future<Output = Resumed> + Send>>),
    /// The answer can't be completed; the caller's connection is closed for this reason.
    Broken(String),
    Done,
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
    attempts.record_answer(&source.ticket.choice().upstream);
    request_log.set_framing(source.framing);
    web::remove_connection_headers(&mut parts.headers);
    let is_event_stream =
        call.route.kind.is_stream() && parts.status.is_success() && may_be_events(&parts.headers);
    if is_event_stream {
        // A stream may be broken off where its length ends, or be resumed with another length.
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    let may_be_taken_up = is_event_stream && call.is_idempotent();
    let mut recording: Option<Recording> = None;
    if may_be_taken_up {
        let software = &source.ticket.choice().software;
        attempts.keep_to(software);
        // The entry that took the request keeps the record.
        if !call.takes_up() && call.forwarded_by.is_none() {
            let record = origin::record(core.clone(), call.clone(), software.clone());
            recording = Some(Box::pin(record));
        }
    }
    let relay = Relay {
        core: core.clone(),
        status: parts.status.as_u16(),
        deadline: Box::pin(tokio::time::sleep_until(call.deadline.into())),
        events: is_event_stream.then(EventBuffer::default),
        bounds: Bounds::default(),
        is_resumed: call.resume_after.is_some(),
        recording,
        state: State::Reading(Box::new(source)),
        attempts: Some(attempts),
        request_log: Some(request_log),
        // Counted by the entry that took the request.
        usage_recorded: call.forwarded_by.is_some(),
        call,
    };
    Response::from_parts(parts, relay.boxed_unsync())
}

/// Reports whether the content type is that of event streams, or is not stated.
fn may_be_events(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    content_type.is_none_or(|value| value.as_bytes().starts_with(EVENT_STREAM))
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
        if std::mem::replace(&mut self.usage_recorded, true) {
            return;
        }
        if let Some(account) = &self.call.account {
            lock(&self.core.usage).record(&account.name, Instant::now());
        }
        if self.call.prompt.is_some() && !self.call.takes_up() && self.status < 300 {
            let (elapsed, target) = (self.call.arrived.elapsed(), self.call.route.target);
            let mut classes = lock(&self.core.classes);
            classes.record_first_event(&self.call.service, elapsed, target);
        }
    }

    /// Records that the answer to the request has begun well, if it has. An answer that
    /// `is_complete` has, unless the end of its connection is its only end.
    fn record_begun_well(&mut self, is_complete: bool) {
        let State::Reading(source) = &mut self.state else {
            return;
        };
        let now = Instant::now();
        let is_complete = is_complete && source.framing != Framing::Connection;
        let has_begun_well = is_complete || source.goes_on(now);
        let is_known = source.begun_well || source.via.is_some();
        if !has_begun_well || is_known || self.status >= 300 {
            return;
        }
        source.begun_well = true;
        lock(&self.core.quarantine).record_begun_well(&self.call, now);
    }

    /// Writes the log line of the request with `outcome`; later calls have no effect.
    fn log_outcome(&mut self, outcome: &str) {
        if let Some(request_log) = &mut self.request_log {
            request_log.set_outcome(outcome, self.status);
        }
        self.request_log = None;
    }

    /// Handles bytes of the upstream's answer, and returns those that can be passed on: the
    /// complete events of a stream.
    fn handle_data(&mut self, data: Bytes) -> Bytes {
        self.record_start();
        self.record_begun_well(false);
        let State::Reading(source) = &mut self.state else {
            return Bytes::new();
        };
        // A body of known length is not polled after its last frame.
        let is_last = source.body.is_end_stream();
        let passed = match &mut self.events {
            Some(events) => events.push(&data).map_err(|error| error.to_string()),
            None if self.bounds.count(data.len()) => Ok(data),
            None => Err(format!("the answer has more than {MAX_ANSWER_BYTES} bytes")),
        };
        match passed {
            Ok(passed) => {
                let within = self
                    .events
                    .as_ref()
                    .is_some_and(EventBuffer::is_within_event);
                self.bounds.set_within_event(within);
                if is_last {
                    self.handle_end();
                }
                passed
            }
            Err(detail) => {
                self.handle_failure(&detail);
                Bytes::new()
            }
        }
    }

    /// Handles the end of the upstream's body, which is not the end of the answer if it is within
    /// an event, or if the connection ended before any event.
    fn handle_end(&mut self) {
        let State::Reading(source) = &self.state else {
            return;
        };
        match &self.events {
            Some(events) if events.is_within_event() => {
                self.handle_failure("the stream ended within an event");
            }
            Some(events) if source.framing == Framing::Connection && !events.has_events() => {
                self.handle_failure("the connection ended before the first event");
            }
            _ => {
                self.record_start();
                self.finish_answer();
            }
        }
    }

    /// Records the times of a complete answer by one upstream.
    fn record_end(&self) {
        let State::Reading(source) = &self.state else {
            return;
        };
        if self.is_resumed || self.status >= 300 {
            return;
        }
        let events = self.events.as_ref().map_or(Some(1), EventBuffer::last_id);
        source.ticket.record_end(&self.call, events.unwrap_or(1));
    }

    /// Finishes a complete answer, and returns its connection to the pool.
    fn finish_answer(&mut self) {
        self.record_begun_well(true);
        self.record_end();
        if let State::Reading(source) = &self.state
            && source.framing == Framing::Connection
            && source.via.is_none()
            && !source.begun_well
        {
            // A crash between two events ends such an answer in the same way.
            crash::check(&self.core, &self.call, source.ticket.choice());
        }
        let finished = std::mem::replace(&mut self.state, State::Done);
        if let State::Reading(source) = finished {
            let Source {
                mut ticket,
                connection,
                reply,
                framing,
                via,
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
            if framing != Framing::Connection && via.is_none() {
                lock(&self.core.pool).put(
                    choice,
                    connection,
                    reply.keep_alive,
                    max_connections,
                    now,
                );
            }
        }
        self.log_outcome("answered");
    }

    /// Handles a failure in the middle of the answer, and resumes it at another upstream if that is
    /// allowed.
    fn handle_failure(&mut self, detail: &str) {
        let failed = std::mem::replace(&mut self.state, State::Broken(detail.to_owned()));
        let State::Reading(mut source) = failed else {
            return;
        };
        self.bounds.set_within_event(false);
        source.ticket.finish(Outcome::Failed);
        let upstream = source.ticket.choice().upstream.clone();
        if !source.begun_well {
            if source.via.is_none() {
                crash::check(&self.core, &self.call, source.ticket.choice());
            }
            if let Some(attempts) = &mut self.attempts {
                attempts.record_broken();
            }
        }
        let framing = source.framing;
        // Closing the connection stops the upstream before another one continues the answer.
        drop(source);
        warn!(
            request = %self.call.id,
            upstream = %upstream,
            parts = %self.call.shared_parts_text(),
            %framing,
            "answer: the upstream failed before the end: {detail}"
        );
        // The entry that took the request counts the attempts, and resumes the stream.
        let may_resume = self.call.is_idempotent() && self.call.forwarded_by.is_none();
        let Some(events) = self.events.as_mut().filter(|_| may_resume) else {
            return;
        };
        events.discard_partial();
        let (Some(attempts), Some(request_log)) = (self.attempts.take(), self.request_log.take())
        else {
            return;
        };
        let last = events.last_id().or(self.call.resume_after);
        self.state = State::Resuming(Box::pin(resume(
            self.core.clone(),
            self.call.clone(),
            last,
            attempts,
            request_log,
        )));
    }

    /// Continues with the answer of another upstream, or fails if there is none.
    fn handle_resumed(&mut self, resumed: Resumed) {
        let Resumed {
            answer,
            attempts,
            mut request_log,
        } = resumed;
        self.state = match answer {
            Ok(answer) => {
                info!(
                    request = %self.call.id,
                    upstream = %answer.ticket.choice().upstream,
                    software = %answer.ticket.choice().software,
                    "answer: resumed at another upstream"
                );
                self.is_resumed = true;
                let (_, source) = Source::new(answer);
                request_log.set_framing(source.framing);
                State::Reading(Box::new(source))
            }
            Err(refusal) => State::Broken(refusal.to_string()),
        };
        self.attempts = Some(attempts);
        self.request_log = Some(request_log);
    }
}
