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
        .about("Sends seeded requests to loopback addresses and checks every answer")
        .arg(addresses(
            "entry",
            "Entry to ask; may be given several times",
        ))
        .arg(address(
            "direct",
            "Engine that every second generation asks directly",
        ))
        .arg(addresses(
            "engine",
            "Engine whose history is read at the end",
        ))
        .arg(addresses(
            "plain",
            "Plain service whose ledger is read at the end",
        ))
        .arg(text("bearer", "Key of a client account"))
        .arg(text("mix", "\"cetak\" or \"armor\"").default_value("cetak"))
        .arg(text("model", "Model in place of the mix's own"))
        .arg(text(
            "plain-service",
            "Plain service in place of the mix's own; \"\" for none",
        ))
        .arg(number("rate", "Requests per second", "10"))
        .arg(number("seconds", "Time for which requests are begun", "5"))
        .arg(count("seed", "Seed of requests and pauses", "1"))
        .arg(text("format", "\"table\" or \"json\"").default_value("table"))
}

fn cloud() -> Command {
    Command::new("cloud")
        .about("Runs a cloud API, whose instances run stand-ins in the same process")
        .arg(text("text", "Operators' text with services and prices").required(true))
        .arg(count(
            "start-delay-ms",
            "Milliseconds until an instance runs",
            "200",
        ))
        .arg(number(
            "time-scale",
            "Seconds of the engines' time in one second",
            "1",
        ))
        .arg(listen())
        .args(announcing())
}

fn weights() -> Command {
    Command::new("weights")
        .about("Runs a weight store")
        .arg(number(
            "bytes-per-second",
            "Rate for all readers together",
            "16000000",
        ))
        .arg(count(
            "bytes",
            "Size of the weights of any model",
            "1000000",
        ))
        .arg(listen())
}

fn relay() -> Command {
    Command::new("relay")
        .about("Runs a TCP relay that cuts, delays or resets connections on command")
        .arg(address("target", "Where connections go").required(true))
        .arg(address("admin", "Address of the admin listener").default_value("127.0.0.1:0"))
        .arg(listen())
}

fn ports() -> Command {
    Command::new("ports")
        .about("Prints free ports, one a line")
        .arg(count("count", "How many", "1"))
        .arg(
            Arg::new("address")
                .long("address")
                .value_name("IP")
                .help("Where they must be free")
                .default_value("127.0.0.1")
                .value_parser(value_parser!(IpAddr)),
        )
}

fn upstream(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(text("name", "Name of the upstream").required(true))
        .arg(text("service", "Service that it serves").required(true))
        .arg(text("data-centre", "Data centre that it announces").required(true))
        .arg(text("class", "\"reclaimable\" or \"on-demand\"").default_value("on-demand"))
        .arg(listen())
        .args(announcing())
}

fn announcing() -> [Arg; 2] {
    [
        address(
            "entry",
            "Entry for announcements; may be given several times",
        )
        .action(ArgAction::Append),
        Arg::new("keys")
            .long("keys")
            .value_name("FILE")
            .help("File of keys with the secret of the upstreams")
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
            "Seconds of the engine's time in one second",
            "1",
        ),
        number("event-loss", "Share of cache events that are lost", "0"),
        Arg::new("ignore-fence")
            .long("ignore-fence")
            .help("Takes orders with an old fencing number")
            .action(ArgAction::SetTrue),
    ]
}

fn listen() -> Arg {
    address(
        "listen",
        "Address of the listener; port 0 lets the system choose",
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
