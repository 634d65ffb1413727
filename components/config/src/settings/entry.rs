//! Settings of `chervilloft entry`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

/// Settings of an entry process.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Entry {
    /// Port of the HTTP listener for callers and upstreams.
    pub port: u16,
    /// Whole address of the listener for callers on routes by host and path.
    pub listen: Option<SocketAddr>,
    /// Address at which the balancer asks whether this entry takes new connections.
    pub ready: Option<SocketAddr>,
    /// Bounds on repeated requests.
    pub retries: Retries,
    /// Operators' text to serve without control processes, for trials on one machine.
    pub standalone_text: Option<PathBuf>,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request head.
    #[serde(with = "crate::duration")]
    pub head_timeout: Duration,
    /// Longest time for a request body.
    #[serde(with = "crate::duration")]
    pub body_timeout: Duration,
    /// Open connections from callers.
    pub max_connections: usize,
    /// Time between keep-alive comments on a streamed answer.
    #[serde(with = "crate::duration")]
    pub keep_alive: Duration,
    /// Longest silence of an upstream before its connection counts as lost.
    #[serde(with = "crate::duration")]
    pub upstream_silence: Duration,
    /// Longest time to connect to an upstream.
    #[serde(with = "crate::duration")]
    pub connect_timeout: Duration,
    /// Time for which the balancer may still send requests after readiness is gone.
    #[serde(with = "crate::duration")]
    pub balancer_lag: Duration,
    /// Time after `balancer_lag` at which other entries go on with what is still in progress.
    #[serde(with = "crate::duration")]
    pub hand_over_after: Duration,
    /// Longest time for a planned stop before work is handed over.
    #[serde(with = "crate::duration")]
    pub drain_timeout: Duration,
    /// Worker threads for callers; 0 for one per core.
    pub threads: usize,
}

impl Default for Entry {
    fn default() -> Self {
        Entry {
            port: 8_080,
            listen: None,
            ready: None,
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
            hand_over_after: Duration::from_millis(1_500),
            drain_timeout: Duration::from_secs(20),
            threads: 0,
        }
    }
}

/// Bounds on requests that are sent to an upstream again, for each service and over all entries.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Retries {
    /// Repeats relative to requests.
    pub ratio: f64,
    /// Time over which both are counted.
    #[serde(with = "crate::duration")]
    pub window: Duration,
    /// Repeats that are allowed beyond the ratio.
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
