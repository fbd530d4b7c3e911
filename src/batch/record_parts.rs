//! Records of the tasks of large jobs.
//!
//! The store limits the size of a record. The tasks of a job with many are therefore stored apart from its own
//! record, each part with a fixed range of the tasks of one occurrence, and a part is written only when it has
//! changed. Several records are not stored at once: parts are written before the job's record and deleted
//! after it. If only some are stored, the next owner finds tasks assigned that were never ordered, as after any
//! lost order; an end is acknowledged only once all are.

use crate::batch::job::{Job, Occurrence, Phase, Task, TaskCrashes};
use crate::batch::records::{
    MAX_TASKS_PER_RECORD, MalformedSnafu, Processes, ProgressError, RecordUpdate,
    StepMismatchSnafu, TaskRow, check_runs, is_job_key, is_split, processes, restored_task,
    stored_occurrences, task_row,
};
use crate::ids::{JobId, Time};
use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Stored tasks of one part, in the order of the occurrence's steps.
#[derive(Deserialize, Serialize)]
struct PartProgress {
    rows: Vec<TaskRow>,
    /// Tasks under which workers crashed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    crashes: Vec<CrashRow>,
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    processes: Processes,
}

/// Position of a task in its part, all crashes, those blamed on it, those under confirmed runs, and the latest
/// run counted.
#[derive(Deserialize, Serialize)]
struct CrashRow(usize, u32, u32, u32, u32);

/// Names a part: job, number of the occurrence, and position among the parts of the occurrence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartKey {
    pub job: JobId,
    occurrence: u32,
    part: usize,
}

impl PartKey {
    /// Parses the key of a record; `None` if it is not that of a part.
    pub fn parse(key: &str) -> Option<PartKey> {
        let (job, rest) = key.split_once('/')?;
        let (occurrence, part) = rest.split_once('.')?;
        let (occurrence, part) = (occurrence.parse().ok()?, part.parse().ok()?);
        is_job_key(job).then(|| PartKey { job: job.into(), occurrence, part })
    }

    /// Returns the key of the record.
    pub fn name(&self) -> Arc<str> {
        format!("{}/{}.{}", self.job, self.occurrence, self.part).into()
    }
}

/// Encodes the parts of a job; none if its tasks are in its own record.
fn encode_parts(id: &JobId, job: &Job) -> Vec<(Arc<str>, Bytes)> {
    if !is_split(job) {
        return Vec::new();
    }
    let mut parts = Vec::new();
    for occurrence in stored_occurrences(job) {
        let tasks: Vec<&Task> = occurrence.steps.iter().flatten().collect();
        for (part, tasks) in tasks.chunks(MAX_TASKS_PER_RECORD).enumerate() {
            let key = PartKey { job: id.clone(), occurrence: occurrence.number, part };
            let progress = PartProgress {
                rows: tasks.iter().map(|task| task_row(task)).collect(),
                crashes: tasks.iter().enumerate().filter_map(crash_row).collect(),
                processes: processes(tasks.iter().copied()),
            };
            // Serializing numbers, strings and lists cannot fail.
            let value = serde_json::to_vec(&progress).unwrap_or_default();
            parts.push((key.name(), value.into()));
        }
    }
    parts
}

fn crash_row((position, task): (usize, &&Task)) -> Option<CrashRow> {
    let TaskCrashes { total, blamed, confirmed, last_run } = task.crashes;
    (total > 0).then_some(CrashRow(position, total, blamed, confirmed, last_run))
}

/// Restores the tasks of a part. Does nothing if the job's record does not name its occurrence.
pub fn decode_part(
    key: &PartKey,
    job: &mut Job,
    value: &[u8],
    now: Time,
) -> Result<(), ProgressError> {
    let id = &key.job;
    let progress: PartProgress =
        serde_json::from_slice(value).context(MalformedSnafu { job: id.clone() })?;
    check_runs(id, &progress.rows)?;
    let state = job.state;
    let open = job.open_occurrences.iter_mut().find(|o| o.number == key.occurrence);
    let Some(occurrence) = open else { return Ok(()) };
    let mut tasks = tasks_of_part(occurrence, key.part);
    if tasks.len() != progress.rows.len() {
        return StepMismatchSnafu { job: id.clone() }.fail();
    }
    for (task, row) in tasks.iter_mut().zip(progress.rows) {
        **task = restored_task(row, state, &progress.processes, now);
    }
    for CrashRow(position, total, blamed, confirmed, last_run) in progress.crashes {
        if let Some(task) = tasks.get_mut(position) {
            task.crashes = TaskCrashes { total, blamed, confirmed, last_run };
        }
    }
    // The end of a gang may be stored for some of its members only.
    for (step, tasks) in job.spec.steps.iter().zip(&mut occurrence.steps) {
        if step.gang && tasks.iter().any(|task| task.phase == Phase::Done) {
            tasks.iter_mut().for_each(|task| task.phase = Phase::Done);
        }
    }
    Ok(())
}

fn tasks_of_part(occurrence: &mut Occurrence, part: usize) -> Vec<&mut Task> {
    let first = part.saturating_mul(MAX_TASKS_PER_RECORD);
    let tasks = occurrence.steps.iter_mut().flatten();
    tasks.skip(first).take(MAX_TASKS_PER_RECORD).collect()
}

/// What a job's parts need for their records to match its state.
#[derive(Default)]
pub struct PartUpdates {
    /// To be stored before the job's record.
    pub written: Vec<RecordUpdate>,
    /// To be stored after the job's record.
    pub deleted: Vec<RecordUpdate>,
}

/// Parts in the store, as far as the owner knows, with a hash of each that this owner wrote.
#[derive(Default)]
pub struct StoredParts {
    by_job: IndexMap<JobId, IndexMap<Arc<str>, Option<u64>>>,
}

impl StoredParts {
    /// Records a part that was read.
    pub fn record(&mut self, key: &PartKey) {
        self.by_job.entry(key.job.clone()).or_default().insert(key.name(), None);
    }

    /// Returns the updates of a job's parts; all are deleted if the job is `None`.
    pub fn update(&mut self, id: &JobId, job: Option<&Job>) -> PartUpdates {
        let parts = job.map(|job| encode_parts(id, job)).unwrap_or_default();
        let known = self.by_job.swap_remove(id).unwrap_or_default();
        let mut updates = PartUpdates::default();
        let mut stored = IndexMap::new();
        for (key, value) in parts {
            let mut hasher = DefaultHasher::new();
            value.hash(&mut hasher);
            let hash = Some(hasher.finish());
            if known.get(&key) != Some(&hash) {
                updates.written.push(RecordUpdate { key: key.clone(), value: Some(value) });
            }
            stored.insert(key, hash);
        }
        let gone = known.into_keys().filter(|key| !stored.contains_key(key));
        updates.deleted = gone.map(|key| RecordUpdate { key, value: None }).collect();
        if !stored.is_empty() {
            self.by_job.insert(id.clone(), stored);
        }
        updates
    }
}
