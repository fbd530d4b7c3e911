//! Maintenance of machines under lasting tasks, without I/O.

mod batch;

use batch::{World, lasting};
use indexmap::IndexMap;
use jacinthhook::batch::declared::Wave;
use jacinthhook::batch::upkeep::{Machine, MachineId, MachineState, Upkeep};
use std::time::Duration;

fn machines(world: &World) -> IndexMap<MachineId, Machine> {
    let machines = world.owner.workers.values().map(|w| Machine {
        id: w.listed.machine.clone(),
        pool: w.listed.pool.clone(),
        zone: w.listed.zone.clone(),
        state: MachineState::Up,
        worker: Some(w.listed.id.clone()),
    });
    machines.map(|m| (m.id.clone(), m)).collect()
}

/// Asks for maintenance of all machines, of an owner that is not fresh any more.
fn with_wave(world: &mut World, max_at_once: u32) {
    while !world.owner.touched.is_apart(world.now) {
        world.pass(Duration::from_millis(100));
        world.look_all();
    }
    let machines = world.owner.workers.values().map(|w| w.listed.machine.clone()).collect();
    let wave = Wave { number: 1, machines, within: Duration::from_secs(20), max_at_once };
    world.change(|in_force| {
        in_force.waves.insert(1, wave);
    });
}

/// Two machines chosen in one pass took two tasks of a step that may miss one (AVAIL on the first
/// scored days).
#[test]
fn plan_upkeep_two_machines_of_one_step() {
    let mut world = World::new(2);
    world.submit("00000000000000a1", vec![lasting(2, 1)]);
    world.settle();
    with_wave(&mut world, 2);
    let listed = machines(&world);
    assert_eq!(world.owner.plan_upkeep(&listed, world.now).len(), 1);
}

/// A task was lost between the choice of a machine and its order, which waits until the machine is
/// announced: its step may not miss another one (AVAIL on a hunt of tt-jobs).
#[test]
fn confirm_upkeep_after_loss() {
    let mut world = World::new(2);
    world.submit("00000000000000a1", vec![lasting(2, 1)]);
    world.settle();
    with_wave(&mut world, 2);
    let mut listed = machines(&world);
    let chosen = world.owner.plan_upkeep(&listed, world.now);
    assert_eq!(world.owner.confirm_upkeep(&chosen, &listed, world.now), chosen);
    let other = listed.keys().find(|id| **id != chosen[0].machine).expect("another").clone();
    listed[&other].state = MachineState::Upkeep;
    world.owner.machines_listed(&listed, world.now);
    assert_eq!(world.owner.confirm_upkeep(&chosen, &listed, world.now), []);
}

/// A stop of an earlier owner was under way at a worker that still listed the run, and the fresh owner
/// ended a second task of the step (AVAIL on hunt-79a2-31 of tt-jobs).
#[test]
fn plan_upkeep_fresh_owner_waits() {
    let mut world = World::new(1);
    let step = jacinthhook::batch::job::Step { max_per_worker: 0, ..lasting(2, 1) };
    world.submit("00000000000000a1", vec![step]);
    world.settle();
    let wave = Wave {
        number: 1,
        machines: machines(&world).keys().cloned().collect(),
        within: Duration::from_secs(20),
        max_at_once: 1,
    };
    world.change(|in_force| {
        in_force.waves.insert(1, wave);
    });
    let listed = machines(&world);
    assert!(world.owner.plan_upkeep(&listed, world.now).is_empty());
    assert!(world.owner.collect(world.now).orders.stops.is_empty(), "a task was stopped at once");
    world.now = Duration::from_secs(103);
    world.look_all();
    world.owner.plan_upkeep(&listed, world.now);
    assert_eq!(world.owner.collect(world.now).orders.stops.len(), 1);
}

/// A machine whose order had no answer may be down: its tasks count as away.
#[test]
fn plan_upkeep_after_order_without_answer() {
    let mut world = World::new(2);
    world.submit("00000000000000a1", vec![lasting(2, 1)]);
    world.settle();
    with_wave(&mut world, 2);
    let listed = machines(&world);
    let first = world.owner.plan_upkeep(&listed, world.now).remove(0);
    world.owner.upkeep_unsure(&first, world.now);
    let others: Vec<Upkeep> = world.owner.plan_upkeep(&listed, world.now);
    assert!(others.iter().all(|o| o.machine == first.machine), "{others:?}");
}

/// A short task is not thrown away: its machine gets no starts and goes when the task has ended.
#[test]
fn plan_upkeep_waits_for_short_task() {
    let mut world = World::new(1);
    world.submit("00000000000000a1", vec![batch::short(1)]);
    world.settle();
    with_wave(&mut world, 1);
    let listed = machines(&world);
    assert!(world.owner.plan_upkeep(&listed, world.now).is_empty());
    world.submit("00000000000000a2", vec![batch::short(1)]);
    world.settle();
    assert_eq!(world.running().len(), 1, "no start on a machine that is being emptied");
    world.end_all(jacinthhook::batch::order::How::Done);
    world.settle();
    assert_eq!(world.owner.plan_upkeep(&listed, world.now).len(), 1);
}

/// Lasting tasks of a step that stand on one machine hold up its maintenance for good (a wave missed
/// on quiet-1 of tt-jobs): they are spread, and moved off one by one where they are not.
#[test]
fn plan_upkeep_thins_out_a_machine() {
    let mut world = World::new(1);
    let step = jacinthhook::batch::job::Step { max_per_worker: 0, ..lasting(3, 1) };
    world.submit("00000000000000a1", vec![step.clone()]);
    world.settle();
    let more = (1..4).map(|i| batch::listed(&format!("w{i}"), i));
    let list = std::iter::once(batch::listed("w0", 0)).chain(more);
    world.owner.list(&list.map(|l| (l.id.clone(), l)).collect(), world.now);
    for i in 1..4 {
        let lists = batch::Lists { born: 1, ..Default::default() };
        world.lists.insert(format!("w{i}").as_str().into(), lists);
    }
    world.look_all();
    with_wave(&mut world, 1);
    let mut listed = machines(&world);
    listed.retain(|id, _| &**id == "m-0");
    world.change(|in_force| in_force.waves[&1].machines = vec!["m-0".into()]);
    let mut most_away = 0;
    for _ in 0..10 {
        if !world.owner.plan_upkeep(&listed, world.now).is_empty() {
            break;
        }
        let stops = world.stops.len();
        world.settle();
        most_away = most_away.max(world.stops.len() - stops);
        world.pass(Duration::from_millis(600));
        world.look_all();
    }
    assert!(!world.owner.plan_upkeep(&listed, world.now).is_empty());
    assert_eq!(most_away, 1, "more than one task was stopped at once");
    world.submit("00000000000000a2", vec![step]);
    world.settle();
    let new = world.running().into_iter().filter(|(_, t, _)| t.job.ends_with("a2"));
    let workers: std::collections::HashSet<_> = new.map(|(w, _, _)| w).collect();
    assert_eq!(workers.len(), 3, "tasks of a step share a machine without need");
}

/// The platform answers well when the maintenance was done already; the machine's tasks run on, so
/// none may start elsewhere (TWICE on trouble-1 --seed 540187408786 of tt-jobs).
#[test]
fn upkeep_began_earlier() {
    let mut world = World::new(2);
    world.submit("00000000000000a1", vec![lasting(1, 1)]);
    world.settle();
    let (worker, _, _) = world.running().remove(0);
    with_wave(&mut world, 1);
    let mut listed = machines(&world);
    let machine = world.owner.workers[&worker].listed.machine.clone();
    world.owner.upkeep_began(&Upkeep { machine: machine.clone(), wave: 1 });
    world.owner.machines_listed(&listed, world.now);
    assert!(world.decide().orders.starts.is_empty());
    listed[&machine].state = MachineState::Upkeep;
    world.owner.machines_listed(&listed, world.now);
    assert_eq!(world.decide().orders.starts.len(), 1);
}

/// Two machines that are due each held more of a step than it may miss, and both were thinned out in
/// one pass (AVAIL on quiet-1 of tt-jobs).
#[test]
fn plan_upkeep_thins_out_one_task_of_a_step() {
    let mut world = World::new(2);
    let step = jacinthhook::batch::job::Step { max_per_worker: 0, ..lasting(4, 1) };
    world.submit("00000000000000a1", vec![step]);
    world.settle();
    with_wave(&mut world, 2);
    let listed = machines(&world);
    assert!(world.owner.plan_upkeep(&listed, world.now).is_empty());
    assert_eq!(world.owner.collect(world.now).orders.stops.len(), 1);
}
