//! Entries behind a control group whose processes are killed, frozen, partitioned or lose their
//! data.
//!
//! After each fault the tests check all answers token by token, all executions by idempotency key
//! and the order of the texts that each entry put in force. `generate_load` starts `count`
//! bookings and as many streams, so a test expects answers to twice the sum of its counts, and to
//! the calls that it adds one by one.

use std::time::Duration;

use googletest::prelude::*;
use stand_ins::load::{self, Caller, Outcome};
use stand_ins::relay::Mode;
use trials::upstreams::{booking, chat};
use trials::{Settings, Signal, Trial, Workload, text, wait_until};

const BINARY: &str = env!("CARGO_BIN_EXE_chervilloft");
/// Exit code of a submission whose base is not the version in force.
const CONFLICT_EXIT_CODE: i32 = 4;
const SEEDS: [u64; 2] = [41, 42];
/// Time after which every lease of the settings has expired.
const LEASE_EXPIRY_TIME: Duration = Duration::from_secs(6);

async fn start() -> Trial {
    Trial::start(Settings::new(BINARY)).await
}

fn relayed_settings() -> Settings {
    Settings {
        relayed: true,
        ..Settings::new(BINARY)
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn loses_and_duplicates_nothing_when_the_leader_is_killed() {
    for seed in SEEDS {
        let mut trial = start().await;
        let leader = trial.wait_for_leader().await;
        let mut workload = Workload::default();
        trial.generate_load(&mut workload, seed, 20).await;
        trial.fleet.controls[leader].kill().unwrap();
        trial.generate_load(&mut workload, seed + 100, 40).await;
        trial.fleet.controls[leader].restart().unwrap();
        trial.fleet.wait_until_answering(leader).await;
        trial.generate_load(&mut workload, seed + 200, 20).await;
        let report = trial.check(workload).await;
        expect_that!(report.complete + report.unknown, eq(160), "{report}");
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn loses_and_duplicates_nothing_when_the_leader_is_frozen_beyond_its_lease() {
    for seed in SEEDS {
        let trial = start().await;
        let leader = trial.wait_for_leader().await;
        let mut workload = Workload::default();
        trial.generate_load(&mut workload, seed, 10).await;
        trial.fleet.controls[leader].signal(Signal::Stop).unwrap();
        trial.generate_load(&mut workload, seed + 100, 20).await;
        tokio::time::sleep(LEASE_EXPIRY_TIME).await;
        trial.generate_load(&mut workload, seed + 200, 20).await;
        trial.fleet.controls[leader]
            .signal(Signal::Continue)
            .unwrap();
        trial.generate_load(&mut workload, seed + 300, 20).await;
        let report = trial.check(workload).await;
        expect_that!(report.complete + report.unknown, eq(140), "{report}");
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn loses_and_duplicates_nothing_when_an_entry_is_frozen_beyond_its_lease() {
    let trial = start().await;
    let mut workload = Workload::default();
    trial.generate_load(&mut workload, 43, 10).await;
    trial.fleet.entries[0].signal(Signal::Stop).unwrap();
    trial.generate_load(&mut workload, 143, 20).await;
    tokio::time::sleep(LEASE_EXPIRY_TIME).await;
    trial.fleet.entries[0].signal(Signal::Continue).unwrap();
    trial.generate_load(&mut workload, 243, 20).await;
    let report = trial.check(workload).await;
    expect_that!(report.complete + report.unknown, eq(100), "{report}");
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn loses_and_duplicates_nothing_when_the_leader_is_partitioned() {
    for seed in SEEDS {
        let trial = Trial::start(relayed_settings()).await;
        let leader = trial.wait_for_leader().await;
        let name = trial.fleet.controls[leader].name().to_owned();
        let mut workload = Workload::default();
        trial.generate_load(&mut workload, seed, 10).await;
        trial.fleet.links.partition(&name);
        trial.generate_load(&mut workload, seed + 100, 20).await;
        tokio::time::sleep(LEASE_EXPIRY_TIME).await;
        let other = (leader + 1) % 3;
        let text = text::with_name("while the leader is cut off");
        wait_until(
            "the acceptance of a text without the old leader",
            || async {
                let posted = trial.fleet.post_text(other, &text, 1, "while-cut").await;
                posted.is_ok_and(|answer| answer.status.is_success())
            },
        )
        .await;
        trial.generate_load(&mut workload, seed + 200, 20).await;
        trial.fleet.links.heal(&name);
        trial.generate_load(&mut workload, seed + 300, 20).await;
        let report = trial.check(workload).await;
        expect_that!(report.complete + report.unknown, eq(140), "{report}");
        wait_until("the new text at every entry", || async {
            (0..3).all(|index| trial.fleet.versions_in_force(index).last() == Some(&2))
        })
        .await;
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn refuses_bookings_without_running_them_at_a_partitioned_entry() {
    let trial = Trial::start(relayed_settings()).await;
    let mut workload = Workload::default();
    trial.fleet.links.partition("entry-1");
    trial.generate_load(&mut workload, 48, 20).await;
    tokio::time::sleep(LEASE_EXPIRY_TIME).await;
    let settings = load::Settings {
        max_attempts: 1,
        ..trial.fleet.caller_settings()
    };
    let caller = Caller::new(settings);
    for number in 0..4 {
        let observation = caller.call_from(0, &booking(number)).await;
        expect_that!(
            observation.outcome,
            eq(&Outcome::Refused),
            "{observation:?}"
        );
    }
    trial.fleet.links.heal("entry-1");
    trial.fleet.wait_until_ready(0).await;
    trial.generate_load(&mut workload, 148, 10).await;
    let report = trial.check(workload).await;
    expect_that!(report.complete + report.unknown, eq(60), "{report}");
    let keys = trial.plains[0].ledger().by_key();
    expect_that!(keys.contains_key("booking-0"), eq(false));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn serves_over_links_that_are_reset_repeatedly() {
    let trial = Trial::start(relayed_settings()).await;
    let mut workload = Workload::default();
    for round in 0..6 {
        let name = format!("control-{}", round % 3 + 1);
        trial.fleet.links.set_mode(&name, Mode::Reset);
        trial.generate_load(&mut workload, 44 + round, 4).await;
        trial.fleet.links.set_mode(&name, Mode::Pass);
        trial.generate_load(&mut workload, 54 + round, 4).await;
    }
    let report = trial.check(workload).await;
    expect_that!(report.complete + report.unknown, eq(96), "{report}");
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn keeps_texts_and_claims_when_a_second_data_folder_is_lost_after_the_repair_of_the_first() {
    let mut trial = start().await;
    let output = trial
        .fleet
        .submit(&text::with_name("second"), 1, "second")
        .await;
    expect_that!(output.unwrap().exit_code, eq(0));
    let caller = trial.retrying_caller();
    expect_that!(
        caller.call(&booking(1)).await.outcome,
        eq(&Outcome::Complete)
    );
    let first = trial.wait_for_leader().await;
    for index in [first, (first + 1) % 3] {
        let name = restart_without_data(&mut trial, index).await;
        let message = format!("repair done: {name}/");
        wait_until("the end of the repair", || async {
            trial.fleet.logs().contains(&message)
        })
        .await;
    }
    expect_that!(trial.fleet.version().await, eq(2));
    let mut workload = Workload::default();
    workload.add(&caller, booking(1));
    trial.generate_load(&mut workload, 45, 10).await;
    let report = trial.check(workload).await;
    expect_that!(report.complete, eq(21), "{report}");
    expect_that!(trial.plains[0].ledger().by_key()["booking-1"], eq(1));
}

/// Kills a control process, restarts it with an empty data folder and returns its name.
async fn restart_without_data(trial: &mut Trial, index: usize) -> String {
    let name = trial.fleet.controls[index].name().to_owned();
    let folder = trial.fleet.data_folder(&name);
    trial.fleet.controls[index].kill().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    std::fs::create_dir_all(&folder).unwrap();
    trial.fleet.controls[index].restart().unwrap();
    trial.fleet.wait_until_answering(index).await;
    name
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn accepts_one_of_two_texts_that_operators_submit_on_the_same_base() {
    let trial = start().await;
    for base in 1..4 {
        let (left, right) = (text::with_name("left"), text::with_name("right"));
        let (left_id, right_id) = (format!("left-{base}"), format!("right-{base}"));
        let both = tokio::join!(
            trial.fleet.submit(&left, base, &left_id),
            trial.fleet.submit(&right, base, &right_id),
        );
        let (left_output, right_output) = (both.0.unwrap(), both.1.unwrap());
        let mut codes = [left_output.exit_code, right_output.exit_code];
        codes.sort_unstable();
        expect_that!(
            codes,
            eq([0, CONFLICT_EXIT_CODE]),
            "{left_output:?} {right_output:?}"
        );
        let (winner, id) = match left_output.exit_code {
            0 => (left, left_id),
            _ => (right, right_id),
        };
        let again = trial.fleet.submit(&winner, base, &id).await.unwrap();
        expect_that!(again.exit_code, eq(0), "{}", again.text);
        expect_that!(trial.fleet.version().await, eq(base + 1));
    }
    let mut workload = Workload::default();
    trial.generate_load(&mut workload, 46, 5).await;
    trial.check(workload).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn serves_the_newest_text_after_restarts_that_missed_300_changes() {
    const CHANGES: u64 = 300;
    let mut trial = start().await;
    let control = (trial.wait_for_leader().await + 1) % 3;
    trial.fleet.controls[control].kill().unwrap();
    trial.fleet.entries[2].kill().unwrap();
    let alive = (control + 1) % 3;
    for base in 1..=CHANGES {
        let (text, id) = (
            text::with_name(&format!("change {base}")),
            format!("c-{base}"),
        );
        wait_until("the acceptance of a text", || async {
            let posted = trial.fleet.post_text(alive, &text, base, &id).await;
            posted.is_ok_and(|answer| answer.status.is_success())
        })
        .await;
    }
    trial.fleet.controls[control].restart().unwrap();
    trial.fleet.wait_until_answering(control).await;
    let before = trial.fleet.versions_in_force(2).len();
    trial.fleet.entries[2].restart().unwrap();
    trial.fleet.wait_until_ready(2).await;
    // The entry is ready before the log's thread has written which text is in force.
    wait_until("the first text of the restarted entry", || async {
        trial.fleet.versions_in_force(2).len() > before
    })
    .await;
    expect_that!(
        trial.fleet.versions_in_force(2)[before..],
        elements_are![eq(&(CHANGES + 1))]
    );
    let mut workload = Workload::default();
    trial.generate_load(&mut workload, 47, 10).await;
    trial.check(workload).await;
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn refuses_bookings_without_running_them_when_there_is_no_quorum() {
    let mut trial = start().await;
    let leader = trial.wait_for_leader().await;
    for other in [1, 2] {
        trial.fleet.controls[(leader + other) % 3].kill().unwrap();
    }
    tokio::time::sleep(LEASE_EXPIRY_TIME).await;
    let caller = trial.fleet.caller();
    for number in 0..6 {
        let observation = caller.call(&booking(number)).await;
        expect_that!(
            observation.outcome,
            eq(&Outcome::Refused),
            "{observation:?}"
        );
    }
    expect_that!(trial.plains[0].ledger().by_key().is_empty(), eq(true));
    for other in [1, 2] {
        let control = (leader + other) % 3;
        trial.fleet.controls[control].restart().unwrap();
        trial.fleet.wait_until_answering(control).await;
    }
    let caller = trial.retrying_caller();
    for call in [booking(1), chat(1, 10)] {
        expect_that!(caller.call(&call).await.outcome, eq(&Outcome::Complete));
    }
}
