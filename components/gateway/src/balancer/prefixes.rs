//! Prompt prefixes that this entry sent to an engine, which are likely to be in its cache.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Prompt;
use crate::call::PartId;

/// Maximum number of prefixes kept for one engine; the least recently used one is dropped first.
const MAX_PREFIXES: usize = 512;

/// Prompt prefixes that were sent to one engine.
#[derive(Clone, Debug, Default)]
pub(super) struct Prefixes {
    /// Last part of each prefix, by the hash of the whole prefix; least recently used first.
    prefixes: IndexMap<u64, PartId>,
}

impl Prefixes {
    /// Returns the number of leading tokens of a prompt that were sent before.
    pub(super) fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        let mut tokens = 0;
        for (hash, part) in prefixes(prompt) {
            if !self.prefixes.contains_key(&hash) {
                break;
            }
            tokens += part.1;
        }
        tokens
    }

    /// Records that a prompt was sent to the engine.
    pub(super) fn record(&mut self, prompt: &Prompt) {
        for (hash, (part, _)) in prefixes(prompt) {
            self.prefixes.shift_remove(&hash);
            self.prefixes.insert(hash, part);
        }
        while self.prefixes.len() > MAX_PREFIXES {
            self.prefixes.shift_remove_index(0);
        }
    }

    /// Reports whether a recorded prefix ends with `part`.
    pub(super) fn has_part(&self, part: PartId) -> bool {
        self.prefixes.values().any(|last| *last == part)
    }
}

/// Returns each part with the hash of the prefix that it ends.
fn prefixes(prompt: &Prompt) -> impl Iterator<Item = (u64, (PartId, u32))> {
    let seed = xxh3_64_with_seed(prompt.model.as_bytes(), 0);
    prompt.parts.iter().scan(seed, |hash, part| {
        *hash = xxh3_64_with_seed(&part.id.to_le_bytes(), *hash);
        Some((*hash, (part.id, part.tokens)))
    })
}

/// Returns the shared parts of a prompt, all but the last: the hash of the prefix that each one ends,
/// and its tokens.
pub(super) fn shared(prompt: &Prompt) -> impl Iterator<Item = (u64, u32)> {
    let count = prompt.parts.len().saturating_sub(1);
    let shared = prefixes(prompt).take(count);
    shared.map(|(hash, (_, tokens))| (hash, tokens))
}
