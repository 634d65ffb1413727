//! Protocol of callers and upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use config::ids::{AccountId, RequestId, UpstreamId};
use http::{HeaderMap, Response, request, response};

use crate::{PartId, Prompt, Refusal};

/// Translates between the messages of a protocol and the types of this crate; it makes no
/// decisions.
pub trait Protocol: Send + Sync + 'static {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    /// Returns the reason if the head can't be decoded.
    fn decode_head(&self, parts: &request::Parts) -> Result<Head, String>;

    /// Encodes the headers of a request to an upstream, from the caller's headers and the metadata.
    fn encode_headers(&self, headers: &HeaderMap, metadata: &Metadata<'_>) -> HeaderMap;

    /// Decodes the head of an upstream's answer.
    fn decode_reply(&self, parts: &response::Parts) -> Reply;

    /// Encodes the answer to a refused request.
    fn encode_refusal(&self, refusal: &Refusal, id: Option<&RequestId>) -> Response<Bytes>;

    /// Returns the path of readiness probes.
    fn ready_path(&self) -> &'static str;
}

/// Head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// Identifier of the request.
    pub id: RequestId,
    /// Key of the caller's account.
    pub key: Option<CompactString>,
    /// How long the caller waits for the answer.
    pub wait: Option<Duration>,
    /// Prompt of a generation; `None` for a plain call.
    pub prompt: Option<Prompt>,
    /// Parts of the prompt that other prompts may share, also if the numbers of tokens are not
    /// stated.
    pub shared_parts: Vec<PartId>,
    /// Last event of an earlier answer that the caller has received.
    pub resume_after: Option<u64>,
    /// Request that brought the first event of that answer.
    pub resumes: Option<RequestId>,
}

/// Metadata that is sent to an upstream with the caller's headers.
#[derive(Clone, Copy, Debug)]
pub struct Metadata<'a> {
    /// Upstream for which the request is intended.
    pub upstream: &'a UpstreamId,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Account of the caller.
    pub account: Option<&'a AccountId>,
    /// Rank of a generation; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Engine from which the upstream may fetch parts of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Last event received of an earlier run; the upstream continues after it.
    pub resume_after: Option<u64>,
}

/// Head of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// Identifier of the answered request.
    pub id: Option<RequestId>,
    /// Whether the upstream did not run the request.
    pub not_run: bool,
    /// Whether the request reached another upstream than the intended one.
    pub other_upstream: bool,
    /// Whether the upstream signed the answer.
    pub is_signed: bool,
    /// Load of the upstream.
    pub load: Option<Load>,
    /// Requests a second that the upstream takes from all entries together; `None` for no limit.
    pub limit: Option<f64>,
    /// Requests that the upstream can refuse within a second for want of room before it falls; `None`
    /// if it is not brittle.
    pub brittle: Option<u32>,
    /// Time for which the upstream takes no requests.
    pub pause: Option<Duration>,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Time for which the upstream keeps an idle connection open.
    pub keep_alive: Option<Duration>,
}

/// What an upstream states of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can run at the same time; 0 if not stated.
    pub slots: u32,
    /// How long work takes there at this moment, where 100 is the usual; `None` if not stated.
    pub slowdown: Option<f64>,
}
