//! Client of upstreams: proxy attempts, task calls and status probes.
//!
//! Connections to an upstream belong to a generation. A call of a newer generation opens connections
//! of its own, so a generation that went silent gets no further call.

use crate::health::AttemptOutcome;
use crate::ids::*;
use crate::protocol::*;
use crate::transport::{self, CallError, ExchangeIds, TransportOptions};
use bytes::Bytes;
use futures::Stream;
use parking_lot::Mutex;
use reqwest::header::{self, HeaderMap, HeaderName, HeaderValue};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode, Url, Version};
use rocket::http::RawStr;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Largest answer to a task call or probe in bytes.
const MAX_RESPONSE_LEN: usize = 1024 * 1024;
/// First path segments that belong to the protocol; a caller's request must not reach them.
const RESERVED_SEGMENTS: [&str; 5] = ["tasks", "status", "faults", "runs", "drain"];
/// Headers that belong to one connection, and those that the client sets itself.
const HOP_BY_HOP_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Prefix of this system's headers; those of a caller are not passed on.
const OWN_HEADER_PREFIX: &str = "jacinthhook-";
/// The clocks of two processes differ in rate by at most 1 in this many.
const CLOCK_DRIFT_DIVISOR: u32 = 20;

/// Where a call goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    pub id: InstanceId,
    /// IP address and port.
    pub addr: String,
    /// From `Health::generation`.
    pub generation: u64,
}

/// Body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// Sent with a length; can be sent again with another attempt.
    Full(Bytes),
    /// Sent as it comes, in `length` bytes if given. An error ends the attempt as `CallerGone`.
    Stream { chunks: mpsc::Receiver<io::Result<Bytes>>, length: Option<u64> },
}

/// One attempt to have a caller's request answered.
#[derive(Debug)]
pub struct AttemptRequest {
    pub method: Method,
    /// Path and query. Dot segments are resolved as in any URL.
    pub path: String,
    /// The caller's headers; those of the connection and of this system are left out.
    pub headers: HeaderMap,
    pub body: RequestBody,
    /// Latest start, on the upstream's clock.
    pub start_by_ms: Option<u64>,
    /// End of the work, on the upstream's clock.
    pub deadline_ms: Option<u64>,
    /// Longest wait for the answer's head.
    pub timeout: Duration,
}

/// What an upstream says about itself with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StatusHeaders {
    /// Work that it runs.
    pub load: Option<u32>,
    /// It takes nothing new.
    pub draining: bool,
}

/// Who or what an attempt failed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureCause {
    /// The upstream or the way to it.
    Upstream,
    /// The answer belonged to another call; the generation must be retired.
    Mismatch,
    /// The caller's body ended early; nothing is held against the upstream.
    CallerGone,
    /// The path belongs to the protocol; nothing was sent.
    Reserved,
}

/// An attempt without an answer's head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptFailure {
    pub end: AttemptOutcome,
    pub cause: FailureCause,
    pub status_headers: StatusHeaders,
    pub message: String,
}

/// The head of an answer, with the body to come.
#[derive(Debug)]
pub struct AttemptResponse {
    pub status: StatusCode,
    /// Without those of the connection and of the protocol.
    pub headers: HeaderMap,
    /// Length of the body if the upstream declared it.
    pub length: Option<u64>,
    pub status_headers: StatusHeaders,
    body: Response,
}

impl AttemptResponse {
    /// `Answered`, as health and retry see it.
    pub fn end(&self) -> AttemptOutcome {
        AttemptOutcome::Answered { failed: self.status.is_server_error() }
    }

    /// The next piece of the body; `None` at its complete end. `LostInBody` when the connection is
    /// cut or no piece comes for `idle`. Dropping the answer closes an unfinished connection.
    pub async fn next_chunk(&mut self, idle: Duration) -> Result<Option<Bytes>, AttemptOutcome> {
        match timeout(idle, self.body.chunk()).await {
            Ok(Ok(chunk)) => Ok(chunk),
            Ok(Err(_)) | Err(_) => Err(AttemptOutcome::LostInBody),
        }
    }
}

/// Answer to a probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeResponse {
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
    pub fn lower_bound_at(&self, t: Time) -> u64 {
        match t.checked_sub(self.at) {
            Some(later) => self.clock_ms + (later - later / CLOCK_DRIFT_DIVISOR).as_millis() as u64,
            None => {
                let earlier = self.at - t;
                let earlier = earlier + earlier / CLOCK_DRIFT_DIVISOR;
                self.clock_ms.saturating_sub(earlier.as_millis() as u64)
            }
        }
    }
}

/// What a start found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskStartOutcome {
    /// The task runs because of this call.
    Started,
    /// The same task was started before.
    Known(TaskState),
}

/// Why a task call had no result.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum TaskError {
    /// The upstream refused the call; it had no effect.
    #[snafu(display("upstream refused the task call: {reason}"))]
    Refused { reason: String, draining: bool },
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
struct ConnectionPool {
    generation: u64,
    addr: String,
    client: Client,
}

/// Client of all upstreams of one entry instance.
pub struct Upstreams {
    options: TransportOptions,
    pools: Mutex<HashMap<InstanceId, ConnectionPool>>,
    /// Opens a connection for each call.
    unpooled: Client,
    ids: ExchangeIds,
}

impl Upstreams {
    /// A client without connections.
    pub fn new(options: TransportOptions) -> Result<Upstreams, CallError> {
        let unpooled = transport::client(&options, 0).map_err(|e| transport::call_error(&e))?;
        let ids = ExchangeIds::default();
        Ok(Upstreams { options, pools: Mutex::default(), unpooled, ids })
    }

    /// Closes the unused connections to an upstream that is gone.
    pub fn remove(&self, upstream: &InstanceId) {
        self.pools.lock().remove(upstream);
    }

    /// Sends a caller's request and returns with the head of the answer.
    pub async fn attempt(
        &self,
        target: &Target,
        request: AttemptRequest,
    ) -> Result<AttemptResponse, AttemptFailure> {
        let url = url(&target.addr, &request.path)
            .map_err(|message| not_sent(FailureCause::Upstream, message))?;
        if is_reserved(&url) {
            return Err(not_sent(FailureCause::Reserved, "the path is reserved".to_string()));
        }
        let client = self.client(target).map_err(|e| failure(e, false))?;
        let caller_gone = Arc::new(AtomicBool::new(false));
        let response_timeout = request.timeout;
        let is_head_request = request.method == Method::HEAD;
        let built = build(client.request(request.method.clone(), url), request, &caller_gone);
        let id = self.ids.next_id();
        match timeout(response_timeout, transport::exchange(&id, built)).await {
            Ok(Ok(response)) => accept_response(response, is_head_request),
            Ok(Err(e)) => Err(failure(e, caller_gone.load(Ordering::SeqCst))),
            Err(_) => {
                let message = format!("no answer within {} ms", response_timeout.as_millis());
                Err(failure(CallError::Unknown { message, timed_out: true }, false))
            }
        }
    }

    /// Asks an upstream for its status over a connection of its own.
    pub async fn probe(&self, addr: &str) -> Result<ProbeResponse, TaskError> {
        let start = std::time::Instant::now();
        let request = self.unpooled.get(format!("http://{addr}/status"));
        let (status, _, body) = self.call(request).await?;
        if status != StatusCode::OK {
            return Err(TaskError::Status { status: status.as_u16() });
        }
        Ok(ProbeResponse { status: decode(&body)?, round_trip: start.elapsed() })
    }

    /// Starts a task once.
    pub async fn start_task(
        &self,
        target: &Target,
        task: &str,
        start: &TaskStart,
    ) -> Result<TaskStartOutcome, TaskError> {
        let request = self.task_request(target, Method::PUT, task, "")?.json(start);
        let (status, status_headers, body) = self.call(request).await?;
        match status {
            StatusCode::CREATED => Ok(TaskStartOutcome::Started),
            StatusCode::OK => Ok(TaskStartOutcome::Known(decode(&body)?)),
            _ => Err(task_error(status, status_headers, &body)),
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
        action: &str,
        body: &B,
    ) -> Result<T, TaskError> {
        self.ask(self.task_request(target, Method::POST, task, action)?.json(body)).await
    }

    async fn ask<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T, TaskError> {
        let (status, status_headers, body) = self.call(request).await?;
        match status {
            StatusCode::OK => decode(&body),
            _ => Err(task_error(status, status_headers, &body)),
        }
    }

    fn task_request(
        &self,
        target: &Target,
        method: Method,
        task: &str,
        action: &str,
    ) -> Result<RequestBuilder, TaskError> {
        let client = self.client(target).map_err(|source| TaskError::Call { source })?;
        Ok(client.request(method, format!("http://{}/tasks/{task}{action}", target.addr)))
    }

    async fn call(
        &self,
        req: RequestBuilder,
    ) -> Result<(StatusCode, StatusHeaders, Bytes), TaskError> {
        let call = |source| TaskError::Call { source };
        let request = req.timeout(self.options.call_timeout);
        let response = transport::exchange(&self.ids.next_id(), request).await.map_err(call)?;
        let status = response.status();
        let status_headers = status_headers(response.headers());
        let body = transport::read_body(response, MAX_RESPONSE_LEN).await.map_err(call)?;
        Ok((status, status_headers, body))
    }

    /// The connections of a target; those of an older generation or address get no further call.
    fn client(&self, target: &Target) -> Result<Client, CallError> {
        let mut pools = self.pools.lock();
        let known = pools
            .get(&target.id)
            .filter(|pool| pool.addr == target.addr && pool.generation >= target.generation);
        if let Some(pool) = known {
            return Ok(pool.client.clone());
        }
        let client = transport::client(&self.options, self.options.max_idle)
            .map_err(|e| transport::call_error(&e))?;
        let pool = ConnectionPool {
            generation: target.generation,
            addr: target.addr.clone(),
            client: client.clone(),
        };
        pools.insert(target.id.clone(), pool);
        Ok(client)
    }
}

/// Whether a path belongs to the protocol, however it is written.
pub fn is_reserved(url: &Url) -> bool {
    let first = url.path().split('/').find(|segment| !segment.is_empty());
    first.is_some_and(|segment| {
        let decoded = RawStr::new(segment).percent_decode_lossy().to_ascii_lowercase();
        RESERVED_SEGMENTS.contains(&decoded.trim_matches('/'))
    })
}

fn url(addr: &str, path: &str) -> Result<Url, String> {
    if !path.starts_with('/') {
        return Err("path does not start with '/'".to_string());
    }
    Url::parse(&format!("http://{addr}{path}")).map_err(|e| e.to_string())
}

fn build(
    builder: RequestBuilder,
    request: AttemptRequest,
    caller_gone: &Arc<AtomicBool>,
) -> RequestBuilder {
    let mut headers = forwarded_headers(&request.headers);
    set_ms(&mut headers, START_BY_HEADER, request.start_by_ms);
    set_ms(&mut headers, DEADLINE_HEADER, request.deadline_ms);
    match request.body {
        RequestBody::Full(body) if body.is_empty() => builder.headers(headers),
        RequestBody::Full(body) => builder.headers(headers).body(body),
        RequestBody::Stream { chunks, length } => {
            if let Some(length) = length {
                headers.insert(header::CONTENT_LENGTH, length.into());
            }
            let body = BodyStream { chunks, caller_gone: caller_gone.clone() };
            builder.headers(headers).body(reqwest::Body::wrap_stream(body))
        }
    }
}

fn set_ms(headers: &mut HeaderMap, name: &'static str, value: Option<u64>) {
    if let Some(value) = value {
        headers.insert(HeaderName::from_static(name), HeaderValue::from(value));
    }
}

/// A caller's body; remembers whether it ended in an error.
struct BodyStream {
    chunks: mpsc::Receiver<io::Result<Bytes>>,
    caller_gone: Arc<AtomicBool>,
}

impl Stream for BodyStream {
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let chunk = self.chunks.poll_recv(cx);
        if let Poll::Ready(Some(Err(_))) = &chunk {
            self.caller_gone.store(true, Ordering::SeqCst);
        }
        chunk
    }
}

/// The headers that pass an entry instance, in either direction.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_dropped = |name: &HeaderName| {
        HOP_BY_HOP_HEADERS.contains(name)
            || name.as_str() == "keep-alive"
            || name.as_str() == "proxy-connection"
            || name.as_str().starts_with(OWN_HEADER_PREFIX)
            || named.iter().any(|n| n == name.as_str())
    };
    headers.iter().filter(|(n, _)| !is_dropped(n)).map(|(n, v)| (n.clone(), v.clone())).collect()
}

fn status_headers(headers: &HeaderMap) -> StatusHeaders {
    let text = |name| headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
    StatusHeaders {
        load: text(LOAD_HEADER).and_then(|v| v.parse().ok()),
        draining: text(DRAINING_HEADER) == Some("true"),
    }
}

fn accept_response(
    response: Response,
    is_head_request: bool,
) -> Result<AttemptResponse, AttemptFailure> {
    let status_headers = status_headers(response.headers());
    let not_run = response.headers().get(RAN_HEADER).is_some_and(|v| v == "not_run");
    if not_run {
        let message = format!("upstream answered {} as not run", response.status().as_u16());
        return Err(AttemptFailure { status_headers, ..not_sent(FailureCause::Upstream, message) }
            .with_end(AttemptOutcome::NotRun));
    }
    if !is_head_request && !is_delimited(&response) {
        let message = "the answer has neither a length nor chunks; a cut would look complete";
        let cause = not_sent(FailureCause::Upstream, message.to_string());
        return Err(
            AttemptFailure { status_headers, ..cause }.with_end(AttemptOutcome::LostBeforeHead)
        );
    }
    let length = response.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|v| v.to_str().ok()?.parse().ok());
    Ok(AttemptResponse {
        status: response.status(),
        headers: forwarded_headers(response.headers()),
        length,
        status_headers,
        body: response,
    })
}

/// Whether the end of an answer can be told from a connection that broke.
fn is_delimited(response: &Response) -> bool {
    let headers = response.headers();
    let has_framing = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    let bodiless = matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    has_framing || bodiless || response.version() > Version::HTTP_11
}

impl AttemptFailure {
    fn with_end(mut self, end: AttemptOutcome) -> AttemptFailure {
        self.end = end;
        self
    }
}

fn not_sent(cause: FailureCause, message: String) -> AttemptFailure {
    AttemptFailure {
        end: AttemptOutcome::ConnectFailed,
        cause,
        status_headers: StatusHeaders::default(),
        message,
    }
}

fn failure(e: CallError, caller_gone: bool) -> AttemptFailure {
    let message = e.to_string();
    let end = match e {
        CallError::NotSent { .. } => AttemptOutcome::ConnectFailed,
        CallError::Unknown { timed_out: true, .. } => AttemptOutcome::TimedOut,
        CallError::Unknown { .. } | CallError::Mismatch { .. } => AttemptOutcome::LostBeforeHead,
    };
    let cause = match e {
        CallError::Mismatch { .. } => FailureCause::Mismatch,
        _ if caller_gone => FailureCause::CallerGone,
        _ => FailureCause::Upstream,
    };
    AttemptFailure { end, cause, status_headers: StatusHeaders::default(), message }
}

fn task_error(status: StatusCode, status_headers: StatusHeaders, body: &[u8]) -> TaskError {
    match status {
        StatusCode::CONFLICT => {
            let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
            let reason = body["refused"].as_str().unwrap_or("unnamed").to_string();
            TaskError::Refused { reason, draining: status_headers.draining }
        }
        StatusCode::NOT_FOUND => TaskError::NoSuchTask,
        _ => TaskError::Status { status: status.as_u16() },
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, TaskError> {
    serde_json::from_slice(body).map_err(|e| TaskError::Malformed { message: e.to_string() })
}
