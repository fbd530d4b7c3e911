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
use crate::platform::worker_client::{
    ORDER_TIMEOUT, POLL_TIMEOUT_MARGIN, PollAnswer, PollError, PollRequest, WorkerTarget,
};
use futures::stream::{self, FuturesUnordered, StreamExt};
use indexmap::IndexMap;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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
/// Maximum number of attempts to send a start that gets no response, each after the timeout of the one before. Early
/// repeats come on top, and take the place of the last of these.
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
    let now = shared.now();
    let is_lossy = term.starts.lock().loses_answers(now) || term.polls.lock().loses_answers(now);
    let wait = match is_lossy {
        true => {
            let longest = shared.cfg.settings.start_orders.lossy_poll_wait;
            owner.lossy_poll_wait(worker, longest, now)
        }
        false => owner.poll_wait(worker, now),
    };
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
    let (result, end) = request_report(shared, term, target, request).await;
    let mut lock = shared.owner.lock();
    let Some(owner) = lock.as_mut() else { return POLL_INTERVAL };
    if let Some(order) = lease_order {
        owner.end_lease_order(id, order, end);
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

/// Sends a poll. One that is overdue is left for the lists alone, requested beside it, if these come first. Also
/// returns how the poll ended if it carried a lease.
async fn request_report(
    shared: &Shared,
    term: &Term,
    target: &WorkerTarget,
    request: PollRequest,
) -> (Result<PollAnswer, PollError>, LeaseOrderEnd) {
    let requested_at = shared.now();
    let mut poll = pin!(shared.worker_client.poll(target, request, requested_at));
    let overdue_after = {
        let mut polls = term.polls.lock();
        polls.record_call(requested_at);
        polls.overdue_after(0, POLL_TIMEOUT_MARGIN)
    };
    let patience = request.wait + overdue_after.unwrap_or(POLL_TIMEOUT_MARGIN);
    let mut answered = timeout(patience, &mut poll).await.ok();
    if answered.is_none() && overdue_after.is_some() && term.polls.lock().try_repeat(shared.now()) {
        term.load.record_repeat(shared);
        let look = shared.worker_client.look(target, requested_at);
        tokio::select! {
            biased;
            result = &mut poll => answered = Some(result),
            // Without an answer to it, the poll decides.
            Ok(report) = look => {
                term.polls.lock().record_lost(shared.now());
                let answer = PollAnswer { report, acknowledged: 0, lease_sent: false };
                return (Ok(answer), LeaseOrderEnd::Unanswered);
            }
        }
    }
    let result = match answered {
        Some(result) => result,
        None => poll.await,
    };
    let took = shared.now().saturating_sub(requested_at);
    if result.is_ok() && took >= request.wait {
        term.polls.lock().record_answer(took - request.wait);
    }
    let end = poll_end(target, &result);
    (result, end)
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

/// A start order that is being sent.
struct Start<'a> {
    shared: &'a Shared,
    term: &'a Term,
    order: &'a StartOrder,
    permit: Permit,
    /// Whether the latest attempt has been written: before that it finds out which process answers.
    is_written: Arc<AtomicBool>,
}

/// Where to send an attempt, the lease that it carries and its number among the orders with a lease.
type Authorization = (WorkerTarget, WorkerTime, LeaseOrderId);

impl Start<'_> {
    /// Sends the order once, and returns the number of the attempt and its outcome as far as it is known. One that is
    /// dropped stays among the orders without a response.
    async fn attempt(
        &self,
        number: u32,
        (target, lease, lease_order): Authorization,
    ) -> (u32, StartOutcome) {
        let (shared, term, start) = (self.shared, self.term, self.order);
        let is_written = self.is_written.clone();
        is_written.store(false, Ordering::Relaxed);
        let may_write = self.permit.clone();
        let permit: Permit = Arc::new(move || {
            is_written.store(true, Ordering::Relaxed);
            may_write()
        });
        let sent_at = shared.now();
        let (answer, clock) = shared.worker_client.start(&target, start, lease, permit).await;
        if clock.is_some() {
            term.starts.lock().record_answer(shared.now().saturating_sub(sent_at));
        }
        let mut lock = shared.owner.lock();
        let Some(owner) = lock.as_mut() else { return (number, answer) };
        let outcome = owner.end_start_attempt(start, lease_order, answer, clock, sent_at);
        if outcome != StartOutcome::OtherWorker
            && let Some(clock) = clock
        {
            owner.record_start_clock(start, clock, sent_at, shared.now());
        }
        if outcome == StartOutcome::Fenced {
            end_term_if_fenced(term, owner, &target);
        }
        (number, outcome)
    }

    /// Returns what an early repeat needs, if the order may be sent again now.
    fn authorize_repeat(&self) -> Option<Authorization> {
        let (shared, now) = (self.shared, self.shared.now());
        let is_permitted = self.is_written.load(Ordering::Relaxed)
            && self.term.start_permission(now) == StartPermission::Granted
            && self.shared.owner.lock().as_ref().is_some_and(|o| o.is_start_valid(self.order, now))
            && self.term.starts.lock().try_repeat(now);
        if is_permitted { authorize_start(shared, self.order) } else { None }
    }
}

/// Sends a start until the worker has answered, or enough attempts had no response. A start that is overdue goes out
/// again beside the earlier attempts.
async fn send_start(shared: &Shared, term: &Term, start: StartOrder, permit: Permit) {
    let started = Instant::now();
    let is_written = Arc::new(AtomicBool::new(false));
    let sending = Start { shared, term, order: &start, permit, is_written };
    let mut outcome = StartOutcome::NotSent;
    let mut open = FuturesUnordered::new();
    let (mut attempts, mut repeats, mut is_rejected) = (0, 0, false);
    loop {
        if open.is_empty() {
            let Some(authorization) = await_authorization(shared, term, &start).await else {
                break;
            };
            attempts += 1;
            term.starts.lock().record_call(shared.now());
            open.push(sending.attempt(attempts + repeats, authorization));
        }
        let overdue_after = match is_rejected {
            true => None,
            false => term.starts.lock().overdue_after(repeats, ORDER_TIMEOUT),
        };
        tokio::select! {
            biased;
            Some((number, answer)) = open.next() => {
                outcome = outcome.merge_retry(answer);
                match answer {
                    StartOutcome::Started | StartOutcome::Over => {
                        if number > 1 {
                            term.starts.lock().record_lost(shared.now());
                        }
                        break;
                    }
                    StartOutcome::Unknown | StartOutcome::NotSent => {}
                    _ => is_rejected = true,
                }
                // A start that may have been carried out is sent again, to learn whether it was.
                let is_open = outcome == StartOutcome::Unknown && !is_rejected;
                let is_last = attempts + repeats.min(1) >= MAX_START_ATTEMPTS;
                if open.is_empty() && (!is_open || is_last) {
                    break;
                }
            }
            () = sleep(overdue_after.unwrap_or_default()), if overdue_after.is_some() => {
                if let Some(authorization) = sending.authorize_repeat() {
                    repeats += 1;
                    term.load.record_repeat(shared);
                    log_repeated_start(shared, term, &start, started);
                    open.push(sending.attempt(attempts + repeats, authorization));
                }
            }
        }
    }
    drop(open);
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
) -> Option<Authorization> {
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

fn log_repeated_start(shared: &Shared, term: &Term, start: &StartOrder, started: Instant) {
    let task = start.task.to_string();
    let usual = term.starts.lock().usual_answer_time();
    let fields = [
        ("task", (&task).into()),
        ("run", start.run.into()),
        ("worker", (&start.worker).into()),
        ("open_ms", (started.elapsed().as_millis() as u64).into()),
        ("usual_ms", (usual.as_millis() as u64).into()),
    ];
    shared.log.event(Event::StartRepeated, &fields);
}

fn log_waiting_start(shared: &Shared, start: &StartOrder) {
    let task = start.task.to_string();
    let fields =
        [("task", (&task).into()), ("run", start.run.into()), ("worker", (&start.worker).into())];
    shared.log.event(Event::StartWaits, &fields);
}

/// Returns where to send a start order, and the lease that it carries, if it may be sent now.
fn authorize_start(shared: &Shared, start: &StartOrder) -> Option<Authorization> {
    let mut lock = shared.owner.lock();
    let owner = lock.as_mut()?;
    let now = shared.now();
    let lease = owner.authorize_start(start, now)?;
    let order = owner.begin_start_attempt(start, now)?;
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
