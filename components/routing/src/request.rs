//! The attributes of a request that routing uses.

use config::ids::UpstreamId;
use config::text::Priority;
use upstream::blocks::BlockHash;
use upstream::{Role, Software};

/// A request to be routed.
#[derive(Clone, Debug, Default)]
pub struct Request<'a> {
    /// Service to route to.
    pub service: &'a str,
    /// Model or adapter to use; empty for plain services.
    pub model: &'a str,
    /// Hashes of the complete blocks of the prompt; empty for plain services.
    pub blocks: &'a [BlockHash],
    /// Number of prompt tokens, including those already generated when a stream is resumed.
    pub prompt_tokens: usize,
    /// Maximum number of tokens still to be generated.
    pub max_tokens: usize,
    /// Priority among waiting requests.
    pub priority: Priority,
    /// Upstreams that must not be chosen because they failed or are leaving.
    pub exclude: &'a [UpstreamId],
    /// Software version at which an accepted stream has to go on; `None` for any.
    pub software: Option<&'a Software>,
    /// Whether the request continues an accepted stream; such a request is never refused as
    /// overloaded.
    pub resumed: bool,
    /// Phases that the upstream must serve; [`Role::Both`] of an upstream serves every phase.
    pub phase: Role,
}
