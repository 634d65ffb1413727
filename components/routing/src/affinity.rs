//! Prefix affinity by rendezvous hashing, on which entries agree without messages.

use upstream::blocks::BlockHash;

use crate::Prefixes;

/// Share of the prompt, in quarters, that a prefix must cover to be its key when it is known.
const KNOWN_QUARTERS: usize = 1;

/// Returns the block that stands for the prefix which `blocks` shares with other requests.
///
/// Depths are powers of two, so that prompts with the same long prefix and tails of different
/// lengths have the same key. The deepest depth seen before is taken when it covers a quarter
/// of the prompt; otherwise the deepest below four fifths of the prompt.
pub(crate) fn key(blocks: &[BlockHash], seen: &Prefixes) -> Option<BlockHash> {
    let deepest = (blocks.len() * 4 / 5).max(1);
    let depths = || (0..usize::BITS).map(|n| 1_usize << n);
    let known = depths()
        .take_while(|depth| *depth <= blocks.len())
        .take_while(|depth| seen.contains(blocks[depth - 1]))
        .last()
        .filter(|depth| depth * 4 >= blocks.len() * KNOWN_QUARTERS);
    let guess = depths().take_while(|depth| *depth <= deepest).last();
    let depth = known.or(guess)?;
    blocks.get(depth - 1).copied()
}

/// Returns the weight of an upstream for a key; the largest weight is the key's home.
pub(crate) fn weight(key: BlockHash, upstream: u64) -> u64 {
    let mut x = key ^ upstream.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns a number from 0 to 1 out of a hash.
pub(crate) fn fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
