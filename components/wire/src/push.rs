//! Messages that expect no answer.

use bytes::Bytes;
use config::ids::{NodeId, UpstreamId, Version};
use serde::{Deserialize, Serialize};

use crate::Delta;

/// A message that expects no answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Push {
    /// An entry asks for all upstreams, and for every change from now on.
    Subscribe,
    /// An entry asks for no further changes.
    Unsubscribe,
    /// Upstreams that announced, renewed or left.
    Upstreams(Vec<Delta>),
    /// Upstreams of which only a renewal is known; the whole announcement is wanted.
    Missing(Vec<UpstreamId>),
    /// All upstreams that get no new work until they are stopped.
    Draining(Vec<UpstreamId>),
    /// The control processes of the group, where they are named by their IP numbers.
    Group(Vec<NodeId>),
    /// A newer text is committed.
    Newest(Version),
    /// A message of the replicated log.
    Log {
        /// Control process that sends it.
        from: NodeId,
        /// The encoded message.
        message: Bytes,
    },
}
