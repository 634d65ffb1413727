//! The request that is asked about.

use std::time::Duration;

use compact_str::CompactString;
use config::ids::{AccountId, RequestId, ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::{Head, Part, PartId, Prompt};

/// A request that is not sent. An unknown field is an error: an entry of an older release would explain
/// another request than the one that is meant.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Question {
    /// Identifier, on which shares and splits depend.
    pub id: RequestId,
    /// Host of the route.
    pub host: Option<CompactString>,
    /// Path of the route; `None` for the first route to the service.
    pub path: Option<CompactString>,
    /// Service of the route; `None` to select it as for a request.
    pub service: Option<ServiceId>,
    /// Name of the account; `None` for a request without a key.
    pub account: Option<AccountId>,
    /// Rank in place of that of the account or route; 0 is the most urgent.
    pub rank: Option<u8>,
    /// How long the caller waits for the answer, in milliseconds.
    pub wait_ms: Option<u64>,
    /// Upstreams that were tried before.
    pub excluded: Vec<UpstreamId>,
    /// What is generated; `None` for a plain call.
    pub generation: Option<Generation>,
}

/// Prompt and answer of a generation.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Generation {
    /// Number of prompt tokens.
    pub input_tokens: u32,
    /// Maximum number of tokens to generate.
    pub output_tokens: u32,
    /// The caller's estimate of the tokens to generate.
    pub length_hint: Option<u32>,
    /// Identifiers and tokens of the parts of the prompt; the last one is not shared.
    pub parts: Vec<(PartId, u32)>,
}

impl Question {
    /// Returns the head of the request.
    pub(super) fn head(&self) -> Head {
        let prompt = self.generation.as_ref().map(Generation::prompt);
        let parts = prompt.iter().flat_map(|prompt| &prompt.parts);
        let mut shared_parts: Vec<PartId> = parts.map(|part| part.id).collect();
        shared_parts.pop();
        Head {
            id: self.id.clone(),
            wait: self.wait_ms.map(Duration::from_millis),
            prompt,
            shared_parts,
            ..Head::default()
        }
    }
}

impl Generation {
    fn prompt(&self) -> Prompt {
        let part = |(id, tokens): &(PartId, u32)| Part {
            id: *id,
            tokens: *tokens,
        };
        Prompt {
            input_tokens: self.input_tokens,
            output_tokens: self.output_tokens,
            length_hint: self.length_hint.filter(|tokens| *tokens > 0),
            parts: self.parts.iter().map(part).collect(),
            ..Prompt::default()
        }
    }
}
