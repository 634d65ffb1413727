//! Recent texts and their encodings.

use std::sync::Arc;

use bytes::Bytes;
use config::ids::Version;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Fault, MAX_PART_BYTES, Part, Range, encode};

/// Texts that are kept at one time.
const MAX_TEXTS: usize = 8;
/// Bytes of all texts that are kept; the newest text is kept whatever its size.
const MAX_TEXT_BYTES: usize = 8 * 1_024 * 1_024;
/// Encodings that are kept at one time.
const MAX_ENCODINGS: usize = 16;
/// Bytes of all encodings that are kept; the newest one is kept whatever its size.
const MAX_ENCODED_BYTES: usize = 8 * 1_024 * 1_024;

/// The newest texts, and their encodings for those who fetch them.
#[derive(Debug, Default)]
pub struct Archive {
    texts: IndexMap<Version, Arc<str>>,
    /// Encodings by version and base.
    encodings: IndexMap<(Version, Version), Encoding>,
}

#[derive(Clone, Debug)]
struct Encoding {
    hash: u64,
    bytes: Bytes,
}

impl Archive {
    /// Adds a text, unless one with its version is kept already.
    pub fn add(&mut self, version: Version, text: &Arc<str>) {
        if self.texts.contains_key(&version) {
            return;
        }
        self.texts.insert(version, text.clone());
        while self.has_too_many_texts() {
            self.texts.shift_remove_index(0);
        }
    }

    /// Reports whether a text is kept.
    pub fn contains(&self, version: Version) -> bool {
        self.texts.contains_key(&version)
    }

    /// Returns a part of the encoding of a text; `None` if the text is not kept.
    ///
    /// # Errors
    /// If the text can't be encoded.
    pub fn part(&mut self, range: Range) -> Result<Option<Part>, Fault> {
        let Some(text) = self.texts.get(&range.version).cloned() else {
            return Ok(None);
        };
        let (base, base_text) = match self.texts.get(&range.base) {
            Some(text) => (range.base, text.clone()),
            None => (0, "".into()),
        };
        let encoding = self.encoding((range.version, base), &base_text, &text)?;
        let all = encoding.bytes;
        let begin = usize::try_from(range.offset).map_or(all.len(), |at| at.min(all.len()));
        let end = all.len().min(begin + MAX_PART_BYTES);
        Ok(Some(Part {
            base,
            total_bytes: all.len() as u64,
            hash: encoding.hash,
            bytes: all.slice(begin..end),
        }))
    }

    fn encoding(
        &mut self,
        versions: (Version, Version),
        base: &str,
        text: &str,
    ) -> Result<Encoding, Fault> {
        if let Some(encoding) = self.encodings.get(&versions) {
            return Ok(encoding.clone());
        }
        let bytes = encode(base, text)?;
        let encoding = Encoding {
            hash: xxh3_64(&bytes),
            bytes,
        };
        self.encodings.insert(versions, encoding.clone());
        while self.has_too_many_encodings() {
            self.encodings.shift_remove_index(0);
        }
        Ok(encoding)
    }

    fn has_too_many_texts(&self) -> bool {
        let bytes: usize = self.texts.values().map(|text| text.len()).sum();
        self.texts.len() > MAX_TEXTS || (self.texts.len() > 1 && bytes > MAX_TEXT_BYTES)
    }

    fn has_too_many_encodings(&self) -> bool {
        let bytes: usize = self.encodings.values().map(|e| e.bytes.len()).sum();
        let count = self.encodings.len();
        count > MAX_ENCODINGS || (count > 1 && bytes > MAX_ENCODED_BYTES)
    }
}
