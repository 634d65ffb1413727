//! Hashes of prompt blocks, which identify the contents of an engine's prefix cache.
//!
//! A block is [`BLOCK_BYTES`] bytes of the rendered prompt. Its hash covers the model, all earlier
//! blocks and its own bytes, so that equal hashes mean equal prefixes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of a prompt's prefix up to the end of a block.
pub type BlockHash = u64;

/// Prompt bytes per token, as the engines count them.
pub const TOKEN_BYTES: usize = 4;
/// Tokens per block.
pub const BLOCK_TOKENS: usize = 16;
/// Prompt bytes per block.
pub const BLOCK_BYTES: usize = TOKEN_BYTES * BLOCK_TOKENS;

/// Returns the hash of each complete block of `prompt`, in order.
pub fn hashes(model: &str, prompt: &str) -> Vec<BlockHash> {
    let chain = |parent: &mut u64, block: &[u8]| {
        *parent = xxh3_64_with_seed(block, *parent);
        Some(*parent)
    };
    let seed = xxh3_64_with_seed(model.as_bytes(), 0);
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .scan(seed, chain)
        .collect()
}

/// Returns the number of tokens in `text`, rounded up.
pub fn token_count(text: &str) -> usize {
    text.len().div_ceil(TOKEN_BYTES)
}
