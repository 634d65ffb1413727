//! Days of a service in an emulated cloud, planned by requests and by work.

mod cloud;
mod day;
mod load;
mod random;

use day::{Case, Outcome, run};
use placement::autoscaler::Economy;
use std::time::Duration;

#[test]
fn prints() {
    let d = Economy::default;
    let variants: Vec<(&str, Economy)> = vec![
        ("base", d()),
        (
            "keepwave",
            Economy {
                release_in_wave: false,
                ..d()
            },
        ),
        (
            "rise0",
            Economy {
                rise_time: Duration::ZERO,
                ..d()
            },
        ),
        (
            "rise5",
            Economy {
                rise_time: Duration::from_secs(5),
                ..d()
            },
        ),
        (
            "q.3",
            Economy {
                loss_probability: 0.3,
                ..d()
            },
        ),
        (
            "q.4w.5",
            Economy {
                loss_probability: 0.4,
                wave_loss_probability: 0.5,
                ..d()
            },
        ),
        (
            "w.2",
            Economy {
                wave_loss_probability: 0.2,
                ..d()
            },
        ),
        (
            "burst.25",
            Economy {
                burst_share: 0.25,
                ..d()
            },
        ),
        (
            "portion.33",
            Economy {
                portion: 0.33,
                ..d()
            },
        ),
        (
            "portion.1",
            Economy {
                portion: 0.1,
                ..d()
            },
        ),
        (
            "keep14",
            Economy {
                keep_time: Duration::from_secs(14),
                on_demand_use: Duration::from_secs(14),
                ..d()
            },
        ),
    ];
    let only = std::env::var("ONLY").ok();
    for (label, economy) in variants
        .iter()
        .filter(|(l, _)| only.as_ref().is_none_or(|o| o == l))
    {
        let mut sum = 0.0;
        for (name, base) in [
            (
                "quiet",
                Case {
                    mean: 36.0,
                    reclaims_s: (4.6, 45.0),
                    ..Case::default()
                },
            ),
            (
                "usual",
                Case {
                    mean: 50.0,
                    ..Case::default()
                },
            ),
            (
                "heavy",
                Case {
                    mean: 70.0,
                    ..Case::default()
                },
            ),
            (
                "tight",
                Case {
                    mean: 36.0,
                    max_count: 20,
                    ..Case::default()
                },
            ),
            (
                "calm",
                Case {
                    mean: 36.0,
                    reclaims_s: (1000.0, 1000.0),
                    ..Case::default()
                },
            ),
        ] {
            for by_work in [false, true] {
                if !by_work && std::env::var_os("OLD").is_none() {
                    continue;
                }
                let outcomes: Vec<Outcome> = (1..=5)
                    .map(|seed| {
                        run(&Case {
                            seed,
                            economy: economy.clone(),
                            is_balanced_by_work: by_work,
                            ..base.clone()
                        })
                    })
                    .collect();
                let mean = |f: fn(&Outcome) -> f64| outcomes.iter().map(f).sum::<f64>() / 5.0;
                sum += mean(Outcome::total);
                println!(
                    "{label:10} {name:6} by_work {by_work:5}: total {:6.0} paid {:6.0} missing {:6.1} start {:6.1} of {:6.0} orders {:5.1} refused {:4.1} at start {}",
                    mean(Outcome::total),
                    mean(|o| o.paid),
                    mean(|o| o.missing),
                    mean(|o| o.missing_at_start),
                    mean(|o| o.needed),
                    mean(|o| o.sent.len() as f64),
                    mean(|o| o
                        .sent
                        .iter()
                        .filter(|s| s.answer != Some(cloud::Answer::Accepted))
                        .count() as f64),
                    outcomes[0].at_start,
                );
            }
        }
        println!("{label:10} sum {sum:.0}");
    }
    if std::env::var_os("TRACE").is_some() {
        let o = run(&Case {
            mean: 50.0,
            ..Case::default()
        });
        for s in &o.sent {
            println!(
                "{:5.1} {:?} {} -> {} {:?} {}",
                s.at_s, s.order.slot, s.before, s.order.count, s.answer, s.order.reason
            );
        }
        for (t, a, b) in o.counts.iter().step_by(4) {
            println!("{t:5.1} {a} {b}");
        }
    }
}
