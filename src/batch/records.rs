//! Encoding of stored records: the progress of jobs and waves, and the machines that receive
//! orders.
//!
//! A start is stored before it is ordered, and an end before it is acknowledged. A new owner that
//! reads the records and then polls every worker therefore knows of every run.

use crate::batch::job::{
    Assignment, Job, JobState, Occurrence, Phase, StartStatus, Task, TaskCrashes, WorkerId,
    WorkerProcess,
};
use crate::batch::maintenance::MachineId;
use crate::batch::ordered_machines::Announcement;
use crate::batch::wall_clock::Moment;
use crate::ids::{JobId, Time};
use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu};
use std::sync::Arc;
use std::time::Duration;

/// A stored record that cannot be used.
#[derive(Debug, Snafu)]
pub enum ProgressError {
    /// The record is not in the format that this program writes.
    #[snafu(display("progress record of job {job} is malformed: {source}"))]
    Malformed { job: JobId, source: serde_json::Error },
    /// The key names neither a job nor a wave.
    #[snafu(display("progress record {key} belongs to no job"))]
    ForeignKey { key: JobId },
    /// A run number is so high that the next ones would be out of range.
    #[snafu(display("progress record of job {job} has a run number out of range"))]
    RunOutOfRange { job: JobId },
    /// The record has other steps or tasks than the job.
    #[snafu(display("progress record of job {job} does not match its steps"))]
    StepMismatch { job: JobId },
}

/// Key prefix of wave records. Job records have hexadecimal keys, so the two cannot collide.
const WAVE_KEY_PREFIX: &str = "wave/";
/// Longest key of a job's record, in bytes.
const MAX_JOB_KEY_BYTES: usize = 32;
/// Highest run number that a record may have. No task starts this often.
const MAX_RESTORED_RUN: u32 = 1 << 30;
/// Key of the record of machines that receive orders.
pub const ORDERED_MACHINES_KEY: &str = "machines";

/// A write to the store. A `value` of `None` deletes the key.
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
    /// When the job ended, in ms since the Unix epoch. Absent while that is unknown, and in records
    /// of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ended_ms: Option<u64>,
    /// Tasks under which workers crashed. Not in a row of its task: versions that do not know of it read
    /// rows of a fixed length.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    crashes: Vec<CrashRow>,
    /// Of these, the confirmed ones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    confirmed_crashes: Vec<ConfirmedRow>,
    /// Process of each worker to which a task is assigned, where it is known.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    processes: IndexMap<WorkerId, (u64, Arc<str>)>,
}

/// Occurrence, step and index of a task, all crashes, those blamed on it, and the latest run counted.
#[derive(Deserialize, Serialize)]
struct CrashRow(u32, u32, u32, u32, u32, u32);

/// Occurrence, step and index of a task, and crashes under runs that their workers had confirmed.
#[derive(Deserialize, Serialize)]
struct ConfirmedRow(u32, u32, u32, u32);

/// Run number, number of failed runs, latest failed run, checkpoint, assigned worker (empty for
/// none), and whether the task is done.
#[derive(Deserialize, Serialize)]
struct TaskRow(u32, u32, u32, Arc<str>, Arc<str>, bool);

/// Encodes the progress of a job.
pub fn encode_job(id: &JobId, job: &Job) -> RecordUpdate {
    let steps = |o: &Occurrence| o.steps.iter().map(|s| s.iter().map(task_row).collect()).collect();
    // The runs of an ended job keep their resources until they are over.
    let open = job.open_occurrences.iter().filter(|o| !job.state.is_final() || o.is_assigned());
    let open = open.map(|o| (o.number, steps(o))).collect();
    let progress = JobProgress {
        state: job.state,
        begun: job.begun_occurrences,
        started: job.any_task_started,
        open,
        ended_ms: job.ended_at.as_ref().and_then(unix_millis),
        crashes: crash_rows(job),
        confirmed_crashes: confirmed_rows(job),
        processes: processes(job),
    };
    encode_progress(id, &progress)
}

fn encode_progress(id: &JobId, progress: &JobProgress) -> RecordUpdate {
    // Serializing numbers, strings and lists cannot fail.
    let value = serde_json::to_vec(progress).unwrap_or_default();
    RecordUpdate { key: id.clone(), value: Some(value.into()) }
}

/// Encodes the progress of a job that was cancelled before its submission was read.
pub fn encode_early_cancellation(id: &JobId, cancelled_at: &Moment) -> RecordUpdate {
    let progress = JobProgress {
        state: JobState::Cancelled,
        begun: 0,
        started: false,
        open: Vec::new(),
        ended_ms: unix_millis(cancelled_at),
        crashes: Vec::new(),
        confirmed_crashes: Vec::new(),
        processes: IndexMap::new(),
    };
    encode_progress(id, &progress)
}

/// Returns when a job without a submission was cancelled; `None` if the record is of another kind.
pub fn decode_early_cancellation(value: &[u8], now: Time) -> Option<Moment> {
    let progress: JobProgress = serde_json::from_slice(value).ok()?;
    (progress.state == JobState::Cancelled).then(|| restored_moment(progress.ended_ms, now))
}

fn restored_moment(unix_millis: Option<u64>, now: Time) -> Moment {
    Moment::restored(unix_millis.map(Duration::from_millis), now)
}

fn unix_millis(moment: &Moment) -> Option<u64> {
    moment.unix_time.map(millis)
}

/// Calls `f` with the occurrence, step, index and state of each task of an unfinished job.
fn visit_tasks<'a>(job: &'a Job, mut f: impl FnMut(u32, u32, u32, &'a Task)) {
    if job.state.is_final() {
        return;
    }
    for occurrence in &job.open_occurrences {
        for (step, tasks) in occurrence.steps.iter().enumerate() {
            for (index, task) in tasks.iter().enumerate() {
                f(occurrence.number, step as u32, index as u32, task);
            }
        }
    }
}

fn crash_rows(job: &Job) -> Vec<CrashRow> {
    let mut rows = Vec::new();
    visit_tasks(job, |occurrence, step, index, task| {
        let TaskCrashes { total, blamed, last_run, .. } = task.crashes;
        if total > 0 {
            rows.push(CrashRow(occurrence, step, index, total, blamed, last_run));
        }
    });
    rows
}

fn confirmed_rows(job: &Job) -> Vec<ConfirmedRow> {
    let mut rows = Vec::new();
    visit_tasks(job, |occurrence, step, index, task| {
        if task.crashes.confirmed > 0 {
            rows.push(ConfirmedRow(occurrence, step, index, task.crashes.confirmed));
        }
    });
    rows
}

fn processes(job: &Job) -> IndexMap<WorkerId, (u64, Arc<str>)> {
    let mut processes = IndexMap::new();
    visit_tasks(job, |_, _, _, task| {
        if let Phase::Assigned(assignment) = &task.phase
            && assignment.process.incarnation > 0
        {
            let WorkerProcess { incarnation, machine } = assignment.process.clone();
            processes.insert(assignment.worker.clone(), (incarnation, machine));
        }
    });
    processes
}

fn task_row(task: &Task) -> TaskRow {
    let worker = match &task.phase {
        Phase::Assigned(assignment) => assignment.worker.clone(),
        Phase::Waiting | Phase::Done => "".into(),
    };
    let done = task.phase == Phase::Done;
    TaskRow(task.run, task.failed_runs, task.last_failed_run, task.checkpoint.clone(), worker, done)
}

/// Restores a job from its progress record. Assigned runs count as confirmed; the first poll of
/// their workers shows whether they are running. Those of an ended job are to be stopped.
pub fn decode_job(id: &JobId, job: &mut Job, value: &[u8], now: Time) -> Result<(), ProgressError> {
    let progress: JobProgress =
        serde_json::from_slice(value).context(MalformedSnafu { job: id.clone() })?;
    let mut open = Vec::new();
    for (number, steps) in progress.open {
        let mut occurrence = Occurrence::new(number, &job.spec);
        if steps.len() != occurrence.steps.len() {
            return StepMismatchSnafu { job: id.clone() }.fail();
        }
        for ((tasks, rows), step) in occurrence.steps.iter_mut().zip(steps).zip(&job.spec.steps) {
            if tasks.len() != rows.len() {
                return StepMismatchSnafu { job: id.clone() }.fail();
            }
            if rows.iter().any(|row| row.0 > MAX_RESTORED_RUN) {
                return RunOutOfRangeSnafu { job: id.clone() }.fail();
            }
            // Earlier versions recorded the end of a gang for one member only.
            let is_done = step.gang && rows.iter().any(|TaskRow(.., done)| *done);
            for (task, row) in tasks.iter_mut().zip(rows) {
                *task = restored_task(row, progress.state, &progress.processes, now);
                if is_done {
                    task.phase = Phase::Done;
                }
            }
        }
        open.push(occurrence);
    }
    for CrashRow(number, step, index, total, blamed, last_run) in progress.crashes {
        if let Some(task) = task_at(&mut open, number, step, index) {
            task.crashes = TaskCrashes { total, blamed, last_run, confirmed: 0 };
        }
    }
    for ConfirmedRow(number, step, index, confirmed) in progress.confirmed_crashes {
        if let Some(task) = task_at(&mut open, number, step, index) {
            task.crashes.confirmed = confirmed;
        }
    }
    job.state = progress.state;
    job.published_state = progress.state;
    job.begun_occurrences = progress.begun;
    job.any_task_started = progress.started;
    job.open_occurrences = open;
    job.ended_at = progress.state.is_final().then(|| restored_moment(progress.ended_ms, now));
    Ok(())
}

fn task_at(open: &mut [Occurrence], number: u32, step: u32, index: u32) -> Option<&mut Task> {
    let occurrence = open.iter_mut().find(|o| o.number == number)?;
    occurrence.steps.get_mut(step as usize)?.get_mut(index as usize)
}

fn restored_task(
    row: TaskRow,
    state: JobState,
    processes: &IndexMap<WorkerId, (u64, Arc<str>)>,
    now: Time,
) -> Task {
    let TaskRow(run, failed_runs, last_failed_run, checkpoint, worker, done) = row;
    let process = processes.get(&worker).cloned().unwrap_or_default();
    let phase = match (done, worker.is_empty()) {
        (true, _) => Phase::Done,
        (false, true) => Phase::Waiting,
        (false, false) => Phase::Assigned(Assignment {
            process: WorkerProcess { incarnation: process.0, machine: process.1 },
            worker,
            assigned_at: now,
            start: StartStatus::Inherited,
            confirmed_at: Some(now),
            stop_ordered: state.is_final(),
            speed_percent: 0,
            full_speed_since: None,
        }),
    };
    Task { phase, run, failed_runs, last_failed_run, checkpoint, ..Task::default() }
}

/// Encodes the machines of a wave whose maintenance has begun.
pub fn encode_wave(wave: u64, machines: &IndexSet<MachineId>) -> RecordUpdate {
    let names: Vec<&str> = machines.iter().map(|m| &**m).collect();
    // Serializing strings and lists cannot fail.
    let value = serde_json::to_vec(&names).unwrap_or_default();
    RecordUpdate { key: format!("{WAVE_KEY_PREFIX}{wave}").into(), value: Some(value.into()) }
}

/// Machine, time since its announcement in ms, time of day of the announcement in ms since the Unix
/// epoch, and the wave if the order begins maintenance. The last two are absent in records of earlier
/// versions.
#[derive(Deserialize)]
struct AnnouncementRow(Arc<str>, u64, #[serde(default)] Option<u64>, #[serde(default)] Option<u64>);

/// Encodes the machines that are about to receive orders.
pub fn encode_ordered_machines(machines: &[(MachineId, Announcement)]) -> RecordUpdate {
    let row = |(machine, announcement): &(MachineId, Announcement)| {
        let mut row = vec![json!(&**machine), json!(millis(announcement.known_age))];
        let (announced_ms, wave) = (unix_millis(&announcement.announced_at), announcement.wave);
        if announced_ms.is_some() || wave.is_some() {
            row.extend([json!(announced_ms), json!(wave)]);
        }
        row
    };
    let rows: Vec<Vec<Value>> = machines.iter().map(row).collect();
    // Serializing strings, numbers and lists cannot fail.
    let value = serde_json::to_vec(&rows).unwrap_or_default();
    RecordUpdate { key: ORDERED_MACHINES_KEY.into(), value: Some(value.into()) }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Decodes the machines that received orders.
pub fn decode_ordered_machines(
    value: &[u8],
    now: Time,
) -> Result<Vec<(MachineId, Announcement)>, serde_json::Error> {
    let rows: Vec<AnnouncementRow> = serde_json::from_slice(value)?;
    let restored = |AnnouncementRow(machine, age, announced_ms, wave): AnnouncementRow| {
        let (announced_at, known_age) =
            (restored_moment(announced_ms, now), Duration::from_millis(age));
        (machine, Announcement { announced_at, known_age, wave })
    };
    Ok(rows.into_iter().map(restored).collect())
}

/// Whether a key is that of a job's record.
pub fn is_job_key(key: &str) -> bool {
    (1..=MAX_JOB_KEY_BYTES).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_hexdigit())
}

/// Returns the wave that a key belongs to, or `None` for the key of a job.
pub fn wave_of_key(key: &str) -> Option<u64> {
    key.strip_prefix(WAVE_KEY_PREFIX)?.parse().ok()
}

/// Decodes the machines of a wave record.
pub fn decode_wave(value: &[u8]) -> Result<IndexSet<MachineId>, serde_json::Error> {
    let names: Vec<Arc<str>> = serde_json::from_slice(value)?;
    Ok(names.into_iter().collect())
}
