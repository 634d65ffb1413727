//! The HTTP API of a plain service.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method, StatusCode};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use super::switches::Action;
use super::{Core, Record, Switches, lock};
use crate::web::{self, Disconnect, Request, Response};

/// Response header of an upstream that did not run a call.
const NOT_RUN_HEADER: &str = "chervilloft-not-run";
const KEY_HEADER: &str = "idempotency-key";
const REQUEST_HEADER: &str = "chervilloft-request-id";

/// Returns the expected response body of a read of `path`.
pub fn read_answer(service: &str, path: &str) -> String {
    let reading = xxh3_64(path.as_bytes());
    json!({"service": service, "path": path, "reading": format!("{reading:016x}")}).to_string()
}

/// Returns the booking number of a call with `body`.
pub fn booking_number(body: &str) -> String {
    format!("B-{:08x}", xxh3_64(body.as_bytes()) as u32)
}

pub(super) async fn handle(core: Arc<Core>, request: Request) -> Result<Response, Disconnect> {
    match request.uri().path() {
        "/admin/ledger" => Ok(web::json(StatusCode::OK, &*lock(&core.ledger))),
        "/admin/switches" => set_switches(&core, request).await,
        _ => run(&core, request).await,
    }
}

async fn set_switches(core: &Core, request: Request) -> Result<Response, Disconnect> {
    let body = web::read_body(request).await?;
    match serde_json::from_slice::<Switches>(&body) {
        Ok(switches) => {
            *lock(&core.switches) = switches;
            Ok(web::text(StatusCode::OK, ""))
        }
        Err(cause) => Ok(web::error(
            StatusCode::BAD_REQUEST,
            "bad_switches",
            &cause.to_string(),
        )),
    }
}

async fn run(core: &Core, request: Request) -> Result<Response, Disconnect> {
    let action = lock(&core.switches).next_action();
    if action == Action::DropBefore {
        return Err(Disconnect);
    }
    let _guard = Guard::new(core);
    let call = match read_call(request).await {
        Ok(call) => call,
        Err(Disconnect) => {
            lock(&core.ledger).incomplete += 1;
            return Err(Disconnect);
        }
    };
    if action == Action::Refuse {
        lock(&core.ledger).refused.push(call);
        return Ok(refusal());
    }
    let count = lock(&core.ledger).record(call.clone());
    let delay = answer_delay(core);
    // Even a zero sleep waits for the next millisecond of the timer.
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    match action {
        Action::ExecuteThenDrop => Err(Disconnect),
        _ => Ok(answer(core, &call, count)),
    }
}

async fn read_call(request: Request) -> Result<Record, Disconnect> {
    let header = |headers: &HeaderMap, name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let mut call = Record {
        method: request.method().to_string(),
        path: request.uri().to_string(),
        key: header(request.headers(), KEY_HEADER),
        request: header(request.headers(), REQUEST_HEADER),
        body: String::new(),
    };
    let body = web::read_body(request).await?;
    call.body = String::from_utf8_lossy(&body).into_owned();
    Ok(call)
}

fn answer_delay(core: &Core) -> Duration {
    let executions = lock(&core.ledger).executions.len() as u64;
    let switches = lock(&core.switches);
    let jitter = match switches.jitter_ms {
        0 => 0,
        range => xxh3_64(&executions.to_le_bytes()) % range,
    };
    Duration::from_millis(switches.delay_ms + jitter)
}

fn answer(core: &Core, call: &Record, count: u32) -> Response {
    let service = &core.settings.service;
    let (read_bytes, stop_short) = {
        let switches = lock(&core.switches);
        (switches.read_bytes, switches.stop_short)
    };
    if call.method == Method::GET.as_str() && read_bytes > 0 {
        return web::filler(read_bytes, stop_short);
    }
    if call.method == Method::GET.as_str() {
        let body: serde_json::Value = serde_json::from_str(&read_answer(service, &call.path))
            .expect("the answer of a read is JSON");
        return web::json(StatusCode::OK, &body);
    }
    let body = json!({
        "service": service,
        "path": call.path,
        "booking": booking_number(&call.body),
        "key": call.key,
        "execution": count,
        "upstream": core.settings.upstream,
    });
    web::json(StatusCode::CREATED, &body)
}

fn refusal() -> Response {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut response = web::error(status, "busy", "the service did not run the call");
    let value = HeaderValue::from_static("true");
    response.headers_mut().insert(NOT_RUN_HEADER, value);
    response
}

/// Counts a call as running until dropped.
struct Guard<'a>(&'a Core);

impl<'a> Guard<'a> {
    fn new(core: &'a Core) -> Self {
        lock(&core.ledger).begin();
        Guard(core)
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        lock(&self.0.ledger).end();
    }
}
