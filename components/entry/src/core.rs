//! The state that all requests of one entry process share.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use config::Keys;
use config::ids::{AccountId, ServiceId};
use config::settings::Settings;
use fleet::{Config, Control};
use indexmap::IndexMap;
use routing::Router;
use tokio::runtime::Handle;
use tokio::sync::watch;

use crate::admission::{Budget, Limiter, Usage};
use crate::dispatch::Client;
use crate::drain::{Drain, Phase};
use crate::failure::{Failure, Kind};
use crate::handover::{Store, Successor};
use crate::metrics::Metrics;

/// Suggested pause before a retry while the text in force is not known to be the newest.
const STALE_RETRY: Duration = Duration::from_secs(1);

/// The shared state of one entry process.
pub(crate) struct Core<C> {
    /// Settings of the process.
    pub settings: Settings,
    /// Keys and secrets of accounts, upstreams and the fleet.
    pub keys: Keys,
    /// Access to the control group.
    pub control: C,
    /// Chooses an upstream for each request.
    pub router: Router,
    /// Client for requests to other entries and for idempotent calls of plain services. Calls that
    /// are not idempotent open a connection each, see [`Oneshot`](crate::dispatch::Oneshot).
    pub plain_client: Client,
    /// Client for engines.
    pub engine_client: Client,
    /// Memory for the bodies of requests and of answers that are collected.
    pub memory: web::Budget,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Usage of limits by account.
    pub accounts: ArcSwap<IndexMap<AccountId, Arc<Usage>>>,
    /// Concurrency limiters by service.
    pub limiters: ArcSwap<IndexMap<ServiceId, Arc<Limiter>>>,
    /// The retry budget.
    pub budget: Budget,
    /// Progress of the planned stop of this process.
    pub drain: Drain,
    /// Takes over requests that can't be finished here.
    pub successor: Arc<dyn Successor>,
    /// Answers buffered for callers that may reconnect.
    pub buffers: Store,
    /// Incremented when the set of leaving upstreams changes or the planned stop advances, to wake
    /// the streams in progress and the task that announces this entry. The value has no other
    /// meaning.
    pub changes: watch::Sender<u64>,
    /// Runtime of the calls to upstreams.
    pub runtime: Handle,
}

impl<C: Control> Core<C> {
    /// Returns the text in force.
    ///
    /// # Errors
    /// If there is no text, or the text is not known to be the newest.
    pub(crate) fn config(&self) -> Result<Arc<Config>, Failure> {
        let view = self.control.view().load();
        let stale = || {
            let message = "the text in force is not known to be the newest";
            Failure::retryable(Kind::Unavailable, message, STALE_RETRY)
        };
        view.fresh_config(Instant::now()).cloned().ok_or_else(stale)
    }

    /// Returns the usage of `account`.
    pub(crate) fn usage(&self, account: &str) -> Option<Arc<Usage>> {
        self.accounts.load().get(account).cloned()
    }

    /// Returns the concurrency limiter of `service`.
    pub(crate) fn limiter(&self, service: &str) -> Option<Arc<Limiter>> {
        self.limiters.load().get(service).cloned()
    }

    /// Reports whether the process is ready for requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.drain.is_serving() && self.config().is_ok()
    }

    /// Makes all streams in progress check the leaving upstreams and the planned stop.
    pub(crate) fn notify_streams(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns once a planned stop has reached `phase`.
    pub(crate) async fn until(&self, phase: Phase) {
        let mut changes = self.changes.subscribe();
        while self.drain.phase() < phase {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}
