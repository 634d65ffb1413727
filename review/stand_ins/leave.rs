//! A server deregisters, and the machine that acknowledged it loses power right after it.

#[path = "lib.rs"]
mod lib;

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lib::{BROKEN, Deployment, HELD, Record, Server, Signal, exchange};

/// Time that the platform's pages give after the acknowledgement (`drain_ms`).
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which the server goes on serving after the acknowledgement.
const SERVES_ON: Duration = Duration::from_millis(5_500);
/// Time between two requests of one client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(20);
/// Clients at each entry, so that some requests meet others at their server.
const CLIENTS: usize = 3;
/// Time after which the machine is back.
const DOWN: Duration = Duration::from_millis(3_000);

/// Routes of the configuration.
const ROUTES: &str = r#"{"name":"r","host":"shop.example","path_prefix":"/status/","route_kind":"safe",
"timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"shop","max_attempts":2,
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
    let acknowledging = 3;
    let ip = "127.0.0.1";
    let leaving = Server::start_with("i-leaving", "shop", ip, WORK, &record);
    let staying = Server::start_with("i-staying", "shop", ip, WORK, &record);
    deployment.configure(ROUTES, &["shop"]);
    for server in [&leaving, &staying] {
        server.announce(deployment.controls());
    }
    deployment.wait_ready();
    // All machines are in touch: nothing has started or stopped for `contact_ms` (3 s) and more.
    thread::sleep(Duration::from_secs(6));

    let answers = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicU64::new(0));
    let machines = [0, 1, 2, 4, 5];
    let clients: Vec<_> = (0..machines.len() * CLIENTS)
        .map(|number| {
            let to = deployment.front(machines[number % machines.len()]);
            let (record, answers, stop) = (record.clone(), answers.clone(), stop.clone());
            thread::spawn(move || client(number, to, &record, &answers, &stop))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));

    let control = deployment.control(acknowledging);
    if !leaving.deregister(control) {
        lib::unable("the deregistration was not acknowledged");
    }
    let acknowledged = Instant::now();
    if lib::has_trouble() {
        deployment.signal_machine(acknowledging, Signal::Kill);
    }
    record.note(&format!("{control} acknowledged that i-leaving is gone"));
    thread::sleep(DOWN);
    if lib::has_trouble() {
        deployment.start_machine(acknowledging, false);
    }
    thread::sleep(SERVES_ON.saturating_sub(acknowledged.elapsed()));
    leaving.end();
    record.note("i-leaving ends");
    thread::sleep(Duration::from_millis(500));
    stop.store(1, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let late: Vec<_> = leaving
        .runs()
        .into_iter()
        .filter(|run| run.at > acknowledged + DRAIN)
        .collect();
    let answers = answers.lock().unwrap();
    let served = answers.iter().filter(|status| **status == 200).count();
    println!("{served} of {} requests served", answers.len());
    let is_early = |run: &lib::Run| run.at < acknowledged;
    if served * 2 < answers.len() || !leaving.runs().iter().any(is_early) {
        drop(deployment);
        lib::unable("most requests were not served, or none by i-leaving");
    }
    let Some(last) = late.last() else {
        println!("held: i-leaving got no request later than 2 s after the acknowledgement");
        return HELD;
    };
    println!(
        "DRAIN broken: {} requests reached i-leaving later than 2 s after the acknowledgement, \
         the last one {:.1} s after it",
        late.len(),
        (last.at - acknowledged).as_secs_f64()
    );
    BROKEN
}

/// Sends requests on new connections until `stop` is set.
fn client(
    client: usize,
    to: std::net::SocketAddr,
    record: &Record,
    answers: &Mutex<Vec<u16>>,
    stop: &AtomicU64,
) {
    for number in 0.. {
        if stop.load(Ordering::SeqCst) != 0 {
            return;
        }
        let id = format!("{client:02x}{number:06x}");
        let request = format!(
            "GET /status/{number} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: 1500\r\nAuthorization: Bearer key-of-north\r\nConnection: close\r\n\r\n"
        );
        let answer = exchange(to, request.as_bytes(), Duration::from_millis(1_500));
        let status = answer.map_or(0, |answer| answer.status());
        record.note(&format!("client at {to}: {id} is answered {status}"));
        answers.lock().unwrap().push(status);
        thread::sleep(REQUEST_INTERVAL);
    }
}
