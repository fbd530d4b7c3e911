//! Workers that restart under their id, and what the owner may conclude from it. No network.

mod batch;

use batch::{
    Cluster, FakeWorker, active_config, bounds, long_running_step, short_step, worker_info,
};
use indexmap::IndexMap;
use jacinthhook::batch::job::{JobState, WorkerId};
use jacinthhook::batch::orders::{RunOutcome, StartOrder, StartOutcome};
use jacinthhook::batch::owner::{LEASE_DURATION, OwnerEvent, RestartSource};
use jacinthhook::batch::records;
use jacinthhook::batch::worker::WorkerInfo;
use std::time::Duration;

const JOB: &str = "00000000000000a1";
/// Time between two passes of the owner.
const PASS: Duration = Duration::from_millis(100);

fn restart(cluster: &mut Cluster, worker: &str, incarnation: u64) {
    let started_at = cluster.now;
    cluster.fake_workers[worker] = FakeWorker { incarnation, started_at, ..FakeWorker::default() };
}

/// Lets an idle worker restart unnoticed before a start is sent to it, and returns that start.
fn start_on_restarted_worker(cluster: &mut Cluster) -> StartOrder {
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    restart(cluster, &start.worker, 2);
    let outcome = cluster.carry_out_start(&start);
    assert_eq!(outcome, StartOutcome::Restarted, "the order is for the process before");
    cluster.owner.record_start_outcome(&start, outcome, cluster.now);
    cluster.advance(PASS);
    start
}

/// Lets a worker restart, report and take a run. Returns the start of that run.
fn start_after_restart(cluster: &mut Cluster) -> StartOrder {
    let worker = cluster.fake_workers.keys().next().expect("a worker").clone();
    restart(cluster, &worker, 2);
    cluster.poll(&worker);
    cluster.advance(PASS);
    cluster.poll(&worker);
    assert!(cluster.owner.workers[&worker].synced);
    for (id, other) in &mut cluster.owner.workers {
        other.cordoned = *id != worker;
    }
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    let outcome = cluster.carry_out_start(&start);
    assert_eq!((&start.worker, outcome), (&worker, StartOutcome::Started));
    cluster.owner.record_start_outcome(&start, outcome, cluster.now);
    cluster.owner.workers.values_mut().for_each(|other| other.cordoned = false);
    start
}

/// A silent worker's runs start elsewhere when the lease that owners send is over by a slow clock: not
/// before, and not much later.
fn assert_starts_after_lease(cluster: &mut Cluster) {
    assert_eq!(pass_for(cluster, LEASE_DURATION.div_f64(0.98) - PASS), []);
    assert_eq!(pass_for(cluster, PASS * 5).len(), 1);
}

/// Lets passes go by for `duration`. Returns the starts that they order.
fn pass_for(cluster: &mut Cluster, duration: Duration) -> Vec<StartOrder> {
    let until = cluster.now + duration;
    let mut starts = Vec::new();
    while cluster.now < until {
        starts.extend(cluster.decide().orders.starts);
        cluster.advance(PASS);
    }
    starts
}

/// Guards against a log from which the cause of a lost run cannot be read: which process restarted,
/// and how the owner learned of it.
#[test]
fn apply_report_restart_event() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    restart(&mut cluster, &worker, 2);
    cluster.poll(&worker);
    let event = OwnerEvent::WorkerRestarted {
        worker,
        earlier: 1,
        incarnation: 2,
        source: RestartSource::Report,
    };
    assert!(cluster.decide().events.contains(&event));
}

/// An idle worker restarts unnoticed before it gets a start. Guards against a task that runs on the new
/// process and elsewhere, and against one that waits for leases that no order can have brought.
#[test]
fn tick_restart_after_start() {
    let mut cluster = Cluster::new(2);
    let start = start_on_restarted_worker(&mut cluster);
    assert_eq!(cluster.running_tasks(), []);
    assert!(cluster.owner.workers[&start.worker].needs_poll(), "the restart is not looked for");
    let starts = pass_for(&mut cluster, PASS * 3);
    assert_eq!(starts.len(), 1);
    assert_eq!((&starts[0].task, starts[0].run), (&start.task, start.run + 1));
    assert_ne!(starts[0].worker, start.worker);
}

/// Guards against starting a task elsewhere before a late start of it is void, and against never
/// starting it again: the runs of the earlier process are over.
#[test]
fn tick_restart_with_earlier_run() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    let (worker, task, run) = cluster.running_tasks().remove(0);
    restart(&mut cluster, &worker, 2);
    cluster.poll(&worker);
    assert_eq!(pass_for(&mut cluster, PASS * 3), []);
    cluster.poll(&worker);
    let starts = pass_for(&mut cluster, PASS * 3);
    assert_eq!(starts.len(), 1);
    assert_eq!((&starts[0].task, starts[0].run), (&task, run + 1));
    assert_ne!(starts[0].worker, worker);
}

/// A worker falls silent after a poll has shown its restart. Guards against a task of the process before
/// that waits for the longest lease: the new process cannot have got one.
#[test]
fn tick_restart_then_silent() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    let (worker, ..) = cluster.running_tasks().remove(0);
    restart(&mut cluster, &worker, 2);
    cluster.poll(&worker);
    cluster.owner.record_unanswered_poll(&worker);
    assert_eq!(pass_for(&mut cluster, LEASE_DURATION.mul_f64(1.1)).len(), 1);
}

/// A worker takes a run after its restart has been seen, and falls silent. Guards against giving up the run
/// before the lease that was sent is over on a slow clock, and against waiting for the longest one.
#[test]
fn tick_restart_synced_then_silent() {
    let mut cluster = Cluster::new(2);
    let start = start_after_restart(&mut cluster);
    cluster.owner.record_unanswered_poll(&start.worker);
    assert_starts_after_lease(&mut cluster);
}

/// A worker that does not name its incarnation lists no run after its restart, takes one, and falls silent.
/// Guards against giving up that run before the longest lease is over, which a poll by the clock of the
/// earlier process may have brought: a lease holds for all that runs and never shortens. Also against
/// holding the run longer.
#[test]
fn tick_restart_synced_without_runs() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    restart(&mut cluster, &worker, 0);
    cluster.poll(&worker);
    cluster.advance(PASS);
    cluster.poll(&worker);
    cluster.submit(JOB, vec![short_step(1)]);
    assert_eq!(pass_for(&mut cluster, PASS).len(), 1);
    cluster.owner.record_unanswered_poll(&worker);
    pass_for(&mut cluster, bounds().max_lease.div_f64(0.98) - PASS);
    assert_eq!(cluster.owner.workers[&worker].assigned.len(), 1);
    pass_for(&mut cluster, PASS * 5);
    assert!(cluster.owner.workers[&worker].assigned.is_empty());
}

/// Lists all workers as they were, except that one's entry names another incarnation.
fn list_incarnation(cluster: &mut Cluster, worker: &str, incarnation: u64) {
    let mut listed: IndexMap<WorkerId, WorkerInfo> =
        cluster.owner.workers.iter().map(|(id, w)| (id.clone(), w.info.clone())).collect();
    listed[worker].incarnation = incarnation;
    cluster.owner.update_workers(&listed, cluster.now);
}

/// The registry names a newer process of an idle worker. Guards against sending it starts that are meant
/// for the process before.
#[test]
fn update_workers_restarted_worker() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    restart(&mut cluster, &worker, 2);
    let fence = cluster.owner.fence(&worker);
    list_incarnation(&mut cluster, &worker, 2);
    assert!(cluster.owner.fence(&worker) > fence, "orders in flight are void");
    assert!(!cluster.owner.workers[&worker].synced);
    assert!(cluster.owner.workers[&worker].needs_poll());
    cluster.submit("00000000000000a2", vec![short_step(1)]);
    let batch = cluster.decide();
    assert_eq!(batch.orders.starts, []);
    let event = OwnerEvent::WorkerRestarted {
        worker: worker.clone(),
        earlier: 1,
        incarnation: 2,
        source: RestartSource::Registry,
    };
    assert!(batch.events.contains(&event));
    cluster.poll(&worker);
    let starts = cluster.decide().orders.starts;
    assert_eq!(starts.len(), 1);
    assert_eq!(cluster.carry_out_start(&starts[0]), StartOutcome::Started);
}

/// Guards against taking an entry for a restart that is older than what the worker reports, that
/// names no incarnation, or that was already handled and names one that the worker does not have.
#[test]
fn update_workers_stale_incarnation() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    restart(&mut cluster, &worker, 5);
    cluster.poll(&worker);
    cluster.poll(&worker);
    let fence = cluster.owner.fence(&worker);
    for stale in [1, 0, 4, 5] {
        list_incarnation(&mut cluster, &worker, stale);
        assert_eq!(cluster.owner.fence(&worker), fence, "entry with incarnation {stale}");
        assert!(cluster.owner.workers[&worker].synced);
    }
    list_incarnation(&mut cluster, &worker, 9);
    assert!(!cluster.owner.workers[&worker].synced);
    cluster.poll(&worker);
    list_incarnation(&mut cluster, &worker, 9);
    assert!(cluster.owner.workers[&worker].synced, "polled again without end");
}

/// A worker ends before the registry has the entry of its last process. Guards against taking that
/// late entry for a new process, and against ignoring the one after it.
#[test]
fn update_workers_ended_worker_late_entry() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    restart(&mut cluster, &worker, 2);
    cluster.poll(&worker);
    cluster.poll(&worker);
    cluster.owner.end_incarnation(&worker, cluster.now);
    for late in [1, 2] {
        list_incarnation(&mut cluster, &worker, late);
        assert!(!cluster.owner.workers[&worker].registered, "entry with incarnation {late}");
        assert!(!cluster.owner.workers[&worker].needs_poll());
    }
    list_incarnation(&mut cluster, &worker, 3);
    assert!(cluster.owner.workers[&worker].registered);
    assert!(cluster.owner.workers[&worker].needs_poll());
}

/// A poll of the process before is answered by another worker, after the registry has shown the new
/// process at another address. Guards against ending the new process: its runs started elsewhere
/// while they went on.
#[test]
fn record_other_worker_earlier_poll() {
    let mut cluster = Cluster::new(2);
    let worker: WorkerId = "w0".into();
    let polled_fence = cluster.owner.fence(&worker);
    restart(&mut cluster, &worker, 2);
    list_incarnation(&mut cluster, &worker, 2);
    cluster.poll(&worker);
    cluster.submit(JOB, vec![short_step(20)]);
    cluster.settle();
    let running = cluster.owner.workers[&worker].assigned.len();
    assert!(running > 0);
    cluster.owner.record_other_worker(&worker, polled_fence, cluster.now);
    assert_eq!(cluster.owner.workers[&worker].assigned.len(), running, "runs were given up");
    let fence = cluster.owner.fence(&worker);
    cluster.owner.record_other_worker(&worker, fence, cluster.now);
    assert!(cluster.owner.workers[&worker].assigned.is_empty());
}

/// The poll that shows a restart acknowledged runs of the process before. Guards against counting
/// that for the new one, whose finished runs then stayed unacknowledged while it was idle.
#[test]
fn record_acknowledged_restarted_worker() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    let polled_fence = cluster.owner.fence(&worker);
    restart(&mut cluster, &worker, 2);
    cluster.poll(&worker);
    cluster.owner.record_acknowledged(&worker, polled_fence, 57);
    cluster.poll(&worker);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.finish_all(RunOutcome::Done);
    cluster.poll(&worker);
    cluster.decide();
    assert!(cluster.owner.workers[&worker].needs_poll(), "the end stays unacknowledged");
    let fence = cluster.owner.fence(&worker);
    cluster.owner.record_acknowledged(&worker, fence, 1);
    assert!(!cluster.owner.workers[&worker].needs_poll());
}

/// Guards against an index in a poll that the worker has acknowledged before: after an unnoticed
/// restart it makes the new process drop ends that the owner has not seen, and done tasks start again.
#[test]
fn next_acknowledged_repeated() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.finish_all(RunOutcome::Done);
    cluster.poll(&worker);
    cluster.decide();
    assert_eq!(cluster.owner.workers[&worker].next_acknowledged(), 1);
    let fence = cluster.owner.fence(&worker);
    cluster.owner.record_acknowledged(&worker, fence, 1);
    assert_eq!(cluster.owner.workers[&worker].next_acknowledged(), 0);
}

/// A worker restarts while it delays its answer to a poll with an acknowledgement. Guards against
/// sending the index to the new process, which would drop finished runs that the owner has not seen,
/// and against never sending it to a process that goes on.
#[test]
fn next_acknowledged_unanswered_poll() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.finish_all(RunOutcome::Done);
    cluster.poll_all();
    cluster.decide();
    assert_eq!(cluster.owner.workers[&worker].next_acknowledged(), 1);
    cluster.owner.record_unanswered_poll(&worker);
    assert_eq!(cluster.owner.workers[&worker].next_acknowledged(), 0);
    assert!(cluster.owner.workers[&worker].needs_poll());
    cluster.poll(&worker);
    assert_eq!(cluster.owner.workers[&worker].next_acknowledged(), 1);
    assert!(cluster.owner.workers[&worker].needs_poll());
}

/// A worker that does not name its incarnation has restarted unnoticed, answers a start and then falls
/// silent. Guards against giving up its run when the lease by the clock of the process before is over: it
/// may hold the longest one.
#[test]
fn record_start_clock_then_silent() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    restart(&mut cluster, &start.worker, 0);
    assert_eq!(cluster.carry_out_start(&start), StartOutcome::Started);
    cluster.owner.record_start_outcome(&start, StartOutcome::Started, cluster.now);
    cluster.advance(PASS);
    let (clock, sent_at) = (cluster.report(&start.worker).clock, cluster.now);
    cluster.owner.record_start_clock(&start, clock, sent_at, cluster.now);
    assert!(!cluster.owner.workers[&start.worker].synced);
    cluster.owner.record_unanswered_poll(&start.worker);
    assert_eq!(pass_for(&mut cluster, bounds().max_lease.div_f64(0.98)), []);
    assert_eq!(pass_for(&mut cluster, PASS * 5).len(), 1);
}

/// Guards against taking a worker for restarted whose clock is slow, whose answer is late or was
/// overtaken by that to a later poll, or that answered under an earlier fencing token.
#[test]
fn record_start_clock_same_process() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    let worker = &start.worker;
    let (clock, polled_at) = (cluster.report(worker).clock, cluster.now);
    for millis in [0, 1, 3, 50, 600, 5_000, 60_000] {
        let passed = Duration::from_millis(millis);
        let slow_clock = clock + Duration::from_millis(millis * 98 / 100);
        let late = polled_at + passed + PASS;
        cluster.owner.record_start_clock(&start, slow_clock, polled_at + passed, late);
        assert!(cluster.owner.workers[worker].synced, "after {millis} ms");
    }
    let overtaken = clock - PASS;
    cluster.owner.record_start_clock(&start, overtaken, polled_at - PASS, cluster.now);
    assert!(cluster.owner.workers[worker].synced);
    restart(&mut cluster, worker, 2);
    cluster.poll(worker);
    cluster.poll(worker);
    let fence = cluster.owner.fence(worker);
    cluster.advance(PASS);
    cluster.owner.record_start_clock(&start, Duration::ZERO, cluster.now, cluster.now);
    assert_eq!(cluster.owner.fence(worker), fence);
}

/// A worker takes a run soon after its restart, and falls silent after its first report to the next owner.
/// Guards against giving up the run before the lease that owners send is over, and against waiting for the
/// longest one, since the worker is young: a long-running task was missing for more than ten seconds.
#[test]
fn apply_report_new_owner_young_worker() {
    let mut cluster = Cluster::new(2);
    let start = start_after_restart(&mut cluster);
    let mut next = next_owner(&cluster);
    next.poll_all();
    assert!(next.owner.workers[&start.worker].assigned.contains_key(&start.task));
    next.owner.record_unanswered_poll(&start.worker);
    assert_starts_after_lease(&mut next);
}

/// Guards against a new owner that waits for the longest lease at each silent worker: only one that
/// restarted shortly before can hold it.
#[test]
fn apply_report_new_owner_old_worker() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    let (worker, _, _) = cluster.running_tasks().remove(0);
    let mut next = next_owner(&cluster);
    next.poll_all();
    next.owner.record_unanswered_poll(&worker);
    assert_eq!(pass_for(&mut next, LEASE_DURATION), []);
    assert_eq!(pass_for(&mut next, LEASE_DURATION.mul_f64(0.1)).len(), 1);
}

/// Returns the owner of the next term with the same workers, which it has not polled yet.
fn next_owner(cluster: &Cluster) -> Cluster {
    let mut next = Cluster::with_term(2, active_config());
    next.now = cluster.now;
    next.submit(JOB, vec![short_step(1)]);
    let record = records::encode_job(&JOB.into(), &cluster.owner.jobs[JOB]).value;
    next.owner.restore_record(JOB, &record.expect("a value"), next.now);
    let listed = cluster.fake_workers.iter().enumerate().map(|(i, (id, fake_worker))| {
        let incarnation = fake_worker.incarnation;
        (id.clone(), WorkerInfo { incarnation, ..worker_info(id, i) })
    });
    next.owner.update_workers(&listed.collect(), next.now);
    next.owner.finish_restore(next.now);
    next.fake_workers = cluster.fake_workers.clone();
    next.advance(PASS);
    next
}

/// A worker restarts that does not name its incarnation. Guards against taking the end of a run for
/// one of the process before, so that a done task starts again: the numbers of ends start anew.
#[test]
fn apply_report_restart_without_incarnation() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.finish_all(RunOutcome::Done);
    cluster.settle();
    cluster.submit("00000000000000a2", vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    assert_eq!(cluster.owner.workers[&start.worker].last_processed, 1);
    restart(&mut cluster, &start.worker, 0);
    cluster.carry_out_start(&start);
    cluster.owner.record_start_outcome(&start, StartOutcome::Started, cluster.now);
    cluster.advance(PASS);
    cluster.finish_all(RunOutcome::Done);
    cluster.poll(&start.worker);
    assert_eq!(pass_for(&mut cluster, PASS * 3), []);
    cluster.poll(&start.worker);
    cluster.decide();
    assert_eq!(cluster.owner.jobs["00000000000000a2"].state, JobState::Complete);
}

/// Ends of the process before are stored after the clock in the answer to a start has shown a restart.
/// Guards against acknowledging ends of the new process that nobody has read: a done task ran again.
#[test]
fn mark_stored_after_start_clock() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.submit("00000000000000a2", vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    cluster.finish_all(RunOutcome::Done);
    cluster.poll(&worker);
    cluster.owner.tick(cluster.now, Duration::ZERO);
    let batch = cluster.owner.take_decisions(cluster.now);
    cluster.advance(PASS);
    restart(&mut cluster, &worker, 0);
    cluster.carry_out_start(&start);
    let (clock, sent_at) = (cluster.report(&worker).clock, cluster.now);
    cluster.owner.record_start_clock(&start, clock, sent_at, cluster.now);
    cluster.owner.record_start_outcome(&start, StartOutcome::Started, cluster.now);
    cluster.owner.mark_stored(&batch);
    cluster.advance(PASS);
    cluster.finish_all(RunOutcome::Done);
    assert_eq!(cluster.owner.workers[&worker].next_acknowledged(), 0);
    cluster.poll(&worker);
    assert_eq!(pass_for(&mut cluster, PASS * 5), []);
}

/// The same if a report without an incarnation has shown the restart.
#[test]
fn mark_stored_after_report_without_incarnation() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.finish_all(RunOutcome::Done);
    cluster.poll(&worker);
    cluster.owner.tick(cluster.now, Duration::ZERO);
    let batch = cluster.owner.take_decisions(cluster.now);
    cluster.advance(PASS);
    restart(&mut cluster, &worker, 0);
    cluster.poll(&worker);
    cluster.owner.mark_stored(&batch);
    assert_eq!(cluster.owner.workers[&worker].next_acknowledged(), 0);
}

/// A worker joins in the middle of a term, takes a long-running task and crashes. Guards against waiting
/// for a lease that only earlier owners could have given it: the task was missing for more than twice as
/// long.
#[test]
fn settle_first_report_new_worker() {
    let mut cluster = Cluster::new(1);
    cluster.advance(Duration::from_secs(60));
    cluster.poll_all();
    let (first, id): (WorkerId, WorkerId) = ("w0".into(), "w9".into());
    let mut listed: IndexMap<WorkerId, WorkerInfo> =
        cluster.owner.workers.iter().map(|(id, w)| (id.clone(), w.info.clone())).collect();
    listed.insert(id.clone(), worker_info("w9", 9));
    let started_at = cluster.now;
    let new = FakeWorker { incarnation: 1, started_at, ..FakeWorker::default() };
    cluster.fake_workers.insert(id.clone(), new);
    cluster.owner.update_workers(&listed, cluster.now);
    cluster.owner.workers[&first].cordoned = true;
    cluster.advance(PASS);
    cluster.poll(&id);
    cluster.submit(JOB, vec![long_running_step(1, 1)]);
    let start = cluster.decide().orders.starts.remove(0);
    assert_eq!(start.worker, id);
    cluster.carry_out_start(&start);
    cluster.owner.record_start_outcome(&start, StartOutcome::Started, cluster.now);
    cluster.advance(PASS);
    cluster.poll(&id);
    cluster.owner.record_unanswered_poll(&id);
    cluster.owner.workers[&first].cordoned = false;
    let until = cluster.now + LEASE_DURATION.mul_f64(1.1);
    while cluster.now < until {
        cluster.advance(PASS);
        cluster.poll(&first);
    }
    assert_eq!(cluster.decide().orders.starts.len(), 1);
}

/// A worker restarts unnoticed before it gets a start of the previous owner, and is silent from the change of
/// owner on. Guards against two runs of the task: a start by the earlier clock brought the longest lease, and
/// the task started elsewhere within it. Also against a task that waits for that lease.
#[test]
fn finish_restore_silent_restarted_worker() {
    let mut cluster = Cluster::new(2);
    let start = start_on_restarted_worker(&mut cluster);
    let mut next = next_owner(&cluster);
    next.owner.record_previous_owners_stopped(next.now);
    let other = next.fake_workers.keys().find(|id| **id != start.worker).expect("another").clone();
    next.poll(&other);
    next.owner.record_unanswered_poll(&start.worker);
    let until = next.now + bounds().max_lease;
    let mut started_at = None;
    while next.now < until {
        for start in pass_for(&mut next, PASS) {
            assert_eq!(next.running_tasks(), [], "the task started twice");
            next.carry_out_start(&start);
            started_at.get_or_insert(next.now);
        }
        next.poll(&other);
    }
    assert!(started_at.is_some_and(|at| at < until - LEASE_DURATION), "{started_at:?}");
}

/// A worker restarts between two polls that it answers, and a run ends on the new process before the owner
/// hears of it. Guards against acknowledging the end of that run by the index of the process before.
#[test]
fn next_acknowledged_unnoticed_restart() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.submit("00000000000000a2", vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    cluster.finish_all(RunOutcome::Done);
    cluster.poll(&worker);
    cluster.decide();
    cluster.advance(PASS);
    assert_eq!(cluster.owner.workers[&worker].next_acknowledged(), 1);
    restart(&mut cluster, &worker, 2);
    cluster.fake_workers[&worker].running.insert(start.task.clone(), start.run);
    cluster.owner.record_start_outcome(&start, StartOutcome::Unknown, cluster.now);
    cluster.finish_all(RunOutcome::Done);
    cluster.advance(PASS);
    cluster.acknowledge(&worker);
    cluster.poll(&worker);
    cluster.advance(PASS);
    cluster.poll(&worker);
    assert_eq!(pass_for(&mut cluster, PASS * 5), []);
    assert_eq!(cluster.owner.jobs["00000000000000a2"].state, JobState::Complete);
}
