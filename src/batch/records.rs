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
#[snafu(visibility(pub(super)))]
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
/// Tasks of one record. The store takes 256 KiB; a task needs some 50 bytes, and at most 1,400 with the
/// longest names and checkpoint.
pub const MAX_TASKS_PER_RECORD: usize = 128;
/// Longest checkpoint that is stored, in bytes. The next owner starts a task without one anew.
const MAX_CHECKPOINT_BYTES: usize = 512;
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
    processes: Processes,
    /// The tasks are in records of their own (`record_parts`); `open` has no rows.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    split: bool,
}

/// Start time and machine of the process of each worker.
pub(super) type Processes = IndexMap<WorkerId, (u64, Arc<str>)>;

/// Occurrence, step and index of a task, all crashes, those blamed on it, and the latest run counted.
#[derive(Deserialize, Serialize)]
struct CrashRow(u32, u32, u32, u32, u32, u32);

/// Occurrence, step and index of a task, and crashes under runs that their workers had confirmed.
#[derive(Deserialize, Serialize)]
struct ConfirmedRow(u32, u32, u32, u32);

/// Run number, number of failed runs, latest failed run, checkpoint, assigned worker (empty for
/// none), and whether the task is done.
#[derive(Deserialize, Serialize)]
pub(super) struct TaskRow(u32, u32, u32, Arc<str>, Arc<str>, bool);

/// Returns the occurrences of a job that are stored. The runs of an ended job keep their resources until they
/// are over.
pub(super) fn stored_occurrences(job: &Job) -> impl Iterator<Item = &Occurrence> {
    job.open_occurrences.iter().filter(|o| !job.state.is_final() || o.is_assigned())
}

/// Whether the tasks of a job are stored in records of their own.
pub(super) fn is_split(job: &Job) -> bool {
    let tasks = stored_occurrences(job).flat_map(|o| &o.steps).map(Vec::len).sum::<usize>();
    tasks > MAX_TASKS_PER_RECORD
}

/// Encodes the progress of a job, without its tasks if these have records of their own.
pub fn encode_job(id: &JobId, job: &Job) -> RecordUpdate {
    let split = is_split(job);
    let steps = |o: &Occurrence| match split {
        true => Vec::new(),
        false => o.steps.iter().map(|s| s.iter().map(task_row).collect()).collect(),
    };
    let open = stored_occurrences(job).map(|o| (o.number, steps(o))).collect();
    let tasks = if split { Vec::new() } else { unfinished_tasks(job) };
    let progress = JobProgress {
        state: job.state,
        begun: job.begun_occurrences,
        started: job.any_task_started,
        open,
        ended_ms: job.ended_at.as_ref().and_then(unix_millis),
        crashes: crash_rows(&tasks),
        confirmed_crashes: confirmed_rows(&tasks),
        processes: processes(tasks.iter().map(|located| located.task)),
        split,
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
        split: false,
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

/// A task with its occurrence, step and index.
struct LocatedTask<'a> {
    at: (u32, u32, u32),
    task: &'a Task,
}

/// Returns the tasks of an unfinished job.
fn unfinished_tasks(job: &Job) -> Vec<LocatedTask<'_>> {
    let mut located = Vec::new();
    for occurrence in job.open_occurrences.iter().filter(|_| !job.state.is_final()) {
        for (step, tasks) in occurrence.steps.iter().enumerate() {
            let at = |index: usize| (occurrence.number, step as u32, index as u32);
            let tasks = tasks.iter().enumerate();
            located.extend(tasks.map(|(index, task)| LocatedTask { at: at(index), task }));
        }
    }
    located
}

fn crash_rows(tasks: &[LocatedTask<'_>]) -> Vec<CrashRow> {
    let row = |located: &LocatedTask<'_>| {
        let (occurrence, step, index) = located.at;
        let TaskCrashes { total, blamed, last_run, .. } = located.task.crashes;
        (total > 0).then_some(CrashRow(occurrence, step, index, total, blamed, last_run))
    };
    tasks.iter().filter_map(row).collect()
}

fn confirmed_rows(tasks: &[LocatedTask<'_>]) -> Vec<ConfirmedRow> {
    let row = |located: &LocatedTask<'_>| {
        let ((occurrence, step, index), confirmed) = (located.at, located.task.crashes.confirmed);
        (confirmed > 0).then_some(ConfirmedRow(occurrence, step, index, confirmed))
    };
    tasks.iter().filter_map(row).collect()
}

/// Returns the processes to which tasks are assigned, where they are known.
pub(super) fn processes<'a>(tasks: impl Iterator<Item = &'a Task>) -> Processes {
    let mut processes = IndexMap::new();
    for task in tasks {
        if let Phase::Assigned(assignment) = &task.phase
            && assignment.process.incarnation > 0
        {
            let WorkerProcess { incarnation, machine } = assignment.process.clone();
            processes.insert(assignment.worker.clone(), (incarnation, machine));
        }
    }
    processes
}

pub(super) fn task_row(task: &Task) -> TaskRow {
    let worker = match &task.phase {
        Phase::Assigned(assignment) => assignment.worker.clone(),
        Phase::Waiting | Phase::Done => "".into(),
    };
    let done = task.phase == Phase::Done;
    let checkpoint = match task.checkpoint.len() {
        0..=MAX_CHECKPOINT_BYTES => task.checkpoint.clone(),
        _ => "".into(),
    };
    TaskRow(task.run, task.failed_runs, task.last_failed_run, checkpoint, worker, done)
}

/// Restores a job from its progress record. Assigned runs count as confirmed; the first poll of
/// their workers shows whether they are running. Those of an ended job are to be stopped.
pub fn decode_job(id: &JobId, job: &mut Job, value: &[u8], now: Time) -> Result<(), ProgressError> {
    let progress: JobProgress =
        serde_json::from_slice(value).context(MalformedSnafu { job: id.clone() })?;
    let mut open = Vec::new();
    for (number, steps) in progress.open {
        let mut occurrence = Occurrence::new(number, &job.spec);
        if progress.split {
            open.push(occurrence);
            continue;
        }
        if steps.len() != occurrence.steps.len() {
            return StepMismatchSnafu { job: id.clone() }.fail();
        }
        for ((tasks, rows), step) in occurrence.steps.iter_mut().zip(steps).zip(&job.spec.steps) {
            if tasks.len() != rows.len() {
                return StepMismatchSnafu { job: id.clone() }.fail();
            }
            check_runs(id, &rows)?;
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
    job.is_split = progress.split;
    job.state = progress.state;
    job.published_state = progress.state;
    job.begun_occurrences = progress.begun;
    job.any_task_started = progress.started;
    job.open_occurrences = open;
    job.ended_at = progress.state.is_final().then(|| restored_moment(progress.ended_ms, now));
    Ok(())
}

/// Fails for a run number out of range.
pub(super) fn check_runs(id: &JobId, rows: &[TaskRow]) -> Result<(), ProgressError> {
    match rows.iter().any(|row| row.0 > MAX_RESTORED_RUN) {
        true => RunOutOfRangeSnafu { job: id.clone() }.fail(),
        false => Ok(()),
    }
}

fn task_at(open: &mut [Occurrence], number: u32, step: u32, index: u32) -> Option<&mut Task> {
    let occurrence = open.iter_mut().find(|o| o.number == number)?;
    occurrence.steps.get_mut(step as usize)?.get_mut(index as usize)
}

pub(super) fn restored_task(
    row: TaskRow,
    state: JobState,
    processes: &Processes,
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
            open_attempts: 0,
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
