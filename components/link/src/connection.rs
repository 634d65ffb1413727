//! Opening, accepting and using connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use config::release::Level;
use errors::{Error, Peer, Result, Step};
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::server::{
    Callback, ErrorResponse, Request as HttpRequest, Response as HttpResponse,
};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{accept_hdr_async_with_config, client_async_with_config};
use wire::{Answer, CallId, Failure, Frame, Hello, MAX_FRAME_BYTES, Push, Request};

use crate::calls::Calls;
use crate::declaration::Declaration;
use crate::handshake::{self, Side, Socket};
use crate::send_times::SendTimes;
use crate::{Identity, Settings, Traffic, reader, socket, writer};

/// Address in the opening handshake.
const URL: &str = "ws://chervilloft/link";

/// A message from the other end, with an upper bound on its age.
#[derive(Debug)]
pub enum Incoming {
    /// A request that expects an answer.
    Call(CallId, Request, Duration),
    /// A message that expects no answer.
    Push(Push, Duration),
}

/// A handle to an open connection; clones share it.
#[derive(Clone, Debug)]
pub struct Connection {
    hello: Arc<Hello>,
    build: compact_str::CompactString,
    /// What the other end declared, or has shown since.
    level: Arc<AtomicU32>,
    peer: Peer,
    queue: mpsc::Sender<Frame>,
    calls: Arc<Calls>,
    closed: watch::Sender<bool>,
    traffic: Arc<Traffic>,
}

/// State that the tasks of one connection share.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    pub(crate) peer: Peer,
    pub(crate) settings: Settings,
    pub(crate) calls: Arc<Calls>,
    pub(crate) closed: watch::Sender<bool>,
    pub(crate) last_received: Arc<AtomicU64>,
    pub(crate) send_times: Arc<Mutex<SendTimes>>,
    pub(crate) traffic: Arc<Traffic>,
}

impl Shared {
    pub(crate) fn send_times(&self) -> std::sync::MutexGuard<'_, SendTimes> {
        self.send_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection to `address`.
///
/// # Errors
/// If the other end is not reached, or does not complete the handshake, within the timeouts.
pub async fn dial(
    address: SocketAddr,
    identity: &Identity,
    settings: Settings,
) -> Result<(Connection, mpsc::Receiver<Incoming>)> {
    let peer = Peer::Address(address);
    let limit = settings.connect_timeout;
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| Error::Timeout(Step::Connect, peer.clone(), limit))?
        .map_err(|error| Error::Io(Step::Connect, peer.clone(), error))?;
    open(stream, Side::Dialer, peer, identity, settings).await
}

/// Opens a connection over an accepted socket.
///
/// # Errors
/// If the other end does not complete the handshake within the timeout.
pub async fn accept(
    stream: TcpStream,
    identity: &Identity,
    settings: Settings,
) -> Result<(Connection, mpsc::Receiver<Incoming>)> {
    let peer = match stream.peer_addr() {
        Ok(address) => Peer::Address(address),
        Err(error) => return Err(Error::Io(Step::Connect, Peer::Local, error)),
    };
    open(stream, Side::Acceptor, peer, identity, settings).await
}

async fn open(
    stream: TcpStream,
    side: Side,
    peer: Peer,
    identity: &Identity,
    settings: Settings,
) -> Result<(Connection, mpsc::Receiver<Incoming>)> {
    let started = Instant::now();
    socket::set_options(&stream, settings.tcp_user_timeout)
        .map_err(|error| Error::Io(Step::Connect, peer.clone(), error))?;
    let limit = settings.handshake_timeout;
    let (socket, hello, declaration) = timeout(limit, upgrade(stream, side, &peer, identity))
        .await
        .map_err(|_| Error::Timeout(Step::Authenticate, peer.clone(), limit))??;
    let mut send_times = SendTimes::new(started);
    send_times.record(1, started);
    send_times.record(2, started);
    Ok(start(
        socket,
        hello,
        declaration,
        peer,
        settings,
        send_times,
    ))
}

async fn upgrade(
    stream: TcpStream,
    side: Side,
    peer: &Peer,
    identity: &Identity,
) -> Result<(Socket, Hello, Declaration)> {
    let config = WebSocketConfig::default()
        .read_buffer_size(8 * 1_024)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES));
    let connect_error = |error| Error::Other(Step::Connect, peer.clone(), Box::new(error));
    let (mut socket, declaration) = match side {
        Side::Dialer => {
            let mut request = URL.into_client_request().map_err(connect_error)?;
            Declaration::own().write(request.headers_mut());
            let opened = client_async_with_config(request, stream, Some(config)).await;
            let (socket, response) = opened.map_err(connect_error)?;
            (socket, Declaration::read(response.headers()))
        }
        Side::Acceptor => {
            let mut declaration = Declaration::read(&Default::default());
            let exchange = Exchange(&mut declaration);
            let opened = accept_hdr_async_with_config(stream, exchange, Some(config)).await;
            (opened.map_err(connect_error)?, declaration)
        }
    };
    let hello = handshake::run(&mut socket, side, identity, peer).await?;
    Ok((socket, hello, declaration))
}

/// Reads the dialer's declaration, and answers with this process's own.
struct Exchange<'a>(&'a mut Declaration);

impl Callback for Exchange<'_> {
    fn on_request(
        self,
        request: &HttpRequest,
        mut response: HttpResponse,
    ) -> std::result::Result<HttpResponse, ErrorResponse> {
        *self.0 = Declaration::read(request.headers());
        Declaration::own().write(response.headers_mut());
        Ok(response)
    }
}

fn start(
    socket: Socket,
    hello: Hello,
    declaration: Declaration,
    peer: Peer,
    settings: Settings,
    send_times: SendTimes,
) -> (Connection, mpsc::Receiver<Incoming>) {
    let shared = Shared {
        peer: peer.clone(),
        settings,
        calls: Arc::default(),
        closed: watch::Sender::new(false),
        last_received: Arc::new(AtomicU64::new(2)),
        send_times: Arc::new(Mutex::new(send_times)),
        traffic: Arc::default(),
    };
    let (queue, frames) = mpsc::channel(settings.queue_capacity);
    let (incoming, messages) = mpsc::channel(settings.queue_capacity);
    let (sink, stream) = socket.split();
    tokio::spawn(writer::run(sink, frames, shared.clone()));
    tokio::spawn(reader::run(
        stream,
        incoming,
        queue.downgrade(),
        shared.clone(),
    ));
    let connection = Connection {
        hello: Arc::new(hello),
        build: declaration.build,
        level: Arc::new(AtomicU32::new(declaration.level)),
        peer,
        queue,
        calls: shared.calls,
        closed: shared.closed,
        traffic: shared.traffic,
    };
    (connection, messages)
}

impl Connection {
    /// Returns the hello of the other end.
    pub fn hello(&self) -> &Hello {
        &self.hello
    }

    /// Returns what the other end can read.
    pub fn level(&self) -> Level {
        self.level.load(Ordering::Relaxed)
    }

    /// Records that the other end, which may declare nothing, has shown that it can read a level.
    pub fn raise_level(&self, level: Level) {
        self.level.fetch_max(level, Ordering::Relaxed);
    }

    /// Returns the name of the other end's build.
    pub fn build(&self) -> &str {
        &self.build
    }

    /// Returns the address of the other end.
    pub fn peer(&self) -> &Peer {
        &self.peer
    }

    /// Returns the traffic counters of the connection.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Reports whether the connection is open, as far as this end knows.
    pub fn is_open(&self) -> bool {
        !*self.closed.borrow()
    }

    /// Reports whether both handles belong to the same connection.
    pub fn is_same(&self, other: &Connection) -> bool {
        self.queue.same_channel(&other.queue)
    }

    /// Closes the connection at once and discards frames that are not yet sent.
    pub fn close(&self) {
        self.closed.send_replace(true);
    }

    /// Waits until the connection is closed.
    pub async fn closed(&self) {
        let mut closed = self.closed.subscribe();
        let _ = closed.wait_for(|closed| *closed).await;
    }

    /// Queues a message that expects no answer. A full queue closes the connection, since the other
    /// end is too slow; it has to connect again.
    pub fn push(&self, push: Push) {
        self.enqueue(Frame::Push(push));
    }

    /// Queues the answer to a call.
    pub fn answer(&self, id: CallId, answer: std::result::Result<Answer, Failure>) {
        self.enqueue(Frame::Answer(id, answer));
    }

    fn enqueue(&self, frame: Frame) {
        if self.queue.try_send(frame).is_err() {
            self.close();
        }
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    /// If the other end can't read the request, which is then not sent, fails, or does not answer
    /// within `limit`; the request may have taken effect unless the error's step is `Route`.
    pub async fn call(&self, request: Request, limit: Duration) -> Result<Answer> {
        let (needed, level) = (request.body.level(), self.level());
        if level < needed {
            return Err(Error::Protocol(
                Step::Route,
                self.peer.clone(),
                format!("the other end reads level {level}, the request needs {needed}"),
            ));
        }
        let (id, reply) = self.calls.begin();
        self.enqueue(Frame::Call(id, request));
        let reply = tokio::select! {
            reply = timeout(limit, reply) => reply,
            () = self.closed() => {
                self.calls.cancel(id);
                return Err(self.protocol_error("connection closed"));
            }
        };
        self.calls.cancel(id);
        match reply {
            Ok(Ok(Ok(answer))) => Ok(answer),
            Ok(Ok(Err(Failure::NoLeader))) => Err(Error::Protocol(
                Step::Route,
                self.peer.clone(),
                "no leader is known".to_owned(),
            )),
            Ok(Ok(Err(Failure::Uncertain(reason)))) => Err(Error::Protocol(
                Step::Commit,
                self.peer.clone(),
                reason.into(),
            )),
            Ok(Ok(Err(Failure::Refused(reason)))) => Err(Error::Invalid(
                Step::Receive,
                self.peer.clone(),
                reason.into(),
            )),
            Ok(Err(_)) => Err(self.protocol_error("connection closed")),
            Err(_) => Err(Error::Timeout(Step::Receive, self.peer.clone(), limit)),
        }
    }

    fn protocol_error(&self, reason: &str) -> Error {
        Error::Protocol(Step::Receive, self.peer.clone(), reason.to_owned())
    }
}
