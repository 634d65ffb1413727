//! The admin API of a relay over HTTP.

use std::sync::Arc;

use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::json;

use super::{Core, Mode, Scope};
use crate::web::{self, Disconnect, Request, Response};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    scope: Scope,
    mode: Mode,
}

pub(super) async fn handle(core: Arc<Core>, request: Request) -> Result<Response, Disconnect> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/admin/connections") => {
            let connections = core.connections();
            let open: Vec<_> = connections.open.keys().collect();
            let body = json!({"open": open, "opened": connections.total});
            Ok(web::json(StatusCode::OK, &body))
        }
        (&Method::POST, "/admin/mode") => {
            let body = web::read_body(request).await?;
            Ok(change(&core, &body))
        }
        (_, path) => {
            let message = format!("nothing is served at \"{path}\"");
            Ok(web::error(StatusCode::NOT_FOUND, "not_found", &message))
        }
    }
}

fn change(core: &Core, body: &[u8]) -> Response {
    match serde_json::from_slice::<Change>(body) {
        Ok(Change { scope, mode }) => {
            core.set_mode(scope, mode);
            web::json(StatusCode::OK, &json!({}))
        }
        Err(cause) => web::error(
            StatusCode::BAD_REQUEST,
            "invalid_request",
            &cause.to_string(),
        ),
    }
}
