//! Model servers crash while prompts with a new shared part are on their way.

#[path = "lib.rs"]
mod lib;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
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
/// Model servers of that sheet.
const UPSTREAMS: usize = 9;
/// Servers that crash at each of these times: a quarter of them.
const CRASHES: [Duration; 2] = [Duration::from_millis(800), Duration::from_millis(1_300)];
const AT_ONCE: usize = 2;
/// Time for which a crashed server is down.
const DOWN: Duration = Duration::from_secs(3);
/// Requests a second, as on the sheet, and for how long they come.
const RATE: f64 = 25.0;
const TRAFFIC: Duration = Duration::from_secs(12);

fn main() {
    lib::main(run)
}

/// A request and its answer.
struct Try {
    at: Duration,
    outcome: String,
}

fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(SIZE, &[0, 1, 2])?;
    deployment.start()?;
    let controls = deployment.controls();
    let json = lib::configuration(7);
    lib::submit(record, &controls, &json, Duration::from_secs(30))
        .ok_or("no configuration is acknowledged")?;
    let start = |number: usize| {
        let zone = format!("zone-{}", 1 + number % SIZE.zones);
        let upstream = Upstream::start(
            &format!("i-model-{number}"),
            Service::Model,
            &zone,
            Duration::ZERO,
        );
        upstream.map(|upstream| {
            upstream.announce(controls.clone());
            upstream
        })
    };
    let upstreams: Result<Vec<_>, _> = (0..UPSTREAMS).map(start).collect();
    let mut upstreams: Vec<Arc<Upstream>> = upstreams.map_err(|error| error.to_string())?;
    let started = Instant::now();
    // Traffic starts ten seconds after the machines do.
    thread::sleep(Duration::from_secs(10).saturating_sub(started.elapsed()));
    let began = Instant::now();
    let tries: Mutex<Vec<Try>> = Mutex::default();
    let fronts: Vec<_> = (0..deployment.machines.len())
        .map(|machine| deployment.front(machine))
        .collect();
    let mut number = 0_usize;
    thread::scope(|scope| {
        let mut crashes = CRASHES.iter().peekable();
        let mut down: Vec<(Instant, usize)> = Vec::new();
        while began.elapsed() < TRAFFIC {
            let front = fronts[number % fronts.len()];
            let (tries, prompt) = (&tries, number);
            scope.spawn(move || {
                let at = began.elapsed();
                let outcome = send_prompt(front, prompt);
                lib::lock(tries).push(Try { at, outcome });
            });
            number += 1;
            if trouble && crashes.next_if(|at| began.elapsed() >= **at).is_some() {
                let running: Vec<usize> = (0..UPSTREAMS)
                    .filter(|place| down.iter().all(|(_, other)| other != place))
                    .collect();
                for place in busiest(&upstreams, running) {
                    upstreams[place].crash();
                    record.line(format!("servers: {} crashes", upstreams[place].id));
                    down.push((Instant::now() + DOWN, place));
                }
            }
            for (_, place) in down.extract_if(.., |(until, _)| *until <= Instant::now()) {
                // A new incarnation, at another address and with another name.
                match start(UPSTREAMS + place) {
                    Ok(upstream) => upstreams[place] = upstream,
                    Err(error) => record.line(format!("servers: not started again: {error}")),
                }
            }
            thread::sleep(Duration::from_secs_f64(1.0 / RATE));
        }
    });
    let tries = tries.into_inner().unwrap_or_default();
    let mut outcomes: BTreeMap<&str, usize> = BTreeMap::new();
    for tried in &tries {
        *outcomes.entry(&tried.outcome).or_default() += 1;
    }
    let denied: Vec<f64> = tries
        .iter()
        .filter(|tried| tried.outcome == "400")
        .map(|tried| tried.at.as_secs_f64())
        .collect();
    record.line(format!(
        "callers: {} proper requests: {outcomes:?}",
        tries.len()
    ));
    if let (Some(first), Some(last)) = (
        denied.iter().copied().reduce(f64::min),
        denied.iter().copied().reduce(f64::max),
    ) {
        record.line(format!(
            "callers: refused with 400 from second {first:.1} to {last:.1} of the traffic"
        ));
    }
    let allowed = 5 + tries.len() / 500;
    record.line(format!(
        "callers: {} were refused with 400, {allowed} may be",
        denied.len()
    ));
    match denied.len() > allowed {
        true => Ok(Verdict::Broken),
        false => Ok(Verdict::Held),
    }
}

/// Returns the running upstreams to which most requests went.
fn busiest(upstreams: &[Arc<Upstream>], mut running: Vec<usize>) -> Vec<usize> {
    running.sort_by_key(|place| std::cmp::Reverse(lib::lock(&upstreams[*place].runs).len()));
    running.truncate(AT_ONCE);
    running
}

/// Sends a prompt with the part that all have, and one of its own; returns the status or what went wrong.
fn send_prompt(front: std::net::SocketAddr, number: usize) -> String {
    let head = format!(
        "POST /stream/report HTTP/1.1\r\nHost: front.example\r\nAttempt-Id: {}\r\nDeadline-Ms: 6000\r\nModel: m\r\nToken-Counts: 6300,60\r\nPrompt-Prefix: 5c1e07a2:2520,{:x}:3780\r\n",
        lib::new_id(),
        0x9000_0000_u64 + number as u64
    );
    let answer = lib::request(
        front,
        &head,
        &format!("{{\"report\":{number}}}"),
        Duration::from_secs(7),
    );
    match answer {
        Ok(answer) if answer.status == 200 && !answer.body.ends_with("0\r\n\r\n") => {
            "cut off".into()
        }
        Ok(answer) => answer.status.to_string(),
        Err(error) => error,
    }
}
