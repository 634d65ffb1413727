//! Calls of plain services, from the caller's request to the reply.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use config::text::{Kind as ServiceKind, Service};
use errors::Step;
use fleet::{Config, Control};
use http::Method;
use routing::{Choice, Request};
use tokio::sync::oneshot;

use super::call::{Call, is_rejection, is_stray, reply};
use super::{hedge, keyed};
use crate::admit::{self, Admission};
use crate::core::Core;
use crate::dispatch::{Answer, CallError, Oneshot};
use crate::drain::Phase;
use crate::exchange::Exchange;
use crate::failure::{Failure, Kind};
use crate::incoming::Incoming;
use crate::lifecycle::Event;
use crate::reply::Reply;

/// Largest answer of a plain service, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;
/// Largest number of upstreams that are tried if they can't be reached.
const MAX_ATTEMPTS: u32 = 3;
/// Suggested pause before a failed call is retried.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Header with the idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// An admitted call.
pub(super) struct Session<C> {
    pub(super) core: Arc<Core<C>>,
    pub(super) config: Arc<Config>,
    pub(super) call: Call,
    pub(super) admission: Admission,
    pub(super) exchange: Exchange,
    pub(super) deadline: Instant,
}

/// Serves one call and sends the reply.
pub(crate) async fn serve<C: Control>(
    core: Arc<Core<C>>,
    config: Arc<Config>,
    incoming: Incoming,
    mut exchange: Exchange,
    mut reply: oneshot::Sender<Reply>,
) {
    let prepared = prepare(&core, &config, &incoming, &mut exchange).await;
    let (service, path, key, admission) = match prepared {
        Ok(prepared) => prepared,
        Err(failure) => return drop(reply.send(exchange.fail(&failure))),
    };
    let idempotent = service.is_idempotent(incoming.method.as_str(), &path);
    let mut session = Session {
        deadline: exchange.started + service.timeout,
        call: Call {
            incoming,
            path,
            request: exchange.subject.request.clone(),
        },
        config: config.clone(),
        core,
        admission,
        exchange,
    };
    let core = session.core.clone();
    let answer = tokio::select! {
        answer = answer(&mut session, key, idempotent, &mut reply) => answer,
        () = core.until(Phase::Closing) => {
            let message = "this entry stopped before the upstream answered";
            Err(Failure::new(Kind::Timeout, message))
        }
    };
    let answer = match answer {
        Ok(answer) => session.exchange.answer(answer, "answered"),
        Err(failure) => session.exchange.fail(&failure),
    };
    let _ = reply.send(answer);
}

/// Calls an upstream, and returns its answer.
async fn answer<C: Control>(
    session: &mut Session<C>,
    key: Option<CompactString>,
    idempotent: bool,
    caller: &mut oneshot::Sender<Reply>,
) -> Result<Reply, Failure> {
    match key {
        _ if idempotent => tokio::select! {
            answer = hedge::call(session) => answer,
            () = caller.closed() => Err(Failure::new(Kind::CallerGone, "the caller left")),
        },
        Some(key) => keyed::call(session, key).await,
        None => session.call_once(None).await.map(reply),
    }
}

type Prepared = (Service, CompactString, Option<CompactString>, Admission);

async fn prepare<C: Control>(
    core: &Core<C>,
    config: &Arc<Config>,
    incoming: &Incoming,
    exchange: &mut Exchange,
) -> Result<Prepared, Failure> {
    let (name, path) = split(incoming)?;
    let service = config.text.services.get(name.as_str());
    let service = service
        .filter(|service| service.kind == ServiceKind::Plain)
        .ok_or_else(|| unknown_service(config, &name))?;
    exchange.subject.service = name;
    let key = idempotency_key(incoming)?;
    let admission = admit::admit(core, config, incoming, 0, exchange).await?;
    Ok((service.clone(), path, key, admission))
}

/// Splits `/services/{service}/{path}`.
fn split(incoming: &Incoming) -> Result<(CompactString, CompactString), Failure> {
    let uri = &incoming.uri;
    let rest = uri.path().strip_prefix("/services/").unwrap_or("");
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if path.split('/').any(|part| matches!(part, "." | "..")) {
        let message = "the path must not hold \".\" or \"..\"";
        return Err(Failure::new(Kind::Invalid, message));
    }
    let query = uri.query().map(|query| format_compact!("?{query}"));
    let path = format_compact!("/{path}{}", query.unwrap_or_default());
    Ok((service.into(), path))
}

fn unknown_service(config: &Config, name: &str) -> Failure {
    let known: Vec<&str> = config
        .text
        .services
        .iter()
        .filter(|(_, service)| service.kind == ServiceKind::Plain)
        .map(|(name, _)| name.as_str())
        .collect();
    let message = format_compact!(
        "plain service \"{name}\" does not exist; the services are: {}",
        known.join(", ")
    );
    Failure::new(Kind::NotFound, message)
}

fn idempotency_key(incoming: &Incoming) -> Result<Option<CompactString>, Failure> {
    let Some(value) = incoming.headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let bytes = value.as_bytes();
    let printable = bytes.iter().all(|byte| (b' '..=b'~').contains(byte));
    match std::str::from_utf8(bytes) {
        Ok(key) if printable && (1..=MAX_KEY_BYTES).contains(&key.len()) => Ok(Some(key.into())),
        _ => {
            let message = format_compact!(
                "header \"{KEY_HEADER}\" must be 1 to {MAX_KEY_BYTES} printable ASCII characters"
            );
            Err(Failure::new(Kind::Invalid, message))
        }
    }
}

impl<C: Control> Session<C> {
    /// Returns the call as input for the router.
    pub(super) fn route_request<'a>(&'a self, exclude: &'a [CompactString]) -> Request<'a> {
        Request {
            service: &self.exchange.subject.service,
            priority: self.admission.priority,
            exclude,
            ..Request::default()
        }
    }

    /// Chooses an upstream that is not in `exclude`.
    pub(super) fn choose(
        &self,
        exclude: &[CompactString],
        attempt: u32,
    ) -> Result<Choice, Failure> {
        let request = self.route_request(exclude);
        let service = request.service;
        match self.core.router.choose(&request, Instant::now()) {
            Ok(choice) => {
                self.exchange.subject.log_routed(&choice, attempt);
                Ok(choice)
            }
            Err(refusal) => {
                let failure = admit::routing_failure(&refusal, service);
                self.exchange.subject.log_not_routed(&failure.message);
                Err(failure)
            }
        }
    }

    /// Dispatches a call that must not run twice. Another upstream is tried only if no byte was
    /// written. The first byte is written before `dispatch_deadline`.
    ///
    /// # Errors
    /// If no upstream was reached in time, the upstream refused the call, or the answer was lost.
    pub(super) async fn call_once(
        &mut self,
        dispatch_deadline: Option<Instant>,
    ) -> Result<Answer, Failure> {
        let mut unreachable = Vec::new();
        for attempt in 1..=MAX_ATTEMPTS {
            let choice = self.choose(&unreachable, attempt)?;
            let request = self.call.request(choice.address)?;
            self.exchange.apply(Event::Dispatched);
            match self.dispatch(&choice, request, dispatch_deadline).await {
                Ok(answer) if is_stray(&answer, &self.call.request) => {
                    let message = "the call was sent and its answer is lost; it may have run: the \
                                   upstream answered another request";
                    return Err(Failure::new(Kind::Upstream, message));
                }
                Ok(answer) if is_rejection(&answer) => {
                    self.exchange.apply(Event::Rejected);
                    let message = "the upstream refused the call and did not run it";
                    return Err(Failure::retryable(Kind::Unavailable, message, RETRY_AFTER));
                }
                Ok(answer) => {
                    self.exchange.apply(Event::Accepted);
                    self.exchange.apply(Event::Completed);
                    return Ok(answer);
                }
                Err(error) if error.may_have_arrived => return Err(unknown_outcome(&error)),
                Err(error) => {
                    self.exchange.apply(Event::NotSent);
                    self.exchange
                        .subject
                        .log_not_routed(&format_compact!("{}", error.error));
                    unreachable.push(choice.upstream);
                }
            }
        }
        let message = "no upstream could be reached in time to dispatch the call";
        Err(Failure::retryable(Kind::Unavailable, message, RETRY_AFTER))
    }

    async fn dispatch(
        &self,
        choice: &Choice,
        request: http::Request<http_body_util::Full<Bytes>>,
        dispatch_deadline: Option<Instant>,
    ) -> Result<Answer, CallError> {
        let router = &self.core.router;
        router.record_dispatch(choice, &self.route_request(&[]), Instant::now());
        let result = Oneshot {
            address: choice.address,
            connect_timeout: self.core.settings.entry.connect_timeout,
            answer_timeout: self.deadline.saturating_duration_since(Instant::now()),
            max_answer_bytes: MAX_ANSWER_BYTES,
            memory: self.core.memory.clone(),
            first_byte_deadline: dispatch_deadline,
        }
        .call(request)
        .await;
        router.record_finish(choice);
        result
    }
}

/// Returns the failure of a call that may have run and whose answer is lost.
fn unknown_outcome(call: &CallError) -> Failure {
    let kind = match call.error {
        errors::Error::Timeout(..) => Kind::Timeout,
        _ => Kind::Upstream,
    };
    let detail = match call.error.step() {
        Step::Receive => "its answer is lost",
        _ => "it may not have arrived",
    };
    let message = format_compact!(
        "the call was sent and {detail}; it may have run: {}",
        call.error
    );
    Failure::new(kind, message)
}

/// Reports whether calls of the method change nothing at the service.
pub(super) fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}
