//! Admission under load, simulated without a network.

mod engine;
mod entry;
mod simulation;

use googletest::prelude::*;

use simulation::{Settings, Simulation};

#[test]
fn trial() {
    for (name, settings) in [
        ("twice", Settings::default()),
        (
            "twice, no plan",
            Settings {
                plans: false,
                ..Settings::default()
            },
        ),
        (
            "calm",
            Settings {
                load: 0.6,
                ..Settings::default()
            },
        ),
        (
            "six",
            Settings {
                load: 0.8,
                heavy: Some((0, 6.0)),
                ..Settings::default()
            },
        ),
        (
            "7.5",
            Settings {
                load: 0.8,
                heavy: Some((4, 7.5)),
                ..Settings::default()
            },
        ),
        (
            "places",
            Settings {
                places: 8,
                ..Settings::default()
            },
        ),
        (
            "model 0.5",
            Settings {
                model: 0.5,
                ..Settings::default()
            },
        ),
        (
            "model 2",
            Settings {
                model: 2.0,
                ..Settings::default()
            },
        ),
        (
            "loss",
            Settings {
                load: 0.8,
                loss: Some(10.0),
                ..Settings::default()
            },
        ),
    ] {
        println!("== {name}");
        let outcomes = Simulation::run(settings);
        outcomes.print(4, 22);
    }
    assert_that!(true, eq(true));
}
