//! Operations that upstreams and operators request, and their replies.

use config::ids::{Incarnation, ServiceId, UpstreamId, Version};
use state::rollouts::{Order, Rollout};
use state::text::Replacement;
use upstream::Announcement;

/// A decoded request.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// An upstream announces itself, renews its announcement, or announces that it leaves.
    Announce(Box<Announcement>),
    /// An upstream reports that it leaves, without an announcement.
    Leave {
        /// The upstream.
        upstream: UpstreamId,
        /// Its incarnation, if the request names one.
        incarnation: Option<Incarnation>,
    },
    /// An operator replaces the configuration text.
    Replace(Replacement),
    /// An operator reads the configuration text.
    Read,
    /// An operator orders a roll-out.
    BeginRollout(Order),
    /// An operator reads the state of a service's newest roll-out.
    ReadRollout(ServiceId),
}

/// Reply to an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The announcement or leave was applied.
    Acknowledged,
    /// The text is durable, or one with the same or a higher version is.
    Replaced {
        /// The version in force.
        newest: Version,
    },
    /// The newest text as submitted.
    Text(String),
    /// No text was submitted yet.
    NoText,
    /// Another roll-out of the service is in progress; nothing changed.
    Conflict(String),
    /// The newest roll-out of the service.
    Rollout(Rollout),
    /// There was no roll-out of the service.
    NoRollout,
    /// The request is invalid, for this reason; nothing changed.
    Invalid(String),
    /// No quorum answers, or it is unknown whether anything changed. The text is the reason.
    Unavailable(String),
}
