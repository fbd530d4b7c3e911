//! How an instance comes to own the decisions, and what it does in its term.
//!
//! The owner says so again and again in the store. When it falls silent, another instance appends
//! the next term on the condition that nothing else was appended, sets that term as the epoch of the
//! progress topic, which fences the earlier owner, and reads what is stored.

use crate::batch::owner::{DecisionBatch, MAX_STORE_OUTAGE, Owner};
use crate::batch::worker::WorkerInfo;
use crate::event::Event;
use crate::instance::follow::{self, OWNER_KEY};
use crate::instance::shared::{Leader, Shared};
use crate::instance::{peers, upkeep, workers};
use crate::platform::store::{self, Guard, StoreError};
use crate::platform::{ingress, registry};
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time between two records of an owner that says it is there.
const BEAT_EVERY: Duration = Duration::from_millis(400);
/// Silence after which another instance takes over: three beats and the slack of a read.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Wait of a read of the owner's records.
const OWNER_WAIT: Duration = Duration::from_millis(500);
/// Steps by which instances wait longer than each other before they take over.
const STAGGER: Duration = Duration::from_millis(70);
/// Different steps.
const STAGGER_STEPS: u64 = 6;
/// Time between two stored batches; bounds the store's calls, which are priced.
const COMMIT_EVERY: Duration = Duration::from_millis(25);
/// Longest time without a pass over the waiting work.
const PLAN_EVERY: Duration = Duration::from_millis(200);
/// Time between two questions to the earlier owner.
const ASK_EVERY: Duration = Duration::from_millis(200);
/// Pause after a call that failed.
const CALL_AGAIN: Duration = Duration::from_millis(100);
/// Wait of a read of callers' jobs.
const JOBS_WAIT: Duration = Duration::from_secs(1);
/// Key of a cancellation: the job's id with this behind it.
pub const CANCEL_SUFFIX: &str = "/cancel";

/// Takes part in the succession for as long as the process lives.
pub async fn succession(shared: Arc<Shared>) {
    let mut next: Option<u64> = None;
    let mut newest: Option<Leader> = None;
    let mut resigned = true;
    // Since when the store answers without a break and no owner was heard.
    let mut quiet_since = Instant::now();
    // Terms of this life that are over.
    let mut over = 0;
    loop {
        match follow::read(&shared, store::OWNER, next, OWNER_WAIT).await {
            Ok((tail, _)) => {
                next = Some(tail.next);
                if let Some((leader, gone)) = tail.records.iter().rev().find_map(follow::leader) {
                    note_leader(&shared, &leader, gone);
                    (newest, resigned, quiet_since) = (Some(leader), gone, Instant::now());
                }
            }
            Err(StoreError::Gone { .. }) => next = None,
            Err(_) => {
                quiet_since = Instant::now();
                sleep(CALL_AGAIN).await;
            }
        }
        let Some(end) = next else { continue };
        // An append of this life that had no answer took effect.
        let unanswered =
            newest.as_ref().filter(|l| l.life == shared.life && l.term > over && !resigned);
        if let Some(term) = unanswered.map(|l| l.term) {
            run_term(&shared, term, None).await;
            (next, over, quiet_since) = (None, term, Instant::now());
            continue;
        }
        if shared.stopping.load(Ordering::Relaxed)
            || shared.active_config().declarations.version == 0
        {
            continue;
        }
        let silence = match &newest {
            Some(leader) if !resigned => silence_before(leader, &shared.cfg.name, shared.life),
            Some(_) | None => Duration::ZERO,
        };
        if quiet_since.elapsed() < silence + stagger(&shared) {
            continue;
        }
        let term = newest.as_ref().map_or(0, |l| l.term) + 1;
        if take_over(&shared, term, end).await {
            run_term(&shared, term, newest.clone()).await;
            (next, over, quiet_since) = (None, term, Instant::now());
        }
    }
}

/// Silence of an owner after which the instance `name` in its life `life` takes over. An earlier life
/// of the instance itself is over: nothing is to be waited for.
pub fn silence_before(leader: &Leader, name: &str, life: u64) -> Duration {
    if &*leader.name == name && leader.life != life { Duration::ZERO } else { SILENCE }
}

fn stagger(shared: &Shared) -> Duration {
    let sum: u64 = shared.cfg.name.bytes().map(u64::from).sum();
    STAGGER * (sum % STAGGER_STEPS) as u32
}

fn note_leader(shared: &Shared, leader: &Leader, gone: bool) {
    let mut lead = shared.lead.lock();
    let known = lead.as_ref().is_some_and(|l| l.term == leader.term);
    if !known {
        let fields = [("entry", (&leader.name).into()), ("term", leader.term.into())];
        shared.log.event(Event::OwnerSeen, &fields);
    }
    *lead = (!gone).then(|| leader.clone());
}

/// Tries to become the owner. Fails when another instance wrote first.
async fn take_over(shared: &Shared, term: u64, end: u64) -> bool {
    let record = follow::owner_record(shared, term, false);
    // Without the owners' common identity: under it the store takes the same append of another
    // instance for a repeat of this one.
    let guard = Guard { at: Some(end), term: None };
    match shared.store.append(store::OWNER, &[(OWNER_KEY, Some(&record))], guard).await {
        Ok(_) => {
            shared.log.event(Event::OwnerHere, &[("term", term.into())]);
            true
        }
        Err(e) => {
            let error = e.to_string();
            let fields = [("term", term.into()), ("error", (&error).into())];
            shared.log.event(Event::OwnerNotHere, &fields);
            // Another one wrote, or the answer is lost: the next read tells.
            false
        }
    }
}

/// What the tasks of one term share.
pub struct Term {
    pub number: u64,
    /// Why the term is over, once it is.
    ended: Mutex<Option<String>>,
    over: Notify,
    /// When the last append was sent that the store answered.
    stored_at: Mutex<Instant>,
}

impl Term {
    /// Ends the term.
    pub fn end(&self, why: &str) {
        self.ended.lock().get_or_insert_with(|| why.to_string());
        self.over.notify_one();
    }

    /// Whether leases may still be extended: a later owner counts on the bound.
    pub fn may_order(&self) -> bool {
        self.ended.lock().is_none() && self.stored_at.lock().elapsed() < MAX_STORE_OUTAGE
    }
}

/// Owns the decisions until a later owner is there, the store is away for long, or the process stops.
async fn run_term(shared: &Arc<Shared>, number: u64, earlier: Option<Leader>) {
    let term = Arc::new(Term {
        number,
        ended: Mutex::new(None),
        over: Notify::new(),
        stored_at: Mutex::new(Instant::now()),
    });
    *shared.term.lock() = Some(number);
    let mut tasks = JoinSet::new();
    tasks.spawn(beat(shared.clone(), term.clone()));
    tasks.spawn(own(shared.clone(), term.clone()));
    tasks.spawn(ask_earlier(shared.clone(), earlier));
    term.over.notified().await;
    tasks.shutdown().await;
    *shared.owner.lock() = None;
    *shared.term.lock() = None;
    let why = term.ended.lock().clone().unwrap_or_default();
    let fields = [("term", number.into()), ("reason", (&why).into())];
    shared.log.event(Event::OwnerGone, &fields);
}

/// Asks the earlier owner whether it has stopped giving orders, until it says so.
async fn ask_earlier(shared: Arc<Shared>, earlier: Option<Leader>) {
    let Some(earlier) = earlier else { return };
    loop {
        let loaded = shared.owner.lock().is_some();
        if loaded && peers::is_over(&earlier.peers, earlier.term).await {
            let now = shared.now();
            if let Some(owner) = shared.owner.lock().as_mut() {
                owner.record_previous_owner_stopped(now);
            }
            let fields = [("entry", (&earlier.name).into()), ("term", earlier.term.into())];
            return shared.log.event(Event::EarlierOwnerOver, &fields);
        }
        sleep(ASK_EVERY).await;
    }
}

/// Says again and again that this instance is the owner.
async fn beat(shared: Arc<Shared>, term: Arc<Term>) {
    let mut number = 0;
    loop {
        sleep(BEAT_EVERY).await;
        let stopping = shared.stopping.load(Ordering::Relaxed);
        let record = follow::owner_record(&shared, term.number, stopping);
        let guard = Guard { at: None, term: Some((term.number, number)) };
        let sent = Instant::now();
        match shared.store.append(store::OWNER, &[(OWNER_KEY, Some(&record))], guard).await {
            Ok(_) => {
                number += 1;
                *term.stored_at.lock() = sent;
                if stopping {
                    return term.end("stopping");
                }
            }
            Err(StoreError::Fenced) => return term.end("a later owner is there"),
            Err(StoreError::Sequence { expected }) => number = expected,
            Err(_) if sent.duration_since(*term.stored_at.lock()) > MAX_STORE_OUTAGE => {
                return term.end("the store does not answer");
            }
            // The same number again: the store repeats its answer if it was done.
            Err(_) => sleep(CALL_AGAIN).await,
        }
    }
}

/// Loads what is stored and decides from then on.
async fn own(shared: Arc<Shared>, term: Arc<Term>) {
    let mut number = 0;
    if let Err(e) = fence(&shared, &term, &mut number).await {
        return term.end(&e.to_string());
    }
    let (jobs_next, workers_next, listed) = match load(&shared, &term).await {
        Ok(loaded) => loaded,
        Err(e) => return term.end(&e.to_string()),
    };
    let mut tasks = JoinSet::new();
    tasks.spawn(follow_jobs(shared.clone(), term.clone(), jobs_next));
    tasks.spawn(workers::follow(shared.clone(), term.clone(), workers_next, listed));
    tasks.spawn(upkeep::run(shared.clone(), term.clone()));
    tasks.spawn(commit(shared.clone(), term.clone(), number));
    while tasks.join_next().await.is_some() {}
}

/// Sets the term as the epoch of the progress topic: appends of earlier owners fail from now on.
async fn fence(shared: &Shared, term: &Term, number: &mut u64) -> Result<(), StoreError> {
    loop {
        let guard = Guard { at: None, term: Some((term.number, *number)) };
        match shared.store.append(store::PROGRESS, &[], guard).await {
            Ok(_) => return Ok(()),
            Err(StoreError::Fenced) => return Err(StoreError::Fenced),
            Err(StoreError::Sequence { expected }) => *number = expected,
            Err(_) if !term.may_order() => return Err(StoreError::NoAnswer),
            Err(_) => sleep(CALL_AGAIN).await,
        }
    }
}

type Loaded = (u64, u64, IndexMap<Arc<str>, WorkerInfo>);

/// Reads jobs, their progress and the workers into a new owner.
async fn load(shared: &Shared, term: &Term) -> Result<Loaded, StoreError> {
    let started = Instant::now();
    let progress = newest(shared, term, store::PROGRESS).await?;
    let jobs = newest(shared, term, store::JOBS).await?;
    let workers = newest(shared, term, store::WORKERS).await?;
    let now = shared.now();
    let mut owner = Owner::new(term.number, shared.cfg.bounds, shared.active_config(), now);
    for record in &jobs.records {
        take_job(shared, &mut owner, &record.key, record.value.as_deref());
    }
    for record in &progress.records {
        if let Some(value) = &record.value {
            owner.restore_record(&record.key, value, now);
        }
    }
    // Cancellations stand beside the jobs; those that were not carried out are taken in again.
    for record in &jobs.records {
        if let Some(job) = record.key.strip_suffix(CANCEL_SUFFIX) {
            owner.cancel(job, now);
        }
    }
    let mut listed = IndexMap::new();
    for record in &workers.records {
        registry_entry(shared, &mut listed, &record.key, record.value.as_deref());
    }
    owner.update_workers(&listed, now);
    owner.finish_restore(now);
    let fields = [
        ("term", term.number.into()),
        ("jobs", (owner.jobs.len() as u64).into()),
        ("workers", (owner.workers.len() as u64).into()),
        ("took_ms", (started.elapsed().as_millis() as u64).into()),
    ];
    shared.log.event(Event::OwnerReady, &fields);
    *shared.owner.lock() = Some(owner);
    shared.jobs_were_read();
    shared.wake.notify_one();
    Ok((jobs.next, workers.next, listed))
}

async fn newest(shared: &Shared, term: &Term, topic: &str) -> Result<store::Tail, StoreError> {
    loop {
        match shared.store.newest(topic).await {
            Ok(tail) => return Ok(tail),
            Err(e) if !term.may_order() => return Err(e),
            Err(_) => sleep(CALL_AGAIN).await,
        }
    }
}

/// Changes the list of workers by one record of theirs.
pub fn registry_entry(
    shared: &Shared,
    listed: &mut IndexMap<Arc<str>, WorkerInfo>,
    id: &str,
    value: Option<&[u8]>,
) {
    let Some(value) = value else {
        listed.swap_remove(id);
        return;
    };
    match registry::worker(id, value) {
        Some(entry) => {
            listed.insert(id.into(), entry);
        }
        None => {
            // An entry that cannot be read names no worker; the one before it no longer holds.
            listed.swap_remove(id);
            let error = format!("entry of worker {id} cannot be used");
            shared.log.event(Event::RecordUnreadable, &[("error", (&error).into())]);
        }
    }
}

/// Takes in a job that was handed in. Answers whether it is new.
fn take_job(shared: &Shared, owner: &mut Owner, key: &str, value: Option<&[u8]>) -> bool {
    let Some(value) = value else { return false };
    if key.ends_with(CANCEL_SUFFIX) {
        return false;
    }
    match ingress::restored_job(value) {
        Ok((queue, team, spec)) => {
            owner.add_job(key.into(), Arc::new(spec), queue, team, shared.now())
        }
        Err(error) => {
            shared.log.event(Event::RecordUnreadable, &[("error", (&error).into())]);
            false
        }
    }
}

/// Takes in jobs and cancellations as callers hand them in.
async fn follow_jobs(shared: Arc<Shared>, term: Arc<Term>, from: u64) {
    let mut next = Some(from);
    loop {
        match follow::read(&shared, store::JOBS, next, JOBS_WAIT).await {
            Ok((tail, _)) => {
                next = Some(tail.next);
                let mut lock = shared.owner.lock();
                let Some(owner) = lock.as_mut() else { return term.end("no owner") };
                for record in &tail.records {
                    let value = record.value.as_deref();
                    match record.key.strip_suffix(CANCEL_SUFFIX) {
                        Some(job) if value.is_some() => {
                            owner.cancel(job, shared.now());
                        }
                        Some(_) => {}
                        None => {
                            if take_job(&shared, owner, &record.key, value) {
                                owner.record_arrival(&record.key, shared.now());
                            }
                        }
                    }
                }
                drop(lock);
                shared.jobs_were_read();
                shared.wake.notify_one();
            }
            Err(StoreError::Gone { .. }) => next = None,
            Err(_) => sleep(CALL_AGAIN).await,
        }
    }
}

/// Plans, stores what was decided, and sends the orders after that.
async fn commit(shared: Arc<Shared>, term: Arc<Term>, mut number: u64) {
    loop {
        // Either way it is time for a pass.
        let _ = timeout(PLAN_EVERY, shared.wake.notified()).await;
        sleep(COMMIT_EVERY).await;
        let Some(batch) = decide(&shared) else { return term.end("no owner") };
        if batch.is_empty() {
            shared.log_owner_events(&batch.events);
            continue;
        }
        if let Err(e) = drop_jobs(&shared, &term, &batch).await {
            return term.end(&e.to_string());
        }
        if !batch.updates.is_empty() {
            number += 1;
            if let Err(e) = store_batch(&shared, &term, &batch, &mut number).await {
                return term.end(&e.to_string());
            }
        }
        carry_out(&shared, &term, batch);
    }
}

fn decide(shared: &Shared) -> Option<DecisionBatch> {
    let mut lock = shared.owner.lock();
    let owner = lock.as_mut()?;
    let now = shared.now();
    // A clock before 1970 counts as 1970: no schedule is due.
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    owner.tick(now, wall);
    owner.schedule_tasks(now);
    Some(owner.take_decisions(now))
}

/// Drops what callers handed in of jobs whose progress is dropped next.
async fn drop_jobs(shared: &Shared, term: &Term, batch: &DecisionBatch) -> Result<(), StoreError> {
    let keys: Vec<String> = batch
        .dropped_jobs()
        .flat_map(|id| [id.to_string(), format!("{id}{CANCEL_SUFFIX}")])
        .collect();
    if keys.is_empty() {
        return Ok(());
    }
    let records: Vec<(&str, Option<&[u8]>)> = keys.iter().map(|k| (k.as_str(), None)).collect();
    loop {
        match shared.store.append(store::JOBS, &records, Guard::default()).await {
            Ok(_) => return Ok(()),
            Err(e) if !term.may_order() => return Err(e),
            // A repeat drops nothing more.
            Err(_) => sleep(CALL_AGAIN).await,
        }
    }
}

async fn store_batch(
    shared: &Shared,
    term: &Term,
    batch: &DecisionBatch,
    number: &mut u64,
) -> Result<(), StoreError> {
    let records: Vec<(&str, Option<&[u8]>)> =
        batch.updates.iter().map(|e| (&*e.key, e.value.as_deref())).collect();
    loop {
        let guard = Guard { at: None, term: Some((term.number, *number)) };
        let sent = Instant::now();
        match shared.store.append(store::PROGRESS, &records, guard).await {
            Ok(_) => {
                *term.stored_at.lock() = sent;
                return Ok(());
            }
            Err(StoreError::Fenced) => return Err(StoreError::Fenced),
            Err(StoreError::Sequence { expected }) => *number = expected,
            Err(e) if !term.may_order() => return Err(e),
            // The same number again: the store repeats its answer if it was done.
            Err(_) => sleep(CALL_AGAIN).await,
        }
    }
}

fn carry_out(shared: &Arc<Shared>, term: &Arc<Term>, batch: DecisionBatch) {
    if let Some(owner) = shared.owner.lock().as_mut() {
        owner.mark_stored(&batch);
    }
    shared.committed.notify_waiters();
    shared.log_owner_events(&batch.events);
    for worker in batch.workers_to_acknowledge() {
        shared.worker_wake(worker).notify_one();
    }
    workers::send(shared, term, batch.orders);
}
