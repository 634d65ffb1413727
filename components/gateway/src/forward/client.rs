//! The entry that forwards a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;
use upstream::SIGNATURE_HEADER;
use wire::Forwarder;

use super::message::{self, Attempt, Failure, Reason, Served};
use crate::Tcp;
use crate::balancer::{Choice, Shortage};
use crate::call::Call;
use crate::connection::Connection;
use crate::core::{Core, lock};
use crate::dispatch::{self, Answer};
use crate::ticket::Ticket;

/// Time that the way through another entry may take beyond the time of the attempt.
const HOP_TIME: Duration = Duration::from_millis(250);

/// Why a forwarded attempt brought no answer.
pub(crate) enum Failed {
    /// The other entry did not make it, for this reason.
    Unable(String),
    /// The other entry found no upstream that takes it.
    Shortage(Shortage),
    /// It failed at an upstream, which is not known if the other entry did not answer.
    AtUpstream(Option<Box<Choice>>, dispatch::Failure),
}

/// Lets another entry make an attempt.
pub(crate) async fn attempt(
    core: &Arc<Core>,
    call: &Call,
    forwarder: &Forwarder,
    attempt: &Attempt,
) -> Result<Answer, Failed> {
    let opened = Connection::open(&Tcp, forwarder.address).await;
    let mut connection = opened.map_err(|error| Failed::Unable(error.to_string()))?;
    let request = build_request(core, call, attempt);
    let wait = match call.is_idempotent() && !attempt.is_last {
        true => dispatch::head_timeout(call, None) + HOP_TIME,
        false => attempt.time_left(),
    };
    let unclear = |failure| Failed::AtUpstream(None, failure);
    let sent = timeout(wait.min(attempt.time_left()), connection.send(request)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(unclear(dispatch::Failure::Broken(error.to_string()))),
        Err(_) => return Err(unclear(dispatch::Failure::TimedOut)),
    };
    accept(core, call, forwarder, connection, response)
}

fn build_request(core: &Core, call: &Call, attempt: &Attempt) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    headers.remove(http::header::CONTENT_LENGTH);
    headers.remove(http::header::EXPECT);
    let attempt = message::encode(attempt);
    let signature = core.member.sign(attempt.as_bytes());
    if let Ok(signature) = signature.parse() {
        headers.insert(SIGNATURE_HEADER, signature);
    }
    headers.insert(message::ATTEMPT, attempt);
    request
}

/// Reads the head of the other entry's answer.
fn accept(
    core: &Arc<Core>,
    call: &Call,
    forwarder: &Forwarder,
    connection: Connection,
    response: Response<Incoming>,
) -> Result<Answer, Failed> {
    let (mut parts, body) = response.into_parts();
    let choice = |served| choice(served, forwarder);
    if let Some(failure) = message::decode::<Failure>(&parts.headers, &message::FAILURE) {
        return Err(failed(failure, choice));
    }
    let served = message::decode::<Served>(&parts.headers, &message::SERVED);
    parts.headers.remove(message::SERVED);
    let Some(served) = served else {
        let detail = format!("entry {} did not name an upstream", forwarder.node);
        return Err(Failed::AtUpstream(None, dispatch::Failure::Unknown(detail)));
    };
    let choice = choice(served);
    let reply = core.protocol.decode_reply(&parts);
    if reply.leaving && !dispatch::is_stray(&reply, call) {
        lock(&core.balancer).record_leaving(&choice);
    }
    let checked = dispatch::check(call, &parts, &body, &reply);
    checked.map_err(|failure| Failed::AtUpstream(Some(Box::new(choice.clone())), failure))?;
    Ok(Answer {
        ticket: Ticket::uncounted(core, choice),
        connection,
        response: Response::from_parts(parts, body),
        reply,
        via: Some(forwarder.node.clone()),
    })
}

fn failed(failure: Failure, choice: impl FnOnce(Served) -> Choice) -> Failed {
    let at_upstream = |failed| {
        Failed::AtUpstream(
            failure.served.map(|served| Box::new(choice(served))),
            failed,
        )
    };
    match failure.reason {
        Reason::Unable(reason) => Failed::Unable(reason),
        Reason::NoUpstream => Failed::Shortage(Shortage::NoUpstream),
        Reason::Overloaded(ms) => Failed::Shortage(Shortage::Overloaded(Duration::from_millis(ms))),
        Reason::NotRun => at_upstream(dispatch::Failure::NotRun),
        Reason::Broken(detail) => at_upstream(dispatch::Failure::Broken(detail)),
        Reason::Unknown(detail) => at_upstream(dispatch::Failure::Unknown(detail)),
        Reason::TimedOut => at_upstream(dispatch::Failure::TimedOut),
    }
}

/// Returns the choice of the other entry, with that entry's address and without estimates.
fn choice(served: Served, forwarder: &Forwarder) -> Choice {
    let Forwarder { node, address } = forwarder;
    Choice {
        upstream: served.upstream,
        incarnation: served.incarnation,
        software: served.software,
        address: *address,
        fetch_from: None,
        is_taken: true,
        uncached_tokens: 0,
        cold_tokens: 0,
        queued_tokens: 0,
        in_flight: 0,
        expected_first_event: Duration::ZERO,
        work_ms: None,
        reason: compact_str::format_compact!("chosen by entry {node}"),
    }
}

impl Attempt {
    /// Creates the message that asks for the first attempt at `call`.
    pub(crate) fn new(core: &Core, call: &Call, now: Instant) -> Attempt {
        let time_left = call.time_left(now).as_millis();
        Attempt {
            entry: core.settings.node.clone(),
            request: call.id.clone(),
            version: call.version,
            service: call.service.clone(),
            account: call.account.as_ref().map(|account| account.name.clone()),
            software: None,
            excluded: Vec::new(),
            time_left_ms: u64::try_from(time_left).unwrap_or(u64::MAX),
            resume_after: call.resume_after,
            is_last: false,
        }
    }
}
