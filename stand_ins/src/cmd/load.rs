//! `stand-ins load`: sends requests and checks every response.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use stand_ins::load::{Mix, Plan, Settings, Target, run as run_plan};

use super::arguments::text;

/// Runs a load and prints its report.
///
/// # Errors
/// Fails when requests were lost, executed twice, answered wrongly or executed despite a refusal.
pub(super) async fn run(matches: &ArgMatches) -> io::Result<()> {
    let plan = plan(matches)?;
    let report = run_plan(&plan).await?;
    match text(matches, "format").as_str() {
        "json" => println!("{}", report.json()),
        _ => print!("{report}"),
    }
    match report.is_clean() {
        true => Ok(()),
        false => Err(io::Error::other(
            "requests were lost, executed twice, answered wrongly or executed despite a refusal",
        )),
    }
}

fn plan(matches: &ArgMatches) -> io::Result<Plan> {
    let addresses = |name: &str| -> Vec<SocketAddr> {
        let values = matches.get_many::<SocketAddr>(name).into_iter().flatten();
        values.copied().collect()
    };
    let number = |name: &str| matches.get_one::<f64>(name).copied().unwrap_or_default();
    let mix = match text(matches, "mix").as_str() {
        "cetak" => Mix::Cetak,
        "armor" => Mix::Armor,
        other => {
            return Err(io::Error::other(format!(
                "mix \"{other}\" is unknown: use cetak or armor"
            )));
        }
    };
    let name_or = |name: &str, default: String| match matches.get_one::<String>(name) {
        Some(value) => value.clone(),
        None => default,
    };
    let target = mix.target();
    Ok(Plan {
        caller: Settings {
            entries: addresses("entry"),
            bearer: text(matches, "bearer"),
            pooled: true,
            ..Settings::default()
        },
        direct: addresses("direct").first().copied(),
        engines: addresses("engine"),
        plain_services: addresses("plain"),
        mix,
        target: Target {
            model: name_or("model", target.model),
            plain: name_or("plain-service", target.plain),
            submit_path: target.submit_path,
        },
        rate: number("rate"),
        duration: Duration::from_secs_f64(number("seconds").clamp(0.0, MAX_RUN_SECONDS)),
        seed: matches.get_one::<u64>("seed").copied().unwrap_or(1),
        ..Plan::default()
    })
}

/// Longest duration of a run.
const MAX_RUN_SECONDS: f64 = 3_600.0;
