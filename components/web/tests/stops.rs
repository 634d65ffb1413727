//! Requests that arrive in the moment in which a server closes its connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use googletest::prelude::*;
use http::Response;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Requests of a test; each is cut off or answered by itself.
const REQUESTS: usize = 20;
/// Time from the end of a server until its process would end.
const EXIT_TIME: Duration = Duration::from_millis(100);
/// Longest wait for a byte of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a server takes over the connections that wait for it.
const ACCEPT_TIME: Duration = Duration::from_millis(50);

/// Starts a server that answers each request at once.
fn start() -> (web::Server, SocketAddr) {
    let listener = web::listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let answer = |_, _| async { Response::new(web::empty()) };
    let server = web::Server::start(listener, web::Settings::default(), answer);
    (server, address)
}

/// Connects without letting the server run.
fn connect(address: SocketAddr) -> Vec<TcpStream> {
    let connect = |_| {
        let stream = TcpStream::connect(address).expect("the server listens");
        let limited = stream.set_read_timeout(Some(READ_TIMEOUT));
        limited.expect("a timeout can be set");
        stream
    };
    (0..REQUESTS).map(connect).collect()
}

/// Sends a request on each connection without letting the server run.
fn send(streams: &mut [TcpStream]) {
    for stream in streams {
        let sent = stream.write_all(b"GET / HTTP/1.1\r\nhost: one.example\r\n\r\n");
        sent.expect("the connection is open");
    }
}

/// Returns the number of answers.
fn count_answers(streams: &mut [TcpStream]) -> usize {
    let mut buffer = [0; 1_024];
    let answers = streams.iter_mut().filter_map(|stream| {
        let count = stream.read(&mut buffer).ok()?;
        buffer[..count].starts_with(b"HTTP/1.1 200").then_some(())
    });
    answers.count()
}

// A connection that had not been accepted yet was reset, though its request had arrived.
#[tokio::test]
async fn answers_requests_whose_connections_wait_to_be_accepted_as_it_stops() {
    let (server, address) = start();
    let mut streams = connect(address);
    send(&mut streams);
    server.stop();
    sleep(EXIT_TIME).await;
    assert_that!(count_answers(&mut streams), eq(REQUESTS));
}

// A connection without a request so far was closed before its bytes were read.
#[tokio::test]
async fn answers_requests_that_arrive_on_new_connections_as_it_stops() {
    let (server, address) = start();
    server.retire();
    let mut streams = connect(address);
    sleep(ACCEPT_TIME).await;
    send(&mut streams);
    server.stop();
    sleep(EXIT_TIME).await;
    assert_that!(count_answers(&mut streams), eq(REQUESTS));
}

// A caller that had only connected was cut off in the middle of its request.
#[tokio::test]
async fn answers_requests_that_follow_their_connection_as_it_stops() {
    let (server, address) = start();
    server.retire();
    let mut streams = connect(address);
    server.stop();
    let accepted = async {
        while server.open_connections() < REQUESTS {
            yield_now().await;
        }
    };
    let all = timeout(ACCEPT_TIME, accepted).await;
    assert_that!(all.is_ok(), eq(true));
    send(&mut streams);
    sleep(EXIT_TIME).await;
    assert_that!(count_answers(&mut streams), eq(REQUESTS));
}

// A kept connection was closed as idle before its next request was read.
#[tokio::test]
async fn answers_requests_that_arrive_on_kept_connections_as_it_retires() {
    let (server, address) = start();
    let mut streams = connect(address);
    send(&mut streams);
    sleep(ACCEPT_TIME).await;
    assert_that!(count_answers(&mut streams), eq(REQUESTS));
    send(&mut streams);
    server.retire();
    sleep(EXIT_TIME).await;
    assert_that!(count_answers(&mut streams), eq(REQUESTS));
}

#[tokio::test]
async fn refuses_connections_once_it_has_stopped() {
    let (server, address) = start();
    server.stop();
    sleep(EXIT_TIME).await;
    assert_that!(TcpStream::connect(address).is_err(), eq(true));
    assert_that!(server.open_connections(), eq(0));
}
