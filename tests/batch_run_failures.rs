//! Failed runs that count against workers, and those that do not. No network.

mod batch;

use batch::{Cluster, long_running_step, short_step};
use jacinthhook::batch::job::{Step, WorkerId};
use jacinthhook::batch::orders::{RunOutcome, StartOrder, StartOutcome};
use jacinthhook::batch::worker::INITIAL_QUARANTINE;
use std::time::Duration;

const JOB: &str = "00000000000000a1";
const OTHER_JOB: &str = "00000000000000b2";
const PASS: Duration = Duration::from_millis(100);

/// Carries out what is planned. Returns the starts.
fn start_planned(cluster: &mut Cluster) -> Vec<StartOrder> {
    let starts = cluster.decide().orders.starts;
    for start in &starts {
        let outcome = cluster.carry_out_start(start);
        cluster.owner.record_start_outcome(start, outcome, cluster.now);
    }
    cluster.advance(PASS);
    starts
}

/// Ends the running tasks on `workers`, or on all, and lets their workers report it one after the other.
fn finish_on(cluster: &mut Cluster, workers: &[&str], outcome: RunOutcome) {
    for (worker, task, run) in cluster.running_tasks() {
        if workers.is_empty() || workers.contains(&&*worker) {
            cluster.finish_run(&worker, &task, run, outcome);
        }
    }
    cluster.poll_all();
    cluster.advance(PASS);
}

fn quarantined(cluster: &Cluster) -> Vec<WorkerId> {
    let workers = cluster.owner.workers.iter();
    workers.filter(|(_, w)| cluster.now < w.quarantined_until).map(|(id, _)| id.clone()).collect()
}

/// A step whose tasks spread over all workers.
fn spread_step(count: u32, per_worker: u32) -> Step {
    Step { max_per_worker: per_worker, ..short_step(count) }
}

/// All runs of one job fail, on every worker. Guards against keeping all starts off the pool: a long-running
/// task that failed meanwhile was without a run for eleven seconds.
#[test]
fn record_run_failure_hopeless_job() {
    let mut cluster = Cluster::new(8);
    cluster.submit(JOB, vec![spread_step(80, 10)]);
    assert_eq!(start_planned(&mut cluster).len(), 80);
    finish_on(&mut cluster, &[], RunOutcome::Failed);
    assert_eq!(quarantined(&cluster), Vec::<WorkerId>::new());
    cluster.submit(OTHER_JOB, vec![long_running_step(1, 1), short_step(1)]);
    let starts = start_planned(&mut cluster);
    assert_eq!(starts.iter().filter(|s| &*s.task.job == OTHER_JOB).count(), 2);
    finish_on(&mut cluster, &[], RunOutcome::Failed);
    assert_eq!(quarantined(&cluster), Vec::<WorkerId>::new());
}

/// Jobs of one task fail wherever they run. Guards against counting them against the workers that tried.
#[test]
fn record_run_failure_hopeless_tasks() {
    let mut cluster = Cluster::new(4);
    for number in 0..6 {
        cluster.submit(&format!("00000000000000c{number}"), vec![short_step(1)]);
    }
    for _ in 0..2 {
        assert_eq!(start_planned(&mut cluster).len(), 6);
        finish_on(&mut cluster, &[], RunOutcome::Failed);
    }
    assert_eq!(quarantined(&cluster), Vec::<WorkerId>::new());
}

/// A worker fails all that it starts. Guards against feeding it one job's tasks for as long as no run has ended
/// elsewhere, and after that.
#[test]
fn record_run_failure_failing_worker() {
    let mut cluster = Cluster::new(4);
    cluster.submit(JOB, vec![spread_step(40, 10)]);
    assert_eq!(start_planned(&mut cluster).len(), 40);
    finish_on(&mut cluster, &["w0"], RunOutcome::Failed);
    assert_eq!(quarantined(&cluster), [WorkerId::from("w0")]);
    finish_on(&mut cluster, &["w1", "w2", "w3"], RunOutcome::Done);
    assert_eq!(quarantined(&cluster), [WorkerId::from("w0")]);
    assert!(start_planned(&mut cluster).iter().all(|start| &*start.worker != "w0"));
}

/// Two of ten workers fail all that they start. Guards against taking the job for the cause, since it fails on
/// more than one worker: the others have not failed it.
#[test]
fn record_run_failure_failing_workers() {
    let mut cluster = Cluster::new(10);
    cluster.submit(JOB, vec![spread_step(100, 10)]);
    assert_eq!(start_planned(&mut cluster).len(), 100);
    finish_on(&mut cluster, &["w0", "w1"], RunOutcome::Failed);
    assert_eq!(quarantined(&cluster), [WorkerId::from("w0"), WorkerId::from("w1")]);
}

/// Guards against failures that are taken back from a worker which has enough others.
#[test]
fn exonerate_other_failures() {
    let mut cluster = Cluster::new(2);
    for number in 0..3 {
        cluster.submit(&format!("00000000000000c{number}"), vec![short_step(1)]);
    }
    cluster.owner.workers["w1"].cordoned = true;
    assert_eq!(start_planned(&mut cluster).len(), 3);
    finish_on(&mut cluster, &[], RunOutcome::Failed);
    assert_eq!(quarantined(&cluster), [WorkerId::from("w0")]);
    cluster.owner.workers["w1"].cordoned = false;
    assert_eq!(start_planned(&mut cluster).len(), 3);
    let (worker, task, run) = cluster.running_tasks().remove(0);
    assert_eq!(&*worker, "w1");
    cluster.finish_run(&worker, &task, run, RunOutcome::Failed);
    finish_on(&mut cluster, &["w1"], RunOutcome::Done);
    // One of the three was the job's fault; two are left.
    assert_eq!(quarantined(&cluster), Vec::<WorkerId>::new());
    assert_eq!(cluster.owner.workers["w0"].consecutive_failures(), 2);
}

/// Many runs that began together fail at once. Guards against a quarantine that each of them doubles.
#[test]
fn record_failed_run_at_once() {
    let mut cluster = Cluster::new(1);
    for number in 0..9 {
        cluster.submit(&format!("00000000000000c{number}"), vec![short_step(1)]);
    }
    assert_eq!(start_planned(&mut cluster).len(), 9);
    finish_on(&mut cluster, &[], RunOutcome::Failed);
    let until = cluster.owner.workers["w0"].quarantined_until;
    assert!(until > cluster.now && until <= cluster.now + INITIAL_QUARANTINE, "{until:?}");
}

/// All workers are in quarantine. Guards against a long-running task that waits for its end: it has no attempts
/// to lose.
#[test]
fn best_worker_all_quarantined() {
    let mut cluster = Cluster::new(2);
    cluster.submit(JOB, vec![short_step(1)]);
    while quarantined(&cluster).len() < 2 {
        for start in cluster.decide().orders.starts {
            cluster.owner.record_start_outcome(&start, StartOutcome::Busy, cluster.now);
        }
        cluster.advance(PASS);
        cluster.poll_all();
    }
    cluster.submit(OTHER_JOB, vec![short_step(1), long_running_step(1, 1)]);
    let starts = start_planned(&mut cluster);
    assert_eq!(starts.len(), 1);
    assert_eq!((&*starts[0].task.job, starts[0].task.step), (OTHER_JOB, 1));
}
