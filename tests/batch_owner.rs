//! Decisions of the owner about starts, ends, leases and limits, without I/O.

mod batch;

use batch::{Cluster, TEAM, active_config, long_running_step, short_step, worker_info};
use indexmap::IndexMap;
use jacinthhook::batch::declarations::{ActiveConfig, Declarations, Team};
use jacinthhook::batch::job::{JobState, Step, WorkerId};
use jacinthhook::batch::orders::{RunOutcome, StartOutcome};
use jacinthhook::batch::owner::LEASE_DURATION;
use jacinthhook::batch::worker::WorkerInfo;
use jacinthhook::fair::Resources;
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "00000000000000a1";

fn state(cluster: &Cluster, job: &str) -> JobState {
    cluster.owner.jobs[job].published_state
}

fn limit_team(cluster: &mut Cluster, processors: u64) {
    cluster.update_config(|active_config| {
        let mut declarations = Declarations::clone(&active_config.declarations);
        let limit = Resources { processors, ..Resources::default() };
        declarations.teams.insert(TEAM.into(), Team { weight: 1, job_rate: None, limit });
        active_config.declarations = Arc::new(declarations);
    });
}

/// Steps run in order, and the job is complete once the end of its last task is stored.
#[test]
fn schedule_tasks_steps_in_order() {
    let mut cluster = Cluster::new(3);
    let second_step = Step { after: vec![0], ..short_step(2) };
    cluster.submit(JOB, vec![short_step(3), second_step]);
    cluster.settle();
    assert_eq!(cluster.running_tasks().len(), 3);
    assert_eq!(state(&cluster, JOB), JobState::Running);
    cluster.finish_all(RunOutcome::Done);
    cluster.settle();
    assert!(cluster.running_tasks().iter().all(|(_, task, _)| task.step == 1));
    assert_eq!(cluster.running_tasks().len(), 2);
    cluster.finish_all(RunOutcome::Done);
    cluster.settle();
    assert_eq!(state(&cluster, JOB), JobState::Complete);
    assert_eq!(cluster.starts.len(), 5, "a task started twice");
}

/// Guards against a start that is sent before it is stored: the next owner would not know of it and
/// start the task again.
#[test]
fn take_decisions_start_with_record() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    let batch = cluster.decide();
    assert_eq!(batch.orders.starts.len(), 1);
    let record = batch.updates.iter().find(|e| &*e.key == JOB).expect("a record of the job");
    let text =
        String::from_utf8(record.value.clone().expect("a value").to_vec()).expect("UTF-8 text");
    assert!(text.contains(&*batch.orders.starts[0].worker), "{text}");
}

/// Guards against acknowledging an end before it is stored: the next owner would start the task
/// again.
#[test]
fn mark_stored_finished_run() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.finish_all(RunOutcome::Done);
    cluster.poll_all();
    assert_eq!(cluster.owner.workers["w0"].last_stored, 0);
    let batch = cluster.owner.take_decisions(cluster.now);
    assert_eq!(cluster.owner.workers["w0"].last_stored, 0);
    cluster.owner.mark_stored(&batch);
    assert_eq!(cluster.owner.workers["w0"].last_stored, 1);
}

/// Guards against showing a job as complete before that is stored: the next owner would revert it.
#[test]
fn mark_stored_job_state() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.finish_all(RunOutcome::Done);
    cluster.poll_all();
    let batch = cluster.owner.take_decisions(cluster.now);
    assert_eq!(state(&cluster, JOB), JobState::Running);
    cluster.owner.mark_stored(&batch);
    assert_eq!(state(&cluster, JOB), JobState::Complete);
}

/// A job whose task fails too often ends as failed, and the task is not started again.
#[test]
fn apply_report_max_attempts() {
    let mut cluster = Cluster::new(3);
    cluster.submit(JOB, vec![short_step(1)]);
    for _ in 0..2 {
        cluster.settle();
        cluster.finish_all(RunOutcome::Failed);
    }
    cluster.settle();
    assert_eq!(state(&cluster, JOB), JobState::Failed);
    assert_eq!(cluster.starts.len(), 2);
    assert!(cluster.running_tasks().is_empty());
}

/// A failed run is retried on another worker.
#[test]
fn schedule_tasks_after_failed_run() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.finish_all(RunOutcome::Failed);
    cluster.settle();
    assert_ne!(cluster.starts[0].worker, cluster.starts[1].worker);
    assert!(cluster.starts[1].run > cluster.starts[0].run);
}

/// Cancelling a job stops its runs and starts no other tasks.
#[test]
fn cancel_stops_all_runs() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(4), Step { after: vec![0], ..short_step(1) }]);
    cluster.settle();
    assert!(cluster.owner.cancel(JOB, cluster.now));
    cluster.settle();
    assert!(cluster.running_tasks().is_empty());
    assert_eq!(state(&cluster, JOB), JobState::Cancelled);
    assert_eq!(cluster.starts.len(), 4);
    assert!(!cluster.owner.cancel("00000000000000ff", cluster.now));
}

/// A lost stop order is repeated until the run has ended.
#[test]
fn cancel_retries_lost_stop() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.owner.cancel(JOB, cluster.now);
    assert_eq!(cluster.decide().orders.stops.len(), 1);
    assert_eq!(cluster.decide().orders.stops.len(), 0);
    cluster.advance(Duration::from_secs(1));
    assert_eq!(cluster.decide().orders.stops.len(), 1);
}

/// Guards against extending the lease of a worker that does not respond: its tasks would never run
/// again.
#[test]
fn extend_lease_unresponsive_worker() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    let lease = cluster.owner.extend_lease(cluster.now, "w0").expect("a clock");
    for _ in 0..20 {
        cluster.advance(Duration::from_millis(400));
        cluster.owner.record_unanswered_poll(&"w0".into());
        assert_eq!(cluster.owner.extend_lease(cluster.now, "w0"), Some(lease));
    }
    cluster.decide();
    assert!(cluster.owner.workers["w0"].assigned.is_empty());
}

/// Guards against starting a task again while its previous run may still be active.
#[test]
fn tick_unresponsive_worker_within_lease() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.owner.extend_lease(cluster.now, "w0");
    cluster.owner.extend_lease(cluster.now, "w1");
    cluster.owner.record_unanswered_poll(&"w0".into());
    cluster.owner.record_unanswered_poll(&"w1".into());
    cluster.advance(LEASE_DURATION - Duration::from_millis(10));
    assert!(cluster.decide().orders.starts.is_empty());
}

/// Guards against running a task twice: a start order without a response may still take effect, so
/// the run is stopped before another starts.
#[test]
fn record_start_outcome_unknown() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    cluster.owner.record_start_outcome(&start, StartOutcome::Unknown, cluster.now);
    cluster.advance(Duration::from_secs(2));
    cluster.poll_all();
    let batch = cluster.decide();
    assert_eq!(batch.orders.stops.len(), 1);
    assert!(batch.orders.starts.is_empty());
    cluster.advance(Duration::from_millis(100));
    cluster.owner.record_stop_accepted(&batch.orders.stops[0], cluster.now);
    cluster.advance(Duration::from_millis(100));
    cluster.poll_all();
    cluster.advance(Duration::from_millis(100));
    let restarts = cluster.decide().orders.starts;
    assert_eq!(restarts.len(), 1);
    assert!(restarts[0].run > start.run);
}

/// Guards against running a task twice after a worker process was replaced under the same id. The
/// worker is polled again under a higher fence before its tasks run elsewhere, so that orders to
/// the previous process cannot take effect.
#[test]
fn apply_report_restarted_worker() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    let (worker, _, _) = cluster.running_tasks().remove(0);
    let fence = cluster.owner.fence(&worker);
    cluster.fake_workers[&worker] =
        batch::FakeWorker { incarnation: 2, ..batch::FakeWorker::default() };
    cluster.poll(&worker);
    assert!(cluster.owner.fence(&worker) > fence);
    assert!(cluster.decide().orders.starts.is_empty());
    cluster.advance(Duration::from_millis(100));
    cluster.poll(&worker);
    cluster.advance(Duration::from_millis(100));
    assert_eq!(cluster.decide().orders.starts.len(), 1);
}

/// A worker that was cut off leaves the registry and returns in the same process. Guards against a
/// fence below one that the worker may have seen: the worker then rejected every poll and order, and
/// its tasks were lost for the rest of the term.
#[test]
fn update_workers_relisted_worker_fence() {
    let mut cluster = Cluster::new(2);
    cluster.submit("job", vec![long_running_step(2, 1)]);
    cluster.settle();
    let (w0, w1): (WorkerId, WorkerId) = ("w0".into(), "w1".into());
    let listed = |ids: &[&WorkerId]| -> IndexMap<WorkerId, WorkerInfo> {
        ids.iter().enumerate().map(|(i, id)| ((*id).clone(), worker_info(id, i))).collect()
    };
    cluster.owner.update_workers(&listed(&[&w0]), cluster.now);
    cluster.advance(LEASE_DURATION * 2);
    cluster.poll(&w0);
    cluster.decide();
    let seen_fence = cluster.owner.fence(&w1);
    cluster.owner.update_workers(&listed(&[&w0]), cluster.now);
    assert!(!cluster.owner.workers.contains_key(&w1), "nothing is left of the worker");
    cluster.owner.update_workers(&listed(&[&w0, &w1]), cluster.now);
    assert!(cluster.owner.fence(&w1) >= seen_fence);
    let other_fence = cluster.owner.fence(&w0);
    cluster.owner.end_incarnation(&w0, cluster.now);
    assert!(cluster.owner.fence(&w0) > other_fence, "orders in flight are void");
}

/// However often workers are synced again, fences rise and stay below those of the next term.
/// Guards against a worker that prefers the orders of an earlier owner, or voided orders.
#[test]
fn fence_many_syncs() {
    let mut cluster = Cluster::new(1);
    let worker: WorkerId = "w0".into();
    for _ in 0..=u16::MAX {
        let fence = cluster.owner.fence(&worker);
        cluster.owner.end_incarnation(&worker, cluster.now);
        assert!(cluster.owner.fence(&worker) > fence);
    }
    let next = Cluster::with_term(2, active_config());
    assert!(cluster.owner.fence(&worker) < next.owner.fence(&worker));
}

/// A run that the owner does not know is stopped.
#[test]
fn apply_report_unknown_run() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    let (worker, task, run) = cluster.running_tasks().remove(0);
    let unknown = jacinthhook::batch::job::TaskId { index: 7, ..task };
    cluster.fake_workers[&worker].running.insert(unknown.clone(), run);
    cluster.poll(&worker);
    let stops = cluster.decide().orders.stops;
    assert_eq!(stops.iter().map(|s| &s.task).collect::<Vec<_>>(), [&unknown]);
}

/// Guards against a new owner that starts running tasks again or loses ends.
#[test]
fn restore_record_runs_and_ends() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(3)]);
    cluster.settle();
    let (worker, task, run) = cluster.running_tasks().remove(0);
    cluster.finish_run(&worker, &task, run, RunOutcome::Done);
    cluster.poll_all();
    let record =
        cluster.owner.take_decisions(cluster.now).updates.remove(0).value.expect("a value");
    let mut next = Cluster::with_term(2, active_config());
    next.submit(JOB, vec![short_step(3)]);
    next.owner.restore_record(JOB, &record, next.now);
    let registry = (0..2).map(|i| (Arc::from(format!("w{i}")), worker_info(&format!("w{i}"), i)));
    next.owner.update_workers(&registry.collect(), next.now);
    next.owner.finish_restore(next.now);
    next.fake_workers = cluster.fake_workers.clone();
    // The start of one run was lost; the other run continues.
    let (worker, lost, _) = next.running_tasks().remove(0);
    next.fake_workers[&worker].running.swap_remove(&lost);
    next.advance(Duration::from_millis(100));
    next.poll_all();
    next.advance(Duration::from_millis(100));
    let starts = next.decide().orders.starts;
    assert_eq!(starts.len(), 1);
    assert_eq!((&starts[0].task, starts[0].run), (&lost, 2));
    assert!(next.owner.fence("w0") > cluster.owner.fence("w0"));
}

/// Tasks of an unreachable worker wait until the leases of previous owners have expired, and at
/// most one lease duration once the previous owner has stopped.
#[test]
fn finish_restore_prior_leases() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    let record = cluster.decide().updates.remove(0).value.expect("a value");
    let mut next = Cluster::with_term(2, active_config());
    next.submit(JOB, vec![short_step(1)]);
    next.owner.restore_record(JOB, &record, next.now);
    next.owner.finish_restore(next.now);
    next.advance(LEASE_DURATION);
    next.decide();
    assert_eq!(next.owner.workers["w0"].assigned.len(), 1);
    next.owner.record_previous_owners_stopped(next.now);
    next.advance(LEASE_DURATION.mul_f64(1.1));
    next.decide();
    assert!(next.owner.workers.get("w0").is_none_or(|w| w.assigned.is_empty()));
}

/// The owner directly before is gone, and the one before that may act for some time. Guards against
/// starting a task elsewhere while that owner still extends the lease of its run.
#[test]
fn record_previous_owners_stopped_ahead() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    let record = cluster.decide().updates.remove(0).value.expect("a value");
    let mut next = Cluster::with_term(3, active_config());
    next.submit(JOB, vec![short_step(1)]);
    next.owner.restore_record(JOB, &record, next.now);
    next.owner.finish_restore(next.now);
    let others_act_for = Duration::from_secs(4);
    next.owner.record_previous_owners_stopped(next.now + others_act_for);
    next.advance(others_act_for + LEASE_DURATION);
    next.decide();
    assert_eq!(next.owner.workers["w0"].assigned.len(), 1);
    next.advance(LEASE_DURATION.mul_f64(0.1));
    next.decide();
    assert!(next.owner.workers.get("w0").is_none_or(|w| w.assigned.is_empty()));
}

/// A team does not exceed its limit.
#[test]
fn schedule_tasks_team_limit() {
    let mut cluster = Cluster::new(3);
    limit_team(&mut cluster, 2_000);
    cluster.submit(JOB, vec![short_step(5)]);
    cluster.settle();
    assert_eq!(cluster.running_tasks().len(), 2);
    cluster.finish_all(RunOutcome::Done);
    cluster.settle();
    assert_eq!(cluster.running_tasks().len(), 2);
}

/// Guards against a task larger than its team's limit that never runs.
#[test]
fn schedule_tasks_team_limit_below_one_task() {
    let mut cluster = Cluster::new(1);
    limit_team(&mut cluster, 600);
    cluster.submit(JOB, vec![short_step(2)]);
    cluster.settle();
    assert_eq!(cluster.running_tasks().len(), 1);
}

/// Guards against a long-running task that waits behind newer jobs after its end while the pool is
/// full.
#[test]
fn schedule_tasks_long_running_first() {
    let mut cluster = Cluster::new(1);
    cluster.submit("00000000000000a0", vec![long_running_step(1, 0)]);
    cluster.settle();
    cluster.submit(JOB, vec![short_step(40)]);
    for _ in 0..30 {
        cluster.advance(Duration::from_secs(1));
        cluster.poll_all();
    }
    cluster.settle();
    let (worker, task, run) = cluster
        .running_tasks()
        .into_iter()
        .find(|(_, t, _)| &*t.job != JOB)
        .expect("a running long-running task");
    cluster.finish_run(&worker, &task, run, RunOutcome::Failed);
    cluster.settle();
    assert!(cluster.running_tasks().iter().any(|(_, t, _)| *t == task));
}

/// No task starts in an unavailable zone, on a draining worker, or on an unregistered one.
#[test]
fn schedule_tasks_unavailable_workers() {
    let mut cluster = Cluster::new(3);
    cluster.update_config(|active_config| {
        active_config.zones_out.insert("zone-0".into());
    });
    let mut registry: Vec<_> = (0..3).map(|i| worker_info(&format!("w{i}"), i)).collect();
    registry[1].draining = true;
    registry.remove(2);
    cluster
        .owner
        .update_workers(&registry.into_iter().map(|l| (l.id.clone(), l)).collect(), cluster.now);
    cluster.submit(JOB, vec![short_step(1)]);
    assert!(cluster.decide().orders.starts.is_empty());
}

/// All members of a gang start together under the same run number, or none starts.
#[test]
fn schedule_tasks_gang() {
    let gang = |count| Step { gang: true, ..short_step(count) };
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![gang(17)]);
    assert!(cluster.decide().orders.starts.is_empty());
    assert_eq!(cluster.owner.team_usage(TEAM).processors, 0);
    cluster.submit("00000000000000a2", vec![gang(4)]);
    let starts = cluster.decide().orders.starts;
    assert_eq!(starts.len(), 4);
    assert!(starts.iter().all(|s| s.run == starts[0].run));
}

/// Tasks respect the limit per worker, and a required label.
#[test]
fn schedule_tasks_worker_limit_and_label() {
    let mut cluster = Cluster::new(2);
    let spread = Step { max_per_worker: 1, ..short_step(3) };
    let other = Step { label: Some("b".into()), ..short_step(1) };
    cluster.submit(JOB, vec![spread, other]);
    let starts = cluster.decide().orders.starts;
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[0].worker, starts[1].worker);
}

/// A worker with several consecutive failures receives no starts for a while.
#[test]
fn schedule_tasks_quarantined_worker() {
    let mut cluster = Cluster::new(1);
    for i in 0..4 {
        cluster.submit(&format!("00000000000000b{i}"), vec![short_step(1)]);
    }
    cluster.settle();
    cluster.finish_all(RunOutcome::Failed);
    cluster.settle();
    assert!(cluster.running_tasks().is_empty());
}

/// Best-effort tasks slow down when a serving task on the same worker approaches its tail latency
/// target, and speed up again afterwards.
#[test]
fn apply_report_paces_best_effort_task() {
    let mut cluster = Cluster::new(1);
    let serving =
        Step { tail_latency_target: Duration::from_millis(100), ..long_running_step(1, 0) };
    let best_effort = Step { best_effort: true, ..long_running_step(1, 0) };
    cluster.submit(JOB, vec![serving, best_effort]);
    cluster.settle();
    cluster.fake_workers["w0"].load = 120;
    cluster.poll_all();
    assert_eq!(cluster.decide().orders.paces[0].speed_percent, 50);
    cluster.fake_workers["w0"].load = 10;
    cluster.poll_all();
    assert!(cluster.decide().orders.paces[0].speed_percent > 50);
}

/// Accepted jobs survive a configuration version without their queue, and run once the queue is
/// back.
#[test]
fn schedule_tasks_removed_queue() {
    let mut cluster = Cluster::new(1);
    let before = active_config();
    cluster.update_config(|active_config| *active_config = ActiveConfig::default());
    cluster.submit(JOB, vec![short_step(1)]);
    assert!(cluster.decide().orders.starts.is_empty());
    cluster.update_config(|active_config| *active_config = before);
    assert_eq!(cluster.decide().orders.starts.len(), 1);
}

/// Occurrences begin when they are due, not earlier.
#[test]
fn tick_due_occurrences() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    let spec = jacinthhook::batch::job::JobSpec {
        steps: vec![short_step(1)],
        repeats: 2,
        first_at: Duration::from_secs(50),
        interval: Duration::from_secs(10),
        ..Default::default()
    };
    let id = "00000000000000c1";
    cluster.owner.add_job(id.into(), Arc::new(spec), "queue".into(), None, cluster.now);
    for (unix_time, open) in [(49, 0), (50, 1), (59, 1), (60, 2)] {
        cluster.owner.tick(cluster.now, Duration::from_secs(unix_time));
        assert_eq!(cluster.owner.jobs[id].open_occurrences.len(), open, "at {unix_time} s");
    }
}

/// Guards against counting a failed run twice, which would fail the job too early: the worker
/// reports a stored but unacknowledged end to the next owner again.
#[test]
fn restore_record_failed_run() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.finish_all(RunOutcome::Failed);
    cluster.poll_all();
    let record =
        cluster.owner.take_decisions(cluster.now).updates.remove(0).value.expect("a value");
    let mut next = Cluster::with_term(2, active_config());
    next.submit(JOB, vec![short_step(1)]);
    next.owner.restore_record(JOB, &record, next.now);
    next.owner
        .update_workers(&[("w0".into(), worker_info("w0", 0))].into_iter().collect(), next.now);
    next.owner.finish_restore(next.now);
    next.fake_workers = cluster.fake_workers.clone();
    next.advance(Duration::from_millis(100));
    next.poll_all();
    next.settle();
    assert_eq!(state(&next, JOB), JobState::Running);
    assert_eq!(next.running_tasks().len(), 1);
}

/// Guards against running a task twice: a start order without a response may still be carried out,
/// even if its retry was rejected.
#[test]
fn merge_retry_after_unknown() {
    use StartOutcome::{Busy, NoRoom, NotSent, Over, Started, Unknown};
    for rejection in [Busy, NoRoom, NotSent] {
        assert_eq!(Unknown.merge_retry(rejection), Unknown);
        assert_eq!(NotSent.merge_retry(rejection), rejection);
    }
    for confirmed in [Started, Over] {
        assert_eq!(Unknown.merge_retry(confirmed), confirmed);
    }
}
