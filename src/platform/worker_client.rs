//! Client for orders to workers.

use crate::batch::job::TaskId;
use crate::batch::orders::{
    FinishedRun, PaceOrder, RunOutcome, RunningTask, StartOrder, StartOutcome, StopOrder,
    WorkerReport, WorkerTime,
};
use crate::ids::Time;
use crate::platform::http::{Call, CallFailure, Http, HttpResponse, Permit};
use crate::platform::json;
use hyper::Method;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

/// Timeout of an order; workers respond within a few ms.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// Additional timeout of a poll that waits for the end of a run.
const POLL_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// Finished runs that a worker lists at a time. The others follow once these are acknowledged.
const MAX_FINISHED_ROWS: usize = 500;

/// Worker that a request addresses, with the fencing token of the sender.
#[derive(Clone, Debug)]
pub struct WorkerTarget {
    /// `IP:PORT`.
    pub address: Arc<str>,
    pub worker: Arc<str>,
    pub fence: u64,
}

/// Request for a worker's lists of runs, which also extends the lease of its running tasks.
#[derive(Clone, Copy, Debug)]
pub struct PollRequest {
    /// `None` leaves the lease unchanged.
    pub lease: Option<WorkerTime>,
    /// The worker drops ended runs with numbers up to this one from its list.
    pub acknowledged: u64,
    /// Time for which the worker delays its response until a run ends.
    pub wait: Duration,
}

/// Why a poll returned no lists.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PollError {
    /// A newer owner has sent orders.
    Fenced,
    /// The address now belongs to another worker.
    OtherWorker,
    /// The worker refused the request or sent an unexpected status.
    Refused,
    /// There was no response.
    Lost,
    /// The response is not a list of runs.
    Malformed,
}

/// Client of the workers.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    http: Http,
}

impl WorkerClient {
    /// Creates a client without connections.
    pub fn new(http: Http) -> WorkerClient {
        WorkerClient { http }
    }

    /// Sends an order to start a task, unless `permit` has ended when a connection is there. Returns its
    /// outcome and the worker's clock if it answered with one.
    pub async fn start(
        &self,
        target: &WorkerTarget,
        start: &StartOrder,
        lease: WorkerTime,
        permit: Permit,
    ) -> (StartOutcome, Option<WorkerTime>) {
        let mut body = json!({
            "task": start.task.to_string(),
            "run": start.run,
            "spec": &*start.spec.payload,
            // Expiry of the lease on the worker's clock, not a deadline of the task.
            "deadlineMs": lease.as_millis() as u64,
            "fence": target.fence,
        });
        if !start.checkpoint.is_empty() {
            body["checkpoint"] = json!(&*start.checkpoint);
        }
        let headers = order_headers(target);
        let call = order_call(target, "/-/run-start", &headers, &body, ORDER_TIMEOUT);
        match self.http.call_with_permit(call, permit).await {
            Ok(response) => {
                (decode_start_outcome(&response), json::clock(&response.json(), "clockMs"))
            }
            Err(CallFailure::NotSent) => (StartOutcome::NotSent, None),
            Err(CallFailure::NoResponse) => (StartOutcome::Unknown, None),
        }
    }

    /// Sends an order to stop a run. Returns whether the worker accepted it.
    pub async fn stop(&self, target: &WorkerTarget, stop: &StopOrder) -> bool {
        let body = json!({ "task": stop.task.to_string(), "run": stop.run, "fence": target.fence });
        let response = self.send_order(target, "/-/run-stop", &body, ORDER_TIMEOUT).await;
        response.is_ok_and(|r| r.status == 200)
    }

    /// Sets the speed of a task. Returns whether the worker accepted it.
    pub async fn pace(&self, target: &WorkerTarget, pace: &PaceOrder) -> bool {
        let body = json!({
            "task": pace.task.to_string(),
            "run": pace.run,
            "percent": pace.speed_percent,
            "fence": target.fence,
        });
        let response = self.send_order(target, "/-/pace", &body, ORDER_TIMEOUT).await;
        response.is_ok_and(|r| r.status == 200)
    }

    /// Requests the lists of running and ended runs.
    pub async fn poll(
        &self,
        target: &WorkerTarget,
        request: PollRequest,
        requested_at: Time,
    ) -> Result<WorkerReport, PollError> {
        let mut body = json!({ "fence": target.fence, "ackIndex": request.acknowledged });
        if let Some(lease) = request.lease {
            body["deadlineMs"] = json!(lease.as_millis() as u64);
        }
        if !request.wait.is_zero() {
            body["waitMs"] = json!(request.wait.as_millis() as u64);
        }
        let response =
            self.send_order(target, "/-/hold", &body, request.wait + POLL_TIMEOUT_MARGIN).await;
        let Ok(response) = response else { return Err(PollError::Lost) };
        match response.status {
            200 => decode_report(&response.json(), requested_at, target.fence)
                .ok_or(PollError::Malformed),
            409 => Err(PollError::Fenced),
            421 => Err(PollError::OtherWorker),
            _ => Err(PollError::Refused),
        }
    }

    async fn send_order(
        &self,
        target: &WorkerTarget,
        path: &str,
        body: &Value,
        timeout: Duration,
    ) -> Result<HttpResponse, CallFailure> {
        let headers = order_headers(target);
        self.http.call(order_call(target, path, &headers, body, timeout)).await
    }
}

fn order_headers(target: &WorkerTarget) -> [(&'static str, &str); 1] {
    [("x-jacinthhook-expected-instance", &*target.worker)]
}

fn order_call<'a>(
    target: &'a WorkerTarget,
    path: &'a str,
    headers: &'a [(&'static str, &'a str)],
    body: &Value,
    timeout: Duration,
) -> Call<'a> {
    let (address, body) = (&*target.address, body.to_string().into());
    Call { method: Method::POST, address, path, headers, body, timeout }
}

fn decode_start_outcome(response: &HttpResponse) -> StartOutcome {
    match response.status {
        200 => StartOutcome::Started,
        409 => match json::text(&response.json(), "reason") {
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

/// Decodes a worker's lists of runs. Returns `None` if a part is missing or unreadable: a run that is
/// not listed counts as over, so the rest must not be used.
pub fn decode_report(body: &Value, requested_at: Time, fence: u64) -> Option<WorkerReport> {
    let rows = |field: &str| match body.get(field) {
        None => Some(&[][..]),
        Some(rows) => rows.as_array().map(Vec::as_slice),
    };
    let finished = rows("finished")?;
    Some(WorkerReport {
        incarnation: json::number(body, "born"),
        clock: json::clock(body, "clockMs")?,
        running: rows("running")?.iter().map(decode_running).collect::<Option<_>>()?,
        finished: finished.iter().filter_map(decode_ended).collect(),
        more_finished: finished.len() >= MAX_FINISHED_ROWS,
        requested_at,
        fence,
    })
}

/// Decodes an array of task, run, checkpoint, percent and load.
fn decode_running(row: &Value) -> Option<RunningTask> {
    let name = row.get(0)?.as_str()?;
    Some(RunningTask {
        task: parse_task_id(name),
        name: name.into(),
        run: u32::try_from(row.get(1)?.as_u64()?).ok()?,
        checkpoint: row.get(2).and_then(Value::as_str).unwrap_or("").into(),
        speed_percent: u32::try_from(row.get(3).and_then(Value::as_u64).unwrap_or(0))
            .unwrap_or(u32::MAX),
        load: row.get(4).and_then(Value::as_u64).unwrap_or(0),
    })
}

/// Decodes an array of number, task, run, kind of end and checkpoint.
fn decode_ended(row: &Value) -> Option<FinishedRun> {
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
        task: parse_task_id(row.get(1)?.as_str()?),
        run: u32::try_from(row.get(2)?.as_u64()?).ok()?,
        outcome,
        checkpoint: row.get(4).and_then(Value::as_str).unwrap_or("").into(),
    })
}

/// Parses the name of a task: job, occurrence, step and index, separated by dots.
pub fn parse_task_id(name: &str) -> Option<TaskId> {
    let mut parts = name.split('.');
    let job = parts.next()?.into();
    let occurrence = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    parts.next().is_none().then_some(TaskId { job, occurrence, step, index })
}
