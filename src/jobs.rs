//! Routes for jobs: submit, status, result, list, cancel; and for request ids.

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

/// How long a submit or cancel waits for its record to be read back.
const FATE_WAIT: Duration = Duration::from_secs(5);
/// A platform that has not answered for this long counts as away: a long poll waits 1 s, and its
/// answer may take as long again.
pub const PLATFORM_LOST_AFTER: Duration = Duration::from_millis(2_500);
/// Most jobs in one answer to a list.
const MAX_LISTED: usize = 1_000;
/// Most request ids issued at once.
const MAX_IDS: usize = 1_000;
/// Request ids issued without `n`.
const DEFAULT_IDS: usize = 1;

/// The routes.
pub fn routes() -> Vec<Route> {
    routes![submit, list, status, result, cancel, issue_ids]
}

/// What a caller sees of a job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobView {
    pub job: JobId,
    pub team: TeamId,
    pub service: ServiceId,
    pub class: Class,
    /// `pending`, `running`, `done`, `failed`, `cannot_run`, `cancelled` or `unknown`.
    pub state: String,
    /// Starts so far.
    pub attempt: Attempt,
    /// Where it runs.
    pub upstream: Option<InstanceId>,
    /// Entry instance that looks after it while it runs.
    pub holder: Option<EntryId>,
    /// Why it failed.
    pub message: Option<String>,
    /// Whether its caller wants it to stop.
    pub cancel: bool,
    pub submitted_at: Offset,
    /// Age of the view that this is read from, in milliseconds.
    pub view_age_ms: u64,
}

/// Answer to `GET /v1/jobs`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobList {
    /// Newest first.
    pub jobs: Vec<JobView>,
    /// Jobs that are not shown.
    pub more: usize,
}

/// Answer to `POST /v1/ids`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct IssuedIds {
    pub ids: Vec<String>,
}

/// The entry instance and the caller's headers.
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

fn reply(answer: Result<Reply, Refusal>) -> Reply {
    answer.unwrap_or_else(Reply::from)
}

#[post("/v1/jobs?<service>&<declared_ms>", data = "<data>")]
async fn submit(
    caller: Caller<'_>,
    service: Option<&str>,
    declared_ms: Option<&str>,
    data: Data<'_>,
) -> Reply {
    reply(try_submit(caller, service, declared_ms, data).await)
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
    let service = service.ok_or_else(|| malformed("the query needs service=NAME"))?;
    let declared_ms = declared_ms.map(parse_declared).transpose()?.unwrap_or(0);
    let call = headers.into_call(service.into(), Method::Post);
    let allowed = entry.node.lock().check_call(entry.now(), &call)?;
    let payload = read_payload(entry, data, length, allowed.deadline).await?;
    require_log(entry)?;
    let spec = spec(&call, &allowed, declared_ms, payload);
    let job = spec.job.clone();
    let ticket = entry.propose(Record::JobSubmit { spec });
    let offset = settle(entry, ticket, &job).await?;
    let view = view(entry, &job).ok_or_else(|| Refusal::new(Kind::NotFound))?;
    let status = if view.submitted_at == offset { 201 } else { 200 };
    Ok(Reply::json(status, &view))
}

fn parse_declared(text: &str) -> Result<u64, Refusal> {
    call::parse_digits(text).ok_or_else(|| malformed("declared_ms: allowed: whole milliseconds"))
}

fn malformed(message: &str) -> Refusal {
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
    let body = body.map_err(|_| malformed("the body did not arrive before the deadline"))??;
    Ok(body.buffered)
}

fn require_log(entry: &Entry) -> Result<(), Refusal> {
    if entry.time_since_platform_answer() > PLATFORM_LOST_AFTER {
        return Err(Refusal::new(Kind::LogUnavailable));
    }
    Ok(())
}

fn spec(call: &Call, allowed: &AdmittedCall, declared_ms: u64, payload: Bytes) -> JobSpec {
    JobSpec {
        job: job_id(&allowed.team, call.request_id.as_deref()),
        team: allowed.team.clone(),
        service: call.service.clone(),
        class: allowed.class,
        idempotent: call.idempotent,
        declared_ms,
        deadline_ms: call.deadline.map_or(0, |d| d.as_millis() as u64),
        payload,
    }
}

/// A submit that is repeated with the same request id names the same job.
fn job_id(team: &TeamId, request_id: Option<&str>) -> JobId {
    let number = match request_id {
        Some(id) => claim_id(team, id),
        None => rand::rng().random(),
    };
    format!("j{number:032x}").into()
}

/// Waits for the fate of a record about a job; answers its offset.
async fn settle(entry: &Entry, ticket: u64, job: &JobId) -> Result<Offset, Refusal> {
    match entry.wait_for_proposal(ticket, entry.now() + FATE_WAIT).await {
        ProposalStatus::Applied(offset) => Ok(offset),
        ProposalStatus::Rejected(_, reject) => Err(rejected(&reject)),
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

fn rejected(reject: &RejectReason) -> Refusal {
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

/// What a job looks like by this instance's view.
fn view(entry: &Entry, id: &JobId) -> Option<JobView> {
    let node = entry.node.lock();
    let age = node.view_age(entry.now());
    node.state().jobs.get(id).map(|job| job_view(node.state(), id, job, age))
}

fn job_view(state: &State, id: &JobId, job: &Job, age: Duration) -> JobView {
    let held_by = match &job.state {
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
        holder: held_by,
        message,
        cancel: job.cancel,
        submitted_at: job.submitted_at,
        view_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Whose jobs a caller may see.
enum Scope {
    Team(TeamId),
    /// No key: jobs of open queues.
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

    fn sees(&self, entry: &Entry, job: &JobView) -> bool {
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

/// A job that the caller may see. One of another team is answered as if there were none.
fn visible(caller: &Caller<'_>, id: &str) -> Result<JobView, Refusal> {
    let scope = Scope::of(caller)?;
    let missing = || Refusal::new(Kind::NotFound).with_message("no such job of this team");
    let view = view(caller.entry, &id.into()).ok_or_else(missing)?;
    if scope.sees(caller.entry, &view) { Ok(view) } else { Err(missing()) }
}

#[get("/v1/jobs")]
fn list(caller: Caller<'_>) -> Reply {
    reply(try_list(caller))
}

fn try_list(caller: Caller<'_>) -> Result<Reply, Refusal> {
    let scope = Scope::of(&caller)?;
    let all: Vec<JobView> = {
        let node = caller.entry.node.lock();
        let age = node.view_age(caller.entry.now());
        node.state().jobs.iter().map(|(id, job)| job_view(node.state(), id, job, age)).collect()
    };
    let mut jobs: Vec<JobView> =
        all.into_iter().filter(|job| scope.sees(caller.entry, job)).collect();
    jobs.sort_by_key(|job| std::cmp::Reverse(job.submitted_at));
    let more = jobs.len().saturating_sub(MAX_LISTED);
    jobs.truncate(MAX_LISTED);
    Ok(Reply::json(200, &JobList { jobs, more }))
}

#[get("/v1/jobs/<id>")]
fn status(caller: Caller<'_>, id: &str) -> Reply {
    reply(visible(&caller, id).map(|view| Reply::json(200, &view)))
}

#[get("/v1/jobs/<id>/result")]
fn result(caller: Caller<'_>, id: &str) -> Reply {
    reply(try_result(caller, id))
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

/// A job that was started before it was cancelled may have run in part.
fn cancelled_ran(view: &JobView) -> Ran {
    if view.attempt == 0 { Ran::NotRun } else { Ran::Unknown }
}

#[delete("/v1/jobs/<id>")]
async fn cancel(caller: Caller<'_>, id: &str) -> Reply {
    reply(try_cancel(caller, id).await)
}

async fn try_cancel(caller: Caller<'_>, id: &str) -> Result<Reply, Refusal> {
    let entry = caller.entry;
    let _in_flight = entry.admit()?;
    let seen = visible(&caller, id)?;
    require_log(entry)?;
    // The same command id for each cancel of a job: a repeat changes nothing.
    let op = format!("cancel-{}", seen.job).into();
    let record = Record::JobCancel { op, job: seen.job.clone(), team: seen.team.clone() };
    let ticket = entry.propose(record);
    settle(entry, ticket, &seen.job).await?;
    let view = view(entry, &seen.job).ok_or_else(|| Refusal::new(Kind::NotFound))?;
    let status = if view.state == "running" { 202 } else { 200 };
    Ok(Reply::json(status, &view))
}

#[post("/v1/ids?<n>")]
fn issue_ids(caller: Caller<'_>, n: Option<&str>) -> Reply {
    reply(try_issue(caller, n))
}

fn try_issue(caller: Caller<'_>, n: Option<&str>) -> Result<Reply, Refusal> {
    Scope::of(&caller)?;
    let count = match n {
        None => Some(DEFAULT_IDS),
        Some(text) => call::parse_digits(text).and_then(|n| usize::try_from(n).ok()),
    };
    let count = count.filter(|n| (1..=MAX_IDS).contains(n));
    let count = count.ok_or_else(|| malformed(&format!("n: allowed: 1 to {MAX_IDS}")))?;
    let ids = caller.entry.node.lock().issue_ids(count);
    Ok(Reply::json(200, &IssuedIds { ids }))
}
