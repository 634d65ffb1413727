//! What is known of the attempts of one request.

use config::ids::{NodeId, UpstreamId};
use upstream::Software;

use super::{Failure, SHED_RETRY_AFTER};
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
    /// Whether a retry was taken from the budget for the next attempt.
    pub(super) holds_retry: bool,
    /// Entries that were asked for an attempt and did not make it, or did not answer.
    pub(super) forwarders: Vec<NodeId>,
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

    /// Reports whether the route of `call` allows only one more attempt.
    pub(super) fn is_last(&self, call: &Call) -> bool {
        self.sends + 1 >= call.route.attempts
    }

    /// Returns the refusal that states that an upstream may have run the request if one may have,
    /// otherwise `refusal`.
    pub(super) fn truthful(&mut self, refusal: Refusal) -> Refusal {
        self.unknown_outcome.take().unwrap_or(refusal)
    }

    /// Returns the refusal of a request that no upstream has run and that may not be sent again.
    pub(super) fn shed(&mut self) -> Refusal {
        self.truthful(Refusal::Shed(SHED_RETRY_AFTER))
    }

    /// Counts an attempt that failed.
    pub(super) fn record_failure(&mut self, failure: &Failure) {
        match failure {
            Failure::Unsent(_) => {
                self.connect_failures += 1;
                return;
            }
            Failure::Broken(detail) => {
                self.broken += 1;
                self.unknown_outcome = Some(Refusal::Lost(detail.clone()));
            }
            Failure::Unknown(detail) => self.unknown_outcome = Some(Refusal::Lost(detail.clone())),
            Failure::TimedOut => self.unknown_outcome = Some(Refusal::TimedOut),
            Failure::Withdrawn => return,
            Failure::NotRun | Failure::ServerError(_) => {}
        }
        self.sends += 1;
        self.holds_retry = false;
    }

    /// Counts the attempt at an upstream that answered, and excludes it from further ones.
    pub(crate) fn record_answer(&mut self, upstream: &UpstreamId) {
        self.excluded.push(upstream.clone());
        self.sends += 1;
        self.holds_retry = false;
    }
}
