//! The end of a complete answer.

use std::time::{Duration, Instant};

use fleet::Control;
use tokio::time::timeout_at;

use super::Relay;
use crate::lifecycle::Event;
use crate::model::sink::SendError;
use crate::reply::Reply;
use crate::stream::{DONE, Usage};

/// Timeout for writing a complete answer into a buffer after its caller disconnected.
const DETACHED_FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

impl<C: Control> Relay<C> {
    /// Delivers what is left of a complete answer.
    pub(super) async fn finish(mut self) {
        self.exchange.apply(Event::Completed);
        self.exchange.release();
        let reason = self.assembler.finish_reason().unwrap_or("stop").to_owned();
        let usage = Usage {
            completion_tokens: self.assembler.tokens().len() as u64,
            ..self.assembler.usage().unwrap_or_default()
        };
        if self.sink.is_closed() {
            // Without a key the answer can't be delivered; it is logged as answered.
            let _ = self.detach_caller();
        }
        if !self.sink.is_streaming() {
            let body = self.encoder.full(self.assembler.tokens(), &reason, usage);
            let reply = Reply::json(http::StatusCode::OK, body);
            return self.sink.answer(&mut self.exchange, reply, "answered");
        }
        let mut flushed = timeout_at(self.deadline.into(), self.flush(&reason, usage)).await;
        if !matches!(flushed, Ok(Ok(()))) && self.detach_caller().is_ok() {
            let until = Instant::now() + DETACHED_FLUSH_TIMEOUT;
            flushed = timeout_at(until.into(), self.flush(&reason, usage)).await;
        }
        let why = match flushed {
            Ok(Ok(())) => "answered",
            Ok(Err(_)) => "answered, but the caller disconnected",
            Err(_) => "answered, but the caller reads too slowly",
        };
        self.exchange.end_stream(why);
    }

    async fn flush(&mut self, reason: &str, usage: Usage) -> Result<(), SendError> {
        self.sink.send_head(&self.exchange.subject.request);
        let tokens = self.assembler.tokens();
        for (index, token) in tokens.iter().enumerate().skip(self.emitted) {
            self.sink.send(self.encoder.token(index, token)).await?;
            self.core.metrics.relayed_tokens.inc();
        }
        let last = self.encoder.finish(tokens.len(), reason, usage);
        self.sink.send(last).await?;
        self.sink.send(DONE.into()).await?;
        self.sink.end().await
    }
}
