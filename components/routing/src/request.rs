//! What routing needs to know of a request.

use config::ids::UpstreamId;
use config::text::Priority;
use upstream::Role;
use upstream::blocks::BlockHash;

/// A request to be routed.
#[derive(Clone, Debug, Default)]
pub struct Request<'a> {
    /// Service that answers it.
    pub service: &'a str,
    /// Model or adapter; empty for plain services.
    pub model: &'a str,
    /// Hashes of the prompt's whole blocks; empty for plain services.
    pub blocks: &'a [BlockHash],
    /// Tokens of the prompt, with those already generated when a stream is resumed.
    pub prompt_tokens: usize,
    /// Largest count of tokens still to be generated.
    pub max_tokens: usize,
    /// Priority among waiting requests.
    pub priority: Priority,
    /// Upstreams that must not be chosen, since they failed or are leaving.
    pub exclude: &'a [UpstreamId],
    /// Whether the request continues an accepted stream, which is never refused for lateness.
    pub resumed: bool,
    /// Phases that the upstream must take; an upstream that takes both suits each phase.
    pub phase: Role,
}
