//! The entry process: its listener, its runtimes and its planned stop.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use config::Keys;
use config::settings::Settings;
use errors::{Error, Peer, Result, Step};
use fleet::Control;
use indexmap::IndexMap;
use routing::Router;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::runtime::Runtime;
use tokio::sync::watch;
use web::ConnectionLimit;
use xitca_web::App;
use xitca_web::service::fn_service;
use xxhash_rust::xxh3::xxh3_64;

use crate::admission::Budget;
use crate::core::Core;
use crate::dispatch::Client;
use crate::drain::{Drain, Phase};
use crate::handover::{self, Peers, Presence, Store, Successor};
use crate::metrics::Metrics;
use crate::{cache, handler, sync};

/// Connections that the kernel queues before they are accepted.
const LISTEN_BACKLOG: i32 = 1_024;
/// Time after which the idle connection of a caller is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// `TCP_USER_TIMEOUT` of callers' connections: the longest time for which sent bytes may stay
/// unacknowledged.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1_024;
/// Largest number of request headers.
const MAX_HEADERS: usize = 64;
/// Bytes that are buffered for one caller's connection before writing pauses.
const WRITE_BUFFER_BYTES: usize = 16 * 1_024;
/// Pause between two checks of the requests in progress during a planned stop.
const STOP_POLL: Duration = Duration::from_millis(10);
/// Longest time for requests in progress to end in [`Phase::Ending`].
const END_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for the answers of [`Phase::Closing`] to be sent.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// A running entry.
pub struct Handle<C> {
    /// Address of the listener.
    pub address: SocketAddr,
    core: Arc<Core<C>>,
    stop_server: Stopper,
    runtime: Runtime,
}

type Stopper = Box<dyn FnOnce() + Send + Sync>;

/// Starts an entry.
///
/// # Errors
/// If the address can't be listened on or a runtime can't be started.
pub fn start<C: Control>(settings: Settings, keys: Keys, control: C) -> Result<Handle<C>> {
    let memory = web::Budget::new(settings.machine.budget_bytes());
    let peers = Peers {
        view: control.view().clone(),
        node: settings.node.clone(),
        data_centre: settings.data_centre.clone(),
        secret: keys.fleet.clone(),
        client: Client::new(settings.entry.connect_timeout, memory.clone()),
    };
    start_within(memory, settings, keys, control, Arc::new(peers))
}

/// Starts an entry that hands over requests to `successor`.
///
/// # Errors
/// If the address can't be listened on or a runtime can't be started.
pub fn start_with<C: Control>(
    settings: Settings,
    keys: Keys,
    control: C,
    successor: Arc<dyn Successor>,
) -> Result<Handle<C>> {
    let memory = web::Budget::new(settings.machine.budget_bytes());
    start_within(memory, settings, keys, control, successor)
}

fn start_within<C: Control>(
    memory: web::Budget,
    settings: Settings,
    keys: Keys,
    control: C,
    successor: Arc<dyn Successor>,
) -> Result<Handle<C>> {
    let listen_at = SocketAddr::new(settings.address, settings.entry.port);
    let io = |error| Error::Io(Step::Listen, Peer::Address(listen_at), error);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads(&settings))
        .thread_name("upstreams")
        .enable_all()
        .build()
        .map_err(io)?;
    let listener = listen(listen_at).map_err(io)?;
    let address = listener.local_addr().map_err(io)?;
    let router = router(&settings);
    let budget_bytes = settings.machine.budget_bytes();
    let metrics = Metrics::default();
    metrics.register(memory.collectors());
    let connect_timeout = settings.entry.connect_timeout;
    let core = Arc::new(Core {
        plain_client: Client::new(settings.entry.connect_timeout, memory.clone()),
        engine_client: Client::for_engines(connect_timeout, memory.clone()),
        settings,
        keys,
        control,
        router,

        memory,
        metrics: Arc::new(metrics),
        accounts: ArcSwap::from_pointee(IndexMap::new()),
        limiters: ArcSwap::from_pointee(IndexMap::new()),
        budget: Budget::default(),
        drain: Drain::default(),
        successor,
        buffers: Store::new(budget_bytes),
        changes: watch::Sender::new(0),
        runtime: runtime.handle().clone(),
    });
    sync::update(&core);
    runtime.spawn(sync::run(core.clone()));
    runtime.spawn(cache::run(core.clone()));
    runtime.spawn(handover::run(core.clone(), Presence { address }));
    let stop_server = serve(&core, listener).map_err(io)?;
    tracing::info!(%address, "entry: listening");
    Ok(Handle {
        address,
        core,
        stop_server,
        runtime,
    })
}

fn router(settings: &Settings) -> Router {
    Router::new(routing::Settings {
        data_centre: settings.data_centre.clone(),
        seed: xxh3_64(settings.node.as_bytes()),
        ..routing::Settings::default()
    })
}

fn threads(settings: &Settings) -> usize {
    match settings.entry.threads {
        0 => std::thread::available_parallelism().map_or(1, usize::from),
        threads => threads,
    }
}

/// Opens the listener; accepted connections inherit its options.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    let listener = TcpListener::from(socket);
    let options = SockRef::from(&listener);
    options.set_tcp_nodelay(true)?;
    options.set_tcp_user_timeout(Some(CALLER_USER_TIMEOUT))?;
    Ok(listener)
}

fn serve<C: Control>(core: &Arc<Core<C>>, listener: TcpListener) -> std::io::Result<Stopper> {
    let entry = &core.settings.entry;
    let workers = threads(&core.settings);
    let machine = core.settings.machine;
    let max_connections = entry.max_connections.min(machine.max_connections());
    let state = core.clone();
    let mut server = App::new()
        .with_state(state)
        .at("/{*}", fn_service(handler::handle::<C>))
        .enclosed(ConnectionLimit::new(max_connections))
        .serve()
        .disable_signal()
        .worker_threads(workers)
        .keep_alive_timeout(IDLE_TIMEOUT)
        .request_head_timeout(entry.head_timeout)
        .max_request_headers::<MAX_HEADERS>()
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .max_write_buf_size::<WRITE_BUFFER_BYTES>()
        .listen(listener)?
        .run();
    let handle = server.handle()?;
    let thread = std::thread::Builder::new()
        .name("callers".into())
        .spawn(move || server.wait())?;
    Ok(Box::new(move || {
        handle.stop(true);
        match thread.join() {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::error!("entry: the listener failed: {error}"),
            Err(_) => tracing::error!("entry: the listener's thread panicked"),
        }
    }))
}

impl<C: Control> Handle<C> {
    /// Returns the runtime of the calls to upstreams.
    pub fn runtime(&self) -> &tokio::runtime::Handle {
        self.runtime.handle()
    }

    /// Returns the access to the control group with which the entry was started.
    pub fn control(&self) -> &C {
        &self.core.control
    }

    /// Stops the entry as planned, and returns once the requests in progress are finished, handed
    /// over or ended. Blocks, so it must not be called from an asynchronous task.
    pub fn stop(self) {
        let core = &self.core;
        let entry = &core.settings.entry;
        core.drain.advance(Phase::Leaving);
        core.notify_streams();
        tracing::info!("entry: waiting for the load balancer to stop sending requests");
        std::thread::sleep(entry.balancer_lag);
        core.drain.advance(Phase::Finishing);
        tracing::info!(
            in_progress = core.drain.in_progress(),
            "entry: finishing the requests in progress"
        );
        let until_offering = entry.hand_over_after.min(entry.drain_timeout);
        if !wait_until_idle(core, until_offering) {
            core.drain.advance(Phase::Offering);
            core.notify_streams();
            tracing::info!(
                in_progress = core.drain.in_progress(),
                "entry: offering the requests in progress to other entries"
            );
        }
        if !wait_until_idle(core, entry.drain_timeout - until_offering) {
            core.drain.advance(Phase::Ending);
            core.notify_streams();
            tracing::warn!(
                in_progress = core.drain.in_progress(),
                "entry: ending the requests in progress"
            );
            if !wait_until_idle(core, END_TIMEOUT) {
                core.drain.advance(Phase::Closing);
                core.notify_streams();
                wait_until_idle(core, CLOSE_TIMEOUT);
            }
        }
        (self.stop_server)();
        self.runtime.shutdown_background();
        tracing::info!("entry: stopped");
    }
}

fn wait_until_idle<C>(core: &Core<C>, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while core.drain.in_progress() > 0 && Instant::now() < until {
        std::thread::sleep(STOP_POLL);
    }
    core.drain.in_progress() == 0
}

/// Runs an entry until the process receives SIGTERM or SIGINT.
///
/// # Errors
/// If the entry can't be started or signals can't be received.
pub fn run<C: Control>(settings: Settings, keys: Keys, control: C) -> Result<()> {
    let handle = start(settings, keys, control)?;
    handle
        .runtime()
        .block_on(wait_for_signal())
        .map_err(|error| Error::Io(Step::Stop, Peer::Local, error))?;
    handle.stop();
    Ok(())
}

async fn wait_for_signal() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
