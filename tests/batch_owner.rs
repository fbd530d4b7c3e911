//! Decisions of the owner about starts, ends, leases and limits, without I/O.

mod batch;

use batch::{Cluster, TEAM, active_config, long_running_step, short_step, worker_info};
use jacinthhook::batch::declarations::{ActiveConfig, Declarations, Team};
use jacinthhook::batch::job::{JobState, Step};
use jacinthhook::batch::orders::{RunOutcome, StartOutcome};
use jacinthhook::batch::owner::LEASE_DURATION;
use jacinthhook::fair::Resources;
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "00000000000000a1";

fn state(cluster: &Cluster, job: &str) -> JobState {
    cluster.owner.jobs[job].published_state
}

fn limit_team(cluster: &mut Cluster, processors: u64) {
    cluster.update_config(|active_config| {
        let mut declared = Declarations::clone(&active_config.declarations);
        let limit = Resources { processors, ..Resources::default() };
        declared.teams.insert(TEAM.into(), Team { weight: 1, limit });
        active_config.declarations = Arc::new(declared);
    });
}

/// Steps in order, all tasks done, the job complete once that is stored.
#[test]
fn job_runs_steps_in_order() {
    let mut cluster = Cluster::new(3);
    let second = Step { after: vec![0], ..short_step(2) };
    cluster.submit(JOB, vec![short_step(3), second]);
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

/// A start that goes out before it is stored is unknown to the next owner (TWICE).
#[test]
fn collect_start_with_its_record() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    let batch = cluster.decide();
    assert_eq!(batch.orders.starts.len(), 1);
    let record = batch.updates.iter().find(|e| &*e.key == JOB).expect("a record of the job");
    let text = String::from_utf8(record.value.clone().expect("a value").to_vec()).expect("text");
    assert!(text.contains(&*batch.orders.starts[0].worker), "{text}");
}

/// An end that is acknowledged before it is stored is forgotten with its owner (TWICE).
#[test]
fn end_acknowledged_after_it_is_stored() {
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

/// Complete is shown before it is stored, and the next owner takes it back (MIXED).
#[test]
fn complete_shown_after_it_is_stored() {
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

/// Tasks that fail for good end their job and are not started again (BUDGET).
#[test]
fn job_fails_after_its_attempts() {
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

/// A failed run is tried at another worker.
#[test]
fn failed_run_moves_to_other_worker() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.finish_all(RunOutcome::Failed);
    cluster.settle();
    assert_ne!(cluster.starts[0].worker, cluster.starts[1].worker);
    assert!(cluster.starts[1].run > cluster.starts[0].run);
}

/// A cancelled job's runs are stopped and no other starts (UNASKED).
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

/// A stop that is lost is ordered again until the run is gone (UNASKED).
#[test]
fn cancel_repeats_a_lost_stop() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    cluster.owner.cancel(JOB, cluster.now);
    assert_eq!(cluster.decide().orders.stops.len(), 1);
    assert_eq!(cluster.decide().orders.stops.len(), 0);
    cluster.advance(Duration::from_secs(1));
    assert_eq!(cluster.decide().orders.stops.len(), 1);
}

/// The lease of a worker that does not answer must end some time, or its tasks never run again
/// (LOST on trouble-2 of tt-jobs).
#[test]
fn lease_of_silent_worker_ends() {
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

/// A task is started anew while its earlier run may go on (TWICE).
#[test]
fn silent_worker_keeps_its_tasks_until_the_lease_is_over() {
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

/// An order without an answer may take effect later: the run is stopped before another starts (TWICE).
#[test]
fn start_without_answer_is_stopped_first() {
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
    let again = cluster.decide().orders.starts;
    assert_eq!(again.len(), 1);
    assert!(again[0].run > start.run);
}

/// A worker that starts anew under its id is read again under a higher fence before its tasks run
/// elsewhere: orders to its earlier life must not take effect (TWICE).
#[test]
fn reborn_worker_is_greeted_under_a_higher_fence() {
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

/// A run that no owner knows of is stopped.
#[test]
fn unknown_run_is_stopped() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    let (worker, task, run) = cluster.running_tasks().remove(0);
    let earlier = jacinthhook::batch::job::TaskId { index: 7, ..task };
    cluster.fake_workers[&worker].running.insert(earlier.clone(), run);
    cluster.poll(&worker);
    let stops = cluster.decide().orders.stops;
    assert_eq!(stops.iter().map(|s| &s.task).collect::<Vec<_>>(), [&earlier]);
}

/// A fresh owner that starts what runs already (TWICE), or loses what was done (LOST).
#[test]
fn fresh_owner_knows_runs_and_ends() {
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
    let list = (0..2).map(|i| (Arc::from(format!("w{i}")), worker_info(&format!("w{i}"), i)));
    next.owner.update_workers(&list.collect(), next.now);
    next.owner.finish_restore(next.now);
    next.fake_workers = cluster.fake_workers.clone();
    // One run is lost with its message; the other goes on.
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

/// Tasks of a worker that a fresh owner cannot reach wait for the earlier owner's leases, and no
/// longer than one lease once the earlier owner is over.
#[test]
fn fresh_owner_waits_for_earlier_leases() {
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
    next.owner.record_previous_owner_stopped(next.now);
    next.advance(LEASE_DURATION.mul_f64(1.1));
    next.decide();
    assert!(next.owner.workers.get("w0").is_none_or(|w| w.assigned.is_empty()));
}

/// No start beyond a team's upper limit (QUOTA).
#[test]
fn team_limit_bounds_starts() {
    let mut cluster = Cluster::new(3);
    limit_team(&mut cluster, 2_000);
    cluster.submit(JOB, vec![short_step(5)]);
    cluster.settle();
    assert_eq!(cluster.running_tasks().len(), 2);
    cluster.finish_all(RunOutcome::Done);
    cluster.settle();
    assert_eq!(cluster.running_tasks().len(), 2);
}

/// A task larger than its team's limit waits for good (LOST on quiet-1 --seed 311772238664).
#[test]
fn team_limit_below_one_task() {
    let mut cluster = Cluster::new(1);
    limit_team(&mut cluster, 600);
    cluster.submit(JOB, vec![short_step(2)]);
    cluster.settle();
    assert_eq!(cluster.running_tasks().len(), 1);
}

/// A lasting task that ended waits behind newer jobs for as long as its pool is full (LOST on
/// trouble-2 --seed 803139116678 of tt-jobs).
#[test]
fn lasting_task_goes_before_waiting_jobs() {
    let mut cluster = Cluster::new(1);
    cluster.submit("00000000000000a0", vec![long_running_step(1, 0)]);
    cluster.settle();
    cluster.submit(JOB, vec![short_step(40)]);
    for _ in 0..30 {
        cluster.advance(Duration::from_secs(1));
        cluster.poll_all();
    }
    cluster.settle();
    let (worker, task, run) =
        cluster.running_tasks().into_iter().find(|(_, t, _)| &*t.job != JOB).expect("it runs");
    cluster.finish_run(&worker, &task, run, RunOutcome::Failed);
    cluster.settle();
    assert!(cluster.running_tasks().iter().any(|(_, t, _)| *t == task));
}

/// No start in a zone that is out, on a draining worker, or on one that left (EVAC, DRAIN).
#[test]
fn no_start_where_none_is_welcome() {
    let mut cluster = Cluster::new(3);
    cluster.update_config(|active_config| {
        active_config.zones_out.insert("zone-0".into());
    });
    let mut list: Vec<_> = (0..3).map(|i| worker_info(&format!("w{i}"), i)).collect();
    list[1].draining = true;
    list.remove(2);
    cluster
        .owner
        .update_workers(&list.into_iter().map(|l| (l.id.clone(), l)).collect(), cluster.now);
    cluster.submit(JOB, vec![short_step(1)]);
    assert!(cluster.decide().orders.starts.is_empty());
}

/// All members of a gang start together with one run, or none does (GANG).
#[test]
fn gang_starts_whole_or_not() {
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

/// Tasks of a step that must be apart are, and a label is needed where one is asked for (ROUTE).
#[test]
fn placement_keeps_apart_and_labels() {
    let mut cluster = Cluster::new(2);
    let apart = Step { max_per_worker: 1, ..short_step(3) };
    let other = Step { label: Some("b".into()), ..short_step(1) };
    cluster.submit(JOB, vec![apart, other]);
    let starts = cluster.decide().orders.starts;
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[0].worker, starts[1].worker);
}

/// A worker that fails one run after another gets no more for a while.
#[test]
fn failing_worker_is_set_aside() {
    let mut cluster = Cluster::new(1);
    for i in 0..4 {
        cluster.submit(&format!("00000000000000b{i}"), vec![short_step(1)]);
    }
    cluster.settle();
    cluster.finish_all(RunOutcome::Failed);
    cluster.settle();
    assert!(cluster.running_tasks().is_empty());
}

/// Tasks that fill are slowed when one that serves beside them nears its target, and sped up again
/// (HARM).
#[test]
fn filling_task_is_paced_by_tail() {
    let mut cluster = Cluster::new(1);
    let serves =
        Step { tail_latency_target: Duration::from_millis(100), ..long_running_step(1, 0) };
    let best_effort = Step { best_effort: true, ..long_running_step(1, 0) };
    cluster.submit(JOB, vec![serves, best_effort]);
    cluster.settle();
    cluster.fake_workers["w0"].load = 120;
    cluster.poll_all();
    assert_eq!(cluster.decide().orders.paces[0].speed_percent, 50);
    cluster.fake_workers["w0"].load = 10;
    cluster.poll_all();
    assert!(cluster.decide().orders.paces[0].speed_percent > 50);
}

/// A version without the queue does not lose its accepted jobs; one that has it again runs them.
#[test]
fn dropped_queue_keeps_its_jobs() {
    let mut cluster = Cluster::new(1);
    let before = active_config();
    cluster.update_config(|active_config| *active_config = ActiveConfig::default());
    cluster.submit(JOB, vec![short_step(1)]);
    assert!(cluster.decide().orders.starts.is_empty());
    cluster.update_config(|active_config| *active_config = before);
    assert_eq!(cluster.decide().orders.starts.len(), 1);
}

/// Occurrences start when they are due, not before (ORDER).
#[test]
fn schedule_starts_when_due() {
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
    for (wall, open) in [(49, 0), (50, 1), (59, 1), (60, 2)] {
        cluster.owner.tick(cluster.now, Duration::from_secs(wall));
        assert_eq!(cluster.owner.jobs[id].open_occurrences.len(), open, "at {wall} s");
    }
}

/// A failed run that was stored but not acknowledged is listed to the next owner again; counting it
/// twice fails a job that could be done (LOST on trouble-2 of tt-jobs).
#[test]
fn fresh_owner_counts_a_failed_run_once() {
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

/// A start without an answer may be carried out later, though a repeat of it was refused (TWICE on
/// trouble-1 --seed 154492278224 of dglc-sched).
#[test]
fn start_answer_then_refusal() {
    use StartOutcome::{Busy, NoRoom, NotSent, Over, Started, Unknown};
    for refusal in [Busy, NoRoom, NotSent] {
        assert_eq!(Unknown.merge_retry(refusal), Unknown);
        assert_eq!(NotSent.merge_retry(refusal), refusal);
    }
    for there in [Started, Over] {
        assert_eq!(Unknown.merge_retry(there), there);
    }
}
