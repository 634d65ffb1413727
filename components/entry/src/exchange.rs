//! One request of a caller, from its arrival to its end.

use std::sync::Arc;
use std::time::Instant;

use crate::admission::Permits;
use crate::failure::Failure;
use crate::lifecycle::{self, Event};
use crate::metrics::Metrics;
use crate::outcome::Outcome;
use crate::reply::Reply;
use crate::request_log::Subject;

/// The state of a request, from which its outcome header, metrics and log lines are derived.
pub(crate) struct Exchange {
    /// Identifiers of the request for its log lines.
    pub subject: Subject,
    /// When the request arrived.
    pub started: Instant,
    lifecycle: lifecycle::Request,
    permits: Option<Permits>,
    metrics: Arc<Metrics>,
}

impl Exchange {
    /// Creates the exchange of a request that has just arrived.
    pub(crate) fn new(subject: Subject, metrics: Arc<Metrics>) -> Self {
        Exchange {
            subject,
            started: Instant::now(),
            lifecycle: lifecycle::Request::default(),
            permits: None,
            metrics,
        }
    }

    /// Returns the lifecycle of the request.
    pub(crate) fn lifecycle(&self) -> &lifecycle::Request {
        &self.lifecycle
    }

    /// Holds `permits` until the request is released or ends.
    pub(crate) fn hold(&mut self, permits: Permits) {
        self.permits = Some(permits);
    }

    /// Frees the permits, so that they are available to the caller's next request.
    pub(crate) fn release(&mut self) {
        self.permits = None;
    }

    /// Applies an event. An event that is not allowed in the current state is logged and counted.
    pub(crate) fn apply(&mut self, event: Event) {
        let before = self.lifecycle.state();
        if !self.lifecycle.apply(event) {
            self.metrics.lifecycle_errors.inc();
            debug_assert!(false, "{event:?} is not allowed in {before:?}");
            tracing::error!(request = %self.subject.request, "request: event {event:?} is not allowed in state {before:?}");
        }
    }

    /// Ends the request without an answer, and returns the reply.
    pub(crate) fn fail(&mut self, failure: &Failure) -> Reply {
        let outcome = self.give_up(failure);
        Reply::failure(failure)
            .with_request(&self.subject.request)
            .with_outcome(outcome)
    }

    /// Ends the request without an answer, and returns the outcome. Unlike [`Exchange::fail`], it
    /// builds no reply: the status may have been sent already, or the caller may have
    /// disconnected.
    pub(crate) fn give_up(&mut self, failure: &Failure) -> Outcome {
        if self.lifecycle.outcome().is_none() {
            self.apply(Event::GivenUp);
        }
        let status = failure.kind.status().as_u16();
        self.end(status, &failure.message)
    }

    /// Ends the request with an answer, and returns the reply with its headers.
    pub(crate) fn answer(&mut self, reply: Reply, why: &str) -> Reply {
        let outcome = self.end(reply.status.as_u16(), why);
        reply
            .with_request(&self.subject.request)
            .with_outcome(outcome)
    }

    /// Ends the request with a stream whose head was sent before.
    pub(crate) fn end_stream(&mut self, why: &str) {
        self.end(http::StatusCode::OK.as_u16(), why);
    }

    fn end(&mut self, status: u16, why: &str) -> Outcome {
        self.release();
        let outcome = self.lifecycle.outcome().unwrap_or(Outcome::Unknown);
        self.metrics.record_end(outcome);
        self.subject
            .log_end(outcome, status, why, self.started.elapsed());
        outcome
    }
}
