//! The entry that makes an attempt for another one.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header, request};
use hyper::body::Incoming;
use upstream::SIGNATURE_HEADER;

use super::message::{self, Attempt, Failure, Reason, Served};
use crate::balancer::{Choice, Shortage};
use crate::call::{Admission, Call};
use crate::core::{Core, lock};
use crate::dispatch::{self, Answer, Attempts};
use crate::request_log::RequestLog;
use crate::ticket::Ticket;
use crate::{exchange, relay};

/// Answers a request that another entry forwards.
pub(crate) async fn serve(core: Arc<Core>, request: Request<Incoming>) -> Response<web::Body> {
    let arrived = Instant::now();
    let (mut parts, body) = request.into_parts();
    let Some(attempt) = verify(&core, &mut parts.headers) else {
        let mut answer = Response::new(web::empty());
        *answer.status_mut() = StatusCode::FORBIDDEN;
        return answer;
    };
    let mut request_log = RequestLog::new(&core, arrived);
    request_log.set_id(&attempt.request);
    request_log.set_forwarded_by(&attempt.entry);
    let limits = core.table.load().limits();
    let body_limits = web::Limits {
        bytes: limits.body_bytes,
        time: limits.idle_timeout,
    };
    let collected = tokio::select! {
        collected = web::collect(body, &core.budget, body_limits) => collected,
        () = core.drain.ended() => return refuse(request_log, unable("this entry stops")),
    };
    let bytes = match collected {
        web::Collected::Complete(bytes) => bytes,
        web::Collected::Dropped => {
            return refuse(request_log, unable("this entry is short of memory"));
        }
        _ => return refuse(request_log, unable("the body is not complete")),
    };
    let call = match admit(&core, &mut request_log, &attempt, parts, bytes, arrived) {
        Ok(call) => Arc::new(call),
        Err(failure) => return refuse(request_log, failure),
    };
    match send(&core, &call, &attempt, &mut request_log).await {
        Ok(answer) => {
            let served = message::encode(&served(answer.ticket.choice()));
            let attempts = Attempts::at(attempt.software);
            let mut answer = relay::relay(&core, call, answer, attempts, request_log);
            let headers = answer.headers_mut();
            // An upstream may have set it.
            headers.remove(message::FAILURE);
            headers.insert(message::SERVED, served);
            answer
        }
        Err(failure) => refuse(request_log, failure),
    }
}

/// Returns the message of a request that a process of the fleet has signed, and removes it.
fn verify(core: &Core, headers: &mut HeaderMap) -> Option<Attempt> {
    let signature = headers.remove(SIGNATURE_HEADER)?;
    let message = headers.get(message::ATTEMPT)?.as_bytes();
    let is_signed = core.member.verify(message, signature.to_str().ok()?);
    let attempt = message::decode(headers, &message::ATTEMPT);
    headers.remove(message::ATTEMPT);
    attempt.filter(|_| is_signed)
}

/// Finds the route and the account of a request that the other entry has admitted.
fn admit(
    core: &Core,
    request_log: &mut RequestLog,
    attempt: &Attempt,
    parts: request::Parts,
    body: Bytes,
    arrived: Instant,
) -> Result<Call, Failure> {
    let head = core.protocol.decode_head(&parts).map_err(unable)?;
    let table = core.table.load();
    if table.version() < attempt.version {
        return Err(unable(format!("text {} is in force", table.version())));
    }
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = table.route(host, parts.uri.path());
    let route = route.filter(|route| route.may_select(&attempt.service));
    let route = route.ok_or_else(|| unable("no route matches"))?;
    let wait = attempt.time_left();
    if !exchange::takes(core, route, head.prompt.as_ref(), arrived, wait) {
        return Err(unable("this entry stops"));
    }
    request_log.set_route(&route.name, table.version());
    let account = match &attempt.account {
        Some(name) => {
            request_log.set_account(name);
            let account = table.account_named(name);
            Some(account.ok_or_else(|| unable("the account is not known"))?)
        }
        None => None,
    };
    let admission = Admission {
        route: route.clone(),
        service: attempt.service.clone(),
        account: account.cloned(),
        version: table.version(),
        forwarded_by: Some(attempt.entry.clone()),
        arrived,
        deadline: arrived + attempt.time_left(),
    };
    Ok(Call::new(admission, head, parts, body))
}

/// Sends the request to an upstream. Only connections that can't be opened lead to a further one.
async fn send(
    core: &Arc<Core>,
    call: &Arc<Call>,
    attempt: &Attempt,
    request_log: &mut RequestLog,
) -> Result<Answer, Failure> {
    if lock(&core.balancer).has_no_place(&call.service, Instant::now()) {
        return Err(unable("this entry has no place at a brittle upstream"));
    }
    let mut excluded = attempt.excluded.clone();
    for _ in 0..dispatch::MAX_CONNECT_FAILURES {
        if lock(&core.reach).is_lost(&call.service) {
            return Err(unable("this entry reaches no upstream either"));
        }
        let software = attempt.software.as_ref();
        let criteria = dispatch::criteria(core, call, &excluded, software, attempt.resume_after);
        let choice = dispatch::choose(core, call, &criteria)
            .await
            .map_err(shortage)?;
        let ticket = Ticket::new(core, choice.clone());
        request_log.record_dispatch(&choice);
        let sent = dispatch::attempt(core, call, ticket, attempt.resume_after, attempt.is_last);
        let failure = match sent.await {
            Ok(answer) => return Ok(answer),
            Err(dispatch::Failure::ServerError(answer)) => return Ok(*answer),
            Err(failure) => failure,
        };
        failure.log(call, &choice);
        let reason = match failure {
            dispatch::Failure::Unsent(_)
            | dispatch::Failure::Withdrawn
            | dispatch::Failure::ServerError(_) => {
                excluded.push(choice.upstream);
                continue;
            }
            dispatch::Failure::NotRun => Reason::NotRun,
            dispatch::Failure::Broken(detail) => Reason::Broken(detail),
            dispatch::Failure::Unknown(detail) => Reason::Unknown(detail),
            dispatch::Failure::TimedOut => Reason::TimedOut,
        };
        let served = Some(served(&choice));
        return Err(Failure { served, reason });
    }
    Err(unable("no upstream accepted a connection"))
}

fn served(choice: &Choice) -> Served {
    Served {
        upstream: choice.upstream.clone(),
        incarnation: choice.incarnation,
        software: choice.software.clone(),
    }
}

fn unable(reason: impl Into<String>) -> Failure {
    let reason = Reason::Unable(reason.into());
    Failure {
        served: None,
        reason,
    }
}

fn shortage(shortage: Shortage) -> Failure {
    let reason = match shortage {
        Shortage::NoUpstream => Reason::NoUpstream,
        Shortage::Overloaded(excess) => {
            Reason::Overloaded(u64::try_from(excess.as_millis()).unwrap_or(u64::MAX))
        }
    };
    Failure {
        served: None,
        reason,
    }
}

fn refuse(mut request_log: RequestLog, failure: Failure) -> Response<web::Body> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    request_log.set_outcome(
        format!("not-answered, {:?}", failure.reason),
        status.as_u16(),
    );
    let mut answer = Response::new(web::empty());
    *answer.status_mut() = status;
    let failure = message::encode(&failure);
    answer.headers_mut().insert(message::FAILURE, failure);
    answer
}
