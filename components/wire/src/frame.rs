//! Messages between two processes.

use serde::{Deserialize, Serialize};

use crate::{Answer, Failure, Hello, Push, Request};

/// Identifies a call among those of its sender on one connection.
pub type CallId = u64;

/// A message between two processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// First frame of each end: identifies the sender and carries its nonce.
    #[serde(rename = "o")]
    Hello(Hello),
    /// Second frame of each end: HMAC over both hellos with the fleet's secret.
    #[serde(rename = "f")]
    Proof(String),
    /// Sent when no other frame was sent within the heartbeat interval.
    #[serde(rename = "h")]
    Heartbeat,
    /// A request that expects one answer.
    #[serde(rename = "c")]
    Call(CallId, Request),
    /// The answer to a call.
    #[serde(rename = "a")]
    Answer(CallId, Result<Answer, Failure>),
    /// A message that expects no answer.
    #[serde(rename = "p")]
    Push(Push),
}
