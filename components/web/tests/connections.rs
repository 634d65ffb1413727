//! Connections beyond the limit of a server.

use std::net::SocketAddr;

use googletest::prelude::*;
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Duration, sleep, timeout};

/// Most open connections of the server.
const MAX_CONNECTIONS: usize = 4;
/// Time that a request to `/slow` takes.
const SLOW: Duration = Duration::from_millis(400);
/// Longest wait for an answer or an end.
const TIMEOUT: Duration = Duration::from_secs(20);

fn start() -> (web::Server, SocketAddr) {
    start_with(None)
}

fn start_with(head_timeout: Option<Duration>) -> (web::Server, SocketAddr) {
    let listener = web::listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let settings = web::Settings {
        head_timeout,
        idle_timeout: Duration::from_secs(3_600),
        max_connections: MAX_CONNECTIONS,
        ..web::Settings::default()
    };
    let answer = |request: Request<Incoming>, _| async move {
        if request.uri().path() == "/slow" {
            sleep(SLOW).await;
        }
        Response::new(web::full("ok"))
    };
    (web::Server::start(listener, settings, answer), address)
}

/// Opens a connection and sends a part of a request.
async fn send(address: SocketAddr, part: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let sent = stream.write_all(part.as_bytes()).await;
    sent.expect("the connection is open");
    stream
}

/// Reads what comes first; empty if the connection has ended.
async fn read(stream: &mut TcpStream) -> String {
    let mut buffer = [0; 1_024];
    let read = timeout(TIMEOUT, stream.read(&mut buffer)).await;
    let count = read.expect("something comes in time").unwrap_or(0);
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

// A crowd of half heads kept callers out until its connections timed out.
#[tokio::test]
async fn closes_the_connection_that_waits_longest_for_a_new_one() {
    let (server, address) = start();
    let mut waiting = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        waiting.push(send(address, "GET / HTTP/1.1\r\nhost: one").await);
        sleep(Duration::from_millis(20)).await;
    }
    let mut late = send(address, "GET / HTTP/1.1\r\nhost: one.example\r\n\r\n").await;
    assert_that!(read(&mut late).await, starts_with("HTTP/1.1 200"));
    assert_that!(read(&mut waiting[0]).await, eq(""));
    assert_that!(server.open_connections(), le(MAX_CONNECTIONS));
    let rest = waiting[1].write_all(b".example\r\n\r\n").await;
    rest.expect("the connection is open");
    assert_that!(read(&mut waiting[1]).await, starts_with("HTTP/1.1 200"));
}

// A request that is served must not be cut for a connection without one.
#[tokio::test]
async fn keeps_connections_that_serve_requests() {
    let (_server, address) = start();
    let slow = "GET /slow HTTP/1.1\r\nhost: one.example\r\n\r\n";
    let mut serving = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        serving.push(send(address, slow).await);
    }
    sleep(SLOW / 4).await;
    let mut late = send(address, slow).await;
    assert_that!(read(&mut late).await, eq(""));
    for stream in &mut serving {
        assert_that!(read(stream).await, starts_with("HTTP/1.1 200"));
    }
}

// The head's time in the operators' text was not used: a head without an end held its connection for the time of
// an idle one.
#[tokio::test]
async fn closes_a_connection_whose_head_is_late_and_no_other() {
    let (_limited, limited) = start_with(Some(SLOW / 2));
    let (_unlimited, unlimited) = start();
    let half = "GET / HTTP/1.1\r\nhost: one";
    let mut slow_heads = [send(limited, half).await, send(unlimited, half).await];
    let mut idle = send(limited, "").await;
    let mut served = send(limited, "GET /slow HTTP/1.1\r\nhost: one.example\r\n\r\n").await;
    assert_that!(read(&mut slow_heads[0]).await, eq(""));
    assert_that!(read(&mut served).await, starts_with("HTTP/1.1 200"));
    for (stream, rest) in [
        (&mut slow_heads[1], ".example\r\n\r\n"),
        (&mut idle, "GET / HTTP/1.1\r\nhost: one.example\r\n\r\n"),
        (&mut served, "GET / HTTP/1.1\r\nhost: one.example\r\n\r\n"),
    ] {
        let sent = stream.write_all(rest.as_bytes()).await;
        sent.expect("the connection is open");
        assert_that!(read(stream).await, starts_with("HTTP/1.1 200"));
    }
    // A later head on a connection that has served requests is bounded as well.
    let sent = served.write_all(half.as_bytes()).await;
    sent.expect("the connection is open");
    assert_that!(read(&mut served).await, eq(""));
}
