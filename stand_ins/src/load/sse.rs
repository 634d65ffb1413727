//! A parser of server-sent events.

/// A server-sent event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Event {
    pub(super) id: Option<u64>,
    pub(super) name: String,
    pub(super) data: String,
}

/// Parses bytes into events.
#[derive(Debug, Default)]
pub(super) struct Parser {
    line: Vec<u8>,
    event: Event,
}

impl Parser {
    /// Parses `bytes` and returns the events that they complete.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        let mut events = Vec::new();
        for byte in bytes {
            match byte {
                b'\n' => events.extend(self.end_line()),
                b'\r' => {}
                other => self.line.push(*other),
            }
        }
        events
    }

    fn end_line(&mut self) -> Option<Event> {
        let line = String::from_utf8_lossy(&std::mem::take(&mut self.line)).into_owned();
        let (field, value) = line.split_once(':').unwrap_or((&line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "" if line.is_empty() => return self.end_event(),
            "id" => self.event.id = value.parse().ok(),
            "event" => value.clone_into(&mut self.event.name),
            "data" => self.event.data.push_str(value),
            _ => {}
        }
        None
    }

    fn end_event(&mut self) -> Option<Event> {
        let event = std::mem::take(&mut self.event);
        (!event.data.is_empty()).then_some(event)
    }
}
