//! What the store keeps of a job's progress, one record a job.
//!
//! A start is stored before it is ordered, an end before it is acknowledged. A fresh owner that reads
//! the records and then greets every worker therefore knows of all that runs.

use crate::batch::job::{Assignment, Job, JobState, Occurrence, Phase, Task};
use crate::batch::maintenance::MachineId;
use crate::ids::{JobId, Time};
use bytes::Bytes;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use std::sync::Arc;
use std::time::Duration;

/// A record that cannot be used.
#[derive(Debug, Snafu)]
pub enum ProgressError {
    /// It is not what this program writes.
    #[snafu(display("progress of job {job}: {source}"))]
    Malformed { job: JobId, source: serde_json::Error },
    /// The job has other steps than the record.
    #[snafu(display("progress of job {job} does not fit its steps"))]
    StepMismatch { job: JobId },
}

/// Keys of waves of maintenance begin with this; keys of jobs are hexadecimal.
const WAVE_KEY_PREFIX: &str = "wave/";
/// Key of the machines that are about to get orders.
pub const ORDERED_MACHINES_KEY: &str = "machines";

/// A record of the store: a key and what it is to hold; `None` drops the key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordUpdate {
    pub key: Arc<str>,
    pub value: Option<Bytes>,
}

#[derive(Deserialize, Serialize)]
struct JobProgress {
    state: JobState,
    begun: u32,
    started: bool,
    open: Vec<(u32, Vec<Vec<TaskRow>>)>,
}

/// Run, failed runs, last of them, checkpoint, worker that holds it (empty for none), done.
#[derive(Deserialize, Serialize)]
struct TaskRow(u32, u32, u32, Arc<str>, Arc<str>, bool);

/// The record of a job's progress.
pub fn encode_job(id: &JobId, job: &Job) -> RecordUpdate {
    let steps = |o: &Occurrence| o.steps.iter().map(|s| s.iter().map(row).collect()).collect();
    let open = match job.state.is_final() {
        true => Vec::new(),
        false => job.open_occurrences.iter().map(|o| (o.number, steps(o))).collect(),
    };
    let progress = JobProgress {
        state: job.state,
        begun: job.begun_occurrences,
        started: job.any_task_started,
        open,
    };
    // Numbers, texts and lists always encode.
    let value = serde_json::to_vec(&progress).unwrap_or_default();
    RecordUpdate { key: id.clone(), value: Some(value.into()) }
}

fn row(task: &Task) -> TaskRow {
    let worker = match &task.phase {
        Phase::Assigned(assignment) => assignment.worker.clone(),
        Phase::Waiting | Phase::Done => "".into(),
    };
    let done = task.phase == Phase::Done;
    TaskRow(task.run, task.failed_runs, task.last_failed_run, task.checkpoint.clone(), worker, done)
}

/// Sets a job to the progress of its record. Runs at workers count as confirmed: the greeting of
/// their workers tells whether they are there.
pub fn decode_job(id: &JobId, job: &mut Job, value: &[u8], now: Time) -> Result<(), ProgressError> {
    let progress: JobProgress =
        serde_json::from_slice(value).context(MalformedSnafu { job: id.clone() })?;
    let mut open = Vec::new();
    for (number, steps) in progress.open {
        let mut occurrence = Occurrence::new(number, &job.spec);
        if steps.len() != occurrence.steps.len() {
            return StepMismatchSnafu { job: id.clone() }.fail();
        }
        for (tasks, rows) in occurrence.steps.iter_mut().zip(steps) {
            if tasks.len() != rows.len() {
                return StepMismatchSnafu { job: id.clone() }.fail();
            }
            for (task, row) in tasks.iter_mut().zip(rows) {
                *task = restored_task(row, now);
            }
        }
        open.push(occurrence);
    }
    job.state = progress.state;
    job.published_state = progress.state;
    job.begun_occurrences = progress.begun;
    job.any_task_started = progress.started;
    job.open_occurrences = open;
    job.ended_at = progress.state.is_final().then_some(now);
    Ok(())
}

fn restored_task(row: TaskRow, now: Time) -> Task {
    let TaskRow(run, failed_runs, last_failed_run, checkpoint, worker, done) = row;
    let phase = match (done, worker.is_empty()) {
        (true, _) => Phase::Done,
        (false, true) => Phase::Waiting,
        (false, false) => Phase::Assigned(Assignment {
            worker,
            assigned_at: now,
            confirmed_at: Some(now),
            stop_ordered: false,
            speed_percent: 0,
            full_speed_since: None,
        }),
    };
    Task { phase, run, failed_runs, last_failed_run, checkpoint, ..Task::default() }
}

/// The record of the machines whose maintenance has begun.
pub fn encode_wave(wave: u64, machines: &IndexSet<MachineId>) -> RecordUpdate {
    let names: Vec<&str> = machines.iter().map(|m| &**m).collect();
    // Texts and lists always encode.
    let value = serde_json::to_vec(&names).unwrap_or_default();
    RecordUpdate { key: format!("{WAVE_KEY_PREFIX}{wave}").into(), value: Some(value.into()) }
}

/// The record of the machines that are about to get orders, with the time since that was announced.
pub fn encode_ordered_machines(machines: &[(MachineId, Duration)]) -> RecordUpdate {
    let rows: Vec<(&str, u64)> = machines.iter().map(|(m, age)| (&**m, millis(*age))).collect();
    // Texts, numbers and lists always encode.
    let value = serde_json::to_vec(&rows).unwrap_or_default();
    RecordUpdate { key: ORDERED_MACHINES_KEY.into(), value: Some(value.into()) }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// The machines of the record of orders.
pub fn decode_ordered_machines(
    value: &[u8],
) -> Result<Vec<(MachineId, Duration)>, serde_json::Error> {
    let rows: Vec<(Arc<str>, u64)> = serde_json::from_slice(value)?;
    Ok(rows.into_iter().map(|(m, age)| (m, Duration::from_millis(age))).collect())
}

/// The wave that a key belongs to; `None` for the key of a job.
pub fn wave_of_key(key: &str) -> Option<u64> {
    key.strip_prefix(WAVE_KEY_PREFIX)?.parse().ok()
}

/// The machines of a wave's record.
pub fn decode_wave(value: &[u8]) -> Result<IndexSet<MachineId>, serde_json::Error> {
    let names: Vec<Arc<str>> = serde_json::from_slice(value)?;
    Ok(names.into_iter().collect())
}
