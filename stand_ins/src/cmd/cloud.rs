//! `stand-ins cloud`: runs a cloud API whose instances are stand-ins.

use std::io;
use std::time::Duration;

use clap::ArgMatches;
use config::Text;
use config::text::{Class, Kind, Service};
use stand_ins::cloud::{Cloud, Price, Settings, Template};
use stand_ins::{engine, plain};
use upstream::Served;

use super::arguments::{announcer_settings, listen, text, wait_until_stopped};

pub(super) async fn run(matches: &ArgMatches) -> io::Result<()> {
    let source = std::fs::read_to_string(text(matches, "text"))?;
    let parsed = Text::parse(&source).map_err(io::Error::other)?;
    let delay = matches.get_one::<u64>("start-delay-ms").copied();
    let cloud = Cloud::start(Settings {
        listen: listen(matches),
        start_delay: Duration::from_millis(delay.unwrap_or_default()),
        prices: prices(&parsed),
        templates: templates(matches, &parsed)?,
    })
    .await?;
    println!("cloud: listens on {}", cloud.address());
    wait_until_stopped(cloud.lifecycle()).await
}

fn prices(text: &Text) -> Vec<Price> {
    let prices = text.data_centres.iter().flat_map(|(name, centre)| {
        Class::ALL.map(|class| Price {
            data_centre: name.clone(),
            class,
            price: match class {
                Class::Reclaimable => centre.reclaimable.price,
                Class::OnDemand => centre.on_demand.price,
            },
        })
    });
    prices.collect()
}

type Templates = indexmap::IndexMap<config::ids::ServiceId, Template>;

fn templates(matches: &ArgMatches, text: &Text) -> io::Result<Templates> {
    let announce = announcer_settings(matches)?;
    let scale = matches.get_one::<f64>("time-scale").copied();
    let template = |service: &Service| match service.kind {
        Kind::Plain => Template::Plain(plain::Settings {
            announce: announce.clone(),
            ..plain::Settings::default()
        }),
        Kind::Model => Template::Engine(engine::Settings {
            models: service.models.iter().map(served_model).collect(),
            fencing: service.fencing,
            time_scale: scale.unwrap_or(1.0),
            announce: announce.clone(),
            ..engine::Settings::default()
        }),
    };
    let services = text.services.iter();
    Ok(services
        .map(|(name, service)| (name.clone(), template(service)))
        .collect())
}

fn served_model(model: &config::text::Model) -> Served {
    Served {
        model: model.name.clone(),
        version: model.version.clone(),
        adapters: model.adapters.clone(),
    }
}
