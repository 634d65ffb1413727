//! A bounded prefix cache with LRU eviction, whose events are delayed and may be lost.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use upstream::blocks::{BLOCK_TOKENS, BlockHash};
use upstream::cache::{Change, Contents, Event, Page};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Settings;

/// Most events kept for readers.
const MAX_EVENTS: usize = 4_096;

/// The cached blocks and the events about their changes.
#[derive(Debug)]
pub(super) struct Cache {
    max_blocks: usize,
    event_delay: Duration,
    event_loss: f64,
    seed: u64,
    use_count: u64,
    last_uses: HashMap<BlockHash, u64>,
    by_last_use: BTreeMap<u64, BlockHash>,
    events: VecDeque<(Instant, Event)>,
    last_sequence: u64,
}

impl Cache {
    pub(super) fn new(settings: &Settings) -> Cache {
        Cache {
            max_blocks: settings.capacity.cache_blocks as usize,
            event_delay: settings.event_delay,
            event_loss: settings.event_loss,
            seed: settings.seed,
            use_count: 0,
            last_uses: HashMap::new(),
            by_last_use: BTreeMap::new(),
            events: VecDeque::new(),
            last_sequence: 0,
        }
    }

    /// Returns the number of cached tokens of a prompt with `blocks`, and marks them as used.
    pub(super) fn lookup(&mut self, blocks: &[BlockHash]) -> usize {
        let cached = blocks
            .iter()
            .take_while(|block| self.last_uses.contains_key(block))
            .count();
        // Later blocks are touched first, so that they are evicted before the blocks that precede
        // them.
        for block in blocks[..cached].iter().rev() {
            self.touch(*block);
        }
        cached * BLOCK_TOKENS
    }

    /// Stores the blocks of a prompt, and evicts the least recently used ones.
    pub(super) fn store(&mut self, blocks: &[BlockHash], now: Instant) {
        let blocks = &blocks[..blocks.len().min(self.max_blocks)];
        let added: Vec<BlockHash> = blocks
            .iter()
            .copied()
            .filter(|block| !self.last_uses.contains_key(block))
            .collect();
        for block in blocks.iter().rev() {
            self.touch(*block);
        }
        let evicted = self.evict();
        self.publish(Change::Stored(added), now);
        self.publish(Change::Evicted(evicted), now);
    }

    /// Removes all blocks.
    pub(super) fn clear(&mut self, now: Instant) {
        self.last_uses.clear();
        self.by_last_use.clear();
        self.publish(Change::Cleared, now);
    }

    /// Returns the events after sequence number `after` that are due and not lost.
    pub(super) fn page(&self, after: u64, now: Instant) -> Page {
        let is_due = |(at, _): &&(Instant, Event)| now.duration_since(*at) >= self.event_delay;
        let due: Vec<&Event> = self.events.iter().filter(is_due).map(|(_, e)| e).collect();
        let last = due.last().map_or(0, |event| event.sequence);
        let delivered = |event: &&&Event| event.sequence > after && !self.is_lost(event.sequence);
        let events = due.iter().filter(delivered).map(|event| (*event).clone());
        Page {
            events: events.collect(),
            last,
        }
    }

    /// Returns all cached blocks and the number of the last event.
    pub(super) fn contents(&self) -> Contents {
        Contents {
            blocks: self.by_last_use.values().copied().collect(),
            last: self.last_sequence,
        }
    }

    fn touch(&mut self, block: BlockHash) {
        self.use_count += 1;
        if let Some(earlier) = self.last_uses.insert(block, self.use_count) {
            self.by_last_use.remove(&earlier);
        }
        self.by_last_use.insert(self.use_count, block);
    }

    fn evict(&mut self) -> Vec<BlockHash> {
        let mut evicted = Vec::new();
        while self.last_uses.len() > self.max_blocks {
            let Some((_, block)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_uses.remove(&block);
            evicted.push(block);
        }
        evicted
    }

    fn publish(&mut self, change: Change, now: Instant) {
        let empty = match &change {
            Change::Stored(blocks) | Change::Evicted(blocks) => blocks.is_empty(),
            Change::Cleared => false,
        };
        if empty {
            return;
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.events.push_back((now, Event { sequence, change }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    fn is_lost(&self, sequence: u64) -> bool {
        let drawn = xxh3_64_with_seed(&sequence.to_le_bytes(), self.seed) as f64;
        drawn / (u64::MAX as f64) < self.event_loss
    }
}
