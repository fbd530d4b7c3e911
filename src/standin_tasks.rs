//! Tasks of an upstream stand-in: leases, fences, renew, checkpoint, throttle and stop.

use crate::ids::*;
use crate::protocol::{Checkpoint, TaskFence, TaskRenew, TaskStart, TaskState, TaskThrottle};
use crate::standin::{Answer, Gate};
use crate::standin_upstream::Worker;
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

/// Largest body of a task call in bytes; a payload is hex in JSON.
const MAX_TASK_LEN: u64 = 256 * 1024;
/// Most tasks remembered; an ended one is forgotten when there are more.
const MAX_TASKS: usize = 100_000;
/// Speed of a task that is not throttled.
const FULL_SPEED: u32 = 100;

/// What a payload in JSON may ask for; any other payload runs for the declared time.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Script {
    /// Real run time in milliseconds.
    run_ms: Option<u64>,
    /// Message with which the task fails at its end.
    fail: Option<String>,
    /// Work done before, from a checkpoint.
    done_ms: u64,
    /// Tag under which starts are counted; the task's id otherwise.
    tag: Option<String>,
}

/// One task.
struct Task {
    fence: Offset,
    state: TaskState,
    /// End of the lease.
    lease_until: Instant,
    /// Work left at full speed when `since` was taken.
    left: Duration,
    done: Duration,
    since: Instant,
    percent: u32,
    ending: TaskState,
    /// Wakes the task's driver after a change.
    changed: Arc<Notify>,
}

impl Task {
    fn is_running(&self) -> bool {
        matches!(self.state, TaskState::Running { .. })
    }

    /// Books the work done up to now.
    fn advance(&mut self, now: Instant) {
        let worked = now.saturating_duration_since(self.since) * self.percent / FULL_SPEED;
        let worked = worked.min(self.left);
        self.left -= worked;
        self.done += worked;
        self.since = now;
    }

    /// When something happens next without a call.
    fn next_event(&self) -> Instant {
        let end = self.since + self.left * FULL_SPEED / self.percent;
        end.min(self.lease_until)
    }

    /// Ends the task if its work or its lease has run out.
    fn settle(&mut self, now: Instant) {
        if !self.is_running() {
            return;
        }
        let end = self.since + self.left * FULL_SPEED / self.percent;
        if end <= now && end <= self.lease_until {
            self.advance(now);
            self.state = self.ending.clone();
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
    known: Mutex<HashMap<String, Task>>,
}

impl Tasks {
    /// Brings a task up to date and works on it.
    fn with<T>(&self, id: &str, f: impl FnOnce(&mut Task) -> T) -> Option<T> {
        let mut known = self.known.lock();
        let task = known.get_mut(id)?;
        task.settle(Instant::now());
        Some(f(task))
    }
}

/// The routes of the task calls.
pub(crate) fn routes() -> Vec<Route> {
    rocket::routes![start, renew, checkpoint, throttle, stop, get]
}

async fn parse<T: DeserializeOwned>(data: Data<'_>) -> Option<T> {
    let body = data.open(MAX_TASK_LEN.bytes()).into_bytes().await.ok()?;
    if !body.is_complete() {
        return None;
    }
    serde_json::from_slice(&body).ok()
}

#[rocket::put("/tasks/<id>", data = "<data>")]
async fn start(gate: Gate, id: &str, data: Data<'_>, worker: &State<Arc<Worker>>) -> Answer {
    let answer = match parse::<TaskStart>(data).await {
        Some(wanted) => try_start(worker, id, wanted, gate.failing),
        None => worker.sign(Answer::new(400)),
    };
    gate.leave(answer).await
}

/// Starts a task once. The table stays locked, so that of two starts at the same time one is the
/// first.
fn try_start(worker: &Arc<Worker>, id: &str, wanted: TaskStart, failing: bool) -> Answer {
    let lease = Duration::from_millis(wanted.lease_ms);
    let mut tasks = worker.tasks.known.lock();
    let known = tasks.get_mut(id).map(|task| known_task(task, wanted.fence, lease));
    match known {
        Some(Known::Lower) => return worker.not_run(409, "fence"),
        Some(Known::State(state)) => return worker.sign(Answer::json(200, &state)),
        Some(Known::Restart) | None => (),
    }
    if worker.draining.load(Ordering::SeqCst) {
        return worker.not_run(409, "draining");
    }
    if worker.clock_ms() > wanted.start_by_ms {
        return worker.not_run(409, "late");
    }
    let Ok(slot) = worker.free.clone().try_acquire_owned() else {
        return worker.not_run(409, "busy");
    };
    if tasks.len() >= MAX_TASKS {
        tasks.retain(|_, task| task.is_running());
    }
    let task = new_task(worker, id, wanted, failing);
    let answer = worker.sign(Answer::json(201, &task.state));
    tokio::spawn(drive(worker.clone(), id.to_string(), task.changed.clone(), slot));
    tasks.insert(id.to_string(), task);
    answer
}

/// What a start finds when the task's id is known.
enum Known {
    /// A higher fence has been seen.
    Lower,
    /// It runs or has ended; it is not started again.
    State(TaskState),
    /// It ended without a result and the fence is higher: it may run again.
    Restart,
}

fn known_task(task: &mut Task, fence: Offset, lease: Duration) -> Known {
    task.settle(Instant::now());
    if fence < task.fence {
        return Known::Lower;
    }
    let ended_badly = matches!(task.state, TaskState::Failed { .. } | TaskState::Stopped);
    if ended_badly && fence > task.fence {
        return Known::Restart;
    }
    if task.is_running() && fence > task.fence {
        task.renew(fence, lease);
        task.changed.notify_one();
    }
    task.fence = fence;
    Known::State(task.state.clone())
}

fn new_task(worker: &Worker, id: &str, wanted: TaskStart, failing: bool) -> Task {
    let script: Script = serde_json::from_slice(&wanted.payload).unwrap_or_default();
    worker.count_run(script.tag.as_deref().unwrap_or(id));
    let run = Duration::from_millis(script.run_ms.unwrap_or(wanted.declared_ms));
    let done = Duration::from_millis(script.done_ms);
    let now = Instant::now();
    Task {
        fence: wanted.fence,
        state: TaskState::Running { fence: wanted.fence },
        lease_until: now + Duration::from_millis(wanted.lease_ms),
        left: if failing { Duration::ZERO } else { run.saturating_sub(done) },
        done,
        since: now,
        percent: FULL_SPEED,
        ending: ending(script.fail, failing, wanted.payload),
        changed: Arc::new(Notify::new()),
    }
}

/// How a task ends: with its payload as the result, or with a failure.
fn ending(fail: Option<String>, failing: bool, payload: Bytes) -> TaskState {
    match fail {
        _ if failing => TaskState::Failed { message: "this instance fails all work".into() },
        Some(message) => TaskState::Failed { message },
        None => TaskState::Done { result: payload },
    }
}

/// Holds a task's slot until the task has ended.
async fn drive(worker: Arc<Worker>, id: String, changed: Arc<Notify>, slot: OwnedSemaphorePermit) {
    loop {
        let event = worker.tasks.with(&id, |task| {
            let current = Arc::ptr_eq(&task.changed, &changed);
            (current && task.is_running()).then(|| task.next_event())
        });
        let Some(Some(event)) = event else { break };
        tokio::select! {
            () = tokio::time::sleep_until(event.into()) => (),
            () = changed.notified() => (),
        }
    }
    drop(slot);
}

/// Makes a change to a task unless the fence is lower than one seen before.
fn change(worker: &Worker, id: &str, fence: Offset, f: impl FnOnce(&mut Task) -> Answer) -> Answer {
    let answer = worker.tasks.with(id, |task| {
        if fence < task.fence {
            return None;
        }
        let answer = f(task);
        task.changed.notify_one();
        Some(answer)
    });
    match answer {
        Some(Some(answer)) => worker.sign(answer),
        Some(None) => worker.not_run(409, "fence"),
        None => worker.sign(Answer::new(404)),
    }
}

#[rocket::post("/tasks/<id>/renew", data = "<data>")]
async fn renew(gate: Gate, id: &str, data: Data<'_>, worker: &State<Arc<Worker>>) -> Answer {
    let answer = match parse::<TaskRenew>(data).await {
        Some(wanted) => change(worker, id, wanted.fence, |task| {
            task.renew(wanted.fence, Duration::from_millis(wanted.lease_ms));
            Answer::json(200, &task.state)
        }),
        None => worker.sign(Answer::new(400)),
    };
    gate.leave(answer).await
}

#[rocket::post("/tasks/<id>/checkpoint", data = "<data>")]
async fn checkpoint(gate: Gate, id: &str, data: Data<'_>, worker: &State<Arc<Worker>>) -> Answer {
    let answer = match parse::<TaskFence>(data).await {
        Some(wanted) => change(worker, id, wanted.fence, |task| {
            if task.is_running() {
                task.advance(Instant::now());
            }
            Answer::json(200, &Checkpoint { done_ms: task.done.as_millis() as u64 })
        }),
        None => worker.sign(Answer::new(400)),
    };
    gate.leave(answer).await
}

#[rocket::post("/tasks/<id>/throttle", data = "<data>")]
async fn throttle(gate: Gate, id: &str, data: Data<'_>, worker: &State<Arc<Worker>>) -> Answer {
    let wanted = parse::<TaskThrottle>(data).await;
    let answer = match wanted.filter(|w| (1..=FULL_SPEED).contains(&w.percent)) {
        Some(wanted) => change(worker, id, wanted.fence, |task| {
            if task.is_running() {
                task.advance(Instant::now());
                task.percent = wanted.percent;
            }
            Answer::json(200, &task.state)
        }),
        None => worker.sign(Answer::new(400)),
    };
    gate.leave(answer).await
}

#[rocket::post("/tasks/<id>/stop", data = "<data>")]
async fn stop(gate: Gate, id: &str, data: Data<'_>, worker: &State<Arc<Worker>>) -> Answer {
    let answer = match parse::<TaskFence>(data).await {
        Some(wanted) => change(worker, id, wanted.fence, |task| {
            if task.is_running() {
                task.advance(Instant::now());
                task.fence = wanted.fence;
                task.state = TaskState::Stopped;
            }
            Answer::json(200, &task.state)
        }),
        None => worker.sign(Answer::new(400)),
    };
    gate.leave(answer).await
}

#[rocket::get("/tasks/<id>")]
async fn get(gate: Gate, id: &str, worker: &State<Arc<Worker>>) -> Answer {
    let state = worker.tasks.with(id, |task| task.state.clone());
    let answer = match state {
        Some(state) => Answer::json(200, &state),
        None => Answer::new(404),
    };
    gate.leave(worker.sign(answer)).await
}
