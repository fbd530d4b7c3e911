//! Client of upstreams: proxy attempts, task calls and status probes.
//!
//! Connections to an upstream belong to a generation. A call of a newer generation opens connections
//! of its own, so a generation that went silent gets no further call.

use crate::attempt::{self, Connections, signs};
use crate::ids::*;
use crate::protocol::*;
use crate::transport::{self, CallError, ExchangeIds, TransportOptions};
use bytes::Bytes;
use parking_lot::Mutex;
use reqwest::{Client, Method, RequestBuilder, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::collections::HashMap;
use std::time::Duration;

pub use crate::attempt::{
    AttemptAnswer, AttemptFailure, AttemptRequest, Fault, RequestBody, Signs, is_reserved,
    passed_on,
};

/// Largest answer to a task call or probe in bytes.
const MAX_ANSWER_LEN: usize = 1024 * 1024;
/// The clocks of two processes differ in rate by at most 1 in this many.
const DRIFT_PARTS: u32 = 20;

/// Where a call goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    pub id: InstanceId,
    /// IP address and port.
    pub addr: String,
    /// From `Health::generation`.
    pub generation: u64,
}

/// Answer to a probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probed {
    pub status: UpstreamStatus,
    /// From before the connect to after the answer.
    pub round_trip: Duration,
}

/// An upstream's clock as known from a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamClock {
    /// Own time at which the probe's answer was received.
    pub at: Time,
    /// What the upstream's clock had shown shortly before.
    pub clock_ms: u64,
}

impl UpstreamClock {
    /// A value that the upstream's clock has reached by own time `t`, for use as a latest start. The
    /// probe's answer was on its way for a while and either clock may be slow, so the limit is
    /// rather too early than too late.
    pub fn limit(&self, t: Time) -> u64 {
        match t.checked_sub(self.at) {
            Some(later) => self.clock_ms + (later - later / DRIFT_PARTS).as_millis() as u64,
            None => {
                let earlier = self.at - t;
                let earlier = earlier + earlier / DRIFT_PARTS;
                self.clock_ms.saturating_sub(earlier.as_millis() as u64)
            }
        }
    }
}

/// What a start found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartedTask {
    /// The task runs because of this call.
    Started,
    /// The same task was started before.
    Known(TaskState),
}

/// Why a task call had no result.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum TaskError {
    /// The upstream refused the call; it had no effect.
    #[snafu(display("upstream refused the task call: {why}"))]
    Refused { why: String, draining: bool },
    /// The upstream does not know the task.
    #[snafu(display("upstream does not know the task"))]
    NoSuchTask,
    /// The upstream answered with another failure; the call may have taken effect.
    #[snafu(display("upstream answered {status} to a task call"))]
    Status { status: u16 },
    /// The answer does not decode; the call may have taken effect.
    #[snafu(display("answer to a task call is malformed: {message}"))]
    Malformed { message: String },
    /// The call did not leave or its answer did not come.
    #[snafu(display("task call: {source}"))]
    Call { source: CallError },
}

impl TaskError {
    /// Whether the call surely had no effect.
    pub fn had_no_effect(&self) -> bool {
        match self {
            TaskError::Refused { .. } | TaskError::NoSuchTask => true,
            TaskError::Call { source } => source.is_not_sent(),
            TaskError::Status { .. } | TaskError::Malformed { .. } => false,
        }
    }
}

/// Connections of one upstream's newest generation.
struct Pool {
    generation: u64,
    addr: String,
    attempts: Connections,
    calls: Client,
}

/// Client of all upstreams of one entry instance.
pub struct Upstreams {
    options: TransportOptions,
    pools: Mutex<HashMap<InstanceId, Pool>>,
    /// Opens a connection for each call.
    fresh: Client,
    ids: ExchangeIds,
}

impl Upstreams {
    /// A client without connections.
    pub fn new(options: TransportOptions) -> Result<Upstreams, CallError> {
        let fresh = transport::client(&options, 0).map_err(|e| transport::call_error(&e))?;
        let ids = ExchangeIds::default();
        Ok(Upstreams { options, pools: Mutex::default(), fresh, ids })
    }

    /// Closes the unused connections to an upstream that is gone.
    pub fn forget(&self, upstream: &InstanceId) {
        self.pools.lock().remove(upstream);
    }

    /// Sends a caller's request and returns with the head of the answer.
    pub async fn attempt(
        &self,
        target: &Target,
        request: AttemptRequest,
    ) -> Result<AttemptAnswer, AttemptFailure> {
        let client = self.pool(target, |pool| pool.attempts.clone());
        let client = client.map_err(|e| AttemptFailure::not_sent(e.to_string()))?;
        attempt::send(&client, &target.addr, &self.ids.draw(), request).await
    }

    /// Asks an upstream for its status over a connection of its own.
    pub async fn probe(&self, addr: &str) -> Result<Probed, TaskError> {
        let start = std::time::Instant::now();
        let request = self.fresh.get(format!("http://{addr}/status"));
        let (status, _, body) = self.call(request).await?;
        if status != StatusCode::OK {
            return Err(TaskError::Status { status: status.as_u16() });
        }
        Ok(Probed { status: decode(&body)?, round_trip: start.elapsed() })
    }

    /// Starts a task once.
    pub async fn start_task(
        &self,
        target: &Target,
        task: &str,
        start: &TaskStart,
    ) -> Result<StartedTask, TaskError> {
        let request = self.task_request(target, Method::PUT, task, "")?.json(start);
        let (status, signs, body) = self.call(request).await?;
        match status {
            StatusCode::CREATED => Ok(StartedTask::Started),
            StatusCode::OK => Ok(StartedTask::Known(decode(&body)?)),
            _ => Err(task_error(status, signs, &body)),
        }
    }

    /// State of a task.
    pub async fn task(&self, target: &Target, task: &str) -> Result<TaskState, TaskError> {
        self.ask(self.task_request(target, Method::GET, task, "")?).await
    }

    /// Extends a task's lease and raises its fence.
    pub async fn renew_task(
        &self,
        target: &Target,
        task: &str,
        renew: &TaskRenew,
    ) -> Result<TaskState, TaskError> {
        self.post(target, task, "/renew", renew).await
    }

    /// Asks how much work a task could resume from.
    pub async fn checkpoint_task(
        &self,
        target: &Target,
        task: &str,
        fence: Offset,
    ) -> Result<Checkpoint, TaskError> {
        self.post(target, task, "/checkpoint", &TaskFence { fence }).await
    }

    /// Slows a task down or speeds it up again.
    pub async fn throttle_task(
        &self,
        target: &Target,
        task: &str,
        throttle: &TaskThrottle,
    ) -> Result<TaskState, TaskError> {
        self.post(target, task, "/throttle", throttle).await
    }

    /// Ends a task; one that has ended stays as it is.
    pub async fn stop_task(
        &self,
        target: &Target,
        task: &str,
        fence: Offset,
    ) -> Result<TaskState, TaskError> {
        self.post(target, task, "/stop", &TaskFence { fence }).await
    }

    async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        target: &Target,
        task: &str,
        verb: &str,
        body: &B,
    ) -> Result<T, TaskError> {
        self.ask(self.task_request(target, Method::POST, task, verb)?.json(body)).await
    }

    async fn ask<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T, TaskError> {
        let (status, signs, body) = self.call(request).await?;
        match status {
            StatusCode::OK => decode(&body),
            _ => Err(task_error(status, signs, &body)),
        }
    }

    fn task_request(
        &self,
        target: &Target,
        method: Method,
        task: &str,
        verb: &str,
    ) -> Result<RequestBuilder, TaskError> {
        let client = self.pool(target, |pool| pool.calls.clone());
        let client = client.map_err(|source| TaskError::Call { source })?;
        Ok(client.request(method, format!("http://{}/tasks/{task}{verb}", target.addr)))
    }

    async fn call(&self, req: RequestBuilder) -> Result<(StatusCode, Signs, Bytes), TaskError> {
        let call = |source| TaskError::Call { source };
        let request = req.timeout(self.options.call_timeout);
        let response = transport::exchange(&self.ids.draw(), request).await.map_err(call)?;
        let status = response.status();
        let signs = signs(response.headers());
        let body = transport::read_body(response, MAX_ANSWER_LEN).await.map_err(call)?;
        Ok((status, signs, body))
    }

    /// Takes a client out of the connections of a target; those of an older generation or address get
    /// no further call.
    fn pool<T>(&self, target: &Target, take: impl Fn(&Pool) -> T) -> Result<T, CallError> {
        let mut pools = self.pools.lock();
        let known = pools
            .get(&target.id)
            .filter(|pool| pool.addr == target.addr && pool.generation >= target.generation);
        if let Some(pool) = known {
            return Ok(take(pool));
        }
        let pool = Pool {
            generation: target.generation,
            addr: target.addr.clone(),
            attempts: attempt::connections(&self.options),
            calls: transport::client(&self.options, self.options.max_idle)
                .map_err(|e| transport::call_error(&e))?,
        };
        let taken = take(&pool);
        pools.insert(target.id.clone(), pool);
        Ok(taken)
    }
}

fn task_error(status: StatusCode, signs: Signs, body: &[u8]) -> TaskError {
    match status {
        StatusCode::CONFLICT => {
            let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
            let why = body["refused"].as_str().unwrap_or("unnamed").to_string();
            TaskError::Refused { why, draining: signs.draining }
        }
        StatusCode::NOT_FOUND => TaskError::NoSuchTask,
        _ => TaskError::Status { status: status.as_u16() },
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, TaskError> {
    serde_json::from_slice(body).map_err(|e| TaskError::Malformed { message: e.to_string() })
}
