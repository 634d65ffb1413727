//! Answers of a fake upstream that are framed and end in a given way.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use socket2::SockRef;

/// Complete body of a plain answer.
pub(crate) const BODY: &str = "a complete body";
/// What is sent of a plain body that breaks off.
const PARTIAL_BODY: &str = "a comp";
/// Tokens before a stream breaks off.
const TOKENS_BEFORE_END: usize = 2;
/// Time before a reset, in which the entry reads what was sent.
const RESET_DELAY: Duration = Duration::from_millis(50);
/// Time for which a silent upstream keeps its connection open.
const SILENCE: Duration = Duration::from_secs(30);
/// Time between two bytes that arrive slowly.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(50);
/// Size of the pieces of a body without end, in bytes.
const PIECE_BYTES: usize = 64 * 1_024;

/// Size of a large head, in bytes: more than an entry keeps.
const LARGE_HEAD_BYTES: usize = 128 * 1_024;

/// How the end of an answer is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// By its length.
    Length,
    /// By an empty chunk.
    Chunks,
    /// By the end of the connection.
    Connection,
    /// By the end of the connection, after a transfer coding that is not `chunked`.
    Coding,
}

/// How far an answer comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// To its end.
    Whole,
    /// To its end, and other bytes follow.
    MoreBytes,
    /// Into its body, or into an event.
    Within(Close),
    /// To the end of an event.
    Between(Close),
    /// Bytes come without end.
    Endless,
    /// Single bytes come without end.
    Slow,
    /// The head has no end.
    EndlessHead,
    /// The head is large, and the answer complete.
    LargeHead,
}

/// What becomes of the connection when the upstream stops sending.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Close {
    /// It is closed.
    Fin,
    /// It is reset.
    Reset,
    /// It stays open.
    Silence,
}

/// Answers a plain call. Always closes the connection.
pub(crate) fn plain(stream: &mut TcpStream, framing: Framing, end: End) -> Option<()> {
    let sent = match end {
        End::Whole | End::MoreBytes | End::LargeHead => BODY,
        End::Within(_) | End::Between(_) => PARTIAL_BODY,
        End::Endless | End::Slow | End::EndlessHead => "",
    };
    send(stream, framing, end, sent, BODY.len())
}

/// Answers a call of a model with `tokens` as the remaining tokens and their indices.
pub(crate) fn model(
    stream: &mut TcpStream,
    framing: Framing,
    end: End,
    tokens: &[(usize, String)],
) -> Option<()> {
    let token = |(index, text): &(usize, String)| {
        let choice = json!({"index": 0, "text": text, "finish_reason": null});
        event(&json!({"choices": [choice], "token_index": index}))
    };
    let first: String = tokens.iter().take(TOKENS_BEFORE_END).map(token).collect();
    let total = tokens.last().map_or(0, |(index, _)| index + 1);
    let usage = json!({"prompt_tokens": 10, "completion_tokens": total});
    let choice = json!({"index": 0, "text": "", "finish_reason": "stop"});
    let last = event(&json!({"choices": [choice], "usage": usage}));
    let all: String = tokens.iter().map(token).collect();
    let all = format!("{all}{last}data: [DONE]\n\n");
    let sent = match end {
        End::Whole | End::MoreBytes | End::LargeHead => all.clone(),
        End::Within(_) => format!("{first}data: {{\"cho"),
        End::Between(_) => first,
        End::Endless | End::Slow => "data: ".to_owned(),
        End::EndlessHead => String::new(),
    };
    send(stream, framing, end, &sent, all.len())
}

/// Answers as an entry that keeps a stream, after its second event.
pub(crate) fn kept(stream: &mut TcpStream, framing: Framing, end: End) -> Option<()> {
    let event = "id: 3\ndata: {}\n\n";
    let all = format!("{event}data: [DONE]\n\n");
    let sent = match end {
        End::Whole | End::MoreBytes => all.as_str(),
        End::Within(_) => &event[..8],
        _ => event,
    };
    write(
        stream,
        "HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\n",
    )?;
    send_body(stream, framing, end, sent, all.len())
}

fn event(event: &Value) -> String {
    format!("data: {event}\n\n")
}

fn send(
    stream: &mut TcpStream,
    framing: Framing,
    end: End,
    sent: &str,
    length: usize,
) -> Option<()> {
    write(stream, "HTTP/1.1 200 X\r\n")?;
    if end == End::LargeHead {
        let field = "x".repeat(LARGE_HEAD_BYTES);
        write(stream, &format!("x-more: {field}\r\n"))?;
    }
    if end == End::EndlessHead {
        write(stream, "x-more: ")?;
        return send_pieces(stream, PIECE_BYTES, Duration::ZERO);
    }
    send_body(stream, framing, end, sent, length)
}

/// Sends the rest of the head, which marks the end of the body, and the body.
fn send_body(
    stream: &mut TcpStream,
    framing: Framing,
    end: End,
    sent: &str,
    length: usize,
) -> Option<()> {
    let is_endless = matches!(end, End::Endless | End::Slow);
    let head = match framing {
        Framing::Length if is_endless => "content-length: 1000000000000\r\n\r\n".to_owned(),
        Framing::Length => format!("content-length: {length}\r\n\r\n"),
        Framing::Chunks if is_endless => {
            format!("transfer-encoding: chunked\r\n\r\n{:x}\r\n", u32::MAX)
        }
        Framing::Chunks => format!("transfer-encoding: chunked\r\n\r\n{:x}\r\n", sent.len()),
        Framing::Connection => "\r\n".to_owned(),
        Framing::Coding => "transfer-encoding: gzip\r\n\r\n".to_owned(),
    };
    write(stream, &format!("{head}{sent}"))?;
    if framing == Framing::Chunks && matches!(end, End::Whole | End::MoreBytes) {
        write(stream, "\r\n0\r\n\r\n")?;
    }
    match end {
        End::MoreBytes => write(stream, "HTTP/1.1 200 X\r\ncontent-length: 5\r\n\r\nextra")?,
        End::Endless => send_pieces(stream, PIECE_BYTES, Duration::ZERO)?,
        End::Slow => send_pieces(stream, 1, TRICKLE_INTERVAL)?,
        End::Within(Close::Reset) | End::Between(Close::Reset) => {
            thread::sleep(RESET_DELAY);
            let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
        End::Within(Close::Silence) | End::Between(Close::Silence) => thread::sleep(SILENCE),
        _ => {}
    }
    None
}

fn write(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(text.as_bytes()).ok()
}

fn send_pieces(stream: &mut TcpStream, bytes: usize, pause: Duration) -> Option<()> {
    let piece = "x".repeat(bytes);
    loop {
        write(stream, &piece)?;
        thread::sleep(pause);
    }
}
