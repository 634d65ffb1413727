//! Entries to which requests may be forwarded.

use std::time::{Duration, Instant};

use config::ids::NodeId;
use indexmap::IndexMap;
use wire::Forwarder;

/// Time for which an entry that did not take a request gets no other one.
const PASS_OVER_TIME: Duration = Duration::from_millis(500);

/// The entries that the leader named, in turn.
#[derive(Debug, Default)]
pub struct Forwarders {
    entries: Vec<Forwarder>,
    /// Until when entries are passed over.
    passed_over: IndexMap<NodeId, Instant>,
    turn: usize,
}

impl Forwarders {
    /// Replaces the entries.
    pub fn set(&mut self, entries: Vec<Forwarder>) {
        self.entries = entries;
        let entries = &self.entries;
        self.passed_over
            .retain(|node, _| entries.iter().any(|entry| entry.node == *node));
    }

    /// Returns the next entry that is not passed over and not among `tried`.
    pub fn next(&mut self, tried: &[NodeId], now: Instant) -> Option<Forwarder> {
        let next = self.peek(tried, now);
        self.turn = self.turn.wrapping_add(1);
        next
    }

    /// Returns what [`Forwarders::next`] would return.
    pub fn peek(&self, tried: &[NodeId], now: Instant) -> Option<Forwarder> {
        let turn = self.turn.wrapping_add(1);
        let count = self.entries.len();
        let indices = (0..count).map(|offset| (turn + offset) % count);
        let mut entries = indices.map(|index| &self.entries[index]);
        let usable = |entry: &&Forwarder| {
            let until = self.passed_over.get(&entry.node);
            until.is_none_or(|until| *until <= now) && !tried.contains(&entry.node)
        };
        entries.find(usable).cloned()
    }

    /// Passes an entry over for some time, as it did not take a request.
    pub fn pass_over(&mut self, node: &NodeId, now: Instant) {
        self.passed_over.insert(node.clone(), now + PASS_OVER_TIME);
    }
}
