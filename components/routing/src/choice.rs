//! The outcome of routing.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use config::ids::UpstreamId;

use crate::Ticket;

/// The upstream chosen, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Expected time to the first token or byte.
    pub expected_first_token: Duration,
    /// Prompt tokens expected to be in its cache.
    pub cached_tokens: usize,
    /// Upstreams that could have been chosen, this one included.
    pub considered: usize,
    /// Why this one was chosen, for the log line.
    pub reason: CompactString,
    /// Counts the request against its upstream until it is finished.
    pub ticket: Ticket,
}
