//! The snapshot of the fleet's state that the request path reads.

use std::sync::Arc;
use std::time::Instant;

use config::Text;
use config::ids::Version;
use upstream::Routes;

/// Snapshot of what an entry knows about the fleet.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The operators' text in force; `None` before the first.
    pub config: Option<Arc<Config>>,
    /// Until when the text is known to be the newest. No requests are served after it.
    pub fresh_until: Option<Instant>,
    /// Upstreams by service.
    pub routes: Arc<Routes>,
    /// Whether the control group answers, which is required for calls with an idempotency key.
    pub control_reachable: bool,
}

impl View {
    /// Returns the text in force if it is known to be the newest at `now`.
    pub fn fresh_config(&self, now: Instant) -> Option<&Arc<Config>> {
        match (&self.config, self.fresh_until) {
            (Some(config), Some(until)) if now < until => Some(config),
            _ => None,
        }
    }
}

/// The operators' text with its version.
#[derive(Clone, Debug)]
pub struct Config {
    /// Version of the text.
    pub version: Version,
    /// The text.
    pub text: Text,
}
