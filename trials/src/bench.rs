//! Measurements of one entry between callers and stand-ins, in one run.

mod client;
mod latency;
mod load;
mod memory;
mod rig;
mod table;

pub use table::{Row, Table};

use std::io;

use rig::Rig;

/// Starts an entry of the program `binary` and measures it; each part is told to `progress`.
///
/// # Errors
/// Fails when a process or socket can't be started, or an answer is not as expected.
pub async fn run(binary: &str, progress: impl Fn(&[Row])) -> io::Result<Table> {
    let mut table = Table::default();
    let mut add = |rows: Vec<Row>| {
        progress(&rows);
        table.add(rows);
    };
    let rig = Rig::start(binary).await?;
    add(latency::reads(&rig).await?);
    add(latency::answers(&rig).await?);
    add(latency::tokens(&rig).await?);
    add(load::reads(&rig).await?);
    add(load::answers(&rig).await?);
    add(load::tokens(&rig).await?);
    drop(rig);
    for streams in [100, 1_000] {
        let rig = Rig::start(binary).await?;
        add(memory::streams(&rig, streams).await?);
    }
    Ok(table)
}
