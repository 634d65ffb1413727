//! Transfer of KV state between engines.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{Method, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::batch::end_record;
use super::history::End;
use super::settings::Transfer;
use super::{Core, lock};
use crate::web::{self, Disconnect, Request, Response};

const CHUNK_BYTES: usize = 64 * 1_024;
const IMPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// KV state of one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct State {
    /// Seed of the generated text.
    #[serde(rename = "text")]
    pub(super) text_seed: u64,
    /// Number of prompt and answer tokens in the state.
    pub(super) tokens: usize,
    /// Size of the state in bytes.
    pub(super) bytes: usize,
}

/// Exported state, which other engines can fetch, and state imported from them; both by handle.
#[derive(Debug, Default)]
pub(super) struct Transfers {
    exported: IndexMap<String, State>,
    imported: IndexMap<String, State>,
}

impl Transfers {
    /// Returns the imported state with `handle`.
    pub(super) fn imported(&self, handle: &str) -> Option<&State> {
        self.imported.get(handle)
    }
}

#[derive(Deserialize)]
struct Export {
    request_id: String,
}

#[derive(Deserialize)]
struct Import {
    source: SocketAddr,
    handle: String,
}

/// Stops a request and exports its state.
pub(super) async fn export(core: &Core, request: Request) -> Result<Response, Disconnect> {
    let body = web::read_body(request).await?;
    let switches = lock(&core.switches).clone();
    if switches.die_on_export {
        core.lifecycle.kill();
        return Err(Disconnect);
    }
    match (
        core.settings.transfer,
        serde_json::from_slice::<Export>(&body),
    ) {
        (_, Err(cause)) => Ok(bad_request(&cause)),
        (None, _) => Ok(not_offered()),
        (Some(_), Ok(_)) if switches.refuse_export => Ok(injected_failure()),
        (Some(transfer), Ok(export)) => Ok(export_request(core, transfer, &export.request_id)),
    }
}

fn export_request(core: &Core, transfer: Transfer, request: &str) -> Response {
    let Some(job) = lock(&core.batch).remove(request) else {
        let message = format!("request \"{request}\" does not run here");
        return web::error(StatusCode::NOT_FOUND, "unknown_request", &message);
    };
    end_record(&mut lock(&core.history), &job, End::Exported);
    let computed = job.usage.prompt + job.position - job.to_compute.ceil() as usize;
    let state = State {
        text_seed: job.text_seed,
        tokens: computed,
        bytes: computed * transfer.bytes_per_token,
    };
    let mut transfers = lock(&core.transfers);
    let handle = format!("kv-{}-{}", core.settings.upstream, transfers.exported.len());
    let answer = json!({"handle": handle, "tokens": state.tokens, "bytes": state.bytes});
    transfers.exported.insert(handle, state);
    web::json(StatusCode::OK, &answer)
}

/// Sends exported state at the rate of the engine: a line of JSON, then as many bytes as it names.
pub(super) fn serve(core: &Core, handle: &str) -> Response {
    let state = lock(&core.transfers).exported.get(handle).cloned();
    match (core.settings.transfer, state) {
        (Some(transfer), Some(state)) => send(transfer, &state),
        _ => {
            let message = format!("state \"{handle}\" is not held here");
            web::error(StatusCode::NOT_FOUND, "unknown_handle", &message)
        }
    }
}

fn send(transfer: Transfer, state: &State) -> Response {
    let head = serde_json::to_string(state).expect("a state is JSON") + "\n";
    let chunks = stream::unfold(state.bytes, move |remaining| async move {
        let size = remaining.min(CHUNK_BYTES);
        if size == 0 {
            return None;
        }
        let send_time = Duration::from_secs_f64(size as f64 / transfer.bytes_per_second);
        tokio::time::sleep(send_time).await;
        let chunk = Bytes::from_static(&[0; CHUNK_BYTES]).slice(..size);
        Some((Ok(Frame::data(chunk)), remaining - size))
    });
    let first = stream::iter([Ok::<_, io::Error>(Frame::data(head.into()))]);
    let body = StreamBody::new(futures_util::StreamExt::chain(first, chunks));
    hyper::Response::new(body.boxed_unsync())
}

/// Imports state by fetching it from another engine.
pub(super) async fn import(core: Arc<Core>, request: Request) -> Result<Response, Disconnect> {
    let body = web::read_body(request).await?;
    let is_refused = lock(&core.switches).refuse_import;
    let import = match serde_json::from_slice::<Import>(&body) {
        Err(cause) => return Ok(bad_request(&cause)),
        Ok(_) if core.settings.transfer.is_none() => return Ok(not_offered()),
        Ok(_) if is_refused => return Ok(injected_failure()),
        Ok(import) => import,
    };
    match fetch(&import).await {
        Ok(state) => {
            let answer = json!({"handle": import.handle});
            lock(&core.transfers).imported.insert(import.handle, state);
            Ok(web::json(StatusCode::OK, &answer))
        }
        Err(cause) => {
            let status = StatusCode::BAD_GATEWAY;
            Ok(web::error(status, "import_failed", &cause.to_string()))
        }
    }
}

async fn fetch(import: &Import) -> io::Result<State> {
    let path = format!("/v1/kv/{}", import.handle);
    let answer = web::call(import.source, Method::GET, &path, "", IMPORT_TIMEOUT).await?;
    if answer.status != StatusCode::OK {
        return Err(io::Error::other(format!(
            "the source says {}",
            answer.status
        )));
    }
    let end = answer.body.iter().position(|byte| *byte == b'\n');
    let end = end.ok_or_else(|| io::Error::other("the state has no head"))?;
    let state: State = serde_json::from_slice(&answer.body[..end])?;
    match answer.body.len() - end - 1 {
        length if length == state.bytes => Ok(state),
        length => Err(io::Error::other(format!(
            "the state has {length} bytes in place of {}",
            state.bytes
        ))),
    }
}

fn bad_request(cause: &serde_json::Error) -> Response {
    let status = StatusCode::BAD_REQUEST;
    web::error(status, "invalid_request", &cause.to_string())
}

fn not_offered() -> Response {
    let message = "this engine does not move state";
    web::error(StatusCode::NOT_FOUND, "not_offered", message)
}

fn injected_failure() -> Response {
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    web::error(status, "failed", "a fault switch is on")
}
