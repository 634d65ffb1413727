//! Plans for a steady demand, and decisions by them.

mod fleet;

use std::time::Duration;

use admission::{Class, Load, MAX_CLASSES, Report, Row, Supply, Totals, account_key, hash};
use googletest::prelude::*;

use fleet::{Fleet, PERIOD, class, process, supply, usual_load};

/// Three ranks of 4 s of prompts a second each, of two accounts.
fn three_ranks() -> Vec<(Class, u64, u64, u64)> {
    let ranks = 0..3;
    ranks
        .flat_map(|rank| {
            [
                (class(rank, "shop"), 40, 50, 150),
                (class(rank, "farm"), 40, 50, 150),
            ]
        })
        .collect()
}

#[test]
fn admits_all_while_all_demand_fits() {
    let mut fleet = Fleet::new(three_ranks());
    fleet.pass(5, &supply(16.0));
    assert_that!(fleet.plan().admits_all(), eq(true));
    assert_that!(fleet.plan().share(class(2, "shop")), eq(1.0));
}

#[test]
fn admits_more_urgent_ranks_first_and_a_third_of_each() {
    let mut fleet = Fleet::new(three_ranks());
    // 8 s of prompts are asked for beyond 0.8 times the time of 10 engines, of 12 in all.
    fleet.pass(6, &supply(10.0));
    let share = |rank| fleet.plan().share(class(rank, "shop"));
    assert_that!(share(0), eq(1.0));
    assert_that!(share(1), near(0.667, 0.08));
    assert_that!(share(2), near(0.333, 0.04));
}

#[test]
fn serves_more_urgent_ranks_more_often_also_if_the_floors_do_not_fit() {
    let mut fleet = Fleet::new(three_ranks());
    fleet.pass(6, &supply(3.0));
    let share = |rank| fleet.plan().share(class(rank, "shop"));
    assert_that!(share(0), gt(share(1) * 1.2));
    assert_that!(share(1), ge(share(2)));
    assert_that!(share(2), ge(0.05));
}

/// Guards against an account within its fair share that is refused while one beyond it is served more.
#[test]
fn refuses_no_account_within_its_fair_share_while_another_one_of_the_rank_gets_more() {
    let rates = [5, 10, 20, 40, 40, 80, 300];
    let names: Vec<_> = (0..rates.len()).map(|n| format!("account-{n}")).collect();
    let accounts = names.iter().zip(rates);
    let asked = accounts.map(|(name, rate)| (class(1, name), rate, 50, 100));
    let mut fleet = Fleet::new(asked.collect());
    fleet.pass(8, &supply(16.0));
    let plan = fleet.plan();
    let admitted: Vec<_> = names
        .iter()
        .zip(rates)
        .map(|(name, rate)| plan.share(class(1, name)) * rate as f64)
        .collect();
    let most = admitted.iter().copied().fold(0.0, f64::max);
    for (admitted, rate) in admitted.iter().zip(rates) {
        let is_whole = *admitted >= rate as f64 * 0.98;
        assert_that!(
            is_whole || *admitted >= most * 0.9,
            eq(true),
            "{admitted} of {rate}, {most}"
        );
    }
    // 256 requests a second fit.
    assert_that!(admitted.iter().sum::<f64>(), near(256.0, 25.0));
}

/// Guards against the refusal of nearly all requests of an account that asks for many times more than
/// all others.
#[test]
fn admits_of_each_account_a_quarter_as_much_as_of_all() {
    let mut asked: Vec<_> = (0..60)
        .map(|number| (class(0, &format!("account-{number}")), 4, 50, 100))
        .collect();
    asked.push((class(0, "heavy"), 240, 50, 100));
    let mut fleet = Fleet::new(asked);
    fleet.pass(8, &supply(16.0));
    // 256 of 480 requests a second fit.
    assert_that!(
        fleet.plan().share(class(0, "heavy")),
        ge(0.25 * 256.0 / 480.0)
    );
}

#[test]
fn counts_places_as_well_as_prompts() {
    let long_prompts = (class(0, "shop"), 20, 100, 120);
    let long_answers = (class(1, "farm"), 400, 2, 4_000);
    let mut fleet = Fleet::new(vec![long_prompts, long_answers]);
    // 680 of the 1,600 places can be taken on average.
    fleet.pass(6, &supply(10.0));
    assert_that!(fleet.plan().share(class(0, "shop")), eq(1.0));
    assert_that!(fleet.plan().share(class(1, "farm")), near(0.42, 0.04));
}

#[test]
fn plans_nothing_in_the_first_second_and_nothing_from_what_is_old() {
    let mut fleet = Fleet::new(three_ranks());
    fleet.pass_periods(3, &supply(10.0), &usual_load(&supply(10.0)));
    assert_that!(fleet.planner.newest(fleet.now), none());
    fleet.pass(4, &supply(10.0));
    let before = fleet.now + Duration::from_millis(1_990);
    assert_that!(fleet.planner.newest(before), some(anything()));
    let after = fleet.now + Duration::from_millis(2_010);
    assert_that!(fleet.planner.newest(after), none());
}

#[test]
fn follows_lost_engines_within_two_periods() {
    let mut fleet = Fleet::new(three_ranks());
    fleet.pass(6, &supply(16.0));
    let half = supply(8.0);
    fleet.pass_periods(2, &half, &usual_load(&half));
    let admitted: f64 = (0..3)
        .map(|rank| fleet.plan().share(class(rank, "shop")) * 4.0)
        .sum();
    // 6.4 of 12 s of prompts can be computed in a second; the way is gone to three quarters.
    assert_that!(admitted, le(6.4 + 5.6 * 0.3));
}

#[test]
fn refuses_nothing_without_engines() {
    let mut fleet = Fleet::new(three_ranks());
    fleet.pass(4, &supply(0.0));
    assert_that!(fleet.plan().admits_all(), eq(true));
}

/// Guards against refusals by an estimate that is too low: half of the places are free, and nothing
/// waits.
#[test]
fn admits_more_while_engines_are_idle_and_less_while_they_are_full() {
    let idle = Load {
        requests: 100.0,
        waiting_ms: 0.0,
    };
    let full = Load {
        requests: 780.0,
        waiting_ms: 5_000.0,
    };
    let mut fleet = Fleet::new(three_ranks());
    fleet.pass(4, &supply(10.0));
    let before = fleet.plan().share(class(1, "shop"));
    fleet.pass_periods(12, &supply(10.0), &idle);
    assert_that!(fleet.plan().admits_all(), eq(true));
    fleet.pass_periods(12, &supply(10.0), &full);
    assert_that!(fleet.plan().share(class(1, "shop")), lt(before));
}

/// Guards against totals that are taken for the demand of the present, after a time without reports
/// or at a new leader.
#[test]
fn counts_nothing_from_before_the_first_report() {
    let mut fleet = Fleet::new(three_ranks());
    fleet.entry.ms = 3_600_000;
    fleet.pass(2, &supply(20.0));
    assert_that!(fleet.plan().admits_all(), eq(true));
    fleet.entry.ms += 3_600_000;
    fleet.now += Duration::from_secs(30);
    fleet.pass(2, &supply(20.0));
    assert_that!(fleet.plan().admits_all(), eq(true));
}

/// Guards against the loss of the first requests of a class in reports that hold only what has changed.
#[test]
fn counts_classes_that_are_new_since_a_whole_report() {
    let mut fleet = Fleet::new(vec![(class(0, "shop"), 10, 50, 100)]);
    fleet.pass(2, &supply(10.0));
    let row = |class, requests| Row {
        class,
        totals: Totals {
            requests,
            compute_ms: requests * 50,
            place_ms: requests * 100,
        },
    };
    let changed = Report {
        rows: vec![row(class(1, "farm"), 800)],
        ..Report::default()
    };
    fleet.now += PERIOD;
    fleet.planner.record(&process(1), &changed, fleet.now);
    fleet
        .planner
        .plan(&supply(10.0), &usual_load(&supply(10.0)), fleet.now);
    assert_that!(fleet.plan().share(class(1, "farm")), lt(0.8));
}

#[test]
fn decides_by_the_share_and_spreads_the_time_to_retry_evenly() {
    let mut fleet = Fleet::new(three_ranks());
    fleet.pass(6, &supply(10.0));
    let plan = fleet.plan();
    let hashes: Vec<u64> = (0..20_000).map(|n| hash(&format!("request-{n}"))).collect();
    let class = class(1, "shop");
    let refused: Vec<_> = hashes
        .iter()
        .filter(|hash| !plan.admits(class, **hash))
        .collect();
    let share = refused.len() as f64 / hashes.len() as f64;
    assert_that!(share, near(1.0 - plan.share(class), 0.02));
    let waits: Vec<_> = refused
        .iter()
        .map(|hash| plan.retry_after(**hash).as_secs_f64())
        .collect();
    let average = waits.iter().sum::<f64>() / waits.len() as f64;
    // The demand is 1.5 times the capacity.
    assert_that!(average, near(0.75, 0.1));
    assert_that!(
        waits.iter().copied().fold(f64::MAX, f64::min),
        near(average * 0.5, 0.02)
    );
    assert_that!(
        waits.iter().copied().fold(0.0, f64::max),
        near(average * 1.5, 0.02)
    );
}

#[test]
fn admits_accounts_and_ranks_that_the_plan_does_not_know() {
    let mut fleet = Fleet::new(three_ranks());
    fleet.pass(6, &supply(6.0));
    assert_that!(fleet.plan().share(class(2, "new")), eq(1.0));
    assert_that!(fleet.plan().share(class(5, "shop")), eq(1.0));
}

/// Guards against plans that grow with the number of accounts, and against accounts beyond that number
/// which nothing bounds.
#[test]
fn bounds_the_plan_for_any_number_of_accounts() {
    let named = (0..MAX_CLASSES).map(|number| (class(0, &format!("account-{number}")), 4, 50, 100));
    // An entry doesn't tell 2,744 further accounts apart.
    let others = (class(0, "another").others(), 2_744 * 4, 50, 100);
    let mut fleet = Fleet::new(named.chain([others]).collect());
    fleet.pass(8, &supply(100.0));
    let plan = fleet.plan();
    // 1,600 of 12,000 requests a second fit.
    assert_that!(plan.share(class(0, "another")), near(0.133, 0.02));
    let last = class(0, &format!("account-{}", MAX_CLASSES - 1));
    assert_that!(plan.share(last), near(0.133, 0.02));
    let text = format!("{plan:?}");
    assert_that!(text.len(), le(5_000));
}

#[test]
fn keeps_the_keys_of_accounts_apart() {
    assert_that!(
        account_key(Some("shop")),
        not(eq(account_key(Some("farm"))))
    );
    assert_that!(account_key(None), eq(account_key(Some(""))));
}

/// Guards against the refusal of everything by engines that don't state the places of their batches.
#[test]
fn counts_prompts_alone_where_places_are_not_known() {
    let unknown = |engines| Supply {
        places: 0.0,
        ..supply(engines)
    };
    let mut fleet = Fleet::new(three_ranks());
    fleet.pass(4, &unknown(16.0));
    assert_that!(fleet.plan().admits_all(), eq(true));
    let mut fleet = Fleet::new(three_ranks());
    let idle = Load::default();
    fleet.pass_periods(5, &unknown(4.0), &idle);
    assert_that!(fleet.plan().share(class(2, "shop")), lt(0.9));
}
