//! Maintenance of machines under lasting tasks, without I/O.

mod batch;

use batch::{Cluster, long_running_step};
use indexmap::IndexMap;
use jacinthhook::batch::declarations::Wave;
use jacinthhook::batch::maintenance::{Machine, MachineId, MachineState, MaintenanceOrder};
use std::time::Duration;

fn machines(cluster: &Cluster) -> IndexMap<MachineId, Machine> {
    let machines = cluster.owner.workers.values().map(|w| Machine {
        id: w.info.machine.clone(),
        pool: w.info.pool.clone(),
        zone: w.info.zone.clone(),
        state: MachineState::Up,
        worker: Some(w.info.id.clone()),
    });
    machines.map(|m| (m.id.clone(), m)).collect()
}

/// Asks for maintenance of all machines, of an owner that is not fresh any more.
fn with_wave(cluster: &mut Cluster, max_at_once: u32) {
    while !cluster.owner.ordered_machines.previous_orders_settled(cluster.now) {
        cluster.advance(Duration::from_millis(100));
        cluster.poll_all();
    }
    let machines = cluster.owner.workers.values().map(|w| w.info.machine.clone()).collect();
    let wave = Wave { number: 1, machines, duration: Duration::from_secs(20), max_at_once };
    cluster.update_config(|active_config| {
        active_config.waves.insert(1, wave);
    });
}

/// Two machines chosen in one pass took two tasks of a step that may miss one (AVAIL on the first
/// scored days).
#[test]
fn plan_upkeep_two_machines_of_one_step() {
    let mut cluster = Cluster::new(2);
    cluster.submit("00000000000000a1", vec![long_running_step(2, 1)]);
    cluster.settle();
    with_wave(&mut cluster, 2);
    let machine_list = machines(&cluster);
    assert_eq!(cluster.owner.plan_maintenance(&machine_list, cluster.now).len(), 1);
}

/// A task was lost between the choice of a machine and its order, which waits until the machine is
/// announced: its step may not miss another one (AVAIL on a hunt of tt-jobs).
#[test]
fn confirm_upkeep_after_loss() {
    let mut cluster = Cluster::new(2);
    cluster.submit("00000000000000a1", vec![long_running_step(2, 1)]);
    cluster.settle();
    with_wave(&mut cluster, 2);
    let mut machine_list = machines(&cluster);
    let chosen = cluster.owner.plan_maintenance(&machine_list, cluster.now);
    assert_eq!(cluster.owner.confirm_maintenance(&chosen, &machine_list, cluster.now), chosen);
    let other = machine_list.keys().find(|id| **id != chosen[0].machine).expect("another").clone();
    machine_list[&other].state = MachineState::Maintenance;
    cluster.owner.apply_machine_list(&machine_list, cluster.now);
    assert_eq!(cluster.owner.confirm_maintenance(&chosen, &machine_list, cluster.now), []);
}

/// A stop of an earlier owner was under way at a worker that still listed the run, and the fresh owner
/// ended a second task of the step (AVAIL on hunt-79a2-31 of tt-jobs).
#[test]
fn plan_upkeep_fresh_owner_waits() {
    let mut cluster = Cluster::new(1);
    let step = jacinthhook::batch::job::Step { max_per_worker: 0, ..long_running_step(2, 1) };
    cluster.submit("00000000000000a1", vec![step]);
    cluster.settle();
    let wave = Wave {
        number: 1,
        machines: machines(&cluster).keys().cloned().collect(),
        duration: Duration::from_secs(20),
        max_at_once: 1,
    };
    cluster.update_config(|active_config| {
        active_config.waves.insert(1, wave);
    });
    let machine_list = machines(&cluster);
    assert!(cluster.owner.plan_maintenance(&machine_list, cluster.now).is_empty());
    assert!(
        cluster.owner.take_decisions(cluster.now).orders.stops.is_empty(),
        "a task was stopped at once"
    );
    cluster.now = Duration::from_secs(103);
    cluster.poll_all();
    cluster.owner.plan_maintenance(&machine_list, cluster.now);
    assert_eq!(cluster.owner.take_decisions(cluster.now).orders.stops.len(), 1);
}

/// A machine whose order had no answer may be down: its tasks count as away.
#[test]
fn plan_upkeep_after_order_without_answer() {
    let mut cluster = Cluster::new(2);
    cluster.submit("00000000000000a1", vec![long_running_step(2, 1)]);
    cluster.settle();
    with_wave(&mut cluster, 2);
    let machine_list = machines(&cluster);
    let first = cluster.owner.plan_maintenance(&machine_list, cluster.now).remove(0);
    cluster.owner.record_unanswered_maintenance(&first, cluster.now);
    let others: Vec<MaintenanceOrder> = cluster.owner.plan_maintenance(&machine_list, cluster.now);
    assert!(others.iter().all(|o| o.machine == first.machine), "{others:?}");
}

/// A short task is not thrown away: its machine gets no starts and goes when the task has ended.
#[test]
fn plan_upkeep_waits_for_short_task() {
    let mut cluster = Cluster::new(1);
    cluster.submit("00000000000000a1", vec![batch::short_step(1)]);
    cluster.settle();
    with_wave(&mut cluster, 1);
    let machine_list = machines(&cluster);
    assert!(cluster.owner.plan_maintenance(&machine_list, cluster.now).is_empty());
    cluster.submit("00000000000000a2", vec![batch::short_step(1)]);
    cluster.settle();
    assert_eq!(cluster.running_tasks().len(), 1, "no start on a machine that is being emptied");
    cluster.finish_all(jacinthhook::batch::orders::RunOutcome::Done);
    cluster.settle();
    assert_eq!(cluster.owner.plan_maintenance(&machine_list, cluster.now).len(), 1);
}

/// Lasting tasks of a step that stand on one machine hold up its maintenance for good (a wave missed
/// on quiet-1 of tt-jobs): they are spread, and moved off one by one where they are not.
#[test]
fn plan_upkeep_thins_out_a_machine() {
    let mut cluster = Cluster::new(1);
    let step = jacinthhook::batch::job::Step { max_per_worker: 0, ..long_running_step(3, 1) };
    cluster.submit("00000000000000a1", vec![step.clone()]);
    cluster.settle();
    let more = (1..4).map(|i| batch::worker_info(&format!("w{i}"), i));
    let list = std::iter::once(batch::worker_info("w0", 0)).chain(more);
    cluster.owner.update_workers(&list.map(|l| (l.id.clone(), l)).collect(), cluster.now);
    for i in 1..4 {
        let fake_worker = batch::FakeWorker { incarnation: 1, ..Default::default() };
        cluster.fake_workers.insert(format!("w{i}").as_str().into(), fake_worker);
    }
    cluster.poll_all();
    with_wave(&mut cluster, 1);
    let mut machine_list = machines(&cluster);
    machine_list.retain(|id, _| &**id == "m-0");
    cluster.update_config(|active_config| active_config.waves[&1].machines = vec!["m-0".into()]);
    let mut most_away = 0;
    for _ in 0..10 {
        if !cluster.owner.plan_maintenance(&machine_list, cluster.now).is_empty() {
            break;
        }
        let stops = cluster.stops.len();
        cluster.settle();
        most_away = most_away.max(cluster.stops.len() - stops);
        cluster.advance(Duration::from_millis(600));
        cluster.poll_all();
    }
    assert!(!cluster.owner.plan_maintenance(&machine_list, cluster.now).is_empty());
    assert_eq!(most_away, 1, "more than one task was stopped at once");
    cluster.submit("00000000000000a2", vec![step]);
    cluster.settle();
    let new = cluster.running_tasks().into_iter().filter(|(_, t, _)| t.job.ends_with("a2"));
    let workers: std::collections::HashSet<_> = new.map(|(w, _, _)| w).collect();
    assert_eq!(workers.len(), 3, "tasks of a step share a machine without need");
}

/// The platform answers well when the maintenance was done already; the machine's tasks run on, so
/// none may start elsewhere (TWICE on trouble-1 --seed 540187408786 of tt-jobs).
#[test]
fn upkeep_began_earlier() {
    let mut cluster = Cluster::new(2);
    cluster.submit("00000000000000a1", vec![long_running_step(1, 1)]);
    cluster.settle();
    let (worker, _, _) = cluster.running_tasks().remove(0);
    with_wave(&mut cluster, 1);
    let mut machine_list = machines(&cluster);
    let machine = cluster.owner.workers[&worker].info.machine.clone();
    cluster.owner.record_maintenance_start(&MaintenanceOrder { machine: machine.clone(), wave: 1 });
    cluster.owner.apply_machine_list(&machine_list, cluster.now);
    assert!(cluster.decide().orders.starts.is_empty());
    machine_list[&machine].state = MachineState::Maintenance;
    cluster.owner.apply_machine_list(&machine_list, cluster.now);
    assert_eq!(cluster.decide().orders.starts.len(), 1);
}

/// Two machines that are due each held more of a step than it may miss, and both were thinned out in
/// one pass (AVAIL on quiet-1 of tt-jobs).
#[test]
fn plan_upkeep_thins_out_one_task_of_a_step() {
    let mut cluster = Cluster::new(2);
    let step = jacinthhook::batch::job::Step { max_per_worker: 0, ..long_running_step(4, 1) };
    cluster.submit("00000000000000a1", vec![step]);
    cluster.settle();
    with_wave(&mut cluster, 2);
    let machine_list = machines(&cluster);
    assert!(cluster.owner.plan_maintenance(&machine_list, cluster.now).is_empty());
    assert_eq!(cluster.owner.take_decisions(cluster.now).orders.stops.len(), 1);
}
