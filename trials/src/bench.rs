//! Latency, throughput and memory of one entry between callers and stand-ins.

mod client;
mod latency;
mod load;
mod memory;
mod rig;
mod table;

pub use table::{Row, Table};

use std::io;
use std::time::Duration;

use rig::Rig;
use tokio::time::timeout;

/// Longest time of one measurement.
const MEASUREMENT_TIMEOUT: Duration = Duration::from_secs(300);

/// Starts an entry from the program `binary` and measures it.
///
/// `progress` is called with the rows of each measurement as soon as it ends.
///
/// # Errors
/// Fails when a process or socket can't be started, an answer is not as expected, or a measurement
/// does not end within 300 s.
pub async fn run(binary: &str, progress: impl Fn(&[Row])) -> io::Result<Table> {
    let mut table = Table::default();
    let mut add = |rows: Vec<Row>| {
        progress(&rows);
        table.add(rows);
    };
    let rig = Rig::start(binary).await?;
    add(measure("latency::reads", latency::reads(&rig)).await?);
    add(measure("latency::answers", latency::answers(&rig)).await?);
    add(measure("latency::tokens", latency::tokens(&rig)).await?);
    add(measure("load::reads", load::reads(&rig)).await?);
    add(measure("load::answers", load::answers(&rig)).await?);
    add(measure("load::tokens", load::tokens(&rig)).await?);
    drop(rig);
    for streams in [100, 1_000] {
        let rig = Rig::start(binary).await?;
        add(measure("memory::streams", memory::streams(&rig, streams)).await?);
    }
    Ok(table)
}

async fn measure(
    name: &str,
    rows: impl Future<Output = io::Result<Vec<Row>>>,
) -> io::Result<Vec<Row>> {
    let result = timeout(MEASUREMENT_TIMEOUT, rows).await;
    result.unwrap_or_else(|_| {
        let message = format!("the measurement {name} did not end within {MEASUREMENT_TIMEOUT:?}");
        Err(io::Error::other(message))
    })
}
