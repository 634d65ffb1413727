//! The task that writes frames and heartbeats.

use std::sync::atomic::Ordering;
use std::time::Instant;

use futures_util::SinkExt;
use futures_util::stream::SplitSink;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tracing::warn;
use wire::{Envelope, Frame};

use crate::connection::Shared;
use crate::handshake::Socket;

/// Number of envelopes that the handshake sends in each direction.
const HANDSHAKE_ENVELOPES: u64 = 2;

pub(crate) async fn run(
    mut sink: SplitSink<Socket, Message>,
    mut frames: mpsc::Receiver<Frame>,
    shared: Shared,
) {
    let mut closed = shared.closed.subscribe();
    let mut number = HANDSHAKE_ENVELOPES;
    loop {
        let frame = tokio::select! {
            _ = closed.wait_for(|closed| *closed) => break,
            frame = timeout(shared.settings.heartbeat_interval, frames.recv()) => match frame {
                Ok(Some(frame)) => frame,
                Ok(None) => break,
                Err(_) => Frame::Heartbeat,
            },
        };
        number += 1;
        if !write(&mut sink, number, frame, &shared).await {
            break;
        }
    }
    shared.closed.send_replace(true);
}

async fn write(
    sink: &mut SplitSink<Socket, Message>,
    number: u64,
    frame: Frame,
    shared: &Shared,
) -> bool {
    let echo = shared.last_received.load(Ordering::Acquire);
    let bytes = match wire::encode(&Envelope(number, echo, frame)) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(
                "link: closed the connection to {}: failed to encode envelope {number}: {error}",
                shared.peer
            );
            return false;
        }
    };
    shared.traffic.count(bytes.len());
    shared.send_times().record(number, Instant::now());
    let written = timeout(
        shared.settings.write_timeout,
        sink.send(Message::binary(bytes)),
    );
    match written.await {
        Ok(Ok(())) => true,
        Ok(Err(error)) => {
            warn!("link: lost the connection to {}: {error}", shared.peer);
            false
        }
        Err(_) => {
            warn!(
                "link: closed the connection to {}: a write did not finish within {:?}",
                shared.peer, shared.settings.write_timeout
            );
            false
        }
    }
}
