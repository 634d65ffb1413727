//! Plan of a run.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use super::{Mix, Settings, Target};

/// Calls of a run, and the stand-ins whose records are checked afterwards.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Settings of the callers.
    pub caller: Settings,
    /// Engine that receives every second generation directly, for comparison.
    pub direct: Option<SocketAddr>,
    /// Engines whose histories are read after the run.
    pub engines: Vec<SocketAddr>,
    /// Plain services whose ledgers are read after the run.
    pub plain_services: Vec<SocketAddr>,
    /// Mix of the calls.
    pub mix: Mix,
    /// Names used in the calls.
    pub target: Target,
    /// Mean number of calls per second.
    pub rate: f64,
    /// Time during which new calls are started.
    pub duration: Duration,
    /// Maximum calls in progress; further calls wait.
    pub max_in_progress: usize,
    /// Seed of the calls and of the delays between them.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            caller: Settings::default(),
            direct: None,
            engines: Vec::new(),
            plain_services: Vec::new(),
            mix: Mix::Cetak,
            target: Mix::Cetak.target(),
            rate: 10.0,
            duration: Duration::from_secs(5),
            max_in_progress: 1_000,
            seed: 1,
        }
    }
}

impl Plan {
    /// Checks that all addresses are loopback addresses and that there is an entry.
    ///
    /// # Errors
    /// Fails when an address is not a loopback address, and when there is no entry.
    pub fn check(&self) -> io::Result<()> {
        let lists = [&self.caller.entries, &self.engines, &self.plain_services];
        let addresses = lists.into_iter().flatten().chain(&self.direct);
        let foreign = addresses.copied().find(|it| !it.ip().is_loopback());
        let refuse = |reason: String| Err(io::Error::new(io::ErrorKind::InvalidInput, reason));
        match foreign {
            Some(address) => refuse(format!("address {address} is not a loopback address")),
            None if self.caller.entries.is_empty() => refuse("the plan has no entry".to_owned()),
            None => Ok(()),
        }
    }
}
