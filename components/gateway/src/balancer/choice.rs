//! Input and results of a choice.

use std::net::SocketAddr;
use std::time::Duration;

use ::upstream::Software;
use compact_str::CompactString;
use config::duration::bounded;
use config::ids::{Incarnation, ServiceId, UpstreamId};

use super::estimate::Estimate;
use super::holders::Holder;
use crate::Prompt;

/// Criteria by which the upstream of a request is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service to which the request is sent.
    pub service: &'a ServiceId,
    /// Prompt of a generation; `None` for a plain call.
    pub prompt: Option<&'a Prompt>,
    /// Upstreams that must not be chosen because they were tried before.
    pub excluded: &'a [UpstreamId],
    /// Software version at which a stream has to go on; `None` for any.
    pub software: Option<&'a Software>,
    /// Hash of the request's identifier.
    pub hash: u64,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Longest expected time to the first event with which the request is sent, unless its own prompt
    /// takes most of that time.
    pub max_wait: Duration,
    /// Expected work of the request besides its prompt: the generation, or a plain call, in milliseconds
    /// of a usual upstream. 0 for a service that is balanced by requests.
    pub work_ms: f64,
}

/// Share of [`Criteria::max_wait`] that a request may wait for others however long its own prompt
/// takes. Refused by all, a long prompt would never be answered, and on an engine that has little
/// else to do it delays nobody.
const MIN_QUEUE_SHARE: f64 = 0.25;

impl Criteria<'_> {
    /// Returns the longest expected time to the first event with which the request is sent to an
    /// upstream on which it would be `at_rest` without other requests.
    pub(super) fn limit(&self, at_rest: Duration) -> Duration {
        let queue = bounded(self.max_wait.as_secs_f64() * MIN_QUEUE_SHARE);
        let with_queue = at_rest.saturating_add(queue);
        self.time_left.min(self.max_wait.max(with_queue))
    }
}

/// The chosen upstream and the reason for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Chosen upstream.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Version of the upstream's software.
    pub software: Software,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Engine from which the upstream may fetch parts of the prompt that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// Whether the upstream is known to have taken the request.
    pub is_taken: bool,
    /// Tokens of the prompt that the upstream has to compute.
    pub uncached_tokens: u32,
    /// Those of them that belong to shared parts of the prompt.
    pub cold_tokens: u32,
    /// Tokens of earlier requests that the upstream has to compute first.
    pub queued_tokens: u32,
    /// Other requests in flight at the upstream, of all entries.
    pub in_flight: u32,
    /// Expected time to the first event.
    pub expected_first_event: Duration,
    /// Expected work of the request besides its prompt, as counted at the upstream, in milliseconds of a
    /// usual one; `None` for a service that is balanced by requests.
    pub work_ms: Option<u32>,
    /// Why the upstream was chosen, for the log.
    pub reason: CompactString,
}

/// Why no upstream was chosen for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// No upstream of the service takes work.
    NoUpstream,
    /// The best upstream exceeds the accepted time to the first event by this duration, or all have
    /// paused, and the first pause ends after it.
    Overloaded(Duration),
}

/// An upstream that was selected for a request, before the request is counted there.
#[derive(Clone, Debug)]
pub(super) struct Selection {
    pub(super) choice: Choice,
    pub(super) estimate: Estimate,
    /// `None` if the choice did not depend on the engines' caches.
    pub(super) warm: Option<Warm>,
}

/// What was expected of the engines' caches at a choice.
#[derive(Clone, Debug)]
pub(super) struct Warm {
    /// Engine to fetch from.
    pub(super) source: Option<(Holder, SocketAddr)>,
    pub(super) is_second_place: bool,
    /// Shared tokens of the prompt that are expected to be computed.
    pub(super) cold_tokens: u32,
}
