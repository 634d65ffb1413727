//! The admin API, which triggers reclaims and shortages and sets prices.

use std::sync::Arc;
use std::time::Instant;

use http::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::{Core, Price, Reclaim, Shortage};
use crate::web::{self, Disconnect, Refusal, Request, Response};

pub(super) async fn handle(
    core: Arc<Core>,
    action: &str,
    request: Request,
) -> Result<Response, Disconnect> {
    let body = web::read_body(request).await?;
    let outcome = match action {
        "wave" => parse(&body).map(|reclaim: Reclaim| json!({"taken": core.reclaim(&reclaim)})),
        "refuse" => parse(&body).map(|shortage: Shortage| {
            core.table().add_shortage(shortage, Instant::now());
            json!({})
        }),
        "price" => parse(&body).map(|price: Price| {
            let kind = (price.data_centre.clone(), price.class);
            core.table().prices.insert(kind, price);
            json!({})
        }),
        _ => {
            let message = format!("action \"{action}\" is unknown");
            Err(Refusal::new(StatusCode::NOT_FOUND, "not_found", &message))
        }
    };
    Ok(match outcome {
        Ok(body) => web::json(StatusCode::OK, &body),
        Err(refusal) => refusal.into(),
    })
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|cause| {
        Refusal::new(
            StatusCode::BAD_REQUEST,
            "invalid_request",
            &cause.to_string(),
        )
    })
}
