//! Measures the processor time and memory of idle entry and control processes.

use std::io;
use std::time::Duration;

use trials::text::DATA_CENTRES;
use trials::upstreams::start_engines;
use trials::{Fleet, Process, Settings};

/// Numbers of entries and upstreams of each measurement.
const SIZES: [(usize, usize); 7] = [
    (3, 0),
    (3, 10),
    (3, 100),
    (3, 400),
    (1, 10),
    (10, 10),
    (30, 10),
];
/// Time for announcements to spread before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Duration of a measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);
const BYTES_PER_MB: f64 = 1_048_576.0;

/// Prints a table of processor time and memory by the numbers of entries and upstreams.
///
/// The only argument is the path of the `chervilloft` program.
#[tokio::main]
async fn main() -> io::Result<()> {
    let missing = || io::Error::other("the path of the chervilloft program is missing");
    let binary = std::env::args().nth(1).ok_or_else(missing)?;
    println!(
        "| entries | upstreams | entry, % of a core | entry, MB | leader, % of a core | leader, MB |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for (entries, upstreams) in SIZES {
        measure(&binary, entries, upstreams).await?;
    }
    Ok(())
}

async fn measure(binary: &str, entries: usize, upstreams: usize) -> io::Result<()> {
    let settings = Settings {
        entries,
        ..Settings::new(binary)
    };
    let fleet = Fleet::start(settings).await?;
    let _engines = start_engines(&fleet, upstreams, &DATA_CENTRES).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let leader = fleet.leader().await.unwrap_or_default();
    let measured = [&fleet.entries[0], &fleet.controls[leader]];
    let before = processor_times(measured)?;
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let after = processor_times(measured)?;
    print!("| {entries} | {upstreams} |");
    for (index, process) in measured.into_iter().enumerate() {
        let used = (after[index] - before[index]).as_secs_f64();
        let share = 100.0 * used / MEASUREMENT_TIME.as_secs_f64();
        let memory = process.resident_bytes()? as f64 / BYTES_PER_MB;
        print!(" {share:.2} | {memory:.1} |");
    }
    println!();
    Ok(())
}

fn processor_times(processes: [&Process; 2]) -> io::Result<[Duration; 2]> {
    let [entry, leader] = processes;
    Ok([entry.processor_time()?, leader.processor_time()?])
}
