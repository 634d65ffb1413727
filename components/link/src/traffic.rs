//! Traffic counters of a connection.

use std::sync::atomic::{AtomicU64, Ordering};

/// Frames and their encoded bytes in both directions, without WebSocket and TCP headers.
#[derive(Debug, Default)]
pub struct Traffic {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl Traffic {
    pub(crate) fn count(&self, bytes: usize) {
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the number of frames sent and received.
    pub fn frames(&self) -> u64 {
        self.frames.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes sent and received.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}
