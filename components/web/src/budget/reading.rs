//! The body of one request or answer while it is received.

use std::sync::Arc;

use bytes::Bytes;

use super::slot::{Content, Progress, Slot};
use super::{Budget, Reservation};

/// Smallest buffer of a body that does not arrive at once, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1_024;

/// Why a body is not received further.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// The body is larger than allowed.
    TooLarge,
    /// The budget is short, and the body was dropped.
    Dropped,
}

/// Receives the parts of one body within a budget.
#[derive(Debug)]
pub struct Reading {
    budget: Budget,
    max_bytes: usize,
    /// Smallest buffer of the body if it does not arrive at once, in bytes.
    min_buffer_bytes: usize,
    received: usize,
    /// The body if it arrived at once.
    whole: Option<Whole>,
    slot: Option<Arc<Slot<Content>>>,
}

/// A body that arrived at once.
#[derive(Debug)]
struct Whole {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Whole {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Reading {
    /// Begins a body of at most `max_bytes` bytes.
    pub fn new(budget: &Budget, max_bytes: usize) -> Reading {
        Reading {
            budget: budget.clone(),
            max_bytes,
            min_buffer_bytes: MIN_BUFFER_BYTES,
            received: 0,
            whole: None,
            slot: None,
        }
    }

    /// Begins a body whose peer is trusted to have announced its length, of `bytes` bytes. The buffer does not
    /// grow: while it does, the body takes up to twice its length.
    pub fn of_length(budget: &Budget, bytes: usize) -> Reading {
        let mut reading = Reading::new(budget, bytes);
        reading.min_buffer_bytes = bytes;
        reading
    }

    /// Adds a part; `is_last` says that it is known to be the last one.
    ///
    /// # Errors
    /// If the body is too large, or was dropped because the budget is short.
    pub fn push(&mut self, part: Bytes, is_last: bool) -> Result<(), Shortage> {
        if part.len() > self.max_bytes - self.received {
            return Err(Shortage::TooLarge);
        }
        let is_first = self.received == 0;
        self.received += part.len();
        match &self.slot {
            Some(slot) => self.append(slot, &part),
            None if part.is_empty() => Ok(()),
            None if is_first && is_last => self.keep_whole(part),
            None => self.begin_slot(&part),
        }
    }

    /// Returns once the body was dropped because the budget is short.
    pub async fn wait_until_dropped(&self) {
        match &self.slot {
            Some(slot) => slot.wait_until_dropped().await,
            None => std::future::pending().await,
        }
    }

    /// Returns the complete body, which holds its reservation.
    ///
    /// # Errors
    /// If the body was dropped because the budget is short.
    pub fn finish(mut self) -> Result<Bytes, Shortage> {
        if let Some(whole) = self.whole.take() {
            return Ok(Bytes::from_owner(whole));
        }
        let Some(slot) = self.slot.take() else {
            return Ok(Bytes::new());
        };
        self.budget.end(slot.id());
        let content = slot.content().take();
        content.map(Bytes::from_owner).ok_or(Shortage::Dropped)
    }

    fn keep_whole(&mut self, bytes: Bytes) -> Result<(), Shortage> {
        let reservation = self.budget.reserve_small(bytes.len());
        self.whole = Some(Whole {
            bytes,
            _reservation: reservation.ok_or(Shortage::Dropped)?,
        });
        Ok(())
    }

    /// Copies the first part out of the connection's buffer, which would stay as long as the part.
    fn begin_slot(&mut self, part: &[u8]) -> Result<(), Shortage> {
        let capacity = self.capacity(part.len());
        let reservation = self.budget.reserve_large(capacity, None);
        let reservation = reservation.ok_or(Shortage::Dropped)?;
        let mut bytes = Vec::with_capacity(capacity);
        bytes.extend_from_slice(part);
        self.slot = Some(self.budget.begin(Content { bytes, reservation }));
        Ok(())
    }

    fn append(&self, slot: &Slot<Content>, part: &[u8]) -> Result<(), Shortage> {
        let capacity = match slot.content().as_ref() {
            Some(content) => content.bytes.capacity(),
            None => return Err(Shortage::Dropped),
        };
        let larger = match self.received > capacity {
            // No lock is held: other bodies may be dropped for this one. Both buffers exist while one is copied.
            true => {
                let bytes = self.capacity(self.received);
                let larger = self.budget.reserve_large(bytes, Some(slot.id()));
                Some(larger.ok_or(Shortage::Dropped)?)
            }
            false => None,
        };
        let mut content = slot.content();
        let content = content.as_mut().ok_or(Shortage::Dropped)?;
        if let Some(larger) = larger {
            let more = larger.bytes - content.bytes.len();
            content.bytes.reserve_exact(more);
            content.reservation = larger;
        }
        content.bytes.extend_from_slice(part);
        slot.record_progress(self.received, self.budget.now());
        Ok(())
    }

    /// Returns the size of the buffer for a body of which `received` bytes have arrived.
    fn capacity(&self, received: usize) -> usize {
        let doubled = received.next_power_of_two().max(self.min_buffer_bytes);
        doubled.min(self.max_bytes).max(received)
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            self.budget.end(slot.id());
        }
    }
}
