//! Prefix affinity by rendezvous hashing: all entries prefer the same upstream for a prefix without
//! exchanging messages.

use upstream::blocks::BlockHash;

use crate::Prefixes;

/// Quarters of the prompt that a known prefix must cover to be used as the key.
const MIN_KNOWN_QUARTERS: usize = 1;

/// Returns the affinity key of a prompt: the last block of the prefix that the prompt is expected
/// to share with other requests. A prompt without blocks has no key.
///
/// Prefix lengths are powers of two, so that prompts with the same long prefix and tails of
/// different lengths have the same key. The longest prefix that is in `seen` together with all
/// shorter ones is used if it covers a quarter of the prompt, otherwise the longest one within four
/// fifths of the prompt.
pub(crate) fn key(blocks: &[BlockHash], seen: &Prefixes) -> Option<BlockHash> {
    // The last fifth of a prompt is assumed to differ between requests.
    let max_depth = (blocks.len() * 4 / 5).max(1);
    let depths = || (0..usize::BITS).map(|n| 1_usize << n);
    let known = depths()
        .take_while(|depth| *depth <= blocks.len())
        .take_while(|depth| seen.contains(blocks[depth - 1]))
        .last()
        .filter(|depth| depth * 4 >= blocks.len() * MIN_KNOWN_QUARTERS);
    let fallback = depths().take_while(|depth| *depth <= max_depth).last();
    let depth = known.or(fallback)?;
    blocks.get(depth - 1).copied()
}

/// Returns the rendezvous weight of an upstream, given by its hash, for a key. The upstream with
/// the largest weight is the home of the key.
pub(crate) fn weight(key: BlockHash, upstream: u64) -> u64 {
    // The finalizer of SplitMix64.
    let mut x = key ^ upstream.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Maps a hash to a number from 0 (inclusive) to 1 (exclusive).
pub(crate) fn fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
