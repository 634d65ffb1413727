//! Counts of what was expected of the engines' caches, for metrics.

use std::net::SocketAddr;

use super::Balancer;
use super::holders::Holder;

/// What was expected of the engines' caches since the last look.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Requests with an engine to fetch from to which this entry has sent the parts.
    pub known_sources: u64,
    /// Requests with an engine to fetch from that was derived from the recent homes.
    pub assumed_sources: u64,
    /// Requests that were sent to the second place of their parts.
    pub second_places: u64,
    /// Tokens of shared parts that were expected to be computed.
    pub cold_tokens: u64,
}

impl Tally {
    /// Counts a request.
    pub(super) fn record(
        &mut self,
        source: &Option<(Holder, SocketAddr)>,
        is_second_place: bool,
        cold_tokens: u32,
    ) {
        match source {
            Some((holder, _)) if holder.is_known => self.known_sources += 1,
            Some(_) => self.assumed_sources += 1,
            None => {}
        }
        self.second_places += u64::from(is_second_place);
        self.cold_tokens += u64::from(cold_tokens);
    }
}

impl Balancer {
    /// Returns what was counted since the last call.
    pub fn take_tally(&mut self) -> Tally {
        std::mem::take(&mut self.tally)
    }
}
