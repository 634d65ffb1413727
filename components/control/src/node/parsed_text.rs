//! Parsing of texts, and a cache of the newest one in its parsed form. A text that can't be parsed is
//! not cached: each call parses it again and logs the error.

use std::sync::{Arc, MutexGuard, PoisonError};

use config::Text;
use config::ids::Version;
use state::{Command, Output};
use tokio::task::spawn_blocking;
use tracing::error;
use wire::Failure;

use super::Node;
use crate::replica::Replica;

/// The newest text with its version; `None` if there is no text or the newest one can't be
/// parsed.
pub(crate) type ParsedText = Option<(Version, Arc<Text>)>;

impl<R: Replica<Command = Command, Output = Output>> Node<R> {
    /// Returns the newest text that is applied here.
    pub(crate) fn text(&self) -> ParsedText {
        let (newest, source) = {
            let state = self.machine.read();
            let newest = state.texts().newest();
            let parsed_text = self.parsed_text();
            if matches!(&*parsed_text, Some((version, _)) if *version == newest) {
                return parsed_text.clone();
            }
            (newest, state.texts().revision(newest)?.source.clone())
        };
        // Without a lock on the state, which the replicated log would wait for.
        match (self.settings.parser)(&source) {
            Ok(text) => self.keep_parsed(newest, text.into()),
            Err(cause) => {
                error!("control: text {newest} can't be parsed: {cause}");
                None
            }
        }
    }

    /// Parses a text that was submitted, on a thread of its own: a large one takes a while on a
    /// small instance, which goes on answering meanwhile.
    ///
    /// # Errors
    /// If the text can't be put in force.
    pub(super) async fn parse_submitted(&self, source: Arc<str>) -> Result<Text, Failure> {
        let parser = self.settings.parser;
        let parsed = spawn_blocking(move || parser(&source)).await;
        match parsed {
            Ok(Ok(text)) => Ok(text),
            Ok(Err(reason)) => Err(Failure::Refused(reason.into())),
            Err(failed) => Err(Failure::Refused(failed.to_string().into())),
        }
    }

    /// Keeps a parsed text unless a newer one is kept, and returns the one that is kept.
    pub(super) fn keep_parsed(&self, version: Version, text: Arc<Text>) -> ParsedText {
        let mut parsed_text = self.parsed_text();
        match &*parsed_text {
            Some((kept, _)) if *kept >= version => {}
            _ => *parsed_text = Some((version, text)),
        }
        parsed_text.clone()
    }

    fn parsed_text(&self) -> MutexGuard<'_, ParsedText> {
        self.parsed_text
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
