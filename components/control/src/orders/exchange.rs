//! A single HTTP request on its own connection, with a timeout.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use errors::{Error, Peer, Result, Step};
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::guarded_stream::GuardedStream;

/// Largest response body, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

/// A request with its timeout.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the server.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path of the request.
    pub path: String,
    /// Headers besides `host` and `content-type`.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body, sent as JSON; empty if `None`.
    pub body: Option<Value>,
    /// Timeout of connecting, and of sending the request and receiving the whole response after it.
    /// It is also the time for which the kernel retransmits unacknowledged bytes.
    pub timeout: Duration,
}

/// Sends a request on a new connection, which is reset at the end so that unsent bytes are
/// discarded. `may_write` is called directly before each write; the request ends with an error once
/// it returns false.
///
/// # Errors
/// An error of the step `Connect` means that nothing was sent. After any other error the request
/// may have taken effect.
pub async fn exchange(
    call: &Call,
    may_write: impl Fn() -> bool + Send + Unpin + 'static,
) -> Result<(StatusCode, Value)> {
    let peer = || Peer::Address(call.address);
    let connected = timeout(call.timeout, connect(call))
        .await
        .map_err(|_| Error::Timeout(Step::Connect, peer(), call.timeout))?;
    let stream = connected.map_err(|error| Error::Io(Step::Connect, peer(), error))?;
    if !may_write() {
        let reason = "leadership was lost before the request was sent".to_owned();
        return Err(Error::Protocol(Step::Connect, peer(), reason));
    }
    timeout(
        call.timeout,
        send_request(call, GuardedStream::new(stream, may_write)),
    )
    .await
    .map_err(|_| Error::Timeout(Step::Receive, peer(), call.timeout))?
}

async fn connect(call: &Call) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(call.address).await?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(call.timeout))?;
    socket.set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

async fn send_request<F>(call: &Call, stream: GuardedStream<F>) -> Result<(StatusCode, Value)>
where
    F: Fn() -> bool + Send + Unpin + 'static,
{
    let peer = || Peer::Address(call.address);
    let wrap = |step| move |error: hyper::Error| Error::Other(step, peer(), Box::new(error));
    let body = call.body.as_ref().map(Value::to_string).unwrap_or_default();
    let mut request = Request::builder()
        .method(&call.method)
        .uri(&call.path)
        .header("host", call.address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| Error::Other(Step::Encode, peer(), Box::new(error)))?;
    request.headers_mut().extend(call.headers.iter().cloned());
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(wrap(Step::Send))?;
    let exchanged = async {
        let response = sender.send_request(request).await;
        let response = response.map_err(wrap(Step::Send))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| Error::Other(Step::Receive, peer(), error))?
            .to_bytes();
        Ok((status, body))
    };
    tokio::pin!(connection);
    tokio::pin!(exchanged);
    // The connection is polled here and not in a task, so that dropping this future closes the
    // socket.
    let (status, body) = tokio::select! {
        response = &mut exchanged => response?,
        ended = &mut connection => {
            ended.map_err(wrap(Step::Send))?;
            exchanged.await?
        }
    };
    let answer = match body.is_empty() {
        true => Value::Null,
        false => serde_json::from_slice(&body)
            .map_err(|error| Error::Other(Step::Decode, peer(), Box::new(error)))?,
    };
    Ok((status, answer))
}
