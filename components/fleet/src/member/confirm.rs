//! The task that renews the freshness lease and puts newer texts in force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use config::Text;
use config::ids::Version;
use config::release;
use tokio::task::spawn_blocking;
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
        let interval = match confirm(&shared).await {
            Confirmed::Applied => CONFIRM_INTERVAL,
            Confirmed::NotFetched | Confirmed::Unreached => RETRY_INTERVAL,
        };
        sleep(MIN_INTERVAL).await;
        let _ = timeout(interval, shared.confirm_now.notified()).await;
    }
}

/// Result of a request for a lease.
enum Confirmed {
    /// A leader answered, and its answer was applied.
    Applied,
    /// A leader named a text that could not be fetched.
    NotFetched,
    /// No leader answered.
    Unreached,
}

/// Requests a freshness lease.
async fn confirm(shared: &Arc<Shared>) -> Confirmed {
    let sent_at = Instant::now();
    let version = shared.freshness().version();
    let request = shared.request(Body::Confirm {
        version,
        fetches: true,
    });
    match shared.links.call(request, CONFIRM_TIMEOUT).await {
        Ok(Answer::FreshnessLease(lease)) => {
            set_reachable(shared, true);
            apply(shared, sent_at, lease).await
        }
        Ok(_) => {
            set_reachable(shared, false);
            Confirmed::Unreached
        }
        Err(error) => {
            if shared.view.load().control_reachable {
                warn!("fleet: the control group does not answer: {error}");
            }
            set_reachable(shared, false);
            Confirmed::Unreached
        }
    }
}

/// Applies a lease. If it names a newer text, fetches that and puts it in force.
async fn apply(shared: &Arc<Shared>, sent_at: Instant, lease: FreshnessLease) -> Confirmed {
    let leader = lease.leader;
    shared.links.set_leader(leader.clone());
    let duration = Duration::from_millis(lease.lease_ms);
    let version = lease.version;
    if version <= shared.freshness().version() {
        let expires_at = {
            let mut freshness = shared.freshness();
            freshness.apply_confirmation(sent_at, version, false, duration);
            freshness.expires_at()
        };
        update_view(shared, None, expires_at);
        return Confirmed::Applied;
    }
    shared.hear(version, &leader);
    let source = match lease.source {
        // A control process of an earlier release sends the text with the lease.
        Some(source) => source.into(),
        None => {
            // Releases before the declaration that answer so can be asked for the text.
            shared.links.raise_level_of(&leader, release::EDITS);
            match shared.fetch_text(version).await {
                Ok(source) => source,
                Err(_) => return Confirmed::NotFetched,
            }
        }
    };
    let fetched = sent_at.elapsed();
    let Some(text) = parse(shared, version, source).await else {
        return Confirmed::Applied;
    };
    let parsed = sent_at.elapsed();
    let expires_at = {
        let mut freshness = shared.freshness();
        freshness.apply_confirmation(sent_at, version, true, duration);
        freshness.expires_at()
    };
    update_view(shared, Some(Arc::new(Config { version, text })), expires_at);
    let heard = shared.heard().take_if(|heard| heard.0 <= version);
    info!(
        version,
        heard_ms = heard.map(|(_, at)| at.elapsed().as_millis()),
        fetched_ms = fetched.as_millis(),
        parsed_ms = parsed.saturating_sub(fetched).as_millis(),
        elapsed_ms = sent_at.elapsed().as_millis(),
        "fleet: text {version} is in force"
    );
    // The leader waits for a request that confirms that the text is in force here.
    shared.confirm_now.notify_one();
    Confirmed::Applied
}

/// Parses a text, and keeps its source as the base of later ones.
async fn parse(shared: &Arc<Shared>, version: Version, source: Arc<str>) -> Option<Text> {
    let parser = shared.settings.parser;
    let to_parse = source.clone();
    // A large text takes a while on a small instance, which goes on serving meanwhile.
    let parsed = spawn_blocking(move || parser(&to_parse)).await;
    match parsed {
        Ok(Ok(text)) => {
            *shared.source() = (version, source);
            Some(text)
        }
        Ok(Err(reason)) => {
            error!("fleet: text {version} can't be parsed: {reason}");
            None
        }
        Err(failed) => {
            error!("fleet: the parser of text {version} failed: {failed}");
            None
        }
    }
}

/// Updates the end of the lease, and the text if there is a newer one.
fn update_view(shared: &Shared, config: Option<Arc<Config>>, expires_at: Option<Instant>) {
    if *shared.stopped.borrow() {
        return;
    }
    shared.view.rcu(|view| View {
        config: config.clone().or_else(|| view.config.clone()),
        fresh_until: expires_at,
        ..(**view).clone()
    });
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
