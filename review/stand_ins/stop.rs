//! A machine is stopped as planned while clients whose connections are open finish their requests.

#[path = "lib.rs"]
mod lib;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lib::{BROKEN, Deployment, HELD, Record, Server, Signal};

/// Time that a client takes to send the head of its request; the pages allow 3 s (`header_timeout_ms`).
const HEAD_TIME: Duration = Duration::from_millis(2_400);
/// Time from the stop until the first client connects. The last one connects before 2 s, while the
/// platform still sends connections to a machine that says that it is not ready.
const FIRST: Duration = Duration::from_millis(20);
/// Time between two clients.
const STEP: Duration = Duration::from_millis(65);
/// Clients.
const CLIENTS: u32 = 30;
/// Time that the server works on a request.
const WORK: Duration = Duration::from_millis(50);

/// Routes of the configuration.
const ROUTES: &str = r#"{"name":"r","host":"shop.example","path_prefix":"/book/","route_kind":"unsafe",
"timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"shop","max_attempts":1,
"public":false}"#;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".into());
    let record = Record::create(Path::new(&path));
    let mut deployment = Deployment::start(lib::small_deployment(), &record);
    let server = Server::start_with("i-shop", "shop", "127.0.0.1", WORK, &record);
    deployment.configure(ROUTES, &["shop"]);
    server.announce(deployment.controls());
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(6));

    let stopped = 5;
    let to = deployment.front(stopped);
    let results = Arc::new(Mutex::new(Vec::new()));
    let began = Instant::now();
    if lib::has_trouble() {
        deployment.signal_machine(stopped, Signal::Terminate);
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, results) = (record.clone(), results.clone());
            let connects = began + FIRST + STEP * number;
            thread::spawn(move || {
                let result = client(number, to, connects, &record);
                results.lock().unwrap().push((number, result));
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().unwrap();
    let runs = server.runs();
    let mut lost = Vec::new();
    for (number, status) in results.iter() {
        let id = request_id(*number);
        let ran = runs.iter().any(|run| run.request == id);
        if ran && *status == 0 {
            lost.push(id);
        }
    }
    let served = results.iter().filter(|(_, status)| *status == 200).count();
    println!("{served} of {CLIENTS} requests served, {} ran", runs.len());
    if runs.is_empty() {
        drop(deployment);
        lib::unable("no request ran");
    }
    if lost.is_empty() {
        println!("held: each request that ran was answered");
        return HELD;
    }
    println!("LOST broken: read whole, passed on, run, and not answered: {lost:?}");
    BROKEN
}

fn request_id(number: u32) -> String {
    format!("{number:08x}")
}

/// Connects at a time, sends half of a request's head at once and the rest after [`HEAD_TIME`], and
/// returns the status of the answer; 0 for none.
fn client(number: u32, to: SocketAddr, connects: Instant, record: &Record) -> u16 {
    thread::sleep(connects.saturating_duration_since(Instant::now()));
    let id = request_id(number);
    let request = format!(
        "POST /book/{number} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: 1500\r\nAuthorization: Bearer key-of-north\r\nContent-Length: 0\r\n\r\n"
    );
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        record.note(&format!("client {id}: no connection"));
        return 0;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    record.note(&format!(
        "client {id} is connected, and has sent half of its head"
    ));
    let (first, rest) = request.as_bytes().split_at(request.len() / 2);
    let _ = stream.write_all(first);
    thread::sleep(HEAD_TIME);
    if stream.write_all(rest).is_err() {
        record.note(&format!("client {id} can't send the rest"));
        return 0;
    }
    record.note(&format!("client {id} has sent its whole request"));
    let answer = lib::read_message(&mut stream);
    let status = answer.map_or(0, |answer| answer.status());
    match status {
        0 => record.note(&format!(
            "client {id}: its connection ends without an answer"
        )),
        _ => record.note(&format!("client {id} is answered {status}")),
    }
    status
}
