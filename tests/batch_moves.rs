//! Moves of machines between pools, without I/O.

mod batch;

use batch::{Cluster, long_running_step, short_step};
use indexmap::IndexMap;
use jacinthhook::batch::declarations::{Declarations, Pool};
use jacinthhook::batch::maintenance::{LATE_ORDER_WINDOW, Machine, MachineId, MachineState};
use jacinthhook::batch::moves::Move;
use jacinthhook::batch::orders::RunOutcome;
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "00000000000000a1";

/// Returns the machines of all workers, and `standby` machines in the standby pool.
fn machines(cluster: &mut Cluster, standby: usize) -> IndexMap<MachineId, Machine> {
    cluster.update_config(|active_config| {
        let mut declarations = Declarations::clone(&active_config.declarations);
        declarations.pools.insert("spare".into(), Pool { enforces_capacity: true, standby: true });
        active_config.declarations = Arc::new(declarations);
    });
    let active = cluster.owner.workers.values().map(|w| Machine {
        id: w.info.machine.clone(),
        pool: w.info.pool.clone(),
        zone: w.info.zone.clone(),
        state: MachineState::Up,
        worker: Some(w.info.id.clone()),
    });
    let spare = (0..standby).map(|i| Machine {
        id: format!("s-{i}").into(),
        pool: "spare".into(),
        zone: format!("zone-{}", i % 3).into(),
        state: MachineState::Up,
        worker: None,
    });
    active.chain(spare).map(|m| (m.id.clone(), m)).collect()
}

/// A pool with a deficit receives machines from the standby pool, and no machine is ordered twice.
#[test]
fn plan_moves_pool_deficit() {
    let mut cluster = Cluster::new(2);
    let machine_list = machines(&mut cluster, 3);
    cluster.submit(JOB, vec![short_step(60)]);
    cluster.decide();
    let moves = cluster.owner.plan_moves(&machine_list, cluster.now);
    assert!(!moves.is_empty());
    assert!(moves.iter().all(|m| &*m.to == "pool" && m.machine.starts_with("s-")), "{moves:?}");
    let repeated = cluster.owner.plan_moves(&machine_list, cluster.now);
    assert!(repeated.iter().all(|m| moves.iter().all(|n| n.machine != m.machine)), "{repeated:?}");
}

/// A machine moves to the standby pool only when nothing runs on it and it has not been wanted for
/// a while.
#[test]
fn plan_moves_unwanted_machine() {
    let mut cluster = Cluster::new(5);
    let machine_list = machines(&mut cluster, 0);
    cluster.submit(JOB, vec![long_running_step(1, 0)]);
    cluster.submit("00000000000000a2", vec![short_step(70)]);
    cluster.settle();
    assert_eq!(cluster.owner.plan_moves(&machine_list, cluster.now), []);
    cluster.finish_all(RunOutcome::Done);
    cluster.settle();
    assert_eq!(cluster.owner.plan_moves(&machine_list, cluster.now), []);
    cluster.advance(Duration::from_secs(3));
    let moves: Vec<Move> = cluster.owner.plan_moves(&machine_list, cluster.now);
    assert!(!moves.is_empty() && moves.len() <= 3, "{moves:?}");
    for order in &moves {
        let worker = cluster.owner.workers.values().find(|w| w.info.machine == order.machine);
        assert!(worker.is_some_and(|w| w.assigned.is_empty() && w.cordoned), "{order:?}");
    }
}

/// Guards against a new owner that gives machines away although they were needed a moment ago. It
/// does not know the recent demand, so idle machines stay for a while.
#[test]
fn plan_moves_new_owner_keeps_machines() {
    let mut cluster = Cluster::new(5);
    let machine_list = machines(&mut cluster, 0);
    assert_eq!(cluster.owner.plan_moves(&machine_list, cluster.now), []);
    cluster.advance(Duration::from_secs(3));
    assert_eq!(cluster.owner.plan_moves(&machine_list, cluster.now).len(), 3);
}

/// A move without a response may be in progress, so the machine's worker receives no starts.
#[test]
fn plan_moves_unanswered_order() {
    let mut cluster = Cluster::new(5);
    let machine_list = machines(&mut cluster, 0);
    cluster.owner.plan_moves(&machine_list, cluster.now);
    cluster.advance(Duration::from_secs(3));
    let moves = cluster.owner.plan_moves(&machine_list, cluster.now);
    assert_eq!(moves.len(), 3);
    cluster.poll_all();
    cluster.submit(JOB, vec![short_step(80)]);
    let starts = cluster.decide().orders.starts;
    for order in moves {
        let worker = cluster.owner.workers.values().find(|w| w.info.machine == order.machine);
        let id = worker.expect("a worker on the machine").info.id.clone();
        assert!(starts.iter().all(|s| s.worker != id), "{id}");
    }
}

/// Guards against counting machines of an unavailable zone as capacity, which would leave the pool
/// short.
#[test]
fn plan_moves_zone_out() {
    let mut cluster = Cluster::new(3);
    let machine_list = machines(&mut cluster, 3);
    cluster.update_config(|active_config| {
        active_config.zones_out.insert("zone-0".into());
        active_config.zones_out.insert("zone-1".into());
    });
    cluster.submit(JOB, vec![short_step(30)]);
    cluster.decide();
    let moves = cluster.owner.plan_moves(&machine_list, cluster.now);
    let to_pool: Vec<_> = moves.iter().filter(|m| &*m.to == "pool").collect();
    assert_eq!(to_pool.len(), 1, "{moves:?}");
    assert_eq!(&*to_pool[0].machine, "s-2", "the machine is in an unavailable zone");
}

/// Guards against long-running tasks that wait forever because they must run on different workers:
/// the pool has enough capacity but too few machines.
#[test]
fn plan_moves_max_per_worker() {
    let mut cluster = Cluster::new(2);
    let machine_list = machines(&mut cluster, 2);
    cluster.submit(JOB, vec![long_running_step(3, 1)]);
    cluster.settle();
    assert_eq!(cluster.running_tasks().len(), 2);
    let moves = cluster.owner.plan_moves(&machine_list, cluster.now);
    assert_eq!(moves.len(), 1, "{moves:?}");
    assert_eq!(&*moves[0].to, "pool");
}

/// The platform may carry out a move seconds after its response was lost. Guards against starting
/// tasks on the machine before, which the move would end; the order is repeated instead.
#[test]
fn record_unanswered_move_no_starts() {
    let mut cluster = Cluster::new(5);
    let machine_list = machines(&mut cluster, 0);
    cluster.owner.plan_moves(&machine_list, cluster.now);
    cluster.advance(Duration::from_secs(3));
    let moves = cluster.owner.plan_moves(&machine_list, cluster.now);
    cluster.owner.record_unanswered_move(&moves[0], cluster.now);
    let ordered_at = cluster.now;
    let worker = cluster.owner.workers.values().find(|w| w.info.machine == moves[0].machine);
    let worker = worker.expect("a worker on the machine").info.id.clone();
    let mut repeated = 0;
    while cluster.now < ordered_at + LATE_ORDER_WINDOW {
        cluster.poll_all();
        cluster.owner.plan_maintenance(&machine_list, cluster.now);
        let again = cluster.owner.plan_moves(&machine_list, cluster.now);
        let again = again.into_iter().filter(|order| order.machine == moves[0].machine);
        for order in again {
            repeated += 1;
            assert_eq!(order, moves[0], "the machine may be in another pool already");
            cluster.owner.abandon_move(&order);
        }
        assert!(cluster.owner.workers[&worker].cordoned, "{:?}", cluster.now - ordered_at);
        cluster.advance(Duration::from_millis(500));
    }
    assert_eq!(repeated, 2);
    cluster.owner.plan_moves(&machine_list, cluster.now);
    cluster.owner.plan_maintenance(&machine_list, cluster.now);
    cluster.submit(JOB, vec![short_step(80)]);
    let starts = cluster.decide().orders.starts;
    assert!(starts.iter().any(|start| start.worker == worker), "the machine stays unused");
}

/// Guards against repeating a move that is done: it was applied although its response was lost.
#[test]
fn record_unanswered_move_done() {
    let mut cluster = Cluster::new(5);
    let mut machine_list = machines(&mut cluster, 0);
    cluster.owner.plan_moves(&machine_list, cluster.now);
    cluster.advance(Duration::from_secs(3));
    let moves = cluster.owner.plan_moves(&machine_list, cluster.now);
    cluster.owner.record_unanswered_move(&moves[0], cluster.now);
    machine_list[&moves[0].machine].pool = moves[0].to.clone();
    cluster.advance(Duration::from_secs(5));
    let again = cluster.owner.plan_moves(&machine_list, cluster.now);
    assert!(again.iter().all(|order| order.machine != moves[0].machine), "{again:?}");
}
