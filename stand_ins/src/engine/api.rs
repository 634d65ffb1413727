//! The HTTP API of an engine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::json;

use super::batch::end_record;
use super::generate::{self, Api};
use super::history::End;
use super::{Core, Switches, kv, lock, orders};
use crate::web::{self, Disconnect, Request, Response};

pub(super) async fn handle(core: Arc<Core>, request: Request) -> Result<Response, Disconnect> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"]) => {
            generate::handle(core, request, Api::Chat).await
        }
        (&Method::POST, ["v1", "completions"]) => generate::handle(core, request, Api::Text).await,
        (&Method::POST, ["v1", "requests", id, "cancel"]) => Ok(cancel(&core, id)),
        (&Method::POST, ["v1", "kv", "export"]) => kv::export(&core, request).await,
        (&Method::POST, ["v1", "kv", "import"]) => kv::import(core, request).await,
        (&Method::GET, ["v1", "kv", handle]) => Ok(kv::serve(&core, handle)),
        (&Method::POST, ["v1", "orders"]) => orders::handle(core, request).await,
        (&Method::POST, ["admin", ..]) => admin(&core, request).await,
        (&Method::GET, _) => Ok(read(&core, &request, &parts)),
        _ => Ok(not_found(&path)),
    }
}

fn read(core: &Core, request: &Request, parts: &[&str]) -> Response {
    match parts {
        ["v1", "cache", "events"] => {
            let after = web::query_parameter(request.uri(), "after").and_then(|n| n.parse().ok());
            let page = lock(&core.cache).page(after.unwrap_or(0), Instant::now());
            web::json(StatusCode::OK, &page)
        }
        ["v1", "cache", "blocks"] => web::json(StatusCode::OK, &lock(&core.cache).contents()),
        ["v1", "state"] => state(core),
        ["v1", "models"] => models(core),
        ["admin", "history"] => web::json(StatusCode::OK, &lock(&core.history).records()),
        ["admin", "orders"] => web::json(StatusCode::OK, &lock(&core.status).orders),
        ["healthz"] => web::text(StatusCode::OK, "ok\n"),
        _ => not_found(request.uri().path()),
    }
}

fn state(core: &Core) -> Response {
    let load = lock(&core.batch).load();
    let status = lock(&core.status);
    let body = json!({
        "fence": status.fence,
        "role": status.role,
        "models": status.models,
        "draining": status.draining,
        "running": load.running,
        "waiting": load.waiting,
    });
    web::json(StatusCode::OK, &body)
}

fn models(core: &Core) -> Response {
    let status = lock(&core.status);
    let names = status.models.iter().map(|served| &served.model);
    let data: Vec<_> = names
        .map(|name| json!({"id": name, "object": "model", "created": 0, "owned_by": "engine"}))
        .collect();
    web::json(StatusCode::OK, &json!({"object": "list", "data": data}))
}

fn cancel(core: &Core, request: &str) -> Response {
    if let Some(job) = lock(&core.batch).remove(request) {
        end_record(&mut lock(&core.history), &job, End::Cancelled);
    }
    web::json(StatusCode::OK, &json!({}))
}

#[derive(Deserialize)]
struct Reclaim {
    in_ms: u64,
}

async fn admin(core: &Core, request: Request) -> Result<Response, Disconnect> {
    let path = request.uri().path().to_owned();
    let body = web::read_body(request).await?;
    let done = || web::json(StatusCode::OK, &json!({}));
    let bad_request = |cause: serde_json::Error| {
        web::error(
            StatusCode::BAD_REQUEST,
            "invalid_request",
            &cause.to_string(),
        )
    };
    Ok(match path.as_str() {
        "/admin/switches" => match serde_json::from_slice::<Switches>(&body) {
            Ok(switches) => {
                *lock(&core.switches) = switches;
                done()
            }
            Err(cause) => bad_request(cause),
        },
        "/admin/reclaim" => match serde_json::from_slice::<Reclaim>(&body) {
            Ok(reclaim) => {
                core.reclaim(Duration::from_millis(reclaim.in_ms));
                done()
            }
            Err(cause) => bad_request(cause),
        },
        "/admin/clear-cache" => {
            orders::clear_cache(core);
            done()
        }
        _ => not_found(&path),
    })
}

fn not_found(path: &str) -> Response {
    let message = format!("nothing is served at \"{path}\"");
    web::error(StatusCode::NOT_FOUND, "not_found", &message)
}
