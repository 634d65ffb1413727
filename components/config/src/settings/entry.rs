//! Settings of `chervilloft entry`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

use crate::text::Balance;

/// Settings of an entry process.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Entry {
    /// Port of the HTTP listener for callers and upstreams.
    pub port: u16,
    /// Address of the listener for callers on routes by host and path.
    pub listen: Option<SocketAddr>,
    /// Address of the listener for the load balancer's readiness checks.
    pub ready: Option<SocketAddr>,
    /// Address of the listener for requests that other entries forward; without it, this entry
    /// takes none.
    pub forwarding: Option<SocketAddr>,
    /// Limits on retries of requests.
    pub retries: Retries,
    /// File with the operators' text to serve without control processes, for trials on one machine.
    pub standalone_text: Option<PathBuf>,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to receive a request head.
    #[serde(with = "crate::duration")]
    pub head_timeout: Duration,
    /// Longest time to receive a request body.
    #[serde(with = "crate::duration")]
    pub body_timeout: Duration,
    /// Most open connections from callers.
    pub max_connections: usize,
    /// Interval of keep-alive comments on a streamed answer.
    #[serde(with = "crate::duration")]
    pub keep_alive: Duration,
    /// Longest time without data from an upstream before its connection counts as lost.
    #[serde(with = "crate::duration")]
    pub upstream_silence: Duration,
    /// Longest time to connect to an upstream.
    #[serde(with = "crate::duration")]
    pub connect_timeout: Duration,
    /// Time for which the load balancer may still send requests after this entry stops being ready.
    #[serde(with = "crate::duration")]
    pub balancer_lag: Duration,
    /// What services are balanced by whose text leaves it open.
    pub balance: Balance,
    /// Time after `balancer_lag` at which requests still in progress are handed over to other
    /// entries.
    #[serde(with = "crate::duration")]
    pub hand_over_after: Duration,
    /// Longest time that a planned stop waits for requests in progress to end.
    #[serde(with = "crate::duration")]
    pub drain_timeout: Duration,
    /// Worker threads that serve callers; 0 for one per core.
    pub threads: usize,
}

impl Default for Entry {
    fn default() -> Self {
        Entry {
            port: 8_080,
            listen: None,
            ready: None,
            forwarding: None,
            retries: Retries::default(),
            standalone_text: None,
            max_body_bytes: 4 * 1_024 * 1_024,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(15),
            max_connections: 10_000,
            keep_alive: Duration::from_secs(2),
            upstream_silence: Duration::from_secs(5),
            connect_timeout: Duration::from_secs(1),
            balancer_lag: Duration::from_secs(2),
            balance: Balance::Auto,
            hand_over_after: Duration::from_millis(1_500),
            drain_timeout: Duration::from_secs(20),
            threads: 0,
        }
    }
}

/// Limits on retries, for each service and over all entries together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Retries {
    /// Most retries in a window, as a fraction of the requests in it.
    pub ratio: f64,
    /// Window over which requests and retries are counted.
    #[serde(with = "crate::duration")]
    pub window: Duration,
    /// Retries in a window that are allowed in addition to the ratio.
    pub slack: f64,
}

impl Default for Retries {
    fn default() -> Self {
        Retries {
            ratio: 0.2,
            window: Duration::from_secs(10),
            slack: 50.0,
        }
    }
}
