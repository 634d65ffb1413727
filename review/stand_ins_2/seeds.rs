//! The seeds of the first start are machines that serve control and have no disk.

#[path = "lib.rs"]
mod lib;

use std::time::{Duration, Instant};

use lib::{Deployment, Record, Service, Size, Upstream, Verdict};

/// As on the sheet of armor-sondes: four machines with a disk, beside others that serve control without one.
const SIZE: Size = Size {
    zones: 4,
    per_zone: 2,
    memory_mb: 260,
    contact_ms: 3_000,
};
/// Time that the operator tries; `ack_ms` of that sheet is 4,000.
const TRYING: Duration = Duration::from_secs(30);

fn main() {
    lib::main(run)
}

fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    // The first four machines have a disk; all eight serve control.
    let seeds: &[usize] = if trouble { &[4, 5, 6] } else { &[0, 1, 2] };
    let mut deployment = Deployment::new(SIZE, seeds)?;
    deployment.start()?;
    record.line(format!(
        "platform: starts 8 machines that serve control; 0 to 3 have a disk; seeds are {seeds:?}"
    ));
    let controls = deployment.controls();
    let server = Upstream::start(
        "i-plain",
        Service::Plain,
        "zone-1",
        Duration::from_millis(15),
    );
    server
        .map_err(|error| error.to_string())?
        .announce(controls.clone());
    let began = Instant::now();
    let json = lib::configuration(7);
    let acknowledged = lib::submit(record, &controls, &json, TRYING);
    let read: Vec<_> = controls
        .iter()
        .map(|control| lib::read_version(*control))
        .collect();
    record.line(format!("operator: reads at all machines: {read:?}"));
    let answer = lib::call(
        deployment.front(0),
        "GET",
        "/safe/reading",
        Duration::from_millis(1_500),
    );
    record.line(format!(
        "callers: an entry answers {:?}",
        answer.map(|answer| answer.status)
    ));
    let ended = deployment.ended();
    if !ended.is_empty() {
        return Err(format!("processes ended by themselves: {ended:?}"));
    }
    match acknowledged {
        Some(_) => {
            record.line(format!(
                "operator: acknowledged after {:.1} s",
                began.elapsed().as_secs_f64()
            ));
            Ok(Verdict::Held)
        }
        None => {
            record.line(format!(
                "operator: the first configuration is not acknowledged within {TRYING:?}"
            ));
            Ok(Verdict::Broken)
        }
    }
}
