//! State shared by the tasks of one entry.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwap;
use fleet::Member;
use tokio::sync::Notify;
use upstream::Origins;

use crate::crash::Broken;
use crate::demand::Demand;
use crate::drain::Drain;
use crate::forward::Forwarders;
use crate::permits::Permits;
use crate::pool::Pool;
use crate::quarantine::Quarantine;
use crate::reach::Reach;
use crate::samples::Samples;
use crate::{
    Accounts, Balancer, Classes, Contact, Metrics, Plans, Protocol, Readiness, Retries, Rollouts,
    Settings, Table, Usage,
};

/// State shared by the tasks of one entry.
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) member: Member,
    pub(crate) metrics: Metrics,
    /// Memory for bodies of callers and other entries.
    pub(crate) budget: web::Budget,
    pub(crate) drain: Drain,
    pub(crate) table: ArcSwap<Table>,
    pub(crate) started: Instant,
    pub(crate) balancer: Mutex<Balancer>,
    pub(crate) accounts: Mutex<Accounts>,
    pub(crate) retries: Mutex<Retries>,
    pub(crate) usage: Mutex<Usage>,
    pub(crate) demand: Mutex<Demand>,
    /// Demand for services that are balanced by work, by rank and account.
    pub(crate) classes: Mutex<Classes>,
    /// Shares of the requests that are admitted.
    pub(crate) plans: Mutex<Plans>,
    /// Whether this entry knows all upstreams that others know.
    pub(crate) contact: Mutex<Contact>,
    /// Samples of complete answers since the last report.
    pub(crate) samples: Mutex<Samples>,
    /// Software versions of the streams that began at this entry.
    pub(crate) origins: Mutex<Origins>,
    pub(crate) pool: Mutex<Pool>,
    pub(crate) readiness: Readiness,
    /// Crashes of upstreams, and what is in quarantine.
    pub(crate) quarantine: Mutex<Quarantine>,
    /// Connections to upstreams that may have crashed.
    pub(crate) broken: Mutex<Broken>,
    /// Services whose upstreams are out of this entry's reach.
    pub(crate) reach: Mutex<Reach>,
    /// Entries to which requests for them may be forwarded.
    pub(crate) forwarders: Mutex<Forwarders>,
    /// Draws under the limits that upstreams name.
    pub(crate) permits: Mutex<Permits>,
    /// Counts by software version during roll-outs.
    pub(crate) rollouts: Mutex<Rollouts>,
    /// Wakes the task that reports to the leader.
    pub(crate) report_now: Notify,
}

/// Locks `mutex`, also if it is poisoned. The guard must not be held across an await.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
