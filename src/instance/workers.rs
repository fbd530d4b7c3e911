//! Orders to workers and polls of their runs during one term.

use crate::batch::orders::{Orders, StartOrder, StartOutcome, StopOrder, WorkerTime, is_same};
use crate::batch::owner::{Owner, POLL_WAIT};
use crate::batch::stray_lease::{LeaseOrderEnd, LeaseOrderId};
use crate::batch::worker::WorkerInfo;
use crate::event::Event;
use crate::ids::Time;
use crate::instance::shared::Shared;
use crate::instance::term::{StartPermission, Term, apply_worker_record};
use crate::instance::topics;
use crate::platform::http::Permit;
use crate::platform::store::{self, StoreError};
use crate::platform::worker_client::{PollAnswer, PollError, PollRequest, WorkerTarget};
use futures::stream::{self, StreamExt};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::{self, JoinSet};
use tokio::time::{sleep, timeout};

/// Time between two reads of the worker registry, which changes with every heartbeat of a worker. A
/// worker that has just come up takes its first task after one.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two polls of a worker; runs that end within it are reported together.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Pause after a failed poll.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest wait of the poll loop of a worker without runs.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(2);
/// Start orders to one worker in flight at a time. A worker takes 64 connections, an instance some
/// thousand in all, and polls need one a worker.
const MAX_CONCURRENT_STARTS: usize = 2;
/// Maximum number of attempts to send a start that gets no response.
const MAX_START_ATTEMPTS: u32 = 3;
/// Longest time between two checks whether a start that waits for the store is still wanted.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Follows the worker registry and runs a poll loop for each worker.
pub async fn follow_worker_list(
    shared: Arc<Shared>,
    term: Arc<Term>,
    from: u64,
    mut listed: IndexMap<Arc<str>, WorkerInfo>,
) {
    let mut next = Some(from);
    let mut loops = JoinSet::new();
    let mut polled = IndexMap::new();
    loop {
        spawn_poll_loops(&shared, &term, &mut loops, &mut polled);
        sleep(LIST_POLL_INTERVAL).await;
        let is_full = next.is_none();
        match topics::read_topic(&shared, store::WORKERS_TOPIC, next, Duration::ZERO).await {
            Ok((fetched, _)) => {
                next = Some(fetched.next_offset);
                if is_full {
                    listed.clear();
                }
                for record in &fetched.records {
                    apply_worker_record(&shared, &mut listed, record);
                }
                let mut lock = shared.owner.lock();
                let Some(owner) = lock.as_mut() else { return term.end("the owner state is gone") };
                let restarted = owner.update_workers(&listed, shared.now());
                drop(lock);
                for id in restarted {
                    shared.worker_wake(&id).notify_one();
                }
            }
            Err(StoreError::Truncated { .. }) => next = None,
            Err(_) => {}
        }
    }
}

fn spawn_poll_loops(
    shared: &Arc<Shared>,
    term: &Arc<Term>,
    loops: &mut JoinSet<()>,
    polled: &mut IndexMap<Arc<str>, task::Id>,
) {
    while let Some(ended) = loops.try_join_next_with_id() {
        // A loop that panicked starts again like one whose worker was gone.
        let ended = ended.map_or_else(|e| e.id(), |(id, ())| id);
        polled.retain(|_, task| *task != ended);
    }
    let ids: Vec<Arc<str>> =
        shared.owner.lock().as_ref().map_or(Vec::new(), |o| o.workers.keys().cloned().collect());
    for id in ids {
        if !polled.contains_key(&id) {
            let task = loops.spawn(poll_loop(shared.clone(), term.clone(), id.clone()));
            polled.insert(id, task.id());
        }
    }
}

/// Next step of a worker's poll loop.
enum PollStep {
    /// With the number of the order if it carries a lease.
    Poll(WorkerTarget, PollRequest, Option<LeaseOrderId>),
    /// The worker has no runs and no ends to acknowledge.
    Idle,
    /// Ended runs have not been stored yet.
    AwaitStore,
    Gone,
}

/// Extends a worker's lease and polls its runs until the worker is gone.
async fn poll_loop(shared: Arc<Shared>, term: Arc<Term>, id: Arc<str>) {
    let wake = shared.worker_wake(&id);
    let mut store_wait_elapsed = false;
    loop {
        let step = next_poll(&shared, &term, &id, store_wait_elapsed);
        store_wait_elapsed = false;
        match step {
            PollStep::Gone => return,
            PollStep::Idle => {
                let _ = timeout(MAX_IDLE_WAIT, wake.notified()).await;
            }
            PollStep::AwaitStore => {
                // While the store does not respond, leases are extended without acknowledging ended
                // runs.
                store_wait_elapsed = timeout(POLL_WAIT, wake.notified()).await.is_err();
            }
            PollStep::Poll(target, request, lease_order) => {
                term.load.record_poll();
                let pause = poll(&shared, &term, &id, &target, request, lease_order).await;
                sleep(pause).await;
            }
        }
    }
}

fn next_poll(shared: &Shared, term: &Term, id: &Arc<str>, store_wait_elapsed: bool) -> PollStep {
    let mut lock = shared.owner.lock();
    let Some(owner) = lock.as_mut() else { return PollStep::Gone };
    let Some(worker) = owner.workers.get(id) else { return PollStep::Gone };
    if !worker.needs_poll() || !term.may_send_orders(shared.now()) || worker.info.address.is_empty()
    {
        return PollStep::Idle;
    }
    if worker.last_processed > worker.last_stored && !store_wait_elapsed {
        return PollStep::AwaitStore;
    }
    let synced = worker.synced;
    let wait = owner.poll_wait(worker, shared.now());
    let target = WorkerTarget {
        address: worker.info.address.clone(),
        worker: id.clone(),
        fence: owner.fence(id),
        incarnation: worker.incarnation,
    };
    let acknowledged = worker.next_acknowledged();
    let now = shared.now();
    let lease = if synced { owner.extend_lease(now, id) } else { None };
    let lease_order = lease.and_then(|_| owner.begin_lease_order(id, now));
    PollStep::Poll(target, PollRequest { lease, acknowledged, wait }, lease_order)
}

/// Polls a worker. Returns the pause before the next poll.
async fn poll(
    shared: &Shared,
    term: &Term,
    id: &Arc<str>,
    target: &WorkerTarget,
    request: PollRequest,
    lease_order: Option<LeaseOrderId>,
) -> Duration {
    let requested_at = shared.now();
    let result = shared.worker_client.poll(target, request, requested_at).await;
    let mut lock = shared.owner.lock();
    let Some(owner) = lock.as_mut() else { return POLL_INTERVAL };
    if let Some(order) = lease_order {
        owner.end_lease_order(id, order, poll_end(target, &result));
    }
    match result {
        Ok(answer) => {
            let now = shared.now();
            let was_synced = owner.workers.get(id).is_some_and(|w| w.synced);
            let changed = owner.apply_report(id, answer.report, now);
            owner.record_acknowledged(id, target.fence, answer.acknowledged);
            let is_withheld = owner.workers.get(id).is_some_and(|w| w.lease_withheld);
            let is_unannounced = owner.awaits_stray_announcement(id, now);
            drop(lock);
            if is_withheld || is_unannounced {
                // A heartbeat without the worker lets its lease be extended again; one that names its stray lease
                // lets it get starts.
                shared.heartbeat_needed.notify_one();
            }
            if changed || !was_synced {
                shared.plan_needed.notify_one();
            }
            POLL_INTERVAL
        }
        Err(error) => {
            let now = shared.now();
            record_failed_poll(owner, term, target, error, now);
            if owner.workers.get(id).is_some_and(|w| w.awaits_announcement(now)) {
                // If this owner is lost, the next one relies on the record.
                shared.heartbeat_needed.notify_one();
            }
            drop(lock);
            let error = format!("{error:?}");
            let fields = [("worker", id.into()), ("error", (&error).into())];
            shared.log.event(Event::LookFailed, &fields);
            POLL_RETRY_DELAY
        }
    }
}

/// Returns how a poll with a lease ended.
pub fn poll_end(target: &WorkerTarget, result: &Result<PollAnswer, PollError>) -> LeaseOrderEnd {
    match result {
        Ok(answer) if answer.lease_sent => {
            match is_same(answer.report.incarnation, target.incarnation) {
                true => LeaseOrderEnd::Settled,
                false => LeaseOrderEnd::Misdirected,
            }
        }
        Ok(_) => LeaseOrderEnd::Settled,
        Err(PollError::Lost | PollError::Malformed) => LeaseOrderEnd::Unanswered,
        Err(
            PollError::Fenced | PollError::OtherWorker | PollError::Refused | PollError::Unreached,
        ) => LeaseOrderEnd::Settled,
    }
}

/// Processes a poll that brought no lists.
pub fn record_failed_poll(
    owner: &mut Owner,
    term: &Term,
    target: &WorkerTarget,
    error: PollError,
    now: Time,
) {
    match error {
        PollError::OtherWorker => owner.record_other_worker(&target.worker, target.fence, now),
        // A poll that was refused has not extended the lease.
        PollError::Lost | PollError::Unreached | PollError::Malformed | PollError::Refused => {
            owner.record_unanswered_poll(&target.worker);
        }
        PollError::Fenced => end_term_if_fenced(term, owner, target),
    }
}

/// Ends the term after a worker rejected the fence of `target`. Within a term fences only rise, so if
/// this one is still in use, a later owner has sent orders.
fn end_term_if_fenced(term: &Term, owner: &Owner, target: &WorkerTarget) {
    if owner.fence(&target.worker) == target.fence {
        term.end("a worker has accepted a later owner's orders");
    }
}

/// Sends orders, to all workers at the same time. Starts on one worker share few connections.
pub fn send_orders(shared: &Arc<Shared>, term: &Arc<Term>, mut orders: Orders) {
    for (_, starts) in orders.take_starts() {
        let (shared, term) = (shared.clone(), term.clone());
        tokio::spawn(async move {
            let permit = start_permit(&shared, &term);
            let send = |start| send_start(&shared, &term, start, permit.clone());
            stream::iter(starts).for_each_concurrent(MAX_CONCURRENT_STARTS, send).await;
        });
    }
    for stop in orders.stops {
        tokio::spawn(send_stop(shared.clone(), term.clone(), stop));
    }
    for pace in orders.paces {
        let shared = shared.clone();
        tokio::spawn(async move {
            let Some(target) = worker_target(&shared, &pace.worker) else { return };
            if !shared.worker_client.pace(&target, &pace).await {
                let task = pace.task.to_string();
                let fields = [("task", (&task).into()), ("worker", (&pace.worker).into())];
                shared.log.event(Event::PaceFailed, &fields);
            }
        });
    }
}

fn worker_target(shared: &Shared, worker: &Arc<str>) -> Option<WorkerTarget> {
    let lock = shared.owner.lock();
    let owner = lock.as_ref()?;
    let (fence, known) = (owner.fence(worker), owner.workers.get(worker)?);
    let (address, incarnation) = (known.info.address.clone(), known.incarnation);
    Some(WorkerTarget { address, worker: worker.clone(), fence, incarnation })
}

/// Returns a permit that lasts as long as starts may be sent.
fn start_permit(shared: &Arc<Shared>, term: &Arc<Term>) -> Permit {
    let (shared, term) = (shared.clone(), term.clone());
    Arc::new(move || term.start_permission(shared.now()) == StartPermission::Granted)
}

async fn send_start(shared: &Shared, term: &Term, start: StartOrder, permit: Permit) {
    let started = Instant::now();
    let mut outcome = StartOutcome::NotSent;
    for _ in 0..MAX_START_ATTEMPTS {
        let Some((target, lease, order)) = await_authorization(shared, term, &start).await else {
            break;
        };
        let sent_at = shared.now();
        let (attempt, clock) =
            shared.worker_client.start(&target, &start, lease, permit.clone()).await;
        let answer = attempt;
        let attempt = match shared.owner.lock().as_mut() {
            Some(owner) => owner.end_start_attempt(&start, order, answer, clock, sent_at),
            None => answer,
        };
        outcome = outcome.merge_retry(attempt);
        if attempt != StartOutcome::OtherWorker
            && let Some(clock) = clock
            && let Some(owner) = shared.owner.lock().as_mut()
        {
            owner.record_start_clock(&start, clock, sent_at, shared.now());
        }
        if attempt == StartOutcome::Fenced
            && let Some(owner) = shared.owner.lock().as_ref()
        {
            end_term_if_fenced(term, owner, &target);
        }
        // A start that may have been carried out is sent again, to learn whether it was.
        let is_open = outcome == StartOutcome::Unknown
            && matches!(attempt, StartOutcome::Unknown | StartOutcome::NotSent);
        if !is_open {
            break;
        }
    }
    term.load.record_start(shared, started);
    let mut lock = shared.owner.lock();
    let Some(owner) = lock.as_mut() else { return };
    owner.record_start_outcome(&start, outcome, shared.now());
    drop(lock);
    shared.worker_wake(&start.worker).notify_one();
    match outcome {
        StartOutcome::Started => {}
        _ => {
            shared.plan_needed.notify_one();
            let (task, outcome) = (start.task.to_string(), format!("{outcome:?}"));
            let fields = [
                ("task", (&task).into()),
                ("run", start.run.into()),
                ("worker", (&start.worker).into()),
                ("answer", (&outcome).into()),
            ];
            shared.log.event(Event::StartFailed, &fields);
        }
    }
}

/// Returns where to send a start order, and the lease that it carries, once the term is confirmed; `None` if
/// the order must not be sent any more.
async fn await_authorization(
    shared: &Shared,
    term: &Term,
    start: &StartOrder,
) -> Option<(WorkerTarget, WorkerTime, LeaseOrderId)> {
    let mut has_waited = false;
    loop {
        match term.start_permission(shared.now()) {
            StartPermission::Granted => return authorize_start(shared, start),
            StartPermission::Denied => return None,
            StartPermission::Unconfirmed => {}
        }
        let now = shared.now();
        if !shared.owner.lock().as_ref().is_some_and(|owner| owner.is_start_valid(start, now)) {
            return None;
        }
        if !has_waited {
            log_waiting_start(shared, start);
            has_waited = true;
        }
        // Both lead to a new check.
        let _ = timeout(START_CHECK_INTERVAL, term.next_heartbeat()).await;
    }
}

fn log_waiting_start(shared: &Shared, start: &StartOrder) {
    let task = start.task.to_string();
    let fields =
        [("task", (&task).into()), ("run", start.run.into()), ("worker", (&start.worker).into())];
    shared.log.event(Event::StartWaits, &fields);
}

/// Returns where to send a start order, and the lease that it carries, if it may be sent now.
fn authorize_start(
    shared: &Shared,
    start: &StartOrder,
) -> Option<(WorkerTarget, WorkerTime, LeaseOrderId)> {
    let mut lock = shared.owner.lock();
    let owner = lock.as_mut()?;
    let now = shared.now();
    let lease = owner.authorize_start(start, now)?;
    let order = owner.begin_lease_order(&start.worker, now)?;
    let address = owner.workers.get(&start.worker)?.info.address.clone();
    let (worker, fence) = (start.worker.clone(), start.fence);
    let target = WorkerTarget { address, worker, fence, incarnation: start.incarnation };
    Some((target, lease, order))
}

async fn send_stop(shared: Arc<Shared>, term: Arc<Term>, stop: StopOrder) {
    let Some(target) = worker_target(&shared, &stop.worker) else { return };
    if !term.may_send_orders(shared.now()) {
        return;
    }
    let accepted = shared.worker_client.stop(&target, &stop).await;
    if !accepted {
        // The owner repeats the order until the run has ended.
        return;
    }
    if let Some(owner) = shared.owner.lock().as_mut() {
        owner.record_stop_accepted(&stop, shared.now());
    }
    shared.worker_wake(&stop.worker).notify_one();
}
