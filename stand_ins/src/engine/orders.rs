//! Execution of orders; each order sets a state and is idempotent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use config::ids::ModelId;
use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::json;
use upstream::{Role, Served};

use super::settings::Fencing;
use super::status::Status;
use super::{Core, lock};
use crate::web::{self, Disconnect, Request, Response};

const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(600);

#[derive(Debug, Deserialize)]
struct FencedOrder {
    fence: u64,
    order: Order,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Order {
    Load(Served),
    Unload {
        model: ModelId,
        version: CompactString,
    },
    Role(Role),
    Drain(bool),
}

pub(super) async fn handle(core: Arc<Core>, request: Request) -> Result<Response, Disconnect> {
    let body = web::read_body(request).await?;
    match serde_json::from_slice::<FencedOrder>(&body) {
        Ok(fenced) => Ok(apply(&core, fenced)),
        Err(cause) => Ok(web::error(
            StatusCode::BAD_REQUEST,
            "invalid_order",
            &cause.to_string(),
        )),
    }
}

fn apply(core: &Arc<Core>, fenced: FencedOrder) -> Response {
    let mut status = lock(&core.status);
    let newest = status.fence;
    if core.settings.fencing == Fencing::Checked && fenced.fence < newest {
        let body = json!({"error": {"code": "stale_fence"}, "fence": newest});
        return web::json(StatusCode::CONFLICT, &body);
    }
    status.fence = newest.max(fenced.fence);
    status.orders.push(format!("{:?}", fenced.order));
    match fenced.order {
        Order::Load(served) => load(core, &mut status, served),
        Order::Unload { model, version } => {
            status.requested.shift_remove(&model);
            let keep = |s: &Served| s.model != model || s.version != version;
            status.models.retain(keep);
        }
        Order::Role(role) => status.role = role,
        Order::Drain(draining) => status.draining = draining,
    }
    core.announcer.announce_now();
    web::json(StatusCode::OK, &json!({"fence": status.fence}))
}

fn load(core: &Arc<Core>, status: &mut Status, served: Served) {
    status
        .requested
        .insert(served.model.clone(), served.clone());
    let is_loaded = |s: &&mut Served| s.model == served.model && s.version == served.version;
    match (
        core.settings.weights,
        status.models.iter_mut().find(is_loaded),
    ) {
        (_, Some(current)) => *current = served,
        (None, None) => replace(status, served),
        (Some(store), None) => {
            let task_core = core.clone();
            core.lifecycle.spawn(async move {
                let path = format!("/v1/weights/{}/{}", served.model, served.version);
                let answer = web::call(store, Method::GET, &path, "", WEIGHTS_TIMEOUT).await;
                match answer {
                    Ok(answer) if answer.status == StatusCode::OK => install(&task_core, served),
                    Ok(answer) => tracing::warn!("engine: {path} not fetched: {}", answer.status),
                    Err(cause) => tracing::warn!("engine: {path} not fetched: {cause}"),
                }
            });
        }
    }
}

/// Loads a model unless another order for it arrived while its weights were fetched.
fn install(core: &Core, served: Served) {
    let mut status = lock(&core.status);
    if status.requested.get(&served.model) == Some(&served) {
        replace(&mut status, served);
        core.announcer.announce_now();
    }
}

fn replace(status: &mut Status, served: Served) {
    status.models.retain(|other| other.model != served.model);
    status.models.push(served);
}

/// Clears the prefix cache, like a restart of the engine's workers.
pub(super) fn clear_cache(core: &Core) {
    lock(&core.cache).clear(Instant::now());
}
