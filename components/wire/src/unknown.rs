//! Frames that another release understands and this one does not.

use ciborium::Value;
use ciborium::de::from_reader_with_recursion_limit;

use crate::CallId;
use crate::codec::MAX_DEPTH;

/// An envelope whose frame this release does not know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unknown {
    /// Sequence number of the envelope.
    pub number: u64,
    /// Echo of the envelope.
    pub echo: u64,
    /// What the frame is.
    pub kind: Kind,
}

/// What an unknown frame is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A request, whose sender waits for an answer.
    Call(CallId),
    /// The answer to a request of this process.
    Answer(CallId),
    /// A message that expects no answer.
    Push,
}

impl Unknown {
    /// Reads an envelope as far as all releases have it in common; `None` if the bytes are none.
    pub fn read(bytes: &[u8]) -> Option<Unknown> {
        let mut rest = bytes;
        let envelope: Value = from_reader_with_recursion_limit(&mut rest, MAX_DEPTH).ok()?;
        let [number, echo, frame] = envelope.as_array()?.as_slice() else {
            return None;
        };
        let frame = frame.as_map().filter(|fields| fields.len() == 1)?;
        let (name, content) = frame.first()?;
        let id = || integer(content.as_array()?.first()?);
        let kind = match name.as_text()? {
            "c" => Kind::Call(id()?),
            "a" => Kind::Answer(id()?),
            "p" => Kind::Push,
            _ => return None,
        };
        rest.is_empty().then_some(Unknown {
            number: integer(number)?,
            echo: integer(echo)?,
            kind,
        })
    }
}

fn integer(value: &Value) -> Option<u64> {
    value.as_integer()?.try_into().ok()
}
