//! Places at upstreams that bear few refusals, divided among entries.

use gateway::balancer::Position;
use googletest::prelude::*;

#[gtest]
fn the_shares_of_all_entries_are_the_places_of_an_upstream() {
    for count in [1, 2, 4, 9, 76, 2_200] {
        for places in [0, 1, 5, 64] {
            for upstream in ["a", "b", "i-3f2a"] {
                let shares =
                    (0..count).map(|index| Position { index, count }.share(upstream, places));
                expect_that!(shares.sum::<u32>(), eq(places), "{places} for {count}");
            }
        }
    }
}

#[gtest]
fn few_places_at_several_upstreams_go_to_different_entries() {
    let holders = |upstream: &str| -> Vec<u32> {
        let all = (0..9).map(|index| Position { index, count: 9 });
        let holds = |position: &Position| position.share(upstream, 3) > 0;
        all.filter(holds).map(|position| position.index).collect()
    };
    let mut all: Vec<u32> = ["a", "b", "c", "d", "e", "f", "g", "h"]
        .into_iter()
        .flat_map(holders)
        .collect();
    all.sort_unstable();
    all.dedup();
    expect_that!(all.len(), eq(9));
}
