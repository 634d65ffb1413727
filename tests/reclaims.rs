//! Streams whose upstream is reclaimed, killed or silent.
//!
//! Each answer is compared token by token with the output that the engine must generate.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use stand_ins::engine::{self, Engine, Record};
use stand_ins::load::Report;
use stand_ins::plain::Plain;
use stand_ins::relay::{Mode, Relay, Scope};
use trials::text::DATA_CENTRES;
use trials::upstreams::{
    booking, chat, engine_settings, read, start_engines, start_plain, wait_until_reachable,
};
use trials::{Address, Fleet, Rng, Settings, Workload, wait_until};

const BINARY: &str = env!("CARGO_BIN_EXE_chervilloft");
const SEEDS: [u64; 3] = [11, 12, 13];
/// Fault counts with which `Report::counts` ends when there are no faults.
const NO_FAULT_COUNTS: &str = "unknown 0 lost 0 wrong 0 doubled 0 refused but run 0";

async fn start_standalone() -> Fleet {
    Fleet::start(Settings::standalone(BINARY))
        .await
        .expect("the fleet starts")
}

/// Starts the fleet, a plain service and engines in all data centres, and returns once a call that
/// is numbered by `seed` was answered.
async fn start_all(engine_count: usize, seed: u64) -> (Fleet, Plain, Vec<Engine>) {
    let fleet = start_standalone().await;
    let jobs = start_plain(&fleet, "jobs-1", DATA_CENTRES[1])
        .await
        .unwrap();
    let engines = start_engines(&fleet, engine_count, &DATA_CENTRES)
        .await
        .unwrap();
    wait_until_reachable(&fleet, &chat(seed, 2)).await;
    (fleet, jobs, engines)
}

/// Starts `count` streams with random lengths from `seed`, and waits until engines run them.
async fn start_streams(fleet: &Fleet, engines: &[Engine], seed: u64, count: u64) -> Workload {
    let mut rng = Rng::new(seed);
    let calls: Vec<_> = (0..count)
        .map(|number| chat(seed * 10_000 + number, rng.sample(800..1_400) as usize))
        .collect();
    let workload = Workload::start(&Arc::new(fleet.caller()), calls);
    wait_until("all streams at the engines", || async {
        let running: usize = engines.iter().map(Engine::in_progress).sum();
        running as u64 >= count
    })
    .await;
    // The position of the streams at the time of the fault depends on the seed.
    tokio::time::sleep(Duration::from_millis(rng.sample(50..400))).await;
    workload
}

/// Expects that every answer is complete.
fn expect_all_complete(report: &Report, fleet: &Fleet) {
    let expected = format!(
        "sent {0} whole {0} refused 0 {NO_FAULT_COUNTS}",
        report.sent
    );
    if report.counts() != expected {
        println!("{report}\n{}", fleet.logs());
    }
    expect_that!(report.counts(), eq(&expected));
}

/// Expects that every answer is complete after the caller's first attempt.
fn expect_no_retry(report: &Report, fleet: &Fleet) {
    expect_all_complete(report, fleet);
    expect_that!(report.attempts, eq(report.sent), "{report}");
}

/// Returns the engines in a data centre.
fn engines_in<'a>(engines: &'a [Engine], centre: &'a str) -> impl Iterator<Item = &'a Engine> {
    let is_in_centre = move |engine: &&Engine| engine.settings().data_centre == centre;
    engines.iter().filter(is_in_centre)
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn can_keep_every_stream_when_a_data_centre_is_reclaimed() {
    for seed in SEEDS {
        reclaim_data_centre(seed, 8, 24).await;
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn can_keep_200_streams_when_a_data_centre_is_reclaimed() {
    reclaim_data_centre(14, 20, 200).await;
}

/// Reclaims all engines of one data centre with notice while `stream_count` streams run.
async fn reclaim_data_centre(seed: u64, engine_count: usize, stream_count: u64) {
    let (fleet, _jobs, engines) = start_all(engine_count, seed).await;
    let workload = start_streams(&fleet, &engines, seed, stream_count).await;
    let mut rng = Rng::new(seed);
    for engine in engines_in(&engines, DATA_CENTRES[0]) {
        engine.reclaim(Duration::from_millis(rng.sample(300..1_200)));
    }
    let report = workload.report(&engines, &[]).await;
    expect_no_retry(&report, &fleet);
    expect_that!(report.moves, gt(0));
    // The notice leaves engines time to export, so that few tokens are recomputed.
    let records: Vec<Record> = engines.iter().flat_map(Engine::history).collect();
    let [_, _, exported] = Report::count_ends(&records);
    println!("seed {seed}: {} moved, {exported} exported", report.moves);
    println!(
        "seed {seed}: {} tokens recomputed",
        report.recomputed_tokens
    );
    expect_that!(exported, gt(0));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn can_keep_every_stream_when_its_next_engine_is_reclaimed_too() {
    for seed in SEEDS {
        let (fleet, _jobs, engines) = start_all(4, seed).await;
        let workload = start_streams(&fleet, &engines, seed, 24).await;
        let mut rng = Rng::new(seed);
        for engine in &engines[..3] {
            engine.reclaim(Duration::from_millis(900));
            tokio::time::sleep(Duration::from_millis(rng.sample(20..400))).await;
        }
        let report = workload.report(&engines, &[]).await;
        expect_no_retry(&report, &fleet);
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn can_keep_every_stream_when_engines_die_without_notice() {
    for seed in SEEDS {
        let (fleet, _jobs, engines) = start_all(4, seed).await;
        let workload = start_streams(&fleet, &engines, seed, 24).await;
        for engine in engines_in(&engines, DATA_CENTRES[0]) {
            engine.update_switches(|switches| switches.ignore_notice = true);
            engine.reclaim(Duration::ZERO);
        }
        let report = workload.report(&engines, &[]).await;
        expect_no_retry(&report, &fleet);
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn can_keep_every_stream_when_an_engine_dies_while_it_exports() {
    let (fleet, _jobs, engines) = start_all(4, 1).await;
    let workload = start_streams(&fleet, &engines, 21, 24).await;
    engines[0].update_switches(|switches| switches.die_on_export = true);
    engines[1].update_switches(|switches| switches.refuse_import = true);
    engines[0].reclaim(Duration::from_secs(1));
    let report = workload.report(&engines, &[]).await;
    expect_no_retry(&report, &fleet);
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn can_finish_streams_that_engines_end_too_early() {
    let (fleet, _jobs, engines) = start_all(4, 1).await;
    engines[0].update_switches(|switches| switches.close_after = Some(5));
    engines[1].update_switches(|switches| switches.drop_done = true);
    engines[2].update_switches(|switches| switches.silent_after = Some(7));
    let calls = (0..16).map(|number| chat(30_000 + number, 40));
    let workload = Workload::start(&Arc::new(fleet.caller()), calls);
    let report = workload.report(&engines, &[]).await;
    expect_no_retry(&report, &fleet);
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn can_keep_every_stream_when_engines_freeze() {
    let (fleet, _jobs, engines) = start_all(3, 1).await;
    let workload = start_streams(&fleet, &engines, 22, 12).await;
    engines[0].lifecycle().freeze();
    let report = workload.report(&engines, &[]).await;
    expect_no_retry(&report, &fleet);
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn keeps_late_tokens_of_a_thawed_engine_out_of_every_answer() {
    let fleet = Fleet::start(Settings {
        entry_lines: "upstream-silence = \"1500ms\"".to_owned(),
        ..Settings::standalone(BINARY)
    })
    .await
    .unwrap();
    let _jobs = start_plain(&fleet, "jobs-1", DATA_CENTRES[1])
        .await
        .unwrap();
    let engines = start_engines(&fleet, 3, &DATA_CENTRES).await.unwrap();
    wait_until_reachable(&fleet, &chat(1, 2)).await;
    for engine in &engines {
        engine.update_switches(|switches| switches.slowdown = 3.0);
    }
    let workload = start_streams(&fleet, &engines, 24, 12).await;
    let busiest = engines.iter().max_by_key(|engine| engine.in_progress());
    let busiest = busiest.expect("three engines run");
    for _ in 0..2 {
        busiest.lifecycle().freeze();
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        busiest.lifecycle().thaw();
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let report = workload.report(&engines, &[]).await;
    expect_no_retry(&report, &fleet);
    expect_that!(report.moves, gt(0));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn can_keep_every_stream_while_no_engine_serves_for_a_time() {
    let (fleet, _jobs, mut engines) = start_all(2, 1).await;
    let workload = start_streams(&fleet, &engines, 25, 12).await;
    for engine in &engines {
        engine.reclaim(Duration::from_millis(600));
    }
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let settings = engine_settings(&fleet, "replacement", DATA_CENTRES[2]);
    engines.push(Engine::start(settings).await.unwrap());
    let report = workload.report(&engines, &[]).await;
    expect_no_retry(&report, &fleet);
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn can_keep_streams_over_pooled_connections_that_went_silent() {
    let fleet = start_standalone().await;
    let _jobs = start_plain(&fleet, "jobs-1", DATA_CENTRES[1])
        .await
        .unwrap();
    let listen = Address::next();
    let listen = listen.with_port(listen.ports(1).unwrap()[0]);
    let relay = Relay::start(listen).await.unwrap();
    let engine = Engine::start(engine::Settings {
        listen,
        announce_as: Some(relay.address()),
        ..engine_settings(&fleet, "relayed", DATA_CENTRES[0])
    })
    .await
    .unwrap();
    let engines = [engine];
    wait_until_reachable(&fleet, &chat(1, 2)).await;
    let workload = start_streams(&fleet, &engines, 23, 8).await;
    relay.set_mode(Scope::Open, Mode::DropBoth);
    let report = workload.report(&engines, &[]).await;
    expect_no_retry(&report, &fleet);
    let calls = (0..8).map(|number| chat(40_000 + number, 4));
    let report = Workload::start(&Arc::new(fleet.caller()), calls);
    expect_all_complete(&report.report(&[], &[]).await, &fleet);
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn sends_no_new_request_to_a_reclaimed_engine() {
    let (fleet, _jobs, engines) = start_all(3, 1).await;
    let caller = Arc::new(fleet.caller());
    let mut workload = Workload::default();
    engines[0].reclaim(Duration::from_secs(5));
    for number in 0..200 {
        workload.add(&caller, chat(50_000 + number, 4));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // The entry may send requests until the announcement of the reclaim arrives.
    let is_late = |record: &Record| record.after_notice_ms.is_some_and(|ms| ms > 3_000);
    let late = engines[0].history().iter().filter(|it| is_late(it)).count();
    expect_that!(late, eq(0));
    let report = workload.report(&engines, &[]).await;
    expect_all_complete(&report, &fleet);
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn runs_bookings_once_when_their_service_is_reclaimed() {
    for seed in SEEDS {
        let fleet = start_standalone().await;
        let mut rng = Rng::new(seed);
        let first = start_plain(&fleet, "jobs-1", DATA_CENTRES[0])
            .await
            .unwrap();
        let second = start_plain(&fleet, "jobs-2", DATA_CENTRES[1])
            .await
            .unwrap();
        wait_until_reachable(&fleet, &read(1)).await;
        for jobs in [&first, &second] {
            jobs.update_switches(|switches| switches.delay_ms = 400);
        }
        let caller = Arc::new(fleet.caller());
        let mut workload = Workload::default();
        for number in 0..60 {
            if number == 20 {
                first.reclaim(Duration::from_millis(1_500));
            }
            workload.add(&caller, booking(seed * 100 + number));
            tokio::time::sleep(Duration::from_millis(rng.sample(20..80))).await;
        }
        let report = workload.report(&[], &[first, second]).await;
        expect_all_complete(&report, &fleet);
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn answers_each_caller_with_its_own_answer_when_answers_are_late() {
    let fleet = start_standalone().await;
    let jobs = start_plain(&fleet, "jobs-1", DATA_CENTRES[1])
        .await
        .unwrap();
    let engines = start_engines(&fleet, 2, &DATA_CENTRES).await.unwrap();
    wait_until_reachable(&fleet, &read(1)).await;
    wait_until_reachable(&fleet, &chat(1, 2)).await;
    jobs.update_switches(|switches| switches.jitter_ms = 400);
    engines[0].update_switches(|switches| switches.slowdown = 5.0);
    let calls = (0..40).flat_map(|n| [booking(n), read(n), chat(60_000 + n, 10)]);
    let workload = Workload::start(&Arc::new(fleet.caller()), calls);
    let report = workload.report(&engines, &[jobs]).await;
    expect_all_complete(&report, &fleet);
}
