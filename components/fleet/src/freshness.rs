//! The freshness lease of an entry. The caller passes the time to each call.

use std::time::{Duration, Instant};

use config::ids::Version;

/// The version that an entry has in force, and until when it is known to be the newest.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Freshness {
    version: Version,
    expires_at: Option<Instant>,
}

impl Freshness {
    /// Returns the version in force; 0 before the first.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns when the lease expires; `None` before the first.
    pub fn expires_at(&self) -> Option<Instant> {
        self.expires_at
    }

    /// Reports whether requests may be served at `now`.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// Applies the leader's answer to a request that was sent at `sent_at`: `newest` was the newest
    /// version at some time after that. `has_text` tells whether the answer contains the text.
    ///
    /// Returns whether to put the text of `newest` in force.
    pub fn apply_confirmation(
        &mut self,
        sent_at: Instant,
        newest: Version,
        has_text: bool,
        lease: Duration,
    ) -> bool {
        let expires_at = Some(sent_at + lease);
        match newest {
            0 => false,
            newest if newest == self.version => {
                self.expires_at = self.expires_at.max(expires_at);
                false
            }
            newest if newest > self.version && has_text => {
                self.version = newest;
                self.expires_at = expires_at;
                true
            }
            _ => false,
        }
    }
}
