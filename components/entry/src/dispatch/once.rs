//! One call on a connection of its own, never sent twice.

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

use super::guarded::Guarded;
use super::{Gate, USER_TIMEOUT, Whole, collect};

/// Where and within which times a call is made.
#[derive(Clone, Copy, Debug)]
pub struct Once {
    /// The upstream.
    pub address: SocketAddr,
    /// Longest time for the connection.
    pub connect_timeout: Duration,
    /// Longest time from the first byte sent to the whole answer.
    pub answer_timeout: Duration,
    /// Largest body of an answer, in bytes.
    pub max_answer_bytes: usize,
    /// Until when the first byte may be written.
    pub dispatch_before: Option<Instant>,
}

/// A call without a whole answer.
#[derive(Debug)]
pub struct Lost {
    /// What happened.
    pub error: Error,
    /// Whether a byte of the call may have reached the upstream.
    pub sent: bool,
}

/// Ends the task of a connection on drop.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Once {
    /// Makes the call.
    ///
    /// # Errors
    /// Says whether a byte may have reached the upstream.
    pub async fn call(self, mut request: Request<Full<Bytes>>) -> Result<Whole, Lost> {
        *request.uri_mut() = origin_form(request.uri());
        let gate = Arc::new(Gate::until(self.dispatch_before));
        let answered = timeout(self.answer_timeout, self.exchange(request, gate.clone())).await;
        let peer = Peer::Address(self.address);
        let error = match answered {
            Ok(Ok(whole)) => return Ok(whole),
            Ok(Err(error)) => error,
            Err(_) => Error::Timeout(Step::Receive, peer, self.answer_timeout),
        };
        let sent = gate.has_written();
        Err(Lost { error, sent })
    }

    async fn exchange(
        self,
        request: Request<Full<Bytes>>,
        gate: Arc<Gate>,
    ) -> Result<Whole, Error> {
        let peer = Peer::Address(self.address);
        let stream = self.connect().await?;
        let other = |step| {
            let peer = peer.clone();
            move |error: hyper::Error| Error::Other(step, peer, error.into())
        };
        let (mut sender, connection) = http1::handshake(Guarded::new(stream, gate))
            .await
            .map_err(other(Step::Connect))?;
        let _driver = Driver(tokio::spawn(async move {
            let _ = connection.await;
        }));
        let response = sender
            .send_request(request)
            .await
            .map_err(other(Step::Receive))?;
        collect(response, self.max_answer_bytes, self.answer_timeout)
            .await
            .map_err(|error| Error::Protocol(Step::Receive, peer, error.to_string()))
    }

    async fn connect(&self) -> Result<TcpStream, Error> {
        let peer = Peer::Address(self.address);
        let connected = timeout(self.connect_timeout, TcpStream::connect(self.address)).await;
        let io = |error| Error::Io(Step::Connect, peer.clone(), error);
        let stream = match connected {
            Ok(result) => result.map_err(io)?,
            Err(_) => return Err(Error::Timeout(Step::Connect, peer, self.connect_timeout)),
        };
        stream.set_nodelay(true).map_err(io)?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(USER_TIMEOUT))
            .map_err(io)?;
        Ok(stream)
    }
}

/// Returns path and query alone, as a server that is no proxy expects them.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}
