//! A text that is fetched part by part.

use std::sync::Arc;

use config::ids::Version;

use crate::{Fault, Part, Range, decode};

/// Bytes by which the encoding of an incompressible text may be larger than the text.
const MAX_OVERHEAD_BYTES: usize = 64 * 1_024;

/// A text that is fetched part by part. Parts may come from different senders.
#[derive(Debug)]
pub struct Download {
    version: Version,
    base: Version,
    base_text: Arc<str>,
    /// Hash of the encoding that the received bytes belong to.
    hash: u64,
    received: Vec<u8>,
    max_bytes: usize,
}

impl Download {
    /// Starts to fetch `version`, which has at most `max_bytes`, relative to the text `base`.
    pub fn new(version: Version, base: (Version, Arc<str>), max_bytes: usize) -> Self {
        let (base, base_text) = base;
        Download {
            version,
            base,
            base_text,
            hash: 0,
            received: Vec::new(),
            max_bytes,
        }
    }

    /// Returns the range to ask for next.
    pub fn next(&self) -> Range {
        Range {
            version: self.version,
            base: self.base,
            offset: self.received.len() as u64,
        }
    }

    /// Returns the number of bytes received so far.
    pub fn received_bytes(&self) -> usize {
        self.received.len()
    }

    /// Adds the answer to the request for the next range. Returns the text once it is complete.
    ///
    /// # Errors
    /// If the text is too large or can't be decoded. The download then starts again without a base.
    pub fn add(&mut self, part: Part) -> Result<Option<String>, Fault> {
        let added = self.add_part(part);
        if added.is_err() {
            self.restart(0, 0);
        }
        added
    }

    fn add_part(&mut self, part: Part) -> Result<Option<String>, Fault> {
        let is_continued = part.hash == self.hash && part.base == self.base;
        if !is_continued {
            let is_start = self.received.is_empty();
            self.restart(part.base, part.hash);
            if !is_start {
                return Ok(None);
            }
        }
        let total = usize::try_from(part.total_bytes).unwrap_or(usize::MAX);
        if total > self.max_bytes.saturating_add(MAX_OVERHEAD_BYTES) {
            return Err(Fault::TooLarge(self.max_bytes));
        }
        self.received.extend_from_slice(&part.bytes);
        match self.received.len() {
            length if length < total && part.bytes.is_empty() => {
                Err(Fault::Decode("a part is empty".to_owned()))
            }
            length if length < total => Ok(None),
            _ => {
                let base = match self.base {
                    0 => "",
                    _ => &self.base_text,
                };
                decode(base, &self.received, self.max_bytes).map(Some)
            }
        }
    }

    /// Discards what was received, and continues with another encoding.
    fn restart(&mut self, base: Version, hash: u64) {
        self.received.clear();
        self.base = base;
        self.hash = hash;
    }
}
