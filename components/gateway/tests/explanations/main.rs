//! Explanations of choices, compared with the choices over many random states.

mod entry;

use std::time::Duration;

use config::ids::UpstreamId;
use config::text::{Balance, Kind};
use entry::{Entry, Request};
use gateway::balancer::{Candidate, Choice, Explanation, Reason, Shortage};
use googletest::prelude::*;
use indexmap::IndexSet;

const SEEDS: u64 = 4;
const STEPS: usize = 600;
const SERVICES: [(Kind, Balance); 4] = [
    (Kind::Model, Balance::ByWork),
    (Kind::Model, Balance::ByRequests),
    (Kind::Plain, Balance::ByWork),
    (Kind::Plain, Balance::ByRequests),
];
const REASONS: [Reason; 10] = [
    Reason::Leaving,
    Reason::Superseded,
    Reason::Excluded,
    Reason::OtherVersion,
    Reason::Paused,
    Reason::NoPermit,
    Reason::NoPlace,
    Reason::LeaseExpired,
    Reason::Ejected,
    Reason::Refusing,
];

/// What was seen in a run, so that a test that compares nothing fails.
#[derive(Debug, Default)]
struct Seen {
    reasons: IndexSet<String>,
    chosen: u32,
    second_places: u32,
    no_upstream: u32,
    overloaded: u32,
}

impl Seen {
    fn add(&mut self, explanation: &Explanation) {
        let reasons = explanation.left_out.iter();
        self.reasons
            .extend(reasons.map(|left_out| left_out.reason.to_string()));
        match &explanation.result {
            Ok(choice) => {
                self.chosen += 1;
                self.second_places += u32::from(is_second_place(choice));
            }
            Err(Shortage::NoUpstream) => self.no_upstream += 1,
            Err(Shortage::Overloaded(_)) => self.overloaded += 1,
        }
    }
}

fn is_second_place(choice: &Choice) -> bool {
    choice.reason.contains("as the second place")
}

/// Runs random events, and passes what was explained before each choice to `check`, with the choice.
fn run(check: impl FnMut(&Entry, &Explanation, std::result::Result<&Choice, &Shortage>)) {
    run_with(Entry::explain, check);
}

fn run_with(
    explain: fn(&Entry, &Request) -> Explanation,
    mut check: impl FnMut(&Entry, &Explanation, std::result::Result<&Choice, &Shortage>),
) {
    for (kind, balance) in SERVICES {
        for seed in 0..SEEDS {
            let mut entry = Entry::new(kind, balance, seed);
            for _ in 0..STEPS {
                entry.change();
                let request = entry.request();
                let explanation = explain(&entry, &request);
                let chosen = entry.choose(&request);
                check(&entry, &explanation, chosen.as_ref());
                entry.keep(chosen);
            }
        }
    }
}

/// Guards against an explanation that differs from the choice, and one that counts or learns something.
#[test]
fn explains_what_is_chosen_next_and_changes_nothing() {
    let explain = |entry: &Entry, request: &Request| {
        let before = format!("{:?}", entry.balancer);
        let explanation = entry.explain(request);
        let after = format!("{:?}", entry.balancer);
        assert_eq!(before, after, "explaining changed the state");
        explanation
    };
    let mut seen = Seen::default();
    run_with(explain, |_, explanation, chosen| {
        assert_eq!(explanation.result.as_ref(), chosen);
        seen.add(explanation);
    });
    println!("{seen:?}");
    for reason in REASONS {
        let reason = reason.to_string();
        assert_that!(seen.reasons.contains(&reason), eq(true), "{reason}");
    }
    assert_that!(seen.chosen, ge(1_000));
    assert_that!(seen.second_places, ge(1));
    assert_that!(seen.no_upstream, ge(10));
    assert_that!(seen.overloaded, ge(10));
}

/// Guards against candidates in another order, or with other estimates, than those that decided.
#[test]
fn lists_the_candidates_as_they_were_compared() {
    run(|_, explanation, chosen| {
        let Ok(choice) = chosen else {
            return;
        };
        let candidates = &explanation.candidates;
        let candidate = candidates.iter().find(|c| c.upstream == choice.upstream);
        let candidate = candidate.expect("the chosen upstream is a candidate");
        if is_second_place(choice) {
            return;
        }
        let expected_ms = choice.expected_first_event.as_secs_f64() * 1_000.0;
        assert_eq!(candidate.first_event_ms, expected_ms);
        assert_eq!(candidate.computed_tokens, choice.uncached_tokens);
        assert_eq!(candidate.in_flight, choice.in_flight);
        assert!(candidate.first_event_ms <= candidate.limit_ms);
        assert_eq!(Some(candidate), decided(candidates));
    });
}

/// Returns the candidate that the documented rule chooses: the lowest score of the first group with one
/// in time.
fn decided(candidates: &[Candidate]) -> Option<&Candidate> {
    let groups = candidates.iter().filter_map(|candidate| candidate.group);
    let last = groups.max()?;
    let lowest = |group: usize| {
        let compared = candidates.iter();
        let compared = compared.filter(|c| c.group.is_some_and(|own| own <= group));
        compared.min_by(|a, b| a.score.total_cmp(&b.score))
    };
    let mut best = (1..=last).filter_map(lowest);
    best.find(|best| best.first_event_ms <= best.limit_ms)
}

/// Guards against upstreams that an explanation doesn't mention, or mentions twice.
#[test]
fn mentions_each_upstream_of_the_service_once() {
    run(|entry, explanation, _| {
        let candidates = explanation.candidates.iter().map(|c| &c.upstream);
        let left_out = explanation.left_out.iter().map(|l| &l.upstream);
        let mut mentioned: Vec<&UpstreamId> = candidates.chain(left_out).collect();
        mentioned.sort_unstable();
        let count = mentioned.len();
        mentioned.dedup();
        assert_eq!(mentioned.len(), count);
        assert_eq!(count, entry.balancer.len());
    });
}

/// Guards against upstreams of other services in an explanation, and a panic for an unknown one.
#[test]
fn explains_that_an_unknown_service_has_no_upstream() {
    let entry = Entry::new(Kind::Plain, Balance::Auto, 1);
    let request = Request {
        service: "unknown".into(),
        ..Request::default()
    };
    let explanation = entry.explain(&request);
    assert_that!(explanation.candidates, is_empty());
    assert_that!(explanation.left_out, is_empty());
    assert_that!(explanation.result, err(eq(&Shortage::NoUpstream)));
}

/// Guards against an entry that explains nothing once all leases have expired: it still serves.
#[test]
fn explains_a_choice_among_expired_leases() {
    let mut entry = Entry::new(Kind::Plain, Balance::ByRequests, 1);
    entry.pass_in_silence(Duration::from_secs(20));
    let explanation = entry.explain(&Request::default());
    assert_that!(explanation.result, ok(anything()));
    assert_that!(explanation.left_out, is_empty());
    let leases: Vec<u64> = explanation.candidates.iter().map(|c| c.lease_ms).collect();
    assert_that!(leases, each(eq(&0)));
}
