//! One scenario for each safeguard, which passes with the safeguard and fails without it.

use std::time::Duration;

use consensus::ids::NodeId;
use consensus::{Guards, Settings};
use googletest::prelude::*;

use crate::chaos::run;
use crate::world::World;

pub(crate) const SECOND: Duration = Duration::from_secs(1);

pub(crate) fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a group in which each append message has one entry.
pub(crate) fn single_entry_group(guards: Guards, voters: usize, seed: u64) -> World {
    let settings = Settings {
        max_append_bytes: 1,
        settle_after: 60 * SECOND,
        repair_after: 3_600 * SECOND,
        guards,
        ..Settings::default()
    };
    World::new(settings, voters, 0, seed)
}

/// Returns the first violation that the checks found.
pub(crate) fn first_violation(world: &World) -> Option<String> {
    world.violations.first().cloned()
}

/// Blocks all messages to the leader; returns whether a leader with a lease exists afterwards.
fn block_messages_to_leader(guards: Guards) -> bool {
    let mut world = single_entry_group(guards, 3, 1);
    let leader = world.elect();
    for other in world.others(&leader) {
        world.cut(&other, &leader);
    }
    world.run(2 * SECOND);
    world.run_until(10 * SECOND, |world| world.leader().is_some())
}

#[gtest]
fn check_quorum_lets_others_lead_if_the_leader_receives_nothing() {
    expect_true!(block_messages_to_leader(Guards::ON));
    let guards = Guards {
        check_quorum: false,
        ..Guards::ON
    };
    expect_false!(block_messages_to_leader(guards));
}

/// Waits until one of `names` is elected. Callers block entries to the other voters, so that the
/// first entry of the leader stays on its own disk.
fn elect_among(world: &mut World, names: &[NodeId]) -> NodeId {
    let leads = |world: &World| {
        let mut up = names
            .iter()
            .filter(|name| world.servers[*name].node.is_some());
        up.find(|name| world.node(name).is_leader()).cloned()
    };
    assert!(world.run_until(20 * SECOND, |world| leads(world).is_some()));
    let leader = leads(world).unwrap();
    world.run(millis(100));
    leader
}

/// Replicates entry 3 of an earlier term to a majority, and then elects a voter that holds an entry
/// of a later term at that index. Committing entry 3 by its replicas alone would lose it.
fn overwrite_earlier_term(guards: Guards) -> Option<String> {
    let mut world = single_entry_group(guards, 5, 1);
    let first = world.elect();
    world.run(SECOND);
    let [second, rest @ ..] = &world.others(&first)[..] else {
        panic!("five voters");
    };
    let (second, rest) = (second.clone(), rest.to_vec());
    world.entries_blocked_to = rest.iter().cloned().collect();
    world.propose(&first);
    world.run(millis(200));
    world.kill(&first);
    world.isolate(&second);
    world.entries_blocked_to = world.servers.keys().cloned().collect();
    let later = elect_among(&mut world, &rest);
    world.kill(&later);
    world.cuts.clear();
    world.start(&first);
    world.entries_blocked_to.clear();
    world.entries_blocked_from = Some(4);
    elect_among(&mut world, &[first.clone(), second.clone()]);
    world.run(millis(300));
    world.kill(&first);
    world.kill(&second);
    world.entries_blocked_from = None;
    world.start(&later);
    world.run(5 * SECOND);
    world.end_faults();
    world.run(5 * SECOND);
    first_violation(&world)
}

#[gtest]
fn commit_own_term_keeps_entries_that_a_majority_holds() {
    expect_that!(overwrite_earlier_term(Guards::ON), none());
    let guards = Guards {
        commit_own_term: false,
        ..Guards::ON
    };
    let violation = overwrite_earlier_term(guards);
    expect_that!(violation, some(contains_substring("was committed")));
}

/// Truncates an open proposal from the log of its proposer, and then lets another voter that holds
/// it commit it.
fn commit_truncated_entry(guards: Guards) -> Option<String> {
    let mut world = single_entry_group(guards, 5, 1);
    let first = world.elect();
    world.run(SECOND);
    let [second, rest @ ..] = &world.others(&first)[..] else {
        panic!("five voters");
    };
    let (second, rest) = (second.clone(), rest.to_vec());
    world.entries_blocked_to = rest.iter().cloned().collect();
    world.propose(&first);
    world.run(millis(200));
    world.isolate(&first);
    world.isolate(&second);
    world.entries_blocked_to = world.others(&first).into_iter().collect();
    let later = elect_among(&mut world, &rest);
    world
        .cuts
        .retain(|(from, to)| *from == second || *to == second);
    world.run(millis(500));
    world.kill(&later);
    world.cuts.clear();
    world.isolate(&first);
    world.entries_blocked_to.clear();
    world.run(8 * SECOND);
    world.end_faults();
    world.run(5 * SECOND);
    first_violation(&world)
}

#[gtest]
fn report_lost_after_commit_reports_no_proposal_as_lost_that_takes_effect() {
    expect_that!(commit_truncated_entry(Guards::ON), none());
    let guards = Guards {
        report_lost_after_commit: false,
        ..Guards::ON
    };
    let violation = commit_truncated_entry(guards);
    expect_that!(violation, some(contains_substring("reported as lost")));
}

/// Commits an entry with a voter whose disk hangs, and then restarts that voter while the other
/// holder is down.
fn crash_with_unsynced_entry(guards: Guards) -> Option<String> {
    let mut world = single_entry_group(guards, 3, 1);
    let leader = world.elect();
    world.run(SECOND);
    let [hung, isolated] = world.others(&leader).try_into().unwrap();
    world.isolate(&isolated);
    world.servers.get_mut(&hung).unwrap().is_disk_hung = true;
    world.propose(&leader);
    world.run(millis(200));
    world.kill(&hung);
    world.kill(&leader);
    world.servers.get_mut(&hung).unwrap().is_disk_hung = false;
    world.cuts.clear();
    world.start(&hung);
    world.run(5 * SECOND);
    world.commit(1);
    first_violation(&world)
}

#[gtest]
fn sync_before_answer_keeps_entries_over_a_crash() {
    expect_that!(crash_with_unsynced_entry(Guards::ON), none());
    let guards = Guards {
        sync_before_answer: false,
        ..Guards::ON
    };
    let violation = crash_with_unsynced_entry(guards);
    expect_that!(violation, some(contains_substring("was committed")));
}

/// Reconnects a voter after a minute of isolation, and returns by how much the term grew.
fn rejoin_after_isolation(guards: Guards) -> u64 {
    let mut world = single_entry_group(guards, 3, 1);
    let leader = world.elect();
    let isolated = world.others(&leader)[0].clone();
    let before = world.node(&leader).term();
    world.isolate(&isolated);
    world.run(60 * SECOND);
    world.cuts.clear();
    world.run(5 * SECOND);
    let leader = world.elect();
    world.node(&leader).term() - before
}

#[gtest]
fn pre_vote_keeps_a_returning_voter_from_raising_the_term() {
    expect_that!(rejoin_after_isolation(Guards::ON), eq(0));
    let guards = Guards {
        pre_vote: false,
        ..Guards::ON
    };
    expect_that!(rejoin_after_isolation(guards), gt(0));
}

#[gtest]
fn disk_identity_keeps_a_voter_with_an_emptied_disk_from_voting() {
    let guards = Guards {
        disk_identity: false,
        ..Guards::ON
    };
    // A second vote elects two leaders in a term, or one that lacks a committed entry.
    let violations = any![
        contains_substring("lead in term"),
        contains_substring("was committed")
    ];
    expect_that!(run(60, 2, guards), err(violations));
}

/// Elects a leader among one voter that holds a committed entry and two that lack it.
fn elect_without_entry(guards: Guards, seed: u64) -> Option<String> {
    let mut world = single_entry_group(guards, 5, seed);
    let leader = world.elect();
    world.run(SECOND);
    let others = world.others(&leader);
    world.entries_blocked_to = others[2..].iter().cloned().collect();
    world.commit(1);
    world.kill(&leader);
    world.kill(&others[0]);
    world.entries_blocked_to.clear();
    world.run(5 * SECOND);
    world.end_faults();
    world.run(5 * SECOND);
    first_violation(&world)
}

#[gtest]
fn log_up_to_date_keeps_committed_entries() {
    let guards = Guards {
        log_up_to_date: false,
        ..Guards::ON
    };
    let with_guard: Vec<String> = (1..=10)
        .filter_map(|seed| elect_without_entry(Guards::ON, seed))
        .collect();
    let without_guard: Vec<String> = (1..=10)
        .filter_map(|seed| elect_without_entry(guards, seed))
        .collect();
    expect_that!(with_guard, is_empty());
    expect_that!(without_guard, not(is_empty()));
    expect_that!(without_guard, each(contains_substring("was committed")));
}

/// Removes two of five voters without waiting for the first change to be committed. The leader
/// reaches only one other voter meanwhile.
fn change_twice(guards: Guards) -> Option<String> {
    let mut world = single_entry_group(guards, 5, 1);
    let leader = world.elect();
    world.run(SECOND);
    let others = world.others(&leader);
    let side = [leader.clone(), others[0].clone()];
    for (from, to) in others[1..]
        .iter()
        .flat_map(|other| side.iter().map(move |name| (other, name)))
    {
        world.cut(from, to);
        world.cut(to, from);
    }
    for removed in &others[2..] {
        let removed = world.servers[removed].me.clone();
        world.change(&leader, |membership| membership.without(&removed));
    }
    world.run(5 * SECOND);
    world.end_faults();
    world.run(5 * SECOND);
    first_violation(&world)
}

#[gtest]
fn single_change_keeps_quorums_overlapping() {
    expect_that!(change_twice(Guards::ON), none());
    let guards = Guards {
        single_change: false,
        ..Guards::ON
    };
    expect_that!(
        change_twice(guards),
        some(contains_substring("was committed"))
    );
}

#[gtest]
fn spare_up_to_date_keeps_a_repair_open_until_the_spare_holds_the_log() {
    let guards = Guards {
        spare_up_to_date: false,
        ..Guards::ON
    };
    expect_that!(
        run(60, 1, guards),
        err(contains_substring("repair is done, but"))
    );
}

/// Lets a second leader change the membership before it committed an entry of its term, while two
/// disks still hold an uncommitted change of the first leader.
fn change_before_own_commit(guards: Guards) -> Option<String> {
    let settings = Settings {
        repair_after: 3_600 * SECOND,
        guards,
        ..Settings::default()
    };
    let mut world = World::new(settings, 4, 1, 1);
    let spare = NodeId::from("e");
    let first = world.elect();
    world.run(3 * SECOND);
    let others = world.others(&first);
    let voters: Vec<NodeId> = others.into_iter().filter(|name| *name != spare).collect();
    world.entries_blocked_to = voters.iter().cloned().collect();
    let added = world.servers[&spare].me.clone();
    assert!(world.change(&first, |membership| membership.with_voter(&added)));
    world.run(millis(200));
    world.kill(&first);
    world.kill(&spare);
    let second = elect_among(&mut world, &voters);
    let rest: Vec<NodeId> = voters.into_iter().filter(|name| *name != second).collect();
    let removed = world.servers[&rest[0]].me.clone();
    world.entries_blocked_to = [rest[0].clone()].into();
    world.change(&second, |membership| membership.without(&removed));
    world.run(millis(300));
    world.kill(&second);
    world.kill(&rest[1]);
    world.entries_blocked_to.clear();
    world.start(&first);
    world.start(&spare);
    world.run(8 * SECOND);
    world.end_faults();
    world.run(5 * SECOND);
    first_violation(&world)
}

#[gtest]
fn own_term_before_change_keeps_quorums_overlapping() {
    expect_that!(change_before_own_commit(Guards::ON), none());
    let guards = Guards {
        own_term_before_change: false,
        ..Guards::ON
    };
    let violation = change_before_own_commit(guards);
    expect_that!(violation, some(contains_substring("was committed")));
}
