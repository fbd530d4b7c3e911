//! Jobs as callers hand them in and as the store keeps them.

use crate::batch::job::{JobSpec, JobState, QueueId, Step};
use crate::ids::TeamId;
use crate::platform::json;
use bytes::Bytes;
use serde_json::{Value, json};
use std::time::Duration;

/// Header with the key of the caller's team.
pub const KEY_HEADER: &str = "x-jacinthhook-credential";
/// Header with the time in ms that the caller waits for an answer.
pub const DEADLINE_HEADER: &str = "x-jacinthhook-deadline-ms";
/// Path that the platform's load balancer asks.
pub const READY_PATH: &str = "/-/readyz";
/// Hexadecimal digits of a job's id.
const ID_LEN: usize = 16;
/// Most tasks of a job; more would not fit into one record of its progress.
const MAX_TASKS: u64 = 5_000;
/// Most steps of a job.
const MAX_STEPS: usize = 1_000;

/// Whether a text is a job's id.
pub fn is_job_id(id: &str) -> bool {
    id.len() == ID_LEN && id.bytes().all(|b| b.is_ascii_hexdigit())
}

/// A job as a caller submits it; the error says what is wrong with it.
pub fn job(body: &[u8]) -> Result<JobSpec, String> {
    let body: Value = serde_json::from_slice(body).map_err(|e| format!("not JSON: {e}"))?;
    spec(&body)
}

fn spec(body: &Value) -> Result<JobSpec, String> {
    let steps = body.get("steps").and_then(Value::as_array).ok_or("steps are missing")?;
    if steps.len() > MAX_STEPS {
        return Err(format!("more than {MAX_STEPS} steps"));
    }
    let steps: Result<Vec<Step>, String> =
        steps.iter().enumerate().map(|(index, s)| step(index, s)).collect();
    let steps = steps?;
    if steps.iter().map(|s| u64::from(s.count)).sum::<u64>() > MAX_TASKS {
        return Err(format!("more than {MAX_TASKS} tasks"));
    }
    Ok(JobSpec {
        payload: json::text(body, "spec").into(),
        steps,
        repeats: u32::try_from(json::number(body, "repeats")).map_err(|e| e.to_string())?,
        first_at: json::millis(body, "startAtMs"),
        interval: json::millis(body, "intervalMs"),
    })
}

fn step(index: usize, step: &Value) -> Result<Step, String> {
    let count = u32::try_from(json::number(step, "count")).map_err(|e| e.to_string())?;
    let mut after = Vec::new();
    for earlier in json::list(step, "after") {
        let earlier = earlier.as_u64().filter(|e| *e < index as u64);
        let earlier = earlier.ok_or_else(|| format!("step {index} is after no earlier step"))?;
        after.push(earlier as u32);
    }
    let long_running = json::flag(step, "longRunning");
    let may_miss = step.get("mayMiss").and_then(Value::as_u64).map(|n| n as u32);
    Ok(Step {
        count,
        resources: json::need(step),
        estimate: json::millis(step, "estimateMs"),
        after,
        gang: json::flag(step, "gang"),
        label: json::some_text(step, "requirements"),
        data_rack: json::some_text(step, "affinity"),
        same_rack: json::flag(step, "sameRack"),
        // Tasks of the step on one worker, not a rule about others.
        max_per_worker: json::number(step, "antiAffinity") as u32,
        speculative: json::flag(step, "speculative"),
        long_running,
        tail_latency_target: json::millis(step, "targetMs"),
        best_effort: json::flag(step, "fills"),
        // A step without the field has no tolerance to keep, though fields of value 0 are left out:
        // otherwise a machine with such a task could never have its maintenance.
        may_miss,
    })
}

/// What the store keeps of a job that was handed in.
pub fn stored_job(queue: &str, team: Option<&TeamId>, body: &[u8]) -> Result<Bytes, String> {
    let job: Value = serde_json::from_slice(body).map_err(|e| format!("not JSON: {e}"))?;
    Ok(json!({ "queue": queue, "team": team.map(|t| &**t), "job": job }).to_string().into())
}

/// A job that the store keeps.
pub fn restored_job(value: &[u8]) -> Result<(QueueId, Option<TeamId>, JobSpec), String> {
    let stored: Value = serde_json::from_slice(value).map_err(|e| format!("not JSON: {e}"))?;
    let queue = json::some_text(&stored, "queue").ok_or("the queue is missing")?;
    let job = stored.get("job").ok_or("the job is missing")?;
    Ok((queue, json::some_text(&stored, "team"), spec(job)?))
}

/// Answer to a question for a job's state.
pub fn state_body(state: JobState) -> String {
    let word = match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Complete => "complete",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    };
    json!({ "state": word }).to_string()
}

/// Answer to a question for a queue's waiting jobs.
pub fn pending_body(pending: u64) -> String {
    json!({ "pending": pending }).to_string()
}

/// Time that a caller waits, by its header.
pub fn deadline(header: Option<&str>) -> Option<Duration> {
    header?.trim().parse().ok().map(Duration::from_millis)
}
