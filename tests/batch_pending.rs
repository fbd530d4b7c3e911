//! Which jobs count as pending: accepted, and no task has started. No network.

mod batch;

use batch::{Cluster, active_config, long_running_step, short_step};
use jacinthhook::batch::job::JobState;
use jacinthhook::batch::orders::{RunOutcome, StartOutcome};
use jacinthhook::batch::records;
use std::time::Duration;

const JOB: &str = "00000000000000a1";
const QUEUE: &str = "queue";

fn state(cluster: &Cluster) -> JobState {
    cluster.owner.jobs[JOB].published_state
}

/// Guards against a job that counts as started although its start was refused or never left.
#[test]
fn pending_jobs_start_refused() {
    for outcome in [StartOutcome::OtherWorker, StartOutcome::NoRoom, StartOutcome::NotSent] {
        let mut cluster = Cluster::new(1);
        cluster.submit(JOB, vec![short_step(1)]);
        let start = cluster.decide().orders.starts.remove(0);
        assert_eq!(cluster.owner.pending_jobs(QUEUE), 1, "{outcome:?}: before the answer");
        let now = cluster.now;
        cluster.owner.record_start_outcome(&start, outcome, now);
        cluster.decide();
        assert_eq!(cluster.owner.pending_jobs(QUEUE), 1, "{outcome:?}");
        assert_eq!(state(&cluster), JobState::Queued, "{outcome:?}");
    }
}

/// Guards against a job that goes on counting as pending once a worker has begun a task, whichever way the owner
/// learns of it.
#[test]
fn pending_jobs_start_known() {
    for source in ["answer", "list", "end"] {
        let mut cluster = Cluster::new(1);
        cluster.submit(JOB, vec![short_step(2)]);
        let start = cluster.decide().orders.starts.remove(0);
        cluster.carry_out_start(&start);
        let now = cluster.now;
        match source {
            "answer" => cluster.owner.record_start_outcome(&start, StartOutcome::Started, now),
            "list" => cluster.poll(&start.worker),
            _ => {
                cluster.finish_run(&start.worker, &start.task, start.run, RunOutcome::Done);
                cluster.poll(&start.worker);
            }
        }
        assert_eq!(cluster.owner.pending_jobs(QUEUE), 0, "{source}");
        assert_eq!(state(&cluster), JobState::Running, "{source}");
        // What was stored before the answer does not take it back.
        cluster.decide();
        assert_eq!(state(&cluster), JobState::Running, "{source}");
    }
}

/// A long-running task has no end that would be stored. Guards against a next owner that counts its job as pending
/// while the worker does not answer, and against one that takes a job for started whose start was never sent.
#[test]
fn restore_record_started() {
    for is_started in [true, false] {
        let mut cluster = Cluster::new(1);
        cluster.submit(JOB, vec![long_running_step(1, 0)]);
        let batch = cluster.decide();
        let mut updates = batch.updates;
        if is_started {
            let now = cluster.now;
            let start = &batch.orders.starts[0];
            cluster.owner.record_start_outcome(start, StartOutcome::Started, now);
            updates.extend(cluster.decide().updates);
        }
        let stored = updates.iter().rev().find(|u| &*u.key == JOB);
        let stored = stored.and_then(|u| u.value.clone()).expect("the job is stored");
        let spec = cluster.owner.jobs[JOB].spec.clone();
        let mut next = Cluster::with_term(2, active_config());
        next.advance(Duration::from_secs(1));
        let now = next.now;
        next.owner.add_job(JOB.into(), spec, QUEUE.into(), None, now);
        next.owner.restore_record(JOB, &stored, now);
        next.owner.finish_restore(now);
        assert_eq!(next.owner.pending_jobs(QUEUE), u64::from(!is_started));
        let expected = if is_started { JobState::Running } else { JobState::Queued };
        assert_eq!(state(&next), expected);
    }
}

/// Guards against a state that is shown before it is stored: a final one must not be taken back by the next owner.
#[test]
fn mark_stored_final_state() {
    let mut cluster = Cluster::new(1);
    cluster.submit(JOB, vec![short_step(1)]);
    let start = cluster.decide().orders.starts.remove(0);
    cluster.carry_out_start(&start);
    cluster.finish_run(&start.worker, &start.task, start.run, RunOutcome::Done);
    cluster.poll(&start.worker);
    let now = cluster.now;
    cluster.owner.tick(now, Duration::ZERO);
    let batch = cluster.owner.take_decisions(now);
    assert_eq!(state(&cluster), JobState::Running);
    cluster.owner.mark_stored(&batch);
    assert_eq!(state(&cluster), JobState::Complete);
    let stored = records::encode_job(&JOB.into(), &cluster.owner.jobs[JOB]).value;
    assert!(stored.is_some());
}
