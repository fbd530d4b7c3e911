//! `ANY /s/<service>/<path>`: passes a caller's request to an upstream of the service and the answer
//! back.

use crate::answer::{NEXT_ID_HEADER, Reply};
use crate::body::{self, BodyRest, BodySender, CallerBody};
use crate::call::{self, CallHeaders};
use crate::caller_connections::StreamingGuard;
use crate::dispatch::{self, CountedBy, SlotGuard, StartPermit, WorkRequest};
use crate::entry::{Entry, InFlightGuard};
use crate::health::AttemptOutcome;
use crate::ids::*;
use crate::kind::{Kind, Ran, Refusal};
use crate::node::{AdmittedCall, Call, START_WINDOW};
use crate::protocol::ListedInstance;
use crate::request_id_guard::{self, RequestIdGuard};
use crate::request_metrics::RequestMetrics;
use crate::response_body::{self, BodyEnd, BufferedStart, CallerSocket};
use crate::retry::{Attempts, MAX_ATTEMPTS, RetryDecision, may_have_run};
use crate::silence::{self, SilenceScope};
use crate::upstream::{
    AttemptFailure, AttemptRequest, AttemptResponse, FailureCause, RequestBody, Target,
};
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use rocket::http::{Header, Method};
use rocket::route::{Handler, Outcome, Route};
use rocket::{Data, Request, Response};
use std::sync::Arc;
use std::time::Duration;

/// Path under which the services are.
const PREFIX: &str = "/s/";

/// The routes of all methods.
pub fn routes() -> Vec<Route> {
    use Method::*;
    let methods = [Get, Head, Put, Post, Delete, Options, Patch];
    methods.into_iter().map(|m| Route::new(m, "/s/<service>/<path..>", Proxy)).collect()
}

#[derive(Clone)]
struct Proxy;

#[rocket::async_trait]
impl Handler for Proxy {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Some(entry) = Entry::of(req) else {
            return Outcome::Success(Reply::from(Refusal::new(Kind::NoView)).into_response());
        };
        let mut request_metrics = RequestMetrics::new(entry);
        let answer = forward(entry, req, data, &mut request_metrics).await;
        let mut response = answer.unwrap_or_else(|refusal| {
            request_metrics.ended(Some(refusal.kind));
            Reply::from(refusal).into_response()
        });
        if let Some(id) = entry.node.lock().issue_ids(1).pop() {
            response.set_header(Header::new(NEXT_ID_HEADER, id));
        }
        Outcome::Success(response)
    }
}

async fn forward<'r>(
    entry: &Arc<Entry>,
    req: &'r Request<'_>,
    data: Data<'r>,
    request_metrics: &mut RequestMetrics,
) -> Result<Response<'r>, Refusal> {
    let in_flight = entry.admit()?;
    call::check_size(req, entry.settings.header_bytes as usize)?;
    let (service, path) = split_path(req)?;
    let call = CallHeaders::read(req.headers())?.into_call(service, req.method());
    let allowed = entry.node.lock().check_call(entry.now(), &call)?;
    request_metrics.admitted(&allowed);
    let head = Head { method: method(req)?, path, headers: headers(req)? };
    let body = read_body(entry, req, data, allowed.deadline).await?;
    let request_id_guard = request_id_guard::acquire(entry, &call, &allowed).await?;
    let (permit, slot_guard) = dispatch::acquire_slot(entry, work_request(&call, &allowed)).await?;
    request_metrics.started();
    let request_metrics = request_metrics.clone();
    let caller = CallerSocket { local_port: entry.http_port, remote: req.remote() };
    let exchange = Exchange {
        entry: entry.clone(),
        service: call.service.clone(),
        allowed: AdmittedCall { deadline: permit.until, ..allowed },
        head,
        caller,
        running: Running {
            entry: entry.clone(),
            slot_guard,
            request_id_guard,
            request_metrics,
            lost: false,
            _in_flight: in_flight,
        },
        attempts: Attempts::new(call.idempotent),
        idempotent: call.idempotent,
        launched: 0,
        tried: Vec::new(),
    };
    exchange.run(permit, body).await
}

fn work_request(call: &Call, allowed: &AdmittedCall) -> WorkRequest {
    WorkRequest {
        service: call.service.clone(),
        team: allowed.team.clone(),
        class: allowed.class,
        deadline: allowed.deadline,
        declared: Duration::ZERO,
        counted_by: CountedBy::Unit,
    }
}

/// Service and path at the upstream, with the query.
fn split_path(req: &Request<'_>) -> Result<(ServiceId, String), Refusal> {
    let path = req.uri().path().as_str();
    let rest = path.strip_prefix(PREFIX).ok_or_else(|| Refusal::new(Kind::NotFound))?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if has_dot_segment(path) {
        // A URL library would resolve it, so that the upstream sees another path than was sent.
        let message = "the path holds a segment '.' or '..'";
        return Err(Refusal::new(Kind::BadRequest).with_message(message));
    }
    let query = req.uri().query().map(|q| format!("?{q}")).unwrap_or_default();
    Ok((service.into(), format!("/{path}{query}")))
}

fn has_dot_segment(path: &str) -> bool {
    let dots = |segment: &str| {
        let plain = segment.replace("%2e", ".").replace("%2E", ".");
        plain == "." || plain == ".."
    };
    path.split('/').any(dots)
}

fn method(req: &Request<'_>) -> Result<reqwest::Method, Refusal> {
    let name = req.method().as_str();
    reqwest::Method::from_bytes(name.as_bytes()).map_err(|_| Refusal::new(Kind::BadRequest))
}

fn headers(req: &Request<'_>) -> Result<HeaderMap, Refusal> {
    let mut headers = HeaderMap::new();
    for header in req.headers().iter() {
        let name = HeaderName::from_bytes(header.name.as_str().as_bytes());
        let value = HeaderValue::from_str(&header.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            let message = format!("header {} has bytes that are not allowed", header.name);
            return Err(Refusal::new(Kind::BadRequest).with_message(message));
        };
        headers.append(name, value);
    }
    Ok(headers)
}

async fn read_body<'r>(
    entry: &Entry,
    req: &Request<'_>,
    data: Data<'r>,
    deadline: Time,
) -> Result<CallerBody<'r>, Refusal> {
    let length = call::body_length(req)?;
    let read = body::read(data, length, entry.settings.body_bytes);
    match tokio::time::timeout_at(entry.instant(deadline), read).await {
        Ok(body) => body,
        Err(_) => {
            let message = "the body did not arrive before the deadline";
            Err(Refusal::new(Kind::BadRequest).with_message(message))
        }
    }
}

/// What is sent to an upstream besides the body.
struct Head {
    method: reqwest::Method,
    path: String,
    headers: HeaderMap,
}

/// What a request holds until its answer has been passed on.
struct Running {
    entry: Arc<Entry>,
    slot_guard: SlotGuard,
    request_id_guard: RequestIdGuard,
    request_metrics: RequestMetrics,
    /// Whether an attempt ended without an answer and may still run until the deadline.
    lost: bool,
    _in_flight: InFlightGuard,
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.request_id_guard.ran == Ran::NotRun {
            self.slot_guard.work_ended = true;
        }
    }
}

impl Running {
    /// Takes note of a complete answer.
    fn complete(mut self, upstream: &InstanceId, failed: bool) {
        let end = AttemptOutcome::Answered { failed };
        self.entry.health.lock().on_attempt(self.entry.now(), upstream, end);
        self.slot_guard.failed = failed;
        self.slot_guard.work_ended = !self.lost;
        self.request_id_guard.ran = Ran::Ran;
        self.request_metrics.ended(None);
    }

    /// Takes note of an answer that broke off; its work may go on until the deadline.
    fn broken(mut self, upstream: &InstanceId) {
        let now = self.entry.now();
        self.entry.health.lock().on_attempt(now, upstream, AttemptOutcome::LostInBody);
        self.request_id_guard.ran = Ran::Unknown;
    }
}

/// One request on its way through attempts.
struct Exchange {
    entry: Arc<Entry>,
    service: ServiceId,
    /// With the deadline cut to the lease.
    allowed: AdmittedCall,
    head: Head,
    caller: CallerSocket,
    running: Running,
    attempts: Attempts,
    idempotent: bool,
    launched: u32,
    /// Upstreams that get no further attempt.
    tried: Vec<InstanceId>,
}

/// The rest of a caller's body on its way to an upstream.
type Upload<'r> = BoxFuture<'r, Result<(), Refusal>>;

/// An upstream and how the attempt there ended.
type Ended = (ListedInstance, Result<AttemptResponse, AttemptFailure>);

/// What an attempt with a body left behind, and the upstream that it concerns.
enum Tried<'r> {
    /// The head of an answer, and the rest of the caller's body while it is still coming.
    Answer(ListedInstance, AttemptResponse, Option<Upload<'r>>),
    /// No answer; the body can be sent again.
    Again(ListedInstance, AttemptFailure, Box<CallerBody<'r>>),
    /// No answer, and a part of the body is gone.
    Lost(ListedInstance, AttemptFailure, Option<Refusal>),
}

impl Exchange {
    async fn run<'r>(
        mut self,
        permit: StartPermit,
        mut body: CallerBody<'r>,
    ) -> Result<Response<'r>, Refusal> {
        self.entry.retry.lock().on_request(&self.service);
        let mut upstream = permit.upstream;
        loop {
            self.check_start(&upstream)?;
            let (tried, failure, again) = match self.attempt(&upstream, body).await {
                Tried::Answer(by, answer, upload) => return self.answer(by, answer, upload).await,
                Tried::Again(tried, failure, body) => (tried, failure, Ok(*body)),
                Tried::Lost(tried, failure, refusal) => (tried, failure, Err(refusal)),
            };
            self.note_failure(&tried, &failure);
            body = match again {
                Ok(body) => body,
                Err(refusal) => return Err(self.give_up(failure, refusal)),
            };
            upstream = self.next_upstream(failure).await?;
        }
    }

    /// The last check before the write.
    fn check_start(&self, upstream: &ListedInstance) -> Result<(), Refusal> {
        let now = self.entry.now();
        let checked = self.entry.node.lock().may_start(now, &self.allowed, upstream);
        checked.map_err(|refusal| self.with_earlier_tries(refusal))
    }

    /// A refusal is "not run" only if no earlier attempt may have run.
    fn with_earlier_tries(&self, refusal: Refusal) -> Refusal {
        if self.running.request_id_guard.ran == Ran::NotRun {
            refusal
        } else {
            refusal.with_ran(Ran::Unknown)
        }
    }

    async fn attempt<'r>(&mut self, upstream: &ListedInstance, body: CallerBody<'r>) -> Tried<'r> {
        self.tried.push(upstream.id.clone());
        match body.rest {
            None => {
                let (upstream, answer) = self.attempt_whole(upstream, &body.buffered).await;
                match answer {
                    Ok(answer) => Tried::Answer(upstream, answer, None),
                    Err(failure) => Tried::Again(upstream, failure, Box::new(body)),
                }
            }
            Some(rest) => {
                let (body_sender, chunks) = body::body_channel(body.buffered.clone());
                let stream = RequestBody::Stream { chunks, length: Some(rest.length) };
                let (attempt, silence) = self.send(upstream, stream);
                // Retires the connections for others; this attempt goes on to its deadline.
                let attempt = async move {
                    tokio::pin!(attempt);
                    tokio::select! {
                        answer = &mut attempt => answer,
                        _ = silence => attempt.await,
                    }
                };
                feed_attempt(upstream.clone(), attempt, body_sender, body.buffered, rest).await
            }
        }
    }

    /// An attempt, and a future that resolves when its connection has proved silent.
    fn send(
        &self,
        upstream: &ListedInstance,
        body: RequestBody,
    ) -> (
        impl Future<Output = Result<AttemptResponse, AttemptFailure>> + Send + use<>,
        impl Future<Output = SilenceScope> + Send + use<>,
    ) {
        let entry = self.entry.clone();
        let target = target(&entry, upstream);
        let silence = silence::watch(entry.clone(), upstream.clone(), target.generation);
        let request = self.request(upstream, body);
        (async move { entry.upstreams.attempt(&target, request).await }, silence)
    }

    /// One attempt with a whole body, and for idempotent requests further ones beside it when its
    /// connection is silent. The first answer wins; the work of the others may go on.
    async fn attempt_whole(&mut self, upstream: &ListedInstance, body: &Bytes) -> Ended {
        let mut attempts = FuturesUnordered::new();
        let mut silence = self.launch(&attempts, upstream, body);
        loop {
            tokio::select! {
                biased;
                Some((by, answer)) = attempts.next() => {
                    if answer.is_ok() || attempts.is_empty() {
                        return (by, answer);
                    }
                }
                silent = &mut silence => {
                    silence = match self.hedge(silent) {
                        Some(other) => self.launch(&attempts, &other, body),
                        None => Box::pin(std::future::pending()),
                    };
                }
            }
        }
    }

    /// Starts an attempt; the answer resolves when its connection has proved silent.
    fn launch(
        &mut self,
        attempts: &FuturesUnordered<BoxFuture<'static, Ended>>,
        upstream: &ListedInstance,
        body: &Bytes,
    ) -> BoxFuture<'static, SilenceScope> {
        self.launched += 1;
        let (attempt, silence) = self.send(upstream, RequestBody::Full(body.clone()));
        let by = upstream.clone();
        attempts.push(Box::pin(async move { (by, attempt.await) }));
        Box::pin(silence)
    }

    /// An upstream for an attempt beside a silent one, if the request allows it.
    fn hedge(&mut self, silent: SilenceScope) -> Option<ListedInstance> {
        let allowed = self.idempotent && self.launched < MAX_ATTEMPTS;
        if !allowed || !self.entry.retry.lock().try_spend(&self.service) {
            return None;
        }
        if silent == SilenceScope::Connections {
            // The upstream itself works and may be tried again.
            self.tried.pop();
        }
        let other = self.running.slot_guard.reassign(&self.tried)?;
        self.check_start(&other).ok()?;
        self.tried.push(other.id.clone());
        self.running.lost = true;
        self.running.request_id_guard.ran = Ran::Unknown;
        Some(other)
    }

    fn request(&self, upstream: &ListedInstance, body: RequestBody) -> AttemptRequest {
        let now = self.entry.now();
        let clock = self.entry.clocks.get(now, &upstream.id);
        let start_by = self.allowed.deadline.min(now + START_WINDOW);
        AttemptRequest {
            method: self.head.method.clone(),
            path: self.head.path.clone(),
            headers: self.head.headers.clone(),
            body,
            start_by_ms: clock.map(|clock| clock.lower_bound_at(start_by)),
            deadline_ms: clock.map(|clock| clock.lower_bound_at(self.allowed.deadline)),
            timeout: self.allowed.deadline.saturating_sub(now),
        }
    }

    fn note_failure(&mut self, upstream: &ListedInstance, failure: &AttemptFailure) {
        let now = self.entry.now();
        apply_status_headers(&self.entry, upstream, failure.status_headers);
        if failure.cause == FailureCause::Upstream || failure.cause == FailureCause::Mismatch {
            self.entry.health.lock().on_attempt(now, &upstream.id, failure.outcome);
        }
        if failure.cause == FailureCause::Mismatch {
            self.entry.health.lock().retire(now, &upstream.id);
        }
        if may_have_run(failure.outcome) {
            self.running.request_id_guard.ran = Ran::Unknown;
            self.running.lost = true;
        }
    }

    /// Another upstream after a failed attempt, or the refusal.
    async fn next_upstream(&mut self, failure: AttemptFailure) -> Result<ListedInstance, Refusal> {
        if failure.cause == FailureCause::Reserved {
            let message = "the path is reserved for the platform";
            return Err(Refusal::new(Kind::NotFound).with_message(message));
        }
        let step = {
            let mut retry = self.entry.retry.lock();
            retry.on_attempt_end(&self.service, &mut self.attempts, failure.outcome)
        };
        match step {
            RetryDecision::Refuse(refusal) => Err(refusal),
            RetryDecision::PassThrough => {
                Err(self.with_earlier_tries(refusal_for(failure.outcome)))
            }
            RetryDecision::RetryAfter(pause) => {
                tokio::time::sleep(pause).await;
                self.entry.metrics.record_retry(&self.service);
                let placed = self.running.slot_guard.reassign(&self.tried);
                placed.ok_or_else(|| self.with_earlier_tries(refusal_for(failure.outcome)))
            }
        }
    }

    fn give_up(&self, failure: AttemptFailure, refusal: Option<Refusal>) -> Refusal {
        let refusal = refusal.unwrap_or_else(|| refusal_for(failure.outcome));
        self.with_earlier_tries(refusal)
    }

    async fn answer<'r>(
        mut self,
        upstream: ListedInstance,
        answer: AttemptResponse,
        upload: Option<Upload<'r>>,
    ) -> Result<Response<'r>, Refusal> {
        self.running.request_id_guard.ran = Ran::Unknown;
        apply_status_headers(&self.entry, &upstream, answer.status_headers);
        let until = self.entry.instant(self.allowed.deadline);
        let left = until.saturating_duration_since(tokio::time::Instant::now());
        let failed = answer.status.is_server_error();
        let (head, mut body) = response_body::split(answer, left);
        let held = match &upload {
            None => response_body::buffer_start(&head, &mut body).await,
            Some(_) => Ok(BufferedStart { data: Bytes::new(), complete: false }),
        };
        let running = self.running;
        match held {
            Ok(held) if held.complete => {
                running.complete(&upstream.id, failed);
                Ok(response_body::buffered_response(&head, held.data))
            }
            Ok(held) => {
                let streaming = StreamingGuard::new(&self.entry, self.caller.remote);
                let on_end = Box::new(move |end| {
                    drop(streaming);
                    match end {
                        BodyEnd::Complete => running.complete(&upstream.id, failed),
                        BodyEnd::Broken => {
                            running.request_metrics.response_truncated(&upstream.id);
                            running.broken(&upstream.id);
                        }
                    }
                });
                let caller = self.caller;
                let streamed = response_body::StreamedResponse {
                    held: held.data,
                    body,
                    until,
                    upload,
                    caller,
                    on_end,
                };
                Ok(response_body::streamed_response(&head, streamed))
            }
            Err(_) => {
                running.broken(&upstream.id);
                Err(Refusal::new(Kind::UpstreamLost))
            }
        }
    }
}

/// Runs an attempt while the caller's body is fed to it.
async fn feed_attempt<'r>(
    upstream: ListedInstance,
    attempt: impl Future<Output = Result<AttemptResponse, AttemptFailure>> + Send,
    body_sender: BodySender,
    buffered: Bytes,
    rest: Box<BodyRest<'r>>,
) -> Tried<'r> {
    tokio::pin!(attempt);
    tokio::select! {
        biased;
        answer = &mut attempt => return match answer {
            Ok(answer) => Tried::Answer(upstream, answer, None),
            Err(failure) => {
                let body = CallerBody { buffered, rest: Some(rest) };
                Tried::Again(upstream, failure, Box::new(body))
            },
        },
        () = body_sender.first_chunk_taken() => {}
    }
    let mut upload: Upload<'r> = Box::pin(body_sender.send_rest(rest));
    let fed = tokio::select! {
        answer = &mut attempt => return match answer {
            Ok(answer) => Tried::Answer(upstream, answer, Some(upload)),
            Err(failure) => Tried::Lost(upstream, failure, None),
        },
        fed = &mut upload => fed,
    };
    match attempt.await {
        Ok(answer) => Tried::Answer(upstream, answer, None),
        Err(failure) => Tried::Lost(upstream, failure, fed.err()),
    }
}

fn target(entry: &Entry, upstream: &ListedInstance) -> Target {
    let generation = entry.health.lock().generation(&upstream.id);
    Target { id: upstream.id.clone(), addr: upstream.addr.clone(), generation }
}

/// Takes in what an upstream says about itself with an answer.
fn apply_status_headers(
    entry: &Entry,
    upstream: &ListedInstance,
    status_headers: crate::upstream::StatusHeaders,
) {
    let now = entry.now();
    if status_headers.draining {
        entry.node.lock().on_draining(&upstream.id, true);
        entry.clocks.probe_soon(&upstream.id);
        dispatch::refresh_upstreams(entry);
    }
    if let Some(load) = status_headers.load {
        entry.dispatcher.lock().sched.on_load(now, &upstream.id, load);
    }
}

/// The refusal for an attempt after which no other upstream can be tried.
fn refusal_for(end: AttemptOutcome) -> Refusal {
    match end {
        AttemptOutcome::NotRun => Refusal::new(Kind::UpstreamBusy),
        AttemptOutcome::ConnectFailed => Refusal::new(Kind::NoUpstream),
        AttemptOutcome::TimedOut => Refusal::new(Kind::DeadlinePassed),
        AttemptOutcome::Answered { .. }
        | AttemptOutcome::LostBeforeHead
        | AttemptOutcome::LostInBody => Refusal::new(Kind::UpstreamLost),
    }
}
