//! HTTP servers for callers' jobs, readiness and metrics.

use crate::answer::Reply;
use crate::batch::declarations::Queue;
use crate::batch::job::JobState;
use crate::event::Event;
use crate::ids::TeamId;
use crate::instance::append_queue::AppendOutcome;
use crate::instance::caller_limits::{ListenerBounds, ProcessBounds};
use crate::instance::listener::{
    BodyError, HeldBody, LimitsInForce, Listener, RequestBody, Server,
};
use crate::instance::peers::{JobLookup, OwnerClient};
use crate::instance::shared::Shared;
use crate::instance::submissions::CANCEL_KEY_SUFFIX;
use crate::platform::job_format;
use bytes::Bytes;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::http::uri::Authority;
use hyper::{Method, Request};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Delay in seconds after which a caller may retry a job that has not run; another instance may
/// accept it immediately.
const RETRY_AFTER_SECS: &str = "1";
/// Deadline of callers that send none; the platform's callers wait for 3 s.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);
/// Fraction of a caller's deadline after which a store that does not respond is given up.
const STORE_TIME_FRACTION: f64 = 0.6;
/// Value of a cancellation record; its key identifies the job.
const CANCEL_VALUE: &[u8] = b"1";
/// Statuses of calls that are not carried out.
mod status {
    pub const BAD_REQUEST: u16 = 400;
    pub const UNAUTHORIZED: u16 = 401;
    pub const NOT_FOUND: u16 = 404;
    pub const METHOD_NOT_ALLOWED: u16 = 405;
    pub const GONE: u16 = 410;
    pub const TOO_LARGE: u16 = 413;
    pub const UNAVAILABLE: u16 = 503;
    pub const TIMEOUT: u16 = 504;
}

/// Reason why a call is not carried out.
struct Rejection {
    status: u16,
    reason: &'static str,
}

impl Rejection {
    fn new(status: u16, reason: &'static str) -> Rejection {
        Rejection { status, reason }
    }

    fn into_reply(self) -> Reply {
        let reply = Reply::json(self.status, &serde_json::json!({ "error": self.reason }));
        match self.status {
            // The job has not run, so a retry is safe.
            status::UNAVAILABLE => reply.with_header("retry-after", RETRY_AFTER_SECS),
            _ => reply,
        }
    }
}

/// State of the server for callers.
struct CallerApi {
    shared: Arc<Shared>,
    owner: OwnerClient,
}

/// Starts the server for callers.
pub fn start_caller_server(shared: &Arc<Shared>, bounds: &ProcessBounds) -> io::Result<Server> {
    let api = Arc::new(CallerApi { shared: shared.clone(), owner: OwnerClient::default() });
    let listener = new_listener(shared, "callers", bounds.callers);
    Server::start(shared.cfg.callers_addr, listener, move |req| {
        let api = api.clone();
        async move { Ok(api.handle(req).await.into_http()) }
    })
}

/// Starts a server for readiness probes and metrics.
pub fn start_status_server(
    shared: &Arc<Shared>,
    addr: SocketAddr,
    bounds: &ProcessBounds,
) -> io::Result<Server> {
    let listener = new_listener(shared, "status", bounds.status);
    let shared = shared.clone();
    Server::start(addr, listener, move |req| {
        let reply = status_reply(&shared, &req);
        async move { Ok(reply.into_http()) }
    })
}

fn new_listener(shared: &Arc<Shared>, name: &'static str, bounds: ListenerBounds) -> Listener {
    let limits: LimitsInForce = {
        let shared = shared.clone();
        Box::new(move || {
            let declared = shared.active_config().declarations.request_limits;
            shared.cfg.settings.caller_limits.request_limits(declared)
        })
    };
    Listener::new(name, bounds, limits, shared.log.clone(), shared.metrics.clone())
}

/// Answers a readiness probe or a request for the metrics.
fn status_reply(shared: &Shared, req: &Request<RequestBody>) -> Reply {
    match (req.method(), req.uri().path()) {
        (&Method::GET | &Method::HEAD, job_format::READINESS_PATH) => match is_ready(shared) {
            true => Reply::text(200, "ready\n"),
            false => Reply::text(status::UNAVAILABLE, "not ready\n"),
        },
        (&Method::GET | &Method::HEAD, "/metrics") => {
            shared.metrics.set_ready(is_ready(shared));
            let age = shared.view_age().unwrap_or_default();
            shared.metrics.set_view(age, shared.active_config().declarations.version);
            match shared.metrics.encode() {
                Ok(text) => Reply::text(200, text),
                Err(e) => Reply::text(500, e.to_string()),
            }
        }
        _ => Rejection::new(status::NOT_FOUND, "no such page").into_reply(),
    }
}

/// Whether the instance accepts new connections: it has declarations, can tell valid keys from
/// withdrawn ones, and reaches the store.
fn is_ready(shared: &Shared) -> bool {
    !shared.stopping.load(Ordering::Relaxed)
        && shared.active_config().declarations.version > 0
        && shared.keys_are_fresh()
        && shared.store_reachable.load(Ordering::Relaxed)
}

impl CallerApi {
    async fn handle(&self, req: Request<RequestBody>) -> Reply {
        let started = Instant::now();
        let path = req.uri().path().to_string();
        match self.handle_call(req, &path, started).await {
            Ok(reply) => reply,
            Err(rejection) => {
                self.log_rejection(&path, &rejection, started);
                rejection.into_reply()
            }
        }
    }

    async fn handle_call(
        &self,
        req: Request<RequestBody>,
        path: &str,
        started: Instant,
    ) -> Result<Reply, Rejection> {
        let (head, body) = req.into_parts();
        let method = match head.method {
            // The server leaves out the body of the response.
            Method::HEAD => Method::GET,
            Method::GET | Method::POST | Method::DELETE | Method::PUT => head.method.clone(),
            Method::OPTIONS | Method::PATCH | Method::TRACE | Method::CONNECT => {
                return Err(Rejection::new(status::NOT_FOUND, "no such method"));
            }
            _ => return Err(Rejection::new(status::BAD_REQUEST, "no such method")),
        };
        let active_config = self.shared.active_config();
        let declared = &active_config.declarations;
        if declared.version == 0 {
            return Err(Rejection::new(status::UNAVAILABLE, "no declarations yet"));
        }
        let host = header(&head, HOST.as_str()).and_then(|host| host.parse::<Authority>().ok());
        let host = host.as_ref().map_or("", Authority::host);
        let queue = declared.queue_for_request(host, path);
        let queue = queue.ok_or(Rejection::new(status::NOT_FOUND, "no such queue"))?;
        let team = self.authorize(&head, queue)?;
        let id = &path[queue.path_prefix.len()..];
        if id.is_empty() && method == Method::GET {
            return self.pending_jobs(queue).await;
        }
        if !job_format::is_job_id(id) {
            return Err(Rejection::new(status::NOT_FOUND, "no job id"));
        }
        if method == Method::POST {
            let deadline = job_format::parse_deadline(header(&head, job_format::DEADLINE_HEADER));
            // While the body arrives, which may never end, no memory is held for the head.
            drop(head);
            let body = body.read().await?;
            return self.submit_job(queue, team, id, body, deadline, started).await;
        }
        // From here on, the call may have an effect.
        drop(body);
        match method {
            Method::GET => self.job_state(id).await,
            Method::DELETE => self.cancel_job(id).await,
            _ => Err(Rejection::new(status::METHOD_NOT_ALLOWED, "no such method")),
        }
    }

    /// Returns the team of the call's key. Rejects a call without a valid key unless the queue is
    /// open.
    fn authorize(&self, head: &Parts, queue: &Queue) -> Result<Option<TeamId>, Rejection> {
        let active_config = self.shared.active_config();
        let key = header(head, job_format::KEY_HEADER);
        let team = key.and_then(|k| active_config.declarations.keys.get(k)).cloned();
        if queue.public {
            return Ok(team);
        }
        if !self.shared.keys_are_fresh() {
            return Err(Rejection::new(status::UNAVAILABLE, "keys are not known to be in force"));
        }
        match team {
            Some(team) => Ok(Some(team)),
            None => Err(Rejection::new(status::UNAUTHORIZED, "no key in force")),
        }
    }

    async fn submit_job(
        &self,
        queue: &Queue,
        team: Option<TeamId>,
        id: &str,
        body: HeldBody,
        deadline: Option<Duration>,
        started: Instant,
    ) -> Result<Reply, Rejection> {
        let malformed = Rejection::new(status::BAD_REQUEST, "the job cannot be read");
        if job_format::parse_job(body.bytes()).is_err() {
            return Err(malformed);
        }
        let taken_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let Ok(record) =
            job_format::encode_stored_job(queue, team.as_ref(), body.bytes(), taken_at)
        else {
            return Err(malformed);
        };
        let record = body.into_record(record);
        let wait = deadline.unwrap_or(DEFAULT_DEADLINE).mul_f64(STORE_TIME_FRACTION);
        self.store_record(id, id, record, started + wait).await?;
        // The key may have been withdrawn while the record was being stored; such a call must not
        // succeed.
        if !queue.public && !self.shared.keys_are_fresh() {
            return Err(Rejection::new(status::TIMEOUT, "keys are not known to be in force"));
        }
        self.shared.add_recent_job(id);
        let took = started.elapsed().as_millis() as u64;
        let age = self.shared.view_age().unwrap_or_default().as_millis() as u64;
        let fields = [
            ("job", id.into()),
            ("queue", (&queue.id).into()),
            ("team", team.as_deref().unwrap_or("").into()),
            ("view_age_ms", age.into()),
            ("took_ms", took.into()),
        ];
        self.shared.log.event(Event::BatchJobAccepted, &fields);
        Ok(Reply::json(200, &serde_json::json!({})))
    }

    /// Stores a record of a job.
    async fn store_record(
        &self,
        id: &str,
        key: &str,
        value: Bytes,
        deadline: Instant,
    ) -> Result<(), Rejection> {
        let partition = self.shared.submission_partition(id);
        match self.shared.append_queue.store(partition, key, value, deadline).await {
            AppendOutcome::Stored => Ok(()),
            AppendOutcome::NotStored => {
                Err(Rejection::new(status::UNAVAILABLE, "the store takes nothing"))
            }
            AppendOutcome::Unknown => {
                Err(Rejection::new(status::TIMEOUT, "the store does not answer"))
            }
        }
    }

    async fn job_state(&self, id: &str) -> Result<Reply, Rejection> {
        let state = match self.owner.job(&self.shared, id).await {
            JobLookup::Known(state) => state,
            JobLookup::Absent | JobLookup::Unsure if self.shared.is_recent_job(id) => {
                JobState::Queued
            }
            JobLookup::Absent => return Err(Rejection::new(status::GONE, "no such job")),
            JobLookup::Unsure => {
                return Err(Rejection::new(status::UNAVAILABLE, "the owner cannot be asked"));
            }
        };
        Ok(json_reply(job_format::encode_job_state(state)))
    }

    async fn cancel_job(&self, id: &str) -> Result<Reply, Rejection> {
        let lookup = self.owner.job(&self.shared, id).await;
        if lookup == JobLookup::Absent && !self.shared.is_recent_job(id) {
            return Err(Rejection::new(status::GONE, "no such job"));
        }
        let key = format!("{id}{CANCEL_KEY_SUFFIX}");
        let deadline = Instant::now() + DEFAULT_DEADLINE.mul_f64(STORE_TIME_FRACTION);
        self.store_record(id, &key, Bytes::from_static(CANCEL_VALUE), deadline).await?;
        self.shared
            .log
            .event(Event::BatchJobCancelled, &[("job", id.into()), ("status", 200u64.into())]);
        Ok(Reply::json(200, &serde_json::json!({})))
    }

    async fn pending_jobs(&self, queue: &Queue) -> Result<Reply, Rejection> {
        match self.owner.pending(&self.shared, &queue.id).await {
            Some(pending) => Ok(json_reply(job_format::encode_pending_count(pending))),
            None => Err(Rejection::new(status::UNAVAILABLE, "the owner cannot be asked")),
        }
    }

    fn log_rejection(&self, path: &str, rejection: &Rejection, started: Instant) {
        let job = path.rsplit('/').next().unwrap_or("");
        let version = self.shared.active_config().declarations.version;
        let age = self.shared.view_age().unwrap_or_default().as_millis() as u64;
        let fields = [
            ("job", job.into()),
            ("status", u32::from(rejection.status).into()),
            ("reason", rejection.reason.into()),
            ("version", version.into()),
            ("view_age_ms", age.into()),
            ("took_ms", (started.elapsed().as_millis() as u64).into()),
        ];
        self.shared.log.event(Event::BatchCallRefused, &fields);
    }
}

fn json_reply(body: String) -> Reply {
    Reply::bytes(200, body).with_header("content-type", "application/json")
}

/// Returns the first value of a header, if it is text.
fn header<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    std::str::from_utf8(head.headers.get(name)?.as_bytes()).ok()
}

impl From<BodyError> for Rejection {
    fn from(e: BodyError) -> Rejection {
        match e {
            BodyError::TooLong => Rejection::new(status::TOO_LARGE, "the body is too long"),
            BodyError::Incomplete => Rejection::new(status::BAD_REQUEST, "the body was cut"),
            BodyError::NoRoom => Rejection::new(status::UNAVAILABLE, "no room for the body"),
        }
    }
}
