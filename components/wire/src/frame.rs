//! The kinds of frame.

use serde::{Deserialize, Serialize};

use crate::{Answer, Failure, Hello, Push, Request};

/// Number of a call, unique for its sender on one connection.
pub type CallId = u64;

/// One message between two processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// First frame of each end: who it is, with a nonce.
    #[serde(rename = "o")]
    Hello(Hello),
    /// Proof that the sender knows the fleet's secret, over both hellos.
    #[serde(rename = "f")]
    Proof(String),
    /// Sent when nothing else was sent for a while.
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
