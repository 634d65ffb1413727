//! Measures the overhead of an entry: latency, processor time and memory.
//!
//! `cost upstream PORT`, `cost entry PORT UPSTREAM_PORT` and `cost load ENTRY_PORT
//! UPSTREAM_PORT ENTRY_PID` are three processes, so that the processor time and memory of the entry
//! are measured separately. `scripts/cost` starts all three.

mod connection;
mod load;
mod server;
mod usage;

use std::time::Duration;

use config::keys::Secret;
use config::settings::{Entry, Settings};
use config::{Keys, Text};
use fleet::Standalone;

const TEXT: &str = r#"
name = "cost"

[data-centres.ipoh]
region = "peninsula"
reclaimable = { price = 1.0 }
on-demand = { price = 3.0 }

[services.assistant]
kind = "model"
models = [{ name = "imposition", version = "1" }]
timeout = "10m"

[services.shop]
kind = "plain"

[accounts.press]
requests-per-second = 1000000.0
tokens-per-second = 1000000000.0
max-in-progress = 100000
"#;

/// Bearer key of the only account.
const KEY: &str = "press-key";
/// Secret of the upstreams.
const UPSTREAM_SECRET: &str = "upstream-secret";
/// Worker threads of each of the entry's two runtimes.
const THREADS: usize = 1;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize| -> u64 {
        let text = arguments.get(at).expect("an argument is missing");
        text.parse().expect("the argument is a number")
    };
    let port = |at: usize| u16::try_from(number(at)).expect("the argument is a port");
    match arguments.first().map(String::as_str) {
        Some("upstream") => runtime(2).block_on(server::run(port(1))),
        Some("entry") => entry(port(1)),
        Some("load") => runtime(2).block_on(load::run(port(1), port(2), number(3))),
        _ => eprintln!("usage: cost upstream|entry|load ..."),
    }
}

fn runtime(threads: usize) -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .expect("the runtime starts")
}

fn entry(port: u16) {
    let settings = Settings {
        entry: Entry {
            port,
            threads: THREADS,
            balancer_lag: Duration::ZERO,
            drain_timeout: Duration::from_secs(1),
            ..Entry::default()
        },
        ..Settings::default()
    };
    let keys = Keys {
        accounts: [("press".into(), vec![Secret::new(KEY)])].into(),
        upstreams: Secret::new(UPSTREAM_SECRET),
        ..Keys::default()
    };
    let text = Text::parse(TEXT).expect("the text is valid");
    entry::run(settings, keys, Standalone::new(text)).expect("the entry runs");
}
