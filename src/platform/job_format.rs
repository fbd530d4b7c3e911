//! Format of jobs, as submitted by callers and as stored.

use crate::batch::declarations::Queue;
use crate::batch::job::{JobSpec, JobState, MAX_OPEN_TASKS, QueueId, Step};
use crate::ids::TeamId;
use crate::platform::job_fields::{self, Shape};
use crate::platform::json;
use crate::platform::store::MAX_RECORD_BYTES;
use bytes::Bytes;
use serde_json::{Value, json};
use std::time::Duration;

/// Header with the key of the caller's team.
pub const KEY_HEADER: &str = "x-jacinthhook-credential";
/// Header with the time in ms for which the caller waits for a response.
pub const DEADLINE_HEADER: &str = "x-jacinthhook-deadline-ms";
/// Path of the load balancer's readiness probes.
pub const READINESS_PATH: &str = "/-/readyz";
/// Length of a job id in hexadecimal digits.
const JOB_ID_LEN: usize = 16;
const MAX_STEPS_PER_JOB: usize = 1_000;
/// Bytes of a record beside its value: the key and its length.
const RECORD_OVERHEAD_BYTES: usize = JOB_ID_LEN + 1;

/// Whether `id` has the format of a job id.
pub fn is_job_id(id: &str) -> bool {
    id.len() == JOB_ID_LEN && id.bytes().all(|b| b.is_ascii_hexdigit())
}

/// Fields of a job and of a step that hold numbers.
const JOB_NUMBERS: [&str; 3] = ["repeats", "startAtMs", "intervalMs"];
const STEP_NUMBERS: [&str; 8] =
    ["count", "cpu", "memMb", "gpu", "estimateMs", "antiAffinity", "targetMs", "mayMiss"];

/// Fields of a step that are read.
const STEP_SHAPE: Shape = Shape::Object(&[
    ("count", Shape::Scalar),
    ("cpu", Shape::Scalar),
    ("memMb", Shape::Scalar),
    ("gpu", Shape::Scalar),
    ("estimateMs", Shape::Scalar),
    ("after", Shape::List(&Shape::Scalar, MAX_STEPS_PER_JOB)),
    ("gang", Shape::Scalar),
    ("requirements", Shape::Scalar),
    ("affinity", Shape::Scalar),
    ("sameRack", Shape::Scalar),
    ("antiAffinity", Shape::Scalar),
    ("speculative", Shape::Scalar),
    ("longRunning", Shape::Scalar),
    ("targetMs", Shape::Scalar),
    ("fills", Shape::Scalar),
    ("mayMiss", Shape::Scalar),
]);
/// Fields of a job that are read. `parse_spec` tells of steps that are too many.
const JOB_SHAPE: Shape = Shape::Object(&[
    ("spec", Shape::Scalar),
    ("steps", Shape::List(&STEP_SHAPE, MAX_STEPS_PER_JOB + 1)),
    ("repeats", Shape::Scalar),
    ("startAtMs", Shape::Scalar),
    ("intervalMs", Shape::Scalar),
]);
/// Fields of a stored job.
const STORED_SHAPE: Shape = Shape::Object(&[
    ("queue", Shape::Scalar),
    ("accepted", ACCEPTED_SHAPE),
    ("team", Shape::Scalar),
    ("taken_at_ms", Shape::Scalar),
    ("job", JOB_SHAPE),
]);
const ACCEPTED_SHAPE: Shape = Shape::Object(&[
    ("host", Shape::Scalar),
    ("path_prefix", Shape::Scalar),
    ("pool", Shape::Scalar),
    ("priority", Shape::Scalar),
    ("max_attempts", Shape::Scalar),
    ("slack_factor", Shape::Scalar),
    ("target_latency_ms", Shape::Scalar),
    ("public", Shape::Scalar),
    ("requires_advice", Shape::Scalar),
]);

/// Parses a job that a caller submits. The error describes what is wrong.
pub fn parse_job(body: &[u8]) -> Result<JobSpec, String> {
    parse_spec(&job_fields::parse(body, JOB_SHAPE)?)
}

/// Fails for a field that holds anything but a whole number. Taken for 0, it would lift a limit.
fn check_numbers(value: &Value, fields: &[&str]) -> Result<(), String> {
    match fields.iter().find(|field| value.get(**field).is_some_and(|n| !n.is_u64())) {
        Some(field) => Err(format!("{field} is not a whole number")),
        None => Ok(()),
    }
}

fn parse_spec(body: &Value) -> Result<JobSpec, String> {
    check_numbers(body, &JOB_NUMBERS)?;
    let steps = body.get("steps").and_then(Value::as_array).ok_or("steps are missing")?;
    if steps.len() > MAX_STEPS_PER_JOB {
        return Err(format!("more than {MAX_STEPS_PER_JOB} steps"));
    }
    let steps: Result<Vec<Step>, String> =
        steps.iter().enumerate().map(|(index, s)| parse_step(index, s)).collect();
    let steps = steps?;
    if steps.iter().map(|s| u64::from(s.count)).sum::<u64>() > MAX_OPEN_TASKS {
        return Err(format!("more than {MAX_OPEN_TASKS} tasks"));
    }
    Ok(JobSpec {
        payload: json::text(body, "spec").into(),
        steps,
        repeats: u32::try_from(json::number(body, "repeats")).map_err(|e| e.to_string())?,
        first_at: json::millis(body, "startAtMs"),
        interval: json::millis(body, "intervalMs"),
    })
}

fn parse_step(index: usize, step: &Value) -> Result<Step, String> {
    check_numbers(step, &STEP_NUMBERS)?;
    let count = u32::try_from(json::number(step, "count")).map_err(|e| e.to_string())?;
    let mut after = Vec::new();
    for earlier in json::list(step, "after") {
        let earlier = earlier.as_u64().filter(|e| *e < index as u64);
        let earlier = earlier
            .ok_or_else(|| format!("step {index} depends on a step that does not precede it"))?;
        after.push(earlier as u32);
    }
    let long_running = json::flag(step, "longRunning");
    let may_miss = step.get("mayMiss").map(|_| json::number_u32(step, "mayMiss"));
    Ok(Step {
        count,
        resources: json::resources(step),
        estimate: json::millis(step, "estimateMs"),
        after,
        gang: json::flag(step, "gang"),
        label: json::non_empty_text(step, "requirements"),
        data_rack: json::non_empty_text(step, "affinity"),
        same_rack: json::flag(step, "sameRack"),
        // Limits the tasks of this step per worker; it does not separate tasks of different steps.
        max_per_worker: json::number_u32(step, "antiAffinity"),
        speculative: json::flag(step, "speculative"),
        long_running,
        tail_latency_target: json::millis(step, "targetMs"),
        best_effort: json::flag(step, "fills"),
        // A missing field means that there is no limit, although the platform omits fields of value
        // 0 elsewhere. With a limit of 0, a machine with such a task could never undergo
        // maintenance.
        may_miss,
    })
}

/// A stored job.
pub struct StoredJob {
    pub queue: QueueId,
    /// The queue as it was declared when the job was accepted; `None` in records of earlier versions.
    pub accepted_queue: Option<Queue>,
    pub team: Option<TeamId>,
    /// When an instance took the job, by its clock and since the Unix epoch; 0 in records of earlier versions.
    /// It only orders jobs of several partitions.
    pub taken_at: Duration,
    pub spec: JobSpec,
}

/// Encodes a submitted job for the store, with the declaration by which it is accepted and the time since the
/// Unix epoch; fields that are not read are left out. Fails if the store would not take it.
pub fn encode_stored_job(
    queue: &Queue,
    team: Option<&TeamId>,
    body: &[u8],
    taken_at: Duration,
) -> Result<Bytes, String> {
    let job = job_fields::parse(body, JOB_SHAPE)?;
    let accepted = json!({
        "host": &*queue.host,
        "path_prefix": &*queue.path_prefix,
        "pool": &*queue.pool,
        "priority": queue.priority,
        "max_attempts": queue.max_attempts,
        "slack_factor": queue.slack_factor,
        "target_latency_ms": queue.target_latency.as_millis() as u64,
        "public": queue.public,
        "requires_advice": queue.requires_advice,
    });
    let team = team.map(|t| &**t);
    let taken_at_ms = taken_at.as_millis() as u64;
    let stored = json!({
        "queue": &*queue.id,
        "accepted": accepted,
        "team": team,
        "taken_at_ms": taken_at_ms,
        "job": job,
    });
    let stored = stored.to_string();
    if stored.len() + RECORD_OVERHEAD_BYTES > MAX_RECORD_BYTES {
        return Err(format!("{} bytes are too many for a record", stored.len()));
    }
    Ok(stored.into())
}

/// Decodes a stored job.
pub fn decode_stored_job(value: &[u8]) -> Result<StoredJob, String> {
    let stored = job_fields::parse(value, STORED_SHAPE)?;
    let queue = json::non_empty_text(&stored, "queue").ok_or("the queue is missing")?;
    let job = stored.get("job").ok_or("the job is missing")?;
    let accepted_queue = stored.get("accepted").and_then(|a| decode_accepted_queue(&queue, a));
    let team = json::non_empty_text(&stored, "team");
    let taken_at = json::millis(&stored, "taken_at_ms");
    Ok(StoredJob { queue, accepted_queue, team, taken_at, spec: parse_spec(job)? })
}

fn decode_accepted_queue(id: &QueueId, accepted: &Value) -> Option<Queue> {
    Some(Queue {
        id: id.clone(),
        host: json::text(accepted, "host").into(),
        path_prefix: json::text(accepted, "path_prefix").into(),
        pool: json::non_empty_text(accepted, "pool")?,
        priority: json::number_u32(accepted, "priority"),
        max_attempts: json::number_u32(accepted, "max_attempts").max(1),
        slack_factor: accepted.get("slack_factor")?.as_f64()?,
        target_latency: json::millis(accepted, "target_latency_ms"),
        public: json::flag(accepted, "public"),
        requires_advice: json::flag(accepted, "requires_advice"),
    })
}

/// Encodes the response to a query for a job's state.
pub fn encode_job_state(state: JobState) -> String {
    let name = match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Complete => "complete",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    };
    json!({ "state": name }).to_string()
}

/// Encodes the response to a query for the number of a queue's pending jobs.
pub fn encode_pending_count(pending: u64) -> String {
    json!({ "pending": pending }).to_string()
}

/// Parses the header with the caller's deadline.
pub fn parse_deadline(header: Option<&str>) -> Option<Duration> {
    header?.trim().parse().ok().map(Duration::from_millis)
}
