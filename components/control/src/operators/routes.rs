//! Handlers of operators' requests.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use config::ids::{ServiceId, Version};
use serde::Deserialize;
use serde_json::{Value, json};
use state::rollouts;
use state::text::{MAX_TEXT_BYTES, Outcome, Submission};
use tokio::task::consume_budget;
use tokio::time::timeout;
use web::{Budget, Reading, Shortage};
use wire::{Answer, Body, Failure, Query, Submitted};
use xitca_web::WebContext;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};
use xitca_web::handler::body;
use xitca_web::http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER,
};
use xitca_web::http::{HeaderValue, StatusCode, WebResponse};

use super::Handle;

type Context<'a> = WebContext<'a, Handle>;

/// Largest request body, in bytes: a text as a JSON string, in which every byte may be escaped.
const MAX_BODY_BYTES: usize = 2 * MAX_TEXT_BYTES + 4_096;
/// Largest body of an order of a roll-out, in bytes.
const MAX_ORDER_BYTES: usize = 4_096;
/// Longest time from an order of a roll-out to its deadline, in milliseconds.
const MAX_ROLLOUT_MS: u64 = 7 * 24 * 3_600 * 1_000;
/// Timeout of receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which most bodies that are dropped for others make room, in seconds.
const MEMORY_RETRY_AFTER_S: &str = "1";
/// Default of the longest wait for a text to be in force, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 10_000;

/// Body of `POST /v1/text`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Posted {
    base: Version,
    id: CompactString,
    text: String,
    wait_ms: Option<u64>,
}

/// Body of `POST /v1/rollouts`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PostedOrder {
    service: ServiceId,
    to: CompactString,
    duration_ms: u64,
}

pub(super) async fn health(_: &Context<'_>) -> WebResponse {
    json_response(StatusCode::OK, &json!({ "status": "alive" }))
}

pub(super) async fn ready(ctx: &Context<'_>) -> WebResponse {
    match ctx.state().call(Body::Query(Query::Text)).await {
        Ok(_) => json_response(StatusCode::OK, &json!({ "status": "ready" })),
        Err(failure) => failure_response(failure),
    }
}

pub(super) async fn metrics(ctx: &Context<'_>) -> WebResponse {
    ctx.state().budget.update_metrics();
    response(
        StatusCode::OK,
        "text/plain; version=0.0.4",
        ctx.state().metrics.render(),
    )
}

pub(super) async fn text(ctx: &Context<'_>) -> WebResponse {
    query(ctx, Query::Text).await
}

pub(super) async fn status(ctx: &Context<'_>) -> WebResponse {
    query(ctx, Query::Status).await
}

pub(super) async fn unknowns(ctx: &Context<'_>) -> WebResponse {
    query(ctx, Query::Unknowns).await
}

pub(super) async fn ledger(ctx: &Context<'_>) -> WebResponse {
    query(ctx, Query::Ledger).await
}

pub(super) async fn orders(ctx: &Context<'_>) -> WebResponse {
    query(ctx, Query::Orders).await
}

pub(super) async fn rollouts(ctx: &Context<'_>) -> WebResponse {
    query(ctx, Query::Rollouts).await
}

pub(super) async fn begin_rollout(
    ctx: &Context<'_>,
    body::Body(body): body::Body<RequestBody>,
) -> WebResponse {
    if operator(ctx).is_none() {
        return unauthorized_response();
    }
    let bytes = match read_in_time(ctx, body, MAX_ORDER_BYTES).await {
        Ok(bytes) => bytes,
        Err(refusal) => return refusal,
    };
    let order: PostedOrder = match serde_json::from_slice(&bytes) {
        Ok(order) => order,
        Err(message) => return error(StatusCode::BAD_REQUEST, "bad_body", &message.to_string()),
    };
    if order.to.is_empty() || !(1..=MAX_ROLLOUT_MS).contains(&order.duration_ms) {
        let message = format!("\"to\" is empty, or \"duration_ms\" not 1 to {MAX_ROLLOUT_MS}");
        return error(StatusCode::BAD_REQUEST, "bad_body", &message);
    }
    let order = rollouts::Order {
        service: order.service,
        to: order.to,
        duration_ms: order.duration_ms,
    };
    match ctx.state().call(Body::BeginRollout(order)).await {
        Ok(Answer::Rollout(rollouts::Outcome::Begun(number))) => {
            json_response(StatusCode::OK, &json!({ "number": number }))
        }
        Ok(Answer::Rollout(rollouts::Outcome::InProgress(to))) => {
            let message = format!("a roll-out to \"{to}\" is in progress");
            error(StatusCode::CONFLICT, "in_progress", &message)
        }
        Ok(_) => failure_response(Failure::Uncertain("answer is of another kind".into())),
        Err(failure) => failure_response(failure),
    }
}

pub(super) async fn submit(
    ctx: &Context<'_>,
    body::Body(body): body::Body<RequestBody>,
) -> WebResponse {
    let Some(operator) = operator(ctx) else {
        return unauthorized_response();
    };
    let bytes = match read_in_time(ctx, body, MAX_BODY_BYTES).await {
        Ok(bytes) => bytes,
        Err(refusal) => return refusal,
    };
    let body: Posted = match serde_json::from_slice(&bytes) {
        Ok(body) => body,
        Err(message) => return error(StatusCode::BAD_REQUEST, "bad_body", &message.to_string()),
    };
    if body.id.is_empty() {
        let message = "\"id\" is empty; choose one and keep it for resends";
        return error(StatusCode::BAD_REQUEST, "bad_body", message);
    }
    let submission = Submission {
        id: body.id,
        base: body.base,
        operator,
        source: body.text,
    };
    let wait_ms = body.wait_ms.unwrap_or(DEFAULT_WAIT_MS);
    let request = Body::Submit {
        submission,
        wait_ms,
    };
    match ctx.state().call(request).await {
        Ok(Answer::Submitted(submitted)) => submitted_response(&submitted),
        Ok(_) => failure_response(Failure::Uncertain("answer is of another kind".into())),
        Err(failure) => failure_response(failure),
    }
}

async fn query(ctx: &Context<'_>, query: Query) -> WebResponse {
    if operator(ctx).is_none() {
        return unauthorized_response();
    }
    match ctx.state().call(Body::Query(query)).await {
        Ok(Answer::Document(document)) => {
            response(StatusCode::OK, "application/json", document.into_bytes())
        }
        Ok(_) => failure_response(Failure::Uncertain("answer is of another kind".into())),
        Err(failure) => failure_response(failure),
    }
}

/// Reads a body of at most `max_bytes` within [`BODY_TIMEOUT`].
async fn read_in_time(
    ctx: &Context<'_>,
    body: RequestBody,
    max_bytes: usize,
) -> Result<Bytes, WebResponse> {
    let announced = ctx.req().headers().get(CONTENT_LENGTH);
    let announced = announced.and_then(|length| length.to_str().ok()?.parse().ok());
    let reading = read(body, &ctx.state().budget, announced, max_bytes);
    match timeout(BODY_TIMEOUT, reading).await {
        Ok(read) => read,
        Err(_) => Err(closing(error(
            StatusCode::REQUEST_TIMEOUT,
            "slow_body",
            "body took too long",
        ))),
    }
}

/// Reads a body of which `announced` bytes were announced, if any were.
async fn read(
    body: RequestBody,
    budget: &Budget,
    announced: Option<usize>,
    max_bytes: usize,
) -> Result<Bytes, WebResponse> {
    if announced.is_some_and(|announced| announced > max_bytes) {
        return Err(refused(Shortage::TooLarge));
    }
    let mut body = std::pin::pin!(body);
    let mut reading = Reading::new(budget, max_bytes);
    loop {
        // Parts that have arrived together are ready without a wait. Without turns between tiny ones, a crowd kept
        // the thread from accepting connections for a minute.
        consume_budget().await;
        let mut next = body.as_mut();
        let part = tokio::select! {
            biased;
            () = reading.wait_until_dropped() => return Err(refused(Shortage::Dropped)),
            part = next.data() => part,
        };
        match part {
            None => return reading.finish().map_err(refused),
            Some(Ok(part)) => {
                let is_last = announced == Some(part.len());
                reading.push(part, is_last).map_err(refused)?;
            }
            Some(Err(message)) => {
                return Err(closing(error(
                    StatusCode::BAD_REQUEST,
                    "bad_body",
                    &message.to_string(),
                )));
            }
        }
    }
}

/// Returns the response to a request whose body is not read further; it has not run.
fn refused(shortage: Shortage) -> WebResponse {
    let mut response = match shortage {
        Shortage::TooLarge => {
            let message = format!("body is larger than {MAX_BODY_BYTES} bytes");
            error(StatusCode::PAYLOAD_TOO_LARGE, "too_large", &message)
        }
        Shortage::Dropped => {
            let message = "the process is short of memory; nothing was changed";
            error(StatusCode::SERVICE_UNAVAILABLE, "memory_short", message)
        }
    };
    if shortage == Shortage::Dropped {
        let after = HeaderValue::from_static(MEMORY_RETRY_AFTER_S);
        response.headers_mut().insert(RETRY_AFTER, after);
    }
    closing(response)
}

/// Closes the connection after a response: the rest of the body is not read.
fn closing(mut response: WebResponse) -> WebResponse {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

fn operator(ctx: &Context<'_>) -> Option<CompactString> {
    let header = ctx.req().headers().get(AUTHORIZATION)?.to_str().ok()?;
    let bearer = header.strip_prefix("Bearer ")?;
    ctx.state().keys.operator_of(bearer).cloned()
}

fn submitted_response(submitted: &Submitted) -> WebResponse {
    let Submitted {
        newest, missing, ..
    } = submitted;
    match submitted.outcome {
        Outcome::Accepted { version } if missing.is_empty() => json_response(
            StatusCode::OK,
            &json!({ "version": version, "in_force": true, "newest": newest, "missing": [] }),
        ),
        Outcome::Accepted { version } => json_response(
            StatusCode::ACCEPTED,
            &json!({ "version": version, "in_force": false, "newest": newest, "missing": missing }),
        ),
        Outcome::Conflict { newest: first } => json_response(
            StatusCode::CONFLICT,
            &json!({
                "error": {
                    "code": "conflict",
                    "message": format!("version {first} was the newest; edit it and submit again"),
                },
                "newest": newest,
                "difference": submitted.difference,
            }),
        ),
        Outcome::Superseded { newest } => {
            let message = format!("version {newest} is in force");
            error(StatusCode::CONFLICT, "superseded", &message)
        }
        Outcome::Reused => {
            let message = "the submission id was used with another base or text";
            error(StatusCode::UNPROCESSABLE_ENTITY, "reused_id", message)
        }
        Outcome::TooLarge => {
            let message = format!("text is larger than {MAX_TEXT_BYTES} bytes");
            error(StatusCode::PAYLOAD_TOO_LARGE, "too_large", &message)
        }
    }
}

fn failure_response(failure: Failure) -> WebResponse {
    match failure {
        Failure::NoLeader => error(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_leader",
            "no leader is known; nothing was changed",
        ),
        Failure::Uncertain(message) => error(
            StatusCode::SERVICE_UNAVAILABLE,
            "uncertain",
            &format!("{message}; send it again with the same id"),
        ),
        Failure::Refused(message) => error(StatusCode::UNPROCESSABLE_ENTITY, "refused", &message),
    }
}

fn unauthorized_response() -> WebResponse {
    let message = "an operator's bearer token is needed";
    error(StatusCode::UNAUTHORIZED, "unauthorized", message)
}

fn error(status: StatusCode, code: &str, message: &str) -> WebResponse {
    let body = json!({ "error": { "code": code, "message": message } });
    json_response(status, &body)
}

fn json_response(status: StatusCode, body: &Value) -> WebResponse {
    response(status, "application/json", body.to_string().into_bytes())
}

fn response(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
