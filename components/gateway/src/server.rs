//! Listeners and planned stop of the gateway.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use errors::{Error, Peer, Result, Step};
use fleet::Member;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio::time::sleep;
use tracing::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::balancer;
use crate::core::{Core, lock};
use crate::drain::Drain;
use crate::pool::Pool;
use crate::{
    Accounts, Balancer, Metrics, Protocol, Readiness, Retries, Settings, Table, Usage, exchange,
    explain, forward, reach, sync,
};

/// Number of entries assumed to share the retry budget until the leader has answered the first
/// report, which is sent as soon as there is a text.
const ASSUMED_ENTRIES: u32 = 10;
/// Maximum number of open connections to each of the listeners for readiness and metrics.
const MAX_PROBE_CONNECTIONS: usize = 64;
/// Pause between two checks of the requests in progress during a planned stop.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Time that connections get to close after the last answer.
const CLOSE_DELAY: Duration = Duration::from_millis(100);

/// A running gateway.
pub struct Gateway {
    core: Arc<Core>,
    servers: Servers,
}

impl Gateway {
    /// Starts serving callers on the current runtime.
    ///
    /// # Errors
    /// Returns an error if the process can't listen on an address.
    pub fn start(
        settings: Settings,
        protocol: Arc<dyn Protocol>,
        member: Member,
    ) -> Result<Gateway> {
        let core = build_core(settings, protocol, member);
        let servers = listen(&core)?;
        tokio::spawn(sync::watch_view(core.clone(), servers.callers.clone()));
        tokio::spawn(sync::report(core.clone()));
        tokio::spawn(reach::run(core.clone()));
        info!(
            "gateway: listens on {} for callers and on {} for readiness",
            core.settings.listen, core.settings.ready
        );
        Ok(Gateway { core, servers })
    }

    /// Returns the number of known upstreams.
    pub fn upstream_count(&self) -> usize {
        lock(&self.core.balancer).len()
    }

    /// Reports as not ready, and returns once the requests in progress are answered or the drain
    /// timeout has passed.
    pub async fn stop(&self) {
        stop(&self.core, &self.servers).await;
    }
}

/// Serves callers until SIGTERM or SIGINT, and then stops as planned.
///
/// # Errors
/// Returns an error if the process can't listen on an address or can't handle signals.
pub async fn run(settings: Settings, protocol: Arc<dyn Protocol>, member: Member) -> Result<()> {
    let signal_error = |error| Error::Io(Step::Load, Peer::Local, error);
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    let mut reload = signal(SignalKind::hangup()).map_err(signal_error)?;
    let gateway = Gateway::start(settings, protocol, member)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => {
                info!("gateway: received SIGTERM, stopping");
                break;
            }
            _ = interrupt.recv() => {
                info!("gateway: received SIGINT, stopping");
                break;
            }
            _ = reload.recv() => info!(
                "gateway: received SIGHUP, settings take effect at the next start"
            ),
        }
    }
    gateway.stop().await;
    Ok(())
}

/// Servers of the gateway; the readiness and metrics listeners run until the process ends.
struct Servers {
    callers: web::Server,
    /// Takes requests that other entries forward.
    forwarded: Option<web::Server>,
    _ready: web::Server,
    _metrics: Option<web::Server>,
}

impl Servers {
    /// Returns the number of open connections of callers and other entries.
    fn open_connections(&self) -> usize {
        let servers = self.forwarded.iter().chain([&self.callers]);
        servers.map(web::Server::open_connections).sum()
    }
}

fn build_core(settings: Settings, protocol: Arc<dyn Protocol>, member: Member) -> Arc<Core> {
    let now = Instant::now();
    let unix_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        });
    let balancer_settings = balancer::Settings {
        data_centre: settings.data_centre.clone(),
        balance: settings.balance,
        seed: xxh3_64(settings.node.as_bytes()),
        ..balancer::Settings::default()
    };
    let metrics = Metrics::default();
    let budget = web::Budget::new(settings.budget_bytes);
    metrics.register(budget.collectors());
    Arc::new(Core {
        budget,
        quarantine: Mutex::default(),
        broken: Mutex::default(),
        permits: Mutex::default(),
        reach: Mutex::default(),
        forwarders: Mutex::default(),
        report_now: Notify::new(),
        retries: Mutex::new(Retries::new(settings.retries, ASSUMED_ENTRIES)),
        usage: Mutex::new(Usage::new(settings.usage_window, unix_ms, now)),
        settings,
        protocol,
        member,
        metrics,
        drain: Drain::default(),
        table: ArcSwap::from_pointee(Table::default()),
        started: now,
        balancer: Mutex::new(Balancer::new(balancer_settings)),
        accounts: Mutex::new(Accounts::default()),
        demand: Mutex::default(),
        classes: Mutex::default(),
        plans: Mutex::default(),
        rollouts: Mutex::default(),
        samples: Mutex::default(),
        contact: Mutex::default(),
        origins: Mutex::default(),
        pool: Mutex::new(Pool::default()),
        readiness: Readiness::default(),
    })
}

/// Returns the limits on the connections of callers, whose heads have `head_timeout`.
pub(crate) fn callers_settings(core: &Core, head_timeout: Option<Duration>) -> web::Settings {
    web::Settings {
        head_timeout,
        max_connections: core.settings.max_connections,
        ..web::Settings::default()
    }
}

fn listen(core: &Arc<Core>) -> Result<Servers> {
    let limited_to = |max_connections| web::Settings {
        max_connections,
        ..web::Settings::default()
    };
    let callers = callers_settings(core, None);
    let probes = limited_to(MAX_PROBE_CONNECTIONS);
    let entries = limited_to(core.settings.max_forwarded_connections);
    let exchange = {
        let core = core.clone();
        move |request, _| exchange::serve(core.clone(), request)
    };
    let ready = {
        let core = core.clone();
        move |request, _| answer_probe(core.clone(), request)
    };
    let metrics = |address| {
        let core = core.clone();
        let serve = move |request, _| answer_operator(core.clone(), request);
        Ok::<_, Error>(web::Server::start(web::listen(address)?, probes, serve))
    };
    let forwarded = |address| {
        let core = core.clone();
        let serve = move |request, _| forward::serve(core.clone(), request);
        Ok::<_, Error>(web::Server::start(web::listen(address)?, entries, serve))
    };
    let listener = web::listen(core.settings.listen)?;
    let callers = web::Server::start(listener, callers, exchange);
    core.metrics.register(callers.collectors());
    Ok(Servers {
        callers,
        forwarded: core.settings.forwarding.map(forwarded).transpose()?,
        _ready: web::Server::start(web::listen(core.settings.ready)?, probes, ready),
        _metrics: core.settings.metrics.map(metrics).transpose()?,
    })
}

/// Answers a readiness probe: the entry is ready if it has a text and is not stopping.
async fn answer_probe(core: Arc<Core>, request: Request<Incoming>) -> Response<web::Body> {
    let has_text = core.table.load().version() > 0;
    let status = match request.uri().path() {
        path if path != core.protocol.ready_path() => StatusCode::NOT_FOUND,
        _ if has_text && !core.drain.is_stopping() => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut answer = Response::new(web::empty());
    *answer.status_mut() = status;
    answer
}

/// Explains a route if that is asked for, otherwise returns the metrics.
async fn answer_operator(core: Arc<Core>, request: Request<Incoming>) -> Response<web::Body> {
    if explain::is_asked(&request) {
        return explain::serve(&core, request).await;
    }
    core.budget.update_metrics();
    Response::new(web::full(core.metrics.render()))
}

/// Accepts connections until the external load balancer has noticed the stop, and returns once no
/// request is in progress and no connection is open, or the drain timeout has passed. A request whose
/// head is still arriving is not in progress yet, but its connection is open. Requests that still wait
/// for an answer then get one shortly before.
async fn stop(core: &Core, servers: &Servers) {
    let began = Instant::now();
    let schedule = core.settings.schedule();
    core.drain.stop(began);
    let mut is_retired = false;
    loop {
        let waited = began.elapsed();
        let is_quiet = waited >= schedule.balancer_lag && servers.open_connections() == 0;
        if is_quiet && core.drain.close() {
            break;
        }
        if waited >= schedule.end {
            core.drain.end();
            sleep(CLOSE_DELAY).await;
            break;
        }
        if !is_retired && waited >= schedule.balancer_lag {
            // Callers whose connections are closed open new ones, which the load balancer sends to
            // other entries.
            servers.callers.retire();
            servers.forwarded.iter().for_each(web::Server::retire);
            is_retired = true;
        }
        sleep(STOP_POLL).await;
    }
    servers.callers.stop();
    servers.forwarded.iter().for_each(web::Server::stop);
    sleep(CLOSE_DELAY).await;
    info!(
        open = servers.open_connections(),
        "gateway: stopped, {} requests in progress",
        core.drain.in_progress()
    );
}
