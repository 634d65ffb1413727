//! Token limits of accounts at one entry.

use std::time::{Duration, Instant};

use config::ids::AccountId;
use gateway::Accounts;
use googletest::prelude::*;
use limits::{Decision, Rate};
use wire::{Balance, Balances};

const RATE: Rate = Rate {
    per_second: 100_000.0,
    burst: 100_000.0,
};

fn shop() -> AccountId {
    "shop".into()
}

fn balances(available: i64, allotment: u64) -> Balances {
    Balances {
        window_ms: 8_000,
        accounts: vec![(
            shop(),
            Balance {
                available,
                allotment,
            },
        )],
    }
}

/// Returns an entry to which the leader has sent a balance.
fn entry(available: i64, allotment: u64, now: Instant) -> Accounts {
    let mut accounts = Accounts::default();
    let number = accounts.statements(&[shop()], now).number;
    accounts.apply(number, &balances(available, allotment), now);
    accounts
}

fn take(accounts: &mut Accounts, tokens: u64, now: Instant) -> Decision {
    accounts.take(&shop(), RATE, tokens, now)
}

fn is_refused(decision: Decision) -> bool {
    matches!(decision, Decision::Refused { retry_after } if retry_after > Duration::ZERO)
}

#[test]
fn admits_nothing_before_the_leader_has_sent_a_part() {
    let now = Instant::now();
    let mut accounts = Accounts::default();
    assert_that!(take(&mut accounts, 200, now), eq(Decision::Draw));
    accounts.record_silence();
    assert_that!(is_refused(take(&mut accounts, 200, now)), eq(true));
}

#[test]
fn refuses_at_once_what_all_entries_spent_too_fast() {
    let now = Instant::now();
    let mut accounts = entry(-1, 500_000, now);
    assert_that!(is_refused(take(&mut accounts, 1_000, now)), eq(true));
}

#[test]
fn draws_once_for_a_request_beyond_the_part_and_then_refuses() {
    let now = Instant::now();
    let mut accounts = entry(50_000, 10_000, now);
    assert_that!(take(&mut accounts, 8_000, now), eq(Decision::Admitted));
    assert_that!(take(&mut accounts, 8_000, now), eq(Decision::Draw));
    let statements = accounts.draw(&shop(), 8_000, now);
    assert_that!(statements.accounts[0].1.recent, eq(8_000));
    assert_that!(statements.accounts[0].1.wanted, eq(8_000));
    accounts.apply(statements.number, &balances(42_000, 12_000), now);
    let decision = accounts.end_draw(&shop(), RATE, 8_000, now);
    assert_that!(is_refused(decision), eq(true));
    assert_that!(is_refused(take(&mut accounts, 8_000, now)), eq(true));
}

#[test]
fn leaves_an_account_out_of_reports_while_it_draws() {
    let now = Instant::now();
    let mut accounts = entry(50_000, 10_000, now);
    let draw = accounts.draw(&shop(), 20_000, now);
    assert_that!(accounts.statements(&[shop()], now).accounts, is_empty());
    accounts.apply(draw.number, &balances(50_000, 30_000), now);
    let statements = accounts.statements(&[shop()], now);
    assert_that!(statements.accounts[0].1.allotment, eq(30_000));
}

#[test]
fn ignores_an_answer_that_comes_after_a_later_statement() {
    let now = Instant::now();
    let mut accounts = entry(50_000, 10_000, now);
    let earlier = accounts.statements(&[shop()], now).number;
    let later = accounts.statements(&[shop()], now).number;
    accounts.apply(earlier, &balances(50_000, 90_000), now);
    assert_that!(take(&mut accounts, 20_000, now), eq(Decision::Draw));
    accounts.apply(later, &balances(50_000, 20_000), now);
    assert_that!(take(&mut accounts, 20_000, now), eq(Decision::Admitted));
}

#[test]
fn deducts_tokens_admitted_after_its_report_from_the_balance() {
    let now = Instant::now();
    let mut accounts = entry(50_000, 500_000, now);
    let number = accounts.statements(&[shop()], now).number;
    assert_that!(take(&mut accounts, 30_000, now), eq(Decision::Admitted));
    accounts.apply(number, &balances(50_000, 500_000), now);
    assert_that!(is_refused(take(&mut accounts, 30_000, now)), eq(true));
    let statements = accounts.statements(&[shop()], now);
    assert_that!(statements.accounts[0].1.total, eq(30_000));
}

#[test]
fn can_return_the_tokens_of_a_request_that_did_not_run() {
    let now = Instant::now();
    let mut accounts = entry(100_000, 10_000, now);
    assert_that!(take(&mut accounts, 10_000, now), eq(Decision::Admitted));
    accounts.put_back(&shop(), 10_000, now);
    assert_that!(take(&mut accounts, 10_000, now), eq(Decision::Admitted));
}

#[test]
fn keeps_to_its_part_within_any_window_while_the_leader_is_silent() {
    let now = Instant::now();
    let mut accounts = entry(100_000, 25_000, now);
    accounts.record_silence();
    let mut admitted = Vec::new();
    for step in 0..300 {
        let at = now + Duration::from_millis(step * 100);
        let is_admitted = take(&mut accounts, 5_000, at) == Decision::Admitted;
        admitted.push(u64::from(is_admitted) * 5_000);
    }
    let largest = admitted
        .windows(80)
        .map(|window| window.iter().sum::<u64>());
    assert_that!(largest.max(), some(eq(25_000)));
    assert_that!(admitted.iter().sum::<u64>(), ge(4 * 20_000));
}
