//! Command line of the simulations.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use experiments::{Case, Policy, User, month, table};

fn main() {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("decisions", matches)) => print!("{}", table::simulate(&settings(matches))),
        Some(("month", matches)) => {
            let seeds = matches.get_one::<u64>("seeds").copied().unwrap_or_default();
            for user in User::ALL {
                for seed in 1..=seeds {
                    print!("{}", month::simulate(user, seed));
                }
            }
        }
        _ => unreachable!("a subcommand is required"),
    }
}

fn command() -> Command {
    let number = |name: &'static str, help: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .value_parser(value_parser!(u64))
            .default_value(default)
    };
    let choice = |name: &'static str, help: &'static str, names: Vec<&'static str>| {
        Arg::new(name).long(name).help(help).value_parser(names)
    };
    let decisions = Command::new("decisions")
        .about("Prints one table of routing policies by user and case")
        .arg(number("seeds", "Seeds, from 1", "5"))
        .arg(number(
            "capacity",
            "Engines left after the loss of any one data centre",
            "8",
        ))
        .arg(number("seconds", "Seconds of arrivals in each run", "100"))
        .arg(number("threads", "Threads that simulate runs", "4"))
        .arg(choice(
            "user",
            "Only this user",
            User::ALL.map(User::name).to_vec(),
        ))
        .arg(choice(
            "case",
            "Only this case",
            Case::ALL.map(Case::name).to_vec(),
        ))
        .arg(choice(
            "policy",
            "Only this policy",
            Policy::ALL.map(Policy::name).to_vec(),
        ))
        .arg(
            Arg::new("no-cost")
                .long("no-cost")
                .help("Leave out the cost at the target, the slowest column")
                .action(ArgAction::SetTrue),
        );
    let month = Command::new("month")
        .about("Compares the forecast of a month's bill with simulated months with reclaims")
        .arg(number("seeds", "Seeds, from 1", "5"));
    Command::new("experiments")
        .about("Measures the routing and placement decisions on seeded arrivals")
        .subcommand_required(true)
        .subcommand(decisions)
        .subcommand(month)
}

fn settings(matches: &ArgMatches) -> table::Settings {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let is_selected = |id: &str, name: &str| match matches.get_one::<String>(id) {
        Some(selected) => selected == name,
        None => true,
    };
    let mut settings = table::Settings {
        seeds: number("seeds"),
        capacity: number("capacity") as u32,
        seconds: number("seconds"),
        threads: number("threads") as usize,
        cost: !matches.get_flag("no-cost"),
        ..table::Settings::default()
    };
    settings
        .users
        .retain(|user| is_selected("user", user.name()));
    settings
        .cases
        .retain(|case| is_selected("case", case.name()));
    settings
        .policies
        .retain(|policy| is_selected("policy", policy.name()));
    settings
}
