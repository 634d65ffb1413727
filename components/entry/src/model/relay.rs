//! One answer from one or several upstreams, given to the caller without gap or repetition.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use config::ids::{AccountId, ServiceId, UpstreamId, Version};
use fleet::{Config, Control};
use routing::{Choice, Request};
use tokio::sync::watch;
use tokio::time::timeout_at;

use super::Call;
use super::attempt::{Ended, Loss};
use super::sink::{Refused, Sink};
use crate::admit::{self, Admitted};
use crate::cause::Cause;
use crate::core::Core;
use crate::drain::Phase;
use crate::exchange::Exchange;
use crate::failure::{Failure, Kind};
use crate::handover::Record;
use crate::lifecycle::Event;
use crate::reply::Reply;
use crate::stream::{Assembler, DONE, Encoder, KEEP_ALIVE, Usage};

/// Attempts after which a request is given up.
const MAX_ATTEMPTS: u32 = 16;
/// Pause before the router is asked again for a stream that must go on.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest time to keep a whole answer for a caller who left.
const KEEP_TIME: Duration = Duration::from_secs(5);
/// Pause after which a failed request may be tried again.
const RETRY: Duration = Duration::from_secs(1);

/// An answer in progress.
pub(super) struct Relay<C> {
    pub(super) core: Arc<Core<C>>,
    pub(super) call: Call,
    pub(super) exchange: Exchange,
    pub(super) assembler: Assembler,
    pub(super) sink: Sink,
    pub(super) changes: watch::Receiver<u64>,
    /// Upstreams at which the request failed.
    pub(super) failed: Vec<UpstreamId>,
    /// Cause of the last move.
    pub(super) cause: Option<Cause>,
    pub(super) attempts: u32,
    pub(super) deadline: Instant,
    pub(super) service: ServiceId,
    pub(super) admitted: Admitted,
    encoder: Encoder,
    pub(super) emitted: usize,
    last_sent: Instant,
    version: Version,
    /// Entry that goes on with the answer.
    keeper: Option<SocketAddr>,
    offered: bool,
    pub(super) origin: Origin,
}

/// Everything that a relay starts from.
pub(super) struct Start {
    pub(super) config: Arc<Config>,
    pub(super) origin: Origin,
    pub(super) call: Call,
    pub(super) admitted: Admitted,
    pub(super) exchange: Exchange,
    pub(super) assembler: Assembler,
    pub(super) sink: Sink,
}

/// By whom and when the answer was asked for.
pub(super) struct Origin {
    pub(super) account: AccountId,
    pub(super) key: Option<CompactString>,
    /// Number of the caller's path and body.
    pub(super) fingerprint: u64,
    /// When the answer was begun, in seconds since the Unix epoch.
    pub(super) created: u64,
}

impl<C: Control> Relay<C> {
    pub(super) fn new(core: &Arc<Core<C>>, start: Start) -> Self {
        let service = start.exchange.subject.service.clone();
        let limit = start.config.text.services.get(&service);
        let limit = limit.map_or(Duration::ZERO, |service| service.timeout);
        let now = Instant::now();
        let id = &start.exchange.subject.request;
        let (shape, created) = (start.call.shape, start.origin.created);
        let encoder = Encoder::new(shape, id, &start.call.model, created);
        Relay {
            core: core.clone(),
            call: start.call,
            deadline: start.exchange.started + limit,
            exchange: start.exchange,
            assembler: start.assembler,
            sink: start.sink,
            changes: core.changes.subscribe(),
            failed: Vec::new(),
            cause: None,
            attempts: 0,
            service,
            admitted: start.admitted,
            encoder,
            emitted: 0,
            last_sent: now,
            version: start.config.version,
            keeper: None,
            offered: false,
            origin: start.origin,
        }
    }

    /// Sets when the answer must be whole.
    pub(super) fn until(self, deadline: Instant) -> Self {
        Relay { deadline, ..self }
    }

    /// Runs until the answer, or the word that there is none, is with the caller.
    pub(super) async fn run(mut self) {
        match self.go_through_attempts().await {
            Ok(None) => self.finish().await,
            Ok(Some(reply)) => self.sink.answer(&mut self.exchange, reply, "answered"),
            Err(failure) => match self.keeper.take() {
                Some(keeper) => self.follow(keeper, &failure).await,
                None => self.sink.fail(&mut self.exchange, &failure).await,
            },
        }
    }

    async fn go_through_attempts(&mut self) -> Result<Option<Reply>, Failure> {
        let mut transferred = None;
        loop {
            let (choice, handle) = match transferred.take() {
                Some((choice, handle)) => (choice, handle),
                None => (self.choose().await?, None),
            };
            match self.attempt(&choice, handle).await? {
                Ended::Whole => return Ok(None),
                Ended::Answer(reply) => return Ok(Some(reply)),
                Ended::Lost(loss) => self.lost(&choice, &loss)?,
                Ended::Transferred { target, handle } => {
                    self.note_move(&choice, Cause::Reclaimed, "moved before the upstream stops");
                    transferred = Some((target, handle));
                }
            }
        }
    }

    /// Returns the request as the router sees it.
    pub(super) fn route_request(&self) -> Request<'_> {
        let generated = self.assembler.tokens().len();
        Request {
            service: &self.service,
            model: &self.call.model,
            blocks: &self.call.blocks,
            prompt_tokens: self.call.prompt_tokens + generated,
            max_tokens: self.call.max_tokens.saturating_sub(generated),
            priority: self.admitted.priority,
            exclude: &self.failed,
            resumed: self.exchange.state().is_exposed(),
            ..Request::default()
        }
    }

    async fn choose(&mut self) -> Result<Choice, Failure> {
        loop {
            let chosen = self
                .core
                .router
                .choose(&self.route_request(), Instant::now());
            match chosen {
                Ok(choice) => return Ok(choice),
                Err(refusal) if !self.exchange.state().is_exposed() => {
                    let failure = admit::refused(&refusal, &self.service);
                    self.exchange.subject.not_routed(&failure.message);
                    return Err(failure);
                }
                Err(_) => {
                    // An accepted answer waits for any upstream, those that failed before too.
                    self.failed.clear();
                    self.pause().await?;
                }
            }
        }
    }

    async fn pause(&mut self) -> Result<(), Failure> {
        self.look_after_caller().await?;
        let pause = tokio::time::sleep(PAUSE);
        tokio::select! {
            () = pause => Ok(()),
            wake = self.sink.wait(false) => self.woken(wake),
        }
    }

    fn lost(&mut self, choice: &Choice, loss: &Loss) -> Result<(), Failure> {
        match loss.cause {
            Cause::Rejected => self.exchange.step(Event::Rejected),
            Cause::Unreachable => self.exchange.step(Event::NotSent),
            _ => {}
        }
        self.failed.push(choice.upstream.clone());
        self.note_move(choice, loss.cause, &loss.detail);
        let accepted = self.exchange.state().is_exposed();
        // Accepted answers are moved without the budget, but for one that may be at fault itself.
        let costs = match loss.cause {
            Cause::Rejected => !accepted,
            Cause::Fault => self.assembler.tokens().is_empty(),
            _ => false,
        };
        match () {
            () if self.attempts >= MAX_ATTEMPTS => Err(failed(loss)),
            () if costs && !self.core.budget.spend() => Err(failed(loss)),
            () => {
                self.core.metrics.retries.inc();
                Ok(())
            }
        }
    }

    fn note_move(&mut self, choice: &Choice, cause: Cause, detail: &str) {
        let tokens = self.assembler.tokens().len();
        self.exchange
            .subject
            .moved(&choice.upstream, cause, detail, tokens);
        self.core.metrics.moved(cause);
        if self.exchange.state().is_exposed() {
            self.cause = Some(cause);
        }
        self.assembler.restart();
    }

    /// Gives the tokens that are due to the caller's connection, as far as there is room.
    pub(super) fn emit(&mut self) -> Result<(), Failure> {
        if !self.sink.streams() {
            return Ok(());
        }
        while let Some(token) = self.assembler.tokens().get(self.emitted) {
            self.sink.open(&self.exchange.subject.request);
            match self.sink.try_send(self.encoder.token(self.emitted, token)) {
                Ok(()) => self.emitted += 1,
                Err(Refused::Full) => return Ok(()),
                Err(Refused::Gone) => return self.caller_left(),
            }
            self.core.metrics.relayed_tokens.inc();
            self.last_sent = Instant::now();
        }
        Ok(())
    }

    /// Returns how many tokens wait for the caller.
    pub(super) fn backlog(&self) -> usize {
        match self.sink.streams() {
            true => self.assembler.tokens().len() - self.emitted,
            false => 0,
        }
    }

    /// Keeps the caller's connection alive, and ends what has run out of time.
    pub(super) async fn look_after_caller(&mut self) -> Result<(), Failure> {
        let now = Instant::now();
        if now >= self.deadline {
            let message = format_compact!(
                "no whole answer within {} ms",
                (self.deadline - self.exchange.started).as_millis()
            );
            return Err(Failure::retry(Kind::Timeout, message, RETRY));
        }
        self.hand_over().await?;
        let keep_alive = self.core.settings.entry.keep_alive;
        if self.sink.streams() && now - self.last_sent >= keep_alive {
            self.sink.open(&self.exchange.subject.request);
            self.last_sent = now;
            if let Err(Refused::Gone) = self.sink.try_send(KEEP_ALIVE.into()) {
                return self.caller_left();
            }
        }
        Ok(())
    }

    /// Has another entry go on with the answer once this one offers or ends what is left.
    async fn hand_over(&mut self) -> Result<(), Failure> {
        let phase = self.core.drain.phase();
        if phase < Phase::Offering {
            return Ok(());
        }
        if !self.offered {
            self.offered = true;
            self.keeper = self.core.keeper.keep(self.record()).await;
        }
        let message = match self.keeper {
            Some(_) => "the entry stops; come back with the same key and last-event-id",
            None if phase < Phase::HandingOver => return Ok(()),
            None => {
                self.core.metrics.handover_failures.inc();
                "the entry stops, and nobody took the request over"
            }
        };
        Err(Failure::retry(Kind::Draining, message, RETRY))
    }

    pub(super) fn record(&self) -> Record {
        let tokens = self.assembler.tokens();
        let request = self.exchange.subject.request.clone();
        let priority = self.admitted.priority;
        let left = self.deadline.saturating_duration_since(Instant::now());
        Record {
            account: self.origin.account.clone(),
            key: self.origin.key.clone(),
            fingerprint: self.origin.fingerprint,
            service: self.service.clone(),
            version: self.version,
            shape: self.call.shape,
            stream: self.call.stream,
            priority,
            created: self.origin.created,
            remaining_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            body: self.call.body(&request, priority, &[], None),
            tokens: tokens.to_vec(),
            emitted: self.emitted,
            request,
        }
    }

    async fn finish(mut self) {
        self.exchange.step(Event::Completed);
        self.exchange.release();
        let reason = self.assembler.finish_reason().unwrap_or("stop").to_owned();
        let usage = Usage {
            completion_tokens: self.assembler.tokens().len() as u64,
            ..self.assembler.usage().unwrap_or_default()
        };
        if self.sink.is_closed() {
            // Without a key the answer has nobody to go to; it is logged as answered.
            let _ = self.caller_left();
        }
        if !self.sink.streams() {
            let whole = self.encoder.whole(self.assembler.tokens(), &reason, usage);
            let reply = Reply::json(http::StatusCode::OK, whole);
            return self.sink.answer(&mut self.exchange, reply, "answered");
        }
        let mut flushed = timeout_at(self.deadline.into(), self.flush(&reason, usage)).await;
        if !matches!(flushed, Ok(Ok(()))) && self.caller_left().is_ok() {
            let until = Instant::now() + KEEP_TIME;
            flushed = timeout_at(until.into(), self.flush(&reason, usage)).await;
        }
        let why = match flushed {
            Ok(Ok(())) => "answered",
            Ok(Err(_)) => "answered, but the caller left",
            Err(_) => "answered, but the caller reads too slowly",
        };
        self.exchange.end_stream(why);
    }

    async fn flush(&mut self, reason: &str, usage: Usage) -> Result<(), Refused> {
        self.sink.open(&self.exchange.subject.request);
        let tokens = self.assembler.tokens();
        for (index, token) in tokens.iter().enumerate().skip(self.emitted) {
            self.sink.send(self.encoder.token(index, token)).await?;
            self.core.metrics.relayed_tokens.inc();
        }
        let last = self.encoder.finish(tokens.len(), reason, usage);
        self.sink.send(last).await?;
        self.sink.send(DONE.into()).await?;
        self.sink.end().await
    }
}

fn failed(loss: &Loss) -> Failure {
    let message = format_compact!(
        "the upstream failed ({}): {}",
        loss.cause.name(),
        loss.detail
    );
    let kind = match loss.cause {
        Cause::Rejected | Cause::Unreachable => Kind::Unavailable,
        _ => Kind::Upstream,
    };
    Failure::retry(kind, message, RETRY)
}
