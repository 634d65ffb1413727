//! An incremental parser of server-sent events.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event, in bytes. A longer event is a fault of the upstream.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// One item of an event stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Item {
    /// The data of one event.
    Data(Bytes),
    /// A comment, which shows that the sender is alive.
    Comment,
}

/// Splits bytes into events. The bytes may arrive in pieces of any size.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
    data: Option<BytesMut>,
    searched: usize,
}

impl Parser {
    /// Appends a piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Reports whether the current event exceeds the largest size.
    pub fn is_oversized(&self) -> bool {
        let held = self.data.as_ref().map_or(0, BytesMut::len);
        self.buffer.len() + held > MAX_EVENT_BYTES
    }

    /// Returns the next complete item.
    pub fn next_item(&mut self) -> Option<Item> {
        while let Some(line) = self.next_line() {
            match (line.as_ref(), self.data.take()) {
                ([], Some(data)) => return Some(Item::Data(data.freeze())),
                ([], None) => {}
                ([b':', ..], data) => {
                    self.data = data;
                    return Some(Item::Comment);
                }
                (_, data) => self.data = append_data(data, line),
            }
        }
        None
    }

    fn next_line(&mut self) -> Option<BytesMut> {
        let found = self.buffer[self.searched..]
            .iter()
            .position(|&byte| byte == b'\n');
        let Some(position) = found else {
            self.searched = self.buffer.len();
            return None;
        };
        let mut line = self.buffer.split_to(self.searched + position);
        self.buffer.advance(1);
        self.searched = 0;
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        Some(line)
    }
}

/// Appends the value of a `data` field to the data so far. Other fields are ignored.
fn append_data(data: Option<BytesMut>, mut line: BytesMut) -> Option<BytesMut> {
    if !line.starts_with(b"data:") {
        return data;
    }
    line.advance(b"data:".len());
    if line.first() == Some(&b' ') {
        line.advance(1);
    }
    match data {
        None => Some(line),
        Some(mut data) => {
            data.extend_from_slice(b"\n");
            data.extend_from_slice(&line);
            Some(data)
        }
    }
}
