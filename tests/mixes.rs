//! Request mixes of both users at a constant rate while an engine is reclaimed.

use std::time::Duration;

use googletest::prelude::*;
use stand_ins::engine::Engine;
use stand_ins::load::{Mix, Plan, Target, run};
use trials::text::{MODEL, PLAIN_SERVICE, SUBMIT_PATH};
use trials::{Settings, Trial};

const BINARY: &str = env!("CARGO_BIN_EXE_chervilloft");

/// Longest time until all calls have ended.
const CALLS_TIMEOUT: Duration = Duration::from_secs(300);

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn answers_both_mixes_while_an_engine_is_reclaimed() {
    for (mix, seed) in [(Mix::Cetak, 81), (Mix::Armor, 82)] {
        let trial = Trial::start(Settings::new(BINARY)).await;
        let plan = Plan {
            caller: trial.fleet.caller_settings(),
            engines: trial.engines[1..].iter().map(Engine::address).collect(),
            plain_services: vec![trial.plains[0].address()],
            mix,
            target: Target {
                model: MODEL.to_owned(),
                plain: PLAIN_SERVICE.to_owned(),
                submit_path: SUBMIT_PATH.to_owned(),
            },
            rate: 50.0,
            duration: Duration::from_secs(4),
            seed,
            ..Plan::default()
        };
        let calls = tokio::time::timeout(CALLS_TIMEOUT, run(&plan));
        let (report, ()) = tokio::join!(calls, async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            trial.engines[0].reclaim(Duration::from_secs(1));
        });
        let report = report.expect("all calls end in time").unwrap();
        println!("{mix:?}\n{report}");
        expect_that!(
            report.is_clean(),
            eq(true),
            "{report}\n{}",
            trial.fleet.logs()
        );
        expect_that!(
            report.complete,
            eq(report.sent),
            "{report}\n{}",
            trial.fleet.logs()
        );
        expect_that!(report.sent, gt(100));
    }
}
