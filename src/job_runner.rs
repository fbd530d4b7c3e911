//! Looks after jobs: claims pending ones, starts them at upstreams, watches them to their end, and
//! takes over those whose holder's lease was expired.

use crate::dispatch::{self, CountedBy, SlotGuard, WorkRequest};
use crate::entry::{Entry, Stage};
use crate::health::JobFailureAction;
use crate::ids::*;
use crate::node::{JobStart, Node, ProposalStatus, TaskObservation};
use crate::protocol::{ListedInstance, TaskRenew, TaskStart, TaskState};
use crate::record::{JobEnding, JobSpec, MAX_JOB_RESULT_LEN, Record};
use crate::state::JobState;
use crate::upstream::{Target, TaskError, TaskStartOutcome};
use parking_lot::Mutex;
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two looks for jobs to claim or adopt.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Jobs looked after at once; more wait in the log.
const MAX_TENDED: usize = 2_000;
/// A pending job that its preferred entry instance has not claimed for this long is claimed by any.
const PREFERENCE: Duration = Duration::from_secs(1);
/// Wait before a job is looked at again that could not be claimed or started.
const AGAIN_AFTER: Duration = Duration::from_millis(500);
/// Longest wait for the fate of a claim.
const FATE_WAIT: Duration = Duration::from_secs(10);
/// Lease of a task at its upstream. It outlasts a lost holder: its lease of 15 s is expired after
/// 17 s, and the adopter needs a few seconds more.
const TASK_LEASE: Duration = Duration::from_secs(60);
/// Least and longest time between two looks at a running task.
const WATCH_MIN: Duration = Duration::from_millis(50);
const WATCH_MAX: Duration = Duration::from_secs(5);
/// A job without a deadline may wait this long.
const NO_DEADLINE: Duration = Duration::from_secs(7 * 24 * 3_600);

/// The jobs that tasks of this entry instance look after.
#[derive(Default)]
pub struct JobTable {
    tended: Mutex<HashSet<JobId>>,
    /// When a pending job was first seen here.
    first_seen: Mutex<HashMap<JobId, Time>>,
    /// Upstreams on which a job failed, as seen here.
    failed: Mutex<HashMap<JobId, Vec<InstanceId>>>,
}

impl JobTable {
    /// An empty table.
    pub fn new() -> JobTable {
        JobTable::default()
    }

    fn record_failure(&self, job: &JobId, upstream: &InstanceId) {
        self.failed.lock().entry(job.clone()).or_default().push(upstream.clone());
    }

    fn failed_upstreams(&self, job: &JobId) -> Vec<InstanceId> {
        self.failed.lock().get(job).cloned().unwrap_or_default()
    }

    /// Number of jobs that are looked after.
    pub fn len(&self) -> usize {
        self.tended.lock().len()
    }

    /// Whether no job is looked after.
    pub fn is_empty(&self) -> bool {
        self.tended.lock().is_empty()
    }
}

/// Marks a job as looked after until it is dropped.
struct Tended {
    entry: Arc<Entry>,
    job: JobId,
}

impl Tended {
    fn begin(entry: &Arc<Entry>, job: &JobId) -> Option<Tended> {
        let mut tended = entry.jobs.tended.lock();
        let begun = tended.len() < MAX_TENDED && tended.insert(job.clone());
        begun.then(|| Tended { entry: entry.clone(), job: job.clone() })
    }
}

impl Drop for Tended {
    fn drop(&mut self) {
        self.entry.jobs.tended.lock().remove(&self.job);
    }
}

/// Finds jobs to look after for as long as the entry instance runs.
pub async fn run(entry: Arc<Entry>) {
    let mut applied = entry.subscribe_applied();
    loop {
        // A look is due after each fold, and for what depends on time.
        let _ = tokio::time::timeout(LOOK_INTERVAL, applied.changed()).await;
        if entry.stage() >= Stage::Refusing {
            sleep(LOOK_INTERVAL).await;
            continue;
        }
        look(&entry);
    }
}

fn look(entry: &Arc<Entry>) {
    let (pending, orphaned, own) = {
        let node = entry.node.lock();
        (node.pending_jobs(), node.orphaned_jobs(), node.held_jobs())
    };
    for job in due(entry, pending) {
        spawn(entry, &job, start);
    }
    for job in due(entry, orphaned) {
        spawn(entry, &job, adopt);
    }
    for job in own {
        spawn(entry, &job, resume);
    }
}

/// Jobs that are this instance's turn: it is preferred, or they have been seen for a while.
fn due(entry: &Entry, jobs: Vec<JobId>) -> Vec<JobId> {
    let now = entry.now();
    let live: Vec<Incarnation> = {
        let node = entry.node.lock();
        let holders = node.state().holders.iter();
        holders.filter(|(_, h)| !h.expired && !h.departing).map(|(id, _)| *id).collect()
    };
    let mut first_seen = entry.jobs.first_seen.lock();
    let open: HashSet<&JobId> = jobs.iter().collect();
    if first_seen.len() > 2 * open.len() + MAX_TENDED {
        first_seen.retain(|id, _| open.contains(id));
    }
    let mut is_due = |job: &JobId| {
        let seen = *first_seen.entry(job.clone()).or_insert(now);
        now.saturating_sub(seen) >= PREFERENCE || preferred(&live, job) == Some(entry.incarnation())
    };
    jobs.iter().filter(|job| is_due(job)).cloned().collect()
}

/// Rendezvous hashing: all instances agree on one per job without a message.
fn preferred(live: &[Incarnation], job: &JobId) -> Option<Incarnation> {
    let score = |id: &Incarnation| {
        let mut hasher = DefaultHasher::new();
        (id, job).hash(&mut hasher);
        hasher.finish()
    };
    live.iter().copied().max_by_key(score)
}

fn spawn<F>(entry: &Arc<Entry>, job: &JobId, work: impl FnOnce(Arc<Entry>, JobId) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let Some(tended) = Tended::begin(entry, job) else { return };
    let work = work(entry.clone(), job.clone());
    tokio::spawn(async move {
        work.await;
        drop(tended);
    });
}

/// Waits for a turn, claims the job and sees it through.
async fn start(entry: Arc<Entry>, job: JobId) {
    let Some((spec, attempt)) = pending_spec(&entry, &job) else { return };
    let work_request = work_request(&entry, &spec);
    let Ok((permit, mut slot_guard)) = dispatch::acquire_slot(&entry, work_request).await else {
        return sleep(AGAIN_AFTER).await;
    };
    let Some(upstream) = other_upstream(&entry, &job, permit.upstream, &slot_guard) else {
        slot_guard.work_ended = true;
        return sleep(AGAIN_AFTER).await;
    };
    let record =
        Record::JobClaim { job: job.clone(), attempt: attempt + 1, upstream: upstream.id.clone() };
    let ticket = entry.propose(record);
    let fate = entry.wait_for_proposal(ticket, entry.now() + FATE_WAIT).await;
    match fate {
        ProposalStatus::Applied(_) => {}
        ProposalStatus::Pending | ProposalStatus::Unknown => {
            // If the claim wins after all, `held_jobs` brings the job back.
            entry.node.lock().withdraw(ticket);
            return;
        }
        ProposalStatus::Rejected(..) => {
            slot_guard.work_ended = true;
            return sleep(AGAIN_AFTER).await;
        }
    }
    slot_guard.work_ended = true;
    run_claimed(&entry, &job, &spec, &upstream, &mut slot_guard).await;
}

/// An upstream on which the job has not failed yet, if there is one.
fn other_upstream(
    entry: &Entry,
    job: &JobId,
    first: ListedInstance,
    slot_guard: &SlotGuard,
) -> Option<ListedInstance> {
    let failed = entry.jobs.failed_upstreams(job);
    if failed.contains(&first.id) { slot_guard.reassign(&failed) } else { Some(first) }
}

fn pending_spec(entry: &Entry, job: &JobId) -> Option<(JobSpec, Attempt)> {
    let node = entry.node.lock();
    let known = node.state().jobs.get(job)?;
    (known.state == JobState::Pending).then(|| (known.spec.clone(), known.attempt))
}

fn work_request(entry: &Entry, spec: &JobSpec) -> WorkRequest {
    let allowed = match spec.deadline_ms {
        0 => NO_DEADLINE,
        ms => Duration::from_millis(ms),
    };
    WorkRequest {
        service: spec.service.clone(),
        team: spec.team.clone(),
        class: spec.class,
        deadline: entry.now() + allowed,
        declared: Duration::from_millis(spec.declared_ms),
        counted_by: CountedBy::ClaimRecord,
    }
}

/// Starts a claimed job at its upstream and watches it.
async fn run_claimed(
    entry: &Arc<Entry>,
    job: &JobId,
    spec: &JobSpec,
    upstream: &ListedInstance,
    slot_guard: &mut SlotGuard,
) {
    let checked = entry.node.lock().job_start(entry.now(), job);
    let start = match checked {
        Ok(start) => start,
        // Nothing was sent, so the job was surely not started in this attempt.
        Err(_) => return finish(entry, job, release(entry, job)).await,
    };
    let Some(clock) = entry.clocks.get(entry.now(), &upstream.id) else {
        return finish(entry, job, release(entry, job)).await;
    };
    let request = TaskStart {
        fence: start.fence,
        start_by_ms: clock.lower_bound_at(start.start_by),
        lease_ms: TASK_LEASE.as_millis() as u64,
        declared_ms: spec.declared_ms,
        payload: spec.payload.clone(),
    };
    let answer = entry.upstreams.start_task(&task_target(entry, upstream), job, &request).await;
    match answer {
        Ok(TaskStartOutcome::Started) => {}
        Ok(TaskStartOutcome::Known(TaskState::Running { .. })) => {}
        Ok(TaskStartOutcome::Known(state)) => return end(entry, job, upstream, state).await,
        Err(e) if e.had_no_effect() => {
            note_refusal(entry, upstream, &e);
            finish(entry, job, release(entry, job)).await;
            return sleep(AGAIN_AFTER).await;
        }
        Err(_) => {}
    }
    slot_guard.failed = !watch(entry, job, upstream, Some(&start)).await;
}

fn note_refusal(entry: &Entry, upstream: &ListedInstance, e: &TaskError) {
    if let TaskError::Refused { draining: true, .. } = e {
        entry.node.lock().on_draining(&upstream.id, true);
        entry.clocks.probe_soon(&upstream.id);
        dispatch::refresh_upstreams(entry);
    }
}

/// Takes over a job whose holder is gone.
async fn adopt(entry: Arc<Entry>, job: JobId) {
    let attempt = entry.node.lock().state().jobs.get(&job).map(|known| known.attempt);
    let Some(attempt) = attempt else { return };
    let ticket = entry.propose(Record::JobAdopt { job: job.clone(), attempt });
    match entry.wait_for_proposal(ticket, entry.now() + FATE_WAIT).await {
        ProposalStatus::Applied(_) => resume(entry, job).await,
        ProposalStatus::Rejected(..) => sleep(AGAIN_AFTER).await,
        ProposalStatus::Pending | ProposalStatus::Unknown => {
            entry.node.lock().withdraw(ticket);
        }
    }
}

/// Looks after one job that this instance holds, until its end.
async fn resume(entry: Arc<Entry>, job: JobId) {
    let Some((upstream, _)) = held(&entry, &job) else { return };
    match listed(&entry, &upstream) {
        Some(listed) => {
            watch(&entry, &job, &listed, None).await;
        }
        None if is_gone(&entry, &upstream) => resolve(&entry, &job, TaskObservation::Gone).await,
        None => sleep(AGAIN_AFTER).await,
    }
}

/// Upstream and fence of a job that this instance holds.
fn held(entry: &Entry, job: &JobId) -> Option<(InstanceId, Offset)> {
    let node = entry.node.lock();
    match &node.state().jobs.get(job)?.state {
        JobState::Running { holder, upstream, fence } if *holder == entry.incarnation() => {
            Some((upstream.clone(), *fence))
        }
        _ => None,
    }
}

fn listed(entry: &Entry, upstream: &InstanceId) -> Option<ListedInstance> {
    let list = entry.list.lock().clone();
    list.instances.iter().find(|l| l.id == *upstream).cloned()
}

/// Whether the log says that an instance is gone. The list alone may lag.
fn is_gone(entry: &Entry, upstream: &InstanceId) -> bool {
    let node = entry.node.lock();
    node.state().instances.get(upstream).is_none_or(|known| known.gone_at.is_some())
}

/// Watches a task to its end; true when it ended with a result. `start` is the start that this
/// instance sent.
async fn watch(
    entry: &Arc<Entry>,
    job: &JobId,
    upstream: &ListedInstance,
    start: Option<&JobStart>,
) -> bool {
    let mut pause = WATCH_MIN;
    loop {
        let Some((_, fence)) = held(entry, job) else { return false };
        let target = task_target(entry, upstream);
        let renew = TaskRenew { fence, lease_ms: TASK_LEASE.as_millis() as u64 };
        let answer = if is_cancelled(entry, job) {
            entry.upstreams.stop_task(&target, job, fence).await
        } else {
            entry.upstreams.renew_task(&target, job, &renew).await
        };
        match answer {
            Ok(TaskState::Running { .. }) => {}
            Ok(state) => {
                let done = matches!(state, TaskState::Done { .. });
                end(entry, job, upstream, state).await;
                return done;
            }
            Err(TaskError::NoSuchTask) => {
                if let Some(seen) = without_task(entry, job, upstream, start) {
                    resolve(entry, job, seen).await;
                    return false;
                }
            }
            Err(_) if is_gone(entry, &upstream.id) => {
                resolve(entry, job, TaskObservation::Gone).await;
                return false;
            }
            // Unreachable or refused by a higher fence: the log tells whose job it is.
            Err(_) => {}
        }
        sleep(pause).await;
        pause = (pause * 5 / 4).min(WATCH_MAX);
    }
}

fn is_cancelled(entry: &Entry, job: &JobId) -> bool {
    entry.node.lock().state().jobs.get(job).is_some_and(|known| known.cancel)
}

/// What it means that an upstream does not know the task; `None` while a start may be on its way.
fn without_task(
    entry: &Entry,
    job: &JobId,
    upstream: &ListedInstance,
    start: Option<&JobStart>,
) -> Option<TaskObservation> {
    if let Some(start) = start
        && entry.now() < Node::start_ruled_out_at(start)
    {
        return None;
    }
    let submitted = entry.node.lock().state().jobs.get(job).map(|known| known.submitted_at)?;
    if entry.clocks.was_running_at(&upstream.id, submitted) {
        return Some(TaskObservation::Unknown);
    }
    Some(TaskObservation::Gone)
}

/// Takes in how a task ended.
async fn end(entry: &Arc<Entry>, job: &JobId, upstream: &ListedInstance, state: TaskState) {
    let seen = match state {
        TaskState::Running { .. } => return,
        TaskState::Done { result } if result.len() > MAX_JOB_RESULT_LEN => {
            TaskObservation::Failed(format!("the result exceeds {MAX_JOB_RESULT_LEN} bytes"))
        }
        TaskState::Done { result } => {
            entry.health.lock().on_job_success(entry.now(), job, &upstream.id);
            entry.jobs.failed.lock().remove(job);
            TaskObservation::Done(result)
        }
        TaskState::Failed { message } => return failed(entry, job, upstream, message).await,
        TaskState::Stopped => TaskObservation::Stopped,
    };
    resolve(entry, job, seen).await;
}

/// A job that failed runs again elsewhere if it may, until it is known that it cannot run.
async fn failed(entry: &Arc<Entry>, job: &JobId, upstream: &ListedInstance, message: String) {
    let known = entry.node.lock().state().jobs.get(job).map(|j| (j.spec.idempotent, j.attempt));
    let Some((idempotent, attempt)) = known else { return };
    let verdict = entry.health.lock().on_job_failure(entry.now(), job, &upstream.id);
    let end = |ending| Record::JobEnd { job: job.clone(), attempt, ending };
    let record = match verdict {
        JobFailureAction::CannotRun => end(JobEnding::CannotRun(message)),
        JobFailureAction::TryElsewhere if idempotent => {
            entry.jobs.record_failure(job, &upstream.id);
            Record::JobRelease { job: job.clone(), attempt }
        }
        JobFailureAction::TryElsewhere => end(JobEnding::Failed(message)),
    };
    finish(entry, job, Some(record)).await;
}

fn release(entry: &Entry, job: &JobId) -> Option<Record> {
    let attempt = entry.node.lock().state().jobs.get(job)?.attempt;
    Some(Record::JobRelease { job: job.clone(), attempt })
}

async fn resolve(entry: &Arc<Entry>, job: &JobId, seen: TaskObservation) {
    let record = entry.node.lock().resolve_job(job, seen);
    finish(entry, job, record).await;
}

/// Hands the record that ends or releases a job to the log and waits until its fate is known. The
/// record waits here for as long as the log is away.
async fn finish(entry: &Arc<Entry>, job: &JobId, record: Option<Record>) {
    let Some(record) = record else { return };
    let ticket = entry.propose(record);
    while entry.wait_for_proposal(ticket, entry.now() + FATE_WAIT).await == ProposalStatus::Pending
    {
        if held(entry, job).is_none() {
            return;
        }
    }
}

/// Where task calls to an upstream go, over its present connections.
pub fn task_target(entry: &Entry, upstream: &ListedInstance) -> Target {
    let generation = entry.health.lock().generation(&upstream.id);
    Target { id: upstream.id.clone(), addr: upstream.addr.clone(), generation }
}
