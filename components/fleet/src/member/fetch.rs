//! Fetches texts from the control processes, part by part.

use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use config::ids::Version;
use errors::{Error, Peer, Result, Step};
use link::Connection;
use patch::{Download, Range};
use state::text::MAX_REPLACEMENT_BYTES;
use tracing::{info, warn};
use wire::{Answer, Body};

use super::Shared;

/// Longest wait for a part, after which the next control process is asked for it.
const PART_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Rounds over all control processes before a text is given up. The lease that named it was
/// granted before the first one.
const ROUNDS: usize = 3;

impl Shared {
    /// Fetches a text. Other control processes are asked for what is left if one fails.
    ///
    /// # Errors
    /// If no control process has the text, or none answers.
    pub(crate) async fn fetch_text(&self, version: Version) -> Result<Arc<str>> {
        let began = Instant::now();
        let base = self.source().clone();
        let base_version = base.0;
        let mut download = Download::new(version, base, MAX_REPLACEMENT_BYTES);
        let mut last_error = Error::Protocol(
            Step::Connect,
            Peer::Name("control".into()),
            "no connection is open".to_owned(),
        );
        for _ in 0..ROUNDS {
            for source in self.links.text_sources(&self.settings.node) {
                match self.fetch_from(&source, &mut download).await {
                    Ok(text) => {
                        info!(
                            version,
                            base = base_version,
                            bytes = text.len(),
                            encoded_bytes = download.received_bytes(),
                            elapsed_ms = began.elapsed().as_millis(),
                            "fleet: fetched text {version} from {}",
                            source.peer()
                        );
                        return Ok(text.into());
                    }
                    Err(error) => {
                        warn!("fleet: can't fetch text {version}: {error}");
                        last_error = error;
                    }
                }
            }
        }
        Err(last_error)
    }

    /// Fetches what is left of a text from one control process.
    async fn fetch_from(&self, source: &Connection, download: &mut Download) -> Result<String> {
        loop {
            let part = self.fetch_part(source, download.next()).await?;
            let added = download.add(part);
            let text = added.map_err(|fault| {
                Error::Protocol(Step::Decode, source.peer().clone(), fault.to_string())
            })?;
            if let Some(text) = text {
                return Ok(text);
            }
        }
    }

    async fn fetch_part(&self, source: &Connection, range: Range) -> Result<patch::Part> {
        let request = self.request(Body::FetchText(range));
        match source.call(request, PART_TIMEOUT).await? {
            Answer::TextPart(part) => Ok(part),
            _ => Err(super::unexpected_answer()),
        }
    }

    pub(crate) fn source(&self) -> std::sync::MutexGuard<'_, (Version, Arc<str>)> {
        self.source.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
