//! HTTP routes that submit, list, query and cancel jobs, and that issue request ids.

use crate::answer::Reply;
use crate::body;
use crate::call::{self, CallHeaders};
use crate::entry::Entry;
use crate::ids::*;
use crate::issued_ids::claim_id;
use crate::kind::{Kind, Ran, Refusal};
use crate::node::{AdmittedCall, Call, ProposalStatus};
use crate::record::{Class, JobEnding, JobSpec, MAX_JOB_PAYLOAD_LEN, Record};
use crate::state::{Job, JobState, RejectReason, State};
use bytes::Bytes;
use rand::RngExt;
use rocket::data::Data;
use rocket::http::Method;
use rocket::request::{FromRequest, Outcome, Request};
use rocket::{Route, delete, get, post, routes};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// How long a submit or cancel waits until its record is read back from the log.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// The platform counts as unreachable when it has not responded for this long. A long poll waits
/// 1 s, and its response may take another second.
pub const PLATFORM_LOST_AFTER: Duration = Duration::from_millis(2_500);
/// Maximum number of jobs in a `JobList`.
const MAX_LISTED_JOBS: usize = 1_000;
/// Maximum number of request ids issued by one request.
const MAX_IDS_PER_REQUEST: usize = 1_000;
/// Number of request ids issued if the query has no `n`.
const DEFAULT_ID_COUNT: usize = 1;

/// Returns the routes of this module.
pub fn routes() -> Vec<Route> {
    routes![submit, list, status, result, cancel, issue_ids]
}

/// A job as shown to callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobView {
    pub job: JobId,
    pub team: TeamId,
    pub service: ServiceId,
    pub class: Class,
    /// `pending`, `running`, `done`, `failed`, `cannot_run`, `cancelled` or `unknown`.
    pub state: String,
    /// Number of starts so far.
    pub attempt: Attempt,
    /// Upstream that runs the job.
    pub upstream: Option<InstanceId>,
    /// Entry instance that holds the job while it runs.
    pub holder: Option<EntryId>,
    /// Reason of a failure.
    pub message: Option<String>,
    /// Whether a cancellation was requested.
    pub cancel: bool,
    pub submitted_at: Offset,
    /// Age in milliseconds of the view from which this was read.
    pub view_age_ms: u64,
}

/// Response to `GET /v1/jobs`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobList {
    /// Newest first, at most `MAX_LISTED_JOBS`.
    pub jobs: Vec<JobView>,
    /// Number of jobs left out.
    pub more: usize,
}

/// Response to `POST /v1/ids`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct IssuedIds {
    pub ids: Vec<String>,
}

/// Request guard with the entry instance and the caller's parsed headers.
struct Caller<'r> {
    entry: &'r Arc<Entry>,
    headers: Result<CallHeaders, Refusal>,
    body_length: Result<u64, Refusal>,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Caller<'r> {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> Outcome<Caller<'r>, ()> {
        let Some(entry) = Entry::of(req) else {
            return Outcome::Error((rocket::http::Status::ServiceUnavailable, ()));
        };
        let size = call::check_size(req, entry.settings.header_bytes as usize);
        let headers = size.and_then(|()| CallHeaders::read(req.headers()));
        Outcome::Success(Caller { entry, headers, body_length: call::body_length(req) })
    }
}

fn into_reply(answer: Result<Reply, Refusal>) -> Reply {
    answer.unwrap_or_else(Reply::from)
}

#[post("/v1/jobs?<service>&<declared_ms>", data = "<data>")]
async fn submit(
    caller: Caller<'_>,
    service: Option<&str>,
    declared_ms: Option<&str>,
    data: Data<'_>,
) -> Reply {
    into_reply(try_submit(caller, service, declared_ms, data).await)
}

async fn try_submit(
    caller: Caller<'_>,
    service: Option<&str>,
    declared_ms: Option<&str>,
    data: Data<'_>,
) -> Result<Reply, Refusal> {
    let entry = caller.entry;
    let _in_flight = entry.admit()?;
    let (headers, length) = (caller.headers?, caller.body_length?);
    let service = service.ok_or_else(|| bad_request("the query needs service=NAME"))?;
    let declared_ms = declared_ms.map(parse_declared).transpose()?.unwrap_or(0);
    let call = headers.into_call(service.into(), Method::Post);
    let admitted = entry.node.lock().check_call(entry.now(), &call)?;
    let payload = read_payload(entry, data, length, admitted.deadline).await?;
    require_platform(entry)?;
    let spec = spec(&call, &admitted, declared_ms, payload);
    let job = spec.job.clone();
    let ticket = entry.propose(Record::JobSubmit { spec });
    let offset = wait_for_offset(entry, ticket, &job).await?;
    let view = view(entry, &job).ok_or_else(|| Refusal::new(Kind::NotFound))?;
    let status = if view.submitted_at == offset { 201 } else { 200 };
    Ok(Reply::json(status, &view))
}

fn parse_declared(text: &str) -> Result<u64, Refusal> {
    call::parse_digits(text).ok_or_else(|| bad_request("declared_ms: allowed: whole milliseconds"))
}

fn bad_request(message: &str) -> Refusal {
    Refusal::new(Kind::BadRequest).with_message(message)
}

async fn read_payload(
    entry: &Entry,
    data: Data<'_>,
    length: u64,
    deadline: Time,
) -> Result<Bytes, Refusal> {
    let read = body::read(data, length, MAX_JOB_PAYLOAD_LEN as u64);
    let body = tokio::time::timeout_at(entry.instant(deadline), read).await;
    let body = body.map_err(|_| bad_request("the body did not arrive before the deadline"))??;
    Ok(body.buffered)
}

fn require_platform(entry: &Entry) -> Result<(), Refusal> {
    if entry.time_since_platform_answer() > PLATFORM_LOST_AFTER {
        return Err(Refusal::new(Kind::LogUnavailable));
    }
    Ok(())
}

fn spec(call: &Call, admitted: &AdmittedCall, declared_ms: u64, payload: Bytes) -> JobSpec {
    JobSpec {
        job: job_id(&admitted.team, call.request_id.as_deref()),
        team: admitted.team.clone(),
        service: call.service.clone(),
        class: admitted.class,
        idempotent: call.idempotent,
        declared_ms,
        deadline_ms: call.deadline.map_or(0, |d| d.as_millis() as u64),
        payload,
    }
}

/// Derives the job id from the request id, so that a repeated submit names the same job.
fn job_id(team: &TeamId, request_id: Option<&str>) -> JobId {
    let number = match request_id {
        Some(id) => claim_id(team, id),
        None => rand::rng().random(),
    };
    format!("j{number:032x}").into()
}

/// Waits until a proposed job record is decided; returns the offset of the accepted record.
async fn wait_for_offset(entry: &Entry, ticket: u64, job: &JobId) -> Result<Offset, Refusal> {
    match entry.wait_for_proposal(ticket, entry.now() + PROPOSAL_TIMEOUT).await {
        ProposalStatus::Applied(offset) => Ok(offset),
        ProposalStatus::Rejected(_, reject) => Err(refusal_for(&reject)),
        ProposalStatus::Pending if entry.node.lock().withdraw(ticket) => {
            Err(Refusal::new(Kind::LogUnavailable))
        }
        ProposalStatus::Pending | ProposalStatus::Unknown => {
            let message =
                format!("the record of job {job} was sent to the log; ask for its status");
            Err(Refusal::new(Kind::FateUnknown).with_message(message))
        }
    }
}

fn refusal_for(reject: &RejectReason) -> Refusal {
    let kind = match reject {
        RejectReason::BacklogFull | RejectReason::QueueFull => Kind::QueueFull,
        RejectReason::AtLimit { .. } => Kind::LimitReached,
        RejectReason::TooLarge { .. } => Kind::TooLarge,
        RejectReason::NotFound { .. } => Kind::NotFound,
        RejectReason::WriterNotLive => Kind::LogUnavailable,
        _ => Kind::Conflict,
    };
    Refusal::new(kind).with_message(reject.to_string())
}

/// A job in the view of this entry instance.
fn view(entry: &Entry, id: &JobId) -> Option<JobView> {
    let node = entry.node.lock();
    let age = node.view_age(entry.now());
    node.state().jobs.get(id).map(|job| job_view(node.state(), id, job, age))
}

fn job_view(state: &State, id: &JobId, job: &Job, age: Duration) -> JobView {
    let holder_id = match &job.state {
        JobState::Running { holder, .. } => state.holders.get(holder).map(|h| h.id.clone()),
        JobState::Pending | JobState::Ended { .. } => None,
    };
    let (name, upstream, message) = match &job.state {
        JobState::Pending => ("pending", None, None),
        JobState::Running { upstream, .. } => ("running", Some(upstream.clone()), None),
        JobState::Ended { ending, .. } => match ending {
            JobEnding::Done(_) => ("done", None, None),
            JobEnding::Failed(message) => ("failed", None, Some(message.clone())),
            JobEnding::CannotRun(message) => ("cannot_run", None, Some(message.clone())),
            JobEnding::Cancelled => ("cancelled", None, None),
            JobEnding::Unknown => ("unknown", None, None),
        },
    };
    JobView {
        job: id.clone(),
        team: job.spec.team.clone(),
        service: job.spec.service.clone(),
        class: job.spec.class,
        state: name.to_string(),
        attempt: job.attempt,
        upstream,
        holder: holder_id,
        message,
        cancel: job.cancel,
        submitted_at: job.submitted_at,
        view_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    }
}

/// The jobs that a caller may see.
enum Scope {
    Team(TeamId),
    /// The caller sent no key: only jobs of open services.
    Open,
}

impl Scope {
    fn of(caller: &Caller<'_>) -> Result<Scope, Refusal> {
        let headers = caller.headers.as_ref().map_err(Clone::clone)?;
        let node = caller.entry.node.lock();
        if !node.has_view() {
            return Err(Refusal::new(Kind::NoView));
        }
        let Some(key) = &headers.key else { return Ok(Scope::Open) };
        let team = node.team_of_key(key);
        team.map(Scope::Team).ok_or_else(|| Refusal::new(Kind::KeyUnknown))
    }

    fn includes(&self, entry: &Entry, job: &JobView) -> bool {
        match self {
            Scope::Team(team) => *team == job.team,
            Scope::Open => {
                let node = entry.node.lock();
                let service = node.state().config.services.get(&job.service);
                service.is_some_and(|service| service.open_to.as_ref() == Some(&job.team))
            }
        }
    }
}

/// Returns a job that the caller may see. A job of another team is reported as not found.
fn visible(caller: &Caller<'_>, id: &str) -> Result<JobView, Refusal> {
    let scope = Scope::of(caller)?;
    let missing = || Refusal::new(Kind::NotFound).with_message("no such job of this team");
    let view = view(caller.entry, &id.into()).ok_or_else(missing)?;
    if scope.includes(caller.entry, &view) { Ok(view) } else { Err(missing()) }
}

#[get("/v1/jobs")]
fn list(caller: Caller<'_>) -> Reply {
    into_reply(try_list(caller))
}

fn try_list(caller: Caller<'_>) -> Result<Reply, Refusal> {
    let scope = Scope::of(&caller)?;
    let all: Vec<JobView> = {
        let node = caller.entry.node.lock();
        let age = node.view_age(caller.entry.now());
        node.state().jobs.iter().map(|(id, job)| job_view(node.state(), id, job, age)).collect()
    };
    let mut jobs: Vec<JobView> =
        all.into_iter().filter(|job| scope.includes(caller.entry, job)).collect();
    jobs.sort_by_key(|job| std::cmp::Reverse(job.submitted_at));
    let more = jobs.len().saturating_sub(MAX_LISTED_JOBS);
    jobs.truncate(MAX_LISTED_JOBS);
    Ok(Reply::json(200, &JobList { jobs, more }))
}

#[get("/v1/jobs/<id>")]
fn status(caller: Caller<'_>, id: &str) -> Reply {
    into_reply(visible(&caller, id).map(|view| Reply::json(200, &view)))
}

#[get("/v1/jobs/<id>/result")]
fn result(caller: Caller<'_>, id: &str) -> Reply {
    into_reply(try_result(caller, id))
}

fn try_result(caller: Caller<'_>, id: &str) -> Result<Reply, Refusal> {
    let view = visible(&caller, id)?;
    let ending = {
        let node = caller.entry.node.lock();
        match node.state().jobs.get(&view.job).map(|job| &job.state) {
            Some(JobState::Ended { ending, .. }) => ending.clone(),
            _ => return Ok(Reply::json(202, &view)),
        }
    };
    match ending {
        JobEnding::Done(result) => Ok(Reply::bytes(200, result)),
        JobEnding::Failed(message) | JobEnding::CannotRun(message) => {
            Err(Refusal::new(Kind::JobCannotRun).with_message(message))
        }
        JobEnding::Cancelled => Err(Refusal::new(Kind::Cancelled).with_ran(cancelled_ran(&view))),
        JobEnding::Unknown => Err(Refusal::new(Kind::UpstreamLost)),
    }
}

/// Whether a cancelled job ran: if it was started before, it may have run in part.
fn cancelled_ran(view: &JobView) -> Ran {
    if view.attempt == 0 { Ran::NotRun } else { Ran::Unknown }
}

#[delete("/v1/jobs/<id>")]
async fn cancel(caller: Caller<'_>, id: &str) -> Reply {
    into_reply(try_cancel(caller, id).await)
}

async fn try_cancel(caller: Caller<'_>, id: &str) -> Result<Reply, Refusal> {
    let entry = caller.entry;
    let _in_flight = entry.admit()?;
    let job = visible(&caller, id)?;
    require_platform(entry)?;
    // All cancels of a job use the same operation id, so that a repeated cancel has no effect.
    let op = format!("cancel-{}", job.job).into();
    let record = Record::JobCancel { op, job: job.job.clone(), team: job.team.clone() };
    let ticket = entry.propose(record);
    wait_for_offset(entry, ticket, &job.job).await?;
    let view = view(entry, &job.job).ok_or_else(|| Refusal::new(Kind::NotFound))?;
    let status = if view.state == "running" { 202 } else { 200 };
    Ok(Reply::json(status, &view))
}

#[post("/v1/ids?<n>")]
fn issue_ids(caller: Caller<'_>, n: Option<&str>) -> Reply {
    into_reply(try_issue(caller, n))
}

fn try_issue(caller: Caller<'_>, n: Option<&str>) -> Result<Reply, Refusal> {
    Scope::of(&caller)?;
    let count = match n {
        None => Some(DEFAULT_ID_COUNT),
        Some(text) => call::parse_digits(text).and_then(|n| usize::try_from(n).ok()),
    };
    let count = count.filter(|n| (1..=MAX_IDS_PER_REQUEST).contains(n));
    let count =
        count.ok_or_else(|| bad_request(&format!("n: allowed: 1 to {MAX_IDS_PER_REQUEST}")))?;
    let ids = caller.entry.node.lock().issue_ids(count);
    Ok(Reply::json(200, &IssuedIds { ids }))
}
