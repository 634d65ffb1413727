//! The task that renews the freshness lease and puts newer texts in force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};
use tracing::{error, info, warn};
use wire::{Answer, Body, FreshnessLease};

use super::Shared;
use crate::{Config, View};

/// Interval of the requests for a lease; a lease lasts for several intervals.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the requests while no leader answers.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two requests.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for an answer.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);

pub(crate) async fn run(shared: Arc<Shared>) {
    let mut stopped = shared.stopped.subscribe();
    while !*stopped.borrow_and_update() {
        let reached = confirm(&shared).await;
        set_reachable(&shared, reached);
        sleep(MIN_INTERVAL).await;
        let interval = if reached {
            CONFIRM_INTERVAL
        } else {
            RETRY_INTERVAL
        };
        let _ = timeout(interval, shared.confirm_now.notified()).await;
    }
}

/// Requests a freshness lease, and reports whether a leader answered.
async fn confirm(shared: &Shared) -> bool {
    let sent_at = Instant::now();
    let version = shared.freshness().version();
    let request = shared.request(Body::Confirm { version });
    match shared.links.call(request, CONFIRM_TIMEOUT).await {
        Ok(Answer::FreshnessLease(lease)) => {
            apply(shared, sent_at, lease);
            true
        }
        Ok(_) => false,
        Err(error) => {
            if shared.view.load().control_reachable {
                warn!("fleet: the control group does not answer: {error}");
            }
            false
        }
    }
}

fn apply(shared: &Shared, sent_at: Instant, lease: FreshnessLease) {
    let received_ms = sent_at.elapsed().as_millis();
    let bytes = lease.source.as_ref().map_or(0, String::len);
    let parsed = lease
        .source
        .as_deref()
        .map(shared.settings.parser)
        .transpose();
    let text = match parsed {
        Ok(text) => text,
        Err(reason) => {
            error!("fleet: text {} can't be parsed: {reason}", lease.version);
            return;
        }
    };
    shared.links.set_leader(lease.leader);
    let duration = Duration::from_millis(lease.lease_ms);
    let (replaced, expires_at) = {
        let mut freshness = shared.freshness();
        let replaced =
            freshness.apply_confirmation(sent_at, lease.version, text.is_some(), duration);
        (replaced, freshness.expires_at())
    };
    let config = text.filter(|_| replaced).map(|text| {
        info!(
            version = lease.version,
            bytes,
            received_ms,
            elapsed_ms = sent_at.elapsed().as_millis(),
            "fleet: text {} is in force",
            lease.version
        );
        Arc::new(Config {
            version: lease.version,
            text,
        })
    });
    if *shared.stopped.borrow() {
        return;
    }
    shared.view.rcu(|view| View {
        config: config.clone().or_else(|| view.config.clone()),
        fresh_until: expires_at,
        ..(**view).clone()
    });
    if replaced {
        // The leader waits for a request that confirms that the text is in force here.
        shared.confirm_now.notify_one();
    }
}

fn set_reachable(shared: &Shared, reachable: bool) {
    if shared.view.load().control_reachable != reachable {
        info!("fleet: control group reachable: {reachable}");
        shared.view.rcu(|view| View {
            control_reachable: reachable,
            ..(**view).clone()
        });
    }
}
