//! The result of a successful choice.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use config::ids::UpstreamId;
use upstream::Software;

use crate::Ticket;

/// The chosen upstream and the reason for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Chosen upstream.
    pub upstream: UpstreamId,
    /// Version of the upstream's software.
    pub software: Software,
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Expected time to the first token or byte.
    pub expected_first_token: Duration,
    /// Prompt tokens expected to be in the upstream's cache.
    pub cached_tokens: usize,
    /// Number of usable upstreams that were scored, including the chosen one.
    pub considered: usize,
    /// Why the upstream was chosen, for the log.
    pub reason: CompactString,
    /// Counts the request as in flight at the upstream until it is finished.
    pub ticket: Ticket,
}
