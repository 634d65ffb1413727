//! Growth of the group to the number of voters in the settings.

use consensus::Settings;
use consensus::ids::NodeId;
use googletest::prelude::*;

use crate::repairs::wait_for_repairs;
use crate::scenarios::{SECOND, group};
use crate::world::World;

/// Returns a group of three founders that grows to five voters.
fn growing(spares: usize, seed: u64) -> World {
    let settings = Settings {
        voters: 5,
        ..group(3, spares, seed).settings
    };
    World::new(settings, 3, spares, seed)
}

/// Returns the voters by the leader's membership.
fn voters(world: &mut World) -> Vec<NodeId> {
    let leader = world.elect();
    let membership = world.node(&leader).membership();
    let voters = membership.voters.iter();
    voters.map(|voter| voter.node.clone()).collect()
}

fn wait_for_voters(world: &mut World, count: usize) -> bool {
    world.run_until(30 * SECOND, |world| {
        let leader = world.leader();
        leader.is_some_and(|leader| world.node(&leader).membership().voters.len() == count)
    })
}

#[gtest]
fn can_grow_to_five_voters_once_two_spares_hold_the_log() {
    for seed in 1..6 {
        let mut world = growing(2, seed);
        world.commit(100);
        expect_true!(wait_for_voters(&mut world, 5));
        world.commit(10);
        expect_that!(world.violations, is_empty());
    }
}

#[gtest]
fn keeps_three_voters_with_one_spare() {
    let mut world = growing(1, 1);
    world.commit(100);
    world.run(20 * SECOND);
    expect_that!(voters(&mut world), len(eq(3)));
}

#[gtest]
fn can_lose_two_disks_at_once_after_it_grew() {
    for (seed, with_leader) in [(1, false), (2, true), (3, false), (4, true)] {
        let mut world = growing(2, seed);
        let last = world.commit(50);
        expect_true!(wait_for_voters(&mut world, 5));
        let leader = world.elect();
        let others = world.others(&leader);
        let first = match with_leader {
            true => leader.clone(),
            false => others[2].clone(),
        };
        world.wipe(&first);
        world.wipe(&others[0]);
        let next = world.commit(10);
        expect_that!(next.index, gt(last.index));
        world.start(&first);
        world.start(&others[0]);
        expect_true!(wait_for_repairs(&mut world, 2));
        expect_that!(voters(&mut world), len(eq(5)));
        expect_that!(world.violations, is_empty());
    }
}

#[gtest]
fn goes_on_only_on_the_side_of_three_when_five_voters_are_split() {
    let mut world = growing(2, 7);
    world.commit(50);
    expect_true!(wait_for_voters(&mut world, 5));
    let leader = world.elect();
    let others = world.others(&leader);
    let minority = [leader.clone(), others[0].clone()];
    for (one, other) in minority
        .iter()
        .flat_map(|one| others[1..].iter().map(move |other| (one, other)))
    {
        world.cut(one, other);
        world.cut(other, one);
    }
    world.run(5 * SECOND);
    let committed = world.committed();
    let next = world.elect();
    expect_that!(minority.contains(&next), eq(false));
    world.commit(10);
    expect_that!(world.committed(), gt(committed));
    expect_that!(world.violations, is_empty());
}

#[gtest]
fn can_grow_from_one_founder_in_steps_of_two() {
    for (spares, expected) in [(1, 1), (2, 3), (3, 3), (4, 5)] {
        let settings = Settings {
            voters: 5,
            ..group(1, spares, 3).settings
        };
        let mut world = World::new(settings, 1, spares, 3);
        world.commit(50);
        expect_true!(wait_for_voters(&mut world, expected), "{spares} spares");
        world.run(20 * SECOND);
        expect_that!(voters(&mut world), len(eq(expected)), "{spares} spares");
        expect_that!(world.violations, is_empty());
    }
}
