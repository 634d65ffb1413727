//! The pooling client for idempotent calls.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use errors::{Error, Peer, Result, Step};
use http::{Method, Request, Response, Uri, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use web::Budget;

use super::{Answer, MAX_HEAD_BYTES, TCP_USER_TIMEOUT, collect};

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the read buffer of a connection to an engine, in bytes. It also bounds the head of an
/// answer.
const ENGINE_BUFFER_BYTES: usize = 2 * 1_024;
/// Largest answer that [`Client::fetch`] accepts, in bytes.
const MAX_FETCH_BYTES: usize = 4 * 1_024 * 1_024;

/// A client that may send a request again on another connection.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    /// Memory for the answers of [`Client::fetch`].
    memory: Budget,
}

impl Client {
    /// Creates a client for plain services. `connect_timeout` bounds opening a connection.
    pub fn new(connect_timeout: Duration, memory: Budget) -> Self {
        Client::build(connect_timeout, memory, None)
    }

    /// Creates a client for engines, with small read buffers because many streams are open.
    pub fn for_engines(connect_timeout: Duration, memory: Budget) -> Self {
        Client::build(connect_timeout, memory, Some(ENGINE_BUFFER_BYTES))
    }

    fn build(connect_timeout: Duration, memory: Budget, buffer: Option<usize>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let mut builder = legacy::Client::builder(TokioExecutor::new());
        builder
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(true);
        match buffer {
            Some(bytes) => builder.http1_read_buf_exact_size(bytes),
            None => builder.http1_max_buf_size(MAX_HEAD_BYTES),
        };
        let inner = builder.build(connector);
        Client { inner, memory }
    }

    /// Sends a request and returns the answer once its head has arrived.
    ///
    /// # Errors
    /// The error's step is [`Step::Connect`] if no byte was sent, and [`Step::Receive`] otherwise.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        self.inner.request(request).await.map_err(|error| {
            let step = match error.is_connect() {
                true => Step::Connect,
                false => Step::Receive,
            };
            Error::Other(step, Peer::Address(address), error.into())
        })
    }

    /// Sends an internal request with a JSON body and returns the complete answer within `limit`.
    ///
    /// # Errors
    /// If no complete answer arrives in time, or its status is not a success.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
        limit: Duration,
    ) -> Result<Answer> {
        let request = json_request(address, method, path, body.into())?;
        let peer = Peer::Address(address);
        let exchange = async {
            let response = self.send(address, request).await?;
            collect(response, &self.memory, MAX_FETCH_BYTES, limit)
                .await
                .map_err(|error| Error::Protocol(Step::Receive, peer.clone(), error.to_string()))
        };
        let answer = tokio::time::timeout(limit, exchange)
            .await
            .map_err(|_| Error::Timeout(Step::Receive, peer.clone(), limit))??;
        match answer.status.is_success() {
            true => Ok(answer),
            false => {
                let message = format!("status {}", answer.status);
                Err(Error::Protocol(Step::Receive, peer, message))
            }
        }
    }
}

/// Builds a request with a JSON body.
///
/// # Errors
/// If `path` is not a valid path.
pub fn json_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build();
    uri.and_then(|uri| {
        Request::builder()
            .method(method)
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
    })
    .map_err(|error| Error::Other(Step::Encode, Peer::Address(address), error.into()))
}
