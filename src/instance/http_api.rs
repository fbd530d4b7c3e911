//! HTTP servers for callers' jobs, readiness and metrics.

use crate::answer::Reply;
use crate::batch::declarations::Queue;
use crate::batch::job::JobState;
use crate::event::Event;
use crate::http_server;
use crate::ids::TeamId;
use crate::instance::append_queue::AppendOutcome;
use crate::instance::peers::{JobLookup, OwnerClient};
use crate::instance::shared::Shared;
use crate::instance::submissions::CANCEL_KEY_SUFFIX;
use crate::platform::job_format;
use bytes::Bytes;
use rocket::data::ToByteUnit;
use rocket::http::Method;
use rocket::request::Request;
use rocket::route::{Handler, Outcome, Route};
use rocket::{Build, Data, Rocket};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest request body, as limited by the platform.
const MAX_BODY_BYTES: u64 = 262_144;
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

/// Creates the server for callers.
pub fn caller_server(shared: &Arc<Shared>) -> Rocket<Build> {
    let api = Arc::new(CallerApi { shared: shared.clone(), owner: OwnerClient::default() });
    let methods = [Method::Get, Method::Post, Method::Delete, Method::Put];
    let routes: Vec<Route> =
        methods.iter().map(|m| Route::new(*m, "/<_..>", CallerHandler(api.clone()))).collect();
    http_server::base(shared.cfg.callers_addr).mount("/", routes)
}

/// Creates the server for readiness probes and metrics.
pub fn status_server(shared: &Arc<Shared>, addr: SocketAddr) -> Rocket<Build> {
    let ready =
        Route::new(Method::Get, job_format::READINESS_PATH, StatusHandler::Ready(shared.clone()));
    let metrics = Route::new(Method::Get, "/metrics", StatusHandler::Metrics(shared.clone()));
    http_server::base(addr).mount("/", [ready, metrics])
}

#[derive(Clone)]
enum StatusHandler {
    Ready(Arc<Shared>),
    Metrics(Arc<Shared>),
}

#[rocket::async_trait]
impl Handler for StatusHandler {
    async fn handle<'r>(&self, _: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let reply = match self {
            StatusHandler::Ready(shared) if is_ready(shared) => Reply::text(200, "ready\n"),
            StatusHandler::Ready(_) => Reply::text(status::UNAVAILABLE, "not ready\n"),
            StatusHandler::Metrics(shared) => {
                shared.metrics.set_ready(is_ready(shared));
                let age = shared.view_age().unwrap_or_default();
                shared.metrics.set_view(age, shared.active_config().declarations.version);
                match shared.metrics.encode() {
                    Ok(text) => Reply::text(200, text),
                    Err(e) => Reply::text(500, e.to_string()),
                }
            }
        };
        Outcome::Success(reply.into_response())
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

#[derive(Clone)]
struct CallerHandler(Arc<CallerApi>);

#[rocket::async_trait]
impl Handler for CallerHandler {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let started = Instant::now();
        let api = &self.0;
        let path = req.uri().path().to_string();
        let reply = match api.handle_call(req, &path, data, started).await {
            Ok(reply) => reply,
            Err(rejection) => {
                api.log_rejection(&path, &rejection, started);
                rejection.into_reply()
            }
        };
        Outcome::Success(reply.into_response())
    }
}

impl CallerApi {
    async fn handle_call(
        &self,
        req: &Request<'_>,
        path: &str,
        data: Data<'_>,
        started: Instant,
    ) -> Result<Reply, Rejection> {
        let active_config = self.shared.active_config();
        let declared = &active_config.declarations;
        if declared.version == 0 {
            return Err(Rejection::new(status::UNAVAILABLE, "no declarations yet"));
        }
        let host = req.host().map(|h| h.domain().as_str().to_string()).unwrap_or_default();
        let queue = declared.queue_for_request(&host, path);
        let queue = queue.ok_or(Rejection::new(status::NOT_FOUND, "no such queue"))?;
        let team = self.authorize(req, queue)?;
        let id = &path[queue.path_prefix.len()..];
        let method = req.method();
        if id.is_empty() && method == Method::Get {
            return self.pending_jobs(queue).await;
        }
        if !job_format::is_job_id(id) {
            return Err(Rejection::new(status::NOT_FOUND, "no job id"));
        }
        match method {
            Method::Post => {
                let body = read_body(data).await?;
                let deadline =
                    job_format::parse_deadline(req.headers().get_one(job_format::DEADLINE_HEADER));
                self.submit_job(queue, team, id, &body, deadline, started).await
            }
            Method::Get => self.job_state(id).await,
            Method::Delete => self.cancel_job(id).await,
            _ => Err(Rejection::new(status::METHOD_NOT_ALLOWED, "no such method")),
        }
    }

    /// Returns the team of the call's key. Rejects a call without a valid key unless the queue is
    /// open.
    fn authorize(&self, req: &Request<'_>, queue: &Queue) -> Result<Option<TeamId>, Rejection> {
        let active_config = self.shared.active_config();
        let key = req.headers().get_one(job_format::KEY_HEADER);
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
        body: &[u8],
        deadline: Option<Duration>,
        started: Instant,
    ) -> Result<Reply, Rejection> {
        let malformed = Rejection::new(status::BAD_REQUEST, "the job cannot be read");
        if job_format::parse_job(body).is_err() {
            return Err(malformed);
        }
        let taken_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let Ok(record) = job_format::encode_stored_job(queue, team.as_ref(), body, taken_at) else {
            return Err(malformed);
        };
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

async fn read_body(data: Data<'_>) -> Result<Vec<u8>, Rejection> {
    let truncated = |_| Rejection::new(status::BAD_REQUEST, "the body was cut");
    let body = data.open(MAX_BODY_BYTES.bytes()).into_bytes().await.map_err(truncated)?;
    if !body.is_complete() {
        return Err(Rejection::new(status::TOO_LARGE, "the body is too long"));
    }
    Ok(body.into_inner())
}
