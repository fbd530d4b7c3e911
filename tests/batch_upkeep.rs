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

fn with_wave(world: &mut World, max_at_once: u32) {
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
    assert_eq!(world.owner.plan_upkeep(&listed).len(), 1);
}

/// A machine whose order had no answer may be down: its tasks count as away.
#[test]
fn plan_upkeep_after_order_without_answer() {
    let mut world = World::new(2);
    world.submit("00000000000000a1", vec![lasting(2, 1)]);
    world.settle();
    with_wave(&mut world, 2);
    let listed = machines(&world);
    let first = world.owner.plan_upkeep(&listed).remove(0);
    world.owner.upkeep_unsure(&first, world.now);
    let others: Vec<Upkeep> = world.owner.plan_upkeep(&listed);
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
    assert!(world.owner.plan_upkeep(&listed).is_empty());
    world.submit("00000000000000a2", vec![batch::short(1)]);
    world.settle();
    assert_eq!(world.running().len(), 1, "no start on a machine that is being emptied");
    world.end_all(jacinthhook::batch::order::How::Done);
    world.settle();
    assert_eq!(world.owner.plan_upkeep(&listed).len(), 1);
}
