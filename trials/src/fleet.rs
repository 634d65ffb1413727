//! Fleet of control processes and entries.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use http::{Method, StatusCode};
use stand_ins::announcer;
use stand_ins::load::{self, Caller};
use stand_ins::web;
use tempfile::TempDir;
use tokio::time::timeout;

use crate::settings::{Peer, Template};
use crate::wait::while_running;
use crate::{ACCOUNT_KEY, Address, Links, Process, Settings, keys, text, wait_until};

/// Longest time of one HTTP call that checks a process.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time until the first text is accepted.
const FIRST_TEXT_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay between two submissions of the first text.
const FIRST_TEXT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Control processes and entries under one operators' text; they are killed when dropped.
#[derive(Debug)]
pub struct Fleet {
    settings: Settings,
    /// Control processes.
    pub controls: Vec<Process>,
    /// Entry processes.
    pub entries: Vec<Process>,
    /// Relays between processes; empty unless [`Settings::relayed`] is set.
    pub links: Links,
    entry_addresses: Vec<SocketAddr>,
    operator_addresses: Vec<SocketAddr>,
    folder: TempDir,
}

impl Fleet {
    /// Starts all processes, submits the text and waits until all entries are ready.
    ///
    /// # Errors
    /// Fails when a process can't be started, as soon as one ends, and when the text is not
    /// accepted within 60 s.
    ///
    /// # Panics
    /// Panics when a control process does not answer or an entry is not ready within 120 s.
    pub async fn start(settings: Settings) -> io::Result<Fleet> {
        let fleet = Fleet::launch(settings).await?;
        let processes: Vec<&Process> = fleet.controls.iter().chain(&fleet.entries).collect();
        while_running(&processes, fleet.wait_until_serving()).await??;
        Ok(fleet)
    }

    /// Starts all processes without waiting until they serve.
    ///
    /// # Errors
    /// Fails when a process can't be started, or [`Settings::ports`] has a wrong number of ports.
    pub async fn launch(settings: Settings) -> io::Result<Fleet> {
        let folder = TempDir::new()?;
        fs::write(folder.path().join("keys.toml"), keys::render())?;
        fs::write(folder.path().join("text.toml"), &settings.text)?;
        let address = Address::next();
        let port_count = settings.controls * 2 + settings.entries;
        let all_ports = match settings.ports.len() {
            0 => address.ports(port_count)?,
            count if count == port_count => settings.ports.clone(),
            count => {
                let message =
                    format!("the fleet needs {port_count} ports, its settings have {count}");
                return Err(io::Error::other(message));
            }
        };
        let (control_ports, entry_ports) = all_ports.split_at(settings.controls * 2);
        let ports = pair_ports(control_ports);
        let mut fleet = Fleet {
            controls: Vec::new(),
            entries: Vec::new(),
            links: Links::default(),
            entry_addresses: entry_ports
                .iter()
                .map(|port| address.with_port(*port))
                .collect(),
            operator_addresses: ports
                .iter()
                .map(|[_, port]| address.with_port(*port))
                .collect(),
            folder,
            settings,
        };
        let peers: Vec<Peer> = ports
            .iter()
            .enumerate()
            .map(|(index, [peer, operators])| Peer {
                node: control_name(index),
                address: address.with_port(*peer),
                operators: address.with_port(*operators),
            })
            .collect();
        for (index, ports) in ports.iter().enumerate() {
            let name = control_name(index);
            let peers = fleet.relay_peers(address, &name, &peers).await?;
            let file =
                fleet
                    .template(address, &peers)
                    .render_control(&name, data_centre(index), *ports);
            let process = fleet.start_process("control", &name, &file)?;
            fleet.controls.push(process);
        }
        for (index, port) in entry_ports.iter().enumerate() {
            let name = format!("entry-{}", index + 1);
            let peers = fleet.relay_peers(address, &name, &peers).await?;
            let file =
                fleet
                    .template(address, &peers)
                    .render_entry(&name, data_centre(index), *port);
            let process = fleet.start_process("entry", &name, &file)?;
            fleet.entries.push(process);
        }
        Ok(fleet)
    }

    /// Returns the settings with which the fleet was started.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the folder with settings, keys, logs and data.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the data folder of a process.
    pub fn data_folder(&self, node: &str) -> PathBuf {
        self.folder().join(format!("data-{node}"))
    }

    /// Returns the addresses at which entries take requests and announcements.
    pub fn entry_addresses(&self) -> &[SocketAddr] {
        &self.entry_addresses
    }

    /// Returns the addresses at which control processes answer operators.
    pub fn operator_addresses(&self) -> &[SocketAddr] {
        &self.operator_addresses
    }

    /// Returns settings with which upstreams announce themselves to this fleet.
    pub fn announcer_settings(&self) -> announcer::Settings {
        announcer::Settings {
            entries: self.entry_addresses.clone(),
            secret: keys::upstreams_secret(),
            ..announcer::Settings::default()
        }
    }

    /// Returns settings for callers of the account "shops".
    pub fn caller_settings(&self) -> load::Settings {
        load::Settings {
            entries: self.entry_addresses.clone(),
            bearer: ACCOUNT_KEY.to_owned(),
            ..load::Settings::default()
        }
    }

    /// Returns a caller of the account "shops".
    pub fn caller(&self) -> Caller {
        Caller::new(self.caller_settings())
    }

    /// Waits until entry `index` reports that it is ready.
    ///
    /// # Panics
    /// Panics when the entry is not ready within 120 s, and as soon as its process ends.
    pub async fn wait_until_ready(&self, index: usize) {
        let waited = while_running(&[&self.entries[index]], self.poll_until_ready(index)).await;
        waited.unwrap_or_else(|cause| panic!("the entry did not become ready: {cause}"));
    }

    /// Waits until control process `index` answers operators.
    ///
    /// # Panics
    /// Panics when the process does not answer within 120 s, and as soon as it ends.
    pub async fn wait_until_answering(&self, index: usize) {
        let waited =
            while_running(&[&self.controls[index]], self.poll_until_answering(index)).await;
        waited.unwrap_or_else(|cause| panic!("the control process did not answer: {cause}"));
    }

    /// Returns the metrics of the process at `address`, as text.
    ///
    /// # Errors
    /// Fails when the process does not answer.
    pub async fn metrics(&self, address: SocketAddr) -> io::Result<String> {
        let answer = web::call(address, Method::GET, "/metrics", "", PROBE_TIMEOUT).await?;
        Ok(String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Returns the logs of all processes, each line prefixed with the process's name.
    pub fn logs(&self) -> String {
        let processes = self.controls.iter().chain(&self.entries);
        processes
            .flat_map(|process| {
                let name = process.name().to_owned();
                let lines: Vec<String> = process.log().lines().map(str::to_owned).collect();
                lines
                    .into_iter()
                    .map(move |line| format!("{name}: {line}\n"))
            })
            .collect()
    }

    /// Returns the settings file with which operators' commands are run.
    pub(crate) fn operator_settings(&self) -> PathBuf {
        self.folder().join("control-1.toml")
    }

    /// Waits until all processes listen, the first text is accepted and the entries are ready.
    async fn wait_until_serving(&self) -> io::Result<()> {
        for index in 0..self.controls.len() {
            self.poll_until_answering(index).await;
        }
        if !self.controls.is_empty() {
            self.submit_first().await?;
        }
        for index in 0..self.entries.len() {
            self.poll_until_ready(index).await;
        }
        Ok(())
    }

    async fn poll_until_answering(&self, index: usize) {
        let address = self.operator_addresses[index];
        let condition = format!("an answer of {}", self.controls[index].name());
        wait_until(&condition, || async { self.metrics(address).await.is_ok() }).await;
    }

    async fn poll_until_ready(&self, index: usize) {
        let address = self.entry_addresses[index];
        let condition = format!("readiness of entry {}", index + 1);
        wait_until(&condition, || async move { is_ready(address).await }).await;
    }

    /// Submits the first text until the control group, which may have no leader yet, accepts it.
    async fn submit_first(&self) -> io::Result<()> {
        let mut last = "none has ended".to_owned();
        let accepted = async {
            loop {
                let output = self.submit(&self.settings.text, 0, "first").await?;
                if output.exit_code == 0 {
                    return Ok(());
                }
                last = format!("exit code {}: {}", output.exit_code, output.text);
                tokio::time::sleep(FIRST_TEXT_RETRY_DELAY).await;
            }
        };
        match timeout(FIRST_TEXT_TIMEOUT, accepted).await {
            Ok(accepted) => accepted,
            Err(_) => Err(io::Error::other(format!(
                "the first text was not accepted within {FIRST_TEXT_TIMEOUT:?}; last submission: {last}\n{}",
                self.logs()
            ))),
        }
    }

    /// Returns `peers` with the addresses at which process `name` reaches them; in a relayed fleet,
    /// those are the addresses of relays, which are started here.
    async fn relay_peers(
        &mut self,
        own: Address,
        name: &str,
        peers: &[Peer],
    ) -> io::Result<Vec<Peer>> {
        let mut reached = peers.to_vec();
        if self.settings.relayed {
            for peer in reached.iter_mut().filter(|peer| peer.node != name) {
                let listen = own.with_port(own.ports(1)?[0]);
                let target = peer.address;
                peer.address = self.links.add(name, &peer.node, listen, target).await?;
            }
        }
        Ok(reached)
    }

    fn template<'a>(&'a self, address: Address, peers: &'a [Peer]) -> Template<'a> {
        Template {
            settings: &self.settings,
            folder: self.folder.path(),
            ip: address.ip(),
            peers,
        }
    }

    fn start_process(&self, command: &str, name: &str, file: &str) -> io::Result<Process> {
        let path = self.folder().join(format!("{name}.toml"));
        fs::write(&path, file)?;
        fs::create_dir_all(self.data_folder(name))?;
        let arguments = [command, "--settings", &path.display().to_string()];
        let arguments = arguments.map(str::to_owned).to_vec();
        let log = self.folder().join(format!("{name}.log"));
        Process::start(name, &self.settings.binary, arguments, log)
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let answer = web::call(address, Method::GET, "/readyz", "", PROBE_TIMEOUT).await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}

fn pair_ports(ports: &[u16]) -> Vec<[u16; 2]> {
    ports
        .chunks_exact(2)
        .map(|pair| [pair[0], pair[1]])
        .collect()
}

fn control_name(index: usize) -> String {
    format!("control-{}", index + 1)
}

fn data_centre(index: usize) -> &'static str {
    text::DATA_CENTRES[index % text::DATA_CENTRES.len()]
}
