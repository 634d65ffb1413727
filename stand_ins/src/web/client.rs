//! A client that opens a connection for each request.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HOST};
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A response whose body has been read.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }
}

/// Sends a request and returns the response before its body is read.
///
/// # Errors
/// Fails when the connection fails or the request cannot be sent.
pub async fn send(
    address: SocketAddr,
    request: hyper::Request<Full<Bytes>>,
) -> io::Result<hyper::Response<Incoming>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(connection);
    let mut request = request;
    let host = address.to_string().parse().map_err(io::Error::other)?;
    request.headers_mut().insert(HOST, host);
    sender.send_request(request).await.map_err(io::Error::other)
}

/// Sends a request without additional headers and reads the whole response within `limit`.
///
/// # Errors
/// Fails when the connection fails, the response is incomplete, or `limit` passes.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
    limit: Duration,
) -> io::Result<Answer> {
    call_with_headers(address, method, path, &[], body, limit).await
}

/// Sends a request with `headers` and reads the whole response within `limit`.
///
/// # Errors
/// Fails when the connection fails, the response is incomplete, or `limit` passes.
pub async fn call_with_headers(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
    limit: Duration,
) -> io::Result<Answer> {
    let mut builder = hyper::Request::builder().method(method).uri(path);
    builder = builder.header(CONNECTION, "close");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder
        .body(Full::new(body.into()))
        .map_err(io::Error::other)?;
    timeout(limit, read_answer(address, request))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn read_answer(
    address: SocketAddr,
    request: hyper::Request<Full<Bytes>>,
) -> io::Result<Answer> {
    let (head, body) = send(address, request).await?.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body,
    })
}
