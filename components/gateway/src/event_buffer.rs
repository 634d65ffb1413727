//! Splits the bytes of a stream into events, so that only complete events are passed on and a
//! stream can be resumed after the last one.

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;

/// Largest event, in bytes. The buffers of all streams of an entry stay within its memory.
pub const MAX_EVENT_BYTES: usize = 64 * 1_024;
/// Prefix of the line that holds an event's number.
const ID_FIELD: &[u8] = b"id:";
/// Start of the first line of an HTTP answer, which is no line of an event.
const ANSWER_START: &[u8] = b"HTTP/1.";

quick_error! {
    /// Why bytes can't be the next event of a stream.
    #[derive(Debug, PartialEq)]
    pub enum EventError {
        /// The event has more bytes than allowed.
        TooLong(limit: usize) {
            display("an event has more than {limit} bytes")
        }
        /// A resumed stream begins with another event than the one that is due.
        NotDue(id: u64, last: u64) {
            display("the stream goes on with event {id} after event {last}")
        }
    }
}

/// Buffers the bytes of a `text/event-stream` until an event is complete.
#[derive(Debug)]
pub struct EventBuffer {
    partial: BytesMut,
    scanner: Scanner,
    last_id: Option<u64>,
    /// Whether each number so far was one more than the one before.
    is_gapless: bool,
    /// Whether the next numbered event is the first one since the stream was resumed.
    is_resumed: bool,
    /// Whether another answer follows the stream on the same connection.
    has_other_answer: bool,
}

impl Default for EventBuffer {
    fn default() -> Self {
        EventBuffer {
            partial: BytesMut::new(),
            scanner: Scanner::default(),
            last_id: None,
            is_gapless: true,
            is_resumed: false,
            has_other_answer: false,
        }
    }
}

impl EventBuffer {
    /// Appends bytes, and returns the events that are complete now.
    ///
    /// # Errors
    /// Returns an error if the incomplete event exceeds [`MAX_EVENT_BYTES`], or if a resumed stream
    /// does not go on after the last event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        if self.has_other_answer {
            return Ok(Bytes::new());
        }
        let before = self.partial.len();
        let end = self.scanner.scan(bytes);
        self.partial.extend_from_slice(bytes);
        let complete = match end {
            Some(end) => self.partial.split_to(before + end).freeze(),
            None => Bytes::new(),
        };
        let complete = self.without_other_answer(complete);
        self.follow(&complete)?;
        match self.partial.len() {
            MAX_EVENT_BYTES.. if complete.is_empty() => Err(EventError::TooLong(MAX_EVENT_BYTES)),
            // Complete events are passed on first; the next bytes meet the bound.
            _ => Ok(complete),
        }
    }

    /// Follows the numbers of complete events.
    fn follow(&mut self, complete: &[u8]) -> Result<(), EventError> {
        for id in ids(complete) {
            let last = self.last_id.unwrap_or(0);
            let is_next = id == last.saturating_add(1);
            let is_due = is_next || !self.is_gapless && id > last;
            if std::mem::take(&mut self.is_resumed) && !is_due {
                return Err(EventError::NotDue(id, last));
            }
            self.is_gapless &= is_next || self.last_id.is_none();
            self.last_id = Some(id);
        }
        Ok(())
    }

    /// Returns the events before the start of another answer, which follows on the same connection.
    fn without_other_answer(&mut self, mut events: Bytes) -> Bytes {
        if let Some(start) = answer_start(&events) {
            self.has_other_answer = true;
            events.truncate(start);
        }
        events
    }

    /// Reports whether bytes were received that are not a complete event: a part of one, or another
    /// answer.
    pub fn is_within_event(&self) -> bool {
        !self.partial.is_empty() || self.has_other_answer
    }

    /// Reports whether a complete event was received since the start or the last discarded part.
    pub fn has_events(&self) -> bool {
        self.scanner.has_events
    }

    /// Discards an incomplete event, because the stream is resumed after the last complete one.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.has_other_answer = false;
        self.is_resumed = self.last_id.is_some();
        self.scanner = Scanner::default();
    }

    /// Returns the number of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Finds the ends of events. Each byte is read once, however the bytes are split.
#[derive(Debug, Default)]
struct Scanner {
    line: Line,
    /// Whether the current event has a line that is neither empty nor a comment.
    has_field: bool,
    /// Whether an event has ended.
    has_events: bool,
    /// Whether the last byte was a carriage return, which a line feed may follow.
    after_return: bool,
}

/// What the current line has so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl Scanner {
    /// Reads bytes, and returns the offset after the last one that ends an event, or that ends an
    /// empty line or a comment between events.
    fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (index, &byte) in bytes.iter().enumerate() {
            let ends_line = match byte {
                b'\n' => !self.after_return,
                b'\r' => true,
                _ => false,
            };
            match (byte, self.line) {
                (b'\n' | b'\r', _) if ends_line => self.end_line(),
                (b'\n', _) => {}
                (b':', Line::Empty) => self.line = Line::Comment,
                (_, Line::Empty) => self.line = Line::Field,
                _ => {}
            }
            self.after_return = byte == b'\r';
            if self.line == Line::Empty && !self.has_field {
                end = Some(index + 1);
            }
        }
        end
    }

    fn end_line(&mut self) {
        self.has_events |= self.line == Line::Empty && self.has_field;
        self.has_field = match self.line {
            Line::Empty => false,
            Line::Comment => self.has_field,
            Line::Field => true,
        };
        self.line = Line::Empty;
    }
}

/// Splits bytes into lines.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|byte| matches!(byte, b'\n' | b'\r'))
}

/// Returns where a line is the first one of an HTTP answer.
fn answer_start(events: &[u8]) -> Option<usize> {
    let mut start = 0;
    for line in lines(events) {
        if line.starts_with(ANSWER_START) {
            return Some(start);
        }
        start += line.len() + 1;
    }
    None
}

/// Returns the numbers of the events that have one.
fn ids(events: &[u8]) -> impl Iterator<Item = u64> {
    lines(events).filter_map(|line| {
        let value = line.strip_prefix(ID_FIELD)?;
        let value = std::str::from_utf8(value).ok()?;
        value.trim().parse().ok()
    })
}
