//! A caller's request, decoded from the protocol.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use config::ids::{NodeId, RequestId, ServiceId};
use config::text::ingress::Route;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Uri, header, request};
use quarantine::Fingerprint;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::balancer::RequestKind;
use crate::{Account, Head};

/// Identifier of a part of a prompt.
pub type PartId = u64;

/// A part of a prompt. Prompts that begin with the same parts share their computation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifier, equal for equal content.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// Prompt of a generation, and the number of tokens to generate.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Model to use.
    pub model: CompactString,
    /// Number of prompt tokens.
    pub input_tokens: u32,
    /// Maximum number of tokens to generate.
    pub output_tokens: u32,
    /// Parts of the prompt in order; the last one belongs to this request and is not shared.
    pub parts: Vec<Part>,
    /// The caller's estimate of the tokens to generate.
    pub length_hint: Option<u32>,
}

/// An admitted request, ready to be sent to an upstream.
#[derive(Debug)]
pub struct Call {
    /// Identifier, which is new for each attempt of a caller.
    pub id: RequestId,
    /// Hash of the identifier.
    pub hash: u64,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Route that matches the request.
    pub route: Arc<Route>,
    /// Version of the text that contains the route.
    pub version: u64,
    /// Selected service of the route.
    pub service: ServiceId,
    /// Account of the caller; `None` on a public route without a key.
    pub account: Option<Arc<Account>>,
    /// Prompt of a generation; `None` for a plain call.
    pub prompt: Option<Prompt>,
    /// Parts of the prompt that other prompts may share: all but the last one.
    pub shared_parts: Vec<PartId>,
    /// Fingerprint, which stays the same when the request is sent again.
    pub fingerprint: Fingerprint,
    /// Last event of an earlier answer that the caller has received.
    pub resume_after: Option<u64>,
    /// Request that brought the first event of that answer.
    pub resumes: Option<RequestId>,
    /// Entry that took the request from its caller; `None` if this one did.
    pub forwarded_by: Option<NodeId>,
    /// When the head of the request was read.
    pub arrived: Instant,
    /// Deadline set by the caller or the route, whichever is earlier.
    pub deadline: Instant,
}

/// What was found out about a request when it was admitted.
pub(crate) struct Admission {
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) account: Option<Arc<Account>>,
    /// Version of the text that contains the route.
    pub(crate) version: u64,
    pub(crate) forwarded_by: Option<NodeId>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

/// Returns the fingerprint of a request: a hash of what stays the same when it is sent again, at any
/// entry. Headers are no part of it, since identifiers and deadlines are new each time.
fn fingerprint(
    method: &Method,
    host: &str,
    uri: &Uri,
    caller: Option<&str>,
    body: &[u8],
) -> Fingerprint {
    let path = uri
        .path_and_query()
        .map_or(uri.path(), PathAndQuery::as_str);
    let mut hash = Xxh3::new();
    for field in [method.as_str(), host, path, caller.unwrap_or_default()] {
        hash.update(&(field.len() as u64).to_le_bytes());
        hash.update(field.as_bytes());
    }
    hash.update(body);
    hash.digest()
}

impl Call {
    /// Creates the call of an admitted request.
    pub(crate) fn new(
        admission: Admission,
        head: Head,
        parts: request::Parts,
        body: Bytes,
    ) -> Call {
        let mut headers = parts.headers;
        web::remove_connection_headers(&mut headers);
        let host = headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let caller = admission.account.as_ref();
        let caller = caller.map(|account| account.name.as_str());
        Call {
            fingerprint: fingerprint(&parts.method, host, &parts.uri, caller, &body),
            hash: xxh3_64(head.id.as_bytes()),
            id: head.id,
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            service: admission.service,
            route: admission.route,
            version: admission.version,
            account: admission.account,
            prompt: head.prompt,
            shared_parts: head.shared_parts,
            resume_after: head.resume_after,
            resumes: head.resumes,
            forwarded_by: admission.forwarded_by,
            arrived: admission.arrived,
            deadline: admission.deadline,
        }
    }

    /// Returns the parts of the prompt that others may share, for the log.
    pub(crate) fn shared_parts_text(&self) -> CompactString {
        let ids = self.shared_parts.iter().map(|part| format!("{part:x}"));
        ids.collect::<Vec<_>>().join(",").into()
    }

    /// Returns the rank of the account if it has one, otherwise the rank of the route; 0 is the
    /// most urgent.
    pub fn rank(&self) -> u8 {
        let own = self.account.as_ref().and_then(|account| account.rank);
        own.unwrap_or(self.route.rank)
    }

    /// Returns what the request has in common with others that take similar work.
    pub(crate) fn kind(&self) -> RequestKind<'_> {
        let account = self.account.as_ref();
        RequestKind {
            service: &self.service,
            route: &self.route.name,
            account: account.map(|account| account.name.as_str()),
        }
    }

    /// Returns the time until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Reports whether the request continues a stream whose first events its caller has received.
    pub fn takes_up(&self) -> bool {
        let continues = self.resume_after.is_some_and(|last| last > 0);
        continues && self.route.kind.is_stream() && self.is_idempotent()
    }

    /// Reports whether the request may be sent again after an upstream may have run it.
    pub fn is_idempotent(&self) -> bool {
        self.route.kind.is_idempotent()
    }
}
