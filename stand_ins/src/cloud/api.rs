//! The HTTP API of the cloud.

use std::sync::Arc;
use std::time::Instant;

use http::{Method, StatusCode};
use serde_json::{Value, json};

use super::table::{Order, Outcome};
use super::{Core, Instance, Price, State, admin};
use crate::web::{self, Disconnect, Request, Response};

pub(super) async fn handle(core: Arc<Core>, request: Request) -> Result<Response, Disconnect> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "instances"]) => order(core, request).await,
        (&Method::DELETE, ["v1", "instances", instance]) => Ok(stop(&core, instance)),
        (&Method::GET, ["v1", "instances"]) => Ok(instances(&core)),
        (&Method::GET, ["v1", "prices"]) => Ok(prices(&core)),
        (&Method::GET, ["v1", "notices"]) => {
            let after = web::query_parameter(request.uri(), "after").and_then(|n| n.parse().ok());
            Ok(notices(&core, after.unwrap_or(0)))
        }
        (&Method::GET, ["admin", "launched"]) => Ok(upstreams(&core)),
        (&Method::POST, ["admin", action]) => admin::handle(core, action, request).await,
        _ => {
            let message = format!("nothing is served at \"{path}\"");
            Ok(web::error(StatusCode::NOT_FOUND, "not_found", &message))
        }
    }
}

async fn order(core: Arc<Core>, request: Request) -> Result<Response, Disconnect> {
    let body = web::read_body(request).await?;
    let order: Order = match serde_json::from_slice(&body) {
        Ok(order) => order,
        Err(cause) => {
            let status = StatusCode::BAD_REQUEST;
            return Ok(web::error(status, "invalid_request", &cause.to_string()));
        }
    };
    let outcome = core.table().order(order, Instant::now());
    Ok(match outcome {
        Outcome::Ordered(instance) => {
            let answer = order_response(&instance);
            core.lifecycle.spawn(start(core.clone(), instance));
            answer
        }
        Outcome::Existing(instance) => order_response(&instance),
        Outcome::Refused => {
            let message = "no instance of this kind is to be had";
            web::error(StatusCode::SERVICE_UNAVAILABLE, "no_capacity", message)
        }
    })
}

fn order_response(instance: &Instance) -> Response {
    let body = json!({"instance": instance.id, "state": instance.state});
    web::json(StatusCode::CREATED, &body)
}

async fn start(core: Arc<Core>, instance: Instance) {
    tokio::time::sleep(core.settings.start_delay).await;
    let started = core.table().mark_running(&instance.id);
    let template = core.settings.templates.get(&instance.service).cloned();
    match template {
        Some(template) if started => match template.launch(&instance).await {
            Ok(upstream) => core.table().attach(&instance.id, upstream),
            Err(cause) => tracing::warn!(
                "cloud: failed to launch the upstream of instance \"{}\": {cause}",
                instance.id
            ),
        },
        _ => {}
    }
}

fn stop(core: &Core, instance: &str) -> Response {
    match core.table().end(instance, State::Stopped) {
        true => web::json(StatusCode::OK, &json!({})),
        false => {
            let message = format!("instance \"{instance}\" is unknown");
            web::error(StatusCode::NOT_FOUND, "unknown_instance", &message)
        }
    }
}

fn instances(core: &Core) -> Response {
    let describe = |it: &Instance| {
        json!({
            "instance": it.id,
            "token": it.token,
            "service": it.service,
            "data_centre": it.data_centre,
            "class": it.class,
            "state": it.state,
            "started_ms_ago": it.ordered_at.elapsed().as_millis() as u64,
        })
    };
    let list: Vec<Value> = core.table().instances().map(describe).collect();
    web::json(StatusCode::OK, &json!({"instances": list}))
}

fn upstreams(core: &Core) -> Response {
    let table = core.table();
    let services = table.instances().map(|it| (&it.id, &it.service));
    let list: Vec<Value> = services
        .filter_map(|(name, service)| {
            let address = table.upstream(name)?.address();
            Some(json!({"instance": name, "service": service, "address": address}))
        })
        .collect();
    web::json(StatusCode::OK, &json!({"launched": list}))
}

fn prices(core: &Core) -> Response {
    let table = core.table();
    let current = |price: &Price| {
        let kind = (price.data_centre.clone(), price.class);
        table.prices.get(&kind).unwrap_or(price).clone()
    };
    let prices: Vec<Price> = core.settings.prices.iter().map(current).collect();
    web::json(StatusCode::OK, &json!({"prices": prices}))
}

fn notices(core: &Core, after: u64) -> Response {
    let now = Instant::now();
    let table = core.table();
    let list: Vec<Value> = table
        .notices
        .iter()
        .filter(|notice| notice.sequence > after)
        .map(|notice| {
            let left = notice.stops_at.saturating_duration_since(now);
            let in_ms = left.as_millis() as u64;
            json!({"sequence": notice.sequence, "instance": notice.instance, "in_ms": in_ms})
        })
        .collect();
    let last = table.notices.len();
    web::json(StatusCode::OK, &json!({"notices": list, "last": last}))
}
