//! Workers whose capacity shrinks and grows while they run, without I/O.

mod batch;

use batch::{Cluster, WORKER_PROCESSORS, long_running_step, short_step};
use indexmap::IndexMap;
use jacinthhook::batch::declarations::{Declarations, Pool};
use jacinthhook::batch::job::Step;
use jacinthhook::batch::maintenance::{Machine, MachineId, MachineState};
use jacinthhook::batch::orders::{RunOutcome, StartOrder, StartOutcome};
use jacinthhook::batch::worker::WorkerInfo;
use jacinthhook::fair::Resources;
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "00000000000000a1";
const LATER_JOB: &str = "00000000000000a2";

/// Applies registry entries in which these workers have other processors.
fn resize(cluster: &mut Cluster, processors: &[(&str, u64)]) {
    let workers = cluster.owner.workers.iter();
    let mut entries: IndexMap<Arc<str>, WorkerInfo> =
        workers.map(|(id, w)| (id.clone(), w.info.clone())).collect();
    for (id, processors) in processors {
        entries[*id].capacity.processors = *processors;
    }
    cluster.owner.update_workers(&entries, cluster.now);
}

fn step_of(count: u32, processors: u64) -> Step {
    let step = short_step(count);
    Step { resources: Resources { processors, ..step.resources }, ..step }
}

/// Sends start orders as far as they are authorized. Returns how many were sent.
fn send(cluster: &mut Cluster, starts: Vec<StartOrder>) -> usize {
    let mut sent = 0;
    for start in starts {
        let is_authorized = cluster.owner.authorize_start(&start, cluster.now).is_some();
        let outcome = if is_authorized { StartOutcome::Started } else { StartOutcome::NotSent };
        if is_authorized {
            cluster.carry_out_start(&start);
            sent += 1;
        }
        cluster.owner.record_start_outcome(&start, outcome, cluster.now);
    }
    sent
}

/// Guards against starts that were decided before their worker shrank and bring it over its capacity.
#[test]
fn authorize_start_shrunk_worker() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(10)]);
    let starts = cluster.decide().orders.starts;
    assert_eq!(starts.len(), 10);
    resize(&mut cluster, &[("w0", 4_000)]);
    assert_eq!(send(&mut cluster, starts), 4);
    // The others start once there is room again.
    resize(&mut cluster, &[("w0", WORKER_PROCESSORS)]);
    cluster.advance(Duration::from_secs(1));
    cluster.poll_all();
    let starts = cluster.decide().orders.starts;
    assert_eq!(send(&mut cluster, starts), 6);
}

/// Best-effort tasks reserve no processors, so a shortage of these does not hold them back.
#[test]
fn authorize_start_shrunk_best_effort() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(8)]);
    cluster.settle();
    cluster.submit(LATER_JOB, vec![Step { best_effort: true, ..short_step(2) }]);
    let starts = cluster.decide().orders.starts;
    resize(&mut cluster, &[("w0", 4_000)]);
    assert_eq!(send(&mut cluster, starts), 2);
}

/// Tasks that run above the shrunk capacity go on, and no others start until there is room for them.
#[test]
fn schedule_tasks_shrunk_worker() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(10)]);
    cluster.settle();
    resize(&mut cluster, &[("w0", 4_000)]);
    cluster.submit(LATER_JOB, vec![short_step(2)]);
    cluster.settle();
    assert_eq!((cluster.stops.len(), cluster.running_tasks().len()), (0, 10));
    assert_eq!(cluster.owner.workers["w0"].free_resources().processors, 0);
    for (ended, running) in [(6, 4), (1, 4), (2, 3)] {
        for (worker, task, run) in cluster.running_tasks().into_iter().take(ended) {
            cluster.finish_run(&worker, &task, run, RunOutcome::Done);
        }
        cluster.settle();
        assert_eq!(cluster.running_tasks().len(), running);
    }
}

/// A task that fits on no shrunk worker starts on the first one that has grown again.
#[test]
fn schedule_tasks_grown_worker() {
    let mut cluster = Cluster::new(3);
    resize(&mut cluster, &[("w0", 1_000), ("w1", 0), ("w2", 1_000)]);
    cluster.submit(JOB, vec![step_of(1, 2_000)]);
    cluster.settle();
    assert_eq!(cluster.running_tasks(), []);
    resize(&mut cluster, &[("w1", 2_000)]);
    cluster.settle();
    let workers: Vec<_> = cluster.running_tasks().into_iter().map(|(w, _, _)| w).collect();
    assert_eq!(workers, ["w1".into()]);
}

/// A task of a cancelled job counts until its end is listed.
#[test]
fn schedule_tasks_cancelled_job_runs() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(16)]);
    cluster.settle();
    cluster.owner.cancel(JOB, cluster.now);
    let stops = cluster.decide().orders.stops;
    cluster.submit(LATER_JOB, vec![short_step(1)]);
    cluster.poll_all();
    assert_eq!(cluster.decide().orders.starts, []);
    cluster.carry_out_stop(&stops[0]);
    cluster.poll_all();
    assert_eq!(cluster.decide().orders.starts.len(), 1);
}

/// A worker that was silent lists runs that were given up meanwhile. Guards against starts beside them
/// while they are being stopped, which bring the worker over its capacity.
#[test]
fn schedule_tasks_given_up_runs() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(16)]);
    cluster.settle();
    cluster.owner.record_unanswered_poll(&"w0".into());
    cluster.advance(Duration::from_secs(20));
    cluster.decide();
    assert!(cluster.owner.workers["w0"].assigned.is_empty(), "the runs are given up");
    cluster.advance(Duration::from_millis(100));
    cluster.poll_all();
    let batch = cluster.decide();
    assert_eq!((batch.orders.starts.len(), batch.orders.stops.len()), (0, 16));
    assert!(cluster.owner.workers["w0"].needs_poll(), "the ends would not be seen");
    for stop in &batch.orders.stops[..3] {
        cluster.carry_out_stop(stop);
    }
    cluster.poll_all();
    assert_eq!(cluster.decide().orders.starts.len(), 3);
}

/// As schedule_tasks_beside_run_of_done_task, with a step of one task a worker. Guards against a second task of the step
/// beside the run that is being stopped.
#[test]
fn schedule_tasks_worker_limit_run_of_done_task() {
    let mut cluster = Cluster::new(3);
    cluster.submit(JOB, vec![Step { max_per_worker: 1, ..short_step(3) }]);
    cluster.settle();
    let runs = cluster.running_tasks();
    let worker_of =
        |index: u32| runs.iter().find(|(_, task, _)| task.index == index).expect("a run");
    let (silent, task, run) = worker_of(0).clone();
    let (free, freed_task, freed_run) = worker_of(1).clone();
    let (lost, _, _) = worker_of(2).clone();
    cluster.finish_run(&silent, &task, run, RunOutcome::Done);
    cluster.finish_run(&free, &freed_task, freed_run, RunOutcome::Done);
    cluster.poll(&free);
    for worker in [&silent, &lost] {
        cluster.owner.record_unanswered_poll(worker);
    }
    cluster.advance(Duration::from_secs(20));
    cluster.poll(&free);
    cluster.decide();
    cluster.advance(Duration::from_millis(100));
    let starts = cluster.decide().orders.starts;
    assert_eq!((starts.len(), &starts[0].worker), (1, &free), "the others are silent");
    assert_eq!(starts[0].task, task);
    assert_eq!(send(&mut cluster, starts), 1);
    cluster.poll(&free);
    cluster.poll(&silent);
    let batch = cluster.decide();
    assert_eq!(batch.orders.stops.len(), 1, "the task is done");
    assert!(batch.orders.starts.iter().all(|s| s.worker != free), "{:?}", batch.orders.starts);
}

/// The end of a run arrives after its task was started again elsewhere. Guards against starts beside the
/// second run, which goes on until it is stopped.
#[test]
fn schedule_tasks_beside_run_of_done_task() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![step_of(1, WORKER_PROCESSORS)]);
    cluster.settle();
    let (first, task, run) = cluster.running_tasks().remove(0);
    cluster.finish_run(&first, &task, run, RunOutcome::Done);
    cluster.owner.record_unanswered_poll(&first);
    cluster.advance(Duration::from_secs(20));
    cluster.decide();
    cluster.advance(Duration::from_millis(100));
    let starts = cluster.decide().orders.starts;
    let second = starts[0].worker.clone();
    assert_eq!(send(&mut cluster, starts), 1);
    cluster.poll(&second);
    cluster.poll(&first);
    cluster.submit(LATER_JOB, vec![step_of(2, WORKER_PROCESSORS)]);
    let batch = cluster.decide();
    let workers: Vec<_> = batch.orders.starts.iter().map(|s| s.worker.clone()).collect();
    assert_eq!(workers, [first], "the other worker is full");
    assert_eq!(batch.orders.stops.len(), 1);
    cluster.carry_out_stop(&batch.orders.stops[0]);
    cluster.poll(&second);
    assert_eq!(cluster.decide().orders.starts[0].worker, second);
}

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
        zone: "zone-0".into(),
        state: MachineState::Up,
        worker: None,
    });
    active.chain(spare).map(|m| (m.id.clone(), m)).collect()
}

/// Guards against a pool that counts its machines as whole ones: when some of its workers shrink, it
/// stays short of what they have lost.
#[test]
fn plan_moves_shrunk_workers() {
    let mut cluster = Cluster::new(4);
    let machine_list = machines(&mut cluster, 4);
    cluster.submit(JOB, vec![short_step(50)]);
    cluster.settle();
    assert_eq!(cluster.owner.plan_moves(&machine_list, cluster.now), []);
    resize(&mut cluster, &[("w0", 0), ("w1", 8_000)]);
    let moves = cluster.owner.plan_moves(&machine_list, cluster.now);
    // The four whole machines held 54,400 at the target utilization, one and a half are gone.
    assert_eq!(moves.len(), 2, "{moves:?}");
    assert!(moves.iter().all(|m| &*m.to == "pool"), "{moves:?}");
}

/// Guards against a task that waits although a whole machine would hold it: all workers of its pool have
/// shrunk, and the pool seems to have enough of them.
#[test]
fn plan_moves_task_larger_than_shrunk_workers() {
    let mut cluster = Cluster::new(2);
    let machine_list = machines(&mut cluster, 4);
    cluster.submit(JOB, vec![step_of(1, 8_000)]);
    resize(&mut cluster, &[("w0", 7_000), ("w1", 7_000)]);
    cluster.decide();
    let moves = cluster.owner.plan_moves(&machine_list, cluster.now);
    assert_eq!(moves.len(), 1, "{moves:?}");
    assert_eq!(cluster.owner.plan_moves(&machine_list, cluster.now), [], "one is on its way");
    // A task that no machine of the pool ever held asks for none.
    let mut cluster = Cluster::new(2);
    let machine_list = machines(&mut cluster, 4);
    cluster.submit(JOB, vec![step_of(1, 20_000)]);
    resize(&mut cluster, &[("w0", 7_000), ("w1", 15_000)]);
    cluster.decide();
    assert_eq!(cluster.owner.plan_moves(&machine_list, cluster.now), []);
}

/// Guards against taking an idle worker away because its pool seems to have more than it needs, although
/// the others have shrunk.
#[test]
fn plan_moves_keeps_machines_beside_shrunk_ones() {
    let mut cluster = Cluster::new(4);
    let machine_list = machines(&mut cluster, 0);
    cluster.submit(JOB, vec![long_running_step(2, 0)]);
    cluster.submit(LATER_JOB, vec![short_step(20)]);
    cluster.settle();
    resize(&mut cluster, &[("w0", 1_000), ("w1", 1_000)]);
    cluster.owner.plan_moves(&machine_list, cluster.now);
    cluster.advance(Duration::from_secs(3));
    cluster.poll_all();
    assert_eq!(cluster.owner.plan_moves(&machine_list, cluster.now), []);
}
