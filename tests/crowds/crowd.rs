//! Clients that send at the same time and never end.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time for which a client writes. It stays connected after that.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes of chunks that are written at a time.
const WRITE_BYTES: usize = 60_000;
/// Bytes of a head without end.
const HALF_HEAD_BYTES: usize = 12 * 1_024;

/// What each client sends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Form {
    /// A body with a length: `sent` of `announced` bytes, in pieces of `piece` bytes.
    Length {
        announced: usize,
        sent: usize,
        piece: usize,
    },
    /// A body of `sent` bytes in chunks of `chunk` bytes, without the last chunk.
    Chunks { sent: usize, chunk: usize },
    /// A head without its end.
    HalfHead,
}

/// Lets `clients` send at the same time, and returns their connections once each has sent all or can't send
/// more. Connections that the process closed stay half open until they are dropped.
pub(crate) async fn send(
    address: SocketAddr,
    head: String,
    clients: usize,
    form: Form,
) -> Vec<TcpStream> {
    let clients = (0..clients).map(|_| tokio::spawn(client(address, head.clone(), form)));
    let connections = join_all(clients).await;
    connections
        .into_iter()
        .filter_map(|connection| connection.expect("a client does not panic"))
        .collect()
}

async fn client(address: SocketAddr, head: String, form: Form) -> Option<TcpStream> {
    let mut stream = timeout(WRITE_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    // An error means that the process has closed the connection, as it may.
    let _ = timeout(WRITE_TIMEOUT, write(&mut stream, &head, form)).await;
    Some(stream)
}

async fn write(stream: &mut TcpStream, head: &str, form: Form) -> std::io::Result<()> {
    match form {
        Form::Length {
            announced,
            sent,
            piece,
        } => {
            let head = format!("{head}content-length: {announced}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            let pieces = vec![b'x'; piece.min(sent)];
            let mut left = sent;
            while left > 0 {
                let part = &pieces[..left.min(piece)];
                stream.write_all(part).await?;
                tokio::task::yield_now().await;
                left -= part.len();
            }
            Ok(())
        }
        Form::Chunks { sent, chunk } => {
            let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            let one = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
            let at_a_time = (WRITE_BYTES / one.len()).max(1);
            let part = one.repeat(at_a_time);
            let mut left = sent / chunk;
            while left > 0 {
                let count = left.min(at_a_time);
                stream
                    .write_all(&part.as_bytes()[..count * one.len()])
                    .await?;
                left -= count;
            }
            Ok(())
        }
        Form::HalfHead => {
            let head = format!("{head}filler: {}", "x".repeat(HALF_HEAD_BYTES));
            stream.write_all(head.as_bytes()).await
        }
    }
}

/// Sends a request with a whole body on a connection of its own, and returns the status of its answer.
pub(crate) async fn request(address: SocketAddr, head: &str, body: &[u8]) -> Option<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let head = format!(
            "{head}connection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(body).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        let answer = String::from_utf8_lossy(&answer);
        answer.split(' ').nth(1)?.parse().ok()
    };
    timeout(WRITE_TIMEOUT, exchange).await.ok()?
}
