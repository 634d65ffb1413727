//! Prefix cache that evicts its least recently used blocks.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use upstream::blocks::BlockHash;

/// Index of no node.
const NONE: usize = usize::MAX;

/// Hasher that returns its input: block hashes are well distributed already.
#[derive(Default)]
pub(crate) struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, _: &[u8]) {}

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

pub(crate) type BlockMap<V> = HashMap<BlockHash, V, BuildHasherDefault<IdentityHasher>>;

#[derive(Clone, Copy)]
struct Node {
    block: BlockHash,
    newer: usize,
    older: usize,
}

/// Blocks by hash, in a linked list in the order of their last use.
pub(crate) struct Cache {
    capacity: usize,
    map: BlockMap<usize>,
    nodes: Vec<Node>,
    newest: usize,
    oldest: usize,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Cache {
            capacity,
            map: BlockMap::default(),
            nodes: Vec::new(),
            newest: NONE,
            oldest: NONE,
        }
    }

    /// Returns the number of leading blocks that are cached.
    pub(crate) fn prefix_len(&self, blocks: &[BlockHash]) -> usize {
        blocks.partition_point(|block| self.map.contains_key(block))
    }

    /// Stores blocks as the most recently used and returns those that were evicted for them.
    pub(crate) fn store(&mut self, blocks: &[BlockHash]) -> Vec<BlockHash> {
        let mut evicted = Vec::new();
        for block in blocks.iter().rev() {
            match self.map.get(block).copied() {
                Some(node) => self.unlink(node),
                None if self.nodes.len() < self.capacity => {
                    self.nodes.push(Node {
                        block: *block,
                        newer: NONE,
                        older: NONE,
                    });
                    self.map.insert(*block, self.nodes.len() - 1);
                }
                None => {
                    let node = self.oldest;
                    self.unlink(node);
                    let old = std::mem::replace(&mut self.nodes[node].block, *block);
                    self.map.remove(&old);
                    self.map.insert(*block, node);
                    evicted.push(old);
                }
            }
            let node = self.map[block];
            self.link(node);
        }
        evicted
    }

    /// Returns all blocks, least recently used first.
    pub(crate) fn blocks(&self) -> Vec<BlockHash> {
        let mut blocks = Vec::with_capacity(self.nodes.len());
        let mut node = self.oldest;
        while node != NONE {
            blocks.push(self.nodes[node].block);
            node = self.nodes[node].newer;
        }
        blocks
    }

    fn unlink(&mut self, node: usize) {
        let Node { newer, older, .. } = self.nodes[node];
        match newer {
            NONE => self.newest = older,
            newer => self.nodes[newer].older = older,
        }
        match older {
            NONE => self.oldest = newer,
            older => self.nodes[older].newer = newer,
        }
    }

    fn link(&mut self, node: usize) {
        self.nodes[node].newer = NONE;
        self.nodes[node].older = self.newest;
        match self.newest {
            NONE => self.oldest = node,
            newest => self.nodes[newest].newer = node,
        }
        self.newest = node;
    }
}
