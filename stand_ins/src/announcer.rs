//! Announces an upstream to entries and renews its lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use config::keys::Secret;
use http::Method;
use serde::Deserialize;
use tokio::sync::Notify;
use upstream::{Announcement, SIGNATURE_HEADER};

use crate::{Lifecycle, web};

/// Time until the next announcement when an entry names none, refuses or does not answer.
const DEFAULT_RENEWAL: Duration = Duration::from_millis(200);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of the announcements of an upstream.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of entries or of their load balancer, used in turn.
    pub entries: Vec<SocketAddr>,
    /// Secret with which announcements are signed.
    pub secret: Secret,
    /// Time for which an announcement is valid.
    pub lease: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            entries: Vec::new(),
            secret: Secret::default(),
            lease: Duration::from_secs(3),
        }
    }
}

/// Triggers announcements and counts their results; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Handle {
    wake: Arc<Notify>,
    accepted: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
}

impl Handle {
    /// Sends an announcement without waiting for the next renewal.
    pub fn announce_now(&self) {
        self.wake.notify_one();
    }

    /// Returns the number of accepted announcements.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Returns the number of refused announcements.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }
}

/// Sends the announcements that `describe` returns for each sequence number until the stand-in is
/// killed.
///
/// Does nothing when `settings` names no entries.
pub fn start<D>(settings: Settings, lifecycle: &Lifecycle, handle: Handle, describe: D)
where
    D: Fn(u64) -> Announcement + Send + Sync + 'static,
{
    if settings.entries.is_empty() {
        return;
    }
    let task_lifecycle = lifecycle.clone();
    lifecycle.spawn(async move {
        let mut sequence = 0;
        loop {
            task_lifecycle.wait_until_thawed().await;
            sequence += 1;
            let renewal = announce(&settings, sequence, &handle, &describe).await;
            let _ = tokio::time::timeout(renewal, handle.wake.notified()).await;
        }
    });
}

/// Returns an incarnation larger than those of earlier processes: Unix time in milliseconds.
pub fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |since| since.as_millis() as u64)
}

#[derive(Deserialize)]
struct Accepted {
    renew_ms: u64,
}

async fn announce<D>(settings: &Settings, sequence: u64, handle: &Handle, describe: &D) -> Duration
where
    D: Fn(u64) -> Announcement,
{
    let entry = settings.entries[sequence as usize % settings.entries.len()];
    let announcement = describe(sequence);
    let body = serde_json::to_vec(&announcement).expect("an announcement is JSON");
    let signature = settings.secret.sign(&body);
    let headers = [
        (SIGNATURE_HEADER, signature.as_str()),
        ("content-type", "application/json"),
    ];
    let path = "/v1/upstreams";
    let body = Bytes::from(body);
    let answer =
        web::call_with_headers(entry, Method::POST, path, &headers, body, ANSWER_TIMEOUT).await;
    match answer {
        Ok(answer) if answer.status.is_success() => {
            handle.accepted.fetch_add(1, Ordering::Relaxed);
            let accepted: Option<Accepted> = serde_json::from_slice(&answer.body).ok();
            accepted.map_or(DEFAULT_RENEWAL, |a| Duration::from_millis(a.renew_ms))
        }
        Ok(answer) => {
            handle.refused.fetch_add(1, Ordering::Relaxed);
            let name = &announcement.upstream;
            tracing::warn!(
                "announcer: entry {entry} refused the announcement of \"{name}\" with status {}",
                answer.status
            );
            DEFAULT_RENEWAL
        }
        Err(cause) => {
            tracing::debug!("announcer: the announcement to entry {entry} failed: {cause}");
            DEFAULT_RENEWAL
        }
    }
}
