//! A crash of an upstream, as one entry saw it.

use config::ids::{Incarnation, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::SubjectId;

/// A process of an upstream that crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Subjects of the requests that were being answered and had not begun well, each with its
    /// position among those of its request.
    pub suspects: Vec<(SubjectId, u32)>,
}
