//! Callers whose requests stop short of their end hold all connections of an entry.

#[path = "lib.rs"]
mod lib;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use lib::{Deployment, Record, Service, Size, Upstream, Verdict};

/// As on the sheet of armor-sondes.
const SIZE: Size = Size {
    zones: 4,
    per_zone: 2,
    memory_mb: 260,
    contact_ms: 3_000,
};
/// Machine whose entry the crowd meets; one without a disk.
const MACHINE: usize = 4;
/// Processes of the crowd, and the connections of each. A machine has 4,100 descriptors.
const CROWD: usize = 3;
const CONNECTIONS: usize = 500;
/// Ordinary callers that try at the same time.
const CALLERS: usize = 8;
/// Time for which they try.
const TRYING: Duration = Duration::from_secs(9);
/// Pause between two tries of a caller.
const PAUSE: Duration = Duration::from_millis(150);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    match arguments.as_slice() {
        [_, word, address] if word == "--crowd" => stop_short(address),
        _ => lib::main(run),
    }
}

/// Opens connections, sends a part of a request over each, and keeps them open until the input ends.
fn stop_short(address: &str) {
    let mut open = Vec::new();
    if let Ok(address) = address.parse::<SocketAddr>() {
        for _ in 0..CONNECTIONS {
            let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1))
            else {
                continue;
            };
            let part = format!(
                "POST /unsafe/report HTTP/1.1\r\nHost: front.example\r\nAttempt-Id: {}\r\nDeadline-Ms: 15000\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n",
                lib::new_id()
            );
            if stream.write_all(part.as_bytes()).is_ok() {
                open.push(stream);
            }
        }
    }
    println!("{}", open.len());
    let _ = std::io::stdin().read_to_end(&mut Vec::new());
}

/// A process of the crowd, which ends when this is dropped.
struct Crowd(Child);

impl Crowd {
    fn start(address: SocketAddr) -> Result<Crowd, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let child = Command::new(program)
            .args(["--crowd", &address.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn();
        child.map(Crowd).map_err(|error| error.to_string())
    }

    /// Waits until all connections are open, and returns how many there are.
    fn open(&mut self) -> usize {
        let mut line = String::new();
        if let Some(output) = &mut self.0.stdout {
            let _ = std::io::BufRead::read_line(&mut std::io::BufReader::new(output), &mut line);
        }
        line.trim().parse().unwrap_or(0)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A try of an ordinary caller.
struct Try {
    at: Duration,
    outcome: String,
    is_answered: bool,
}

fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(SIZE, &[0, 1, 2])?;
    deployment.start()?;
    let controls = deployment.controls();
    let json = lib::configuration(7);
    lib::submit(record, &controls, &json, Duration::from_secs(30))
        .ok_or("no configuration is acknowledged")?;
    let upstreams: Result<Vec<_>, _> = (0..2)
        .map(|n| {
            Upstream::start(
                &format!("i-plain-{n}"),
                Service::Plain,
                "zone-1",
                Duration::from_millis(15),
            )
        })
        .collect();
    for upstream in upstreams.map_err(|error| error.to_string())? {
        upstream.announce(controls.clone());
    }
    let front = deployment.front(MACHINE);
    let served = || lib::call(front, "GET", "/safe/reading", Duration::from_millis(1_500));
    let is_served = lib::wait_until(Duration::from_secs(20), || {
        served().is_ok_and(|answer| answer.status == 200)
    });
    if !is_served {
        return Err("the entry serves nobody in calm".into());
    }
    // In touch: nothing has happened for `contact_ms`.
    thread::sleep(Duration::from_millis(SIZE.contact_ms + 500));
    let mut crowd = Vec::new();
    if trouble {
        for _ in 0..CROWD {
            crowd.push(Crowd::start(front)?);
        }
        let open: usize = crowd.iter_mut().map(Crowd::open).sum();
        record.line(format!(
            "crowd: {open} connections, each with a chunked body that stops short of its end"
        ));
        if open < CROWD * CONNECTIONS * 9 / 10 {
            return Err(format!("the machine allows only {open} connections"));
        }
    }
    let began = Instant::now();
    let tries: Mutex<Vec<Try>> = Mutex::default();
    let is_ready = AtomicBool::new(true);
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                while began.elapsed() < TRYING {
                    let at = began.elapsed();
                    let answer = served();
                    let is_answered = answer.is_ok();
                    let outcome =
                        answer.map_or_else(|error| error, |answer| answer.status.to_string());
                    lib::lock(&tries).push(Try {
                        at,
                        outcome,
                        is_answered,
                    });
                    thread::sleep(PAUSE);
                }
            });
        }
        scope.spawn(|| {
            while began.elapsed() < TRYING {
                let head = "GET /readiness HTTP/1.1\r\nHost: ready\r\n";
                let answer =
                    lib::request(deployment.ready(MACHINE), head, "", Duration::from_secs(1));
                let status = answer.map_or(0, |answer| answer.status);
                record.line(format!(
                    "platform: readiness of machine {MACHINE}: {status}"
                ));
                if status != 200 {
                    is_ready.store(false, Ordering::Relaxed);
                }
                thread::sleep(Duration::from_secs(1));
            }
        });
    });
    let other = lib::call(
        deployment.front(MACHINE + 1),
        "GET",
        "/safe/reading",
        Duration::from_millis(1_500),
    );
    record.line(format!(
        "callers: another machine answers: {:?}",
        other.map(|answer| answer.status)
    ));
    let tries = tries.into_inner().unwrap_or_default();
    let longest = longest_silence(&tries);
    let answered = tries.iter().filter(|tried| tried.is_answered).count();
    for second in 0..TRYING.as_secs() {
        let within: Vec<_> = tries
            .iter()
            .filter(|tried| tried.at.as_secs() == second)
            .collect();
        let mut outcomes: Vec<&str> = within.iter().map(|tried| tried.outcome.as_str()).collect();
        outcomes.sort_unstable();
        outcomes.dedup();
        record.line(format!(
            "callers: second {second}: {} new connections: {}",
            within.len(),
            outcomes.join(", ")
        ));
    }
    record.line(format!(
        "callers: {answered} of {} requests on new connections were answered; longest time without one: {longest:?}",
        tries.len()
    ));
    let ended = deployment.ended();
    if !ended.is_empty() {
        record.line(format!(
            "platform: processes ended by themselves: {ended:?}"
        ));
    }
    let contact = Duration::from_millis(SIZE.contact_ms);
    match is_ready.load(Ordering::Relaxed) && longest > contact {
        true => Ok(Verdict::Broken),
        false => Ok(Verdict::Held),
    }
}

/// Returns the longest time within which no try was answered, though all callers tried.
fn longest_silence(tries: &[Try]) -> Duration {
    let mut answered: Vec<Duration> = tries
        .iter()
        .filter(|tried| tried.is_answered)
        .map(|tried| tried.at)
        .collect();
    answered.push(Duration::ZERO);
    answered.push(TRYING);
    answered.sort_unstable();
    let gaps = answered.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or_default()
}
