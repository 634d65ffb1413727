//! Finds the kept answer for a caller that comes back.

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

use super::offer::ranked;
use super::presence::{self, any_departed};
use super::replay::Replay;
use super::{PATH, Record, fingerprint};
use crate::core::Core;
use crate::failure::{Failure, Kind};
use crate::incoming::Incoming;
use crate::reply::{Body, Reply};

/// Entries that are asked for one answer.
const MAX_ASKED: usize = 16;
/// Longest wait for the word whether an entry keeps an answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Events that may wait for a slow caller.
const CHANNEL_EVENTS: usize = 32;
/// Header with the number of the caller's path and body.
const FINGERPRINT: &str = "chervilloft-fingerprint";
/// Header with the account for which another entry follows an answer.
const ACCOUNT: &str = "chervilloft-account";
/// Header with the caller's key.
const KEY: &str = "idempotency-key";
/// Header with the number of the last event that the caller has.
const AFTER: &str = "last-event-id";

/// Finds the answer that an entry keeps under the caller's key.
///
/// # Errors
/// If the key was used for another call, or `Last-Event-ID` is not a number.
pub(crate) async fn find<C: Control>(
    core: &Arc<Core<C>>,
    incoming: &Incoming,
) -> Result<Option<Reply>, Failure> {
    let Some(key) = incoming.header(KEY) else {
        return Ok(None);
    };
    let number = fingerprint(incoming.uri.path(), &incoming.body);
    let after = after(&incoming.headers)?;
    if let Some(reply) = here(core, &incoming.account, key, after, Some(number)).await? {
        return Ok(Some(reply));
    }
    let departed = any_departed(&core.control.view().load().routes);
    match after > 0 || departed {
        true => Ok(elsewhere(core, incoming, key, number).await),
        false => Ok(None),
    }
}

/// Answers `GET /v1/kept` with the answer that this entry keeps under the caller's key, and
/// `HEAD /v1/kept` with the word that there is one.
///
/// # Errors
/// If there is none.
pub(crate) async fn kept_here<C: Control>(
    core: &Arc<Core<C>>,
    account: &str,
    method: &Method,
    headers: &HeaderMap,
) -> Result<Reply, Failure> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let number = text(FINGERPRINT).and_then(|number| number.parse().ok());
    let key = text(KEY).unwrap_or_default();
    let missing = || Failure::new(Kind::NotFound, "no answer is kept here under this key");
    if method == Method::HEAD {
        let kept = core.kept.get(account, key).ok_or_else(missing)?;
        return Ok(Reply::whole(
            StatusCode::OK,
            "text/plain",
            kept.request.to_string(),
        ));
    }
    let kept = here(core, account, key, after(headers)?, number).await?;
    kept.ok_or_else(missing)
}

async fn here<C: Control>(
    core: &Arc<Core<C>>,
    account: &str,
    key: &str,
    after: usize,
    number: Option<u64>,
) -> Result<Option<Reply>, Failure> {
    match core.kept.get(account, key) {
        None => Ok(None),
        Some(kept) if number.is_some_and(|number| number != kept.fingerprint) => {
            let message = "the idempotency key was used with another path or body";
            Err(Failure::new(Kind::KeyMismatch, message))
        }
        Some(kept) => {
            tracing::info!(request = %kept.request, account, after, "request: given to the caller that came back");
            let replay = Replay {
                kept,
                after,
                keep_alive: core.settings.entry.keep_alive,
                busy: core.drain.enter(),
            };
            Ok(Some(replay.reply(&core.runtime).await))
        }
    }
}

async fn elsewhere<C: Control>(
    core: &Arc<Core<C>>,
    incoming: &Incoming,
    key: &str,
    number: u64,
) -> Option<Reply> {
    let view = core.control.view().load_full();
    let own = presence::name(&core.settings.node);
    let addresses: Vec<SocketAddr> = ranked(&view.routes, &incoming.account, key, "")
        .into_iter()
        .filter(|route| route.announcement.upstream != own)
        .map(|route| route.announcement.address)
        .take(MAX_ASKED)
        .collect();
    let question = Question {
        key,
        number,
        authorization: incoming.header("authorization").unwrap_or_default(),
        after: incoming.header(AFTER).unwrap_or_default(),
    };
    let probe = async |address| {
        let request = question.request(Method::HEAD, address)?;
        let answered = timeout(PROBE_TIMEOUT, core.plain.send(address, request)).await;
        let found = answered.ok()?.ok()?.status() != StatusCode::NOT_FOUND;
        found.then_some(address)
    };
    let probes = join_all(addresses.into_iter().map(probe)).await;
    let keeper = probes.into_iter().flatten().next()?;
    let request = question.request(Method::GET, keeper)?;
    let response = core.plain.send(keeper, request).await.ok()?;
    Some(pass_on(core, response).await)
}

/// What is asked of another entry.
struct Question<'q> {
    key: &'q str,
    number: u64,
    authorization: &'q str,
    after: &'q str,
}

impl Question<'_> {
    fn request(&self, method: Method, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
        Request::builder()
            .method(method)
            .uri(format!("http://{address}{PATH}"))
            .header(header::AUTHORIZATION, self.authorization)
            .header(KEY, self.key)
            .header(AFTER, self.after)
            .header(FINGERPRINT, self.number)
            .body(Full::new(Bytes::new()))
            .ok()
    }
}

/// Gives an answer of another entry to the caller.
async fn pass_on<C: Control>(core: &Arc<Core<C>>, response: Response<Streamed>) -> Reply {
    let (head, body) = response.into_parts();
    let kind = head.headers.get(header::CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or_default();
    let mut reply = Reply::whole(head.status, kind, Bytes::new());
    match kind {
        "text/event-stream" => {
            let (sender, receiver) = mpsc::channel(CHANNEL_EVENTS);
            reply.body = Body::Stream(receiver);
            let busy = core.drain.enter();
            core.runtime.spawn(async move {
                let _busy = busy;
                pipe(body, sender).await;
            });
        }
        _ => match body.collect().await {
            Ok(body) => reply.body = Body::Whole(body.to_bytes()),
            Err(_) => reply.status = StatusCode::BAD_GATEWAY,
        },
    }
    reply
}

/// Passes the bytes on; without the empty item at the end, the caller sees that it was cut.
async fn pipe(mut body: Streamed, sender: mpsc::Sender<Bytes>) {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return };
        let data = frame.into_data().unwrap_or_default();
        if !data.is_empty() && sender.send(data).await.is_err() {
            return;
        }
    }
    let _ = sender.send(Bytes::new()).await;
}

/// Returns a request by which one entry follows an answer at another, proven by the fleet's secret.
pub(crate) fn follow_request(
    keeper: SocketAddr,
    secret: &Secret,
    record: &Record,
) -> Option<Request<Full<Bytes>>> {
    let proof = secret.sign(&follow_text(&record.account, record.key()));
    Request::builder()
        .method(Method::GET)
        .uri(format!("http://{keeper}{PATH}"))
        .header(ACCOUNT, record.account.as_str())
        .header(SIGNATURE_HEADER, proof)
        .header(KEY, record.key())
        .header(AFTER, record.emitted)
        .header(FINGERPRINT, record.fingerprint)
        .body(Full::new(Bytes::new()))
        .ok()
}

/// Returns the account for which another entry follows an answer, if it proves to be one.
pub(crate) fn followed_account(headers: &HeaderMap, secret: &Secret) -> Option<AccountId> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let (account, key) = (text(ACCOUNT)?, text(KEY)?);
    let proof = text(SIGNATURE_HEADER)?;
    secret
        .verifies(&follow_text(account, key), proof)
        .then(|| account.into())
}

fn follow_text(account: &str, key: &str) -> Vec<u8> {
    format!("follow {account} {key}").into_bytes()
}

fn after(headers: &HeaderMap) -> Result<usize, Failure> {
    match headers.get(AFTER).map(http::HeaderValue::to_str) {
        None | Some(Ok("")) => Ok(0),
        Some(Ok(text)) => text.parse().map_err(|_| not_a_number()),
        Some(Err(_)) => Err(not_a_number()),
    }
}

fn not_a_number() -> Failure {
    let message = "header \"last-event-id\" must be the number of an event";
    Failure::new(Kind::Invalid, message)
}
