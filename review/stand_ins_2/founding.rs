//! Two of five disks are lost right after the first configuration was acknowledged.

#[path = "lib.rs"]
mod lib;

use std::thread;
use std::time::{Duration, Instant};

use lib::{Deployment, Record, Size, Verdict};

/// As on the sheet of armor-sondes-grown: five machines with a disk, of which two may be lost.
const SIZE: Size = Size {
    zones: 5,
    per_zone: 2,
    memory_mb: 160,
    contact_ms: 4_000,
};
/// Time for which the machines are down.
const DOWN: Duration = Duration::from_secs(1);
/// `recover_s` of that sheet.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time for which the configuration is asked for after that.
const PATIENCE: Duration = Duration::from_secs(10);

fn main() {
    lib::main(run)
}

fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(SIZE, &[0, 1, 2])?;
    deployment.start()?;
    record
        .line("platform: started 10 machines, 5 of them with a disk; seeds are three with a disk");
    let controls = deployment.controls();
    // The operator sends the first configuration to one machine until that acknowledges it.
    let json = lib::configuration(7);
    let acknowledged = lib::submit(record, &controls[..1], &json, Duration::from_secs(30));
    acknowledged.ok_or("the first configuration is not acknowledged")?;
    record.line("operator: configuration 7 is acknowledged by machine 0");
    deployment.end_bootstrap();
    if trouble {
        // The one that acknowledged, and one more.
        let victims = [0, 1];
        deployment.kill(&victims);
        for machine in victims {
            deployment.wipe(machine);
        }
        record.line(format!(
            "platform: machines {victims:?} lose power and their disks"
        ));
        thread::sleep(DOWN);
        for machine in victims {
            deployment.start_machine(machine)?;
        }
        record.line(format!(
            "platform: machines {victims:?} are back, with empty disks"
        ));
    }
    let back = Instant::now();
    let mut newest = None;
    let mut next_line = Duration::ZERO;
    while back.elapsed() < RECOVERY + PATIENCE && newest.is_none() {
        let read: Vec<_> = controls
            .iter()
            .map(|control| lib::read_version(*control))
            .collect();
        newest = read.iter().flatten().max().copied();
        if back.elapsed() >= next_line || newest.is_some() {
            record.line(format!("operator: reads at all machines: {read:?}"));
            next_line += Duration::from_secs(5);
        }
        thread::sleep(Duration::from_millis(200));
    }
    if let ended @ [_, ..] = deployment.ended().as_slice() {
        record.line(format!(
            "platform: processes ended by themselves: {ended:?}"
        ));
    }
    match newest {
        Some(version) if version >= 7 => Ok(Verdict::Held),
        found => {
            record.line(format!(
                "operator: acknowledged configuration 7; read back: {found:?}"
            ));
            let next = lib::configuration(9);
            let again = lib::submit(record, &controls, &next, Duration::from_secs(5));
            record.line(format!(
                "operator: a further configuration is acknowledged: {}",
                again.is_some()
            ));
            Ok(Verdict::Broken)
        }
    }
}
