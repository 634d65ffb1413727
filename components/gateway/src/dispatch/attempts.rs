//! What is known of the attempts of one request.

use config::ids::UpstreamId;
use upstream::Software;

use crate::Refusal;
use crate::call::Call;

/// Upstreams that one prompt may crash.
const MAX_BROKEN: u32 = 2;

/// Attempts of one request so far.
#[derive(Default)]
pub(crate) struct Attempts {
    /// Upstreams that were tried.
    pub(super) excluded: Vec<UpstreamId>,
    /// Software version at which the stream has to go on; `None` for any.
    pub(super) software: Option<Software>,
    /// Attempts that reached an upstream.
    pub(super) sends: u32,
    pub(super) connect_failures: u32,
    /// Upstreams whose connection broke off before the answer had begun well.
    pub(super) broken: u32,
    /// Refusal to return once an upstream may have run the request.
    pub(super) unknown_outcome: Option<Refusal>,
}

impl Attempts {
    /// Creates the state of a request that has to run at `software`, if that is set.
    pub(crate) fn at(software: Option<Software>) -> Self {
        Attempts {
            software,
            ..Attempts::default()
        }
    }

    /// Restricts further attempts to the software version of the upstream that began the stream.
    pub(crate) fn keep_to(&mut self, software: &Software) {
        self.software.get_or_insert_with(|| software.clone());
    }

    /// Counts an answer that broke off before it had begun well.
    pub(crate) fn record_broken(&mut self) {
        self.broken += 1;
    }

    /// Reports whether the request may have crashed so many upstreams that it must not be sent again.
    pub(super) fn may_crash_more(&self, call: &Call) -> bool {
        call.shared_parts.is_empty() || self.broken < MAX_BROKEN
    }

    /// Counts the attempt at an upstream that answered, and excludes it from further ones.
    pub(crate) fn record_answer(&mut self, upstream: &UpstreamId) {
        self.excluded.push(upstream.clone());
        self.sends += 1;
    }
}
