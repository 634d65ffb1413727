//! Answers as server-sent events with one token each.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::StatusCode;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::generate::Api;
use super::job::{Output, Usage};
use super::request::Generation;
use super::{Core, Switches, lock};
use crate::text;
use crate::web::{Body, Response};

const DONE: &str = "data: [DONE]\n\n";
const KEEP_ALIVE: &str = ": keep-alive\n\n";

/// Encodes the events of one answer.
#[derive(Clone, Debug)]
pub(super) struct Encoder {
    pub(super) api: Api,
    pub(super) id: String,
    pub(super) model: String,
    pub(super) text_seed: u64,
    pub(super) finish_reason: &'static str,
}

impl Encoder {
    pub(super) fn new(api: Api, request: &str, generation: &Generation, text_seed: u64) -> Encoder {
        Encoder {
            api,
            id: format!("gen-{request}"),
            model: generation.model.clone(),
            text_seed,
            finish_reason: match generation.max_answer_tokens() {
                Some(_) => "length",
                None => "stop",
            },
        }
    }

    fn event(&self, index: usize, token: &str, finish: Option<Usage>) -> String {
        let reason = finish.map(|_| self.finish_reason);
        let (object, choice) = match self.api {
            Api::Chat => (
                "chat.completion.chunk",
                json!({"index": 0, "delta": {"content": token}, "finish_reason": reason}),
            ),
            Api::Text => (
                "text_completion",
                json!({"index": 0, "text": token, "finish_reason": reason}),
            ),
        };
        let mut event = json!({
            "id": self.id,
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "token_index": index,
        });
        if let Some(usage) = finish {
            event["usage"] = usage.json();
        }
        format!("data: {event}\n\n")
    }
}

impl Usage {
    pub(super) fn json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.completion,
            "total_tokens": self.prompt + self.completion,
            "cached_tokens": self.cached,
            "computed_tokens": self.computed,
        })
    }
}

pub(super) fn answer(
    core: Arc<Core>,
    encoder: Encoder,
    output: mpsc::Receiver<Output>,
) -> Response {
    let writer = Writer {
        core,
        encoder,
        output,
        written: 0,
        ended: false,
    };
    let body: Body = StreamBody::new(stream::unfold(writer, Writer::next)).boxed_unsync();
    hyper::Response::builder()
        .status(StatusCode::OK)
        .header(CONTENT_TYPE, "text/event-stream")
        .header(CACHE_CONTROL, "no-cache")
        .body(body)
        .expect("the headers are valid")
}

struct Writer {
    core: Arc<Core>,
    encoder: Encoder,
    output: mpsc::Receiver<Output>,
    written: usize,
    ended: bool,
}

type Item = io::Result<Frame<Bytes>>;

impl Writer {
    async fn next(mut self) -> Option<(Item, Writer)> {
        if self.ended {
            return None;
        }
        self.core.lifecycle.wait_until_thawed().await;
        let keep_alive = tokio::time::sleep(self.core.settings.keep_alive);
        let output = tokio::select! {
            output = self.output.recv() => Some(output),
            () = keep_alive => None,
        };
        self.core.lifecycle.wait_until_thawed().await;
        let Some(output) = output else {
            return Some((frame(KEEP_ALIVE.to_owned()), self));
        };
        let switches = lock(&self.core.switches).clone();
        self.inject_faults(&switches).await;
        if reached(switches.close_after, self.written) {
            self.ended = true;
            let cause = io::Error::from(io::ErrorKind::ConnectionAborted);
            return Some((Err(cause), self));
        }
        let text = self.write(output, &switches)?;
        Some((frame(text), self))
    }

    /// Kills the engine or suspends the stream once the number of tokens of a switch is reached.
    async fn inject_faults(&self, switches: &Switches) {
        if reached(switches.die_after, self.written) {
            self.core.lifecycle.kill();
        }
        if reached(switches.silent_after, self.written) {
            std::future::pending::<()>().await;
        }
    }

    fn write(&mut self, output: Option<Output>, switches: &Switches) -> Option<String> {
        match output {
            Some(Output::Token(index)) => {
                self.written += 1;
                let token = text::token(self.encoder.text_seed, index);
                Some(self.encoder.event(index, &token, None))
            }
            Some(Output::Finished(usage)) => {
                self.ended = true;
                let last = self.encoder.event(usage.completion, "", Some(usage));
                let done = if switches.drop_done { "" } else { DONE };
                Some(last + done)
            }
            None => None,
        }
    }
}

fn reached(limit: Option<usize>, written: usize) -> bool {
    limit.is_some_and(|limit| written >= limit)
}

fn frame(text: String) -> Item {
    Ok(Frame::data(text.into()))
}
