//! Finds the buffered answer for a caller that reconnects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use config::ids::AccountId;
use config::keys::Secret;
use fleet::Control;
use futures_util::future::join_all;
use http::{HeaderMap, Method, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming as Streamed;
use tokio::sync::mpsc;
use tokio::time::timeout;
use upstream::SIGNATURE_HEADER;
use web::Framing;

use super::offer::rank_entries;
use super::presence::{self, any_unavailable};
use super::replay::Replay;
use super::{PATH, Record, fingerprint};
use crate::core::Core;
use crate::dispatch::{Answer, AnswerError, collect};
use crate::failure::{Failure, Kind};
use crate::incoming::Incoming;
use crate::reply::{Body, Reply};

/// Largest number of entries that are probed for one answer.
const MAX_PROBES: usize = 16;
/// Timeout for the response of an entry to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Events that are queued for a slow caller.
const CHANNEL_CAPACITY: usize = 32;
/// Largest answer without events that is read from another entry, in bytes.
const MAX_KEPT_BYTES: usize = 16 * 1_024 * 1_024;
/// Longest time between two parts of such an answer, which is sent at once.
const KEPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Header with the fingerprint of the caller's path and body.
const FINGERPRINT_HEADER: &str = "chervilloft-fingerprint";
/// Header with the account on whose behalf another entry follows an answer.
const ACCOUNT_HEADER: &str = "chervilloft-account";
/// Header with the caller's key.
const KEY_HEADER: &str = "idempotency-key";
/// Header with the number of the last event that the caller received.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Finds the answer that this or another entry buffers under the caller's key. Other entries are
/// probed only if the caller names a last event, or an entry is stopping or was lost.
///
/// # Errors
/// If the key was used for another call, or `Last-Event-ID` is not a number.
pub(crate) async fn find<C: Control>(
    core: &Arc<Core<C>>,
    incoming: &Incoming,
) -> Result<Option<Reply>, Failure> {
    let Some(key) = incoming.header(KEY_HEADER) else {
        return Ok(None);
    };
    let fingerprint = fingerprint(incoming.uri.path(), &incoming.body);
    let after = parse_last_event_id(&incoming.headers)?;
    if let Some(reply) = find_local(core, &incoming.account, key, after, Some(fingerprint)).await? {
        return Ok(Some(reply));
    }
    let unavailable = any_unavailable(&core.control.view().load().routes);
    match after > 0 || unavailable {
        true => Ok(find_remote(core, incoming, key, fingerprint).await),
        false => Ok(None),
    }
}

/// Answers `GET /v1/kept` with the answer that this entry buffers under the caller's key, and
/// `HEAD /v1/kept` with the identifier of its request.
///
/// # Errors
/// If no answer is buffered under the key, or the key was used for another call.
pub(crate) async fn answer_lookup<C: Control>(
    core: &Arc<Core<C>>,
    account: &str,
    method: &Method,
    headers: &HeaderMap,
) -> Result<Reply, Failure> {
    let header_text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let fingerprint =
        header_text(FINGERPRINT_HEADER).and_then(|fingerprint| fingerprint.parse().ok());
    let key = header_text(KEY_HEADER).unwrap_or_default();
    let missing = || Failure::new(Kind::NotFound, "no answer is kept here under this key");
    if method == Method::HEAD {
        let buffer = core.buffers.get(account, key).ok_or_else(missing)?;
        return Ok(Reply::full(
            StatusCode::OK,
            "text/plain",
            buffer.request.to_string(),
        ));
    }
    let buffer = find_local(
        core,
        account,
        key,
        parse_last_event_id(headers)?,
        fingerprint,
    )
    .await?;
    buffer.ok_or_else(missing)
}

async fn find_local<C: Control>(
    core: &Arc<Core<C>>,
    account: &str,
    key: &str,
    after: usize,
    fingerprint: Option<u64>,
) -> Result<Option<Reply>, Failure> {
    match core.buffers.get(account, key) {
        None => Ok(None),
        Some(buffer)
            if fingerprint.is_some_and(|fingerprint| fingerprint != buffer.fingerprint) =>
        {
            let message = "the idempotency key was used with another path or body";
            Err(Failure::new(Kind::KeyMismatch, message))
        }
        Some(buffer) => {
            tracing::info!(request = %buffer.request, account, after, "request: replayed to the caller that reconnected");
            let replay = Replay {
                buffer,
                after,
                keep_alive: core.settings.entry.keep_alive,
                guard: core.drain.enter(),
            };
            Ok(Some(replay.reply(&core.runtime).await))
        }
    }
}

async fn find_remote<C: Control>(
    core: &Arc<Core<C>>,
    incoming: &Incoming,
    key: &str,
    fingerprint: u64,
) -> Option<Reply> {
    let view = core.control.view().load_full();
    let own = presence::name(&core.settings.node);
    let addresses: Vec<SocketAddr> = rank_entries(&view.routes, &incoming.account, key, "")
        .into_iter()
        .filter(|route| route.announcement.upstream != own)
        .map(|route| route.announcement.address)
        .take(MAX_PROBES)
        .collect();
    let query = Query {
        key,
        fingerprint,
        authorization: incoming.header("authorization").unwrap_or_default(),
        after: incoming.header(LAST_EVENT_HEADER).unwrap_or_default(),
    };
    let probe = async |address| {
        let request = query.request(Method::HEAD, address)?;
        let answered = timeout(PROBE_TIMEOUT, core.plain_client.send(address, request)).await;
        let found = answered.ok()?.ok()?.status() != StatusCode::NOT_FOUND;
        found.then_some(address)
    };
    let probes = join_all(addresses.into_iter().map(probe)).await;
    let holder = probes.into_iter().flatten().next()?;
    let request = query.request(Method::GET, holder)?;
    let response = core.plain_client.send(holder, request).await.ok()?;
    Some(relay_response(core, response).await)
}

/// The headers of a request that asks another entry for a buffered answer.
struct Query<'q> {
    key: &'q str,
    fingerprint: u64,
    authorization: &'q str,
    after: &'q str,
}

impl Query<'_> {
    fn request(&self, method: Method, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
        Request::builder()
            .method(method)
            .uri(format!("http://{address}{PATH}"))
            .header(header::AUTHORIZATION, self.authorization)
            .header(KEY_HEADER, self.key)
            .header(LAST_EVENT_HEADER, self.after)
            .header(FINGERPRINT_HEADER, self.fingerprint)
            .body(Full::new(Bytes::new()))
            .ok()
    }
}

/// Relays the response of another entry to the caller.
async fn relay_response<C: Control>(core: &Arc<Core<C>>, response: Response<Streamed>) -> Reply {
    let framing = Framing::of(response.headers(), response.body());
    let (head, body) = response.into_parts();
    let kind = head.headers.get(header::CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or_default();
    let mut reply = Reply::full(head.status, kind, Bytes::new());
    match kind {
        "text/event-stream" => {
            let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
            reply.body = Body::Stream(receiver);
            let guard = core.drain.enter();
            core.runtime.spawn(async move {
                let _guard = guard;
                forward(body, framing, sender).await;
            });
        }
        _ => match collect_kept(&core.memory, Response::from_parts(head, body)).await {
            Ok(answer) => reply.body = Body::Held(answer.body),
            Err(error) => {
                tracing::warn!("request: the answer that another entry keeps is lost: {error}");
                reply.status = StatusCode::BAD_GATEWAY;
            }
        },
    }
    reply
}

/// Reads the body of an answer that another entry keeps.
///
/// # Errors
/// If it is not known to be complete, is too large or stalls, or if memory is short.
pub(crate) async fn collect_kept(
    memory: &web::Budget,
    response: Response<Streamed>,
) -> Result<Answer, AnswerError> {
    collect(response, memory, MAX_KEPT_BYTES, KEPT_TIMEOUT).await
}

/// Forwards the bytes of a stream. An empty item marks its end; without it, the caller's connection
/// is closed as incomplete.
async fn forward(mut body: Streamed, framing: Framing, sender: mpsc::Sender<Bytes>) {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return };
        let data = frame.into_data().unwrap_or_default();
        if !data.is_empty() && sender.send(data).await.is_err() {
            return;
        }
    }
    // Entries send chunks; without them, the stream may have been cut.
    if framing != Framing::Connection {
        let _ = sender.send(Bytes::new()).await;
    }
}

/// Returns a request to follow an answer at another entry, signed with the fleet's secret.
pub(crate) fn follow_request(
    successor: SocketAddr,
    secret: &Secret,
    record: &Record,
) -> Option<Request<Full<Bytes>>> {
    let signature = secret.sign(&follow_message(&record.account, record.key()));
    Request::builder()
        .method(Method::GET)
        .uri(format!("http://{successor}{PATH}"))
        .header(ACCOUNT_HEADER, record.account.as_str())
        .header(SIGNATURE_HEADER, signature)
        .header(KEY_HEADER, record.key())
        .header(LAST_EVENT_HEADER, record.emitted)
        .header(FINGERPRINT_HEADER, record.fingerprint)
        .body(Full::new(Bytes::new()))
        .ok()
}

/// Returns the account on whose behalf another entry follows an answer, if the request is signed
/// with the fleet's secret.
pub(crate) fn verify_follow_request(headers: &HeaderMap, secret: &Secret) -> Option<AccountId> {
    let header_text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let (account, key) = (header_text(ACCOUNT_HEADER)?, header_text(KEY_HEADER)?);
    let signature = header_text(SIGNATURE_HEADER)?;
    secret
        .verify(&follow_message(account, key), signature)
        .then(|| account.into())
}

fn follow_message(account: &str, key: &str) -> Vec<u8> {
    format!("follow {account} {key}").into_bytes()
}

fn parse_last_event_id(headers: &HeaderMap) -> Result<usize, Failure> {
    match headers
        .get(LAST_EVENT_HEADER)
        .map(http::HeaderValue::to_str)
    {
        None | Some(Ok("")) => Ok(0),
        Some(Ok(text)) => text.parse().map_err(|_| not_an_event_id()),
        Some(Err(_)) => Err(not_an_event_id()),
    }
}

fn not_an_event_id() -> Failure {
    let message = "header \"last-event-id\" must be the number of an event";
    Failure::new(Kind::Invalid, message)
}
