//! Jobs whose queue is declared otherwise, or not at all, since they were accepted. No network.

mod batch;

use batch::{Cluster, TEAM, active_config, short_step};
use bytes::Bytes;
use jacinthhook::batch::declarations::{ActiveConfig, Queue};
use jacinthhook::batch::job::JobState;
use jacinthhook::batch::orders::RunOutcome;
use jacinthhook::platform::job_format;
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "00000000000000a1";

fn set_queues(cluster: &mut Cluster, f: impl Fn(&mut Vec<Queue>)) {
    cluster.update_config(|config: &mut ActiveConfig| {
        f(&mut Arc::make_mut(&mut config.declarations).queues);
    });
}

/// Ends all running tasks as failed, and lets the owner process that.
fn fail_all(cluster: &mut Cluster) {
    cluster.finish_all(RunOutcome::Failed);
    cluster.settle();
}

/// A route is taken away while its job runs. Guards against failing the job after one failed run of two, and
/// against a job that waits for the route: what was accepted is finished.
#[test]
fn process_finished_run_undeclared_queue() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    cluster.settle();
    set_queues(&mut cluster, Vec::clear);
    fail_all(&mut cluster);
    assert_eq!(cluster.owner.jobs[JOB].state, JobState::Running);
    assert_eq!(cluster.running_tasks().len(), 1, "the task does not run again");
    fail_all(&mut cluster);
    assert_eq!(cluster.owner.jobs[JOB].state, JobState::Failed);
}

/// The limit of failed runs is changed after a job was accepted. Guards against failing it earlier than it
/// was accepted for, and against more runs than that.
#[test]
fn process_finished_run_changed_limit() {
    for max_attempts in [1, 5] {
        let mut cluster = Cluster::new(2);
        cluster.submit(JOB, vec![short_step(1)]);
        cluster.settle();
        set_queues(&mut cluster, |queues| queues[0].max_attempts = max_attempts);
        fail_all(&mut cluster);
        assert_eq!(cluster.owner.jobs[JOB].state, JobState::Running, "limit now {max_attempts}");
        fail_all(&mut cluster);
        assert_eq!(cluster.owner.jobs[JOB].state, JobState::Failed, "limit now {max_attempts}");
    }
}

/// Returns the owner of the next term, which reads a job as an instance stored it, and knows no queue.
fn next_owner(stored: Bytes) -> Cluster {
    let mut cluster = Cluster::new(2);
    set_queues(&mut cluster, Vec::clear);
    let job = job_format::decode_stored_job(&stored).expect("a stored job");
    let spec = Arc::new(job.spec);
    cluster.owner.add_job(JOB.into(), spec, job.queue, job.team, cluster.now);
    if let Some(queue) = job.accepted_queue {
        cluster.owner.record_accepted_queue(JOB, queue);
    }
    cluster.settle();
    cluster
}

const BODY: &[u8] = br#"{"spec":"p","steps":[{"count":1,"cpu":1000,"memMb":1}]}"#;

/// The owner changes while the route of a job is away. Guards against a next owner that fails the job after
/// one failed run, or never runs it.
#[test]
fn record_accepted_queue_next_owner() {
    let queue = active_config().declarations.queues[0].clone();
    let team = TEAM.into();
    let stored =
        job_format::encode_stored_job(&queue, Some(&team), BODY, Duration::ZERO).expect("a job");
    let accepted = job_format::decode_stored_job(&stored).expect("a stored job").accepted_queue;
    assert_eq!(accepted.as_ref(), Some(&queue));
    let mut cluster = next_owner(stored);
    assert_eq!(cluster.running_tasks().len(), 1);
    fail_all(&mut cluster);
    assert_eq!(cluster.owner.jobs[JOB].state, JobState::Running);
    fail_all(&mut cluster);
    assert_eq!(cluster.owner.jobs[JOB].state, JobState::Failed);
}

/// A job that an earlier version stored does not name how its queue was declared. Guards against failing it
/// while the queue is not declared: the limit is not known.
#[test]
fn decode_stored_job_earlier_version() {
    let stored = format!(
        "{{\"queue\":\"queue\",\"team\":\"team\",\"job\":{}}}",
        String::from_utf8_lossy(BODY)
    );
    let mut cluster = next_owner(stored.into());
    assert_eq!(cluster.running_tasks(), [], "the pool is not known");
    set_queues(&mut cluster, |queues| {
        *queues = active_config().declarations.queues.clone();
    });
    cluster.settle();
    set_queues(&mut cluster, Vec::clear);
    fail_all(&mut cluster);
    assert!(!cluster.owner.jobs[JOB].state.is_final());
}
