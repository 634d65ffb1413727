//! Log line and metrics of one request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use config::ids::{AccountId, NodeId, RequestId, UpstreamId};
use tracing::info;
use upstream::Software;
use web::Framing;

use crate::balancer::Choice;
use crate::core::Core;

/// Record of one request, which is written to the log and the metrics when it is dropped.
pub(crate) struct RequestLog {
    core: Arc<Core>,
    arrived: Instant,
    id: RequestId,
    route: CompactString,
    account: CompactString,
    /// Tokens that the request takes from its account's limit; 0 without a limit.
    tokens: u64,
    /// Version of the operators' text by which the request is routed.
    version: u64,
    upstream: UpstreamId,
    /// Version of the upstream's software.
    software: Software,
    /// Request that began the stream which this one takes up.
    resumes: RequestId,
    /// Why the upstream was chosen, with the figures of the choice; `inputs` in the log.
    reason: CompactString,
    sends: u32,
    /// Entry through which the request went last.
    via: Option<NodeId>,
    /// Entry that took the request from its caller, if this one makes an attempt for it.
    forwarded_by: Option<NodeId>,
    /// Framing of the answer that is passed on; `None` before its head.
    framing: Option<Framing>,
    first_event: Option<Duration>,
    /// Outcome and HTTP status. If none is set, the caller left, and the logged status is 0.
    outcome: Option<(CompactString, u16)>,
}

impl RequestLog {
    /// Creates the record of a request whose head has not been decoded yet, and counts the request
    /// as in progress.
    pub(crate) fn new(core: &Arc<Core>, arrived: Instant) -> Self {
        core.drain.enter();
        RequestLog {
            core: core.clone(),
            arrived,
            id: RequestId::default(),
            route: CompactString::default(),
            account: CompactString::default(),
            tokens: 0,
            version: core.table.load().version(),
            upstream: UpstreamId::default(),
            software: Software::default(),
            resumes: RequestId::default(),
            reason: CompactString::default(),
            sends: 0,
            via: None,
            forwarded_by: None,
            framing: None,
            first_event: None,
            outcome: None,
        }
    }

    pub(crate) fn set_id(&mut self, id: &RequestId) {
        self.id = id.clone();
    }

    pub(crate) fn set_route(&mut self, route: &CompactString, version: u64) {
        self.route = route.clone();
        self.version = version;
    }

    pub(crate) fn set_account(&mut self, account: &AccountId) {
        self.account = account.clone();
    }

    pub(crate) fn set_tokens(&mut self, tokens: u64) {
        self.tokens = tokens;
    }

    pub(crate) fn set_resumes(&mut self, begun: &RequestId) {
        self.resumes = begun.clone();
    }

    pub(crate) fn record_dispatch(&mut self, choice: &Choice) {
        self.upstream = choice.upstream.clone();
        self.software = choice.software.clone();
        self.reason = choice.reason.clone();
        self.sends += 1;
    }

    pub(crate) fn set_via(&mut self, entry: &NodeId) {
        self.via = Some(entry.clone());
    }

    pub(crate) fn set_forwarded_by(&mut self, entry: &NodeId) {
        self.forwarded_by = Some(entry.clone());
    }

    pub(crate) fn set_framing(&mut self, framing: Framing) {
        self.framing = Some(framing);
    }

    pub(crate) fn record_first_event(&mut self) {
        self.first_event.get_or_insert(self.arrived.elapsed());
    }

    pub(crate) fn set_outcome(&mut self, outcome: impl Into<CompactString>, status: u16) {
        self.outcome.get_or_insert((outcome.into(), status));
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        self.core.drain.leave();
        let total = self.arrived.elapsed();
        let (outcome, status) = self.outcome.take().unwrap_or(("caller-left".into(), 0));
        if self.forwarded_by.is_none() {
            let metrics = &self.core.metrics;
            metrics.record_request(&self.route, &outcome, self.first_event, total);
        }
        info!(
            request = %self.id,
            route = %self.route,
            account = %self.account,
            tokens = self.tokens,
            version = self.version,
            upstream = %self.upstream,
            software = %self.software,
            resumes = %self.resumes,
            sends = self.sends,
            via = self.via.as_deref(),
            forwarded_by = self.forwarded_by.as_deref(),
            framing = self.framing.map(tracing::field::display),
            status,
            first_ms = self.first_event.map(|first| first.as_millis() as u64),
            total_ms = total.as_millis() as u64,
            inputs = %self.reason,
            "request: {outcome}"
        );
    }
}
