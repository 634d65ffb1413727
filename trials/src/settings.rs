//! Settings of a fleet and of its processes.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::text;

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Path of the `chervilloft` program.
    pub binary: PathBuf,
    /// Number of control processes; with 0, entries read the text from a file.
    pub controls: usize,
    /// Number of entry processes.
    pub entries: usize,
    /// Ports of the processes: two for each control process (for peers and for operators), then one
    /// for each entry. Free ports are chosen when it is empty.
    pub ports: Vec<u16>,
    /// The operators' text.
    pub text: String,
    /// Whether each process connects to each control process through its own relay.
    pub relayed: bool,
    /// Lines that are added to `[entry]` in the settings of entries.
    pub entry_lines: String,
    /// Lines that are added to `[control]` in the settings of control processes.
    pub control_lines: String,
    /// Address of the cloud API from which control processes order instances.
    pub cloud: Option<SocketAddr>,
    /// Filter of the processes' logs.
    pub log_filter: String,
}

impl Settings {
    /// Returns settings for three control and three entry processes.
    pub fn new(binary: &str) -> Settings {
        Settings {
            binary: binary.into(),
            controls: 3,
            entries: 3,
            ports: Vec::new(),
            text: text::small(),
            relayed: false,
            entry_lines: String::new(),
            control_lines: String::new(),
            cloud: None,
            log_filter: "info".to_owned(),
        }
    }

    /// Returns settings for one entry without control processes.
    pub fn standalone(binary: &str) -> Settings {
        Settings {
            controls: 0,
            entries: 1,
            ..Settings::new(binary)
        }
    }
}

/// Template of the settings files of one fleet's processes.
pub(crate) struct Template<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) folder: &'a std::path::Path,
    pub(crate) ip: std::net::IpAddr,
    pub(crate) peers: &'a [Peer],
}

/// Control process in the settings of another process.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) node: String,
    pub(crate) address: SocketAddr,
    pub(crate) operators: SocketAddr,
}

impl Template<'_> {
    /// Returns the settings file of control process `node`.
    pub(crate) fn render_control(&self, node: &str, centre: &str, ports: [u16; 2]) -> String {
        let mut file = self.render_common(node, centre);
        let [peer, operators] = ports;
        let lines = &self.settings.control_lines;
        let _ = write!(
            file,
            "[control]\npeer-port = {peer}\noperators-port = {operators}\n{lines}\n"
        );
        if let Some(cloud) = self.settings.cloud {
            let _ = writeln!(file, "cloud = \"{cloud}\"");
        }
        file
    }

    /// Returns the settings file of entry process `node`.
    pub(crate) fn render_entry(&self, node: &str, centre: &str, port: u16) -> String {
        let mut file = self.render_common(node, centre);
        let lines = &self.settings.entry_lines;
        let _ = write!(file, "[entry]\nport = {port}\n{lines}\n");
        if self.settings.controls == 0 {
            let text = self.folder.join("text.toml");
            let _ = writeln!(file, "standalone-text = \"{}\"", text.display());
        }
        file
    }

    /// Returns the lines that all processes have.
    fn render_common(&self, node: &str, centre: &str) -> String {
        let data = self.folder.join(format!("data-{node}"));
        let keys = self.folder.join("keys.toml");
        let mut file = format!(
            "node = \"{node}\"\n\
             data-centre = \"{centre}\"\n\
             address = \"{}\"\n\
             data-folder = \"{}\"\n\
             keys-file = \"{}\"\n\
             log = {{ filter = \"{}\" }}\n",
            self.ip,
            data.display(),
            keys.display(),
            self.settings.log_filter,
        );
        for peer in self.peers {
            let _ = write!(
                file,
                "[[control-peers]]\nnode = \"{}\"\naddress = \"{}\"\noperators = \"{}\"\n",
                peer.node, peer.address, peer.operators
            );
        }
        file
    }
}
