//! Tasks of an upstream stand-in: leases, fencing tokens, renewal, checkpoints, throttling and
//! stops.

use crate::ids::*;
use crate::protocol::{Checkpoint, TaskFence, TaskRenew, TaskStart, TaskState, TaskThrottle};
use crate::standin::{Answer, FaultGuard};
use crate::standin_upstream::UpstreamState;
use bytes::Bytes;
use parking_lot::Mutex;
use rocket::State;
use rocket::data::{Data, ToByteUnit};
use rocket::route::Route;
use serde::{Deserialize, de::DeserializeOwned};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, OwnedSemaphorePermit};

/// Maximum length of the body of a task call in bytes. The payload is hex encoded in JSON.
const MAX_TASK_BODY_LEN: u64 = 256 * 1024;
/// Maximum number of tasks kept. When it is reached, all tasks that are not running are dropped.
const MAX_TASKS: usize = 100_000;
/// Speed of a task that is not throttled, in percent.
const FULL_SPEED: u32 = 100;

/// Behaviour that a JSON payload requests. A task with any other payload runs for its declared
/// time.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct TaskScript {
    /// Actual run time in milliseconds.
    run_ms: Option<u64>,
    /// Message with which the task fails at the end of its run time.
    fail: Option<String>,
    /// Work already done according to a checkpoint, in milliseconds.
    done_ms: u64,
    /// Tag under which starts are counted. Defaults to the task's id.
    tag: Option<String>,
}

/// State of a task.
struct Task {
    fence: Offset,
    state: TaskState,
    lease_until: Instant,
    /// Work remaining at `updated_at`, as run time at full speed.
    remaining: Duration,
    done: Duration,
    updated_at: Instant,
    speed_percent: u32,
    final_state: TaskState,
    /// Wakes the future that holds the task's slot after a change.
    changed: Arc<Notify>,
}

impl Task {
    fn is_running(&self) -> bool {
        matches!(self.state, TaskState::Running { .. })
    }

    /// Moves the work done since the last update from `remaining` to `done`.
    fn advance(&mut self, now: Instant) {
        let worked =
            now.saturating_duration_since(self.updated_at) * self.speed_percent / FULL_SPEED;
        let worked = worked.min(self.remaining);
        self.remaining -= worked;
        self.done += worked;
        self.updated_at = now;
    }

    /// Returns when the task finishes or its lease expires, whichever is first.
    fn next_event(&self) -> Instant {
        let end = self.updated_at + self.remaining * FULL_SPEED / self.speed_percent;
        end.min(self.lease_until)
    }

    /// Ends the task if its work is done or its lease has expired.
    fn update_state(&mut self, now: Instant) {
        if !self.is_running() {
            return;
        }
        let end = self.updated_at + self.remaining * FULL_SPEED / self.speed_percent;
        if end <= now && end <= self.lease_until {
            self.advance(now);
            self.state = self.final_state.clone();
        } else if self.lease_until <= now {
            self.state = TaskState::Stopped;
        }
    }

    fn renew(&mut self, fence: Offset, lease: Duration) {
        self.fence = fence;
        self.lease_until = Instant::now() + lease;
        if self.is_running() {
            self.state = TaskState::Running { fence };
        }
    }
}

/// The tasks of one upstream.
#[derive(Default)]
pub(crate) struct Tasks {
    by_id: Mutex<HashMap<String, Task>>,
}

impl Tasks {
    /// Updates the state of a task to the current time and passes it to `f`.
    fn update<T>(&self, id: &str, f: impl FnOnce(&mut Task) -> T) -> Option<T> {
        let mut by_id = self.by_id.lock();
        let task = by_id.get_mut(id)?;
        task.update_state(Instant::now());
        Some(f(task))
    }
}

/// Returns the routes of the task calls.
pub(crate) fn routes() -> Vec<Route> {
    rocket::routes![start, renew, checkpoint, throttle, stop, get]
}

async fn parse<T: DeserializeOwned>(data: Data<'_>) -> Option<T> {
    let body = data.open(MAX_TASK_BODY_LEN.bytes()).into_bytes().await.ok()?;
    if !body.is_complete() {
        return None;
    }
    serde_json::from_slice(&body).ok()
}

#[rocket::put("/tasks/<id>", data = "<data>")]
async fn start(
    guard: FaultGuard,
    id: &str,
    data: Data<'_>,
    upstream: &State<Arc<UpstreamState>>,
) -> Answer {
    let answer = match parse::<TaskStart>(data).await {
        Some(request) => try_start(upstream, id, request, guard.failing),
        None => upstream.with_status_headers(Answer::new(400)),
    };
    guard.apply_after(answer).await
}

/// Starts a task at most once. The table stays locked throughout, so that concurrent starts of a
/// task are serialized.
fn try_start(upstream: &Arc<UpstreamState>, id: &str, request: TaskStart, failing: bool) -> Answer {
    let lease = Duration::from_millis(request.lease_ms);
    let mut tasks = upstream.tasks.by_id.lock();
    let existing = tasks.get_mut(id).map(|task| check_existing(task, request.fence, lease));
    match existing {
        Some(ExistingTask::StaleFence) => return upstream.refuse_not_run(409, "fence"),
        Some(ExistingTask::State(state)) => {
            return upstream.with_status_headers(Answer::json(200, &state));
        }
        Some(ExistingTask::MayRestart) | None => (),
    }
    if upstream.draining.load(Ordering::SeqCst) {
        return upstream.refuse_not_run(409, "draining");
    }
    if upstream.clock_ms() > request.start_by_ms {
        return upstream.refuse_not_run(409, "late");
    }
    let Ok(slot) = upstream.free.clone().try_acquire_owned() else {
        return upstream.refuse_not_run(409, "busy");
    };
    if tasks.len() >= MAX_TASKS {
        tasks.retain(|_, task| task.is_running());
    }
    let task = new_task(upstream, id, request, failing);
    let answer = upstream.with_status_headers(Answer::json(201, &task.state));
    tokio::spawn(hold_slot(upstream.clone(), id.to_string(), task.changed.clone(), slot));
    tasks.insert(id.to_string(), task);
    answer
}

/// Result of a start for a task id that exists.
enum ExistingTask {
    /// A higher fencing token has been seen.
    StaleFence,
    /// The task is running or has ended and is not started again.
    State(TaskState),
    /// The task ended without a result and the fencing token is higher, so it may run again.
    MayRestart,
}

fn check_existing(task: &mut Task, fence: Offset, lease: Duration) -> ExistingTask {
    task.update_state(Instant::now());
    if fence < task.fence {
        return ExistingTask::StaleFence;
    }
    let ended_without_result = matches!(task.state, TaskState::Failed { .. } | TaskState::Stopped);
    if ended_without_result && fence > task.fence {
        return ExistingTask::MayRestart;
    }
    if task.is_running() && fence > task.fence {
        task.renew(fence, lease);
        task.changed.notify_one();
    }
    task.fence = fence;
    ExistingTask::State(task.state.clone())
}

fn new_task(upstream: &UpstreamState, id: &str, request: TaskStart, failing: bool) -> Task {
    let script: TaskScript = serde_json::from_slice(&request.payload).unwrap_or_default();
    upstream.record_run(script.tag.as_deref().unwrap_or(id));
    let run = Duration::from_millis(script.run_ms.unwrap_or(request.declared_ms));
    let done = Duration::from_millis(script.done_ms);
    let now = Instant::now();
    Task {
        fence: request.fence,
        state: TaskState::Running { fence: request.fence },
        lease_until: now + Duration::from_millis(request.lease_ms),
        remaining: if failing { Duration::ZERO } else { run.saturating_sub(done) },
        done,
        updated_at: now,
        speed_percent: FULL_SPEED,
        final_state: final_state(script.fail, failing, request.payload),
        changed: Arc::new(Notify::new()),
    }
}

/// Returns the state in which a task ends: done with its payload as the result, or failed.
fn final_state(fail: Option<String>, failing: bool, payload: Bytes) -> TaskState {
    match fail {
        _ if failing => TaskState::Failed { message: "this instance fails all work".into() },
        Some(message) => TaskState::Failed { message },
        None => TaskState::Done { result: payload },
    }
}

/// Holds a task's slot until the task ends.
async fn hold_slot(
    upstream: Arc<UpstreamState>,
    id: String,
    changed: Arc<Notify>,
    slot: OwnedSemaphorePermit,
) {
    loop {
        let next_event = upstream.tasks.update(&id, |task| {
            let is_same_run = Arc::ptr_eq(&task.changed, &changed);
            (is_same_run && task.is_running()).then(|| task.next_event())
        });
        let Some(Some(next_event)) = next_event else { break };
        tokio::select! {
            () = tokio::time::sleep_until(next_event.into()) => (),
            () = changed.notified() => (),
        }
    }
    drop(slot);
}

/// Applies a change to a task unless a higher fencing token has been seen.
fn update_fenced(
    upstream: &UpstreamState,
    id: &str,
    fence: Offset,
    f: impl FnOnce(&mut Task) -> Answer,
) -> Answer {
    let answer = upstream.tasks.update(id, |task| {
        if fence < task.fence {
            return None;
        }
        let answer = f(task);
        task.changed.notify_one();
        Some(answer)
    });
    match answer {
        Some(Some(answer)) => upstream.with_status_headers(answer),
        Some(None) => upstream.refuse_not_run(409, "fence"),
        None => upstream.with_status_headers(Answer::new(404)),
    }
}

#[rocket::post("/tasks/<id>/renew", data = "<data>")]
async fn renew(
    guard: FaultGuard,
    id: &str,
    data: Data<'_>,
    upstream: &State<Arc<UpstreamState>>,
) -> Answer {
    let answer = match parse::<TaskRenew>(data).await {
        Some(request) => update_fenced(upstream, id, request.fence, |task| {
            task.renew(request.fence, Duration::from_millis(request.lease_ms));
            Answer::json(200, &task.state)
        }),
        None => upstream.with_status_headers(Answer::new(400)),
    };
    guard.apply_after(answer).await
}

#[rocket::post("/tasks/<id>/checkpoint", data = "<data>")]
async fn checkpoint(
    guard: FaultGuard,
    id: &str,
    data: Data<'_>,
    upstream: &State<Arc<UpstreamState>>,
) -> Answer {
    let answer = match parse::<TaskFence>(data).await {
        Some(request) => update_fenced(upstream, id, request.fence, |task| {
            if task.is_running() {
                task.advance(Instant::now());
            }
            Answer::json(200, &Checkpoint { done_ms: task.done.as_millis() as u64 })
        }),
        None => upstream.with_status_headers(Answer::new(400)),
    };
    guard.apply_after(answer).await
}

#[rocket::post("/tasks/<id>/throttle", data = "<data>")]
async fn throttle(
    guard: FaultGuard,
    id: &str,
    data: Data<'_>,
    upstream: &State<Arc<UpstreamState>>,
) -> Answer {
    let request = parse::<TaskThrottle>(data).await;
    let answer = match request.filter(|w| (1..=FULL_SPEED).contains(&w.percent)) {
        Some(request) => update_fenced(upstream, id, request.fence, |task| {
            if task.is_running() {
                task.advance(Instant::now());
                task.speed_percent = request.percent;
            }
            Answer::json(200, &task.state)
        }),
        None => upstream.with_status_headers(Answer::new(400)),
    };
    guard.apply_after(answer).await
}

#[rocket::post("/tasks/<id>/stop", data = "<data>")]
async fn stop(
    guard: FaultGuard,
    id: &str,
    data: Data<'_>,
    upstream: &State<Arc<UpstreamState>>,
) -> Answer {
    let answer = match parse::<TaskFence>(data).await {
        Some(request) => update_fenced(upstream, id, request.fence, |task| {
            if task.is_running() {
                task.advance(Instant::now());
                task.fence = request.fence;
                task.state = TaskState::Stopped;
            }
            Answer::json(200, &task.state)
        }),
        None => upstream.with_status_headers(Answer::new(400)),
    };
    guard.apply_after(answer).await
}

#[rocket::get("/tasks/<id>")]
async fn get(guard: FaultGuard, id: &str, upstream: &State<Arc<UpstreamState>>) -> Answer {
    let state = upstream.tasks.update(id, |task| task.state.clone());
    let answer = match state {
        Some(state) => Answer::json(200, &state),
        None => Answer::new(404),
    };
    guard.apply_after(upstream.with_status_headers(answer)).await
}
