//! The margin of a group whose processes know a few others by their settings, over losses in a row.

use std::time::Duration;

use consensus::ids::NodeId;
use consensus::{Margin, Settings};
use googletest::prelude::*;

use crate::scenarios::SECOND;
use crate::world::World;

/// Time after a loss within which the group tolerates as many losses as before it, see
/// `docs/PROMISES.md`: twice `repair_after` and five election timeouts.
const RESTORED_AFTER: Duration = Duration::from_secs(6);
/// Time for which a process is down whose disk is emptied.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// Returns a group with three founders, which are the only processes that all others know at their
/// start.
fn seeded(processes: usize, seed: u64) -> World {
    let settings = Settings {
        heartbeat: Duration::from_millis(100),
        election_timeout: Duration::from_millis(400),
        repair_after: Duration::from_secs(2),
        voters: 5,
        snapshot_entries: 40,
        trailing_entries: 10,
        ..Settings::default()
    };
    let mut world = World::seeded(settings, 3, processes - 3, seed);
    world.commit(20);
    let margin = full_margin(processes);
    assert!(world.run_until(20 * SECOND, |world| has_margin(world, margin)));
    world
}

/// Returns how many losses a group of so many processes with a disk is to bear.
fn full_margin(processes: usize) -> usize {
    (processes.min(5) - 1) / 2
}

fn margin(world: &World) -> Option<Margin> {
    let leader = world.leader()?;
    world.node(&leader).margin()
}

/// Returns whether the group tolerates so many losses, and no voter has lost its disk.
fn has_margin(world: &World, wanted: usize) -> bool {
    margin(world).is_some_and(|margin| margin.tolerated >= wanted) && world.have_voters_disks()
}

/// A loss of one process.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// It comes back with an empty disk.
    Disk,
    /// Another one takes its place, under another name and with an empty disk.
    Process,
}

const LOSSES: [Loss; 2] = [Loss::Disk, Loss::Process];

/// Inflicts a loss; returns whether the group tolerates as many losses as before in time.
fn restores_margin(world: &mut World, name: &NodeId, loss: Loss) -> bool {
    let wanted = full_margin(world.servers.len());
    match loss {
        Loss::Disk => {
            world.wipe(name);
            world.run(DOWN_TIME);
            world.start(name);
        }
        Loss::Process => {
            world.replace(name);
        }
    }
    let left = RESTORED_AFTER.saturating_sub(match loss {
        Loss::Disk => DOWN_TIME,
        Loss::Process => Duration::ZERO,
    });
    world.run_until(left, |world| has_margin(world, wanted))
}

#[gtest]
fn rejoins_with_an_empty_disk_under_a_leader_that_its_settings_do_not_name() {
    for seed in 1..6 {
        let mut world = seeded(4, seed);
        world.replace("c");
        expect_true!(world.run_until(20 * SECOND, |world| has_margin(world, 1)));
        world.elect_unlisted();
        expect_true!(restores_margin(&mut world, &"a".into(), Loss::Disk));
        world.run(RESTORED_AFTER);
        let a = world.servers["a"].me.clone();
        let leader = world.elect();
        expect_true!(world.node(&leader).membership().contains(&a));
        expect_that!(world.violations, is_empty());
    }
}

#[gtest]
fn readmits_a_removed_voter_under_a_leader_that_it_never_knew() {
    for seed in 1..6 {
        let mut world = seeded(4, seed);
        world.kill("a");
        world.run(RESTORED_AFTER);
        world.replace("c");
        world.run(RESTORED_AFTER);
        world.replace("d");
        world.run(RESTORED_AFTER);
        world.elect_unlisted();
        world.start("a");
        world.run(RESTORED_AFTER);
        let a = world.servers["a"].me.clone();
        let leader = world.elect();
        let membership = world.node(&leader).membership();
        expect_true!(membership.contains(&a), "{}", world.summary());
        expect_that!(world.violations, is_empty());
    }
}

#[gtest]
fn never_grows_by_counting_a_voter_that_is_gone() {
    for seed in 1..6 {
        let mut world = seeded(4, seed);
        world.replace("c");
        world.run(RESTORED_AFTER);
        let margin = margin(&world).expect("a leader");
        expect_that!(margin.missing, is_empty(), "{}", world.summary());
        expect_that!(margin.tolerated, eq(1));
    }
}

#[gtest]
fn restores_its_margin_after_each_of_two_losses_of_any_processes() {
    let mut late = Vec::new();
    for processes in [4, 5, 6] {
        let pairs = (0..processes).flat_map(|first| (0..processes).map(move |next| (first, next)));
        for (first, next) in pairs {
            for (one, other) in LOSSES
                .iter()
                .flat_map(|one| LOSSES.map(|other| (*one, other)))
            {
                let mut world = seeded(processes, 1);
                for (index, loss) in [(first, one), (next, other)] {
                    let name = world.servers.keys().nth(index).expect("a process").clone();
                    if !restores_margin(&mut world, &name, loss) {
                        late.push(format!(
                            "{loss:?} of {name} in {processes}: {one:?} {first}, {other:?} {next}"
                        ));
                    }
                }
                expect_that!(world.violations, is_empty());
            }
        }
    }
    expect_that!(late, is_empty());
}

#[gtest]
fn survives_the_loss_of_its_margin_with_all_power_after_losses_in_a_row() {
    for seed in 1..31 {
        let processes = 4 + seed as usize % 3;
        let mut world = seeded(processes, seed);
        for step in 0..6 {
            let name = world.draw_process();
            let loss = LOSSES[(seed as usize + step) % 2];
            let restored = restores_margin(&mut world, &name, loss);
            expect_true!(restored, "seed {seed}, step {step}: {}", world.summary());
        }
        let last = world.commit(3);
        // The disks of the leader and of other voters are lost, and all processes end with them.
        let leader = world.elect();
        let membership = world.node(&leader).membership().clone();
        let others = membership.voters.iter().map(|voter| voter.node.clone());
        let others: Vec<_> = others.filter(|voter| *voter != leader).collect();
        let mut wiped = vec![leader];
        wiped.extend_from_slice(&others[1..]);
        wiped.truncate(full_margin(processes));
        let all: Vec<NodeId> = world.servers.keys().cloned().collect();
        all.iter().for_each(|name| world.kill(name));
        wiped.iter().for_each(|name| world.wipe(name));
        world.run(SECOND);
        world.start_all();
        let next = world.commit(3);
        expect_that!(next.index, gt(last.index), "seed {seed}");
        expect_that!(world.violations, is_empty(), "seed {seed}");
    }
}

/// Time for which a disk is full: longer than it takes to replace its voter.
const FULL_TIME: Duration = Duration::from_secs(4);

#[gtest]
fn commits_after_all_disks_were_full_one_after_the_other() {
    for (seed, processes) in [(1, 4), (2, 5), (3, 6), (4, 4), (5, 5), (6, 6)] {
        let mut world = seeded(processes, seed);
        let names: Vec<NodeId> = world.servers.keys().cloned().collect();
        for (turn, pause) in [SECOND, Duration::from_millis(100)].into_iter().enumerate() {
            for name in &names {
                world.servers.get_mut(name).expect("a process").is_disk_full = true;
                let end = world.now + FULL_TIME;
                while world.now < end {
                    world.commit(1);
                }
                world.servers.get_mut(name).expect("a process").is_disk_full = false;
                world.run(pause);
            }
            let last = world.committed();
            world.commit(5);
            expect_that!(world.committed(), ge(last + 5), "seed {seed}, turn {turn}");
            let wanted = full_margin(processes);
            let restored = world.run_until(RESTORED_AFTER, |world| has_margin(world, wanted));
            expect_true!(restored, "seed {seed}, turn {turn}: {}", world.summary());
        }
        expect_that!(world.violations, is_empty(), "seed {seed}");
    }
}
