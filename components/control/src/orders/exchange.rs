//! One HTTP request on a socket of its own, bounded in time.

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

use super::guarded::Guarded;

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

/// A request with its bound.
#[derive(Clone, Debug)]
pub struct Call {
    /// Where it goes.
    pub address: SocketAddr,
    /// Its method.
    pub method: Method,
    /// Its path.
    pub path: String,
    /// Headers beside those that describe the body.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Its body, in JSON.
    pub body: Option<Value>,
    /// Longest time from connecting to the whole answer, and for which the kernel keeps bytes
    /// that are not acknowledged.
    pub limit: Duration,
}

/// Sends a request on a new connection, which is closed abortively at the end. `may_write` is
/// asked directly before each write.
///
/// # Errors
/// An error of the step `Connect` means that nothing was sent; any other that the request may
/// have taken effect.
pub async fn exchange(
    call: &Call,
    may_write: impl Fn() -> bool + Send + Unpin + 'static,
) -> Result<(StatusCode, Value)> {
    let peer = || Peer::Address(call.address);
    let connected = timeout(call.limit, connect(call))
        .await
        .map_err(|_| Error::Timeout(Step::Connect, peer(), call.limit))?;
    let stream = connected.map_err(|error| Error::Io(Step::Connect, peer(), error))?;
    if !may_write() {
        let what = "the lead was lost before the send".to_owned();
        return Err(Error::Protocol(Step::Connect, peer(), what));
    }
    timeout(call.limit, converse(call, Guarded::new(stream, may_write)))
        .await
        .map_err(|_| Error::Timeout(Step::Receive, peer(), call.limit))?
}

async fn connect(call: &Call) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(call.address).await?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(call.limit))?;
    socket.set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

async fn converse<F>(call: &Call, stream: Guarded<F>) -> Result<(StatusCode, Value)>
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
    let answering = async {
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
    tokio::pin!(answering);
    // The connection lives in this future, so that dropping it closes the socket.
    let (status, body) = tokio::select! {
        answer = &mut answering => answer?,
        ended = &mut connection => {
            ended.map_err(wrap(Step::Send))?;
            answering.await?
        }
    };
    let answer = match body.is_empty() {
        true => Value::Null,
        false => serde_json::from_slice(&body)
            .map_err(|error| Error::Other(Step::Decode, peer(), Box::new(error)))?,
    };
    Ok((status, answer))
}
