//! `chervilloft entry`: runs an entry process until it receives a signal to stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::ArgMatches;
use config::settings::Interface;
use config::{Keys, Settings};
use errors::Result;
use fleet::{Member, Standalone};

use super::{files, runtime};
use crate::cli;

/// Runs the entry process.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let settings = files::settings(&cli::path(matches, "settings"))?;
    let keys = files::keys(&settings)?;
    let _log = logging::start(&settings.log)?;
    match (settings.interface, settings.entry.standalone_text.clone()) {
        (Interface::Platform, _) => {
            runtime::single_threaded()?.block_on(run_gateway(&settings, &keys))
        }
        (Interface::Own, Some(path)) => {
            let (text, _) = files::text(&path)?;
            entry::run(settings, keys, Standalone::new(text))
        }
        (Interface::Own, None) => run_member(settings, keys),
    }
}

fn run_member(settings: Settings, keys: Keys) -> Result<()> {
    let runtime = runtime::multi_threaded()?;
    let _context = runtime.enter();
    let member = Member::start(member_settings(&settings, &keys));
    let result = entry::run(settings, keys, member.clone());
    runtime.block_on(member.leave());
    result
}

async fn run_gateway(settings: &Settings, keys: &Keys) -> Result<()> {
    let member = Member::start(fleet::Settings {
        subscriptions: usize::MAX,
        parser: platform::parse_text,
        ..member_settings(settings, keys)
    });
    let entry = &settings.entry;
    let gateway_settings = gateway::Settings {
        node: settings.node.clone(),
        data_centre: settings.data_centre.clone(),
        listen: entry
            .listen
            .unwrap_or(SocketAddr::new(settings.address, entry.port)),
        ready: entry
            .ready
            .unwrap_or(SocketAddr::new(settings.address, entry.port + 1)),
        metrics: settings.metrics,
        forwarding: entry.forwarding,
        retries: entry.retries,
        usage_window: settings.control.usage.window,
        balancer_lag: entry.balancer_lag,
        balance: entry.balance,
        drain_timeout: entry.drain_timeout,
        budget_bytes: settings.machine.budget_bytes(),
        max_connections: entry
            .max_connections
            .min(settings.machine.max_connections()),
        max_forwarded_connections: settings.machine.max_forwarded_connections(),
        network: Arc::new(gateway::Tcp),
    };
    let result = gateway::run(
        gateway_settings,
        Arc::new(platform::CallerProtocol),
        member.clone(),
    )
    .await;
    member.leave().await;
    result
}

fn member_settings(settings: &Settings, keys: &Keys) -> fleet::Settings {
    fleet::Settings {
        node: settings.node.clone(),
        incarnation: incarnation(),
        peers: settings.controls(),
        peer_port: (!settings.seeds.is_empty()).then_some(settings.control.peer_port),
        secret: keys.fleet.clone(),
        ..Default::default()
    }
}

fn incarnation() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
