//! Runs jobs: claims pending jobs, starts them at upstreams, polls their tasks until they end, and
//! adopts jobs whose holder's lease was expired.

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

/// Interval between scans for jobs to claim or adopt.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);
/// Jobs that one entry instance runs concurrently; further jobs stay pending in the log.
const MAX_ACTIVE_JOBS: usize = 2_000;
/// Time in which only the preferred entry instance claims or adopts a job; afterwards any instance
/// does.
const PREFERRED_CLAIM_WINDOW: Duration = Duration::from_secs(1);
/// Delay before a job that could not be claimed or started is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest wait for the log to accept or reject a proposed record.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Lease of a task at its upstream. It must outlast the failover of the holder, whose own lease of
/// 15 s is expired after 17 s; the adopting instance then needs a few more seconds.
const TASK_LEASE_DURATION: Duration = Duration::from_secs(60);
/// Bounds of the interval between polls of a running task, which grows while the task runs.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait of a job without a deadline.
const MAX_WAIT_WITHOUT_DEADLINE: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Jobs that this entry instance is working on, and what it has seen of them.
#[derive(Default)]
pub struct JobTable {
    active: Mutex<HashSet<JobId>>,
    /// Time at which this instance first saw a job that is pending or has lost its holder.
    first_seen: Mutex<HashMap<JobId, Time>>,
    /// Upstreams on which a job failed while this instance held it.
    failures: Mutex<HashMap<JobId, Vec<InstanceId>>>,
}

impl JobTable {
    /// Creates an empty table.
    pub fn new() -> JobTable {
        JobTable::default()
    }

    fn record_failure(&self, job: &JobId, upstream: &InstanceId) {
        self.failures.lock().entry(job.clone()).or_default().push(upstream.clone());
    }

    fn failed_upstreams(&self, job: &JobId) -> Vec<InstanceId> {
        self.failures.lock().get(job).cloned().unwrap_or_default()
    }

    /// Returns the number of jobs that this instance is working on.
    pub fn len(&self) -> usize {
        self.active.lock().len()
    }

    /// Returns whether this instance is working on no job.
    pub fn is_empty(&self) -> bool {
        self.active.lock().is_empty()
    }
}

/// Keeps a job marked as active until it is dropped.
struct ActiveJobGuard {
    entry: Arc<Entry>,
    job: JobId,
}

impl ActiveJobGuard {
    fn begin(entry: &Arc<Entry>, job: &JobId) -> Option<ActiveJobGuard> {
        let mut active = entry.jobs.active.lock();
        let begun = active.len() < MAX_ACTIVE_JOBS && active.insert(job.clone());
        begun.then(|| ActiveJobGuard { entry: entry.clone(), job: job.clone() })
    }
}

impl Drop for ActiveJobGuard {
    fn drop(&mut self) {
        self.entry.jobs.active.lock().remove(&self.job);
    }
}

/// Scans for jobs to run until the entry instance stops.
pub async fn run(entry: Arc<Entry>) {
    let mut applied = entry.subscribe_applied();
    loop {
        // New log entries and the passage of time can both make a job claimable.
        let _ = tokio::time::timeout(SCAN_INTERVAL, applied.changed()).await;
        if entry.stage() >= Stage::Refusing {
            sleep(SCAN_INTERVAL).await;
            continue;
        }
        scan_jobs(&entry);
    }
}

fn scan_jobs(entry: &Arc<Entry>) {
    let (pending, orphaned, own) = {
        let node = entry.node.lock();
        (node.pending_jobs(), node.orphaned_jobs(), node.held_jobs())
    };
    for job in claimable_jobs(entry, pending) {
        spawn(entry, &job, claim_and_run);
    }
    for job in claimable_jobs(entry, orphaned) {
        spawn(entry, &job, adopt);
    }
    for job in own {
        spawn(entry, &job, resume);
    }
}

/// Returns the jobs that this instance may claim: it is the preferred one, or the job was first
/// seen at least `PREFERRED_CLAIM_WINDOW` ago.
fn claimable_jobs(entry: &Entry, jobs: Vec<JobId>) -> Vec<JobId> {
    let now = entry.now();
    let live: Vec<Incarnation> = {
        let node = entry.node.lock();
        let holders = node.state().holders.iter();
        holders.filter(|(_, h)| !h.expired && !h.departing).map(|(id, _)| *id).collect()
    };
    let mut first_seen = entry.jobs.first_seen.lock();
    let open: HashSet<&JobId> = jobs.iter().collect();
    if first_seen.len() > 2 * open.len() + MAX_ACTIVE_JOBS {
        first_seen.retain(|id, _| open.contains(id));
    }
    let mut is_claimable = |job: &JobId| {
        let seen = *first_seen.entry(job.clone()).or_insert(now);
        now.saturating_sub(seen) >= PREFERRED_CLAIM_WINDOW
            || preferred_instance(&live, job) == Some(entry.incarnation())
    };
    jobs.iter().filter(|job| is_claimable(job)).cloned().collect()
}

/// Chooses the preferred instance of a job by rendezvous hashing, so that all instances agree
/// without exchanging messages.
fn preferred_instance(live: &[Incarnation], job: &JobId) -> Option<Incarnation> {
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
    let Some(guard) = ActiveJobGuard::begin(entry, job) else { return };
    let work = work(entry.clone(), job.clone());
    tokio::spawn(async move {
        work.await;
        drop(guard);
    });
}

/// Waits for a slot, claims the job and runs it until its end.
async fn claim_and_run(entry: Arc<Entry>, job: JobId) {
    let Some((spec, attempt)) = pending_spec(&entry, &job) else { return };
    let work_request = work_request(&entry, &spec);
    let Ok((permit, mut slot_guard)) = dispatch::acquire_slot(&entry, work_request).await else {
        return sleep(RETRY_DELAY).await;
    };
    let Some(upstream) = choose_upstream(&entry, &job, permit.upstream, &slot_guard) else {
        slot_guard.work_ended = true;
        return sleep(RETRY_DELAY).await;
    };
    let record =
        Record::JobClaim { job: job.clone(), attempt: attempt + 1, upstream: upstream.id.clone() };
    let ticket = entry.propose(record);
    let status = entry.wait_for_proposal(ticket, entry.now() + PROPOSAL_TIMEOUT).await;
    match status {
        ProposalStatus::Applied(_) => {}
        ProposalStatus::Pending | ProposalStatus::Unknown => {
            // If the claim is applied later, `held_jobs` returns the job and it is resumed.
            entry.node.lock().withdraw(ticket);
            return;
        }
        ProposalStatus::Rejected(..) => {
            slot_guard.work_ended = true;
            return sleep(RETRY_DELAY).await;
        }
    }
    slot_guard.work_ended = true;
    run_claimed_job(&entry, &job, &spec, &upstream, &mut slot_guard).await;
}

/// Returns `first`, or another upstream if the job already failed on `first`.
fn choose_upstream(
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
        0 => MAX_WAIT_WITHOUT_DEADLINE,
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

/// Starts a claimed job at its upstream and polls it until its end.
async fn run_claimed_job(
    entry: &Arc<Entry>,
    job: &JobId,
    spec: &JobSpec,
    upstream: &ListedInstance,
    slot_guard: &mut SlotGuard,
) {
    let checked = entry.node.lock().job_start(entry.now(), job);
    let start = match checked {
        Ok(start) => start,
        // Nothing was sent, so this attempt cannot have started the job.
        Err(_) => return propose_and_wait(entry, job, release_record(entry, job)).await,
    };
    let Some(clock) = entry.clocks.get(entry.now(), &upstream.id) else {
        return propose_and_wait(entry, job, release_record(entry, job)).await;
    };
    let request = TaskStart {
        fence: start.fence,
        start_by_ms: clock.lower_bound_at(start.start_by),
        lease_ms: TASK_LEASE_DURATION.as_millis() as u64,
        declared_ms: spec.declared_ms,
        payload: spec.payload.clone(),
    };
    let answer = entry.upstreams.start_task(&task_target(entry, upstream), job, &request).await;
    match answer {
        Ok(TaskStartOutcome::Started) => {}
        Ok(TaskStartOutcome::Known(TaskState::Running { .. })) => {}
        Ok(TaskStartOutcome::Known(state)) => {
            return record_task_end(entry, job, upstream, state).await;
        }
        Err(e) if e.had_no_effect() => {
            handle_start_refusal(entry, upstream, &e);
            propose_and_wait(entry, job, release_record(entry, job)).await;
            return sleep(RETRY_DELAY).await;
        }
        Err(_) => {}
    }
    slot_guard.failed = !poll_task(entry, job, upstream, Some(&start)).await;
}

fn handle_start_refusal(entry: &Entry, upstream: &ListedInstance, e: &TaskError) {
    if let TaskError::Refused { draining: true, .. } = e {
        entry.node.lock().on_draining(&upstream.id, true);
        entry.clocks.probe_soon(&upstream.id);
        dispatch::refresh_upstreams(entry);
    }
}

/// Takes over a job whose holder's lease was expired.
async fn adopt(entry: Arc<Entry>, job: JobId) {
    let attempt = entry.node.lock().state().jobs.get(&job).map(|known| known.attempt);
    let Some(attempt) = attempt else { return };
    let ticket = entry.propose(Record::JobAdopt { job: job.clone(), attempt });
    match entry.wait_for_proposal(ticket, entry.now() + PROPOSAL_TIMEOUT).await {
        ProposalStatus::Applied(_) => resume(entry, job).await,
        ProposalStatus::Rejected(..) => sleep(RETRY_DELAY).await,
        ProposalStatus::Pending | ProposalStatus::Unknown => {
            entry.node.lock().withdraw(ticket);
        }
    }
}

/// Resumes polling a job that this instance holds, until its end.
async fn resume(entry: Arc<Entry>, job: JobId) {
    let Some((upstream, _)) = held_task(&entry, &job) else { return };
    match find_listed(&entry, &upstream) {
        Some(listed) => {
            poll_task(&entry, &job, &listed, None).await;
        }
        None if is_instance_gone(&entry, &upstream) => {
            propose_resolution(&entry, &job, TaskObservation::Gone).await
        }
        None => sleep(RETRY_DELAY).await,
    }
}

/// Returns the upstream and fencing token of a job that this instance holds.
fn held_task(entry: &Entry, job: &JobId) -> Option<(InstanceId, Offset)> {
    let node = entry.node.lock();
    match &node.state().jobs.get(job)?.state {
        JobState::Running { holder, upstream, fence } if *holder == entry.incarnation() => {
            Some((upstream.clone(), *fence))
        }
        _ => None,
    }
}

fn find_listed(entry: &Entry, upstream: &InstanceId) -> Option<ListedInstance> {
    let list = entry.list.lock().clone();
    list.instances.iter().find(|l| l.id == *upstream).cloned()
}

/// Returns whether an instance is gone or unknown according to the log. The platform's list is not
/// used, since it may lag.
fn is_instance_gone(entry: &Entry, upstream: &InstanceId) -> bool {
    let node = entry.node.lock();
    node.state().instances.get(upstream).is_none_or(|known| known.gone_at.is_some())
}

/// Polls a task until its end; returns whether it ended with a result. `start` is the start that
/// this instance sent, if it sent one.
async fn poll_task(
    entry: &Arc<Entry>,
    job: &JobId,
    upstream: &ListedInstance,
    start: Option<&JobStart>,
) -> bool {
    let mut interval = MIN_POLL_INTERVAL;
    loop {
        let Some((_, fence)) = held_task(entry, job) else { return false };
        let target = task_target(entry, upstream);
        let renew = TaskRenew { fence, lease_ms: TASK_LEASE_DURATION.as_millis() as u64 };
        let answer = if is_cancelled(entry, job) {
            entry.upstreams.stop_task(&target, job, fence).await
        } else {
            entry.upstreams.renew_task(&target, job, &renew).await
        };
        match answer {
            Ok(TaskState::Running { .. }) => {}
            Ok(state) => {
                let done = matches!(state, TaskState::Done { .. });
                record_task_end(entry, job, upstream, state).await;
                return done;
            }
            Err(TaskError::NoSuchTask) => {
                if let Some(observation) = classify_missing_task(entry, job, upstream, start) {
                    propose_resolution(entry, job, observation).await;
                    return false;
                }
            }
            Err(_) if is_instance_gone(entry, &upstream.id) => {
                propose_resolution(entry, job, TaskObservation::Gone).await;
                return false;
            }
            // The upstream is unreachable or knows a higher fencing token. `held_task` checks
            // in the log whether this instance still holds the job.
            Err(_) => {}
        }
        sleep(interval).await;
        interval = (interval * 5 / 4).min(MAX_POLL_INTERVAL);
    }
}

fn is_cancelled(entry: &Entry, job: &JobId) -> bool {
    entry.node.lock().state().jobs.get(job).is_some_and(|known| known.cancel)
}

/// Interprets an upstream's answer that it does not know the task; returns `None` while a start may
/// still be in flight.
fn classify_missing_task(
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

/// Handles the end of a task and proposes the matching record.
async fn record_task_end(
    entry: &Arc<Entry>,
    job: &JobId,
    upstream: &ListedInstance,
    state: TaskState,
) {
    let observation = match state {
        TaskState::Running { .. } => return,
        TaskState::Done { result } if result.len() > MAX_JOB_RESULT_LEN => {
            TaskObservation::Failed(format!("the result exceeds {MAX_JOB_RESULT_LEN} bytes"))
        }
        TaskState::Done { result } => {
            entry.health.lock().on_job_success(entry.now(), job, &upstream.id);
            entry.jobs.failures.lock().remove(job);
            TaskObservation::Done(result)
        }
        TaskState::Failed { message } => {
            return record_task_failure(entry, job, upstream, message).await;
        }
        TaskState::Stopped => TaskObservation::Stopped,
    };
    propose_resolution(entry, job, observation).await;
}

/// Handles a failed task. An idempotent job is released to run on another upstream, unless its
/// failures show that it cannot run anywhere.
async fn record_task_failure(
    entry: &Arc<Entry>,
    job: &JobId,
    upstream: &ListedInstance,
    message: String,
) {
    let known = entry.node.lock().state().jobs.get(job).map(|j| (j.spec.idempotent, j.attempt));
    let Some((idempotent, attempt)) = known else { return };
    let action = entry.health.lock().on_job_failure(entry.now(), job, &upstream.id);
    let end = |ending| Record::JobEnd { job: job.clone(), attempt, ending };
    let record = match action {
        JobFailureAction::CannotRun => end(JobEnding::CannotRun(message)),
        JobFailureAction::TryElsewhere if idempotent => {
            entry.jobs.record_failure(job, &upstream.id);
            Record::JobRelease { job: job.clone(), attempt }
        }
        JobFailureAction::TryElsewhere => end(JobEnding::Failed(message)),
    };
    propose_and_wait(entry, job, Some(record)).await;
}

fn release_record(entry: &Entry, job: &JobId) -> Option<Record> {
    let attempt = entry.node.lock().state().jobs.get(job)?.attempt;
    Some(Record::JobRelease { job: job.clone(), attempt })
}

async fn propose_resolution(entry: &Arc<Entry>, job: &JobId, observation: TaskObservation) {
    let record = entry.node.lock().resolve_job(job, observation);
    propose_and_wait(entry, job, record).await;
}

/// Proposes the record that ends or releases a job, and waits until it is accepted or rejected, or
/// this instance no longer holds the job. The record stays queued while the log is unreachable.
async fn propose_and_wait(entry: &Arc<Entry>, job: &JobId, record: Option<Record>) {
    let Some(record) = record else { return };
    let ticket = entry.propose(record);
    while entry.wait_for_proposal(ticket, entry.now() + PROPOSAL_TIMEOUT).await
        == ProposalStatus::Pending
    {
        if held_task(entry, job).is_none() {
            return;
        }
    }
}

/// Returns the target of task calls to an upstream, with the current generation of its connections.
pub fn task_target(entry: &Entry, upstream: &ListedInstance) -> Target {
    let generation = entry.health.lock().generation(&upstream.id);
    Target { id: upstream.id.clone(), addr: upstream.addr.clone(), generation }
}
