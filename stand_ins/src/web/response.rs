//! Responses of stand-ins.

use std::io;

use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use http::StatusCode;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;

use super::Response;

/// Content of a response of [`filler`], repeated.
static FILLER: [u8; 64 * 1_024] = [b'x'; 64 * 1_024];

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response {
    let bytes = serde_json::to_vec(body).expect("the body serializes to JSON");
    full_response(status, "application/json", bytes.into())
}

/// Returns an error in the format of the published API.
pub fn error(status: StatusCode, code: &str, message: &str) -> Response {
    let body = serde_json::json!({"error": {"message": message, "type": code, "code": code}});
    json(status, &body)
}

/// Returns a response with a plain text body.
pub fn text(status: StatusCode, body: impl Into<String>) -> Response {
    full_response(status, "text/plain; charset=utf-8", body.into().into())
}

/// Returns a response of `bytes` bytes without meaning. With `stop_short`, the last one is never sent.
pub fn filler(bytes: usize, stop_short: bool) -> Response {
    let sent = bytes - usize::from(stop_short);
    let part = |begin| &FILLER[..FILLER.len().min(sent - begin)];
    let parts = (0..sent).step_by(FILLER.len()).map(part);
    let parts: Vec<io::Result<Frame<Bytes>>> = parts
        .map(|part| Ok(Frame::data(Bytes::from_static(part))))
        .collect();
    let body = match stop_short {
        true => StreamBody::new(stream::iter(parts).chain(stream::pending())).boxed_unsync(),
        false => StreamBody::new(stream::iter(parts)).boxed_unsync(),
    };
    hyper::Response::builder()
        .header(CONTENT_LENGTH, bytes)
        .body(body)
        .expect("the length is valid")
}

fn full_response(status: StatusCode, content_type: &'static str, bytes: Bytes) -> Response {
    let body = Full::new(bytes).map_err(io::Error::other).boxed_unsync();
    hyper::Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(body)
        .expect("status and content type are valid")
}
