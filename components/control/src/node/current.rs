//! The newest text, parsed once for each version.

use std::sync::{Arc, PoisonError};

use config::Text;
use config::ids::Version;
use state::{Command, Output};
use tracing::error;

use super::Node;
use crate::replica::Replica;

/// A version of the text, parsed.
pub(crate) type Current = Option<(Version, Arc<Text>)>;

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Returns the newest text that is applied here.
    pub(crate) fn text(&self) -> Current {
        let state = self.machine.read();
        let newest = state.texts().newest();
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        match &*current {
            Some((version, _)) if *version == newest => {}
            _ => {
                let source = &state.texts().revision(newest)?.source;
                match (self.settings.reader)(source) {
                    Ok(text) => *current = Some((newest, Arc::new(text))),
                    Err(what) => {
                        error!("control: text {newest} can't be read: {what}");
                        return None;
                    }
                }
            }
        }
        current.clone()
    }
}
