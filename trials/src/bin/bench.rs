//! Measures what an entry adds to the stand-ins behind it, which are reached directly as well.

use std::io;

use trials::bench::{self, Row};

/// Prints one table; the only argument is the `chervilloft` program.
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
