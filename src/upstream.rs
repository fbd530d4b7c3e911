//! HTTP client of upstreams: proxied requests, task calls and status probes.
//!
//! Each connection to an upstream belongs to a generation. A call of a newer generation opens new
//! connections, so that connections which stopped responding receive no further calls.

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

/// Maximum size of a response to a task call or probe in bytes.
const MAX_RESPONSE_LEN: usize = 1024 * 1024;
/// First path segments that are reserved for the platform protocol; callers must not reach them.
const RESERVED_SEGMENTS: [&str; 5] = ["tasks", "status", "faults", "runs", "drain"];
/// Hop-by-hop headers, and headers that the HTTP client sets itself.
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
/// Prefix of this system's own headers, which are not forwarded.
const OWN_HEADER_PREFIX: &str = "jacinthhook-";
/// The clock rates of two processes differ by at most 1 part in this many.
const CLOCK_DRIFT_DIVISOR: u32 = 20;

/// Destination of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    pub id: InstanceId,
    /// IP address and port.
    pub addr: String,
    /// Connection generation, from `Health::generation`.
    pub generation: u64,
}

/// Body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// A complete body, sent with its length; it can be sent again in another attempt.
    Full(Bytes),
    /// A streamed body of `length` bytes, if known. An error in it fails the attempt with
    /// `CallerGone`.
    Stream { chunks: mpsc::Receiver<io::Result<Bytes>>, length: Option<u64> },
}

/// One attempt to send a caller's request to an upstream.
#[derive(Debug)]
pub struct AttemptRequest {
    pub method: Method,
    /// Path and query. Dot segments are resolved as in any URL.
    pub path: String,
    /// The caller's headers. Hop-by-hop headers and those of this system are not sent.
    pub headers: HeaderMap,
    pub body: RequestBody,
    /// Latest start of the work, by the upstream's clock.
    pub start_by_ms: Option<u64>,
    /// Time by which the work must end, by the upstream's clock.
    pub deadline_ms: Option<u64>,
    /// Maximum wait for the head of the response.
    pub timeout: Duration,
}

/// Status that an upstream reports in the headers of a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StatusHeaders {
    /// Number of running requests and tasks.
    pub load: Option<u32>,
    /// Whether the upstream is draining and accepts no new work.
    pub draining: bool,
}

/// Cause of a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureCause {
    /// The upstream or the connection to it.
    Upstream,
    /// The response belonged to another call; the connection generation must be retired.
    Mismatch,
    /// The caller's body ended early; this does not count against the upstream's health.
    CallerGone,
    /// The path is reserved for the platform protocol; nothing was sent.
    Reserved,
}

/// An attempt that ended before the head of a response was received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptFailure {
    pub outcome: AttemptOutcome,
    pub cause: FailureCause,
    pub status_headers: StatusHeaders,
    pub message: String,
}

/// The head of a response, whose body has not been read yet.
#[derive(Debug)]
pub struct AttemptResponse {
    pub status: StatusCode,
    /// Headers except the hop-by-hop headers and those of this system.
    pub headers: HeaderMap,
    /// Length of the body, if declared.
    pub length: Option<u64>,
    pub status_headers: StatusHeaders,
    body: Response,
}

impl AttemptResponse {
    /// Outcome of the attempt as health checks and retries count it.
    pub fn outcome(&self) -> AttemptOutcome {
        AttemptOutcome::Answered { failed: self.status.is_server_error() }
    }

    /// Returns the next chunk of the body, or `None` at its regular end. Fails with `LostInBody` if
    /// the connection breaks or no chunk is received within `idle`. Dropping an unfinished response
    /// closes its connection.
    pub async fn next_chunk(&mut self, idle: Duration) -> Result<Option<Bytes>, AttemptOutcome> {
        match timeout(idle, self.body.chunk()).await {
            Ok(Ok(chunk)) => Ok(chunk),
            Ok(Err(_)) | Err(_) => Err(AttemptOutcome::LostInBody),
        }
    }
}

/// Response to a probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeResponse {
    pub status: UpstreamStatus,
    /// Time from before the connect until the response was received.
    pub round_trip: Duration,
}

/// Reading of an upstream's clock from a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamClock {
    /// Time at which the probe response was received, by the clock of this entry instance.
    pub at: Time,
    /// The upstream's clock in milliseconds, read shortly before `at`.
    pub clock_ms: u64,
}

impl UpstreamClock {
    /// Returns a lower bound of the upstream's clock at the local time `t`, for use as a latest
    /// start. The delay of the probe response and the drift of both clocks only lower the bound.
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

/// Result of a call that starts a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskStartOutcome {
    /// This call started the task.
    Started,
    /// The task had been started before.
    Known(TaskState),
}

/// Failure of a task call.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum TaskError {
    /// The upstream refused the call, which had no effect.
    #[snafu(display("upstream refused the task call: {reason}"))]
    Refused { reason: String, draining: bool },
    /// The upstream does not know the task.
    #[snafu(display("upstream does not know the task"))]
    NoSuchTask,
    /// The upstream responded with another error status; the call may have taken effect.
    #[snafu(display("upstream responded with status {status} to a task call"))]
    Status { status: u16 },
    /// The response cannot be decoded; the call may have taken effect.
    #[snafu(display("malformed response to a task call: {message}"))]
    Malformed { message: String },
    /// The call was not sent or received no response.
    #[snafu(display("task call failed: {source}"))]
    Call { source: CallError },
}

impl TaskError {
    /// Whether the call is known to have had no effect.
    pub fn had_no_effect(&self) -> bool {
        match self {
            TaskError::Refused { .. } | TaskError::NoSuchTask => true,
            TaskError::Call { source } => source.is_not_sent(),
            TaskError::Status { .. } | TaskError::Malformed { .. } => false,
        }
    }
}

/// Connections of the newest generation of one upstream.
struct ConnectionPool {
    generation: u64,
    addr: String,
    client: Client,
}

/// HTTP client for all upstreams of one entry instance.
pub struct Upstreams {
    options: TransportOptions,
    pools: Mutex<HashMap<InstanceId, ConnectionPool>>,
    /// Client that opens a new connection for each call.
    unpooled: Client,
    ids: ExchangeIds,
}

impl Upstreams {
    /// Creates a client without connections.
    pub fn new(options: TransportOptions) -> Result<Upstreams, CallError> {
        let unpooled = transport::client(&options, 0).map_err(|e| transport::call_error(&e))?;
        let ids = ExchangeIds::default();
        Ok(Upstreams { options, pools: Mutex::default(), unpooled, ids })
    }

    /// Closes the idle connections to an upstream that is gone.
    pub fn remove(&self, upstream: &InstanceId) {
        self.pools.lock().remove(upstream);
    }

    /// Sends a caller's request and returns the head of the response.
    pub async fn attempt(
        &self,
        target: &Target,
        request: AttemptRequest,
    ) -> Result<AttemptResponse, AttemptFailure> {
        let url = url(&target.addr, &request.path)
            .map_err(|message| not_sent(FailureCause::Upstream, message))?;
        if is_reserved(&url) {
            return Err(not_sent(
                FailureCause::Reserved,
                "the path is reserved for the platform protocol".to_string(),
            ));
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
                let message = format!("no response within {} ms", response_timeout.as_millis());
                Err(failure(CallError::Unknown { message, timed_out: true }, false))
            }
        }
    }

    /// Requests the status of an upstream over a new connection.
    pub async fn probe(&self, addr: &str) -> Result<ProbeResponse, TaskError> {
        let start = std::time::Instant::now();
        let request = self.unpooled.get(format!("http://{addr}/status"));
        let (status, _, body) = self.call(request).await?;
        if status != StatusCode::OK {
            return Err(TaskError::Status { status: status.as_u16() });
        }
        Ok(ProbeResponse { status: decode(&body)?, round_trip: start.elapsed() })
    }

    /// Starts a task; a repeated call with the same task id starts it only once.
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

    /// Requests the state of a task.
    pub async fn task(&self, target: &Target, task: &str) -> Result<TaskState, TaskError> {
        self.call_json(self.task_request(target, Method::GET, task, "")?).await
    }

    /// Renews the lease of a task and raises its fencing token.
    pub async fn renew_task(
        &self,
        target: &Target,
        task: &str,
        renew: &TaskRenew,
    ) -> Result<TaskState, TaskError> {
        self.post_task(target, task, "/renew", renew).await
    }

    /// Requests a checkpoint: the amount of work from which the task can resume.
    pub async fn checkpoint_task(
        &self,
        target: &Target,
        task: &str,
        fence: Offset,
    ) -> Result<Checkpoint, TaskError> {
        self.post_task(target, task, "/checkpoint", &TaskFence { fence }).await
    }

    /// Sets the speed of a task.
    pub async fn throttle_task(
        &self,
        target: &Target,
        task: &str,
        throttle: &TaskThrottle,
    ) -> Result<TaskState, TaskError> {
        self.post_task(target, task, "/throttle", throttle).await
    }

    /// Stops a task; has no effect on a task that has ended.
    pub async fn stop_task(
        &self,
        target: &Target,
        task: &str,
        fence: Offset,
    ) -> Result<TaskState, TaskError> {
        self.post_task(target, task, "/stop", &TaskFence { fence }).await
    }

    async fn post_task<B: Serialize, T: DeserializeOwned>(
        &self,
        target: &Target,
        task: &str,
        action: &str,
        body: &B,
    ) -> Result<T, TaskError> {
        self.call_json(self.task_request(target, Method::POST, task, action)?.json(body)).await
    }

    async fn call_json<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
    ) -> Result<T, TaskError> {
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

    /// Returns the client of a target. Connections of an older generation or address are no longer
    /// used.
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

/// Whether a path is reserved for the platform protocol, regardless of percent-encoding and letter
/// case.
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

/// Stream of a caller's body that records whether it ended with an error.
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

/// Returns the headers that an entry instance forwards, in either direction.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = headers
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
            || connection_options.iter().any(|n| n == name.as_str())
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
        let message = format!(
            "upstream responded with status {} and did not run the request",
            response.status().as_u16()
        );
        return Err(AttemptFailure { status_headers, ..not_sent(FailureCause::Upstream, message) }
            .with_outcome(AttemptOutcome::NotRun));
    }
    if !is_head_request && !is_delimited(&response) {
        let message =
            "the response has neither a length nor chunks; a truncated body would look complete";
        let cause = not_sent(FailureCause::Upstream, message.to_string());
        return Err(
            AttemptFailure { status_headers, ..cause }.with_outcome(AttemptOutcome::LostBeforeHead)
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

/// Whether a complete response can be told from one whose connection was lost.
fn is_delimited(response: &Response) -> bool {
    let headers = response.headers();
    let has_framing = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    let bodiless = matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    has_framing || bodiless || response.version() > Version::HTTP_11
}

impl AttemptFailure {
    fn with_outcome(mut self, outcome: AttemptOutcome) -> AttemptFailure {
        self.outcome = outcome;
        self
    }
}

fn not_sent(cause: FailureCause, message: String) -> AttemptFailure {
    AttemptFailure {
        outcome: AttemptOutcome::ConnectFailed,
        cause,
        status_headers: StatusHeaders::default(),
        message,
    }
}

fn failure(e: CallError, caller_gone: bool) -> AttemptFailure {
    let message = e.to_string();
    let outcome = match e {
        CallError::NotSent { .. } => AttemptOutcome::ConnectFailed,
        CallError::Unknown { timed_out: true, .. } => AttemptOutcome::TimedOut,
        CallError::Unknown { .. } | CallError::Mismatch { .. } => AttemptOutcome::LostBeforeHead,
    };
    let cause = match e {
        CallError::Mismatch { .. } => FailureCause::Mismatch,
        _ if caller_gone => FailureCause::CallerGone,
        _ => FailureCause::Upstream,
    };
    AttemptFailure { outcome, cause, status_headers: StatusHeaders::default(), message }
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
