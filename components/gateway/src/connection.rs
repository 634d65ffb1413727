//! One connection to an upstream.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use errors::{Error, Peer, Result, Step};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Longest wait for a connection; a lost packet is sent again by the kernel after a second, which
/// is longer than another try takes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which the kernel gives up on bytes that the upstream does not confirm.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection, which is closed when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection; nothing of a request is sent.
    ///
    /// # Errors
    /// Fails when the upstream does not answer, refuses, or the system has no more sockets.
    pub(crate) async fn open(address: SocketAddr) -> Result<Connection> {
        let peer = || Peer::Address(address);
        let stream = timeout(CONNECT_TIMEOUT, dial(address))
            .await
            .map_err(|_| Error::Timeout(Step::Connect, peer(), CONNECT_TIMEOUT))?
            .map_err(|error| Error::Io(Step::Connect, peer(), error))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Error::Other(Step::Connect, peer(), Box::new(error)))?;
        let task = tokio::spawn(async move {
            // Whoever waits for an answer is told of the error.
            let _ = connection.await;
        });
        Ok(Connection { sender, task })
    }

    /// Reports whether a request can be sent.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and returns the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.sender.send_request(request).await
    }
}

async fn dial(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(stream)
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
