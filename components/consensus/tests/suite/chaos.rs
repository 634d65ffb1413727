//! Random faults in a simulated group.

use std::time::Duration;

use consensus::ids::NodeId;
use consensus::{Guards, Settings};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use crate::world::World;

/// A fault, its end, a request or a wait.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// Kills a process.
    Kill(usize),
    /// Kills a process and empties its disk, unless the group would lose its quorum.
    Wipe(usize),
    /// Starts all processes that are down.
    Start,
    /// Cuts all connections of a process in both directions.
    Isolate(usize),
    /// Cuts one direction between two processes.
    Cut(usize, usize),
    /// Restores all connections.
    Heal,
    /// Freezes a process for a number of milliseconds.
    Freeze(usize, u64),
    /// Percentage of messages to lose, percentage to duplicate, and maximum delay in milliseconds.
    Network(u64, u64, u64),
    /// Makes the disk of a process full, or frees it.
    Full(usize, bool),
    /// Transfers the leadership.
    Transfer,
    /// Proposes a number of commands at every process.
    Propose(usize),
    /// Requests a read barrier at every process.
    Read,
    /// Advances the time by a number of milliseconds.
    Wait(u64),
    /// Moves the clock of a process forward by a number of milliseconds.
    Jump(usize, u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    const SERVERS: usize = 8;
    prop_oneof![
        2 => (0..SERVERS).prop_map(Fault::Kill),
        2 => (0..SERVERS).prop_map(Fault::Wipe),
        3 => Just(Fault::Start),
        2 => (0..SERVERS).prop_map(Fault::Isolate),
        2 => (0..SERVERS, 0..SERVERS).prop_map(|(from, to)| Fault::Cut(from, to)),
        3 => Just(Fault::Heal),
        2 => (0..SERVERS, 100u64..4_000).prop_map(|(server, time)| Fault::Freeze(server, time)),
        2 => (0u64..30, 0u64..20, 1u64..200)
            .prop_map(|(loss, duplicated, delay)| Fault::Network(loss, duplicated, delay)),
        1 => (0..SERVERS, any::<bool>()).prop_map(|(server, full)| Fault::Full(server, full)),
        1 => Just(Fault::Transfer),
        8 => (1usize..8).prop_map(Fault::Propose),
        3 => Just(Fault::Read),
        10 => (5u64..1_500).prop_map(Fault::Wait),
    ]
}

/// A simulated group and the faults to inject into it.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    voters: usize,
    spares: usize,
    /// Number of voters to which the group grows; 0 for none.
    goal: usize,
    seed: u64,
    faults: Vec<Fault>,
}

/// Returns a fault, which is a clock jump in one of eleven cases.
fn fault_or_jump() -> impl Strategy<Value = Fault> {
    prop_oneof![
        10 => fault(),
        1 => (0usize..8, 1u64..5_000).prop_map(|(server, time)| Fault::Jump(server, time)),
    ]
}

fn plan<F: Strategy<Value = Fault>>(fault: F) -> impl Strategy<Value = Plan> {
    let faults = prop::collection::vec(fault, 10..60);
    (
        prop_oneof![Just(3usize), Just(5)],
        0usize..3,
        any::<u64>(),
        faults,
    )
        .prop_map(|(voters, spares, seed, faults)| Plan {
            voters,
            spares,
            goal: 0,
            seed,
            faults,
        })
}

/// Returns a plan for three founders and two or three spares that grow to five voters.
fn growing_plan() -> impl Strategy<Value = Plan> {
    let faults = prop::collection::vec(fault(), 10..60);
    (2usize..4, any::<u64>(), faults).prop_map(|(spares, seed, faults)| Plan {
        voters: 3,
        spares,
        goal: 5,
        seed,
        faults,
    })
}

/// Settings with small limits, so that snapshots and their chunks occur often.
fn small_settings(guards: Guards) -> Settings {
    Settings {
        repair_after: Duration::from_secs(2),
        settle_after: Duration::from_secs(2),
        max_append_bytes: 200,
        max_chunk_bytes: 64,
        max_inflight: 4,
        snapshot_entries: 20,
        trailing_entries: 5,
        guards,
        ..Settings::default()
    }
}

fn name(world: &World, index: usize) -> NodeId {
    let names: Vec<&NodeId> = world.servers.keys().collect();
    names[index % names.len()].clone()
}

pub(crate) fn inject(world: &mut World, fault: &Fault) {
    match *fault {
        Fault::Kill(server) => world.kill(&name(world, server)),
        Fault::Wipe(server) => {
            let name = name(world, server);
            if world.tolerates_loss_of(&name) {
                world.wipe(&name);
            }
        }
        Fault::Start => world.start_all(),
        Fault::Isolate(server) => world.isolate(&name(world, server)),
        Fault::Cut(from, to) => world.cut(&name(world, from), &name(world, to)),
        Fault::Heal => world.cuts.clear(),
        Fault::Freeze(server, time) => {
            world.freeze(&name(world, server), Duration::from_millis(time));
        }
        Fault::Network(loss, duplicated, delay) => {
            world.loss_percent = loss;
            world.duplicate_percent = duplicated;
            world.max_delay_ms = delay;
        }
        Fault::Full(server, full) => {
            let name = name(world, server);
            world.servers.get_mut(&name).unwrap().is_disk_full = full;
        }
        Fault::Transfer => world.transfer(),
        Fault::Propose(count) => {
            let names: Vec<NodeId> = world.servers.keys().cloned().collect();
            for name in names {
                (0..count).for_each(|_| {
                    world.propose(&name);
                });
            }
        }
        Fault::Read => world.read_everywhere(),
        Fault::Wait(time) => world.run(Duration::from_millis(time)),
        Fault::Jump(server, time) => {
            world.jump(&name(world, server), Duration::from_millis(time));
        }
    }
}

/// Runs a plan, ends all faults, and fails with the first violation found or if the group
/// doesn't recover.
fn execute(plan: &Plan, guards: Guards) -> std::result::Result<(), String> {
    let settings = Settings {
        voters: plan.goal,
        ..small_settings(guards)
    };
    let mut world = World::new(settings, plan.voters, plan.spares, plan.seed);
    world.run(Duration::from_secs(3));
    for fault in &plan.faults {
        inject(&mut world, fault);
        if let Some(violation) = world.violations.first() {
            return Err(violation.clone());
        }
    }
    world.end_faults();
    let is_live = world.run_until_recovered(Duration::from_secs(60));
    match world.violations.first() {
        Some(violation) => Err(violation.clone()),
        None if !is_live => Err(format!("no progress after the faults: {}", world.summary())),
        None => Ok(()),
    }
}

pub(crate) fn run(cases: u32, seed: u64, guards: Guards) -> std::result::Result<(), String> {
    run_plans(cases, seed, plan(fault()), guards)
}

fn run_plans(
    cases: u32,
    seed: u64,
    plans: impl Strategy<Value = Plan>,
    guards: Guards,
) -> std::result::Result<(), String> {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    TestRunner::new(config)
        .run(&plans, |plan| {
            execute(&plan, guards).map_err(TestCaseError::fail)
        })
        .map_err(|error| error.to_string())
}

#[gtest]
fn can_stay_safe_and_recover_under_random_faults() {
    expect_that!(run(200, 1, Guards::ON), ok(anything()));
}

#[gtest]
fn keeps_the_log_consistent_when_clocks_jump() {
    let plans = plan(fault_or_jump());
    expect_that!(run_plans(100, 2, plans, Guards::ON), ok(anything()));
}

#[gtest]
fn can_stay_safe_and_recover_while_the_group_grows() {
    let plans = growing_plan();
    expect_that!(run_plans(200, 3, plans, Guards::ON), ok(anything()));
}
