//! HTTP server of the external interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use errors::Result;
use fleet::Leave;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use rand::RngExt;
use state::rollouts;
use state::text::Outcome;
use state::{Command, Output};
use tracing::{info, warn};
use upstream::Availability;
use wire::{Answer, Failure};

use super::{Operation, Protocol, Reply};
use crate::Node;
use crate::replica::Replica;

/// Timeout of receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which most bodies that are dropped for others make room.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest wait for a text to be in force at all entries in contact before it is acknowledged. The
/// text is durable before the wait. An operator who turns to another process meanwhile waits there.
const IN_FORCE_WAIT: Duration = Duration::from_secs(2);

/// Serves `address` on the current runtime.
///
/// # Errors
/// Fails when the address can't be listened on.
pub(crate) fn start<R>(
    node: Arc<Node<R>>,
    protocol: Arc<dyn Protocol>,
    address: SocketAddr,
) -> Result<web::Server>
where
    R: Replica<Command = Command, Output = Output>,
{
    let listener = web::listen(address)?;
    let settings = web::Settings {
        max_connections: node.settings.max_connections,
        ..web::Settings::default()
    };
    let metrics = node.metrics.clone();
    let serve = move |request, _| serve(node.clone(), protocol.clone(), request);
    let server = web::Server::start(listener, settings, serve);
    metrics.register(server.collectors());
    Ok(server)
}

async fn serve<R>(
    node: Arc<Node<R>>,
    protocol: Arc<dyn Protocol>,
    request: Request<Incoming>,
) -> Response<web::Body>
where
    R: Replica<Command = Command, Output = Output>,
{
    let (head, body) = request.into_parts();
    let limits = web::Limits {
        bytes: protocol.max_body_bytes(),
        time: BODY_TIMEOUT,
    };
    let body = match web::collect(body, &node.budget, limits).await {
        web::Collected::Complete(body) => body,
        web::Collected::TooLarge => return closing(StatusCode::PAYLOAD_TOO_LARGE),
        web::Collected::Dropped => return memory_short(),
        web::Collected::Incomplete(_) | web::Collected::TimedOut => {
            return closing(StatusCode::BAD_REQUEST);
        }
    };
    let request = Request::from_parts(head, body);
    let answer = match protocol.decode(&request) {
        Ok(operation) => protocol.encode(node.execute(operation).await),
        Err(rejection) => {
            let (method, path) = (request.method(), request.uri().path());
            warn!("control: refused {method} {path}: {}", rejection.reason);
            rejection.response
        }
    };
    answer.map(web::full)
}

/// Returns the answer to a request whose body is not read further.
fn closing(status: StatusCode) -> Response<web::Body> {
    let mut answer = Response::new(web::full(Bytes::new()));
    *answer.status_mut() = status;
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(header::CONNECTION, close);
    answer
}

/// Returns the answer to a request whose body was dropped before its end; it has not run.
fn memory_short() -> Response<web::Body> {
    let mut answer = closing(StatusCode::SERVICE_UNAVAILABLE);
    let after = MEMORY_RETRY_AFTER.mul_f64(rand::rng().random_range(0.5..1.5));
    if let Ok(after) = HeaderValue::try_from(format!("{:.3}", after.as_secs_f64())) {
        answer.headers_mut().insert(header::RETRY_AFTER, after);
    }
    answer
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Executes an operation of an upstream or operator, directly or through the leader.
    pub async fn execute(&self, operation: Operation) -> Reply {
        match operation {
            Operation::Announce(announcement) => {
                let upstream = announcement.upstream.clone();
                let leaves = announcement.availability != Availability::Serving;
                match self.handle_announcement(*announcement) {
                    Err(conflict) => {
                        warn!(upstream = %upstream, "control: refused an announcement: {conflict}");
                        Reply::Invalid(conflict.to_string())
                    }
                    Ok(()) if leaves => leave_reply(self.hold_leave(upstream).await),
                    Ok(()) => Reply::Acknowledged,
                }
            }
            Operation::Leave {
                upstream,
                incarnation,
            } => match self.handle_leave(&upstream, incarnation) {
                Leave::Outdated => Reply::Acknowledged,
                Leave::Marked(_) | Leave::Kept | Leave::Repeated => {
                    leave_reply(self.hold_leave(upstream).await)
                }
            },
            Operation::Replace(replacement) => {
                let version = replacement.version;
                let submitted = self.submit_replacement(replacement, IN_FORCE_WAIT).await;
                let reply = replace_reply(submitted);
                info!(version, "control: text {version} submitted: {reply:?}");
                reply
            }
            Operation::Read => match self.read_newest_text().await {
                Ok(Some(source)) => Reply::Text(source.to_string()),
                Ok(None) => Reply::NoText,
                Err(failure) => unavailable_reply(failure),
            },
            Operation::BeginRollout(order) => rollout_reply(self.order_rollout(order).await),
            Operation::ReadRollout(service) => match self.read_rollout(&service).await {
                Ok(Some(rollout)) => Reply::Rollout(rollout),
                Ok(None) => Reply::NoRollout,
                Err(failure) => unavailable_reply(failure),
            },
        }
    }
}

fn leave_reply(is_held: bool) -> Reply {
    match is_held {
        true => Reply::Acknowledged,
        false => Reply::Unavailable("too few others hold that the upstream leaves".to_owned()),
    }
}

fn replace_reply(answer: std::result::Result<Answer, Failure>) -> Reply {
    match answer {
        Ok(Answer::Submitted(submitted)) => match submitted.outcome {
            Outcome::Accepted { version } => Reply::Replaced { newest: version },
            Outcome::Superseded { newest } => Reply::Replaced { newest },
            outcome => Reply::Invalid(format!("the text was not taken: {outcome:?}")),
        },
        Ok(_) => Reply::Unavailable("the answer is of another kind".to_owned()),
        Err(Failure::Refused(reason)) => Reply::Invalid(reason.into()),
        Err(failure) => unavailable_reply(failure),
    }
}

fn rollout_reply(ordered: std::result::Result<rollouts::Outcome, Failure>) -> Reply {
    match ordered {
        Ok(rollouts::Outcome::Begun(_)) => Reply::Acknowledged,
        Ok(rollouts::Outcome::InProgress(to)) => {
            Reply::Conflict(format!("a roll-out to \"{to}\" is in progress"))
        }
        Err(Failure::Refused(reason)) => Reply::Invalid(reason.into()),
        Err(failure) => unavailable_reply(failure),
    }
}

fn unavailable_reply(failure: Failure) -> Reply {
    match failure {
        Failure::NoLeader => Reply::Unavailable("no leader is known".to_owned()),
        Failure::Uncertain(text) | Failure::Refused(text) => Reply::Unavailable(text.into()),
    }
}
