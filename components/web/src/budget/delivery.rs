//! A complete body while it is sent to a peer, which may read it slowly.

use std::sync::Arc;

use bytes::Bytes;

use super::slot::{Progress, Slot};
use super::{Budget, Shortage};

/// Size of a part, in bytes. A server copies a part into the buffer of its connection, which it keeps.
const PART_BYTES: usize = 16 * 1_024;

/// Sends a body that was received within a budget, in parts. Once its peer has stopped reading, the body may be
/// dropped for others.
#[derive(Debug)]
pub struct Delivery {
    budget: Budget,
    slot: Arc<Slot<Bytes>>,
    length: usize,
    sent: usize,
}

impl Delivery {
    /// Begins to send `bytes`, of which there should be no clones: memory of dropped bytes is free once the
    /// last of them has ended.
    pub fn new(budget: &Budget, bytes: Bytes) -> Delivery {
        Delivery {
            budget: budget.clone(),
            length: bytes.len(),
            sent: 0,
            slot: budget.begin(bytes),
        }
    }

    /// Returns the number of bytes that are still to be sent.
    pub fn remaining(&self) -> usize {
        self.length - self.sent
    }

    /// Returns the next part, and `None` after the last one.
    ///
    /// # Errors
    /// If the body was dropped because the budget is short.
    pub fn next_part(&mut self) -> Result<Option<Bytes>, Shortage> {
        let end = self.length.min(self.sent + PART_BYTES);
        if end == self.sent {
            return Ok(None);
        }
        // A copy does not keep the memory of a body that is dropped.
        let part = match self.slot.content().as_ref() {
            Some(bytes) => Bytes::copy_from_slice(&bytes[self.sent..end]),
            None => return Err(Shortage::Dropped),
        };
        self.sent = end;
        self.slot.record_progress(self.sent, self.budget.now());
        Ok(Some(part))
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        self.budget.end(self.slot.id());
    }
}
