//! Pattern: a burst in which seconds may pass between a decision and its order, because the owner's
//! processor, its link or the store is slow. No network.

mod batch;

use batch::{Cluster, long_running_step, short_step};
use jacinthhook::batch::job::{JobState, WorkerId};
use jacinthhook::batch::orders::{StartOrder, StartOutcome};
use jacinthhook::batch::owner::POLL_WAIT;
use std::time::Duration;

const JOB: &str = "00000000000000a1";
/// Longer than a lease.
const LONG_IDLE: Duration = Duration::from_secs(20);
const PASS: Duration = Duration::from_millis(10);
/// Time after which the client gives up a start that gets no response.
const UNANSWERED_AFTER: Duration = Duration::from_millis(1_800);
/// By the users' rules, a job may have nothing running for this long.
const IDLE_BOUND: Duration = Duration::from_secs(3);

/// The lease of a worker that idled for long is over when a task is assigned to it. Guards against
/// giving up the task before its order is sent: the order then started a second run.
#[test]
fn tick_task_on_idle_worker() {
    let mut cluster = Cluster::new(1);
    cluster.advance(LONG_IDLE);
    cluster.submit(JOB, vec![short_step(3)]);
    let starts = cluster.decide().orders.starts;
    assert_eq!(starts.len(), 3);
    cluster.advance(Duration::from_millis(25));
    cluster.decide();
    let worker: WorkerId = "w0".into();
    assert_eq!(cluster.owner.workers[&worker].assigned.len(), 3, "the tasks were given up");
}

/// A worker's address is taken by another one, or its machine moves, while a start waits for the
/// store. Guards against sending the start under the new fencing token after its task was given up:
/// it would run here and elsewhere.
#[test]
fn authorize_start_worker_ended() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    assert!(cluster.owner.authorize_start(&start, cluster.now).is_some());
    cluster.owner.end_incarnation(&start.worker, cluster.now);
    assert_eq!(cluster.owner.authorize_start(&start, cluster.now), None);
}

/// Guards against a start that is sent, or sent again, after its run was given up and its task runs
/// elsewhere.
#[test]
fn authorize_start_task_restarted() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    cluster.owner.record_start_outcome(&start, StartOutcome::NoRoom, cluster.now);
    cluster.advance(Duration::from_millis(100));
    assert_eq!(cluster.decide().orders.starts.len(), 1);
    assert_eq!(cluster.owner.authorize_start(&start, cluster.now), None);
}

/// Guards against starting tasks of a job that was cancelled while the start waited.
#[test]
fn authorize_start_cancelled_job() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    cluster.owner.cancel(JOB, cluster.now);
    assert_eq!(cluster.owner.jobs[JOB].state, JobState::Cancelled);
    assert_eq!(cluster.owner.authorize_start(&start, cluster.now), None);
}

/// A poll that was sent before orders in flight were voided is answered after. Guards against
/// taking the worker for synced: it has not seen the new fencing token, so that voided orders could
/// still take effect.
#[test]
fn apply_report_earlier_fence() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    let report = cluster.report(&worker);
    cluster.owner.record_start_outcome(&start, StartOutcome::Fenced, cluster.now);
    cluster.owner.apply_report(&worker, report, cluster.now);
    assert!(!cluster.owner.workers[&worker].synced);
    cluster.poll(&worker);
    assert!(cluster.owner.workers[&worker].synced);
}

/// Guards against placing tasks on a worker that did not respond to its last poll while others do:
/// their starts would wait for its timeout, or arrive with a lease that is over.
#[test]
fn schedule_tasks_unresponsive_worker() {
    let mut cluster = Cluster::new(2);
    let silent: WorkerId = "w0".into();
    cluster.owner.record_unanswered_poll(&silent);
    cluster.submit(JOB, vec![short_step(4)]);
    let starts = cluster.decide().orders.starts;
    assert_eq!(starts.len(), 4);
    assert!(starts.iter().all(|start| start.worker != silent));
    assert!(cluster.owner.workers[&silent].needs_poll(), "its recovery would go unnoticed");
    cluster.poll(&silent);
    assert!(!cluster.owner.workers[&silent].needs_poll());
}

/// Guards against holding a task for seconds at a worker that went silent before its start was sent.
#[test]
fn authorize_start_unresponsive_worker() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    cluster.owner.record_unanswered_poll(&start.worker);
    assert_eq!(cluster.owner.authorize_start(&start, cluster.now), None);
    cluster.owner.record_start_outcome(&start, StartOutcome::NotSent, cluster.now);
    cluster.advance(Duration::from_millis(100));
    let next = cluster.decide().orders.starts.remove(0);
    assert_ne!(next.worker, start.worker);
}

/// The store applies a submission after the job's cancellation, because its first answer was lost.
/// Guards against running a job whose cancellation was confirmed.
#[test]
fn add_job_cancelled_before() {
    let mut cluster = Cluster::new(1);
    assert!(!cluster.owner.cancel(JOB, cluster.now));
    cluster.submit(JOB, vec![short_step(1)]);
    assert_eq!(cluster.decide().orders.starts, []);
    assert_eq!(cluster.owner.jobs[JOB].published_state, JobState::Cancelled);
}

/// A start gets no response and never arrives, and the worker has no other runs that could end. Guards
/// against polls that wait for the end of a run: the task started elsewhere after up to 5 s.
#[test]
fn poll_wait_unanswered_start() {
    for percent in (0..100).step_by(10) {
        let mut cluster = Cluster::new(2);
        cluster.submit(JOB, vec![short_step(1)]);
        let start = cluster.decide().orders.starts.remove(0);
        let wait = time_to_restart(&mut cluster, &start, POLL_WAIT * percent / 100);
        assert!(wait < IDLE_BOUND, "{wait:?} after a poll that lasts {percent}%");
    }
}

/// Follows a start that never arrives until its task is ordered to start again. The worker answers each poll
/// when its wait is over, first after `remaining` one that was sent before the start, and takes stops.
fn time_to_restart(cluster: &mut Cluster, start: &StartOrder, remaining: Duration) -> Duration {
    let worker = &start.worker;
    let assigned_at = cluster.now;
    let mut poll = (assigned_at, assigned_at + remaining);
    let mut is_open = true;
    loop {
        if is_open && cluster.now >= assigned_at + UNANSWERED_AFTER {
            cluster.owner.record_start_outcome(start, StartOutcome::Unknown, cluster.now);
            is_open = false;
        }
        let (requested_at, answered_at) = poll;
        if cluster.now >= answered_at {
            let mut report = cluster.report(worker);
            report.requested_at = requested_at;
            cluster.owner.apply_report(worker, report, cluster.now);
            cluster.owner.extend_lease(cluster.now, worker);
            let known = &cluster.owner.workers[worker];
            poll = (cluster.now, cluster.now + cluster.owner.poll_wait(known, cluster.now));
        }
        let orders = cluster.decide().orders;
        for stop in orders.stops {
            cluster.owner.record_stop_accepted(&stop, cluster.now);
        }
        if orders.starts.iter().any(|other| other.task == start.task) {
            return cluster.now - assigned_at;
        }
        cluster.advance(PASS);
    }
}

/// Guards against frequent polls of workers whose runs have all started, or whose starts are in time.
#[test]
fn poll_wait_started_runs() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(2)]);
    let starts = cluster.decide().orders.starts;
    let poll_wait =
        |cluster: &Cluster| cluster.owner.poll_wait(&cluster.owner.workers["w0"], cluster.now);
    assert_eq!(poll_wait(&cluster), POLL_WAIT);
    for start in &starts {
        let outcome = cluster.carry_out_start(start);
        cluster.owner.record_start_outcome(start, outcome, cluster.now);
    }
    cluster.advance(Duration::from_secs(2));
    assert_eq!(poll_wait(&cluster), POLL_WAIT);
}

/// Guards against stopping a long-running task sooner whose start takes effect late: it is at work by then.
#[test]
fn poll_wait_long_running_start() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![long_running_step(1, 1)]);
    assert_eq!(cluster.decide().orders.starts.len(), 1);
    cluster.advance(Duration::from_secs(2));
    assert_eq!(cluster.owner.poll_wait(&cluster.owner.workers["w0"], cluster.now), POLL_WAIT);
}
