//! Protocol of a platform's upstreams, operators and cloud.

use std::net::SocketAddr;

use bytes::Bytes;
use config::ids::{DataCentreId, NodeId, ServiceId};
use config::text::{Class, Parser};
use http::{Request, Response};
use state::usage::{Counts, Window};

use super::{Operation, Reply};
use crate::orders::Call;

/// Translates between the messages of a protocol and the types of this crate; it makes no
/// decisions.
pub trait Protocol: Send + Sync + 'static {
    /// Decodes a request.
    ///
    /// # Errors
    /// Returns the response to a request that can't be decoded, and the reason.
    fn decode(&self, request: &Request<Bytes>) -> Result<Operation, Box<Rejection>>;

    /// Encodes a reply.
    fn encode(&self, reply: Reply) -> Response<Bytes>;

    /// Returns the largest accepted request body, in bytes.
    fn max_body_bytes(&self) -> usize;

    /// Returns the parser of the operators' text.
    fn parser(&self) -> Parser;

    /// Encodes a usage report to the cloud: the requests of each account in a window.
    fn encode_usage(
        &self,
        fence: &Fence,
        cloud: SocketAddr,
        window: Window,
        counts: &Counts,
    ) -> Call;

    /// Encodes an order to the cloud for a number of instances.
    fn encode_scale(
        &self,
        fence: &Fence,
        cloud: SocketAddr,
        service: &ServiceId,
        data_centre: &DataCentreId,
        class: Class,
        count: u32,
    ) -> Call;
}

/// Rejection of a request that can't be decoded.
#[derive(Debug)]
pub struct Rejection {
    /// Response to the sender.
    pub response: Response<Bytes>,
    /// Reason, for the log.
    pub reason: String,
}

/// Holder of the duties towards the cloud, and its fencing number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fence {
    /// Process that holds the duties.
    pub holder: NodeId,
    /// Fencing number; larger for each later holder.
    pub number: u64,
}
