//! Relays one answer from one or several upstreams to the caller, each token exactly once.

mod finish;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use config::ids::{AccountId, ServiceId, UpstreamId, Version};
use fleet::{Config, Control};
use routing::{Choice, Request};
use tokio::sync::watch;
use upstream::Software;

use super::Call;
use super::attempt::{AttemptError, End};
use super::sink::{SendError, Sink};
use crate::admit::{self, Admission};
use crate::cause::Cause;
use crate::core::Core;
use crate::drain::Phase;
use crate::exchange::Exchange;
use crate::failure::{Failure, Kind};
use crate::handover::Record;
use crate::lifecycle::Event;
use crate::reply::Reply;
use crate::stream::{Assembler, Encoder, KEEP_ALIVE};

/// Largest number of attempts of one request.
const MAX_ATTEMPTS: u32 = 16;
/// Pause before the router is asked again for an upstream for a request that may have run.
const CHOOSE_PAUSE: Duration = Duration::from_millis(50);
/// Suggested pause before a failed request is retried.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An answer in progress.
pub(super) struct Relay<C> {
    pub(super) core: Arc<Core<C>>,
    pub(super) call: Call,
    pub(super) exchange: Exchange,
    pub(super) assembler: Assembler,
    pub(super) sink: Sink,
    /// Signals a change of the leaving upstreams or of the planned stop; see [`Core::changes`].
    pub(super) changes: watch::Receiver<u64>,
    /// Upstreams that are excluded from routing, because the request failed there or is being
    /// moved away.
    pub(super) excluded: Vec<UpstreamId>,
    /// Cause of the last move of an answer that an upstream may have begun.
    pub(super) move_cause: Option<Cause>,
    pub(super) attempts: u32,
    pub(super) deadline: Instant,
    pub(super) service: ServiceId,
    pub(super) admission: Admission,
    encoder: Encoder,
    /// Software version of the engine that began the answer; `None` before its first token.
    pub(super) software: Option<Software>,
    /// Tokens passed to the sink.
    pub(super) emitted: usize,
    last_sent: Instant,
    version: Version,
    /// Address of the entry that continues the answer.
    successor: Option<SocketAddr>,
    /// Whether the request was offered to other entries.
    offered: bool,
    pub(super) origin: Origin,
}

/// The parameters of [`Relay::new`].
pub(super) struct Parameters {
    pub(super) config: Arc<Config>,
    pub(super) origin: Origin,
    pub(super) call: Call,
    pub(super) admission: Admission,
    pub(super) exchange: Exchange,
    pub(super) assembler: Assembler,
    pub(super) sink: Sink,
}

/// The caller's request from which an answer originates.
pub(super) struct Origin {
    pub(super) account: AccountId,
    pub(super) key: Option<CompactString>,
    /// Hash of the caller's path and body.
    pub(super) fingerprint: u64,
    /// When the request was admitted, in seconds since the Unix epoch.
    pub(super) created: u64,
}

impl<C: Control> Relay<C> {
    pub(super) fn new(core: &Arc<Core<C>>, parameters: Parameters) -> Self {
        let service = parameters.exchange.subject.service.clone();
        let timeout = parameters.config.text.services.get(&service);
        let timeout = timeout.map_or(Duration::ZERO, |service| service.timeout);
        let now = Instant::now();
        let id = &parameters.exchange.subject.request;
        let (api, created) = (parameters.call.api, parameters.origin.created);
        let encoder = Encoder::new(api, id, &parameters.call.model, created);
        Relay {
            core: core.clone(),
            call: parameters.call,
            deadline: parameters.exchange.started + timeout,
            exchange: parameters.exchange,
            assembler: parameters.assembler,
            sink: parameters.sink,
            changes: core.changes.subscribe(),
            excluded: Vec::new(),
            move_cause: None,
            attempts: 0,
            service,
            admission: parameters.admission,
            encoder,
            software: None,
            emitted: 0,
            last_sent: now,
            version: parameters.config.version,
            successor: None,
            offered: false,
            origin: parameters.origin,
        }
    }

    /// Continues an answer that was begun at a software version.
    pub(super) fn at(self, software: Option<Software>) -> Self {
        Relay { software, ..self }
    }

    /// Sets the deadline for the complete answer.
    pub(super) fn with_deadline(self, deadline: Instant) -> Self {
        Relay { deadline, ..self }
    }

    /// Runs until the answer or a failure has been sent to the caller.
    pub(super) async fn run(mut self) {
        match self.run_attempts().await {
            Ok(None) => self.finish().await,
            Ok(Some(reply)) => self.sink.answer(&mut self.exchange, reply, "answered"),
            Err(failure) => match self.successor.take() {
                Some(successor) => self.follow(successor, &failure).await,
                None => self.sink.fail(&mut self.exchange, &failure).await,
            },
        }
    }

    async fn run_attempts(&mut self) -> Result<Option<Reply>, Failure> {
        let mut transferred = None;
        loop {
            let (choice, handle) = match transferred.take() {
                Some((choice, handle)) => (choice, handle),
                None => (self.choose().await?, None),
            };
            match self.attempt(&choice, handle).await? {
                End::Complete => return Ok(None),
                End::ClientError(reply) => return Ok(Some(reply)),
                End::Failed(error) => self.handle_failure(&choice, &error)?,
                End::Transferred { target, handle } => {
                    self.record_move(&choice, Cause::Reclaimed, "moved before the upstream stops");
                    transferred = Some((target, handle));
                }
            }
        }
    }

    /// Returns the rest of the request, as input for the router.
    pub(super) fn route_request(&self) -> Request<'_> {
        let generated = self.assembler.tokens().len();
        Request {
            service: &self.service,
            model: &self.call.model,
            blocks: &self.call.blocks,
            prompt_tokens: self.call.prompt_tokens + generated,
            max_tokens: self.call.max_tokens.saturating_sub(generated),
            priority: self.admission.priority,
            exclude: &self.excluded,
            software: self.software.as_ref(),
            resumed: self.exchange.lifecycle().may_have_run(),
            ..Request::default()
        }
    }

    async fn choose(&mut self) -> Result<Choice, Failure> {
        loop {
            let result = self
                .core
                .router
                .choose(&self.route_request(), Instant::now());
            match result {
                Ok(choice) => return Ok(choice),
                Err(refusal) if !self.exchange.lifecycle().may_have_run() => {
                    let failure = admit::routing_failure(&refusal, &self.service);
                    self.exchange.subject.log_not_routed(&failure.message);
                    return Err(failure);
                }
                Err(_) => {
                    // A request that may have run waits for any upstream, even one at which it
                    // failed before.
                    self.excluded.clear();
                    self.pause().await?;
                }
            }
        }
    }

    async fn pause(&mut self) -> Result<(), Failure> {
        self.run_checks().await?;
        let pause = tokio::time::sleep(CHOOSE_PAUSE);
        tokio::select! {
            () = pause => Ok(()),
            wake = self.sink.wait(false) => self.handle_wake(wake),
        }
    }

    fn handle_failure(&mut self, choice: &Choice, error: &AttemptError) -> Result<(), Failure> {
        match error.cause {
            Cause::Rejected => self.exchange.apply(Event::Rejected),
            Cause::Unreachable => self.exchange.apply(Event::NotSent),
            _ => {}
        }
        self.excluded.push(choice.upstream.clone());
        self.record_move(choice, error.cause, &error.detail);
        let may_have_run = self.exchange.lifecycle().may_have_run();
        // Moves of a request that may have run do not count against the retry budget, except after
        // a fault before the first token, which the request itself may cause.
        let spends_budget = match error.cause {
            Cause::Rejected => !may_have_run,
            Cause::Fault => self.assembler.tokens().is_empty(),
            _ => false,
        };
        match () {
            () if self.attempts >= MAX_ATTEMPTS => Err(upstream_failure(error)),
            () if spends_budget && !self.core.budget.spend() => Err(upstream_failure(error)),
            () => {
                self.core.metrics.retries.inc();
                Ok(())
            }
        }
    }

    fn record_move(&mut self, choice: &Choice, cause: Cause, detail: &str) {
        let tokens = self.assembler.tokens().len();
        self.exchange
            .subject
            .log_move(&choice.upstream, cause, detail, tokens);
        self.core.metrics.record_move(cause);
        if self.exchange.lifecycle().may_have_run() {
            self.move_cause = Some(cause);
        }
        self.assembler.restart();
    }

    /// Passes received tokens to the sink, as far as it has capacity.
    pub(super) fn emit(&mut self) -> Result<(), Failure> {
        if !self.sink.is_streaming() {
            return Ok(());
        }
        while let Some(token) = self.assembler.tokens().get(self.emitted) {
            self.sink.send_head(&self.exchange.subject.request);
            match self.sink.try_send(self.encoder.token(self.emitted, token)) {
                Ok(()) => self.emitted += 1,
                Err(SendError::Full) => return Ok(()),
                Err(SendError::Disconnected) => return self.detach_caller(),
            }
            self.core.metrics.relayed_tokens.inc();
            self.last_sent = Instant::now();
        }
        Ok(())
    }

    /// Returns the number of tokens that wait for the sink.
    pub(super) fn backlog(&self) -> usize {
        match self.sink.is_streaming() {
            true => self.assembler.tokens().len() - self.emitted,
            false => 0,
        }
    }

    /// Checks the deadline and the planned stop, and keeps the caller's connection alive.
    ///
    /// # Errors
    /// If the request has timed out, must be handed over, or its caller disconnected.
    pub(super) async fn run_checks(&mut self) -> Result<(), Failure> {
        let now = Instant::now();
        if now >= self.deadline {
            let message = format_compact!(
                "no whole answer within {} ms",
                (self.deadline - self.exchange.started).as_millis()
            );
            return Err(Failure::retryable(Kind::Timeout, message, RETRY_AFTER));
        }
        self.hand_over().await?;
        let keep_alive = self.core.settings.entry.keep_alive;
        if self.sink.is_streaming() && now - self.last_sent >= keep_alive {
            self.sink.send_head(&self.exchange.subject.request);
            self.last_sent = now;
            if let Err(SendError::Disconnected) = self.sink.try_send(KEEP_ALIVE.into()) {
                return self.detach_caller();
            }
        }
        Ok(())
    }

    /// Hands over the answer to another entry once the planned stop has reached
    /// [`Phase::Offering`].
    async fn hand_over(&mut self) -> Result<(), Failure> {
        let phase = self.core.drain.phase();
        if phase < Phase::Offering {
            return Ok(());
        }
        if !self.offered {
            self.offered = true;
            self.successor = self.core.successor.take_over(self.record()).await;
        }
        let message = match self.successor {
            Some(_) => "the entry stops; come back with the same key and last-event-id",
            None if phase < Phase::Ending => return Ok(()),
            None => {
                self.core.metrics.handover_failures.inc();
                "the entry stops, and nobody took the request over"
            }
        };
        Err(Failure::retryable(Kind::Draining, message, RETRY_AFTER))
    }

    pub(super) fn record(&self) -> Record {
        let tokens = self.assembler.tokens();
        let request = self.exchange.subject.request.clone();
        let priority = self.admission.priority;
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        Record {
            account: self.origin.account.clone(),
            key: self.origin.key.clone(),
            fingerprint: self.origin.fingerprint,
            service: self.service.clone(),
            version: self.version,
            api: self.call.api,
            stream: self.call.stream,
            priority,
            created: self.origin.created,
            remaining_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
            body: self.call.body(&request, priority, &[], None),
            tokens: tokens.to_vec(),
            software: self.software.clone(),
            emitted: self.emitted,
            request,
        }
    }
}

fn upstream_failure(error: &AttemptError) -> Failure {
    let message = format_compact!(
        "the upstream failed ({}): {}",
        error.cause.name(),
        error.detail
    );
    let kind = match error.cause {
        Cause::Rejected | Cause::Unreachable => Kind::Unavailable,
        _ => Kind::Upstream,
    };
    Failure::retryable(kind, message, RETRY_AFTER)
}
