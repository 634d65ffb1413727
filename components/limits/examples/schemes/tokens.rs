//! The token limit of one account over many entries, with the fleet of the tests.

use std::time::Duration;

use crate::simulation::{Fault, Outcome, Scenario, run};

/// Numbers of entries.
const ENTRIES: [usize; 4] = [10, 100, 300, 2_200];
/// When the account becomes hot, and the faults begin.
const HOT_AT: Duration = Duration::from_secs(20);

/// Prints how far the entries together exceed the limit, and what they admit below it.
pub(crate) fn print() {
    println!("tokens: entries load skew fault over_pct admitted_pct used_pct draws/s");
    for entries in ENTRIES {
        for (load, skew, fault) in cases() {
            let scenario = Scenario {
                entries,
                usual_load: load.min(0.6),
                hot_load: load,
                hot_at: HOT_AT,
                skew,
                fault,
                ..Scenario::default()
            };
            print_row(&scenario, run(&scenario));
        }
    }
}

fn cases() -> Vec<(f64, f64, Fault)> {
    let gap = Duration::from_millis(1_400);
    let at = HOT_AT + Duration::from_millis(700);
    let cut = |share| Fault::Cut {
        share,
        from: HOT_AT - Duration::from_secs(3),
        to: HOT_AT + Duration::from_secs(15),
    };
    let mut cases = Vec::new();
    for load in [0.6, 10.0] {
        cases.extend([
            (load, 0.0, Fault::None),
            (load, 0.5, Fault::None),
            (load, 1.0, Fault::None),
            (load, 0.0, Fault::NewLeader { at, gap }),
            (load, 0.0, Fault::Restart { at, gap }),
            (load, 0.0, cut(0.3)),
            (load, 0.0, cut(1.0)),
        ]);
    }
    cases
}

fn print_row(scenario: &Scenario, outcome: Outcome) {
    let fault = match scenario.fault {
        Fault::None => "none".to_owned(),
        Fault::NewLeader { .. } => "new-leader".to_owned(),
        Fault::Restart { .. } => "restart".to_owned(),
        Fault::Cut { share, .. } => format!("cut-{share}"),
    };
    println!(
        "{} {} {} {fault} {:.1} {:.1} {:.1} {:.1}",
        scenario.entries,
        scenario.hot_load,
        scenario.skew,
        100.0 * outcome.excess,
        100.0 * outcome.admitted,
        100.0 * outcome.used,
        outcome.draws,
    );
}
