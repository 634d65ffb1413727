//! All processes are killed right after one has acknowledged that a server leaves.

#[path = "lib.rs"]
mod lib;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
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
/// `drain_ms` of that sheet.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which the processes are down.
const DOWN: Duration = Duration::from_millis(300);
/// Time that the last heartbeat of the server takes, as one that "may arrive seconds late".
const HEARTBEAT_DELAY: Duration = Duration::from_millis(2_000);
/// Time for which the server goes on to serve: `drain_ms` "and a little longer (at times many seconds)".
const LINGER: Duration = Duration::from_secs(8);
/// Callers that send one request after the other.
const CALLERS: usize = 12;

fn main() {
    lib::main(run)
}

fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(SIZE, &[0, 1, 2])?;
    deployment.start()?;
    let controls = deployment.controls();
    let json = lib::configuration(7);
    lib::submit(record, &controls, &json, Duration::from_secs(30))
        .ok_or("no configuration is acknowledged")?;
    let start = |name: &str, zone: &str| {
        Upstream::start(name, Service::Plain, zone, Duration::from_millis(15))
    };
    let leaving = start("i-leaving", "zone-1").map_err(|error| error.to_string())?;
    let staying = start("i-staying", "zone-2").map_err(|error| error.to_string())?;
    leaving.announce(controls.clone());
    staying.announce(controls.clone());
    let fronts: Vec<_> = (0..deployment.machines.len())
        .map(|machine| deployment.front(machine))
        .collect();
    let served = |front| {
        lib::call(
            front,
            "POST",
            "/unsafe/record",
            Duration::from_millis(1_500),
        )
    };
    let is_served = lib::wait_until(Duration::from_secs(20), || {
        fronts
            .iter()
            .all(|front| served(*front).is_ok_and(|answer| answer.status == 200))
    });
    if !is_served {
        return Err("the entries serve nobody in calm".into());
    }
    thread::sleep(Duration::from_millis(SIZE.contact_ms + 500));
    leaving.stop_announcing();
    thread::sleep(lib::HEARTBEAT);
    // Sent now, and on its way for some time.
    let late = leaving.announcement();
    let sent = Instant::now();
    record.line("server i-leaving: sends a heartbeat with the state `ready`, which is delayed");
    let holder = leaving
        .leave(&controls)
        .ok_or("the leave is not acknowledged")?;
    let acknowledged = Instant::now();
    record.line(format!(
        "server i-leaving: {holder} acknowledges that it leaves"
    ));
    if trouble {
        let all: Vec<usize> = (0..deployment.machines.len()).collect();
        deployment.end_bootstrap();
        deployment.kill(&all);
        record.line("platform: all processes are killed");
        thread::sleep(DOWN);
        deployment.start()?;
        record.line("platform: all processes are started again, with their disks");
    }
    let restarted = Instant::now();
    let goes_on = AtomicBool::new(true);
    let answered = AtomicUsize::new(0);
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (fronts, goes_on, answered) = (&fronts, &goes_on, &answered);
            scope.spawn(move || {
                let mut turn = caller;
                while goes_on.load(Ordering::Relaxed) {
                    turn += 1;
                    if served(fronts[turn % fronts.len()]).is_ok_and(|answer| answer.status == 200)
                    {
                        answered.fetch_add(1, Ordering::Relaxed);
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
        thread::sleep(HEARTBEAT_DELAY.saturating_sub(sent.elapsed()));
        let arrived = leaving.send_announcement(&controls, &late);
        record.line(format!(
            "server i-leaving: the delayed heartbeat arrives {:.1} s after it was sent, acknowledged by {arrived:?}",
            sent.elapsed().as_secs_f64()
        ));
        thread::sleep(LINGER.saturating_sub(acknowledged.elapsed()));
        leaving.crash();
        record.line("server i-leaving: exits");
        thread::sleep(Duration::from_millis(500));
        goes_on.store(false, Ordering::Relaxed);
    });
    // Machines are in touch again `contact_ms` after their start, and stay so.
    let in_touch = match trouble {
        true => restarted + Duration::from_millis(SIZE.contact_ms),
        false => acknowledged,
    };
    let runs = lib::lock(&leaving.runs);
    let late_runs: Vec<f64> = runs
        .iter()
        .filter(|(at, _)| *at > acknowledged + DRAIN && *at > in_touch + DRAIN / 4)
        .map(|(at, _)| (*at - acknowledged).as_secs_f64())
        .collect();
    record.line(format!(
        "callers: {} requests were answered",
        answered.load(Ordering::Relaxed)
    ));
    let first: Vec<String> = late_runs
        .iter()
        .take(5)
        .map(|at| format!("{at:.2}"))
        .collect();
    record.line(format!(
        "server i-leaving: {} requests later than drain_ms after the acknowledgement, by machines in touch; the first ones {} s after it",
        late_runs.len(),
        first.join(", ")
    ));
    match late_runs.is_empty() {
        true => Ok(Verdict::Held),
        false => Ok(Verdict::Broken),
    }
}
