//! `stand-ins engine`: runs a model engine.

use std::io;

use clap::ArgMatches;
use stand_ins::engine::{Engine, Fencing, Settings};
use upstream::Served;

use super::arguments::{announcer_settings, class, listen, text, wait_until_stopped};

pub(super) async fn run(matches: &ArgMatches) -> io::Result<()> {
    let models = matches.get_many::<String>("model").into_iter().flatten();
    let number = |name: &str| matches.get_one::<f64>(name).copied().unwrap_or_default();
    let engine = Engine::start(Settings {
        upstream: text(matches, "name").into(),
        service: text(matches, "service").into(),
        listen: listen(matches),
        data_centre: text(matches, "data-centre").into(),
        class: class(matches)?,
        models: models.map(|model| parse_model(model)).collect(),
        time_scale: number("time-scale"),
        event_loss: number("event-loss"),
        fencing: match matches.get_flag("ignore-fence") {
            true => Fencing::Ignored,
            false => Fencing::Checked,
        },
        announce: announcer_settings(matches)?,
        ..Settings::default()
    })
    .await?;
    println!("engine: listens on {}", engine.address());
    wait_until_stopped(engine.lifecycle()).await
}

fn parse_model(text: &str) -> Served {
    let (model, version) = text.split_once('@').unwrap_or((text, "1"));
    Served {
        model: model.into(),
        version: version.into(),
        adapters: Vec::new(),
    }
}
