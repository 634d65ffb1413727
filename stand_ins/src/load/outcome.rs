//! Outcomes of requests and of their attempts, as observed by callers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

/// What a caller observed of one request.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// All attempts, oldest first.
    pub attempts: Vec<Attempt>,
    /// Time from the first attempt to the first token.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
    /// Time from the first attempt to the end of the request.
    pub total: Duration,
    /// Number of consecutive tokens received by the end of the request.
    pub tokens: usize,
}

/// Outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete and correct answer was received.
    #[serde(rename = "whole")]
    Complete,
    /// Refused as not run.
    Refused,
    /// The system answered that the outcome is unknown.
    Unknown,
    /// Neither a complete answer nor a final error was received; the text names the last failure.
    Lost(String),
    /// An answer differs from the expected one; the text names the difference.
    Wrong(String),
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Address of the entry.
    pub entry: SocketAddr,
    /// Request id in the response, or empty.
    pub request: String,
    /// Status code; `None` without a response.
    pub status: Option<u16>,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The complete and correct answer was received.
    Complete,
    /// Refused as not run, with the seconds of `Retry-After`, or 0.
    Refused(u64),
    /// The system answered that the outcome is unknown.
    Unknown,
    /// The stream cannot continue from the last event and must restart.
    Restart,
    /// The connection failed or fell silent, or an error event was received.
    Broken(String),
    /// The answer differs from the expected one.
    Wrong(String),
}
