//! A call on a new connection that is sent at most once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use errors::{Error, Peer, Step};
use http::{Request, Uri};
use http_body_util::Full;
use hyper::client::conn::http1;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::connection::Connection;
use super::{Answer, AnswerError, Cutoff, MAX_HEAD_BYTES, TCP_USER_TIMEOUT, collect};

/// Address, timeouts and limits of one call.
#[derive(Clone, Debug)]
pub struct Oneshot {
    /// The upstream.
    pub address: SocketAddr,
    /// Timeout for opening the connection.
    pub connect_timeout: Duration,
    /// Timeout for the whole call, from opening the connection to the end of the answer.
    pub answer_timeout: Duration,
    /// Largest body of an answer, in bytes.
    pub max_answer_bytes: usize,
    /// Memory for the answer.
    pub memory: web::Budget,
    /// Deadline for writing the first byte; `None` for no deadline.
    pub first_byte_deadline: Option<Instant>,
}

/// Why a call has no complete answer.
#[derive(Debug)]
pub struct CallError {
    /// What happened.
    pub error: Error,
    /// Whether a byte of the call was passed to the kernel, so that the upstream may have run it.
    pub may_have_arrived: bool,
}

/// The task that drives a connection, aborted on drop.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Oneshot {
    /// Sends the request and returns the complete answer.
    ///
    /// # Errors
    /// If the call times out, the connection fails or the answer is incomplete or too large.
    pub async fn call(self, mut request: Request<Full<Bytes>>) -> Result<Answer, CallError> {
        *request.uri_mut() = origin_form(request.uri());
        let cutoff = Arc::new(Cutoff::new(self.first_byte_deadline));
        let peer = Peer::Address(self.address);
        let answer_timeout = self.answer_timeout;
        let result = timeout(answer_timeout, self.exchange(request, cutoff.clone())).await;
        let error = match result {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => error,
            Err(_) => Error::Timeout(Step::Receive, peer, answer_timeout),
        };
        let may_have_arrived = cutoff.has_written();
        Err(CallError {
            error,
            may_have_arrived,
        })
    }

    async fn exchange(
        self,
        request: Request<Full<Bytes>>,
        cutoff: Arc<Cutoff>,
    ) -> Result<Answer, Error> {
        let peer = Peer::Address(self.address);
        let stream = self.connect().await?;
        let other = |step| {
            let peer = peer.clone();
            move |error: hyper::Error| Error::Other(step, peer, error.into())
        };
        let (mut sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(Connection::new(stream, cutoff))
            .await
            .map_err(other(Step::Connect))?;
        let _driver = Driver(tokio::spawn(async move {
            let _ = connection.await;
        }));
        let response = sender
            .send_request(request)
            .await
            .map_err(other(Step::Receive))?;
        collect(
            response,
            &self.memory,
            self.max_answer_bytes,
            self.answer_timeout,
        )
        .await
        .map_err(|error| match error {
            AnswerError::Timeout(limit) => Error::Timeout(Step::Receive, peer, limit),
            error => Error::Protocol(Step::Receive, peer, error.to_string()),
        })
    }

    async fn connect(&self) -> Result<TcpStream, Error> {
        let peer = Peer::Address(self.address);
        let result = timeout(self.connect_timeout, TcpStream::connect(self.address)).await;
        let io = |error| Error::Io(Step::Connect, peer.clone(), error);
        let stream = match result {
            Ok(result) => result.map_err(io)?,
            Err(_) => return Err(Error::Timeout(Step::Connect, peer, self.connect_timeout)),
        };
        stream.set_nodelay(true).map_err(io)?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
            .map_err(io)?;
        Ok(stream)
    }
}

/// Returns the path and query, which is the form of the target for requests to an origin server.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}
