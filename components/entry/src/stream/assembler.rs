//! Assembles the tokens of one or several attempts into one answer, each token exactly once.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};

use super::{Event, Item, Parser, Usage};

/// The answer received so far.
#[derive(Debug, Default)]
pub struct Assembler {
    parser: Parser,
    tokens: Vec<CompactString>,
    reason: Option<CompactString>,
    usage: Option<Usage>,
    complete: bool,
}

/// The meaning of the next item of the stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The next token, with its index.
    Token(usize, CompactString),
    /// The finish reason, and the token counts of the attempt.
    Finish(CompactString, Usage),
    /// The end mark: the answer is complete.
    Complete,
    /// A comment.
    Comment,
}

/// Why the stream of an attempt is rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An event can't be parsed.
    Malformed(CompactString),
    /// A token is repeated, missing or has no index.
    WrongIndex {
        /// Index of the next token.
        expected: usize,
        /// Index that was received, if any.
        received: Option<usize>,
    },
    /// The engine reported an error.
    Reported(CompactString),
    /// An event is too long, follows the end, or marks the end too early.
    Unexpected(&'static str),
}

impl Assembler {
    /// Creates an assembler that continues after tokens that another entry received.
    pub fn with_tokens(tokens: Vec<CompactString>) -> Self {
        Assembler {
            tokens,
            ..Assembler::default()
        }
    }

    /// Returns the tokens received so far.
    pub fn tokens(&self) -> &[CompactString] {
        &self.tokens
    }

    /// Returns the finish reason, once it was received.
    pub fn finish_reason(&self) -> Option<&str> {
        self.reason.as_deref()
    }

    /// Returns the token counts of the last attempt, once they were received.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Reports whether the end mark was received.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Discards partial events and the finish reason before another attempt continues the answer.
    pub fn restart(&mut self) {
        self.parser = Parser::default();
        self.reason = None;
        self.usage = None;
    }

    /// Appends bytes of the current attempt's stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.parser.push(piece);
    }

    /// Returns the next step, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// If the stream is faulty. The rest of the attempt's stream must not be used.
    pub fn next_step(&mut self) -> Result<Option<Step>, Fault> {
        match self.parser.next_item() {
            None if self.parser.is_oversized() => Err(Fault::Unexpected("an endless event")),
            None => Ok(None),
            Some(Item::Comment) => Ok(Some(Step::Comment)),
            Some(Item::Data(_)) if self.complete => Err(Fault::Unexpected("an event after [DONE]")),
            Some(Item::Data(data)) if data.as_ref() == b"[DONE]" => self.finish().map(Some),
            Some(Item::Data(data)) => self.apply_event(&data).map(Some),
        }
    }

    fn finish(&mut self) -> Result<Step, Fault> {
        match self.reason {
            Some(_) => {
                self.complete = true;
                Ok(Step::Complete)
            }
            None => Err(Fault::Unexpected("[DONE] without a finish reason")),
        }
    }

    fn apply_event(&mut self, data: &Bytes) -> Result<Step, Fault> {
        let event: Event<'_> = serde_json::from_slice(data)
            .map_err(|error| Fault::Malformed(format_compact!("{error}")))?;
        if let Some(error) = &event.error {
            return Err(Fault::Reported(format_compact!("{error}")));
        }
        match (event.finish_reason(), event.token()) {
            (_, _) if self.reason.is_some() => Err(Fault::Unexpected("an event after the last")),
            (Some(reason), "") => {
                let reason = CompactString::from(reason);
                self.check_count(&event)?;
                let usage = event.usage.unwrap_or_default();
                self.reason = Some(reason.clone());
                self.usage = Some(usage);
                Ok(Step::Finish(reason, usage))
            }
            (_, token) => self.push_token(event.token_index, token),
        }
    }

    /// Compares the number of tokens with the count in the last event, to detect a token that is
    /// missing directly before the end.
    fn check_count(&self, last: &Event<'_>) -> Result<(), Fault> {
        let expected = self.tokens.len();
        let counted = last.usage.map(|usage| usage.completion_tokens as usize);
        match counted.or(last.token_index) {
            Some(received) if received != expected => Err(Fault::WrongIndex {
                expected,
                received: Some(received),
            }),
            _ => Ok(()),
        }
    }

    fn push_token(&mut self, received: Option<usize>, token: &str) -> Result<Step, Fault> {
        let expected = self.tokens.len();
        if received != Some(expected) {
            return Err(Fault::WrongIndex { expected, received });
        }
        let token = CompactString::from(token);
        self.tokens.push(token.clone());
        Ok(Step::Token(expected, token))
    }
}
