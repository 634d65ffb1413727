//! `chervilloft forecast`: forecasts next month's bill, from a text or from a running fleet.

use std::path::Path;
use std::process::ExitCode;

use clap::ArgMatches;
use config::{Text, check};
use control::client::Document;
use errors::{Error, Peer, Result, Step};
use placement::Ledger;
use placement::forecast::{self, Assumptions, Comparison, Forecast};
use serde_json::{Value, json};

use super::{files, operator, runtime};
use crate::{cli, messages};

/// Prints the forecast; with `--against` also compares it, with `--plot` also plots it.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let assumptions = Assumptions::default();
    let after = match matches.get_flag("live") {
        true => forecast_live(matches, &assumptions)?,
        false => forecast_file(&cli::path(matches, "file"), &assumptions)?,
    };
    let comparison = match matches.contains_id("against") {
        true => {
            let before = forecast_file(&cli::path(matches, "against"), &assumptions)?;
            Some(Comparison::new(&before, &after))
        }
        false => None,
    };
    if matches.contains_id("plot") {
        write_plot(&after, &cli::path(matches, "plot"))?;
    }
    match cli::wants_json(matches) {
        true => messages::print_json(&json!({ "forecast": after, "comparison": comparison })),
        false => messages::print_forecast(&after, comparison.as_ref()),
    }
    Ok(ExitCode::SUCCESS)
}

fn forecast_file(path: &Path, assumptions: &Assumptions) -> Result<Forecast> {
    let (text, _) = files::text(path)?;
    Ok(forecast::from_text(&text, assumptions))
}

fn forecast_live(matches: &ArgMatches, assumptions: &Assumptions) -> Result<Forecast> {
    let client = operator::client(matches)?;
    let read = async {
        let text = client.read(Document::Text).await?;
        let ledger = client.read(Document::Ledger).await?;
        Ok::<_, Error>((text, ledger))
    };
    let (text, ledger) = runtime::single_threaded()?.block_on(read)?;
    Ok(forecast::from_ledger(
        &decode_ledger(ledger)?,
        &parse_text(&text)?,
        assumptions,
    ))
}

fn parse_text(document: &Value) -> Result<Text> {
    let source = document["source"].as_str().unwrap_or_default();
    let no_valid_text = || {
        let message = "the text in force is missing or has errors; submit a valid one, or name a file to forecast";
        Error::Invalid(Step::Load, Peer::Name("control".into()), message.into())
    };
    check::text("the text in force", source)
        .0
        .ok_or_else(no_valid_text)
}

fn decode_ledger(document: Value) -> Result<Ledger> {
    serde_json::from_value(document)
        .map_err(|error| Error::Other(Step::Decode, Peer::Name("control".into()), error.into()))
}

fn write_plot(forecast: &Forecast, path: &Path) -> Result<()> {
    let peer = || Peer::File(path.to_owned());
    let plot = forecast::plot(forecast)
        .map_err(|error| Error::Other(Step::Encode, peer(), error.into()))?;
    std::fs::write(path, plot).map_err(|cause| Error::Io(Step::Store, peer(), cause))
}
