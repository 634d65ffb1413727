//! The envelope that carries a frame.

use serde::{Deserialize, Serialize};

use crate::Frame;

/// A frame with its sequence number and an echo of the other end's latest sequence number.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope(
    /// Sequence number of this envelope on its connection and in its direction, counted from 1.
    pub u64,
    /// Echo: sequence number of the last envelope received from the other end; 0 before the first.
    pub u64,
    /// The frame.
    pub Frame,
);
