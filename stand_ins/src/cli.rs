//! The arguments of the `stand-ins` command.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Returns the command with all of its subcommands.
pub(crate) fn command() -> Command {
    Command::new("stand-ins")
        .about("Stand-ins for the engines, services and platform around chervilloft")
        .subcommand_required(true)
        .subcommand(upstream("engine", "Runs a model engine").args(engine_args()))
        .subcommand(upstream("plain", "Runs a plain service"))
        .subcommand(cloud())
        .subcommand(weights())
        .subcommand(relay())
        .subcommand(load())
        .subcommand(ports())
}

fn load() -> Command {
    let addresses = |name, help| address(name, help).action(ArgAction::Append);
    Command::new("load")
        .about("Sends seeded requests to loopback addresses and checks every response")
        .arg(addresses(
            "entry",
            "Entry that receives requests; may be given several times",
        ))
        .arg(address(
            "direct",
            "Engine that receives every second generation directly",
        ))
        .arg(addresses(
            "engine",
            "Engine whose history is read after the run",
        ))
        .arg(addresses(
            "plain",
            "Plain service whose ledger is read after the run",
        ))
        .arg(text("bearer", "Key of a client account"))
        .arg(text("mix", "\"cetak\" or \"armor\"").default_value("cetak"))
        .arg(text("model", "Model, instead of the default of the mix"))
        .arg(text(
            "plain-service",
            "Plain service, instead of the default of the mix; \"\" for none",
        ))
        .arg(number("rate", "Requests per second", "10"))
        .arg(number(
            "seconds",
            "Seconds during which new requests are sent",
            "5",
        ))
        .arg(count(
            "seed",
            "Seed of the requests and of the delays between them",
            "1",
        ))
        .arg(text("format", "\"table\" or \"json\"").default_value("table"))
}

fn cloud() -> Command {
    Command::new("cloud")
        .about("Runs a cloud API whose instances are stand-ins in the same process")
        .arg(text("text", "Operators' text with services and prices").required(true))
        .arg(count(
            "start-delay-ms",
            "Milliseconds between an order and the start of the instance",
            "200",
        ))
        .arg(number(
            "time-scale",
            "Seconds of simulated time per second of real time",
            "1",
        ))
        .arg(listen())
        .args(announcer_args())
}

fn weights() -> Command {
    Command::new("weights")
        .about("Runs a weight store")
        .arg(number(
            "bytes-per-second",
            "Total rate of all readers, in bytes per second",
            "16000000",
        ))
        .arg(count(
            "bytes",
            "Size of the weights of each model, in bytes",
            "1000000",
        ))
        .arg(listen())
}

fn relay() -> Command {
    Command::new("relay")
        .about("Runs a TCP relay that drops, delays or resets connections on command")
        .arg(address("target", "Address to which connections are relayed").required(true))
        .arg(address("admin", "Address of the admin listener").default_value("127.0.0.1:0"))
        .arg(listen())
}

fn ports() -> Command {
    Command::new("ports")
        .about("Prints free ports, one per line")
        .arg(count("count", "Number of ports", "1"))
        .arg(
            Arg::new("address")
                .long("address")
                .value_name("IP")
                .help("Address on which the ports are free")
                .default_value("127.0.0.1")
                .value_parser(value_parser!(IpAddr)),
        )
}

fn upstream(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(text("name", "Name of the upstream").required(true))
        .arg(text("service", "Service of the upstream").required(true))
        .arg(text("data-centre", "Data centre of the upstream").required(true))
        .arg(text("class", "\"reclaimable\" or \"on-demand\"").default_value("on-demand"))
        .arg(listen())
        .args(announcer_args())
}

fn announcer_args() -> [Arg; 2] {
    [
        address(
            "entry",
            "Entry that receives announcements; may be given several times",
        )
        .action(ArgAction::Append),
        Arg::new("keys")
            .long("keys")
            .value_name("FILE")
            .help("Keys file with the secret of the upstreams")
            .value_parser(value_parser!(PathBuf)),
    ]
}

fn engine_args() -> [Arg; 4] {
    [
        text("model", "Model as NAME@VERSION; may be given several times")
            .action(ArgAction::Append)
            .required(true),
        number(
            "time-scale",
            "Seconds of simulated time per second of real time",
            "1",
        ),
        number(
            "event-loss",
            "Share of cache events that are lost, from 0 to 1",
            "0",
        ),
        Arg::new("ignore-fence")
            .long("ignore-fence")
            .help("Accepts orders with an outdated fencing number")
            .action(ArgAction::SetTrue),
    ]
}

fn listen() -> Arg {
    address(
        "listen",
        "Address of the listener; with port 0 the system assigns one",
    )
    .default_value("127.0.0.1:0")
}

fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .help(help)
        .value_parser(value_parser!(SocketAddr))
}

fn count(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("COUNT")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("TEXT").help(help)
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(f64))
}
