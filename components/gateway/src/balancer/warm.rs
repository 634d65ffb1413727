//! The parts of prompts that an engine was given by this entry, and so is likely to hold.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Prompt;
use crate::call::PartId;

/// Parts remembered of one engine; the one used longest ago is forgotten first.
const MAX_PARTS: usize = 512;

/// Parts that an engine was given, by the parts before them.
#[derive(Clone, Debug, Default)]
pub(super) struct Warm {
    /// Identity of a part with all before it, to the part's own; oldest first.
    chains: IndexMap<u64, PartId>,
}

impl Warm {
    /// Returns the tokens of a prompt's beginning that are held.
    pub(super) fn depth(&self, prompt: &Prompt) -> u32 {
        let mut tokens = 0;
        for (chain, part) in chains(prompt) {
            if !self.chains.contains_key(&chain) {
                break;
            }
            tokens += part.1;
        }
        tokens
    }

    /// Takes in that a prompt was given to the engine.
    pub(super) fn given(&mut self, prompt: &Prompt) {
        for (chain, (part, _)) in chains(prompt) {
            self.chains.shift_remove(&chain);
            self.chains.insert(chain, part);
        }
        while self.chains.len() > MAX_PARTS {
            self.chains.shift_remove_index(0);
        }
    }

    pub(super) fn holds(&self, part: PartId) -> bool {
        self.chains.values().any(|held| *held == part)
    }
}

/// Returns each part with the identity of the parts up to it.
fn chains(prompt: &Prompt) -> impl Iterator<Item = (u64, (PartId, u32))> {
    let seed = xxh3_64_with_seed(prompt.model.as_bytes(), 0);
    prompt.parts.iter().scan(seed, |chain, part| {
        *chain = xxh3_64_with_seed(&part.id.to_le_bytes(), *chain);
        Some((*chain, (part.id, part.tokens)))
    })
}
