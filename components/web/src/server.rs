//! A server that accepts connections and answers their requests until it is stopped.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus::core::Collector;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tracing::warn;

use crate::abort::Abort;
use crate::connections::{Connections, Guard};
use crate::served_body::ServedBody;
use crate::tracked::Tracked;
use crate::{Body, ObservedStream, Settings};

/// Pause after the listener failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time within which a connection that is accepted while the others are retiring carries a request, or
/// is closed.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a connection that is to close waits for a request that has been sent already.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for which a stopping server accepts the connections that wait for it. Less than the other limits, so
/// that their requests are answered before the process ends.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(10);
/// Smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Phase of a server's stop.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// No stop has begun.
    #[default]
    Serving,
    /// Open connections are closed once they are idle; new ones are still accepted.
    Retiring,
    /// Connections are closed once they are idle; no new ones are accepted.
    Stopping,
}

/// A running server; clones share it.
#[derive(Clone, Debug)]
pub struct Server {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    phase: watch::Sender<Phase>,
    settings: watch::Sender<Settings>,
    connections: Arc<Connections>,
}

impl Server {
    /// Starts serving the connections of `listener` on the current runtime.
    pub fn start<H, F>(listener: TcpListener, settings: Settings, handler: H) -> Server
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let shared = Arc::new(Shared {
            phase: watch::Sender::default(),
            settings: watch::Sender::new(settings),
            connections: Arc::new(Connections::new()),
        });
        tokio::spawn(accept(listener, shared.clone(), handler));
        Server { shared }
    }

    /// Replaces the settings, which apply to connections accepted from now on.
    pub fn update_settings(&self, settings: Settings) {
        let changed = |old: &mut Settings| std::mem::replace(old, settings) != settings;
        self.shared.settings.send_if_modified(changed);
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.connections.open()
    }

    /// Returns the metrics of this server, to be registered by the process.
    pub fn collectors(&self) -> Vec<Box<dyn Collector>> {
        vec![Box::new(self.shared.connections.gave_way().clone())]
    }

    /// Closes each connection that is open now after its response in progress.
    pub fn retire(&self) {
        self.shared.phase.send_replace(Phase::Retiring);
    }

    /// Accepts no more connections than those that wait already, and closes each one after its response in
    /// progress. What was sent before is read first, which takes less than a tenth of a second.
    pub fn stop(&self) {
        self.shared.phase.send_replace(Phase::Stopping);
    }
}

async fn accept<H, F>(listener: TcpListener, shared: Arc<Shared>, handler: H)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let mut phases = shared.phase.subscribe();
    // What has arrived goes before the end: the system resets the connections that wait at a listener
    // when it is closed.
    let stopped = async {
        wait_for_phase(&mut phases, Phase::Stopping).await;
        sleep(LAST_ACCEPT_TIMEOUT).await;
    };
    tokio::pin!(stopped);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = stopped.as_mut() => return,
        };
        let settings = *shared.settings.borrow();
        match accepted {
            Ok((stream, peer)) => {
                let connections = &shared.connections;
                if !connections.make_room(settings.max_connections).await {
                    warn!("http: refused {peer}: too many connections are open");
                    continue;
                }
                let guard = Arc::new(connections.add());
                tokio::spawn(connection(
                    stream,
                    peer,
                    settings,
                    shared.clone(),
                    guard,
                    handler.clone(),
                ));
            }
            Err(error) => {
                warn!("http: accepting a connection failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns once the server has reached `phase`.
async fn wait_for_phase(phases: &mut watch::Receiver<Phase>, phase: Phase) {
    let _ = phases.wait_for(|current| *current >= phase).await;
}

async fn connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    settings: Settings,
    shared: Arc<Shared>,
    guard: Arc<Guard>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    prepare(&stream, settings);
    let abort = Abort::default();
    let stream = ObservedStream::new(stream, Tracked::new(guard.clone(), abort.clone()));
    let serving = guard.clone();
    let service = service_fn(move |request| {
        serving.begin();
        let connection = serving.clone();
        let version = request.version();
        let response = handler(request, peer);
        let abort = abort.clone();
        async move {
            let response = response.await;
            // Without chunks, only a reset tells the client that the response is incomplete.
            let response = match version {
                Version::HTTP_10 => response.map(|body| abort.on_error_of(body)),
                _ => response,
            };
            Ok::<_, Infallible>(response.map(|body| ServedBody::new(body, connection)))
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.idle_timeout)
        .max_buf_size(settings.max_head_bytes.max(MIN_BUFFER_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let mut phases = shared.phase.subscribe();
    let accepted_in = *phases.borrow();
    let retired = async {
        match accepted_in {
            Phase::Serving => wait_for_phase(&mut phases, Phase::Retiring).await,
            Phase::Retiring | Phase::Stopping => {
                let stopping = wait_for_phase(&mut phases, Phase::Stopping);
                let _ = timeout(FIRST_REQUEST_TIMEOUT, stopping).await;
            }
        }
        sleep(LAST_REQUEST_TIMEOUT).await;
    };
    // A request that has arrived is read before the connection is closed as idle. An error affects this
    // connection only; the client sees it closed.
    let _ = tokio::select! {
        biased;
        ended = served.as_mut() => ended,
        () = retired => {
            served.as_mut().graceful_shutdown();
            served.await
        }
        () = guard.head_is_late(settings.head_timeout) => Ok(()),
        () = guard.must_give_way() => match guard.is_serving() {
            true => {
                served.as_mut().graceful_shutdown();
                served.await
            }
            false => Ok(()),
        },
    };
}

/// Sets socket options. Errors are ignored, because they mean that the peer has already closed the
/// connection.
fn prepare(stream: &TcpStream, settings: Settings) {
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(settings.tcp_user_timeout));
}
