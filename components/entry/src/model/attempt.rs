//! One attempt to serve a call: a dispatch to one engine and the answer that it streams.

mod end;

use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use fleet::Control;
use http::{Method, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use routing::Choice;
use serde::Deserialize;
use tokio::time::{Interval, MissedTickBehavior, interval};

pub(super) use end::{AttemptError, End};
use end::{attempt_error, cause_of, describe, failed};

use super::reclaim::{self, Progress};
use super::relay::Relay;
use crate::cause::Cause;
use crate::core::Core;
use crate::dispatch::{collect, json_request};
use crate::failure::Failure;
use crate::lifecycle::Event;
use crate::reply::Reply;
use crate::stream::Step;

/// Tokens that are queued for a slow caller before reading from the engine pauses.
const MAX_BACKLOG: usize = 128;
/// Largest body of an error from an engine, in bytes.
const MAX_ERROR_BYTES: usize = 64 * 1_024;
/// Timer checks within the keep-alive interval or the silence timeout, whichever is shorter.
const CHECKS_PER_TIMEOUT: u32 = 4;
/// Shortest pause between two timer checks.
const MIN_CHECK_PERIOD: Duration = Duration::from_millis(10);
/// Timeout for a call that cancels a request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// State of one attempt.
pub(super) struct Attempt {
    pub(super) id: CompactString,
    pub(super) choice: Choice,
    /// Tokens received in earlier attempts.
    resumed_tokens: usize,
    /// Cause of the move that led to this attempt, until the recomputed tokens are counted.
    cause: Option<Cause>,
    started: Instant,
    first_token: Option<Instant>,
    /// When the last complete event or comment was received.
    pub(super) last_received: Instant,
    check_timer: Interval,
}

/// A dispatch that the router counts as in flight until this is dropped.
struct InFlight<C: Control>(std::sync::Arc<Core<C>>, Choice);

impl<C: Control> Drop for InFlight<C> {
    fn drop(&mut self) {
        self.0.router.record_finish(&self.1);
    }
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorCode,
}

#[derive(Deserialize)]
struct ErrorCode {
    code: CompactString,
}

impl<C: Control> Relay<C> {
    pub(super) async fn attempt(
        &mut self,
        choice: &Choice,
        handle: Option<CompactString>,
    ) -> Result<End, Failure> {
        self.attempts += 1;
        let mut attempt = self.start_attempt(choice);
        self.exchange.subject.log_routed(choice, self.attempts);
        let tokens = self.assembler.tokens();
        let priority = self.admission.priority;
        let body = self
            .call
            .body(&attempt.id, priority, tokens, handle.as_deref());
        let request = json_request(choice.address, Method::POST, self.call.path(), body);
        let request = match request {
            Ok(request) => request,
            Err(error) => return Ok(failed(Cause::Unreachable, &error)),
        };
        self.exchange.apply(Event::Dispatched);
        self.core
            .router
            .record_dispatch(choice, &self.route_request(), Instant::now());
        let _in_flight = InFlight(self.core.clone(), choice.clone());
        // Boxed, so that the state of sending is freed before the answer is read.
        let sent = Box::pin(self.send(&mut attempt, request)).await?;
        match sent {
            Ok(response) => self.handle_response(&mut attempt, response).await,
            Err(error) => Ok(End::Failed(error)),
        }
    }

    /// Sends the call and waits for the head of the answer.
    async fn send(
        &mut self,
        attempt: &mut Attempt,
        request: Request<Full<Bytes>>,
    ) -> Result<Result<Response<Incoming>, AttemptError>, Failure> {
        let client = self.core.engine_client.clone();
        let mut sending = std::pin::pin!(client.send(attempt.choice.address, request));
        loop {
            tokio::select! {
                result = &mut sending => {
                    return Ok(result.map_err(|error| attempt_error(cause_of(&error), &error)));
                }
                wake = self.sink.wait(false) => self.handle_wake(wake)?,
                _ = attempt.check_timer.tick() => {
                    self.run_checks().await?;
                    if let Some(error) = self.cancel_if_silent(attempt) {
                        return Ok(Err(error));
                    }
                }
            }
        }
    }

    fn start_attempt(&self, choice: &Choice) -> Attempt {
        let now = Instant::now();
        let entry = &self.core.settings.entry;
        let period = entry.keep_alive.min(entry.upstream_silence) / CHECKS_PER_TIMEOUT;
        let mut check_timer = interval(period.max(MIN_CHECK_PERIOD));
        check_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let may_have_run = self.exchange.lifecycle().may_have_run();
        Attempt {
            id: format_compact!("{}-{}", self.exchange.subject.request, self.attempts),
            choice: choice.clone(),
            resumed_tokens: self.assembler.tokens().len(),
            cause: self.move_cause.filter(|_| may_have_run),
            started: now,
            first_token: None,
            last_received: now,
            check_timer,
        }
    }

    async fn handle_response(
        &mut self,
        attempt: &mut Attempt,
        response: Response<Incoming>,
    ) -> Result<End, Failure> {
        attempt.last_received = Instant::now();
        if response.status() == StatusCode::OK {
            self.exchange.apply(Event::Accepted);
            self.sink.send_head(&self.exchange.subject.request);
            return self.read_stream(attempt, response.into_body()).await;
        }
        let status = response.status();
        let frame_timeout = self.core.settings.entry.upstream_silence;
        let answer =
            match collect(response, &self.core.memory, MAX_ERROR_BYTES, frame_timeout).await {
                Ok(answer) => answer,
                Err(error) => return Ok(failed(Cause::Closed, &error)),
            };
        let is_first = self.exchange.lifecycle().dispatches() == 1;
        let code = serde_json::from_slice(&answer.body).map(|body: ErrorBody| body.error.code);
        match code.as_deref() {
            Ok(code @ ("overloaded" | "leaving" | "not_loaded"))
                if status == StatusCode::SERVICE_UNAVAILABLE =>
            {
                Ok(failed(Cause::Rejected, &code))
            }
            // A later dispatch may carry tokens to resume from and a state handle, which the caller
            // did not send, so its client error counts as a fault of the engine.
            _ if status.is_client_error() && is_first => {
                self.exchange.apply(Event::Accepted);
                self.exchange.apply(Event::Completed);
                Ok(End::ClientError(Reply::json(status, answer.body)))
            }
            _ => Ok(failed(Cause::Fault, &format_compact!("status {status}"))),
        }
    }

    async fn read_stream(
        &mut self,
        attempt: &mut Attempt,
        mut body: Incoming,
    ) -> Result<End, Failure> {
        // The engine is checked for a reclaim now and on each tick, not only when routes change.
        self.changes.mark_changed();
        loop {
            self.emit()?;
            let backlog = self.backlog();
            tokio::select! {
                frame = body.frame(), if backlog < MAX_BACKLOG => {
                    if let Some(end) = self.handle_frame(attempt, frame) {
                        return Ok(end);
                    }
                }
                wake = self.sink.wait(backlog > 0) => self.handle_wake(wake)?,
                _ = attempt.check_timer.tick() => {
                    self.run_checks().await?;
                    match self.cancel_if_silent(attempt) {
                        Some(error) if backlog < MAX_BACKLOG => return Ok(End::Failed(error)),
                        _ => {}
                    }
                    self.changes.mark_changed();
                }
                _ = self.changes.changed() => {
                    self.run_checks().await?;
                    if let Some(end) = self.move_if_reclaimed(attempt, &mut body).await {
                        return Ok(end);
                    }
                }
            }
            if backlog >= MAX_BACKLOG {
                // Reading is paused: this time does not count as silence of the engine.
                attempt.last_received = Instant::now();
            }
        }
    }

    /// Processes a frame of the engine's answer, and returns how the attempt ended if it did.
    pub(super) fn handle_frame(
        &mut self,
        attempt: &mut Attempt,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Option<End> {
        match frame {
            None => Some(failed(Cause::Closed, &"the stream ended without [DONE]")),
            Some(Err(error)) => Some(failed(Cause::Closed, &error)),
            Some(Ok(frame)) => {
                self.assembler
                    .push(frame.data_ref().map_or(&[], Bytes::as_ref));
                self.process_steps(attempt)
            }
        }
    }

    fn process_steps(&mut self, attempt: &mut Attempt) -> Option<End> {
        loop {
            match self.assembler.next_step() {
                Ok(None) => return None,
                Ok(Some(step)) => {
                    attempt.last_received = Instant::now();
                    if let Some(end) = self.process_step(attempt, step) {
                        return Some(end);
                    }
                }
                Err(fault) => return Some(failed(Cause::Fault, &describe(&fault))),
            }
        }
    }

    fn process_step(&mut self, attempt: &mut Attempt, step: Step) -> Option<End> {
        match step {
            Step::Comment => {}
            Step::Token(index, _) => self.record_first_token(attempt, index),
            Step::Finish(_, usage) => self.record_recomputed(attempt, usage.computed_tokens),
            Step::Complete => return Some(End::Complete),
        }
        None
    }

    fn record_first_token(&mut self, attempt: &mut Attempt, index: usize) {
        if attempt.first_token.is_some() {
            return;
        }
        attempt.first_token = Some(Instant::now());
        self.software
            .get_or_insert_with(|| attempt.choice.software.clone());
        let elapsed = attempt.started.elapsed();
        let request = self.route_request();
        self.core
            .router
            .record_first_token(&attempt.choice, &request, elapsed);
        if index == 0 {
            self.core
                .metrics
                .record_first_token(self.exchange.started.elapsed());
        }
    }

    /// Counts the tokens that the engine computed for an answer that was begun at another engine.
    fn record_recomputed(&mut self, attempt: &mut Attempt, tokens: u64) {
        if let Some(cause) = attempt.cause.take() {
            self.core.metrics.record_recomputed(cause, tokens);
            self.exchange
                .subject
                .log_recomputed(&attempt.choice.upstream, cause, tokens);
        }
    }

    /// Estimates and counts the recomputed tokens of an attempt that is moved off a reclaimed
    /// engine before the engine reports the usage.
    fn record_recomputed_estimate(&mut self, attempt: &mut Attempt) {
        if attempt.first_token.is_some() {
            let input = self.call.prompt_tokens + attempt.resumed_tokens;
            let computed = input.saturating_sub(attempt.choice.cached_tokens);
            self.record_recomputed(attempt, computed as u64);
        }
    }

    /// Cancels the request at the engine and returns the error if the engine sent nothing for the
    /// silence timeout.
    fn cancel_if_silent(&self, attempt: &Attempt) -> Option<AttemptError> {
        let limit = self.core.settings.entry.upstream_silence;
        if attempt.last_received.elapsed() < limit {
            return None;
        }
        self.cancel(attempt);
        let detail = format_compact!("no complete event came for {} ms", limit.as_millis());
        Some(AttemptError {
            cause: Cause::Silent,
            detail,
        })
    }

    /// Cancels the request at the engine, which may not notice that the connection is closed.
    fn cancel(&self, attempt: &Attempt) {
        let client = self.core.engine_client.clone();
        let address = attempt.choice.address;
        let path = format!("/v1/requests/{}/cancel", attempt.id);
        self.core.runtime.spawn(async move {
            let _ = client
                .fetch(address, Method::POST, &path, Bytes::new(), CANCEL_TIMEOUT)
                .await;
        });
    }

    async fn move_if_reclaimed(
        &mut self,
        attempt: &mut Attempt,
        body: &mut Incoming,
    ) -> Option<End> {
        let view = self.core.control.view().load_full();
        let stops_at = reclaim::stops_at(&view.routes, &self.service, &attempt.choice.upstream)?;
        let time_left = stops_at.saturating_duration_since(Instant::now());
        let generated = self.assembler.tokens().len();
        let progress = Progress {
            tokens: generated - attempt.resumed_tokens,
            elapsed: attempt
                .first_token
                .map_or(Duration::ZERO, |first| first.elapsed()),
            remaining: self.call.max_tokens.saturating_sub(generated),
        };
        if reclaim::finishes_in_time(progress, time_left) {
            return None;
        }
        let end = Box::pin(self.transfer(attempt, body, time_left)).await?;
        self.record_recomputed_estimate(attempt);
        Some(end)
    }
}
