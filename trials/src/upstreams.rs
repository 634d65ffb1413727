//! Stand-ins behind a fleet, and calls to them.

use std::io;

use stand_ins::engine::{self, Engine};
use stand_ins::load::{Call, Generate, Outcome, Submit};
use stand_ins::plain::{self, Plain};
use upstream::Served;

use crate::{Fleet, text, wait_until};

/// Speed of engines relative to real ones, so that tests are short.
pub const TIME_SCALE: f64 = 10.0;

/// Returns settings of an engine that announces itself to `fleet`.
pub fn engine_settings(fleet: &Fleet, name: &str, centre: &str) -> engine::Settings {
    engine::Settings {
        upstream: name.into(),
        service: text::MODEL_SERVICE.into(),
        data_centre: centre.into(),
        models: vec![Served {
            model: text::MODEL.into(),
            version: text::MODEL_VERSION.into(),
            adapters: Vec::new(),
        }],
        time_scale: TIME_SCALE,
        announce: fleet.announcer_settings(),
        ..engine::Settings::default()
    }
}

/// Starts `count` engines, spread evenly over the data centres `centres`.
///
/// # Errors
/// Fails when a socket can't be opened.
pub async fn start_engines(
    fleet: &Fleet,
    count: usize,
    centres: &[&str],
) -> io::Result<Vec<Engine>> {
    let mut engines = Vec::new();
    for index in 0..count {
        let centre = centres[index % centres.len()];
        let name = format!("{centre}-{}", index + 1);
        engines.push(Engine::start(engine_settings(fleet, &name, centre)).await?);
    }
    Ok(engines)
}

/// Starts a plain service that announces itself to `fleet`.
///
/// # Errors
/// Fails when the socket can't be opened.
pub async fn start_plain(fleet: &Fleet, name: &str, centre: &str) -> io::Result<Plain> {
    Plain::start(plain_settings(fleet, name, centre)).await
}

/// Returns settings of a plain service that announces itself to `fleet`.
pub fn plain_settings(fleet: &Fleet, name: &str, centre: &str) -> plain::Settings {
    plain::Settings {
        upstream: name.into(),
        service: text::PLAIN_SERVICE.into(),
        data_centre: centre.into(),
        announce: fleet.announcer_settings(),
        ..plain::Settings::default()
    }
}

/// Returns a streamed chat whose prompt and key are unique to `number`.
pub fn chat(number: u64, max_tokens: usize) -> Call {
    Call::Generate(Generate {
        model: text::MODEL.to_owned(),
        prompt: format!("Check job ticket {number} against the imposition standard."),
        chat: true,
        stream: true,
        max_tokens: Some(max_tokens),
        key: format!("chat-{number}"),
        priority: "",
    })
}

/// Returns a booking, a non-idempotent call, whose body and key are unique to `number`.
pub fn booking(number: u64) -> Call {
    Call::Submit(Submit {
        service: text::PLAIN_SERVICE.to_owned(),
        path: text::SUBMIT_PATH.to_owned(),
        body: format!("{{\"plate\":{number}}}"),
        key: format!("booking-{number}"),
    })
}

/// Returns a read of job `number`.
pub fn read(number: u64) -> Call {
    Call::Read {
        service: text::PLAIN_SERVICE.to_owned(),
        path: format!("/jobs/{number}"),
    }
}

/// Waits until every entry answers `call` at the first attempt.
///
/// # Panics
/// Panics when an entry does not do so within 120 s.
pub async fn wait_until_reachable(fleet: &Fleet, call: &Call) {
    let caller = fleet.caller();
    for first in 0..fleet.entry_addresses().len() {
        let condition = format!("a first answer of entry {}", first + 1);
        wait_until(&condition, || async {
            let observation = caller.call_from(first, call).await;
            observation.outcome == Outcome::Complete && observation.attempts.len() == 1
        })
        .await;
    }
}
