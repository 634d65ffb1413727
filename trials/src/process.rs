//! Process of a fleet.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::Signal;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Child process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    binary: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts a process whose output is appended to the file `log`.
    ///
    /// # Errors
    /// Fails when the process can't be started.
    pub fn start(
        name: &str,
        binary: &Path,
        arguments: Vec<String>,
        log: PathBuf,
    ) -> io::Result<Process> {
        let mut process = Process {
            name: name.to_owned(),
            binary: binary.to_owned(),
            arguments,
            log,
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the process again after it has ended.
    ///
    /// # Errors
    /// Fails when the process still runs or can't be started.
    pub fn restart(&mut self) -> io::Result<()> {
        if self.is_running()? {
            let message = format!("process \"{}\" still runs", self.name);
            return Err(io::Error::other(message));
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.binary)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the name of the process in its fleet.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id, or 0 when the process has not been started or was killed.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Reports whether the process runs.
    ///
    /// # Errors
    /// Fails when the state of the process can't be read.
    pub fn is_running(&mut self) -> io::Result<bool> {
        match &mut self.child {
            Some(child) => Ok(child.try_wait()?.is_none()),
            None => Ok(false),
        }
    }

    /// Reports whether the process has ended, without reaping it.
    pub fn has_ended(&self) -> bool {
        /// Zombie and dead, as in proc(5).
        const ENDED_STATES: [&str; 2] = ["Z", "X"];
        let Some(child) = &self.child else {
            return true;
        };
        match fs::read_to_string(format!("/proc/{}/stat", child.id())) {
            // The state follows the name, which is in parentheses and may contain spaces.
            Ok(stat) => {
                let fields = stat.rsplit(')').next().unwrap_or_default();
                let state = fields.split_whitespace().next();
                state.is_some_and(|state| ENDED_STATES.contains(&state))
            }
            Err(cause) => cause.kind() == io::ErrorKind::NotFound,
        }
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// Fails when the process does not run.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        match &self.child {
            Some(child) => signal.send(child.id()),
            None => Err(io::Error::other(format!(
                "process \"{}\" does not run",
                self.name
            ))),
        }
    }

    /// Kills the process if it runs, and waits for its end.
    ///
    /// # Errors
    /// Fails when the process can't be killed or waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        match self.child.take() {
            Some(mut child) => {
                child.kill()?;
                child.wait().map(drop)
            }
            None => Ok(()),
        }
    }

    /// Waits up to `limit` for the end of the process and returns its exit status.
    ///
    /// # Errors
    /// Fails when the process has not ended after `limit`, or has not been started.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let deadline = Instant::now() + limit;
        loop {
            let status = match &mut self.child {
                Some(child) => child.try_wait()?,
                None => None,
            };
            match status {
                Some(status) => {
                    self.child = None;
                    return Ok(status);
                }
                None if Instant::now() > deadline => {
                    let message = format!("process \"{}\" did not end within {limit:?}", self.name);
                    return Err(io::Error::other(message));
                }
                None => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Returns the output of the process, or an empty text when its file can't be read.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the last non-empty line of the output, or an empty text.
    pub fn last_line(&self) -> String {
        let log = self.log();
        let mut lines = log.lines().map(str::trim);
        lines
            .rfind(|line| !line.is_empty())
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the user and system time that the process has used.
    ///
    /// # Errors
    /// Fails when the process does not run.
    pub fn processor_time(&self) -> io::Result<Duration> {
        /// USER_HZ, which is 100 on Linux.
        const TICKS_PER_SECOND: f64 = 100.0;
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid()))?;
        // The name in parentheses may contain spaces; user and system time are fields 14 and 15.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks = fields.split_whitespace().skip(11).take(2);
        let ticks: f64 = ticks.filter_map(|field| field.parse::<f64>().ok()).sum();
        Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
    }

    /// Returns the resident memory in bytes.
    ///
    /// # Errors
    /// Fails when the process does not run.
    pub fn resident_bytes(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        kilobytes
            .map(|kilobytes: u64| kilobytes * 1_024)
            .ok_or_else(|| {
                let message = format!("the status of process \"{}\" has no VmRSS", self.name);
                io::Error::other(message)
            })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // `drop` can't return an error; killing fails only for a process that is gone already.
        let _ = self.kill();
    }
}
