//! The index of the prompt blocks that one upstream is expected to hold in its cache.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use upstream::blocks::BlockHash;

/// Blocks in one set of the table; the hashes of a set fill one cache line of 64 bytes.
const WAYS: usize = 8;
/// Hash that marks an empty slot.
const EMPTY: u64 = 0;

/// A set-associative table of block hashes that is read and written without locks.
///
/// Its size is fixed at creation. A full set evicts its least recently used block, as an engine
/// does when its cache is full.
#[derive(Debug)]
pub struct Prefixes {
    hashes: Vec<AtomicU64>,
    /// Value of `clock` at the last use of each slot.
    stamps: Vec<AtomicU32>,
    /// Logical clock, advanced by each call of `store`.
    clock: AtomicU32,
}

impl Prefixes {
    /// Creates an index for at least `blocks` blocks, rounded up to a power of two.
    pub fn new(blocks: usize) -> Self {
        let slots = blocks.max(WAYS).next_power_of_two();
        Prefixes {
            hashes: (0..slots).map(|_| AtomicU64::new(EMPTY)).collect(),
            stamps: (0..slots).map(|_| AtomicU32::new(0)).collect(),
            clock: AtomicU32::new(0),
        }
    }

    /// Returns the number of leading blocks of `blocks` that are held.
    ///
    /// An engine holds a block only together with all blocks before it, so a binary search is
    /// enough. It starts at `hint` and needs only two look-ups if the hint is right.
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
        let set = self.set_start(block);
        self.hashes[set..set + WAYS]
            .iter()
            .fold(false, |held, hash| {
                held | (hash.load(Ordering::Relaxed) == block)
            })
    }

    /// Adds blocks; those already held are marked as recently used.
    pub fn store(&self, blocks: &[BlockHash]) {
        let stamp = self.clock.fetch_add(1, Ordering::Relaxed).wrapping_add(1);
        for block in blocks.iter().filter(|block| **block != EMPTY) {
            self.store_one(*block, stamp);
        }
    }

    /// Removes blocks.
    pub fn evict(&self, blocks: &[BlockHash]) {
        for block in blocks {
            if let Some(slot) = self.find_slot(*block) {
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

    /// Returns the maximum number of blocks.
    pub fn capacity(&self) -> usize {
        self.hashes.len()
    }

    /// Returns the first slot of the set to which `block` belongs.
    fn set_start(&self, block: BlockHash) -> usize {
        let sets = self.hashes.len() / WAYS;
        (block as usize & (sets - 1)) * WAYS
    }

    fn find_slot(&self, block: BlockHash) -> Option<usize> {
        let set = self.set_start(block);
        (set..set + WAYS).find(|slot| self.hashes[*slot].load(Ordering::Relaxed) == block)
    }

    fn store_one(&self, block: BlockHash, stamp: u32) {
        let slot = self
            .find_slot(block)
            .unwrap_or_else(|| self.lru_slot(block));
        self.hashes[slot].store(block, Ordering::Relaxed);
        self.stamps[slot].store(stamp, Ordering::Relaxed);
    }

    /// Returns an empty slot of the set of `block`, or else the least recently used one.
    fn lru_slot(&self, block: BlockHash) -> usize {
        let set = self.set_start(block);
        let clock = self.clock.load(Ordering::Relaxed);
        let age = |slot: &usize| match self.hashes[*slot].load(Ordering::Relaxed) {
            EMPTY => u32::MAX,
            _ => clock.wrapping_sub(self.stamps[*slot].load(Ordering::Relaxed)),
        };
        (set..set + WAYS).max_by_key(age).unwrap_or(set)
    }
}
