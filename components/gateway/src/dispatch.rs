//! Sends a request to upstreams one after the other until one answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use config::ids::UpstreamId;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body::Body;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;
use tracing::{info, warn};
use upstream::Software;

use crate::balancer::{Choice, Criteria, Outcome, Shortage};
use crate::call::Call;
use crate::connection::Connection;
use crate::core::{Core, lock};
use crate::relay::MAX_ANSWER_BYTES;
use crate::request_log::RequestLog;
use crate::ticket::Ticket;
use crate::{Metadata, Refusal, Reply, admission, crash, permits, retries};

/// Number of failed connections after which a request is refused.
const MAX_CONNECT_FAILURES: u32 = 3;
/// Shortest time to the deadline with which a request is sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Time after which callers should retry if no upstream takes work.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Shortest time after which callers should retry if upstreams are overloaded or refused the
/// request.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Permits that are drawn for one attempt. Another request may use up one that was drawn.
const MAX_DRAWS: u32 = 2;
/// Upstreams that one prompt may crash.
const MAX_BROKEN: u32 = 2;
/// Time to the head of an answer after which an idempotent call is retried at another upstream,
/// relative to the latency target.
const HEAD_TIMEOUT_PER_TARGET: f64 = 1.0;

/// An upstream's answer whose head has been received.
pub(crate) struct Answer {
    pub(crate) ticket: Ticket,
    pub(crate) connection: Connection,
    pub(crate) response: Response<Incoming>,
    pub(crate) reply: Reply,
}

/// Reason for which an attempt failed.
enum Failure {
    /// No connection could be opened, and nothing was sent.
    Unsent(String),
    /// The upstream refused the request without running it.
    NotRun,
    /// The connection failed before the head of an answer; the request may have run.
    Broken(String),
    /// The answer was invalid; the request may have run.
    Unknown(String),
    /// The request may have run, and no answer came in time.
    TimedOut,
    /// The upstream answered with a server error, and another attempt is allowed.
    ServerError(Box<Answer>),
}

/// Attempts of one request so far.
#[derive(Default)]
pub(crate) struct Attempts {
    /// Upstreams that were tried.
    excluded: Vec<UpstreamId>,
    /// Software version at which the stream has to go on; `None` for any.
    software: Option<Software>,
    /// Attempts that reached an upstream.
    sends: u32,
    connect_failures: u32,
    /// Upstreams whose connection broke off before the answer had begun well.
    broken: u32,
    /// Refusal to return once an upstream may have run the request.
    unknown_outcome: Option<Refusal>,
}

impl Attempts {
    /// Creates the state of a request that has to run at `software`, if that is set.
    pub(crate) fn at(software: Option<Software>) -> Self {
        Attempts {
            software,
            ..Attempts::default()
        }
    }

    /// Restricts further attempts to the software version of the upstream that began the stream.
    pub(crate) fn keep_to(&mut self, software: &Software) {
        self.software.get_or_insert_with(|| software.clone());
    }

    /// Counts an answer that broke off before it had begun well.
    pub(crate) fn record_broken(&mut self) {
        self.broken += 1;
    }

    /// Reports whether the request may have crashed so many upstreams that it must not be sent again.
    fn may_crash_more(&self, call: &Call) -> bool {
        call.shared_parts.is_empty() || self.broken < MAX_BROKEN
    }

    /// Counts the attempt at an upstream that answered, and excludes it from further ones.
    pub(crate) fn record_answer(&mut self, upstream: &UpstreamId) {
        self.excluded.push(upstream.clone());
        self.sends += 1;
    }
}

/// Sends a request to upstreams until one answers. `resume_after` is the last event received of an
/// earlier run.
///
/// # Errors
/// Returns a [`Refusal`] if no upstream answers before the deadline or within the allowed attempts.
pub(crate) async fn dispatch(
    core: &Arc<Core>,
    call: &Call,
    resume_after: Option<u64>,
    attempts: &mut Attempts,
    request_log: &mut RequestLog,
) -> Result<Answer, Refusal> {
    let mut server_error = None;
    loop {
        let now = Instant::now();
        if call.time_left(now) < MIN_TIME_LEFT {
            return fallback(
                server_error,
                attempts.unknown_outcome.take().unwrap_or(Refusal::TooLate),
            );
        }
        if attempts.sends >= call.route.attempts {
            let refusal = attempts.unknown_outcome.take();
            return fallback(
                server_error,
                refusal.unwrap_or(Refusal::Shed(SHED_RETRY_AFTER)),
            );
        }
        if attempts.sends > 0
            && let Some(refusal) = refusal_of_prompt(core, call, attempts)
        {
            return fallback(server_error, refusal);
        }
        let criteria = Criteria {
            service: &call.service,
            prompt: call.prompt.as_ref(),
            excluded: &attempts.excluded,
            software: attempts.software.as_ref(),
            time_left: call.time_left(now),
            max_wait: match resume_after {
                Some(_) => call.time_left(now),
                None => admission::max_wait(call),
            },
        };
        let choice = match choose(core, call, &criteria).await {
            Ok(choice) => choice,
            Err(shortage) => {
                let refusal = attempts
                    .unknown_outcome
                    .take()
                    .unwrap_or(refusal(shortage, attempts));
                return fallback(server_error, refusal);
            }
        };
        let now = Instant::now();
        let mut ticket = Ticket::new(core, choice);
        if attempts.sends > 0 && !take_retry(core, call, now) {
            ticket.finish(Outcome::Refused);
            let refusal = attempts
                .unknown_outcome
                .take()
                .unwrap_or(Refusal::Shed(SHED_RETRY_AFTER));
            return fallback(server_error, refusal);
        }
        request_log.record_dispatch(ticket.choice());
        let is_last = attempts.sends + 1 >= call.route.attempts;
        let choice = ticket.choice().clone();
        let failure = match attempt(core, call, ticket, resume_after, is_last).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        attempts.excluded.push(choice.upstream.clone());
        log_failure(call, &choice, &failure);
        core.metrics
            .record_attempt(&call.service, failure_name(&failure));
        attempts.broken += u32::from(matches!(failure, Failure::Broken(_)));
        match failure {
            Failure::Unsent(_) => {
                attempts.connect_failures += 1;
                if attempts.connect_failures >= MAX_CONNECT_FAILURES {
                    let refusal = Refusal::NoUpstream(NO_UPSTREAM_RETRY_AFTER);
                    return fallback(
                        server_error,
                        attempts.unknown_outcome.take().unwrap_or(refusal),
                    );
                }
            }
            Failure::NotRun => {
                attempts.sends += 1;
                if is_last {
                    let refusal = Refusal::Shed(SHED_RETRY_AFTER);
                    return fallback(
                        server_error,
                        attempts.unknown_outcome.take().unwrap_or(refusal),
                    );
                }
            }
            Failure::Broken(detail) | Failure::Unknown(detail) => {
                attempts.sends += 1;
                attempts.unknown_outcome = Some(Refusal::Lost(detail));
                if is_last || !call.is_idempotent() {
                    return fallback(
                        server_error,
                        attempts.unknown_outcome.take().unwrap_or(Refusal::TimedOut),
                    );
                }
            }
            Failure::TimedOut => {
                attempts.sends += 1;
                attempts.unknown_outcome = Some(Refusal::TimedOut);
                if is_last || !call.is_idempotent() {
                    return fallback(server_error, Refusal::TimedOut);
                }
            }
            Failure::ServerError(answer) => {
                attempts.sends += 1;
                server_error = Some(answer);
            }
        }
    }
}

/// Chooses an upstream. If none may take the request without it, draws a permit under the limit of
/// one that names a limit.
async fn choose(core: &Core, call: &Call, criteria: &Criteria<'_>) -> Result<Choice, Shortage> {
    for _ in 0..MAX_DRAWS {
        let now = Instant::now();
        let (chosen, limited) = {
            let mut balancer = lock(&core.balancer);
            let chosen = balancer.choose(criteria, now);
            let limited = balancer.limited(criteria, now);
            (chosen, limited)
        };
        let shortage = match chosen {
            Ok(choice) => return Ok(choice),
            Err(shortage) if limited.is_empty() => return Err(shortage),
            Err(shortage) => shortage,
        };
        if let Err(wait) = permits::draw(core, &call.service, limited).await {
            return Err(match shortage {
                Shortage::NoUpstream => Shortage::Overloaded(wait),
                Shortage::Overloaded(excess) => Shortage::Overloaded(excess.min(wait)),
            });
        }
    }
    lock(&core.balancer).choose(criteria, Instant::now())
}

/// Returns why a prompt that was sent before must not be sent again, if it must not.
fn refusal_of_prompt(core: &Core, call: &Call, attempts: &mut Attempts) -> Option<Refusal> {
    let quarantined = lock(&core.watch).quarantined(&call.shared_parts);
    match quarantined {
        Some(part) => {
            let may_have_run = attempts.unknown_outcome.is_some() || attempts.broken > 0;
            Some(Refusal::Quarantined(part, may_have_run))
        }
        None if attempts.may_crash_more(call) => None,
        None => {
            let refusal = attempts.unknown_outcome.take();
            Some(refusal.unwrap_or(Refusal::Lost("two upstreams broke it off".into())))
        }
    }
}

/// Takes a retry of `call` from the budget, and returns whether it was granted.
fn take_retry(core: &Core, call: &Call, now: Instant) -> bool {
    let since_start = retries::elapsed(core.started, now);
    let mut retries = lock(&core.retries);
    let granted = retries.take(&call.service, since_start);
    if !granted {
        let budget = retries.budget(&call.service, since_start);
        info!(request = %call.id, service = %call.service, "retry: refused, {budget}");
    }
    core.metrics.record_retry(&call.service, granted);
    granted
}

/// Returns the last server error of an upstream if there was one, otherwise the refusal.
fn fallback(server_error: Option<Box<Answer>>, refusal: Refusal) -> Result<Answer, Refusal> {
    server_error.map(|answer| *answer).ok_or(refusal)
}

fn refusal(shortage: Shortage, attempts: &Attempts) -> Refusal {
    match shortage {
        Shortage::NoUpstream if attempts.sends > 0 => Refusal::Shed(SHED_RETRY_AFTER),
        Shortage::NoUpstream => Refusal::NoUpstream(NO_UPSTREAM_RETRY_AFTER),
        Shortage::Overloaded(excess) => Refusal::Overloaded(excess.max(SHED_RETRY_AFTER)),
    }
}

fn failure_name(failure: &Failure) -> &'static str {
    match failure {
        Failure::Unsent(_) => "unsent",
        Failure::NotRun => "not-run",
        Failure::Broken(_) | Failure::Unknown(_) => "unclear",
        Failure::TimedOut => "timed-out",
        Failure::ServerError(_) => "failed",
    }
}

fn log_failure(call: &Call, choice: &Choice, failure: &Failure) {
    let detail = match failure {
        Failure::Unsent(detail) | Failure::Broken(detail) | Failure::Unknown(detail) => {
            detail.as_str()
        }
        Failure::NotRun => "refused without running the request",
        Failure::TimedOut => "no answer in time",
        Failure::ServerError(_) => "server error, retrying at another upstream",
    };
    warn!(
        request = %call.id,
        upstream = %choice.upstream,
        parts = %call.shared_parts_text(),
        inputs = %choice.reason,
        "attempt: {}: {detail}",
        failure_name(failure)
    );
}

/// Sends a request to one upstream and returns the head of its answer.
async fn attempt(
    core: &Arc<Core>,
    call: &Call,
    mut ticket: Ticket,
    resume_after: Option<u64>,
    is_last: bool,
) -> Result<Answer, Failure> {
    let choice = ticket.choice().clone();
    let mut connection = match connect(core, call, &choice).await {
        Ok(connection) => connection,
        Err(detail) => {
            ticket.finish(Outcome::Unreachable);
            return Err(Failure::Unsent(detail));
        }
    };
    let time_left = call.time_left(Instant::now());
    let request = build_request(core, call, &choice, time_left, resume_after);
    let wait = head_timeout(call, &choice, time_left, is_last);
    let response = match timeout(wait, connection.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            ticket.finish(Outcome::Failed);
            crash::check(core, call, &choice);
            return Err(Failure::Broken(error.to_string()));
        }
        Err(_) => {
            ticket.finish(Outcome::Failed);
            return Err(Failure::TimedOut);
        }
    };
    let (parts, body) = response.into_parts();
    let reply = core.protocol.decode_reply(&parts);
    if let Some((running, waiting)) = reply.load {
        lock(&core.balancer).record_load(&choice, running, waiting, Instant::now());
    }
    let status = parts.status;
    let is_own = reply.id.as_ref() == Some(&call.id);
    if reply.limit.is_some() || is_own {
        record_limit(core, &choice, reply.limit, ticket.sent_at());
    }
    if reply.not_run || reply.other_upstream {
        ticket.finish(Outcome::Refused);
        return Err(Failure::NotRun);
    }
    if !call.route.kind.is_stream() && body.size_hint().lower() > MAX_ANSWER_BYTES {
        ticket.finish(Outcome::Failed);
        return Err(Failure::Unknown(format!(
            "the answer has more than {MAX_ANSWER_BYTES} bytes"
        )));
    }
    if !is_own || (status.is_success() && !reply.is_signed) {
        ticket.finish(Outcome::Failed);
        return Err(Failure::Unknown(format!(
            "answer {status} is not one to this request"
        )));
    }
    let answer = Answer {
        ticket,
        connection,
        response: Response::from_parts(parts, body),
        reply,
    };
    match should_retry(call, status) && !is_last {
        true => {
            let mut answer = Box::new(answer);
            answer.ticket.record_first_event();
            Err(Failure::ServerError(answer))
        }
        false => Ok(answer),
    }
}

/// Records the limit that an answer names, or that it names none.
fn record_limit(core: &Core, choice: &Choice, limit: Option<f64>, sent_at: Instant) {
    let now = Instant::now();
    let is_change = lock(&core.balancer).record_limit(choice, limit, sent_at, now);
    if is_change {
        core.report_now.notify_one();
    }
    match limit {
        _ if !is_change => {}
        Some(rate) => info!(upstream = %choice.upstream, rate, "limit: named by the upstream"),
        None => info!(upstream = %choice.upstream, "limit: no longer named by the upstream"),
    }
}

/// Reports whether a call that was answered with `status` should be retried at another upstream.
fn should_retry(call: &Call, status: StatusCode) -> bool {
    call.is_idempotent() && status.is_server_error()
}

/// Returns how long to wait for the head of an answer: until the deadline, or less if an idempotent
/// call can be retried.
fn head_timeout(call: &Call, choice: &Choice, time_left: Duration, is_last: bool) -> Duration {
    let target = call.route.target.mul_f64(HEAD_TIMEOUT_PER_TARGET);
    match call.is_idempotent() && !is_last {
        true => target.max(choice.expected_first_event * 3).min(time_left),
        false => time_left,
    }
}

/// Takes an idle connection from the pool, or opens one. A request that must not run twice gets a
/// new one, since an idle connection may be closed while the request is sent.
async fn connect(core: &Arc<Core>, call: &Call, choice: &Choice) -> Result<Connection, String> {
    let idle = match call.is_idempotent() {
        true => lock(&core.pool).take(choice, Instant::now()),
        false => None,
    };
    match idle {
        Some(connection) => Ok(connection),
        None => Connection::open(choice.address)
            .await
            .map_err(|error| error.to_string()),
    }
}

fn build_request(
    core: &Core,
    call: &Call,
    choice: &Choice,
    time_left: Duration,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let metadata = Metadata {
        upstream: &choice.upstream,
        time_left,
        account: call.account.as_ref().map(|account| &account.name),
        rank: call.prompt.as_ref().map(|_| call.rank()),
        fetch_from: choice.fetch_from,
        resume_after: resume_after.or(call.resume_after),
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = core.protocol.encode_headers(&call.headers, &metadata);
    request
}

/// Removes the hop-by-hop headers.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed {
        headers.remove(name.as_str());
    }
    for name in [
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
