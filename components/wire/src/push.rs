//! Messages that expect no answer.

use bytes::Bytes;
use config::ids::{NodeId, UpstreamId, Version};
use serde::{Deserialize, Serialize};

use crate::Delta;

/// A message that expects no answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Push {
    /// An entry subscribes to all upstreams and their changes.
    Subscribe,
    /// An entry cancels its subscription.
    Unsubscribe,
    /// Changes of upstreams.
    Upstreams(Vec<Delta>),
    /// Requests the full announcements of upstreams of which the sender received only renewals.
    Missing(Vec<UpstreamId>),
    /// All upstreams that drain: they get no new work and are stopped later.
    Draining(Vec<UpstreamId>),
    /// The control processes of the group, if their names are their IP addresses.
    Group(Vec<NodeId>),
    /// The version of a newer text that was committed.
    Newest(Version),
    /// A message of the replicated log.
    Log {
        /// Control process that sends the message.
        from: NodeId,
        /// The encoded message.
        message: Bytes,
    },
}
