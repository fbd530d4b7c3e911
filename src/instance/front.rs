//! Callers' calls about jobs, readiness and metrics.

use crate::answer::Reply;
use crate::batch::declarations::Queue;
use crate::batch::job::JobState;
use crate::event::Event;
use crate::http_server;
use crate::ids::TeamId;
use crate::instance::intake::Stored;
use crate::instance::peers::{JobView, OwnerClient};
use crate::instance::shared::Shared;
use crate::instance::term::CANCEL_SUFFIX;
use crate::platform::ingress;
use bytes::Bytes;
use rocket::data::ToByteUnit;
use rocket::http::Method;
use rocket::request::Request;
use rocket::route::{Handler, Outcome, Route};
use rocket::{Build, Data, Rocket};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Longest body; the platform's bound on bodies.
const MAX_BODY: u64 = 262_144;
/// When a caller whose job has not run comes back, in seconds: another instance may answer at once.
const RETRY_AFTER_SECS: &str = "1";
/// Time that callers wait who do not say; the platform's callers wait 3 s.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);
/// Part of a caller's time after which a store without an answer is given up.
const STORE_SHARE: f64 = 0.6;
/// Value of a cancellation; its key says everything.
const CANCELLED: &[u8] = b"1";
/// Statuses of calls that were not carried out.
mod status {
    pub const BAD_REQUEST: u16 = 400;
    pub const UNAUTHORIZED: u16 = 401;
    pub const NOT_FOUND: u16 = 404;
    pub const NOT_ALLOWED: u16 = 405;
    pub const GONE: u16 = 410;
    pub const TOO_LARGE: u16 = 413;
    pub const UNAVAILABLE: u16 = 503;
    pub const TIMEOUT: u16 = 504;
}

/// A call that is not carried out.
struct Refused {
    status: u16,
    reason: &'static str,
}

impl Refused {
    fn new(status: u16, reason: &'static str) -> Refused {
        Refused { status, reason }
    }

    fn into_reply(self) -> Reply {
        let reply = Reply::json(self.status, &serde_json::json!({ "error": self.reason }));
        match self.status {
            // The work has not run.
            status::UNAVAILABLE => reply.with_header("retry-after", RETRY_AFTER_SECS),
            _ => reply,
        }
    }
}

/// State of the servers.
struct Front {
    shared: Arc<Shared>,
    owner: OwnerClient,
}

/// The server for callers.
pub fn callers(shared: &Arc<Shared>) -> Rocket<Build> {
    let front = Arc::new(Front { shared: shared.clone(), owner: OwnerClient::default() });
    let methods = [Method::Get, Method::Post, Method::Delete, Method::Put];
    let routes: Vec<Route> =
        methods.iter().map(|m| Route::new(*m, "/<_..>", Callers(front.clone()))).collect();
    http_server::base(shared.cfg.callers).mount("/", routes)
}

/// The server for the load balancer and for metrics.
pub fn side(shared: &Arc<Shared>, addr: SocketAddr) -> Rocket<Build> {
    let ready = Route::new(Method::Get, ingress::READY_PATH, Side::Ready(shared.clone()));
    let metrics = Route::new(Method::Get, "/metrics", Side::Metrics(shared.clone()));
    http_server::base(addr).mount("/", [ready, metrics])
}

#[derive(Clone)]
enum Side {
    Ready(Arc<Shared>),
    Metrics(Arc<Shared>),
}

#[rocket::async_trait]
impl Handler for Side {
    async fn handle<'r>(&self, _: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let reply = match self {
            Side::Ready(shared) if is_ready(shared) => Reply::text(200, "ready\n"),
            Side::Ready(_) => Reply::text(status::UNAVAILABLE, "not ready\n"),
            Side::Metrics(shared) => {
                shared.metrics.set_ready(is_ready(shared));
                let age = shared.view_age().unwrap_or_default();
                shared.metrics.set_view(age, shared.active_config().declarations.version);
                match shared.metrics.text() {
                    Ok(text) => Reply::text(200, text),
                    Err(e) => Reply::text(500, e.to_string()),
                }
            }
        };
        Outcome::Success(reply.into_response())
    }
}

/// Whether new connections are welcome: there are declarations, and keys can be told from withdrawn
/// ones.
fn is_ready(shared: &Shared) -> bool {
    !shared.stopping.load(Ordering::Relaxed)
        && shared.active_config().declarations.version > 0
        && shared.keys_are_fresh()
        && shared.store_answers.load(Ordering::Relaxed)
}

#[derive(Clone)]
struct Callers(Arc<Front>);

#[rocket::async_trait]
impl Handler for Callers {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let started = Instant::now();
        let front = &self.0;
        let path = req.uri().path().to_string();
        let reply = match front.answer(req, &path, data, started).await {
            Ok(reply) => reply,
            Err(refused) => {
                front.log_refused(&path, &refused, started);
                refused.into_reply()
            }
        };
        Outcome::Success(reply.into_response())
    }
}

impl Front {
    async fn answer(
        &self,
        req: &Request<'_>,
        path: &str,
        data: Data<'_>,
        started: Instant,
    ) -> Result<Reply, Refused> {
        let active_config = self.shared.active_config();
        let declarations = &active_config.declarations;
        if declarations.version == 0 {
            return Err(Refused::new(status::UNAVAILABLE, "no declarations yet"));
        }
        let host = req.host().map(|h| h.domain().as_str().to_string()).unwrap_or_default();
        let queue = declarations.queue_for_request(&host, path);
        let queue = queue.ok_or(Refused::new(status::NOT_FOUND, "no such queue"))?;
        let team = self.team(req, queue)?;
        let id = &path[queue.path_prefix.len()..];
        let method = req.method();
        if id.is_empty() && method == Method::Get {
            return self.pending(queue).await;
        }
        if !ingress::is_job_id(id) {
            return Err(Refused::new(status::NOT_FOUND, "no job id"));
        }
        match method {
            Method::Post => {
                let body = read(data).await?;
                let deadline = ingress::deadline(req.headers().get_one(ingress::DEADLINE_HEADER));
                self.submit(queue, team, id, &body, deadline, started).await
            }
            Method::Get => self.state(id).await,
            Method::Delete => self.cancel(id).await,
            _ => Err(Refused::new(status::NOT_ALLOWED, "no such method")),
        }
    }

    /// The team of the call's key.
    fn team(&self, req: &Request<'_>, queue: &Queue) -> Result<Option<TeamId>, Refused> {
        let active_config = self.shared.active_config();
        let key = req.headers().get_one(ingress::KEY_HEADER);
        let team = key.and_then(|k| active_config.declarations.keys.get(k)).cloned();
        if queue.public {
            return Ok(team);
        }
        if !self.shared.keys_are_fresh() {
            return Err(Refused::new(status::UNAVAILABLE, "keys are not known to be in force"));
        }
        match team {
            Some(team) => Ok(Some(team)),
            None => Err(Refused::new(status::UNAUTHORIZED, "no key in force")),
        }
    }

    async fn submit(
        &self,
        queue: &Queue,
        team: Option<TeamId>,
        id: &str,
        body: &[u8],
        deadline: Option<Duration>,
        started: Instant,
    ) -> Result<Reply, Refused> {
        let malformed = Refused::new(status::BAD_REQUEST, "the job cannot be read");
        if ingress::job(body).is_err() {
            return Err(malformed);
        }
        let Ok(record) = ingress::stored_job(&queue.id, team.as_ref(), body) else {
            return Err(malformed);
        };
        let wait = deadline.unwrap_or(DEFAULT_DEADLINE).mul_f64(STORE_SHARE);
        self.store(id, record, started + wait).await?;
        // A key withdrawn in the meantime must not be answered well.
        if !queue.public && !self.shared.keys_are_fresh() {
            return Err(Refused::new(status::TIMEOUT, "keys are not known to be in force"));
        }
        self.shared.remember(id);
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

    /// Stores a record about a job.
    async fn store(&self, key: &str, value: Bytes, until: Instant) -> Result<(), Refused> {
        match self.shared.intake.store(key, value, until).await {
            Stored::Yes => Ok(()),
            Stored::No => Err(Refused::new(status::UNAVAILABLE, "the store takes nothing")),
            Stored::Unknown => Err(Refused::new(status::TIMEOUT, "the store does not answer")),
        }
    }

    async fn state(&self, id: &str) -> Result<Reply, Refused> {
        let state = match self.owner.job(&self.shared, id).await {
            JobView::Known(state) => state,
            JobView::Absent | JobView::Unsure if self.shared.is_recent(id) => JobState::Queued,
            JobView::Absent => return Err(Refused::new(status::GONE, "no such job")),
            JobView::Unsure => {
                return Err(Refused::new(status::UNAVAILABLE, "the owner cannot be asked"));
            }
        };
        Ok(json(ingress::state_body(state)))
    }

    async fn cancel(&self, id: &str) -> Result<Reply, Refused> {
        let view = self.owner.job(&self.shared, id).await;
        if view == JobView::Absent && !self.shared.is_recent(id) {
            return Err(Refused::new(status::GONE, "no such job"));
        }
        let key = format!("{id}{CANCEL_SUFFIX}");
        let until = Instant::now() + DEFAULT_DEADLINE.mul_f64(STORE_SHARE);
        self.store(&key, Bytes::from_static(CANCELLED), until).await?;
        self.shared
            .log
            .event(Event::BatchJobCancelled, &[("job", id.into()), ("status", 200u64.into())]);
        Ok(Reply::json(200, &serde_json::json!({})))
    }

    async fn pending(&self, queue: &Queue) -> Result<Reply, Refused> {
        match self.owner.pending(&self.shared, &queue.id).await {
            Some(pending) => Ok(json(ingress::pending_body(pending))),
            None => Err(Refused::new(status::UNAVAILABLE, "the owner cannot be asked")),
        }
    }

    fn log_refused(&self, path: &str, refused: &Refused, started: Instant) {
        let job = path.rsplit('/').next().unwrap_or("");
        let version = self.shared.active_config().declarations.version;
        let age = self.shared.view_age().unwrap_or_default().as_millis() as u64;
        let fields = [
            ("job", job.into()),
            ("status", u32::from(refused.status).into()),
            ("reason", refused.reason.into()),
            ("version", version.into()),
            ("view_age_ms", age.into()),
            ("took_ms", (started.elapsed().as_millis() as u64).into()),
        ];
        self.shared.log.event(Event::BatchCallRefused, &fields);
    }
}

fn json(body: String) -> Reply {
    Reply::bytes(200, body).with_header("content-type", "application/json")
}

async fn read(data: Data<'_>) -> Result<Vec<u8>, Refused> {
    let broken = |_| Refused::new(status::BAD_REQUEST, "the body was cut");
    let body = data.open(MAX_BODY.bytes()).into_bytes().await.map_err(broken)?;
    if !body.is_complete() {
        return Err(Refused::new(status::TOO_LARGE, "the body is too long"));
    }
    Ok(body.into_inner())
}
