//! Grants entries their parts of the accounts' limits.

use std::sync::{Arc, PoisonError};
use std::time::Instant;

use config::Text;
use config::ids::{NodeId, Version};
use limits::{Accounts, Draw, Grant};
use state::{Command, Output};

use super::Node;
use crate::replica::Replica;

/// Meters of the accounts, with the version of the text that names them.
#[derive(Debug, Default)]
pub(super) struct Meters {
    accounts: Accounts,
    version: Version,
}

impl Meters {
    /// Removes the accounts that are not in a newer text, and returns the text.
    fn retain_accounts(&mut self, version: Version, text: Arc<Text>) -> Arc<Text> {
        if self.version != version {
            self.accounts.retain(&text);
            self.version = version;
        }
        text
    }
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Grants units to `entry` under the limits of the newest text.
    pub(super) fn draw(&self, entry: &NodeId, draws: &[Draw]) -> Vec<Grant> {
        let mut meters = self.meters.lock().unwrap_or_else(PoisonError::into_inner);
        let text = self
            .text()
            .map(|(version, text)| meters.retain_accounts(version, text));
        let now = Instant::now();
        let grant = |draw: &Draw| match &text {
            Some(text) => meters.accounts.draw(entry, draw, text, now),
            None => Grant::empty(),
        };
        draws.iter().map(grant).collect()
    }
}
