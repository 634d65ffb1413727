//! One attempt: sends a request to one upstream, and reads the head of its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use config::ids::NodeId;
use http::{Request, Response, StatusCode, response};
use http_body::Body;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;
use tracing::warn;

use super::reply;
use crate::balancer::{Choice, Outcome};
use crate::call::Call;
use crate::connection::Connection;
use crate::core::{Core, lock};
use crate::relay::MAX_ANSWER_BYTES;
use crate::ticket::Ticket;
use crate::{Metadata, Reply, crash, reach};

/// Time to the head of an answer after which an idempotent call is retried at another upstream,
/// relative to the latency target.
const HEAD_TIMEOUT_PER_TARGET: f64 = 1.0;

/// An upstream's answer whose head has been received.
pub(crate) struct Answer {
    pub(crate) ticket: Ticket,
    pub(crate) connection: Connection,
    pub(crate) response: Response<Incoming>,
    pub(crate) reply: Reply,
    /// Entry that chose the upstream and passes the answer on; `None` for this one.
    pub(crate) via: Option<NodeId>,
}

/// Reason for which an attempt failed.
pub(crate) enum Failure {
    /// No connection could be opened, and nothing was sent.
    Unsent(String),
    /// While the connection was opened, the upstream said that it takes no requests for now or is
    /// leaving, and nothing was sent.
    Withdrawn,
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

impl Failure {
    /// Returns the name for logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Failure::Unsent(_) => "unsent",
            Failure::Withdrawn => "withdrawn",
            Failure::NotRun => "not-run",
            Failure::Broken(_) | Failure::Unknown(_) => "unclear",
            Failure::TimedOut => "timed-out",
            Failure::ServerError(_) => "failed",
        }
    }

    /// Logs the failure of an attempt at the upstream of `choice`.
    pub(crate) fn log(&self, call: &Call, choice: &Choice) {
        let detail = match self {
            Failure::Unsent(detail) | Failure::Broken(detail) | Failure::Unknown(detail) => {
                detail.as_str()
            }
            Failure::Withdrawn => "the upstream takes no requests since it was chosen",
            Failure::NotRun => "refused without running the request",
            Failure::TimedOut => "no answer in time",
            Failure::ServerError(_) => "server error, retrying at another upstream",
        };
        warn!(
            request = %call.id,
            upstream = %choice.upstream,
            fingerprint = %format_args!("{:x}", call.fingerprint),
            parts = %call.shared_parts_text(),
            inputs = %choice.reason,
            "attempt: {}: {detail}",
            self.name()
        );
    }
}

/// Sends a request to one upstream and returns the head of its answer.
pub(crate) async fn attempt(
    core: &Arc<Core>,
    call: &Arc<Call>,
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
    let now = Instant::now();
    if !lock(&core.balancer).takes_requests(&choice, now) {
        ticket.finish(Outcome::Unsent);
        return Err(Failure::Withdrawn);
    }
    ticket.count(call);
    let time_left = call.time_left(now);
    let request = build_request(core, call, &choice, time_left, resume_after);
    let wait = match call.is_idempotent() && !is_last {
        true => head_timeout(call, Some(&choice)).min(time_left),
        false => time_left,
    };
    let response = match timeout(wait, connection.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            ticket.finish(Outcome::Failed);
            crash::check(core, call, &choice);
            return Err(Failure::Broken(error.to_string()));
        }
        Err(_) => {
            ticket.finish(Outcome::Failed);
            reach::check(core, &call.service, &choice.upstream, choice.address);
            return Err(Failure::TimedOut);
        }
    };
    let (parts, body) = response.into_parts();
    let reply = core.protocol.decode_reply(&parts);
    let status = parts.status;
    reply::record(core, call, &choice, &reply, ticket.sent_at());
    if let Err(failure) = check(call, &parts, &body, &reply) {
        ticket.finish(match failure {
            Failure::NotRun => Outcome::Refused,
            _ => Outcome::Failed,
        });
        return Err(failure);
    }
    ticket.record_taken();
    if status.is_server_error() {
        ticket.record_server_error();
    }
    let answer = Answer {
        ticket,
        connection,
        response: Response::from_parts(parts, body),
        reply,
        via: None,
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

/// Checks that an answer is one to this request and that the upstream has run it.
///
/// # Errors
/// Returns the failure that the answer is.
pub(crate) fn check(
    call: &Call,
    parts: &response::Parts,
    body: &Incoming,
    reply: &Reply,
) -> Result<(), Failure> {
    let status = parts.status;
    let is_own = reply.id.as_ref() == Some(&call.id);
    if reply::is_stray(reply, call) {
        return Err(Failure::Unknown("an answer to another request".to_owned()));
    }
    if !web::is_final_status(status) {
        return Err(Failure::Unknown(format!(
            "{status} is no status of an answer"
        )));
    }
    if reply.not_run || reply.other_upstream {
        return Err(Failure::NotRun);
    }
    if !call.route.kind.is_stream() && body.size_hint().lower() > MAX_ANSWER_BYTES {
        let detail = format!("the answer has more than {MAX_ANSWER_BYTES} bytes");
        return Err(Failure::Unknown(detail));
    }
    if !is_own || (status.is_success() && !reply.is_signed) {
        let detail = format!("answer {status} is not one to this request");
        return Err(Failure::Unknown(detail));
    }
    Ok(())
}

/// Reports whether a call that was answered with `status` should be retried at another upstream.
fn should_retry(call: &Call, status: StatusCode) -> bool {
    call.is_idempotent() && status.is_server_error()
}

/// Returns how long to wait for the head of an answer of an idempotent call that can be retried,
/// from the upstream of `choice` if it is known.
pub(crate) fn head_timeout(call: &Call, choice: Option<&Choice>) -> Duration {
    let target = call.route.target.mul_f64(HEAD_TIMEOUT_PER_TARGET);
    choice.map_or(target, |choice| target.max(choice.expected_first_event * 3))
}

/// Takes an idle connection from the pool, or opens one. A request that must not run twice gets a
/// new one, since an idle connection may be closed while the request is sent.
async fn connect(core: &Arc<Core>, call: &Call, choice: &Choice) -> Result<Connection, String> {
    let idle = match call.is_idempotent() {
        true => lock(&core.pool).take(choice, Instant::now()),
        false => None,
    };
    if let Some(connection) = idle {
        return Ok(connection);
    }
    let opened = Connection::open(&*core.settings.network, choice.address).await;
    reach::record(core, &call.service, &choice.upstream, opened.is_ok());
    opened.map_err(|error| error.to_string())
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
