//! Connections to upstreams that entries keep idle.

use gateway::idle_limit;
use googletest::prelude::*;

#[test]
fn leaves_half_of_an_upstreams_connections_however_many_entries_keep_idle_ones() {
    for entries in [10, 100, 300, 2_200] {
        for max_connections in [110, 620, 880] {
            let idle = entries * idle_limit(Some(max_connections), entries);
            assert_that!(idle, le(max_connections / 2), "{entries} entries");
        }
    }
}

#[test]
fn keeps_some_connections_idle_at_a_few_entries() {
    assert_that!(idle_limit(Some(370), 10), eq(8));
    assert_that!(idle_limit(None, 10), eq(8));
}
