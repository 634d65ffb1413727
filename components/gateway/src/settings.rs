//! Settings of the request path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::ids::{DataCentreId, NodeId};
use config::settings::Retries;
use config::text::Balance;

use crate::Network;
use crate::drain::Schedule;

/// Time before the end of a planned stop at which requests that still wait for an answer get one, so
/// that it leaves before the process is killed.
const END_MARGIN: Duration = Duration::from_millis(400);

/// Settings of one entry's gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry.
    pub node: NodeId,
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Address of the listener for callers.
    pub listen: SocketAddr,
    /// Address of the listener for readiness probes of the external load balancer.
    pub ready: SocketAddr,
    /// Address of the listener for metrics; `None` for no listener.
    pub metrics: Option<SocketAddr>,
    /// Address of the listener for requests that other entries forward; `None` to take none.
    pub forwarding: Option<SocketAddr>,
    /// Bounds on retries.
    pub retries: Retries,
    /// Length of the windows in which requests are counted; 0 disables the counts.
    pub usage_window: Duration,
    /// Time for which the external load balancer may still send requests after the entry reports
    /// that it is not ready.
    pub balancer_lag: Duration,
    /// What services are balanced by whose text leaves it open.
    pub balance: Balance,
    /// Longest duration of a planned stop.
    pub drain_timeout: Duration,
    /// Memory for the bodies of callers and other entries, in bytes.
    pub budget_bytes: usize,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Maximum number of open connections from other entries.
    pub max_forwarded_connections: usize,
    /// Opens connections to upstreams.
    pub network: Arc<dyn Network>,
}

impl Settings {
    /// Returns the times of a planned stop.
    pub(crate) fn schedule(&self) -> Schedule {
        Schedule {
            balancer_lag: self.balancer_lag,
            end: self.drain_timeout.saturating_sub(END_MARGIN),
        }
    }
}
