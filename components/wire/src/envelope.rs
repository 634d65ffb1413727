//! The envelope of every frame.

use serde::{Deserialize, Serialize};

use crate::Frame;

/// A frame with its number and the echo of the other end's.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope(
    /// Number of this envelope on its connection, counted from 1.
    pub u64,
    /// Number of the last envelope received from the other end; 0 before the first.
    pub u64,
    /// The frame.
    pub Frame,
);
