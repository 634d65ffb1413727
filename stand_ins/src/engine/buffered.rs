//! Answers as one JSON body.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::StatusCode;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::generate::Api;
use super::job::{Output, Usage};
use super::stream::Encoder;
use super::{Core, lock};
use crate::text;
use crate::web::{self, Disconnect, Response};

pub(super) async fn answer(
    core: Arc<Core>,
    encoder: Encoder,
    mut output: mpsc::Receiver<Output>,
) -> Result<Response, Disconnect> {
    let mut content = String::new();
    let mut generated = 0;
    loop {
        let next = output.recv().await;
        let switches = lock(&core.switches).clone();
        let reached = |limit: Option<usize>| limit.is_some_and(|limit| generated >= limit);
        match next {
            Some(Output::Token(_)) if reached(switches.die_after) => core.lifecycle.kill(),
            Some(Output::Token(_)) if reached(switches.silent_after) => {
                return std::future::pending().await;
            }
            Some(Output::Token(index)) => {
                content.push_str(&text::token(encoder.text_seed, index));
                generated += 1;
            }
            Some(Output::Finished(usage)) if reached(switches.close_after) => {
                return Ok(truncate(&body(&encoder, &content, usage)));
            }
            Some(Output::Finished(usage)) => {
                return Ok(web::json(StatusCode::OK, &body(&encoder, &content, usage)));
            }
            None => return Err(Disconnect),
        }
    }
}

fn body(encoder: &Encoder, content: &str, usage: Usage) -> Value {
    let (object, choice) = match encoder.api {
        Api::Chat => (
            "chat.completion",
            json!({
                "index": 0,
                "message": {"role": "assistant", "content": content},
                "finish_reason": encoder.finish_reason,
            }),
        ),
        Api::Text => (
            "text_completion",
            json!({"index": 0, "text": content, "finish_reason": encoder.finish_reason}),
        ),
    };
    json!({
        "id": encoder.id,
        "object": object,
        "created": 0,
        "model": encoder.model,
        "choices": [choice],
        "usage": usage.json(),
    })
}

/// Returns a response whose connection closes after half of the announced length.
fn truncate(body: &Value) -> Response {
    let mut bytes = Bytes::from(body.to_string());
    let length = bytes.len();
    bytes.truncate(length / 2);
    let closed = io::Error::from(io::ErrorKind::ConnectionAborted);
    let items = stream::iter([Ok(Frame::data(bytes)), Err(closed)]);
    hyper::Response::builder()
        .status(StatusCode::OK)
        .header(CONTENT_TYPE, "application/json")
        .header(CONTENT_LENGTH, length)
        .body(StreamBody::new(items).boxed_unsync())
        .expect("the headers are valid")
}
