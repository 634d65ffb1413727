//! Metrics of what was expected of the engines' caches.

use gateway::Metrics;
use googletest::prelude::*;

use crate::group::Group;

#[test]
fn shows_sources_and_cold_tokens_in_the_metrics() {
    let mut group = Group::new(1, 9);
    let home = group.ask(0, 1);
    group.pass(2_000);
    let other = group.ask_except(0, 1, std::slice::from_ref(&home.upstream));
    assert_that!(other.fetch_from, some(eq(home.address)));
    let metrics = Metrics::default();
    metrics.record_tally("model", &group.entry(0).take_tally());
    // What was taken is not counted again.
    metrics.record_tally("model", &group.entry(0).take_tally());
    let text = String::from_utf8(metrics.render()).expect("metrics are text");
    let known = r#"chervilloft_gateway_prompt_fetches_total{service="model",source="known"} 1"#;
    assert_that!(text, contains_substring(known));
    assert_that!(
        text,
        contains_substring(r#"chervilloft_gateway_cold_tokens_total{service="model"}"#)
    );
}
