//! Stand-in for an upstream: HTTP services under any path, tasks under leases with fencing tokens,
//! and a status. `docs/platform.md` specifies the protocol.

use crate::connection;
use crate::ids::*;
use crate::protocol::*;
use crate::standin::{
    self, Answer, AnswerBody, FaultGuard, FaultSwitches, RunningServer, StandinError,
};
use crate::standin_tasks::{self, Tasks};
use bytes::Bytes;
use futures::StreamExt;
use indexmap::IndexMap;
use parking_lot::Mutex;
use rocket::State;
use rocket::data::{Data, ToByteUnit};
use rocket::http::Method;
use rocket::request::Request;
use rocket::route::{Handler, Outcome, Route};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Default number of slots of an upstream.
pub const DEFAULT_SLOTS: u32 = 8;
/// Default number of connections that an upstream serves concurrently.
pub const DEFAULT_CONNECTIONS: u32 = 64;
/// Maximum length of a request body that the services read, in bytes.
const MAX_REQUEST_BODY_LEN: u64 = 64 * 1024 * 1024;
/// Maximum length of a chunk of a generated body in bytes.
const MAX_CHUNK_LEN: usize = 16 * 1024;
/// Maximum number of tags whose runs are counted.
const MAX_COUNTED_TAGS: usize = 1_000_000;
/// Rank of the service routes. It is higher than that of every other route, so they match last.
const SERVICE_ROUTE_RANK: isize = 20;

/// Settings of an upstream stand-in.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Id that `GET /status` reports.
    pub id: InstanceId,
    /// Address to listen on. Port 0 picks a free port.
    pub addr: SocketAddr,
    /// Maximum number of requests and tasks running at once.
    pub slots: u32,
    /// Maximum number of open requests, running or waiting for a slot.
    pub connections: u32,
    /// Initial value of its monotonic clock.
    pub clock_origin: Duration,
}

impl UpstreamOptions {
    /// Returns options with the default slots and connections.
    pub fn new(id: impl Into<InstanceId>, addr: SocketAddr) -> UpstreamOptions {
        UpstreamOptions {
            id: id.into(),
            addr,
            slots: DEFAULT_SLOTS,
            connections: DEFAULT_CONNECTIONS,
            clock_origin: Duration::ZERO,
        }
    }

    /// Replaces the number of slots and connections.
    pub fn with_size(mut self, slots: u32, connections: u32) -> UpstreamOptions {
        self.slots = slots;
        self.connections = connections;
        self
    }

    /// Replaces the initial value of its clock.
    pub fn with_clock_origin(mut self, origin: Duration) -> UpstreamOptions {
        self.clock_origin = origin;
        self
    }
}

/// State shared by the handlers.
pub(crate) struct UpstreamState {
    id: InstanceId,
    started: Instant,
    clock_origin: Duration,
    slots: u32,
    /// One permit per free slot.
    pub(crate) free: Arc<Semaphore>,
    connections: u32,
    open_requests: AtomicU32,
    pub(crate) draining: AtomicBool,
    /// Number of times that work with each tag was started.
    runs: Mutex<IndexMap<String, u32>>,
    pub(crate) tasks: Tasks,
}

impl UpstreamState {
    /// Returns the time on its own monotonic clock in milliseconds.
    pub(crate) fn clock_ms(&self) -> u64 {
        (self.clock_origin + self.started.elapsed()).as_millis() as u64
    }

    fn running(&self) -> u32 {
        self.slots.saturating_sub(self.free.available_permits() as u32)
    }

    fn status(&self) -> UpstreamStatus {
        UpstreamStatus {
            id: self.id.clone(),
            clock_ms: self.clock_ms(),
            slots: self.slots,
            running: self.running(),
            draining: self.draining.load(Ordering::SeqCst),
        }
    }

    pub(crate) fn record_run(&self, tag: &str) {
        let mut runs = self.runs.lock();
        if runs.len() < MAX_COUNTED_TAGS || runs.contains_key(tag) {
            *runs.entry(tag.to_string()).or_default() += 1;
        }
    }

    /// Adds the headers that every answer carries: the load, and the drain state.
    pub(crate) fn with_status_headers(&self, answer: Answer) -> Answer {
        let answer = answer.with_header(LOAD_HEADER, self.running().to_string());
        if self.draining.load(Ordering::SeqCst) {
            return answer.with_header(DRAINING_HEADER, "true");
        }
        answer
    }

    /// Returns a refusal, which states that the work was not started and will not be.
    pub(crate) fn refuse_not_run(&self, status: u16, reason: &str) -> Answer {
        let body = serde_json::json!({ "refused": reason });
        self.with_status_headers(Answer::json(status, &body).with_header(RAN_HEADER, "not_run"))
    }
}

/// A running upstream stand-in.
pub struct UpstreamStandin {
    server: RunningServer,
    upstream: Arc<UpstreamState>,
    /// Fault switches, also set by `PUT /faults`.
    pub switches: Arc<FaultSwitches>,
}

impl UpstreamStandin {
    /// Starts a stand-in and returns once it is bound to its port.
    pub async fn start(options: UpstreamOptions) -> Result<UpstreamStandin, StandinError> {
        let switches = Arc::new(FaultSwitches::default());
        let upstream = Arc::new(UpstreamState {
            id: options.id,
            started: Instant::now(),
            clock_origin: options.clock_origin,
            slots: options.slots,
            free: Arc::new(Semaphore::new(options.slots as usize)),
            connections: options.connections,
            open_requests: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            runs: Mutex::default(),
            tasks: Tasks::default(),
        });
        let rocket = standin::build(options.addr, switches.clone())
            .manage(upstream.clone())
            .mount("/", rocket::routes![status, runs, put_drain])
            .mount("/", standin_tasks::routes())
            .mount("/", service_routes());
        let server = standin::launch(options.addr, rocket).await?;
        Ok(UpstreamStandin { server, upstream, switches })
    }

    /// Returns the address that it is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns how often work with each tag was started, in the order of the first starts.
    pub fn runs(&self) -> IndexMap<String, u32> {
        self.upstream.runs.lock().clone()
    }

    /// Returns the number of requests and tasks running.
    pub fn running(&self) -> u32 {
        self.upstream.running()
    }

    /// Sets whether it refuses new work.
    pub fn set_draining(&self, draining: bool) {
        self.upstream.draining.store(draining, Ordering::SeqCst);
    }

    /// Returns its entry for the platform's list of instances.
    pub fn listed(&self, pool: &str, zone: &str, rack: &str) -> ListedInstance {
        ListedInstance {
            id: self.upstream.id.clone(),
            role: Role::Upstream,
            pool: pool.into(),
            zone: zone.into(),
            rack: rack.into(),
            addr: self.addr().to_string(),
            presence: Presence::Live,
            slots: self.upstream.slots,
            connections: self.upstream.connections,
        }
    }

    /// Stops it as a crash would.
    pub async fn stop(self) {
        self.server.stop().await;
    }

    /// Waits until it has stopped.
    pub async fn wait_until_stopped(&mut self) {
        self.server.wait_until_stopped().await;
    }
}

#[rocket::get("/status")]
async fn status(guard: FaultGuard, upstream: &State<Arc<UpstreamState>>) -> Answer {
    // The status is reported even if the switches make all work fail.
    let answer = Answer::json(200, &upstream.status());
    guard.apply_after(upstream.with_status_headers(answer)).await
}

#[rocket::get("/runs")]
fn runs(upstream: &State<Arc<UpstreamState>>) -> Answer {
    Answer::json(200, &*upstream.runs.lock())
}

/// Body of `PUT /drain`.
#[derive(Debug, Deserialize, Serialize)]
pub struct Drain {
    /// Whether the upstream refuses new work.
    pub draining: bool,
}

#[rocket::put("/drain", data = "<data>")]
async fn put_drain(data: Data<'_>, upstream: &State<Arc<UpstreamState>>) -> Answer {
    let body = data.open(1.kibibytes()).into_bytes().await;
    match body.ok().and_then(|body| serde_json::from_slice::<Drain>(&body).ok()) {
        Some(drain) => {
            upstream.draining.store(drain.draining, Ordering::SeqCst);
            Answer::json(200, &drain)
        }
        None => Answer::new(400),
    }
}

fn service_routes() -> Vec<Route> {
    use Method::*;
    [Get, Head, Put, Post, Delete, Options, Patch]
        .into_iter()
        .map(|method| Route::ranked(SERVICE_ROUTE_RANK, method, "/<path..>", ServiceHandler))
        .collect()
}

/// Handler of all paths outside of the protocol.
#[derive(Clone)]
struct ServiceHandler;

#[rocket::async_trait]
impl Handler for ServiceHandler {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Some(upstream) = req.rocket().state::<Arc<UpstreamState>>() else {
            return Outcome::Error(rocket::http::Status::InternalServerError);
        };
        let Some(guard) = FaultGuard::apply_before(req).await else {
            return Outcome::Error(rocket::http::Status::ServiceUnavailable);
        };
        let answer = handle_service_call(upstream, &guard, req, data).await;
        Outcome::from(req, guard.apply_after(answer).await)
    }
}

/// Counts a request as open until dropped.
struct OpenRequest(Arc<UpstreamState>);

impl OpenRequest {
    fn new(upstream: &Arc<UpstreamState>) -> Option<OpenRequest> {
        let before = upstream.open_requests.fetch_add(1, Ordering::SeqCst);
        let request = OpenRequest(upstream.clone());
        (before < upstream.connections).then_some(request)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Parses a header with a time on the upstream's clock.
fn header_ms(req: &Request<'_>, name: &str) -> Option<u64> {
    req.headers().get_one(name)?.trim().parse().ok()
}

async fn handle_service_call(
    upstream: &Arc<UpstreamState>,
    guard: &FaultGuard,
    req: &Request<'_>,
    data: Data<'_>,
) -> Answer {
    if upstream.draining.load(Ordering::SeqCst) {
        return upstream.refuse_not_run(503, "draining");
    }
    let Some(open_request) = OpenRequest::new(upstream) else {
        return upstream.refuse_not_run(503, "busy");
    };
    let start_by = header_ms(req, START_BY_HEADER);
    let deadline = header_ms(req, DEADLINE_HEADER);
    let Some(slot) = wait_for_slot(upstream, start_by).await else {
        return upstream.refuse_not_run(503, "busy");
    };
    let now = upstream.clock_ms();
    if start_by.is_some_and(|t| now > t) || deadline.is_some_and(|t| now >= t) {
        return upstream.refuse_not_run(503, "late");
    }
    run_service(
        upstream,
        guard,
        req,
        data,
        RequestPermits { _open_request: open_request, _slot: slot },
        deadline,
    )
    .await
}

/// Connection and slot of a request, held until its answer has been sent.
struct RequestPermits {
    _open_request: OpenRequest,
    _slot: OwnedSemaphorePermit,
}

/// Waits for a slot until the latest start time, or without a limit if there is none.
async fn wait_for_slot(
    upstream: &Arc<UpstreamState>,
    start_by: Option<u64>,
) -> Option<OwnedSemaphorePermit> {
    let slot = upstream.free.clone().acquire_owned();
    match start_by {
        Some(latest_start) => {
            let wait = Duration::from_millis(latest_start.saturating_sub(upstream.clock_ms()));
            tokio::time::timeout(wait, slot).await.ok()?.ok()
        }
        None => slot.await.ok(),
    }
}

/// Behaviour of a service that is requested in the query.
struct ServiceParams {
    delay: Duration,
    status: u16,
    size: Option<usize>,
    chunks: Option<usize>,
    chunk_size: usize,
    chunk_delay: Duration,
    cut_after: Option<usize>,
}

fn query<T>(req: &Request<'_>, name: &str) -> Option<T>
where
    T: for<'a> rocket::form::FromForm<'a>,
{
    req.query_value(name)?.ok()
}

fn query_ms(req: &Request<'_>, name: &str) -> Duration {
    Duration::from_millis(query(req, name).unwrap_or(0))
}

impl ServiceParams {
    fn new(req: &Request<'_>) -> ServiceParams {
        ServiceParams {
            delay: query_ms(req, "delay_ms"),
            status: query(req, "status").unwrap_or(200),
            size: query(req, "size"),
            chunks: query(req, "chunks"),
            chunk_size: query(req, "chunk_size").unwrap_or(1_024),
            chunk_delay: query_ms(req, "chunk_delay_ms"),
            cut_after: query(req, "cut_after"),
        }
    }
}

async fn run_service(
    upstream: &Arc<UpstreamState>,
    guard: &FaultGuard,
    req: &Request<'_>,
    data: Data<'_>,
    permits: RequestPermits,
    deadline: Option<u64>,
) -> Answer {
    let params = ServiceParams::new(req);
    if let Some(tag) = query::<String>(req, "tag") {
        upstream.record_run(&tag);
    }
    let body = match data.open(MAX_REQUEST_BODY_LEN.bytes()).into_bytes().await {
        Ok(body) if body.is_complete() => Bytes::from(body.into_inner()),
        Ok(_) => return upstream.with_status_headers(Answer::new(413)),
        Err(_) => return upstream.with_status_headers(Answer::new(400)),
    };
    if guard.failing {
        return upstream.with_status_headers(Answer::new(500));
    }
    if !simulate_work(upstream, params.delay, deadline).await {
        return upstream.with_status_headers(Answer::new(504));
    }
    let method = req.method().as_str();
    let answer = Answer::new(params.status)
        .with_header("standin-id", &*upstream.id)
        .with_header("standin-method", method)
        .with_header("standin-path", req.uri().to_string())
        .with_body(make_body(&params, body, guard, permits));
    let answer = match params.size {
        Some(size) => answer.with_header("content-length", size.to_string()),
        None => answer,
    };
    upstream.with_status_headers(answer)
}

/// Simulates work for the given time. Returns false if the deadline comes first.
async fn simulate_work(upstream: &UpstreamState, time: Duration, deadline: Option<u64>) -> bool {
    let remaining = deadline
        .map(|t| Duration::from_millis(t.saturating_sub(upstream.clock_ms())))
        .unwrap_or(Duration::MAX);
    if !time.is_zero() {
        tokio::time::sleep(time.min(remaining)).await;
    }
    time <= remaining
}

fn make_body(
    params: &ServiceParams,
    echo: Bytes,
    guard: &FaultGuard,
    permits: RequestPermits,
) -> AnswerBody {
    let chunk_lens = match (params.size, params.chunks) {
        (Some(size), _) => chunk_lens(size, MAX_CHUNK_LEN),
        (None, Some(chunks)) => vec![params.chunk_size; chunks],
        (None, None) if params.cut_after.is_none() => return AnswerBody::Full(echo),
        (None, None) => chunk_lens(echo.len(), MAX_CHUNK_LEN),
    };
    AnswerBody::Stream(generate_body(chunk_lens, params, guard, permits))
}

/// Returns the lengths of the chunks of a body of `size` bytes.
fn chunk_lens(size: usize, chunk: usize) -> Vec<usize> {
    let mut chunk_lens = vec![chunk; size / chunk];
    if !size.is_multiple_of(chunk) {
        chunk_lens.push(size % chunk);
    }
    chunk_lens
}

/// Generates a body in chunks of the given lengths. Byte `i` is `i % 251`, which exposes lost or
/// duplicated chunks.
fn generate_body(
    chunk_lens: Vec<usize>,
    params: &ServiceParams,
    guard: &FaultGuard,
    permits: RequestPermits,
) -> futures::stream::BoxStream<'static, Bytes> {
    let (port, remote) = guard.connection();
    let delay = params.chunk_delay;
    let cut_after = params.cut_after;
    let start = (0_usize, chunk_lens.into_iter(), permits);
    futures::stream::unfold(start, move |(sent, mut chunk_lens, permits)| async move {
        if cut_after.is_some_and(|n| sent >= n) {
            connection::abort_response(port, remote).await;
            return None;
        }
        let mut len = chunk_lens.next()?;
        if let Some(n) = cut_after {
            len = len.min(n - sent);
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let chunk: Bytes = (sent..sent + len).map(|i| (i % 251) as u8).collect();
        Some((chunk, (sent + len, chunk_lens, permits)))
    })
    .boxed()
}
