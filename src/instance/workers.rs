//! Orders to workers and reads of their lists, in one term.

use crate::batch::orders::{Orders, StartOrder, StartOutcome, StopOrder};
use crate::batch::worker::WorkerInfo;
use crate::event::Event;
use crate::instance::follow;
use crate::instance::shared::Shared;
use crate::instance::term::{Term, registry_entry};
use crate::platform::runner::{LookError, LookOrder, Target};
use crate::platform::store::{self, StoreError};
use indexmap::IndexMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time between two reads of the list of workers, which changes with every ping of a worker.
const LIST_EVERY: Duration = Duration::from_millis(400);
/// Wait of a worker's answer for an end. Leases of 4.5 s are extended at least this often.
const LOOK_WAIT: Duration = Duration::from_millis(1_000);
/// Time between two looks at a worker; ends within it come together.
const LOOK_EVERY: Duration = Duration::from_millis(30);
/// Pause after a look without an answer.
const LOOK_AGAIN: Duration = Duration::from_millis(250);
/// Longest sleep of a loop whose worker has nothing to do.
const IDLE: Duration = Duration::from_secs(2);
/// Times that a start without an answer is sent.
const START_TRIES: u32 = 3;

/// Follows the list of workers and keeps a loop for each.
pub async fn follow(
    shared: Arc<Shared>,
    term: Arc<Term>,
    from: u64,
    mut listed: IndexMap<Arc<str>, WorkerInfo>,
) {
    let mut next = Some(from);
    let mut loops = JoinSet::new();
    let mut known: HashSet<Arc<str>> = HashSet::new();
    loop {
        spawn_loops(&shared, &term, &mut loops, &mut known);
        sleep(LIST_EVERY).await;
        let whole = next.is_none();
        match follow::read(&shared, store::WORKERS, next, Duration::ZERO).await {
            Ok((tail, _)) => {
                next = Some(tail.next);
                if whole {
                    listed.clear();
                }
                for record in &tail.records {
                    registry_entry(&shared, &mut listed, &record.key, record.value.as_deref());
                }
                let mut lock = shared.owner.lock();
                let Some(owner) = lock.as_mut() else { return term.end("no owner") };
                owner.update_workers(&listed, shared.now());
            }
            Err(StoreError::Gone { .. }) => next = None,
            Err(_) => {}
        }
    }
}

fn spawn_loops(
    shared: &Arc<Shared>,
    term: &Arc<Term>,
    loops: &mut JoinSet<Arc<str>>,
    known: &mut HashSet<Arc<str>>,
) {
    while let Some(ended) = loops.try_join_next() {
        if let Ok(id) = ended {
            known.remove(&id);
        }
    }
    let ids: Vec<Arc<str>> =
        shared.owner.lock().as_ref().map_or(Vec::new(), |o| o.workers.keys().cloned().collect());
    for id in ids {
        if known.insert(id.clone()) {
            loops.spawn(look_loop(shared.clone(), term.clone(), id));
        }
    }
}

/// What a worker's loop does next.
enum Next {
    Poll(Target, LookOrder),
    /// Nothing runs there and nothing is to be acknowledged.
    Idle,
    /// Ends wait to be stored.
    Unstored,
    Gone,
}

/// Extends a worker's lease and reads its lists for as long as something is there.
async fn look_loop(shared: Arc<Shared>, term: Arc<Term>, id: Arc<str>) -> Arc<str> {
    let wake = shared.worker_wake(&id);
    let mut waited = false;
    loop {
        let order = next_look(&shared, &term, &id, waited);
        waited = false;
        match order {
            Next::Gone => return id,
            Next::Idle => {
                let _ = timeout(IDLE, wake.notified()).await;
            }
            Next::Unstored => {
                // While the store is away, leases are extended without acknowledging anything.
                waited = timeout(LOOK_WAIT, wake.notified()).await.is_err();
            }
            Next::Poll(target, order) => {
                let pause = look(&shared, &id, &target, order).await;
                sleep(pause).await;
            }
        }
    }
}

fn next_look(shared: &Shared, term: &Term, id: &Arc<str>, unstored_waited: bool) -> Next {
    let mut lock = shared.owner.lock();
    let Some(owner) = lock.as_mut() else { return Next::Gone };
    let Some(worker) = owner.workers.get(id) else { return Next::Gone };
    if !worker.needs_poll() || !term.may_order() || worker.info.address.is_empty() {
        return Next::Idle;
    }
    if worker.last_processed > worker.last_stored && !unstored_waited {
        return Next::Unstored;
    }
    let (synced, stored) = (worker.synced, worker.last_stored);
    let quiet = worker.assigned.is_empty() || worker.last_processed > stored;
    let wait =
        if !synced || quiet || worker.unanswered_polls > 0 { Duration::ZERO } else { LOOK_WAIT };
    let target =
        Target { address: worker.info.address.clone(), worker: id.clone(), fence: owner.fence(id) };
    let lease = if synced { owner.extend_lease(shared.now(), id) } else { None };
    Next::Poll(target, LookOrder { lease, acknowledged: stored, wait })
}

/// Answers how long to pause before the next look.
async fn look(shared: &Shared, id: &Arc<str>, target: &Target, order: LookOrder) -> Duration {
    let asked_at = shared.now();
    let answer = shared.runners.look(target, order, asked_at).await;
    let mut lock = shared.owner.lock();
    let Some(owner) = lock.as_mut() else { return LOOK_EVERY };
    match answer {
        Ok(look) => {
            let now = shared.now();
            let was_synced = owner.workers.get(id).is_some_and(|w| w.synced);
            let changed = owner.apply_report(id, look, now);
            if let Some(worker) = owner.workers.get_mut(id) {
                worker.last_acknowledged = worker.last_acknowledged.max(order.acknowledged);
            }
            drop(lock);
            if changed || !was_synced {
                shared.wake.notify_one();
            }
            LOOK_EVERY
        }
        Err(error) => {
            match error {
                LookError::OtherWorker => owner.end_incarnation(id, shared.now()),
                LookError::Lost => owner.record_unanswered_poll(id),
                LookError::Fenced | LookError::Refused => {}
            }
            drop(lock);
            let error = format!("{error:?}");
            let fields = [("worker", id.into()), ("error", (&error).into())];
            shared.log.event(Event::LookFailed, &fields);
            LOOK_AGAIN
        }
    }
}

/// Sends orders, each in a task of its own.
pub fn send(shared: &Arc<Shared>, term: &Arc<Term>, orders: Orders) {
    for start in orders.starts {
        tokio::spawn(send_start(shared.clone(), term.clone(), start));
    }
    for stop in orders.stops {
        tokio::spawn(send_stop(shared.clone(), term.clone(), stop));
    }
    for pace in orders.paces {
        let shared = shared.clone();
        tokio::spawn(async move {
            let Some(target) = target(&shared, &pace.worker) else { return };
            if !shared.runners.pace(&target, &pace).await {
                let task = pace.task.to_string();
                let fields = [("task", (&task).into()), ("worker", (&pace.worker).into())];
                shared.log.event(Event::PaceFailed, &fields);
            }
        });
    }
}

fn target(shared: &Shared, worker: &Arc<str>) -> Option<Target> {
    let lock = shared.owner.lock();
    let owner = lock.as_ref()?;
    let address = owner.workers.get(worker)?.info.address.clone();
    Some(Target { address, worker: worker.clone(), fence: owner.fence(worker) })
}

async fn send_start(shared: Arc<Shared>, term: Arc<Term>, start: StartOrder) {
    let Some(target) = target(&shared, &start.worker) else { return };
    let mut answer = StartOutcome::NotSent;
    for _ in 0..START_TRIES {
        let lease = {
            let mut lock = shared.owner.lock();
            let Some(owner) = lock.as_mut() else { return };
            // A worker that was greeted anew since has another fence; the order is void.
            if !term.may_order() || owner.fence(&start.worker) != target.fence {
                break;
            }
            owner.extend_lease(shared.now(), &start.worker)
        };
        let Some(lease) = lease else { break };
        let sent = shared.runners.start(&target, &start, lease).await;
        answer = answer.merge_retry(sent);
        if sent != StartOutcome::Unknown {
            break;
        }
    }
    let mut lock = shared.owner.lock();
    let Some(owner) = lock.as_mut() else { return };
    owner.record_start_outcome(&start, answer, shared.now());
    drop(lock);
    shared.worker_wake(&start.worker).notify_one();
    match answer {
        StartOutcome::Started => {}
        _ => {
            shared.wake.notify_one();
            let (task, answer) = (start.task.to_string(), format!("{answer:?}"));
            let fields = [
                ("task", (&task).into()),
                ("run", start.run.into()),
                ("worker", (&start.worker).into()),
                ("answer", (&answer).into()),
            ];
            shared.log.event(Event::StartFailed, &fields);
        }
    }
}

async fn send_stop(shared: Arc<Shared>, term: Arc<Term>, stop: StopOrder) {
    let Some(target) = target(&shared, &stop.worker) else { return };
    if !term.may_order() {
        return;
    }
    let taken = shared.runners.stop(&target, &stop).await;
    if !taken {
        // The owner orders it again until the run is gone.
        return;
    }
    if let Some(owner) = shared.owner.lock().as_mut() {
        owner.record_stop_accepted(&stop, shared.now());
    }
    shared.worker_wake(&stop.worker).notify_one();
}
