//! Actions of a node, and messages that wait until a write is synced.

use std::collections::VecDeque;

use crate::ids::{Index, Sequence};
use crate::{Action, Chunk, HardState, Message, Record, Write};

/// Collects actions in order, groups records into writes, and holds messages back until the write
/// that they depend on is synced.
#[derive(Debug)]
pub(super) struct Outbox {
    /// Whether messages wait for the write that they depend on.
    sync_before_answer: bool,
    actions: Vec<Action>,
    records: Vec<Record>,
    /// Sequence number of the next write.
    next_write: Sequence,
    /// Last write that is synced.
    synced: Sequence,
    /// Write that contains the latest term and vote.
    hard_state_write: Sequence,
    /// Messages in the order in which they were sent, each with the write that it waits for.
    held_messages: VecDeque<(Sequence, Message)>,
    /// Writes that are not synced, and the last index of the log after each.
    pending: VecDeque<(Sequence, Index)>,
}

impl Outbox {
    /// Returns an empty outbox.
    pub(super) fn new(sync_before_answer: bool) -> Self {
        Outbox {
            sync_before_answer,
            actions: Vec::new(),
            records: Vec::new(),
            next_write: 1,
            synced: 0,
            hard_state_write: 0,
            held_messages: VecDeque::new(),
            pending: VecDeque::new(),
        }
    }

    /// Appends an action.
    pub(super) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Adds a record to the next write.
    pub(super) fn record(&mut self, record: Record) {
        self.records.push(record);
    }

    /// Adds term and vote to the next write.
    pub(super) fn record_hard_state(&mut self, hard_state: HardState) {
        self.records.push(Record::HardState(hard_state));
        self.hard_state_write = self.next_write;
    }

    /// Adds a write of a snapshot chunk, and returns its sequence number.
    pub(super) fn record_chunk(&mut self, chunk: Chunk, last: Index) -> Sequence {
        self.flush(last);
        let sequence = self.next_write;
        self.next_write += 1;
        self.pending.push_back((sequence, last));
        self.push(Action::Write(Write {
            sequence,
            records: Vec::new(),
            chunk: Some(chunk),
        }));
        sequence
    }

    /// Sends a message that depends on no write.
    pub(super) fn send(&mut self, message: Message) {
        self.push(Action::Send(message));
    }

    /// Sends a message once a write is synced.
    pub(super) fn send_after(&mut self, sequence: Sequence, message: Message) {
        match sequence <= self.synced || !self.sync_before_answer {
            true => self.send(message),
            false => self.held_messages.push_back((sequence, message)),
        }
    }

    /// Returns the write that contains the latest record.
    pub(super) fn latest_write(&self) -> Sequence {
        match self.records.is_empty() {
            true => self.next_write - 1,
            false => self.next_write,
        }
    }

    /// Returns the write that contains the latest term and vote.
    pub(super) fn hard_state_write(&self) -> Sequence {
        self.hard_state_write
    }

    /// Turns the collected records into a write action; the log ends at `last` after it.
    pub(super) fn flush(&mut self, last: Index) {
        if self.records.is_empty() {
            return;
        }
        let sequence = self.next_write;
        self.next_write += 1;
        self.pending.push_back((sequence, last));
        let records = std::mem::take(&mut self.records);
        self.push(Action::Write(Write {
            sequence,
            records,
            chunk: None,
        }));
    }

    /// Records that the log was truncated: no pending write makes an index above `last` durable.
    pub(super) fn truncate(&mut self, last: Index) {
        for (_, end) in &mut self.pending {
            *end = last.min(*end);
        }
    }

    /// Sends the messages that waited for writes up to `sequence`, and returns the last durable
    /// index; `None` if no pending write was completed.
    pub(super) fn on_write_synced(&mut self, sequence: Sequence) -> Option<Index> {
        self.synced = self.synced.max(sequence);
        let mut durable = None;
        while let Some((_, end)) = self.pending.pop_front_if(|(number, _)| *number <= sequence) {
            durable = Some(end);
        }
        let held = std::mem::take(&mut self.held_messages);
        for (number, message) in held {
            self.send_after(number, message);
        }
        durable
    }

    /// Returns whether a write is synced.
    pub(super) fn is_synced(&self, sequence: Sequence) -> bool {
        sequence <= self.synced
    }

    /// Returns and removes all actions.
    pub(super) fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
