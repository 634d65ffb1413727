//! The shared parts of prompts that engines have in their caches.

use std::collections::HashSet;

use config::ids::UpstreamId;
use gateway::balancer::Choice;
use gateway::{Part, Prompt};

/// Shared parts at each engine. Those of a load fit into the cache of one, so that none is evicted.
#[derive(Debug, Default)]
pub(crate) struct Caches {
    /// Whether all engines have all parts.
    are_full: bool,
    /// Parts that an engine has computed or will have computed before any request that comes later.
    expected: HashSet<(UpstreamId, u64)>,
    /// Parts that can be fetched from an engine.
    computed: HashSet<(UpstreamId, u64)>,
}

impl Caches {
    pub(crate) fn new(are_full: bool) -> Self {
        Caches {
            are_full,
            ..Caches::default()
        }
    }

    /// Sends a prompt to an engine, and returns the tokens that this has to compute: those of the
    /// prompt's own part, and those of the shared one unless the engine has it or can fetch it from
    /// `source`.
    pub(crate) fn send(
        &mut self,
        prompt: &Prompt,
        choice: &Choice,
        source: Option<&UpstreamId>,
    ) -> u32 {
        let Some((own, shared)) = parts(prompt) else {
            return prompt.input_tokens;
        };
        let is_new = self.expected.insert((choice.upstream.clone(), shared.id));
        let is_fetched =
            source.is_some_and(|source| self.computed.contains(&(source.clone(), shared.id)));
        match is_new && !is_fetched && !self.are_full {
            true => own.tokens + shared.tokens,
            false => own.tokens,
        }
    }

    /// Records that an engine has computed a prompt.
    pub(crate) fn record_computed(&mut self, prompt: &Prompt, upstream: &UpstreamId) {
        if let Some((_, shared)) = parts(prompt) {
            self.computed.insert((upstream.clone(), shared.id));
        }
    }
}

/// Returns the own part of a prompt and its shared one.
fn parts(prompt: &Prompt) -> Option<(&Part, &Part)> {
    match prompt.parts.as_slice() {
        [shared, own] => Some((own, shared)),
        _ => None,
    }
}
