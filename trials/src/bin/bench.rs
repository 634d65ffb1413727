//! Measures the latency, processor time and memory that an entry adds to calls of the stand-ins.

use std::io;

use trials::bench::{self, Row};

/// Prints a table of all measurements.
///
/// The only argument is the path of the `chervilloft` program.
#[tokio::main]
async fn main() -> io::Result<()> {
    let binary = std::env::args().nth(1);
    let missing = || io::Error::other("the path of the chervilloft program is missing");
    let progress = |rows: &[Row]| {
        for Row { name, value, unit } in rows {
            eprintln!("{name}: {value:.3} {unit}");
        }
    };
    let table = bench::run(&binary.ok_or_else(missing)?, progress).await?;
    print!("{table}");
    Ok(())
}
