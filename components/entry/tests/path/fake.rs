//! A scripted upstream that is both a model engine and a plain service, with one thread per
//! connection.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::behaviour::Behaviour;
use crate::framing;
use crate::reader;

/// Path of the changes of an engine's cache.
const CACHE_EVENTS: &str = "/v1/cache/events";
/// Tokens of an answer if the call sets no bound.
const DEFAULT_TOKENS: usize = 8;

/// A request that the fake received.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) line: String,
    pub(crate) headers: reader::Headers,
    pub(crate) body: Vec<u8>,
}

impl Request {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

#[derive(Default)]
struct State {
    script: Mutex<VecDeque<Behaviour>>,
    requests: Mutex<Vec<Request>>,
    executions: AtomicUsize,
    exported: Mutex<Vec<String>>,
    allows_exports: AtomicBool,
    open: AtomicUsize,
    pace: Mutex<Duration>,
}

/// A running fake upstream.
#[derive(Clone)]
pub(crate) struct Fake {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    state: Arc<State>,
}

impl Fake {
    pub(crate) fn start(name: &str) -> Fake {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let state = Arc::new(State::default());
        let served = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = served.clone();
                thread::spawn(move || serve(&state, stream));
            }
        });
        let name = name.to_owned();
        Fake {
            name,
            address,
            state,
        }
    }

    /// Appends the behaviours of the next calls. Later calls are answered completely.
    pub(crate) fn script(&self, behaviours: impl IntoIterator<Item = Behaviour>) {
        self.state.script.lock().unwrap().extend(behaviours);
    }

    /// Sets the pause before each token of complete answers.
    pub(crate) fn set_pace(&self, pause: Duration) {
        *self.state.pace.lock().unwrap() = pause;
    }

    /// Lets the engine export and import state.
    pub(crate) fn allow_exports(&self) {
        self.state.allows_exports.store(true, Ordering::SeqCst);
    }

    /// Returns how many plain calls ran.
    pub(crate) fn executions(&self) -> usize {
        self.state.executions.load(Ordering::SeqCst)
    }

    /// Returns how many calls of callers are being answered.
    pub(crate) fn open(&self) -> usize {
        self.state.open.load(Ordering::SeqCst)
    }

    /// Returns the calls received at a path that starts with `path`.
    pub(crate) fn calls(&self, path: &str) -> Vec<Request> {
        let requests = self.state.requests.lock().unwrap();
        let matches = |r: &&Request| r.line.split(' ').nth(1).unwrap_or("").starts_with(path);
        requests.iter().filter(matches).cloned().collect()
    }
}

/// Returns the text of the token at `index`, which depends on the prompt.
pub(crate) fn token(seed: &str, index: usize) -> String {
    format!(" {seed}{index}")
}

fn serve(state: &State, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut stream = stream;
    while let Some((line, headers)) = reader::head(&mut reader) {
        let (body, complete) = reader::body(&mut reader, &headers);
        if !complete {
            return;
        }
        let request = Request {
            line: line.clone(),
            headers,
            body,
        };
        let path = line.split(' ').nth(1).unwrap_or("").to_owned();
        state.requests.lock().unwrap().push(request.clone());
        // The entry asks for cache events all the time, whatever callers do.
        let counted = usize::from(!path.starts_with(CACHE_EVENTS));
        state.open.fetch_add(counted, Ordering::SeqCst);
        let keep_open = answer(state, &path, &request, &mut stream);
        state.open.fetch_sub(counted, Ordering::SeqCst);
        if keep_open.is_none() {
            return;
        }
    }
}

/// Answers one request. Returns `None` if the connection must be closed.
fn answer(state: &State, path: &str, request: &Request, stream: &mut TcpStream) -> Option<()> {
    match path {
        "/v1/chat/completions" | "/v1/completions" => complete(state, path, request, stream),
        "/v1/kept" if request.line.starts_with("HEAD") => {
            let head = "HTTP/1.1 200 X\r\ncontent-length: 3\r\n\r\n";
            stream.write_all(head.as_bytes()).ok()
        }
        "/v1/kept" => kept(state, stream),
        "/v1/kv/export" if state.allows_exports.load(Ordering::SeqCst) => {
            let request_id = request.json()["request_id"].as_str()?.to_owned();
            state.exported.lock().unwrap().push(request_id.clone());
            thread::sleep(Duration::from_millis(20));
            reply(
                stream,
                200,
                &format!("{{\"handle\":\"kv-{request_id}\",\"tokens\":1,\"bytes\":1}}"),
            )
        }
        "/v1/kv/import" if state.allows_exports.load(Ordering::SeqCst) => {
            reply(stream, 200, "{\"handle\":\"imported\"}")
        }
        _ if path.starts_with(CACHE_EVENTS) => reply(stream, 200, "{\"events\":[],\"last\":0}"),
        _ if path.starts_with("/v1/requests") => reply(stream, 200, "{}"),
        _ if path.starts_with("/v1/") => reply(stream, 404, "{}"),
        _ => plain(state, request, stream),
    }
}

/// Answers as an entry that keeps a stream.
fn kept(state: &State, stream: &mut TcpStream) -> Option<()> {
    match next_behaviour(state) {
        Behaviour::Framed(framing, end) => framing::kept(stream, framing, end),
        _ => None,
    }
}

fn reply(stream: &mut TcpStream, status: u16, body: &str) -> Option<()> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all((head + body).as_bytes()).ok()
}

fn next_behaviour(state: &State) -> Behaviour {
    let pace = *state.pace.lock().unwrap();
    let next = state.script.lock().unwrap().pop_front();
    next.unwrap_or(Behaviour::Complete(pace))
}

fn plain(state: &State, request: &Request, stream: &mut TcpStream) -> Option<()> {
    let behaviour = next_behaviour(state);
    if let Behaviour::Reject = behaviour {
        let head = "HTTP/1.1 503 X\r\nchervilloft-not-run: true\r\ncontent-length: 0\r\n\r\n";
        return stream.write_all(head.as_bytes()).ok();
    }
    let count = state.executions.fetch_add(1, Ordering::SeqCst) + 1;
    let body = format!("{} #{count}", request.line);
    match behaviour {
        Behaviour::StaleReject => {
            let head = "HTTP/1.1 503 X\r\nchervilloft-not-run: true\r\n\
                        chervilloft-request-id: earlier\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(head.as_bytes()).ok()
        }
        Behaviour::Status(status) => reply(stream, status, &body),
        Behaviour::HalfBody => {
            let head = "HTTP/1.1 200 X\r\ncontent-length: 1000\r\n\r\nhalf";
            stream.write_all(head.as_bytes()).ok()?;
            None
        }
        Behaviour::Large(bytes) => reply(stream, 200, &"x".repeat(bytes)),
        Behaviour::Unbounded => {
            stream.write_all(b"HTTP/1.1 200 X\r\n\r\nhalf").ok()?;
            None
        }
        Behaviour::Framed(framing, end) => framing::plain(stream, framing, end),
        Behaviour::NoAnswer => None,
        Behaviour::SilentAfter(_) => {
            thread::sleep(Duration::from_secs(20));
            None
        }
        Behaviour::Complete(pause) => {
            thread::sleep(pause);
            reply(stream, 200, &body)
        }
        _ => reply(stream, 200, &body),
    }
}

fn complete(state: &State, path: &str, request: &Request, stream: &mut TcpStream) -> Option<()> {
    let behaviour = next_behaviour(state);
    match behaviour {
        Behaviour::Reject => return reply(stream, 503, "{\"error\":{\"code\":\"overloaded\"}}"),
        Behaviour::Status(status) => return reply(stream, status, "{\"error\":{\"code\":\"x\"}}"),
        Behaviour::NoAnswer => return None,
        Behaviour::NoAnswerAfter(pause) => {
            thread::sleep(pause);
            return None;
        }
        Behaviour::Framed(framing, end) => {
            let tokens = remaining_tokens(&request.json());
            return framing::model(stream, framing, end, &tokens);
        }
        _ => {}
    }
    stream
        .write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        )
        .ok()?;
    let call = request.json();
    let chat = path.contains("chat");
    let seed = seed(&call);
    let total = call["max_tokens"]
        .as_u64()
        .map_or(DEFAULT_TOKENS, |n| n as usize);
    let resumed = call["resume_tokens"].as_array().map_or(0, Vec::len);
    let request_id = call["request_id"].as_str().unwrap_or("").to_owned();
    let pace = match behaviour {
        Behaviour::Complete(pause) => pause,
        _ => *state.pace.lock().unwrap(),
    };
    for index in resumed..total {
        thread::sleep(pace);
        if state.exported.lock().unwrap().contains(&request_id) {
            return None;
        }
        let mut sent_index = index;
        match &behaviour {
            Behaviour::CloseAfter(count) if index - resumed >= *count => return None,
            Behaviour::SilentAfter(count) if index - resumed >= *count => {
                thread::sleep(Duration::from_secs(20));
                return None;
            }
            Behaviour::GapAfter(count) if index - resumed >= *count => sent_index = index + 1,
            Behaviour::RepeatAfter(count) if index - resumed >= *count => sent_index = index - 1,
            _ => {}
        }
        let text = token(&seed, sent_index);
        let choice = match chat {
            true => json!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
            false => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        event(
            stream,
            &json!({"id": request_id, "choices": [choice], "token_index": sent_index}),
        )?;
    }
    let handle = call["kv_handle"].is_string();
    let computed = if handle { 0 } else { 10 + resumed };
    let choice = match chat {
        true => json!({"index": 0, "delta": {}, "finish_reason": "stop"}),
        false => json!({"index": 0, "text": "", "finish_reason": "stop"}),
    };
    let usage = json!({"prompt_tokens": 10, "completion_tokens": total.max(resumed),
        "cached_tokens": 0, "computed_tokens": computed});
    event(
        stream,
        &json!({"id": request_id, "choices": [choice], "usage": usage}),
    )?;
    if !matches!(behaviour, Behaviour::NoDone) {
        chunk(stream, "data: [DONE]\n\n")?;
    }
    stream.write_all(b"0\r\n\r\n").ok()
}

/// Returns the tokens of an answer that the call does not contain yet, with their indices.
fn remaining_tokens(call: &Value) -> Vec<(usize, String)> {
    let seed = seed(call);
    let total = call["max_tokens"]
        .as_u64()
        .map_or(DEFAULT_TOKENS, |n| n as usize);
    let resumed = call["resume_tokens"].as_array().map_or(0, Vec::len);
    (resumed..total)
        .map(|index| (index, token(&seed, index)))
        .collect()
}

/// Returns the seed of the answer's tokens, which distinguishes the answers to different prompts.
fn seed(call: &Value) -> String {
    let prompt = match &call["prompt"] {
        Value::String(prompt) => prompt.clone(),
        _ => call["messages"][0]["content"]
            .as_str()
            .unwrap_or("")
            .to_owned(),
    };
    prompt.chars().take(8).collect()
}

fn event(stream: &mut TcpStream, event: &Value) -> Option<()> {
    chunk(stream, &format!("data: {event}\n\n"))
}

fn chunk(stream: &mut TcpStream, text: &str) -> Option<()> {
    let framed = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(framed.as_bytes()).ok()
}
