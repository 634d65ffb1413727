//! HTTP for all stand-ins: a small server, and a client that sends single requests.

mod client;
mod refusal;
mod response;
mod server;

pub use client::{Answer, call, call_with_headers, send};
pub use refusal::Refusal;
pub use response::{error, filler, json, text};
pub use server::{Disconnect, serve};

use std::io;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Limited};

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;
/// A request that a stand-in receives.
pub type Request = hyper::Request<hyper::body::Incoming>;
/// A response of a stand-in.
pub type Response = hyper::Response<Body>;

const MAX_BODY_BYTES: usize = 64 * 1_024 * 1_024;

/// Reads the whole body of a request.
///
/// # Errors
/// Fails with [`Disconnect`] when the body is incomplete or larger than 64 MiB.
pub async fn read_body(request: Request) -> Result<Bytes, Disconnect> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    let body = body.collect().await.map_err(|_| Disconnect)?;
    Ok(body.to_bytes())
}

/// Returns the value of the parameter `name` in the query of `uri`, without decoding it.
pub fn query_parameter<'a>(uri: &'a hyper::Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
