//! Records of jobs with thousands of tasks. No network.

mod batch;

use batch::{Cluster, active_config, short_step, worker_info};
use bytes::Bytes;
use indexmap::IndexMap;
use jacinthhook::batch::job::{JobState, Phase, WorkerId};
use jacinthhook::batch::orders::{RunOutcome, RunningTask};
use jacinthhook::batch::owner::{DecisionBatch, OwnerEvent};
use jacinthhook::batch::records;
use jacinthhook::batch::worker::WorkerInfo;
use jacinthhook::fair::Resources;
use jacinthhook::platform::job_format;
use std::sync::Arc;
use std::time::Duration;

const JOB: &str = "00000000000000a1";
const OTHER_JOB: &str = "00000000000000b2";
/// Most bytes of a record by the platform's settings, with its key.
const MAX_RECORD_BYTES: usize = 262_144;
const MAX_TASKS: u32 = 5_000;
const PASS: Duration = Duration::from_millis(100);

/// The store's records, and how many updates the last batch had.
#[derive(Default)]
struct Records {
    stored: IndexMap<Arc<str>, Bytes>,
    largest: usize,
}

impl Records {
    fn store(&mut self, batch: &DecisionBatch) -> usize {
        for update in &batch.updates {
            match &update.value {
                Some(value) => {
                    self.largest = self.largest.max(update.key.len() + value.len() + 1);
                    self.stored.insert(update.key.clone(), value.clone());
                }
                None => {
                    self.stored.swap_remove(&update.key);
                }
            }
        }
        batch.updates.len()
    }
}

/// A cluster whose workers have room for all tasks, with names of `name_len` bytes.
fn large_cluster(workers: usize, name_len: usize) -> Cluster {
    let mut cluster = Cluster::new(0);
    let registry: IndexMap<WorkerId, WorkerInfo> = (0..workers)
        .map(|i| {
            let id = format!("{i:0name_len$}");
            let processors = u64::from(MAX_TASKS) * 1_000;
            let capacity = Resources { processors, memory: 1 << 40, ..Resources::default() };
            let machine = format!("m{i:0name_len$}").into();
            let info = WorkerInfo { machine, capacity, ..worker_info(&id, i) };
            (id.as_str().into(), info)
        })
        .collect();
    for id in registry.keys() {
        let fake = batch::FakeWorker { incarnation: 1, ..batch::FakeWorker::default() };
        cluster.fake_workers.insert(id.clone(), fake);
    }
    cluster.owner.update_workers(&registry, cluster.now);
    cluster.poll_all();
    cluster
}

/// Starts what is planned, and stores all decisions.
fn start_all(cluster: &mut Cluster, records: &mut Records) {
    for _ in 0..4 {
        let batch = cluster.decide();
        records.store(&batch);
        for start in batch.orders.starts {
            let outcome = cluster.carry_out_start(&start);
            cluster.owner.record_start_outcome(&start, outcome, cluster.now);
        }
        cluster.advance(PASS);
        cluster.poll_all();
    }
}

/// Returns an owner that has read the records in the order of `reversed`.
fn restored_owner(cluster: &Cluster, records: &Records, reversed: bool) -> Cluster {
    let mut next = Cluster::with_term(2, active_config());
    next.now = cluster.now;
    for (id, job) in &cluster.owner.jobs {
        next.submit(id, job.spec.steps.clone());
    }
    let mut stored: Vec<(&Arc<str>, &Bytes)> = records.stored.iter().collect();
    if reversed {
        stored.reverse();
    }
    for (key, value) in stored {
        next.owner.restore_record(key, value, next.now);
    }
    let listed = cluster.owner.workers.iter().map(|(id, w)| (id.clone(), w.info.clone()));
    next.owner.update_workers(&listed.collect(), next.now);
    next.owner.finish_restore(next.now);
    next.fake_workers = cluster.fake_workers.clone();
    next
}

/// Run, failed runs and worker of each task.
fn tasks(cluster: &Cluster, id: &str) -> Vec<(u32, u32, bool, Option<WorkerId>)> {
    let occurrences = &cluster.owner.jobs[id].open_occurrences;
    let tasks = occurrences.iter().flat_map(|o| o.steps.iter().flatten());
    let worker = |phase: &Phase| match phase {
        Phase::Assigned(assignment) => Some(assignment.worker.clone()),
        Phase::Waiting | Phase::Done => None,
    };
    tasks.map(|t| (t.run, t.failed_runs, t.phase == Phase::Done, worker(&t.phase))).collect()
}

/// A job of 5,000 tasks runs, with checkpoints, on workers with long names, and workers crash under it. Guards
/// against a record that the store refuses for good: no owner could store anything, and no job went on.
#[test]
fn take_decisions_large_job_crash() {
    for (name_len, checkpoint) in [(10, "00000bb887a21d94"), (250, &*"c".repeat(600))] {
        let mut cluster = large_cluster(8, name_len);
        let mut records = Records::default();
        cluster.submit(JOB, vec![short_step(MAX_TASKS)]);
        start_all(&mut cluster, &mut records);
        assert_eq!(cluster.running_tasks().len(), MAX_TASKS as usize);
        let workers: Vec<WorkerId> = cluster.fake_workers.keys().cloned().collect();
        for worker in &workers {
            let mut report = cluster.report(worker);
            for running in &mut report.running {
                *running = RunningTask { checkpoint: checkpoint.into(), ..running.clone() };
            }
            cluster.owner.apply_report(worker, report, cluster.now);
        }
        for incarnation in 2..4 {
            for worker in &workers {
                let started_at = cluster.now;
                cluster.fake_workers[worker] =
                    batch::FakeWorker { incarnation, started_at, ..Default::default() };
            }
            cluster.poll_all();
            start_all(&mut cluster, &mut records);
        }
        assert!(records.largest < MAX_RECORD_BYTES, "{} bytes", records.largest);
    }
}

/// Guards against a next owner that loses a start or an end of a large job: the task would run twice.
#[test]
fn restore_record_large_job() {
    let mut cluster = large_cluster(8, 10);
    let mut records = Records::default();
    cluster.submit(JOB, vec![short_step(1_000), short_step(300)]);
    cluster.submit(OTHER_JOB, vec![short_step(3)]);
    start_all(&mut cluster, &mut records);
    for (number, (worker, task, run)) in cluster.running_tasks().into_iter().enumerate() {
        match number % 5 {
            0 => cluster.finish_run(&worker, &task, run, RunOutcome::Done),
            1 => cluster.finish_run(&worker, &task, run, RunOutcome::Failed),
            _ => {}
        }
    }
    cluster.poll_all();
    records.store(&cluster.decide());
    assert!(records.stored.len() > 2, "the large job has records of its own");
    for reversed in [false, true] {
        let next = restored_owner(&cluster, &records, reversed);
        for job in [JOB, OTHER_JOB] {
            assert_eq!(tasks(&next, job), tasks(&cluster, job), "reversed: {reversed}");
        }
    }
}

/// Guards against writing all records of a large job again for each change of one task.
#[test]
fn take_decisions_unchanged_parts() {
    let mut cluster = large_cluster(8, 10);
    let mut records = Records::default();
    cluster.submit(JOB, vec![short_step(MAX_TASKS)]);
    start_all(&mut cluster, &mut records);
    let (worker, task, run) = cluster.running_tasks().remove(0);
    cluster.finish_run(&worker, &task, run, RunOutcome::Done);
    cluster.poll_all();
    assert_eq!(records.store(&cluster.decide()), 2, "one part and the job's own record");
}

/// Guards against records that stay in the store after their job, also if another owner wrote them, and against
/// one that a next owner takes for a job's.
#[test]
fn take_decisions_dropped_large_job() {
    let mut cluster = large_cluster(8, 10);
    let mut records = Records::default();
    cluster.submit(JOB, vec![short_step(1_000)]);
    start_all(&mut cluster, &mut records);
    let mut next = restored_owner(&cluster, &records, false);
    next.poll_all();
    next.owner.cancel(JOB, next.now);
    for _ in 0..4 {
        let batch = next.decide();
        records.store(&batch);
        for stop in batch.orders.stops {
            next.carry_out_stop(&stop);
            next.owner.record_stop_accepted(&stop, next.now);
        }
        next.advance(PASS);
        next.poll_all();
    }
    assert_eq!(next.owner.jobs[JOB].state, JobState::Cancelled);
    assert_eq!(records.stored.len(), 1, "{:?}", records.stored.keys());
    // A part whose job is gone, as a batch leaves it that is stored only to its first records.
    let stray = format!("{JOB}/0.3");
    let mut last = Cluster::with_term(3, active_config());
    last.owner.restore_record(&stray, b"{\"rows\":[]}", last.now);
    last.owner.finish_restore(last.now);
    assert_eq!(last.owner.dropped_jobs().count(), 1);
    last.owner.record_submissions_deleted(&[JOB.into()]);
    let batch = last.decide();
    let deleted: Vec<&str> =
        batch.updates.iter().filter(|u| u.value.is_none()).map(|u| &*u.key).collect();
    assert_eq!(deleted, [JOB, &*stray]);
    assert!(!batch.events.iter().any(|e| matches!(e, OwnerEvent::BadRecord { .. })));
}

/// A batch of a large job is stored only in part. Guards against a next owner that misses a start which was
/// ordered, and against one that does not start again what was not.
#[test]
fn restore_record_torn_batch() {
    let mut cluster = large_cluster(8, 10);
    let mut records = Records::default();
    cluster.submit(JOB, vec![short_step(1_000)]);
    records.store(&cluster.decide());
    let Some(first) = records.stored.keys().find(|key| key.contains('/')).cloned() else {
        panic!("no part is stored");
    };
    // Only the first part of what would be started is stored; none of it is ordered.
    let mut torn = Records { stored: records.stored.clone(), largest: 0 };
    torn.stored.retain(|key, _| *key == first || !key.contains('/'));
    let mut next = restored_owner(&cluster, &torn, false);
    next.poll_all();
    start_all(&mut next, &mut records);
    assert_eq!(next.running_tasks().len(), 1_000);
}

/// Records of an earlier version hold all tasks of a large job. Guards against an owner that cannot read one.
#[test]
fn restore_record_large_job_earlier_version() {
    let mut cluster = large_cluster(8, 10);
    let mut records = Records::default();
    cluster.submit(JOB, vec![short_step(1_000)]);
    start_all(&mut cluster, &mut records);
    let rows: Vec<String> = cluster.owner.jobs[JOB].open_occurrences[0].steps[0]
        .iter()
        .map(|task| {
            let Phase::Assigned(assignment) = &task.phase else { panic!("{task:?}") };
            format!("[{},0,0,\"\",\"{}\",false]", task.run, assignment.worker)
        })
        .collect();
    let record = format!(
        "{{\"state\":\"Running\",\"begun\":1,\"started\":true,\"open\":[[0,[[{}]]]]}}",
        rows.join(",")
    );
    let earlier = [(Arc::from(JOB), Bytes::from(record))].into_iter().collect();
    let next = restored_owner(&cluster, &Records { stored: earlier, largest: 0 }, false);
    assert_eq!(tasks(&next, JOB), tasks(&cluster, JOB));
    let update = records::encode_job(&JOB.into(), &next.owner.jobs[JOB]);
    assert!(update.value.is_some_and(|value| value.len() < 1_000));
}

/// A submission of the longest body that is read grows when it is stored. Guards against accepting it into a
/// batch that the store refuses: the caller, and those of other jobs beside it, were told to come back.
#[test]
fn encode_stored_job_too_long() {
    let queue = active_config().declarations.queues[0].clone();
    let body = |len: usize| {
        let empty = r#"{"spec":"","steps":[]}"#;
        format!(r#"{{"spec":"{}","steps":[]}}"#, "x".repeat(len - empty.len()))
    };
    let stored =
        |len| job_format::encode_stored_job(&queue, None, body(len).as_bytes(), Duration::ZERO);
    assert!(stored(MAX_RECORD_BYTES).is_err());
    assert!(stored(4_000).is_ok_and(|record| record.len() < MAX_RECORD_BYTES));
    let longest = (1..=MAX_RECORD_BYTES).rev().step_by(16).find_map(|len| stored(len).ok());
    let longest = longest.expect("a job that is stored").len() + JOB.len() + 1;
    assert!((MAX_RECORD_BYTES - 16..=MAX_RECORD_BYTES).contains(&longest), "{longest}");
}
