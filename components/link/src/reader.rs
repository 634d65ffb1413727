//! The task that reads frames. It ends the connection when nothing arrives within the silence
//! timeout, and on frames that are late or malformed. Requests that this release does not know are
//! answered as such.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::SplitStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tracing::warn;
use wire::{Envelope, Failure, Frame, Unknown, UnknownKind};

use crate::Incoming;
use crate::connection::Shared;
use crate::handshake::Socket;

pub(crate) async fn run(
    mut stream: SplitStream<Socket>,
    incoming: mpsc::Sender<Incoming>,
    answers: mpsc::WeakSender<Frame>,
    shared: Shared,
) {
    let mut unknown = UnknownFrames::default();
    let mut closed = shared.closed.subscribe();
    loop {
        let message = tokio::select! {
            _ = closed.wait_for(|closed| *closed) => break,
            message = timeout(shared.settings.silence_timeout, stream.next()) => message,
        };
        let handled = match message {
            Ok(Some(Ok(Message::Binary(bytes)))) => match wire::decode(&bytes) {
                Ok(envelope) => handle(envelope, bytes.len(), &incoming, &shared).await,
                Err(error) => match Unknown::read(&bytes) {
                    Some(frame) => unknown.handle(frame, bytes.len(), &answers, &shared),
                    None => Err(error.to_string()),
                },
            },
            Ok(Some(Ok(Message::Ping(_) | Message::Pong(_)))) => Ok(()),
            Ok(Some(Ok(Message::Close(_))) | None) => Err("closed by the other end".to_owned()),
            Ok(Some(Ok(_))) => Err("message is not binary".to_owned()),
            Ok(Some(Err(error))) => Err(error.to_string()),
            Err(_) => Err(format!(
                "nothing received for {} ms",
                shared.settings.silence_timeout.as_millis()
            )),
        };
        if let Err(reason) = handled {
            warn!("link: lost the connection to {}: {reason}", shared.peer);
            break;
        }
    }
    shared.closed.send_replace(true);
    shared.calls.clear();
}

/// Frames that this release does not know.
#[derive(Debug, Default)]
struct UnknownFrames {
    count: u64,
}

impl UnknownFrames {
    fn handle(
        &mut self,
        frame: Unknown,
        bytes: usize,
        answers: &mpsc::WeakSender<Frame>,
        shared: &Shared,
    ) -> Result<(), String> {
        shared.traffic.count(bytes);
        check_age(frame.echo, shared)?;
        check_number(frame.number, shared)?;
        if self.count == 0 {
            warn!(
                "link: {} sends what this release does not know: {:?}",
                shared.peer, frame.kind
            );
        }
        self.count += 1;
        match (frame.kind, answers.upgrade()) {
            (UnknownKind::Call(id), Some(answers)) => {
                let failure = Failure::Refused("this release does not know the request".into());
                answers
                    .try_send(Frame::Answer(id, Err(failure)))
                    .map_err(|_| "the queue of answers is full".to_owned())
            }
            (UnknownKind::Answer(id), _) => {
                let failure = Failure::Uncertain("this release does not know the answer".into());
                shared.calls.finish(id, Err(failure));
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

async fn handle(
    envelope: Envelope,
    bytes: usize,
    incoming: &mpsc::Sender<Incoming>,
    shared: &Shared,
) -> Result<(), String> {
    shared.traffic.count(bytes);
    let age = check_age(envelope.1, shared)?;
    check_number(envelope.0, shared)?;
    let message = match envelope.2 {
        Frame::Heartbeat => return Ok(()),
        Frame::Answer(id, reply) => {
            shared.calls.finish(id, reply);
            return Ok(());
        }
        Frame::Call(id, request) => Incoming::Call(id, request, age),
        Frame::Push(push) => Incoming::Push(push, age),
        Frame::Hello(_) | Frame::Proof(_) => return Err("unexpected handshake frame".to_owned()),
    };
    incoming
        .send(message)
        .await
        .map_err(|_| "this end no longer reads messages".to_owned())
}

/// Records the number of a received envelope.
///
/// # Errors
/// If it does not follow that of the envelope before.
fn check_number(number: u64, shared: &Shared) -> Result<(), String> {
    let last = shared.last_received.load(Ordering::Acquire);
    if number != last + 1 {
        return Err(format!("received envelope {number} after envelope {last}"));
    }
    shared.last_received.store(number, Ordering::Release);
    Ok(())
}

/// Returns the greatest age that a frame with this echo can have.
///
/// # Errors
/// If the frame may be older than the limit, or the echo is invalid.
fn check_age(echo: u64, shared: &Shared) -> Result<Duration, String> {
    let limit = shared.settings.max_age;
    match shared.send_times().max_age(echo, Instant::now()) {
        None => Err(format!("received an invalid echo of envelope {echo}")),
        Some(age) if age > limit => Err(format!(
            "frame may be {} ms old, the limit is {limit:?}",
            age.as_millis()
        )),
        Some(age) => Ok(age),
    }
}
