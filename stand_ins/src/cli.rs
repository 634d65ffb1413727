//! The arguments of the `stand-ins` command.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Returns the command with all of its subcommands.
pub(crate) fn command() -> Command {
    Command::new("stand-ins")
        .about("Stand-ins for the engines, services and platform around chervilloft")
        .subcommand_required(true)
        .subcommand(upstream("engine", "Runs a model engine").args(engine_args()))
        .subcommand(upstream("plain", "Runs a plain service"))
}

fn upstream(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(text("name", "Name of the upstream").required(true))
        .arg(text("service", "Service that it serves").required(true))
        .arg(text("data-centre", "Data centre that it announces").required(true))
        .arg(text("class", "\"reclaimable\" or \"on-demand\"").default_value("on-demand"))
        .arg(listen())
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("IP:PORT")
                .help("Entry to which it announces itself; may be given several times")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("keys")
                .long("keys")
                .value_name("FILE")
                .help("File of keys with the secret of the upstreams")
                .value_parser(value_parser!(PathBuf)),
        )
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
    Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .help("Address of the listener; port 0 lets the system choose")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
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
