//! A heartbeat of another writer, in which fields are missing, comes for a server of another service.

#[path = "lib.rs"]
mod lib;

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use lib::{BROKEN, CALL_TIMEOUT, Deployment, HELD, Record, Server, exchange, post, unix_ms};

/// Clients, which send requests at the same time, so that no server is always the idle one.
const CLIENTS: usize = 18;
/// Requests of a client after the heartbeat of the other writer.
const REQUESTS: usize = 30;
/// Time between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Routes of the configuration.
const ROUTES: &str = r#"{"name":"r","host":"shop.example","path_prefix":"/status/","route_kind":"safe",
"timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"shop","max_attempts":2,
"public":false},{"name":"b","host":"shop.example","path_prefix":"/plates/","route_kind":"safe",
"timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"plates","max_attempts":2,
"public":false}"#;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".into());
    let record = Record::create(Path::new(&path));
    let deployment = Deployment::start(lib::small_deployment(), &record);
    let work = Duration::from_millis(20);
    let shop = Server::start_with("i-shop", "shop", "127.0.0.1", work, &record);
    let plates = Server::start_with("i-plates", "plates", "127.0.0.1", work, &record);
    deployment.configure(ROUTES, &["shop", "plates"]);
    for server in [&shop, &plates] {
        server.announce(deployment.controls());
    }
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(4));

    if lib::has_trouble() {
        // Without `version`, `cold_remaining_ms`, `stage` and `models`.
        let body = format!(
            "{{\"service\":\"shop\",\"address\":\"{}\",\"zone\":\"z1\",\"slots\":6,\
             \"state\":\"ready\",\"sequence\":1,\"born\":{}}}",
            plates.address,
            unix_ms()
        );
        let to = deployment.control(1);
        let answer = post(to, "/Instances.Heartbeat/i-plates", &body, CALL_TIMEOUT);
        let status = answer.map_or(0, |answer| answer.status());
        record.note(&format!(
            "another writer sends {body} to {to}: answered {status}"
        ));
    }
    thread::sleep(Duration::from_millis(500));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let to = deployment.front(number % deployment.machines.len());
            let record = record.clone();
            thread::spawn(move || client(number, to, &record))
        })
        .collect();
    let answers = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap());
    let bodies: Vec<String> = answers.filter(|body| !body.is_empty()).collect();
    let foreign = bodies
        .iter()
        .filter(|body| body.starts_with("plates"))
        .count();
    let runs = plates.runs();
    let wrong = runs
        .iter()
        .filter(|run| run.path.starts_with("/status/"))
        .count();
    println!("{} of {} requests served", bodies.len(), CLIENTS * REQUESTS);
    if bodies.len() * 2 < CLIENTS * REQUESTS {
        drop(deployment);
        lib::unable("most requests were not served");
    }
    if wrong == 0 {
        println!("held: the server of plates ran no request of shop");
        return HELD;
    }
    println!(
        "ROUTE broken: the server of plates ran {wrong} requests of shop, {foreign} of its answers \
         reached clients"
    );
    BROKEN
}

/// Sends requests, and returns the bodies of the answers with success; an empty one for others.
fn client(number: usize, to: SocketAddr, record: &Record) -> Vec<String> {
    let mut bodies = Vec::new();
    for turn in 0..REQUESTS {
        let id = format!("{number:02x}{turn:06x}");
        let request = format!(
            "GET /status/{turn} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: 1500\r\nAuthorization: Bearer key-of-north\r\nConnection: close\r\n\r\n"
        );
        let answer = exchange(to, request.as_bytes(), Duration::from_millis(1_500));
        let answer = answer.unwrap_or_default();
        let status = answer.status();
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        record.note(&format!(
            "client at {to}: {id} is answered {status} \"{body}\""
        ));
        bodies.push(if status == 200 { body } else { String::new() });
        thread::sleep(REQUEST_INTERVAL);
    }
    bodies
}
