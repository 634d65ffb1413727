//! Connects to upstreams to find out whether they are within reach.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use config::ids::{ServiceId, UpstreamId};
use tokio::time::sleep;
use tracing::{info, warn};

use super::Finding;
use crate::connection::Connection;
use crate::core::{Core, lock};

/// Time between two probes of a service that is out of reach.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Upstreams of a service that are checked once the first one accepts no connection.
const CHECKED: usize = 3;

/// Records whether `upstream` accepted a connection.
pub(crate) fn record(core: &Arc<Core>, service: &ServiceId, upstream: &UpstreamId, accepted: bool) {
    if accepted {
        if lock(&core.reach).record_success(service) {
            regain(core, service);
        }
        return;
    }
    let now = Instant::now();
    let known = lock(&core.balancer).serving(service, now).len();
    let finding = lock(&core.reach).record_failure(service, upstream, known, now);
    match finding {
        Finding::First => check_others(core, service, upstream),
        Finding::Lost => lose(core, service),
        Finding::Known => {}
    }
}

/// Checks in the background whether an upstream that did not answer accepts connections.
pub(crate) fn check(core: &Arc<Core>, service: &ServiceId, upstream: &UpstreamId, to: SocketAddr) {
    let (core, service, upstream) = (core.clone(), service.clone(), upstream.clone());
    tokio::spawn(async move { probe(&core, &service, &upstream, to).await });
}

async fn probe(core: &Arc<Core>, service: &ServiceId, upstream: &UpstreamId, to: SocketAddr) {
    let opened = Connection::open(&*core.settings.network, to).await;
    record(core, service, upstream, opened.is_ok());
}

fn check_others(core: &Arc<Core>, service: &ServiceId, failed: &UpstreamId) {
    let serving = lock(&core.balancer).serving(service, Instant::now());
    let others = serving.into_iter().filter(|(name, _)| name != failed);
    for (name, address) in others.take(CHECKED) {
        check(core, service, &name, address);
    }
}

fn lose(core: &Arc<Core>, service: &ServiceId) {
    warn!(%service, "reach: no upstream accepts connections from this entry");
    let now = Instant::now();
    let (services, upstreams) = {
        let balancer = lock(&core.balancer);
        (balancer.services(), balancer.serving(service, now))
    };
    // Idle connections may hang.
    let is_lost = |name: &UpstreamId| upstreams.iter().any(|(upstream, _)| upstream == name);
    lock(&core.pool).remove_upstreams(is_lost);
    core.report_now.notify_one();
    // What cut off one service may have cut off others, which nobody may request now.
    for other in services.iter().filter(|other| *other != service) {
        if lock(&core.reach).is_lost(other) {
            continue;
        }
        let serving = lock(&core.balancer).serving(other, now);
        for (name, address) in serving.into_iter().take(CHECKED) {
            check(core, other, &name, address);
        }
    }
}

fn regain(core: &Core, service: &ServiceId) {
    info!(%service, "reach: upstreams accept connections again");
    // They were ejected because of the cut.
    lock(&core.balancer).end_ejections(service);
    core.report_now.notify_one();
}

/// Probes the services that are out of reach for as long as the process runs.
pub(crate) async fn run(core: Arc<Core>) {
    for turn in 0_usize.. {
        sleep(PROBE_PERIOD).await;
        let lost = lock(&core.reach).lost();
        for service in lost {
            let serving = lock(&core.balancer).serving(&service, Instant::now());
            match serving.get(turn % serving.len().max(1)) {
                Some((name, address)) => check(&core, &service, name, *address),
                // Other entries know of no upstream either.
                None => {
                    lock(&core.reach).record_success(&service);
                }
            }
        }
    }
}
