//! Forwarding of bytes in one direction of a connection.

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::mode::{Action, Mode};

const BUFFER_BYTES: usize = 16 * 1_024;
/// Maximum delayed reads per direction; a full queue applies backpressure to the sender.
const MAX_DELAYED_READS: usize = 256;

/// Forwards bytes until one side closes.
pub(super) async fn run(
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    mode: watch::Receiver<Mode>,
    action: fn(Mode) -> Action,
) {
    let (sender, receiver) = mpsc::channel(MAX_DELAYED_READS);
    let _ = tokio::join!(read(from, sender, mode, action), write(to, receiver));
}

async fn read(
    mut from: ReadHalf<'_>,
    delayed: mpsc::Sender<(Instant, Bytes)>,
    mode: watch::Receiver<Mode>,
    action: fn(Mode) -> Action,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await.unwrap_or(0);
        let now = action(*mode.borrow());
        match (length, now) {
            // When bytes are discarded, so is the end of the stream.
            (0, Action::Discard) => return std::future::pending().await,
            (0, Action::Forward(_)) => return,
            (_, Action::Discard) => {}
            (_, Action::Forward(delay)) => {
                let bytes = Bytes::copy_from_slice(&buffer[..length]);
                if delayed.send((Instant::now() + delay, bytes)).await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn write(mut to: WriteHalf<'_>, mut delayed: mpsc::Receiver<(Instant, Bytes)>) {
    while let Some((due, bytes)) = delayed.recv().await {
        if due > Instant::now() {
            tokio::time::sleep_until(due).await;
        }
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
