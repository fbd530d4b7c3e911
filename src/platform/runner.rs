//! Orders to workers.

use crate::batch::job::TaskId;
use crate::batch::orders::{
    FinishedRun, PaceOrder, RunOutcome, RunningTask, StartOrder, StartOutcome, StopOrder,
    WorkerReport, WorkerTime,
};
use crate::ids::Time;
use crate::platform::http::{Answer, Call, Http, Lost};
use crate::platform::json;
use reqwest::Method;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

/// Time for the answer to an order; workers answer within a few ms.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time beyond the wait of a look.
const LOOK_SLACK: Duration = Duration::from_millis(700);

/// Which life of which worker is meant, and with what authority.
#[derive(Clone, Debug)]
pub struct Target {
    /// `IP:PORT`.
    pub address: Arc<str>,
    pub worker: Arc<str>,
    pub fence: u64,
}

/// A question for a worker's lists that extends the lease of all that runs there.
#[derive(Clone, Copy, Debug)]
pub struct LookOrder {
    /// `None` leaves the lease as it is.
    pub lease: Option<WorkerTime>,
    /// Ends with numbers up to this are forgotten.
    pub acknowledged: u64,
    /// The answer waits this long for an end.
    pub wait: Duration,
}

/// Why a look has no lists.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LookError {
    /// A newer owner has given orders.
    Fenced,
    /// The address belongs to another worker now.
    OtherWorker,
    /// The worker refused, or its answer cannot be read.
    Refused,
    /// No answer.
    Lost,
}

/// Client of workers.
#[derive(Clone, Debug)]
pub struct Runners {
    http: Http,
}

impl Runners {
    /// A client without connections yet.
    pub fn new(http: Http) -> Runners {
        Runners { http }
    }

    /// Orders a start.
    pub async fn start(&self, to: &Target, start: &StartOrder, lease: WorkerTime) -> StartOutcome {
        let mut body = json!({
            "task": start.task.to_string(),
            "run": start.run,
            "spec": &*start.spec.payload,
            // A time on the worker's clock, not a deadline of the task.
            "deadlineMs": lease.as_millis() as u64,
            "fence": to.fence,
        });
        if !start.checkpoint.is_empty() {
            body["checkpoint"] = json!(&*start.checkpoint);
        }
        match self.order(to, "/-/run-start", &body, ORDER_TIMEOUT).await {
            Ok(answer) => start_answer(&answer),
            Err(Lost::NotSent) => StartOutcome::NotSent,
            Err(Lost::NoAnswer) => StartOutcome::Unknown,
        }
    }

    /// Orders a stop. Answers whether the worker took it.
    pub async fn stop(&self, to: &Target, stop: &StopOrder) -> bool {
        let body = json!({ "task": stop.task.to_string(), "run": stop.run, "fence": to.fence });
        let answer = self.order(to, "/-/run-stop", &body, ORDER_TIMEOUT).await;
        answer.is_ok_and(|a| a.status == 200)
    }

    /// Sets the speed of a task. Answers whether the worker took it.
    pub async fn pace(&self, to: &Target, pace: &PaceOrder) -> bool {
        let body = json!({
            "task": pace.task.to_string(),
            "run": pace.run,
            "percent": pace.speed_percent,
            "fence": to.fence,
        });
        let answer = self.order(to, "/-/pace", &body, ORDER_TIMEOUT).await;
        answer.is_ok_and(|a| a.status == 200)
    }

    /// Asks for the lists.
    pub async fn look(
        &self,
        to: &Target,
        order: LookOrder,
        requested_at: Time,
    ) -> Result<WorkerReport, LookError> {
        let mut body = json!({ "fence": to.fence, "ackIndex": order.acknowledged });
        if let Some(lease) = order.lease {
            body["deadlineMs"] = json!(lease.as_millis() as u64);
        }
        if !order.wait.is_zero() {
            body["waitMs"] = json!(order.wait.as_millis() as u64);
        }
        let answer = self.order(to, "/-/hold", &body, order.wait + LOOK_SLACK).await;
        let Ok(answer) = answer else { return Err(LookError::Lost) };
        match answer.status {
            200 => Ok(look(&answer.json(), requested_at)),
            409 => Err(LookError::Fenced),
            421 => Err(LookError::OtherWorker),
            _ => Err(LookError::Refused),
        }
    }

    async fn order(
        &self,
        to: &Target,
        path: &str,
        body: &Value,
        timeout: Duration,
    ) -> Result<Answer, Lost> {
        let headers = [("x-jacinthhook-expected-instance", &*to.worker)];
        let body = body.to_string().into();
        let address = &*to.address;
        let call = Call { method: Method::POST, address, path, headers: &headers, body, timeout };
        self.http.call(call).await
    }
}

fn start_answer(answer: &Answer) -> StartOutcome {
    match answer.status {
        200 => StartOutcome::Started,
        409 => match json::text(&answer.json(), "reason") {
            "fence" => StartOutcome::Fenced,
            "old" => StartOutcome::Over,
            "late" => StartOutcome::Late,
            "ticket" => StartOutcome::NoTicket,
            _ => StartOutcome::NoRoom,
        },
        421 => StartOutcome::OtherWorker,
        429 | 503 => StartOutcome::Busy,
        400..=499 => StartOutcome::Malformed,
        _ => StartOutcome::Unknown,
    }
}

fn look(body: &Value, requested_at: Time) -> WorkerReport {
    WorkerReport {
        incarnation: json::number(body, "born"),
        clock: json::millis(body, "clockMs"),
        running: json::list(body, "running").iter().filter_map(running).collect(),
        finished: json::list(body, "finished").iter().filter_map(ended).collect(),
        requested_at,
    }
}

/// Task, run, checkpoint, percent, load.
fn running(row: &Value) -> Option<RunningTask> {
    let name = row.get(0)?.as_str()?;
    Some(RunningTask {
        task: task_id(name),
        name: name.into(),
        run: u32::try_from(row.get(1)?.as_u64()?).ok()?,
        checkpoint: row.get(2).and_then(Value::as_str).unwrap_or("").into(),
        speed_percent: row.get(3).and_then(Value::as_u64).unwrap_or(0) as u32,
        load: row.get(4).and_then(Value::as_u64).unwrap_or(0),
    })
}

/// Number, task, run, how, checkpoint.
fn ended(row: &Value) -> Option<FinishedRun> {
    let outcome = match row.get(3)?.as_str()? {
        "done" => RunOutcome::Done,
        "failed" => RunOutcome::Failed,
        "stopped" => RunOutcome::Stopped,
        "lapsed" => RunOutcome::Lapsed,
        "broken" => RunOutcome::Broken,
        "alone" => RunOutcome::Alone,
        _ => return None,
    };
    Some(FinishedRun {
        index: row.get(0)?.as_u64()?,
        task: task_id(row.get(1)?.as_str()?),
        run: u32::try_from(row.get(2)?.as_u64()?).ok()?,
        outcome,
        checkpoint: row.get(4).and_then(Value::as_str).unwrap_or("").into(),
    })
}

/// A task's name: job, occurrence, step and index with dots between them.
pub fn task_id(name: &str) -> Option<TaskId> {
    let mut parts = name.split('.');
    let job = parts.next()?.into();
    let occurrence = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    parts.next().is_none().then_some(TaskId { job, occurrence, step, index })
}
