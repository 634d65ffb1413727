//! Commands and arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed; the message names the step and the peer
  2  the arguments are wrong
  3  a file has errors
  4  another change came first; nothing was changed
  5  the outcome is not known, or the text is not yet in force everywhere";

/// Returns the definition of the command line.
pub(crate) fn command() -> Command {
    Command::new("chervilloft")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves models and plain services on reclaimable and on-demand instances")
        .long_about(
            "Serves models and plain services on reclaimable and on-demand instances.\n\n\
             Operators describe services, what they depend on and who may call them in one text, \
             check it and submit it. Control processes keep the text and all other state that \
             must survive the loss of a process or machine; entry processes stand between callers \
             and upstreams.",
        )
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            process(
                "entry",
                "Runs an entry process, which takes requests from callers",
            ),
            process(
                "control",
                "Runs a control process, which keeps the fleet's state on disk",
            ),
            check(),
            submit(),
            show(),
            status(),
            rollout(),
            forecast(),
            explain(),
            explain_route(),
        ])
}

/// Returns the path given for the argument `id`; empty if none was given.
pub(crate) fn path(matches: &ArgMatches, id: &str) -> PathBuf {
    matches.get_one::<PathBuf>(id).cloned().unwrap_or_default()
}

/// Reports whether `--format json` was given.
pub(crate) fn wants_json(matches: &ArgMatches) -> bool {
    matches
        .get_one::<String>("format")
        .is_some_and(|format| format == "json")
}

fn process(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(settings())
}

fn check() -> Command {
    Command::new("check")
        .about("Checks an operators' text, or the settings of a process, and changes nothing")
        .arg(file("The file to check"))
        .arg(
            Arg::new("as-settings")
                .long("as-settings")
                .help("The file holds the settings of a process")
                .action(ArgAction::SetTrue),
        )
        .arg(format())
}

fn submit() -> Command {
    Command::new("submit")
        .about("Submits an operators' text, and waits until it is in force at every entry")
        .long_about(
            "Submits an operators' text, and waits until it is in force at every entry.\n\n\
             The text is taken only if the version in force is still the one it was made from \
             (--base). A submission that is sent again with the same --id gets the first answer, \
             so that a lost answer does no harm.",
        )
        .arg(file("The operators' text"))
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .help("Version that the text was made from; 0 for the first one")
                .required(true)
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("id")
                .long("id")
                .value_name("ID")
                .help("Name of this submission, to be used again when the answer is lost"),
        )
        .args(operator_args())
        .arg(format())
}

fn show() -> Command {
    Command::new("show")
        .about("Shows the operators' text in force, with its version")
        .args(operator_args())
        .arg(format())
}

fn status() -> Command {
    Command::new("status")
        .about("Shows the control group, entries, upstreams and calls with unknown outcome")
        .args(operator_args())
        .arg(format())
}

fn rollout() -> Command {
    let begin = Command::new("begin")
        .about("Orders that the traffic of a service moves to a version of its upstreams")
        .long_about(
            "Orders that the traffic of a service moves to a version of its upstreams.\n\n\
             The version gets a small share of the requests and is compared with the others. The \
             traffic moves before the deadline if it does as well, and returns if it does not. The \
             same order can be sent again when its answer is lost.",
        )
        .arg(
            Arg::new("service")
                .value_name("SERVICE")
                .help("The service")
                .required(true),
        )
        .arg(
            Arg::new("to")
                .value_name("VERSION")
                .help("Software version that the new upstreams announce")
                .required(true),
        )
        .arg(
            Arg::new("duration")
                .long("duration")
                .value_name("TIME")
                .help("Time from the order to the deadline, such as \"10m\"")
                .required(true),
        )
        .args(operator_args())
        .arg(format());
    let show = Command::new("show")
        .about("Shows the newest roll-out of each service")
        .args(operator_args())
        .arg(format());
    Command::new("rollout")
        .about(
            "Moves the traffic of a service to another software version, or shows how far that is",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([begin, show])
}

fn forecast() -> Command {
    Command::new("forecast")
        .about("Forecasts next month's bill by data centre, class and service")
        .long_about(
            "Forecasts next month's bill by data centre, class and service, with a low, middle and \
             high figure and what each is made of. From a text alone, or with --live from the \
             instance hours of a running fleet; with --against, what a change of text costs.",
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("The operators' text")
                .required_unless_present("live")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("FILE")
                .help("An earlier text to compare with")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("live")
                .long("live")
                .help("Uses the text in force and the instance hours of the running fleet")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .help("Writes a plot as SVG")
                .value_parser(value_parser!(PathBuf)),
        )
        .args(operator_args())
        .arg(format())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Shows the log lines about a request, or about an order to an engine or the cloud")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .help("Value of a Chervilloft-Request-Id header, or the number of an order")
                .required(true),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FILE")
                .help("Log of an entry or control process; may be given several times")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(format())
}

fn explain_route() -> Command {
    let option = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    let number = |name: &'static str, help: &'static str| {
        option(name, "NUMBER", help).value_parser(value_parser!(u32))
    };
    Command::new("explain-route")
        .about("Asks an entry where a request would go now and why, without sending it")
        .long_about(
            "Asks an entry where a request would go now and why, without sending it.\n\n\
             The entry's listener for metrics answers. Nothing is sent to an upstream, charged to \
             the account or counted. With --host and --path the route is found as for a request; \
             with --service alone, the first route to that service is taken.",
        )
        .arg(
            option(
                "entry",
                "ADDRESS",
                "Listener for metrics of the entry; by default that of the settings",
            )
            .value_parser(value_parser!(SocketAddr)),
        )
        .arg(settings().help("Settings file of the entry"))
        .arg(option("host", "HOST", "Host of the request").requires("path"))
        .arg(option("path", "PATH", "Path of the request").requires("host"))
        .arg(option("service", "SERVICE", "Service of the route").required_unless_present("path"))
        .arg(option(
            "account",
            "NAME",
            "Client account; none for a request without a key",
        ))
        .arg(option(
            "id",
            "ID",
            "Identifier of the request, on which shares depend; random by default",
        ))
        .arg(
            option(
                "rank",
                "NUMBER",
                "Rank in place of that of the account or route; 0 is the most urgent",
            )
            .value_parser(value_parser!(u8)),
        )
        .arg(option(
            "wait",
            "TIME",
            "How long the caller waits, such as \"5s\"",
        ))
        .arg(
            option(
                "excluded",
                "UPSTREAM",
                "Upstream that was tried before; may be given several times",
            )
            .action(ArgAction::Append),
        )
        .arg(number(
            "prompt-tokens",
            "Tokens of the prompt of a generation; none for a plain call",
        ))
        .arg(
            number("output-tokens", "Maximum number of tokens to generate")
                .requires("prompt-tokens"),
        )
        .arg(
            number(
                "length-hint",
                "The caller's estimate of the tokens to generate",
            )
            .requires("prompt-tokens"),
        )
        .arg(
            option(
                "parts",
                "ID:TOKENS,...",
                "Parts of the prompt, as in the header of a request; the last one is not shared",
            )
            .requires("prompt-tokens"),
        )
        .arg(format())
}

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("Settings of this process")
        .default_value("chervilloft.toml")
        .value_parser(value_parser!(PathBuf))
}

fn operator_args() -> [Arg; 2] {
    [
        settings().help("Settings file that lists the control processes and names the keys file"),
        Arg::new("operator")
            .long("operator")
            .value_name("NAME")
            .help("Operator whose token in the keys file is used; the first one by default"),
    ]
}

fn file(help: &'static str) -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help(help)
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

fn format() -> Arg {
    Arg::new("format")
        .long("format")
        .value_name("FORMAT")
        .help("Output for people or for programs")
        .default_value("text")
        .value_parser(["text", "json"])
}
