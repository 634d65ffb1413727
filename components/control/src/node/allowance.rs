//! Hands out accounts' limits to entries.

use std::sync::{Arc, PoisonError};
use std::time::Instant;

use config::Text;
use config::ids::{NodeId, Version};
use limits::{Accounts, Draw, Grant};
use state::{Command, Output};

use super::Node;
use crate::replica::Replica;

/// Meters of the accounts of one text.
#[derive(Debug, Default)]
pub(super) struct Allowance {
    accounts: Accounts,
    text: Option<(Version, Arc<Text>)>,
}

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Answers reports of `entry`, under the newest text.
    pub(super) fn draw(&self, entry: &NodeId, draws: &[Draw]) -> Vec<Grant> {
        let mut allowance = self
            .allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let text = self.newest_text(&mut allowance);
        let now = Instant::now();
        let grant = |draw: &Draw| match &text {
            Some(text) => allowance.accounts.draw(entry, draw, text, now),
            None => Grant::nothing(),
        };
        draws.iter().map(grant).collect()
    }

    /// Returns the newest text, which is parsed once for each version.
    fn newest_text(&self, allowance: &mut Allowance) -> Option<Arc<Text>> {
        let state = self.machine.read();
        let newest = state.texts().newest();
        match &allowance.text {
            Some((version, text)) if *version == newest => Some(text.clone()),
            _ => {
                let source = &state.texts().revision(newest)?.source;
                let text = Arc::new(Text::parse(source).ok()?);
                allowance.accounts.retain(&text);
                allowance.text = Some((newest, text.clone()));
                Some(text)
            }
        }
    }
}
