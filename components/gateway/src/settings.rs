//! Settings of the request path.

use std::net::SocketAddr;
use std::time::Duration;

use config::ids::{DataCentreId, NodeId};
use config::settings::Retries;

/// What an entry needs to know for routes by host and path.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry.
    pub node: NodeId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Address of the listener for callers.
    pub listen: SocketAddr,
    /// Address at which the balancer asks whether the entry takes new connections.
    pub ready: SocketAddr,
    /// Address of the listener for metrics.
    pub metrics: Option<SocketAddr>,
    /// Bounds on repeated requests.
    pub retries: Retries,
    /// Length of the windows in which requests that ran are counted; 0 for no counts.
    pub usage_window: Duration,
    /// Time for which the balancer may still send requests after readiness is gone.
    pub balancer_lag: Duration,
    /// Longest time for a planned stop.
    pub drain_timeout: Duration,
    /// Open connections from callers.
    pub max_connections: usize,
}
