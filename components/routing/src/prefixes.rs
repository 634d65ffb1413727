//! The index of prompt blocks that one upstream is expected to hold.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use upstream::blocks::BlockHash;

/// Blocks in one set of the table; a set of hashes fills one cache line.
const WAYS: usize = 8;
const EMPTY: u64 = 0;

/// A set-associative table of block hashes, read and written without locks.
///
/// Its memory is fixed at creation. A full set gives up its least recently used block, which
/// follows what an engine does when its own cache is full.
#[derive(Debug)]
pub struct Prefixes {
    hashes: Vec<AtomicU64>,
    stamps: Vec<AtomicU32>,
    clock: AtomicU32,
}

impl Prefixes {
    /// Creates an index with room for at least `blocks` blocks, rounded to a power of two.
    pub fn new(blocks: usize) -> Self {
        let slots = blocks.max(WAYS).next_power_of_two();
        Prefixes {
            hashes: (0..slots).map(|_| AtomicU64::new(EMPTY)).collect(),
            stamps: (0..slots).map(|_| AtomicU32::new(0)).collect(),
            clock: AtomicU32::new(0),
        }
    }

    /// Returns how many leading blocks of `blocks` are held.
    ///
    /// Engines hold a block only with all blocks before it, so a binary search suffices. It
    /// starts at `hint`, which costs two look-ups when the hint is right.
    pub fn depth(&self, blocks: &[BlockHash], hint: usize) -> usize {
        let holds = |depth: usize| depth == 0 || self.contains(blocks[depth - 1]);
        let search = |from: usize, to: usize| {
            from + blocks[from..to].partition_point(|block| self.contains(*block))
        };
        let hint = hint.min(blocks.len());
        match holds(hint) {
            true if hint == blocks.len() || !holds(hint + 1) => hint,
            true => search(hint + 1, blocks.len()),
            false if !holds(1) => 0,
            false => search(1, hint - 1),
        }
    }

    /// Reports whether `block` is held.
    pub fn contains(&self, block: BlockHash) -> bool {
        let set = self.set(block);
        self.hashes[set..set + WAYS]
            .iter()
            .fold(false, |held, hash| {
                held | (hash.load(Ordering::Relaxed) == block)
            })
    }

    /// Adds blocks, or marks those held as recently used.
    pub fn store(&self, blocks: &[BlockHash]) {
        let stamp = self.clock.fetch_add(1, Ordering::Relaxed).wrapping_add(1);
        for block in blocks.iter().filter(|block| **block != EMPTY) {
            self.store_one(*block, stamp);
        }
    }

    /// Removes blocks.
    pub fn evict(&self, blocks: &[BlockHash]) {
        for block in blocks {
            if let Some(slot) = self.slot_of(*block) {
                self.hashes[slot].store(EMPTY, Ordering::Relaxed);
            }
        }
    }

    /// Removes all blocks.
    pub fn clear(&self) {
        for hash in &self.hashes {
            hash.store(EMPTY, Ordering::Relaxed);
        }
    }

    /// Returns how many blocks there is room for.
    pub fn capacity(&self) -> usize {
        self.hashes.len()
    }

    fn set(&self, block: BlockHash) -> usize {
        let sets = self.hashes.len() / WAYS;
        (block as usize & (sets - 1)) * WAYS
    }

    fn slot_of(&self, block: BlockHash) -> Option<usize> {
        let set = self.set(block);
        (set..set + WAYS).find(|slot| self.hashes[*slot].load(Ordering::Relaxed) == block)
    }

    fn store_one(&self, block: BlockHash, stamp: u32) {
        let slot = self.slot_of(block).unwrap_or_else(|| self.oldest(block));
        self.hashes[slot].store(block, Ordering::Relaxed);
        self.stamps[slot].store(stamp, Ordering::Relaxed);
    }

    fn oldest(&self, block: BlockHash) -> usize {
        let set = self.set(block);
        let clock = self.clock.load(Ordering::Relaxed);
        let age = |slot: &usize| match self.hashes[*slot].load(Ordering::Relaxed) {
            EMPTY => u32::MAX,
            _ => clock.wrapping_sub(self.stamps[*slot].load(Ordering::Relaxed)),
        };
        (set..set + WAYS).max_by_key(age).unwrap_or(set)
    }
}
