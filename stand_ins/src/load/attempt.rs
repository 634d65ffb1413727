//! One attempt of a request.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, Method};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::Value;
use tokio::time::{Instant as Deadline, timeout, timeout_at};

use super::outcome::{AttemptOutcome, Observation, Outcome};
use super::sse::{Event, Parser};
use super::{Attempt, Call, Caller};
use crate::plain;

/// Tokens and times of a request over all of its attempts.
#[derive(Debug)]
pub(super) struct Progress {
    started: Instant,
    expected: Vec<String>,
    /// Number of consecutive tokens received.
    received: usize,
    last_event: u64,
    first_token: Option<Duration>,
    last_token: Option<Instant>,
    gaps: Vec<Duration>,
}

impl Progress {
    pub(super) fn new(call: &Call, started: Instant) -> Progress {
        Progress {
            started,
            expected: match call {
                Call::Generate(generate) => generate.expected_tokens(),
                _ => Vec::new(),
            },
            received: 0,
            last_event: 0,
            first_token: None,
            last_token: None,
            gaps: Vec::new(),
        }
    }

    pub(super) fn into_observation(self, outcome: Outcome, attempts: Vec<Attempt>) -> Observation {
        Observation {
            outcome,
            attempts,
            first_token: self.first_token,
            gaps: self.gaps,
            total: self.started.elapsed(),
            tokens: self.received,
        }
    }

    fn reset(&mut self) {
        self.received = 0;
        self.last_event = 0;
    }

    fn record_token(&mut self, token: &str) -> Result<(), String> {
        match self.expected.get(self.received) {
            Some(expected) if expected == token => {}
            expected => {
                let at = self.received;
                return Err(format!("token {at} is {token:?} in place of {expected:?}"));
            }
        }
        let now = Instant::now();
        self.received += 1;
        match self.last_token.replace(now) {
            Some(last) => self.gaps.push(now - last),
            None => self.first_token = Some(now - self.started),
        }
        Ok(())
    }

    fn check_complete(&self) -> AttemptOutcome {
        match self.received {
            received if received == self.expected.len() => AttemptOutcome::Complete,
            received => AttemptOutcome::Wrong(format!(
                "[DONE] came after {received} of {} tokens",
                self.expected.len()
            )),
        }
    }
}

/// Executes one attempt.
pub(super) struct Runner<'a> {
    caller: &'a Caller,
    entry: SocketAddr,
    call: &'a Call,
}

impl<'a> Runner<'a> {
    pub(super) fn new(caller: &'a Caller, entry: SocketAddr, call: &'a Call) -> Runner<'a> {
        Runner {
            caller,
            entry,
            call,
        }
    }

    pub(super) async fn run(self, progress: &mut Progress) -> Attempt {
        // Without a last event id the answer starts from the first token.
        if progress.last_event == 0 {
            progress.reset();
        }
        let deadline = Deadline::now() + self.caller.settings.attempt_timeout;
        let mut attempt = Attempt {
            entry: self.entry,
            request: String::new(),
            status: None,
            outcome: AttemptOutcome::Broken("no answer within the attempt timeout".to_owned()),
        };
        let exchange = self.exchange(progress, &mut attempt);
        if let Ok(outcome) = timeout_at(deadline, exchange).await {
            attempt.outcome = outcome;
        }
        if attempt.outcome == AttemptOutcome::Restart {
            progress.reset();
        }
        attempt
    }

    async fn exchange(&self, progress: &mut Progress, attempt: &mut Attempt) -> AttemptOutcome {
        let request = self.build_request(progress);
        let silence_timeout = self.caller.settings.silence_timeout;
        let response = match timeout(silence_timeout, self.caller.http.request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(cause)) => return AttemptOutcome::Broken(format!("request failed: {cause}")),
            Err(_) => {
                return AttemptOutcome::Broken(
                    "no response head before the silence timeout".to_owned(),
                );
            }
        };
        let (head, body) = response.into_parts();
        attempt.status = Some(head.status.as_u16());
        attempt.request = header(&head.headers, "chervilloft-request-id");
        let streamed = header(&head.headers, "content-type").starts_with("text/event-stream");
        match head.status.is_success() && streamed {
            true => self.read_stream(body, progress).await,
            false => match read_body(body, silence_timeout).await {
                Ok(bytes) => self.verify(head.status.as_u16(), &head.headers, &bytes, progress),
                Err(outcome) => outcome,
            },
        }
    }

    fn build_request(&self, progress: &Progress) -> hyper::Request<Full<Bytes>> {
        let (method, path, body) = match self.call {
            Call::Generate(generate) => (
                Method::POST,
                generate.path().to_owned(),
                generate.body().to_string(),
            ),
            Call::Read { service, path } => (
                Method::GET,
                format!("/services/{service}{path}"),
                String::new(),
            ),
            Call::Submit(submit) => (
                Method::POST,
                format!("/services/{}{}", submit.service, submit.path),
                submit.body.clone(),
            ),
        };
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entry))
            .header(CONTENT_TYPE, "application/json");
        let settings = &self.caller.settings;
        if !settings.bearer.is_empty() {
            request = request.header(AUTHORIZATION, format!("Bearer {}", settings.bearer));
        }
        if !self.call.key().is_empty() {
            request = request.header("idempotency-key", self.call.key());
        }
        if progress.last_event > 0 {
            request = request.header("last-event-id", progress.last_event);
        }
        match self.call {
            Call::Generate(generate) if !generate.priority.is_empty() => {
                request = request.header("chervilloft-priority", generate.priority);
            }
            _ => {}
        }
        request
            .body(Full::new(body.into()))
            .expect("the parts of a request are valid")
    }

    async fn read_stream(&self, mut body: Incoming, progress: &mut Progress) -> AttemptOutcome {
        let mut parser = Parser::default();
        loop {
            let frame = match timeout(self.caller.settings.silence_timeout, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(cause))) => {
                    return AttemptOutcome::Broken(format!("stream failed: {cause}"));
                }
                Ok(None) => {
                    return AttemptOutcome::Broken("stream closed before [DONE]".to_owned());
                }
                Err(_) => return AttemptOutcome::Broken("stream timed out".to_owned()),
            };
            let bytes = frame.into_data().unwrap_or_default();
            for event in parser.push(&bytes) {
                if let Some(outcome) = apply_event(&event, progress) {
                    return outcome;
                }
            }
        }
    }

    fn verify(
        &self,
        status: u16,
        headers: &HeaderMap,
        bytes: &Bytes,
        progress: &mut Progress,
    ) -> AttemptOutcome {
        let json: Value = serde_json::from_slice(bytes).unwrap_or_default();
        let outcome = header(headers, "chervilloft-outcome");
        let seconds = header(headers, RETRY_AFTER.as_str());
        match (status, outcome.as_str(), self.call) {
            (409, _, Call::Generate(_)) if progress.last_event > 0 => AttemptOutcome::Restart,
            (_, "not-run", _) => AttemptOutcome::Refused(seconds.parse().unwrap_or(0)),
            (_, "unknown", _) => AttemptOutcome::Unknown,
            (200, _, Call::Generate(generate)) => {
                let text = match generate.chat {
                    true => &json["choices"][0]["message"]["content"],
                    false => &json["choices"][0]["text"],
                };
                check_text(text.as_str(), progress)
            }
            (200, _, Call::Read { service, path }) => {
                let expected = plain::read_answer(service, path);
                match serde_json::from_str::<Value>(&expected) {
                    Ok(expected) if expected == json => AttemptOutcome::Complete,
                    _ => AttemptOutcome::Wrong(format!("a read of \"{path}\" gave {json}")),
                }
            }
            (201, _, Call::Submit(submit)) if submit.matches(&json) => AttemptOutcome::Complete,
            _ => AttemptOutcome::Wrong(format!("status {status}, outcome \"{outcome}\": {json}")),
        }
    }
}

fn check_text(text: Option<&str>, progress: &mut Progress) -> AttemptOutcome {
    let expected = progress.expected.concat();
    match text {
        Some(text) if text == expected => {
            progress.received = progress.expected.len();
            AttemptOutcome::Complete
        }
        other => AttemptOutcome::Wrong(format!("the text is {other:?} in place of {expected:?}")),
    }
}

/// Applies one event, and returns the outcome of the attempt if the event ends it.
fn apply_event(event: &Event, progress: &mut Progress) -> Option<AttemptOutcome> {
    if event.name == "error" {
        return Some(AttemptOutcome::Broken(format!(
            "error event: {}",
            event.data
        )));
    }
    if event.data == "[DONE]" {
        return Some(progress.check_complete());
    }
    let json: Value = match serde_json::from_str(&event.data) {
        Ok(json) => json,
        Err(cause) => {
            return Some(AttemptOutcome::Wrong(format!(
                "an event is not JSON: {cause}"
            )));
        }
    };
    let choice = &json["choices"][0];
    let token = choice["delta"]["content"].as_str();
    let token = token
        .or_else(|| choice["text"].as_str())
        .unwrap_or_default();
    if token.is_empty() {
        return None;
    }
    match (event.id, progress.record_token(token)) {
        (_, Err(reason)) => Some(AttemptOutcome::Wrong(reason)),
        (Some(id), Ok(())) if id != progress.last_event + 1 => Some(AttemptOutcome::Wrong(
            format!("event {id} came after event {}", progress.last_event),
        )),
        (Some(id), Ok(())) => {
            progress.last_event = id;
            None
        }
        (None, Ok(())) => None,
    }
}

async fn read_body(mut body: Incoming, silence_timeout: Duration) -> Result<Bytes, AttemptOutcome> {
    let mut bytes = Vec::new();
    loop {
        match timeout(silence_timeout, body.frame()).await {
            Ok(Some(Ok(frame))) => bytes.extend(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(cause))) => {
                return Err(AttemptOutcome::Broken(format!("body failed: {cause}")));
            }
            Ok(None) => return Ok(bytes.into()),
            Err(_) => return Err(AttemptOutcome::Broken("body timed out".to_owned())),
        }
    }
}

fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
