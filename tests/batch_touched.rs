//! Orders about machines under one owner after the other, without I/O.

mod batch;

use batch::{World, bounds, in_force, short};
use indexmap::IndexMap;
use jacinthhook::batch::declared::{Declarations, Pool};
use jacinthhook::batch::ledger::{Entry, TOUCHED};
use jacinthhook::batch::moves::Move;
use jacinthhook::batch::touched::ORDERED_WITHIN;
use jacinthhook::batch::upkeep::{Machine, MachineId, MachineState};
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "00000000000000a1";

/// A world without workers whose standby pool has three machines.
fn world(term: u64) -> (World, IndexMap<MachineId, Machine>) {
    let mut in_force = in_force();
    let mut declared = Declarations::clone(&in_force.declared);
    declared.pools.insert("spare".into(), Pool { guarded: true, standby: true });
    in_force.declared = Arc::new(declared);
    let machine = |i: usize| Machine {
        id: format!("s-{i}").into(),
        pool: "spare".into(),
        zone: format!("zone-{i}").into(),
        state: MachineState::Up,
        worker: None,
    };
    let machines = (0..3).map(machine).map(|m| (m.id.clone(), m)).collect();
    (World::with_term(term, in_force), machines)
}

/// Announces orders and stores them; answers the record.
fn announced(world: &mut World, machines: &[&str]) -> Entry {
    let machines: Vec<MachineId> = machines.iter().map(|m| MachineId::from(*m)).collect();
    let number = world.owner.touched.announce(machines.iter(), world.now);
    assert!(!world.owner.touched.is_stored(number), "an order before its record is stored");
    let batch = world.owner.collect(world.now);
    assert!(!world.owner.touched.is_stored(number), "an order before its record is stored");
    world.owner.stored(&batch);
    assert!(world.owner.touched.is_stored(number));
    let mut entries = batch.entries.into_iter();
    entries.find(|entry| &*entry.key == TOUCHED).expect("a record of the machines")
}

fn restore(world: &mut World, entry: &Entry) {
    let value = entry.value.as_ref().expect("a value");
    world.owner.restore(&entry.key, value, world.now);
}

fn moved(moves: &[Move]) -> Vec<&str> {
    let mut moved: Vec<&str> = moves.iter().map(|m| &*m.machine).collect();
    moved.sort();
    moved
}

/// Guards against two holders that take turns on one machine, and against an owner that moves nothing
/// at all in its first seconds (scale-1 --seed 11 of dglc-sched: five owners in ten seconds).
#[test]
fn later_owner_leaves_ordered_machines_alone() {
    let (mut first, _) = world(1);
    let entry = announced(&mut first, &["s-1"]);
    let (mut later, machines) = world(2);
    restore(&mut later, &entry);
    later.submit(JOB, vec![short(60)]);
    later.decide();
    let moves = later.owner.plan_moves(&machines, later.now);
    assert_eq!(moved(&moves), ["s-0", "s-2"]);
    later.now += bounds().holder_gap + ORDERED_WITHIN;
    moves.iter().for_each(|order| later.owner.move_refused(order));
    let moves = later.owner.plan_moves(&machines, later.now);
    assert_eq!(moved(&moves), ["s-1", "s-2"]);
}

/// Guards against a third owner that knows only of the second one's orders.
#[test]
fn record_names_machines_of_all_earlier_owners() {
    let (mut first, _) = world(1);
    let entry = announced(&mut first, &["s-1"]);
    let (mut second, _) = world(2);
    restore(&mut second, &entry);
    let entry = announced(&mut second, &["s-2"]);
    let (mut third, machines) = world(3);
    restore(&mut third, &entry);
    third.submit(JOB, vec![short(60)]);
    third.decide();
    let moves = third.owner.plan_moves(&machines, third.now);
    assert_eq!(moved(&moves), ["s-0"]);
}

/// Guards against a record that grows with every machine that was ever moved.
#[test]
fn record_drops_old_orders() {
    let (mut first, machines) = world(1);
    announced(&mut first, &["s-1"]);
    first.now += bounds().holder_gap + ORDERED_WITHIN;
    first.owner.plan_moves(&machines, first.now);
    let entry = announced(&mut first, &["s-2"]);
    assert_eq!(entry.value.as_deref(), Some(&b"[[\"s-2\",0]]"[..]));
}

/// Guards against machines that stay untouched for the whole time again though their order was given
/// long before the owner ended (scale-1 --seed 11 of tt-jobs: 25 machines moved 3 s late).
#[test]
fn record_tells_age_of_orders() {
    let (mut first, _) = world(1);
    announced(&mut first, &["s-1"]);
    first.now += bounds().holder_gap;
    let entry = announced(&mut first, &["s-2"]);
    let (mut later, machines) = world(2);
    restore(&mut later, &entry);
    later.submit(JOB, vec![short(60)]);
    later.decide();
    later.now += ORDERED_WITHIN - Duration::from_millis(1);
    let moves = later.owner.plan_moves(&machines, later.now);
    assert_eq!(moved(&moves), ["s-0"]);
    later.now += Duration::from_millis(1);
    let moves = later.owner.plan_moves(&machines, later.now);
    assert_eq!(moved(&moves), ["s-1"]);
}

/// A record that cannot be read names no machine, and is noted.
#[test]
fn malformed_record_is_noted() {
    let (mut later, _) = world(2);
    let value = Some(b"{".to_vec().into());
    restore(&mut later, &Entry { key: TOUCHED.into(), value });
    assert_eq!(later.owner.collect(later.now).notes.len(), 1);
}
