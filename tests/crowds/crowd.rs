//! Clients that send at the same time and never end.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Longest time for which a client writes. It stays connected after that.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes of chunks that are written at a time.
const WRITE_BYTES: usize = 60_000;
/// Bytes of a head without end.
const HALF_HEAD_BYTES: usize = 12 * 1_024;
/// Receive buffer of a client's socket, in bytes: the kernel holds little of an answer that is not read.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Bytes of an answer that a slow client reads at a time.
const READ_BYTES: usize = 1_024;
/// Pause of a slow client after each read.
const READ_PAUSE: Duration = Duration::from_millis(50);

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
    /// A whole request without a body, of whose answer the client reads a little `reads` times.
    Unread { reads: usize },
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
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.ok()?;
    if let Form::Unread { .. } = form {
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    }
    let mut stream = timeout(WRITE_TIMEOUT, socket.connect(address))
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
        Form::Unread { reads } => {
            stream.write_all(format!("{head}\r\n").as_bytes()).await?;
            let mut part = [0; READ_BYTES];
            for _ in 0..reads {
                stream.read_exact(&mut part).await?;
                sleep(READ_PAUSE).await;
            }
            Ok(())
        }
    }
}

/// Sends a request without a body on a connection of its own, and returns the size of the body of its answer
/// if it is complete and a success.
pub(crate) async fn read_answer(address: SocketAddr, head: &str) -> Option<usize> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let head = format!("{head}connection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        let end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&answer[..end]).to_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))?;
        let received = answer.len() - end - 4;
        (head.starts_with("http/1.1 200") && length.parse() == Ok(received)).then_some(received)
    };
    timeout(WRITE_TIMEOUT, exchange).await.ok()?
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
