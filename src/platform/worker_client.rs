//! Client for orders to workers.

use crate::batch::job::TaskId;
use crate::batch::orders::{
    FinishedRun, PaceOrder, RunOutcome, RunningTask, StartOrder, StartOutcome, StopOrder,
    WorkerReport, WorkerTime,
};
use crate::ids::Time;
use crate::platform::http::{Call, CallFailure, Http, HttpResponse, Permit};
use crate::platform::json;
use crate::platform::worker_connections::{WorkerConnection, WorkerConnections};
use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

/// Timeout of an order; workers respond within a few ms.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// Additional timeout of a poll that waits for the end of a run.
pub const POLL_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// Timeouts of the polls that show which incarnation a new connection ends at, each on a connection of its
/// own. Short ones first, since an answer that is lost never comes; in all, the margin of a poll.
const VERIFY_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(150), Duration::from_millis(150), Duration::from_millis(400)];

/// Finished runs that a worker lists at a time. The others follow once these are acknowledged.
const MAX_FINISHED_ROWS: usize = 500;

/// Worker that a request addresses, with the fencing token of the sender.
#[derive(Clone, Debug)]
pub struct WorkerTarget {
    /// `IP:PORT`.
    pub address: Arc<str>,
    pub worker: Arc<str>,
    pub fence: u64,
    /// Incarnation that may get a lease, a start or an acknowledgement; 0 if it is not known.
    pub incarnation: u64,
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

impl PollRequest {
    /// A request that changes nothing at the worker but the fencing token.
    const PLAIN: PollRequest = PollRequest { lease: None, acknowledged: 0, wait: Duration::ZERO };

    /// Whether the request must reach the incarnation that it is meant for, or none.
    fn is_bound(&self) -> bool {
        self.lease.is_some() || self.acknowledged > 0
    }
}

/// Why a poll returned no lists.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PollError {
    /// A newer owner has sent orders.
    Fenced,
    /// The address now belongs to another worker.
    OtherWorker,
    /// The worker refused the request, which has no effect.
    Refused,
    /// There was no response; the request may have taken effect, or may still do so.
    Lost,
    /// There was no connection or no response, and nothing was sent that extends a lease.
    Unreached,
    /// The response is not a list of runs, and does not tell whether the request has taken effect.
    Malformed,
}

/// Why a request on a connection returned no lists.
enum ListsError {
    /// The connection had been closed.
    NotSent,
    Poll(PollError),
}

impl From<PollError> for ListsError {
    fn from(e: PollError) -> ListsError {
        ListsError::Poll(e)
    }
}

/// Answer to a poll.
#[derive(Clone, Debug, PartialEq)]
pub struct PollAnswer {
    pub report: WorkerReport,
    /// Index up to which the worker dropped ended runs. 0 on a new connection: it is first polled alone, to find
    /// out which incarnation answers.
    pub acknowledged: u64,
    /// Whether the poll carried a lease.
    pub lease_sent: bool,
}

/// Client of the workers.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    connections: WorkerConnections,
}

impl WorkerClient {
    /// Creates a client without connections.
    pub fn new(http: Http) -> WorkerClient {
        WorkerClient { connections: WorkerConnections::new(http) }
    }

    /// Sends an order to start a task to the incarnation that `target` names, unless `permit` has ended when
    /// it is written. Returns its outcome and the worker's clock if it answered with one.
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
        let body: Bytes = body.to_string().into();
        loop {
            let (connection, is_kept) = match self.verified_connection_for_start(target).await {
                Ok(found) => found,
                Err(outcome) => return (outcome, None),
            };
            let call = ("/-/run-start", body.clone(), ORDER_TIMEOUT);
            match self.call(target, connection, call, Some(permit.clone())).await {
                Ok(response) => {
                    let clock = json::clock(&response.json(), "clockMs");
                    return (decode_start_outcome(&response), clock);
                }
                // A kept connection had been closed.
                Err(CallFailure::NotSent) if is_kept => {}
                Err(CallFailure::NotSent) => return (StartOutcome::NotSent, None),
                Err(CallFailure::NoResponse) => return (StartOutcome::Unknown, None),
            }
        }
    }

    /// Returns a connection that ends at the incarnation of `target`, and whether it was kept from before. The
    /// error tells why the start cannot be sent.
    async fn verified_connection_for_start(
        &self,
        target: &WorkerTarget,
    ) -> Result<(WorkerConnection, bool), StartOutcome> {
        if let Some(kept) = self.take_verified(target) {
            return Ok((kept, true));
        }
        match self.verify_new(target, Time::ZERO).await {
            Ok((new, _)) if new.ends_at(target.incarnation) => Ok((new, false)),
            Ok((new, _)) => {
                self.connections.put(&target.address, new);
                Err(StartOutcome::Restarted)
            }
            Err(PollError::Fenced) => Err(StartOutcome::Fenced),
            Err(PollError::OtherWorker) => Err(StartOutcome::OtherWorker),
            Err(PollError::Refused) => Err(StartOutcome::Busy),
            Err(PollError::Lost | PollError::Unreached | PollError::Malformed) => {
                Err(StartOutcome::NotSent)
            }
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

    /// Requests the lists of running and ended runs. A lease and an acknowledgement reach only the incarnation
    /// of `target`. Without a connection that ends there, the lists are requested alone; the next poll uses
    /// the new connection.
    pub async fn poll(
        &self,
        target: &WorkerTarget,
        request: PollRequest,
        requested_at: Time,
    ) -> Result<PollAnswer, PollError> {
        let kept = match request.is_bound() {
            true => self.take_verified(target),
            false => self.connections.take(&target.address, target.incarnation),
        };
        if let Some(mut kept) = kept {
            let timeout = request.wait + POLL_TIMEOUT_MARGIN;
            match self.request_lists(target, &mut kept, request, timeout, requested_at).await {
                Err(ListsError::NotSent) => {}
                Err(ListsError::Poll(e)) => return Err(e),
                Ok(report) => {
                    self.connections.put(&target.address, kept);
                    let (acknowledged, lease_sent) =
                        (request.acknowledged, request.lease.is_some());
                    return Ok(PollAnswer { report, acknowledged, lease_sent });
                }
            }
        }
        let (new, report) = self.verify_new(target, requested_at).await?;
        self.connections.put(&target.address, new);
        Ok(PollAnswer { report, acknowledged: 0, lease_sent: false })
    }

    /// Requests the lists alone, without a lease or an acknowledgement, beside a poll that has no answer yet. The
    /// connection is kept for the next poll.
    pub async fn look(
        &self,
        target: &WorkerTarget,
        requested_at: Time,
    ) -> Result<WorkerReport, PollError> {
        if let Some(mut kept) = self.take_verified(target) {
            let (plain, timeout) = (PollRequest::PLAIN, VERIFY_TIMEOUTS[0]);
            match self.request_lists(target, &mut kept, plain, timeout, requested_at).await {
                Ok(report) => {
                    self.connections.put(&target.address, kept);
                    return Ok(report);
                }
                Err(ListsError::NotSent | ListsError::Poll(PollError::Lost)) => {}
                Err(ListsError::Poll(e)) => return Err(e),
            }
        }
        let (new, report) = self.verify_new(target, requested_at).await?;
        self.connections.put(&target.address, new);
        Ok(report)
    }

    /// Takes an idle connection that ends at the incarnation of `target`.
    fn take_verified(&self, target: &WorkerTarget) -> Option<WorkerConnection> {
        let kept = self.connections.take(&target.address, target.incarnation)?;
        kept.ends_at(target.incarnation).then_some(kept)
    }

    /// Opens a connection and finds out by a plain poll at which incarnation it ends.
    async fn verify_new(
        &self,
        target: &WorkerTarget,
        requested_at: Time,
    ) -> Result<(WorkerConnection, WorkerReport), PollError> {
        let plain = PollRequest::PLAIN;
        for timeout in VERIFY_TIMEOUTS {
            let opened = self.connections.open(&target.address).await;
            let mut new = opened.map_err(|_| PollError::Unreached)?;
            match self.request_lists(target, &mut new, plain, timeout, requested_at).await {
                Ok(report) => return Ok((new, report)),
                Err(ListsError::NotSent | ListsError::Poll(PollError::Lost)) => {}
                Err(ListsError::Poll(e)) => return Err(e),
            }
        }
        Err(PollError::Unreached)
    }

    async fn request_lists(
        &self,
        target: &WorkerTarget,
        connection: &mut WorkerConnection,
        request: PollRequest,
        timeout: Duration,
        requested_at: Time,
    ) -> Result<WorkerReport, ListsError> {
        let mut body = json!({ "fence": target.fence, "ackIndex": request.acknowledged });
        if let Some(lease) = request.lease {
            body["deadlineMs"] = json!(lease.as_millis() as u64);
        }
        if !request.wait.is_zero() {
            body["waitMs"] = json!(request.wait.as_millis() as u64);
        }
        let call = ("/-/hold", body.to_string().into(), timeout);
        let response = match exchange(target, connection, call, None).await {
            Ok(response) => response,
            Err(CallFailure::NotSent) => return Err(ListsError::NotSent),
            Err(CallFailure::NoResponse) => return Err(PollError::Lost.into()),
        };
        match response.status {
            200 => {}
            409 => return Err(PollError::Fenced.into()),
            421 => return Err(PollError::OtherWorker.into()),
            400..=499 | 503 => return Err(PollError::Refused.into()),
            // As an intermediary answers that does not know what has become of the request.
            _ => return Err(PollError::Malformed.into()),
        }
        let report = decode_report(&response.json(), requested_at, target.fence)
            .ok_or(PollError::Malformed)?;
        connection.incarnation = Some(report.incarnation);
        Ok(report)
    }

    /// Sends an order that names its run, and so has no effect at another incarnation.
    async fn send_order(
        &self,
        target: &WorkerTarget,
        path: &str,
        body: &Value,
        timeout: Duration,
    ) -> Result<HttpResponse, CallFailure> {
        let kept = self.connections.take(&target.address, target.incarnation);
        let body: Bytes = body.to_string().into();
        if let Some(kept) = kept {
            match self.call(target, kept, (path, body.clone(), timeout), None).await {
                Err(CallFailure::NotSent) => {}
                answer => return answer,
            }
        }
        let connection = self.connections.open(&target.address).await?;
        self.call(target, connection, (path, body, timeout), None).await
    }

    /// Sends a request on a connection, and keeps it if the worker answers.
    async fn call(
        &self,
        target: &WorkerTarget,
        mut connection: WorkerConnection,
        call: OrderCall<'_>,
        permit: Option<Permit>,
    ) -> Result<HttpResponse, CallFailure> {
        let response = exchange(target, &mut connection, call, permit).await?;
        self.connections.put(&target.address, connection);
        Ok(response)
    }
}

/// Path, body and timeout of a request.
type OrderCall<'a> = (&'a str, Bytes, Duration);

async fn exchange(
    target: &WorkerTarget,
    connection: &mut WorkerConnection,
    (path, body, timeout): OrderCall<'_>,
    permit: Option<Permit>,
) -> Result<HttpResponse, CallFailure> {
    let headers = [("x-jacinthhook-expected-instance", &*target.worker)];
    let (method, address) = (Method::POST, &*target.address);
    let call = Call { method, address, path, headers: &headers, body, timeout };
    connection.connection.call(call, permit).await
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
