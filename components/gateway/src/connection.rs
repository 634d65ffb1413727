//! One connection to an upstream.

mod arrival;

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
use web::ObservedStream;

use crate::Network;
use arrival::Arrival;

/// Longest wait for a connection. The kernel retransmits a lost packet only after a second, so that
/// a new attempt is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which the kernel closes a connection whose sent bytes are not acknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1_024;
/// Longest time from the first byte of an answer's head to its last one.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP/1.1 connection, which is closed when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    address: SocketAddr,
    arrival: Arrival,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection without sending a request.
    ///
    /// # Errors
    /// Returns an error if the upstream does not accept the connection within [`CONNECT_TIMEOUT`],
    /// or if the process can't open a socket.
    pub(crate) async fn open(network: &dyn Network, address: SocketAddr) -> Result<Connection> {
        let peer = || Peer::Address(address);
        let stream = timeout(CONNECT_TIMEOUT, dial(network, address))
            .await
            .map_err(|_| Error::Timeout(Step::Connect, peer(), CONNECT_TIMEOUT))?
            .map_err(|error| Error::Io(Step::Connect, peer(), error))?;
        let arrival = Arrival::default();
        let stream = ObservedStream::new(stream, arrival.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Error::Other(Step::Connect, peer(), Box::new(error)))?;
        let task = tokio::spawn(async move {
            // The caller of `send` receives the error as well.
            let _ = connection.await;
        });
        Ok(Connection {
            address,
            arrival,
            sender,
            task,
        })
    }

    /// Reports whether a request can be sent.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and returns the head of the answer.
    ///
    /// # Errors
    /// Returns an error if the connection fails, or if a head has begun and does not end within
    /// [`MAX_HEAD_BYTES`] and [`HEAD_TIMEOUT`].
    pub(crate) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        let peer = Peer::Address(self.address);
        self.arrival.expect();
        let arrival = self.arrival.clone();
        // The answer itself follows an informational one.
        hyper::ext::on_informational(&mut request, move |_| arrival.expect());
        tokio::select! {
            response = self.sender.send_request(request) => {
                response.map_err(|error| Error::Other(Step::Receive, peer, Box::new(error)))
            }
            () = self.arrival.timeout(HEAD_TIMEOUT) => {
                Err(Error::Timeout(Step::Receive, peer, HEAD_TIMEOUT))
            }
        }
    }
}

async fn dial(network: &dyn Network, address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = network.connect(address).await?;
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
