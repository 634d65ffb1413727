//! `GET /v1/models`.

use config::Text;
use http::StatusCode;
use serde_json::{Value, json};

use crate::reply::Reply;

/// Lists the models and adapters of `text`.
pub(crate) fn list(text: &Text) -> Reply {
    let data: Vec<Value> = model_names(text)
        .map(|name| json!({"id": name, "object": "model", "created": 0, "owned_by": "chervilloft"}))
        .collect();
    let body = json!({"object": "list", "data": data}).to_string();
    Reply::json(StatusCode::OK, body)
}

/// Returns the names of all models and adapters.
pub(super) fn model_names(text: &Text) -> impl Iterator<Item = &str> {
    let models = text.services.values().flat_map(|service| &service.models);
    models.flat_map(|model| {
        let adapters = model
            .adapters
            .iter()
            .map(compact_str::CompactString::as_str);
        std::iter::once(model.name.as_str()).chain(adapters)
    })
}
