//! Handles `ANY /s/<service>/<path>`: forwards a caller's request to an upstream of the service and
//! relays the response.

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

/// Path prefix of all services.
const PREFIX: &str = "/s/";

/// Returns one route per HTTP method.
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
    let admitted = entry.node.lock().check_call(entry.now(), &call)?;
    request_metrics.admitted(&admitted);
    let head = RequestHead { method: method(req)?, path, headers: headers(req)? };
    let body = read_body(entry, req, data, admitted.deadline).await?;
    let request_id_guard = request_id_guard::acquire(entry, &call, &admitted).await?;
    let (permit, slot_guard) =
        dispatch::acquire_slot(entry, work_request(&call, &admitted)).await?;
    request_metrics.started();
    let request_metrics = request_metrics.clone();
    let caller = CallerSocket { local_port: entry.http_port, remote: req.remote() };
    let proxied_request = ProxiedRequest {
        entry: entry.clone(),
        service: call.service.clone(),
        admitted: AdmittedCall { deadline: permit.until, ..admitted },
        head,
        caller,
        active_request: ActiveRequest {
            entry: entry.clone(),
            slot_guard,
            request_id_guard,
            request_metrics,
            earlier_may_run: false,
            _in_flight: in_flight,
        },
        attempts: Attempts::new(call.idempotent),
        idempotent: call.idempotent,
        attempts_started: 0,
        excluded: Vec::new(),
    };
    proxied_request.run(permit, body).await
}

fn work_request(call: &Call, admitted: &AdmittedCall) -> WorkRequest {
    WorkRequest {
        service: call.service.clone(),
        team: admitted.team.clone(),
        class: admitted.class,
        deadline: admitted.deadline,
        declared: Duration::ZERO,
        counted_by: CountedBy::Unit,
    }
}

/// Splits the request URI into the service and the path, with its query, to request at the
/// upstream.
fn split_path(req: &Request<'_>) -> Result<(ServiceId, String), Refusal> {
    let path = req.uri().path().as_str();
    let rest = path.strip_prefix(PREFIX).ok_or_else(|| Refusal::new(Kind::NotFound))?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if has_dot_segment(path) {
        // A URL library would resolve the segment, and the upstream would see a different path than
        // the caller sent.
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

/// Method, path and headers to send to an upstream.
struct RequestHead {
    method: reqwest::Method,
    path: String,
    headers: HeaderMap,
}

/// Slot, request id and metrics held for a request until its response has been relayed.
struct ActiveRequest {
    entry: Arc<Entry>,
    slot_guard: SlotGuard,
    request_id_guard: RequestIdGuard,
    request_metrics: RequestMetrics,
    /// Whether an earlier attempt ended without a response and may still run until the deadline.
    earlier_may_run: bool,
    _in_flight: InFlightGuard,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if self.request_id_guard.ran == Ran::NotRun {
            self.slot_guard.work_ended = true;
        }
    }
}

impl ActiveRequest {
    /// Records that the response was received in full.
    fn record_complete(mut self, upstream: &InstanceId, failed: bool) {
        let outcome = AttemptOutcome::Answered { failed };
        self.entry.health.lock().on_attempt(self.entry.now(), upstream, outcome);
        self.slot_guard.failed = failed;
        self.slot_guard.work_ended = !self.earlier_may_run;
        self.request_id_guard.ran = Ran::Ran;
        self.request_metrics.ended(None);
    }

    /// Records that the response was cut off. The upstream may keep working until the deadline.
    fn record_broken(mut self, upstream: &InstanceId) {
        let now = self.entry.now();
        self.entry.health.lock().on_attempt(now, upstream, AttemptOutcome::LostInBody);
        self.request_id_guard.ran = Ran::Unknown;
    }
}

/// A request being forwarded, with the state of its attempts.
struct ProxiedRequest {
    entry: Arc<Entry>,
    service: ServiceId,
    /// The deadline is capped at the end of the lease.
    admitted: AdmittedCall,
    head: RequestHead,
    caller: CallerSocket,
    active_request: ActiveRequest,
    attempts: Attempts,
    idempotent: bool,
    attempts_started: u32,
    /// Upstreams not to be tried again for this request.
    excluded: Vec<InstanceId>,
}

/// A future that sends the rest of the caller's body to an upstream.
type Upload<'r> = BoxFuture<'r, Result<(), Refusal>>;

/// An upstream and the result of an attempt there.
type AttemptResult = (ListedInstance, Result<AttemptResponse, AttemptFailure>);

/// Result of an attempt, with its upstream and what is left of the caller's body.
enum BodyAttempt<'r> {
    /// The head of a response, and the rest of the caller's body if it is still being sent.
    Answer(ListedInstance, AttemptResponse, Option<Upload<'r>>),
    /// No response. The body is still complete, so another upstream can be tried.
    Retryable(ListedInstance, AttemptFailure, Box<CallerBody<'r>>),
    /// No response, and part of the body has been consumed.
    Lost(ListedInstance, AttemptFailure, Option<Refusal>),
}

impl ProxiedRequest {
    async fn run<'r>(
        mut self,
        permit: StartPermit,
        mut body: CallerBody<'r>,
    ) -> Result<Response<'r>, Refusal> {
        self.entry.retry.lock().on_request(&self.service);
        let mut upstream = permit.upstream;
        loop {
            self.check_start(&upstream)?;
            let (failed_upstream, failure, retry_body) = match self.attempt(&upstream, body).await {
                BodyAttempt::Answer(by, answer, upload) => {
                    return self.answer(by, answer, upload).await;
                }
                BodyAttempt::Retryable(failed_upstream, failure, body) => {
                    (failed_upstream, failure, Ok(*body))
                }
                BodyAttempt::Lost(failed_upstream, failure, refusal) => {
                    (failed_upstream, failure, Err(refusal))
                }
            };
            self.record_failure(&failed_upstream, &failure);
            body = match retry_body {
                Ok(body) => body,
                Err(refusal) => return Err(self.final_refusal(failure, refusal)),
            };
            upstream = self.next_upstream(failure).await?;
        }
    }

    /// Checks right before sending that the request may still be started.
    fn check_start(&self, upstream: &ListedInstance) -> Result<(), Refusal> {
        let now = self.entry.now();
        let result = self.entry.node.lock().may_start(now, &self.admitted, upstream);
        result.map_err(|refusal| self.with_earlier_attempts(refusal))
    }

    /// Marks the refusal as possibly run if an earlier attempt may have run.
    fn with_earlier_attempts(&self, refusal: Refusal) -> Refusal {
        if self.active_request.request_id_guard.ran == Ran::NotRun {
            refusal
        } else {
            refusal.with_ran(Ran::Unknown)
        }
    }

    async fn attempt<'r>(
        &mut self,
        upstream: &ListedInstance,
        body: CallerBody<'r>,
    ) -> BodyAttempt<'r> {
        self.excluded.push(upstream.id.clone());
        match body.rest {
            None => {
                let (upstream, answer) = self.attempt_whole(upstream, &body.buffered).await;
                match answer {
                    Ok(answer) => BodyAttempt::Answer(upstream, answer, None),
                    Err(failure) => BodyAttempt::Retryable(upstream, failure, Box::new(body)),
                }
            }
            Some(rest) => {
                let (body_sender, chunks) = body::body_channel(body.buffered.clone());
                let stream = RequestBody::Stream { chunks, length: Some(rest.length) };
                let (attempt, silence) = self.send(upstream, stream);
                // On silence, the watcher retires the connections so that other requests avoid
                // them. This attempt still waits until its deadline.
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

    /// Returns an attempt, and a future that resolves once its connection is found to be silent.
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

    /// Attempts a request whose body is buffered. For an idempotent request, starts a further
    /// attempt when the current one's connection is silent. The first response wins; the other
    /// upstreams may keep working.
    async fn attempt_whole(&mut self, upstream: &ListedInstance, body: &Bytes) -> AttemptResult {
        let mut attempts = FuturesUnordered::new();
        let mut silence = self.start_attempt(&attempts, upstream, body);
        loop {
            tokio::select! {
                biased;
                Some((by, answer)) = attempts.next() => {
                    if answer.is_ok() || attempts.is_empty() {
                        return (by, answer);
                    }
                }
                scope = &mut silence => {
                    silence = match self.hedge(scope) {
                        Some(other) => self.start_attempt(&attempts, &other, body),
                        None => Box::pin(std::future::pending()),
                    };
                }
            }
        }
    }

    /// Starts an attempt. The returned future resolves once its connection is found to be silent.
    fn start_attempt(
        &mut self,
        attempts: &FuturesUnordered<BoxFuture<'static, AttemptResult>>,
        upstream: &ListedInstance,
        body: &Bytes,
    ) -> BoxFuture<'static, SilenceScope> {
        self.attempts_started += 1;
        let (attempt, silence) = self.send(upstream, RequestBody::Full(body.clone()));
        let by = upstream.clone();
        attempts.push(Box::pin(async move { (by, attempt.await) }));
        Box::pin(silence)
    }

    /// Picks an upstream for a hedged attempt next to a silent one, if the request and the retry
    /// budget allow it.
    fn hedge(&mut self, scope: SilenceScope) -> Option<ListedInstance> {
        let may_hedge = self.idempotent && self.attempts_started < MAX_ATTEMPTS;
        if !may_hedge || !self.entry.retry.lock().try_spend(&self.service) {
            return None;
        }
        if scope == SilenceScope::Connections {
            // Only the connections are silent, so the upstream itself may be tried again.
            self.excluded.pop();
        }
        let other = self.active_request.slot_guard.reassign(&self.excluded)?;
        self.check_start(&other).ok()?;
        self.excluded.push(other.id.clone());
        self.active_request.earlier_may_run = true;
        self.active_request.request_id_guard.ran = Ran::Unknown;
        Some(other)
    }

    fn request(&self, upstream: &ListedInstance, body: RequestBody) -> AttemptRequest {
        let now = self.entry.now();
        let clock = self.entry.clocks.get(now, &upstream.id);
        let start_by = self.admitted.deadline.min(now + START_WINDOW);
        AttemptRequest {
            method: self.head.method.clone(),
            path: self.head.path.clone(),
            headers: self.head.headers.clone(),
            body,
            start_by_ms: clock.map(|clock| clock.lower_bound_at(start_by)),
            deadline_ms: clock.map(|clock| clock.lower_bound_at(self.admitted.deadline)),
            timeout: self.admitted.deadline.saturating_sub(now),
        }
    }

    fn record_failure(&mut self, upstream: &ListedInstance, failure: &AttemptFailure) {
        let now = self.entry.now();
        apply_status_headers(&self.entry, upstream, failure.status_headers);
        if failure.cause == FailureCause::Upstream || failure.cause == FailureCause::Mismatch {
            self.entry.health.lock().on_attempt(now, &upstream.id, failure.outcome);
        }
        if failure.cause == FailureCause::Mismatch {
            self.entry.health.lock().retire(now, &upstream.id);
        }
        if may_have_run(failure.outcome) {
            self.active_request.request_id_guard.ran = Ran::Unknown;
            self.active_request.earlier_may_run = true;
        }
    }

    /// Picks the upstream for a retry after a failed attempt, or returns the refusal.
    async fn next_upstream(&mut self, failure: AttemptFailure) -> Result<ListedInstance, Refusal> {
        if failure.cause == FailureCause::Reserved {
            let message = "the path is reserved for the platform";
            return Err(Refusal::new(Kind::NotFound).with_message(message));
        }
        let decision = {
            let mut retry = self.entry.retry.lock();
            retry.on_attempt_end(&self.service, &mut self.attempts, failure.outcome)
        };
        match decision {
            RetryDecision::Refuse(refusal) => Err(refusal),
            RetryDecision::PassThrough => {
                Err(self.with_earlier_attempts(refusal_for(failure.outcome)))
            }
            RetryDecision::RetryAfter(pause) => {
                tokio::time::sleep(pause).await;
                self.entry.metrics.record_retry(&self.service);
                let reassigned = self.active_request.slot_guard.reassign(&self.excluded);
                reassigned.ok_or_else(|| self.with_earlier_attempts(refusal_for(failure.outcome)))
            }
        }
    }

    fn final_refusal(&self, failure: AttemptFailure, refusal: Option<Refusal>) -> Refusal {
        let refusal = refusal.unwrap_or_else(|| refusal_for(failure.outcome));
        self.with_earlier_attempts(refusal)
    }

    async fn answer<'r>(
        mut self,
        upstream: ListedInstance,
        answer: AttemptResponse,
        upload: Option<Upload<'r>>,
    ) -> Result<Response<'r>, Refusal> {
        self.active_request.request_id_guard.ran = Ran::Unknown;
        apply_status_headers(&self.entry, &upstream, answer.status_headers);
        let until = self.entry.instant(self.admitted.deadline);
        let remaining = until.saturating_duration_since(tokio::time::Instant::now());
        let failed = answer.status.is_server_error();
        let (head, mut body) = response_body::split(answer, remaining);
        let buffered = match &upload {
            None => response_body::buffer_start(&head, &mut body).await,
            Some(_) => Ok(BufferedStart { data: Bytes::new(), complete: false }),
        };
        let active_request = self.active_request;
        match buffered {
            Ok(buffered) if buffered.complete => {
                active_request.record_complete(&upstream.id, failed);
                Ok(response_body::buffered_response(&head, buffered.data))
            }
            Ok(buffered) => {
                let streaming = StreamingGuard::new(&self.entry, self.caller.remote);
                let on_end = Box::new(move |outcome| {
                    drop(streaming);
                    match outcome {
                        BodyEnd::Complete => active_request.record_complete(&upstream.id, failed),
                        BodyEnd::Broken => {
                            active_request.request_metrics.response_truncated(&upstream.id);
                            active_request.record_broken(&upstream.id);
                        }
                    }
                });
                let caller = self.caller;
                let streamed = response_body::StreamedResponse {
                    held: buffered.data,
                    body,
                    until,
                    upload,
                    caller,
                    on_end,
                };
                Ok(response_body::streamed_response(&head, streamed))
            }
            Err(_) => {
                active_request.record_broken(&upstream.id);
                Err(Refusal::new(Kind::UpstreamLost))
            }
        }
    }
}

/// Runs an attempt while streaming the caller's body to it.
async fn feed_attempt<'r>(
    upstream: ListedInstance,
    attempt: impl Future<Output = Result<AttemptResponse, AttemptFailure>> + Send,
    body_sender: BodySender,
    buffered: Bytes,
    rest: Box<BodyRest<'r>>,
) -> BodyAttempt<'r> {
    tokio::pin!(attempt);
    tokio::select! {
        biased;
        answer = &mut attempt => return match answer {
            Ok(answer) => BodyAttempt::Answer(upstream, answer, None),
            Err(failure) => {
                let body = CallerBody { buffered, rest: Some(rest) };
                BodyAttempt::Retryable(upstream, failure, Box::new(body))
            },
        },
        () = body_sender.first_chunk_taken() => {}
    }
    let mut upload: Upload<'r> = Box::pin(body_sender.send_rest(rest));
    let upload_result = tokio::select! {
        answer = &mut attempt => return match answer {
            Ok(answer) => BodyAttempt::Answer(upstream, answer, Some(upload)),
            Err(failure) => BodyAttempt::Lost(upstream, failure, None),
        },
        upload_result = &mut upload => upload_result,
    };
    match attempt.await {
        Ok(answer) => BodyAttempt::Answer(upstream, answer, None),
        Err(failure) => BodyAttempt::Lost(upstream, failure, upload_result.err()),
    }
}

fn target(entry: &Entry, upstream: &ListedInstance) -> Target {
    let generation = entry.health.lock().generation(&upstream.id);
    Target { id: upstream.id.clone(), addr: upstream.addr.clone(), generation }
}

/// Applies the drain state and the load that an upstream reports in its response headers.
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

/// Returns the refusal for a failed attempt that is not retried.
fn refusal_for(outcome: AttemptOutcome) -> Refusal {
    match outcome {
        AttemptOutcome::NotRun => Refusal::new(Kind::UpstreamBusy),
        AttemptOutcome::ConnectFailed => Refusal::new(Kind::NoUpstream),
        AttemptOutcome::TimedOut => Refusal::new(Kind::DeadlinePassed),
        AttemptOutcome::Answered { .. }
        | AttemptOutcome::LostBeforeHead
        | AttemptOutcome::LostInBody => Refusal::new(Kind::UpstreamLost),
    }
}
