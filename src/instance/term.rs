//! Election of the owner, and the owner's work during its term.
//!
//! The owner appends heartbeats to the store. When they stop, or come from a machine that is too
//! small (`election`), another instance appends the next term on the condition that no other record
//! was appended, sets that term as the epoch of the progress topic, which fences the earlier owner,
//! and loads the stored state.

use crate::batch::owner::{DecisionBatch, MAX_STORE_OUTAGE, Owner};
use crate::batch::prior_leases::{LeaseRecord, PriorLeases};
use crate::batch::worker::WorkerInfo;
use crate::event::Event;
use crate::ids::{JobId, Time};
use crate::instance::election::{
    Election, HEARTBEAT_TIMEOUT, Heartbeats, RecordOutcome, TakeoverReason, first_sequence,
};
use crate::instance::owner_load::{self, OwnerLoad};
use crate::instance::repeated_append::RepeatedAppend;
use crate::instance::shared::{OwnerInfo, Shared};
use crate::instance::start_attempts::{CallRepeats, StartSettings};
use crate::instance::submissions::{CANCEL_KEY_SUFFIX, Deletion, SubmissionIndex, merge_by_time};
use crate::instance::topics::{self, OWNER_KEY};
use crate::instance::{machine_orders, peers, tasks, workers};
use crate::platform::job_format::{self, StoredJob};
use crate::platform::registry;
use crate::platform::store::{
    self, AppendCondition, Fetched, LatestRead, Partition, Record, StoreError,
};
use futures::future::try_join_all;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time between two heartbeats of the owner.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest time between two heartbeats; limits the number of calls to the store, which are billed.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest and longest wait of a read of the owner topic.
const MIN_OWNER_READ_WAIT: Duration = Duration::from_millis(20);
const MAX_OWNER_READ_WAIT: Duration = Duration::from_millis(500);
/// Pause before each batch; limits the number of calls to the store, which are billed.
const COMMIT_INTERVAL: Duration = Duration::from_millis(25);
/// Longest time between two planning passes.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two queries to the earlier owner.
const EARLIER_OWNER_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without an answer after which a small append is sent again beside the earlier attempts. Longer
/// than a slow store takes, and several attempts fit into `HEARTBEAT_TIMEOUT`.
const HEARTBEAT_RESEND_DELAY: Duration = Duration::from_millis(250);
/// The same for an append of progress.
const PROGRESS_RESEND_DELAY: Duration = Duration::from_millis(600);
/// Largest append that is sent again before its timeout, in bytes. A second copy of a larger
/// one would take as long on a slow link as the first.
const MAX_EARLY_RESEND_BYTES: usize = 16 * 1_024;
/// Time for which an instance tries to take over before it reads the topic again.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time between two checks for dropped jobs to delete; several fit into a short term.
const DELETE_INTERVAL: Duration = Duration::from_millis(200);
/// Dropped jobs that one append deletes, so that it stays below `store::MAX_APPEND_BYTES`.
const MAX_DELETIONS: usize = 1_000;
/// Longest wait of a read of callers' jobs. With the answer of a slow store it ends before the owner may not
/// tell any more that a job does not exist.
const JOBS_READ_WAIT: Duration = Duration::from_millis(1_300);

/// Takes part in the election of the owner for as long as the process runs.
pub async fn run_election(shared: Arc<Shared>) {
    let mut next: Option<u64> = None;
    let mut election = Election::new(
        shared.cfg.name.clone(),
        shared.incarnation,
        shared.cfg.machine,
        shared.now(),
    );
    // Latest term of this incarnation that has ended. A panic ends the one that was running.
    let mut last_ended_term = shared.term.lock().take().unwrap_or(0);
    *shared.owner.lock() = None;
    loop {
        let wait = owner_read_wait(election.takeover_at().0, shared.now());
        let requested_at = shared.now();
        match topics::read_topic(&shared, store::OWNER_TOPIC, next, wait).await {
            Ok((fetched, _)) => {
                next = Some(fetched.next_offset);
                record_owners(&shared, &mut election, &fetched);
            }
            Err(StoreError::Truncated { .. }) => next = None,
            Err(_) => {
                election.record_failed_read(shared.now());
                sleep(RETRY_DELAY).await;
                continue;
            }
        }
        let Some(topic_end) = next else { continue };
        // An append of this incarnation that got no response took effect.
        if let Some(term) = election.unconfirmed_term(last_ended_term) {
            let prior_leases = election.prior_leases().clone();
            run_term(&shared, Term::new(term, requested_at), topic_end, prior_leases, None).await;
            (next, last_ended_term) = (None, term);
            election.record_gap(shared.now());
            continue;
        }
        if shared.stopping.load(Ordering::Relaxed)
            || shared.active_config().declarations.version == 0
        {
            continue;
        }
        let (takeover_at, reason) = election.takeover_at();
        if shared.now() < takeover_at {
            continue;
        }
        let earlier = election.latest_owner().cloned();
        let earlier = earlier.map(|owner| (owner, election.earlier_owners_stopped_at()));
        let prior_leases = election.prior_leases().clone();
        let number = election.next_term();
        let sent_at = shared.now();
        match try_take_over(&shared, &election, topic_end, reason).await {
            Ok(topic_end) => {
                let term = Term::new(number, sent_at).with_confirmed_takeover(sent_at);
                run_term(&shared, term, topic_end, prior_leases, earlier).await;
                (next, last_ended_term) = (None, number);
                election.record_gap(shared.now());
            }
            // Another instance appended first, or the response was lost; the next read shows which.
            Err(e) => {
                election.record_failed_takeover(&e, shared.now());
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Passes the owner records of a read to the election, and remembers the latest owner for calls.
fn record_owners(shared: &Shared, election: &mut Election, fetched: &Fetched) {
    for record in &fetched.records {
        let Some(status) = topics::decode_owner_record(record) else {
            let error = "the record names no owner";
            shared.log_unreadable(store::OWNER_TOPIC, record.offset, &record.key, error);
            continue;
        };
        let (owner_info, now) = (status.owner, shared.now());
        match election.record_owner(owner_info.clone(), status.has_resigned, now) {
            RecordOutcome::Followed => {
                election.record_leases(status.leases.as_ref(), now);
                update_known_owner(shared, &owner_info, status.has_resigned);
                shared.record_owner_reads(status.submission_partitions);
            }
            RecordOutcome::EarlierTerm | RecordOutcome::SameTerm => {
                let known_term = election.latest_owner().map_or(0, |o| o.term);
                let fields = [
                    ("entry", (&owner_info.name).into()),
                    ("term", owner_info.term.into()),
                    ("known_term", known_term.into()),
                ];
                shared.log.event(Event::OwnerRecordIgnored, &fields);
            }
        }
    }
}

/// Returns how long a read of the owner topic may wait, so that it ends in time for a takeover. One
/// that is overdue has failed or is not allowed yet, and is not tried more often than usual.
fn owner_read_wait(takeover_at: Time, now: Time) -> Duration {
    match takeover_at.saturating_sub(now) {
        Duration::ZERO => MAX_OWNER_READ_WAIT,
        left => left.clamp(MIN_OWNER_READ_WAIT, MAX_OWNER_READ_WAIT),
    }
}

fn update_known_owner(shared: &Shared, owner_info: &OwnerInfo, has_resigned: bool) {
    let mut known_owner = shared.known_owner.lock();
    let is_known = known_owner.as_ref().is_some_and(|o| o.term == owner_info.term);
    if !is_known {
        let fields = [("entry", (&owner_info.name).into()), ("term", owner_info.term.into())];
        shared.log.event(Event::OwnerSeen, &fields);
    }
    *known_owner = (!has_resigned).then(|| owner_info.clone());
}

/// Tries to become the owner. Returns the end of the topic after this instance's record. After an
/// error the record may still be stored.
async fn try_take_over(
    shared: &Shared,
    election: &Election,
    topic_end: u64,
    reason: TakeoverReason,
) -> Result<u64, StoreError> {
    let term = election.next_term();
    let leases = election.prior_leases().inherited_record(false, shared.now());
    let record = topics::encode_owner_record(shared, term, Duration::ZERO, false, leases);
    let append = RepeatedAppend {
        topic: store::OWNER_TOPIC,
        records: &[(OWNER_KEY, Some(&record))],
        condition: election.takeover_condition(topic_end),
        resend_delay: HEARTBEAT_RESEND_DELAY,
    };
    let give_up_at = shared.now() + TAKEOVER_TIMEOUT;
    let result = append.send(shared, |now| now < give_up_at).await;
    match &result {
        Ok(_) => {
            let machine = shared.cfg.machine;
            let fields = [
                ("term", term.into()),
                ("reason", reason.as_str().into()),
                ("processors_milli", machine.processors_milli.into()),
                ("link_mbps", machine.link_mbps.into()),
            ];
            shared.log.event(Event::OwnerHere, &fields);
        }
        Err(e) => {
            let error = e.to_string();
            let fields = [("term", term.into()), ("error", (&error).into())];
            shared.log.event(Event::OwnerNotHere, &fields);
        }
    }
    result
}

/// Whether a start may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartPermission {
    Granted,
    /// Not before the store confirms the term again: another instance may have taken over.
    Unconfirmed,
    /// Not in this term.
    Denied,
}

/// State shared by the tasks of one term.
pub struct Term {
    pub number: u64,
    /// Why the term ended; `None` while it lasts.
    end_reason: Mutex<Option<String>>,
    ended: Notify,
    /// The owner resigns: it stores what is decided, and sends no orders any more.
    resigning: AtomicBool,
    /// When the latest of the appends that the store confirmed was first sent.
    last_store_at: Mutex<Time>,
    /// When the latest of the confirmed owner records was first sent; `None` before there is one.
    last_heartbeat_at: Mutex<Option<Time>>,
    /// Notified when the store has confirmed a heartbeat.
    heartbeat_stored: Notify,
    pub load: OwnerLoad,
    /// Starts of the term, and which of them are sent again early.
    pub starts: Mutex<CallRepeats>,
    /// The same for polls.
    pub polls: Mutex<CallRepeats>,
}

impl Term {
    /// Creates a term whose first append was sent at `now`.
    pub fn new(number: u64, now: Time) -> Term {
        let repeats = || Mutex::new(CallRepeats::new(StartSettings::default()));
        Term {
            number,
            end_reason: Mutex::new(None),
            ended: Notify::new(),
            resigning: AtomicBool::new(false),
            last_store_at: Mutex::new(now),
            last_heartbeat_at: Mutex::new(None),
            heartbeat_stored: Notify::new(),
            load: OwnerLoad::default(),
            starts: repeats(),
            polls: repeats(),
        }
    }

    /// Sets when the owner record that began the term was sent, if the store confirmed it. One that was only
    /// read may be older than the read.
    pub fn with_confirmed_takeover(self, sent_at: Time) -> Term {
        *self.last_heartbeat_at.lock() = Some(sent_at);
        self
    }

    /// Sets when calls to workers are sent again.
    pub fn with_start_settings(self, settings: StartSettings) -> Term {
        *self.starts.lock() = CallRepeats::new(settings);
        *self.polls.lock() = CallRepeats::new(settings);
        self
    }

    /// Ends the term. Only the first reason is kept.
    pub fn end(&self, reason: &str) {
        self.end_reason.lock().get_or_insert_with(|| reason.to_string());
        self.ended.notify_one();
    }

    /// Records that the store confirmed an append that was first sent at `sent_at`.
    pub fn record_stored(&self, sent_at: Time) {
        let mut last_store_at = self.last_store_at.lock();
        *last_store_at = last_store_at.max(sent_at);
    }

    /// Records that the store confirmed a heartbeat that was first sent at `sent_at`.
    pub fn record_heartbeat(&self, sent_at: Time) {
        let mut last_heartbeat_at = self.last_heartbeat_at.lock();
        *last_heartbeat_at = (*last_heartbeat_at).max(Some(sent_at));
        drop(last_heartbeat_at);
        self.heartbeat_stored.notify_waiters();
    }

    /// Waits until the store confirms a heartbeat.
    pub async fn next_heartbeat(&self) {
        self.heartbeat_stored.notified().await;
    }

    /// Stops orders for the rest of the term. From here on its records may say so.
    pub fn resign(&self) {
        self.resigning.store(true, Ordering::Relaxed);
    }

    /// Whether orders may be sent and leases extended. A later owner relies on this limit. Time for
    /// which the machine was suspended counts.
    pub fn may_send_orders(&self, now: Time) -> bool {
        !self.resigning.load(Ordering::Relaxed) && self.may_append(now)
    }

    /// Whether a start may be sent. A worker that restarts forgets the fencing token of a later owner, so a
    /// start, unlike other orders, needs a term that no other instance can have taken over for lack of
    /// heartbeats. Other appends do not count: they keep nobody from taking over.
    pub fn start_permission(&self, now: Time) -> StartPermission {
        let last_heartbeat_at = *self.last_heartbeat_at.lock();
        let is_confirmed = last_heartbeat_at.is_some_and(|at| now < at + HEARTBEAT_TIMEOUT);
        match (self.may_send_orders(now), is_confirmed) {
            (false, _) => StartPermission::Denied,
            (true, false) => StartPermission::Unconfirmed,
            (true, true) => StartPermission::Granted,
        }
    }

    /// Whether records of the term may be appended.
    pub fn may_append(&self, now: Time) -> bool {
        self.end_reason.lock().is_none() && now < *self.last_store_at.lock() + MAX_STORE_OUTAGE
    }
}

/// Runs a term until a later owner takes over, the store does not respond for too long, or the
/// process stops. The owner topic ended at `topic_end` when it was known last. `prior_leases` is what the
/// record of the owner before says about leases, `earlier` is that owner, and when those before it have
/// stopped.
async fn run_term(
    shared: &Arc<Shared>,
    term: Term,
    topic_end: u64,
    prior_leases: PriorLeases,
    earlier: Option<(OwnerInfo, Time)>,
) {
    let number = term.number;
    let term = Arc::new(term.with_start_settings(shared.cfg.settings.start_orders));
    *shared.term.lock() = Some(number);
    shared.record_owner_reads(shared.read_partitions());
    let heartbeats = Heartbeats::new(number, shared.incarnation, topic_end);
    let mut tasks = JoinSet::new();
    tasks.spawn(send_heartbeats(shared.clone(), term.clone(), heartbeats, prior_leases.clone()));
    let has_resigned = prior_leases.others_until().is_some();
    tasks.spawn(act_as_owner(shared.clone(), term.clone(), prior_leases));
    tasks.spawn(await_earlier_owner(shared.clone(), earlier, has_resigned));
    tasks.spawn(owner_load::report(shared.clone(), term.clone()));
    tokio::select! {
        () = term.ended.notified() => {}
        error = tasks::first_panic(&mut tasks) => end_term_after_panic(&term, error),
    }
    tasks.shutdown().await;
    *shared.owner.lock() = None;
    *shared.term.lock() = None;
    let reason = term.end_reason.lock().clone().unwrap_or_default();
    let fields = [("term", number.into()), ("reason", (&reason).into())];
    shared.log.event(Event::OwnerGone, &fields);
}

/// Queries the earlier owner until it confirms that it no longer sends orders, unless its last record says
/// so. It does not know of the orders of owners before it, which may go on until they have stopped for
/// certain.
async fn await_earlier_owner(
    shared: Arc<Shared>,
    earlier: Option<(OwnerInfo, Time)>,
    has_resigned: bool,
) {
    let Some((earlier, others_stopped_at)) = earlier else { return };
    loop {
        let is_loaded = shared.owner.lock().is_some();
        if is_loaded && (has_resigned || peers::has_ended_term(&earlier.peers, earlier.term).await)
        {
            let now = shared.now();
            let mut wait = Duration::ZERO;
            if let Some(owner) = shared.owner.lock().as_mut() {
                if !has_resigned {
                    owner.record_previous_owners_stopped(now.max(others_stopped_at));
                }
                wait = owner.prior_leases_until().saturating_sub(now);
            }
            let fields = [
                ("entry", (&earlier.name).into()),
                ("term", earlier.term.into()),
                ("wait_ms", (wait.as_millis() as u64).into()),
            ];
            return shared.log.event(Event::EarlierOwnerOver, &fields);
        }
        sleep(EARLIER_OWNER_POLL_INTERVAL).await;
    }
}

/// Appends heartbeats of the owner.
async fn send_heartbeats(
    shared: Arc<Shared>,
    term: Arc<Term>,
    mut heartbeats: Heartbeats,
    prior_leases: PriorLeases,
) {
    let began_at = shared.now();
    loop {
        sleep(MIN_HEARTBEAT_INTERVAL).await;
        let left = HEARTBEAT_INTERVAL - MIN_HEARTBEAT_INTERVAL;
        // A heartbeat follows both a notification and the timeout.
        let _ = timeout(left, shared.heartbeat_needed.notified()).await;
        let stopping = shared.stopping.load(Ordering::Relaxed);
        if stopping {
            // Orders of the last batch are still sent.
            sleep(MIN_HEARTBEAT_INTERVAL).await;
            term.resign();
        }
        let term_age = shared.now().saturating_sub(began_at);
        let leases = announce_leases(&shared, &prior_leases, stopping);
        let record = topics::encode_owner_record(&shared, term.number, term_age, stopping, leases);
        let append = RepeatedAppend {
            topic: store::OWNER_TOPIC,
            records: &[(OWNER_KEY, Some(&record))],
            condition: heartbeats.condition(),
            resend_delay: match record.len() {
                0..=MAX_EARLY_RESEND_BYTES => HEARTBEAT_RESEND_DELAY,
                _ => store::CALL_TIMEOUT,
            },
        };
        let sent_at = shared.now();
        let end = match append_in_term(&shared, &term, append).await {
            Ok(end) => end,
            Err(e) => return end_term(&shared, &term, &e),
        };
        term.record_heartbeat(sent_at);
        shared.record_owner_reads(shared.read_partitions());
        if stopping {
            return term.end("stopping");
        }
        if let Some(owner) = shared.owner.lock().as_mut() {
            owner.record_leases_announced();
        }
        let Some(unread_from) = heartbeats.record_stored(end) else { continue };
        // Read with the next heartbeat if it fails.
        let Ok(fetched) = shared.store.read(store::OWNER_TOPIC, unread_from, Duration::ZERO).await
        else {
            continue;
        };
        if let Some(owner_info) = successor(&heartbeats, &fetched) {
            log_term_conflict(&shared, &term, &owner_info.name, "its record was read");
            return term.end("another owner's record was read");
        }
        heartbeats.record_read(end);
    }
}

/// Returns what the next record says about leases.
fn announce_leases(shared: &Shared, prior_leases: &PriorLeases, resigning: bool) -> LeaseRecord {
    let now = shared.now();
    match shared.owner.lock().as_mut() {
        Some(owner) => owner.announce_leases(resigning, now),
        None => prior_leases.inherited_record(resigning, now),
    }
}

/// Returns the owner that records name beside or after the one that sends `heartbeats`.
fn successor(heartbeats: &Heartbeats, fetched: &Fetched) -> Option<OwnerInfo> {
    let owners = fetched.records.iter().filter_map(topics::decode_owner_record);
    owners.map(|status| status.owner).find(|o| heartbeats.is_superseded_by(o))
}

/// Appends a record of the term, as long as this instance may.
async fn append_in_term(
    shared: &Shared,
    term: &Term,
    append: RepeatedAppend<'_>,
) -> Result<u64, StoreError> {
    // Which attempt took effect is not known: a retry repeats the first answer.
    let sent_at = shared.now();
    let end = append.send(shared, |now| term.may_append(now)).await?;
    term.record_stored(sent_at);
    Ok(end)
}

/// Ends a term after an append failed for good.
fn end_term(shared: &Shared, term: &Term, error: &StoreError) {
    match error {
        StoreError::Fenced => term.end("a later owner has taken over"),
        StoreError::SequenceMismatch { .. } => {
            // An incarnation counts its own appends without gaps, so another one has the same term.
            log_term_conflict(shared, term, "", &error.to_string());
            term.end("another owner has appended in this term");
        }
        StoreError::EndMismatch { .. }
        | StoreError::NoResponse
        | StoreError::Refused { .. }
        | StoreError::Truncated { .. }
        | StoreError::Unreachable => term.end("the store does not answer"),
    }
}

fn log_term_conflict(shared: &Shared, term: &Term, entry: &str, error: &str) {
    let fields = [("term", term.number.into()), ("entry", entry.into()), ("error", error.into())];
    shared.log.event(Event::TermConflict, &fields);
}

/// Loads the stored state and runs the owner's tasks.
async fn act_as_owner(shared: Arc<Shared>, term: Arc<Term>, prior_leases: PriorLeases) {
    let sequence = first_sequence(shared.incarnation);
    if let Err(e) = fence_earlier_owners(&shared, &term, sequence).await {
        return end_term(&shared, &term, &e);
    }
    let loaded = match load(&shared, &term, prior_leases).await {
        Ok(loaded) => loaded,
        Err(e) => return term.end(&e.to_string()),
    };
    let Loaded { jobs_next, index, workers_next, listed } = loaded;
    let index = Arc::new(Mutex::new(index));
    let mut tasks = JoinSet::new();
    for (number, from) in (0..).zip(jobs_next) {
        tasks.spawn(follow_jobs(shared.clone(), term.clone(), index.clone(), number, from));
    }
    tasks.spawn(workers::follow_worker_list(shared.clone(), term.clone(), workers_next, listed));
    tasks.spawn(machine_orders::run(shared.clone(), term.clone()));
    tasks.spawn(commit_batches(shared.clone(), term.clone(), sequence));
    tasks.spawn(delete_submissions(shared.clone(), term.clone(), index));
    let error = tasks::first_panic(&mut tasks).await;
    end_term_after_panic(&term, error);
}

/// Ends a term after a task panicked, so that another owner decides instead of none. The tasks run as long
/// as the term; without a panic, it ends by itself.
fn end_term_after_panic(term: &Term, error: Option<String>) {
    if let Some(error) = error {
        term.end(&format!("a task panicked: {error}"));
    }
}

/// Sets the term as the epoch of the progress topic, so that appends of earlier owners fail.
async fn fence_earlier_owners(
    shared: &Shared,
    term: &Term,
    sequence: u64,
) -> Result<(), StoreError> {
    let append = RepeatedAppend {
        topic: store::PROGRESS_TOPIC,
        records: &[],
        condition: AppendCondition { expected_end: None, producer: Some((term.number, sequence)) },
        resend_delay: HEARTBEAT_RESEND_DELAY,
    };
    append_in_term(shared, term, append).await.map(|_| ())
}

/// Where to continue reading after the stored state was loaded.
struct Loaded {
    /// Offset in each partition of callers' jobs.
    jobs_next: Vec<u64>,
    index: SubmissionIndex,
    workers_next: u64,
    listed: IndexMap<Arc<str>, WorkerInfo>,
}

/// Loads jobs, their progress and the workers into a new owner.
async fn load(
    shared: &Shared,
    term: &Term,
    prior_leases: PriorLeases,
) -> Result<Loaded, StoreError> {
    let (started, requested_at) = (Instant::now(), shared.now());
    let progress = read_latest(shared, term, store::PROGRESS_TOPIC.into()).await?;
    let numbers = 0..shared.read_partitions();
    let reads = numbers.map(|number| read_latest(shared, term, jobs_partition(number)));
    let jobs = try_join_all(reads).await?;
    let workers = read_latest(shared, term, store::WORKERS_TOPIC.into()).await?;
    let now = shared.now();
    let mut owner = Owner::new(term.number, shared.cfg.bounds, shared.active_config(), now)
        .with_overload_settings(shared.cfg.settings.overload)
        .with_prior_leases(prior_leases);
    let mut index = SubmissionIndex::default();
    for (key, job) in submissions_in_order(shared, &jobs, &mut index) {
        accept_job(&mut owner, key, job, now);
    }
    for record in &progress.records {
        if let Some(value) = &record.value {
            owner.restore_record(&record.key, value, now);
        }
    }
    // Cancellations are stored separately from jobs; those not carried out yet are applied again.
    for record in jobs.iter().flat_map(|fetched| &fetched.records) {
        if let Some(job) = record.key.strip_suffix(CANCEL_KEY_SUFFIX) {
            owner.cancel(job, now);
        }
    }
    let mut listed = IndexMap::new();
    for record in &workers.records {
        apply_worker_record(shared, &mut listed, record);
    }
    owner.update_workers(&listed, now);
    owner.finish_restore(now);
    owner.submissions_read_at = requested_at;
    let fields = [
        ("term", term.number.into()),
        ("jobs", (owner.jobs.len() as u64).into()),
        ("workers", (owner.workers.len() as u64).into()),
        ("took_ms", (started.elapsed().as_millis() as u64).into()),
        ("wait_ms", (owner.prior_leases_until().saturating_sub(now).as_millis() as u64).into()),
    ];
    shared.log.event(Event::OwnerReady, &fields);
    *shared.owner.lock() = Some(owner);
    (0..shared.read_partitions()).for_each(|number| shared.mark_jobs_read(number, requested_at));
    shared.plan_needed.notify_one();
    let jobs_next = jobs.iter().map(|fetched| fetched.next_offset).collect();
    Ok(Loaded { jobs_next, index, workers_next: workers.next_offset, listed })
}

fn jobs_partition(number: u32) -> Partition<'static> {
    Partition::new(store::JOBS_TOPIC, number)
}

/// Returns the submitted jobs of all partitions in the order in which they were taken.
fn submissions_in_order<'a>(
    shared: &Shared,
    partitions: &'a [Fetched],
    index: &mut SubmissionIndex,
) -> Vec<(&'a str, StoredJob)> {
    let mut submissions = Vec::new();
    for (number, fetched) in (0..).zip(partitions) {
        let mut decoded = Vec::new();
        for record in &fetched.records {
            index.record(number, &record.key, record.value.is_some());
            if let Some(job) = decode_submission(shared, jobs_partition(number), record) {
                decoded.push((job.taken_at, (&*record.key, job)));
            }
        }
        submissions.push(decoded);
    }
    merge_by_time(submissions)
}

async fn read_latest(
    shared: &Shared,
    term: &Term,
    partition: Partition<'_>,
) -> Result<store::Fetched, StoreError> {
    let mut read = LatestRead::default();
    let mut is_logged = false;
    loop {
        match shared.store.continue_read_latest(partition, &mut read).await {
            Ok(fetched) => {
                topics::log_unreadable_records(shared, partition, &fetched);
                return Ok(fetched);
            }
            Err(e) if !term.may_append(shared.now()) => return Err(e),
            Err(e) => {
                if !std::mem::replace(&mut is_logged, true) {
                    let (topic, error) = (partition.to_string(), e.to_string());
                    let fields = [("topic", (&topic).into()), ("error", (&error).into())];
                    shared.log.event(Event::TopicUnread, &fields);
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Applies one record of the worker registry to the list of workers.
pub fn apply_worker_record(
    shared: &Shared,
    listed: &mut IndexMap<Arc<str>, WorkerInfo>,
    record: &Record,
) {
    let id = &*record.key;
    let Some(value) = &record.value else {
        listed.swap_remove(id);
        return;
    };
    match registry::decode_worker(id, value) {
        Some(entry) => {
            listed.insert(id.into(), entry);
        }
        None => {
            // An unreadable registration describes no worker, and the previous one is no longer
            // valid.
            listed.swap_remove(id);
            let error = "the registration names no worker";
            shared.log_unreadable(store::WORKERS_TOPIC, record.offset, id, error);
        }
    }
}

/// Decodes the record of a submitted job; `None` if it is another record, or an odd one, which is logged.
fn decode_submission(
    shared: &Shared,
    partition: Partition<'_>,
    record: &Record,
) -> Option<StoredJob> {
    let key = &*record.key;
    let value = record.value.as_ref().filter(|_| !key.ends_with(CANCEL_KEY_SUFFIX))?;
    let decoded = match job_format::is_job_id(key) {
        true => job_format::decode_stored_job(value),
        false => Err(format!("{key} is no job id")),
    };
    decoded.inspect_err(|e| shared.log_unreadable(partition, record.offset, key, e)).ok()
}

/// Adds a submitted job to the owner. Returns whether the job is new.
fn accept_job(owner: &mut Owner, key: &str, job: StoredJob, now: Time) -> bool {
    let is_new = owner.add_job(key.into(), Arc::new(job.spec), job.queue, job.team, now);
    if let Some(queue) = job.accepted_queue.filter(|_| is_new) {
        owner.record_accepted_queue(key, queue);
    }
    is_new
}

/// Reads submitted jobs and cancellations of one partition and applies them to the owner.
async fn follow_jobs(
    shared: Arc<Shared>,
    term: Arc<Term>,
    index: Arc<Mutex<SubmissionIndex>>,
    number: u32,
    from: u64,
) {
    let partition = jobs_partition(number);
    let mut next = Some(from);
    let mut wait = JOBS_READ_WAIT;
    loop {
        let requested_at = shared.now();
        match topics::read_topic(&shared, partition, next, wait).await {
            Ok((fetched, is_full)) => {
                (next, wait) = (Some(fetched.next_offset), JOBS_READ_WAIT);
                let mut lock = shared.owner.lock();
                let Some(owner) = lock.as_mut() else { return term.end("the owner state is gone") };
                let mut index = index.lock();
                if is_full {
                    index.clear_partition(number);
                }
                for record in &fetched.records {
                    index.record(number, &record.key, record.value.is_some());
                    apply_submission(&shared, owner, partition, record);
                }
                index.record_read(number, fetched.next_offset);
                drop(index);
                if fetched.next_offset >= fetched.end {
                    shared.mark_jobs_read(number, requested_at);
                    owner.submissions_read_at = shared.jobs_known_until();
                }
                drop(lock);
                if !fetched.records.is_empty() {
                    shared.plan_needed.notify_one();
                }
            }
            Err(StoreError::Truncated { .. }) => next = None,
            Err(_) => {
                // A partition that can be read again counts as read at once, not after a poll.
                wait = Duration::ZERO;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Applies a record of callers' jobs to the owner.
fn apply_submission(shared: &Shared, owner: &mut Owner, partition: Partition<'_>, record: &Record) {
    let now = shared.now();
    match record.key.strip_suffix(CANCEL_KEY_SUFFIX) {
        Some(job) if record.value.is_some() => {
            owner.cancel(job, now);
        }
        Some(_) => {}
        None => {
            if let Some(job) = decode_submission(shared, partition, record)
                && accept_job(owner, &record.key, job, now)
            {
                owner.record_arrival(&record.key, now);
            }
        }
    }
}

/// Plans, stores the decisions, and sends the resulting orders after that.
async fn commit_batches(shared: Arc<Shared>, term: Arc<Term>, mut sequence: u64) {
    loop {
        // A pass follows both a notification and the timeout.
        let _ = timeout(MAX_PLAN_INTERVAL, shared.plan_needed.notified()).await;
        sleep(COMMIT_INTERVAL).await;
        let Some(batch) = next_batch(&shared, &term) else {
            return term.end("the owner state is gone");
        };
        if batch.is_empty() {
            shared.log_owner_events(&batch.events);
            continue;
        }
        if let Err(e) = store_batch(&shared, &term, &batch, &mut sequence).await {
            return end_term(&shared, &term, &e);
        }
        apply_batch(&shared, &term, batch);
    }
}

fn next_batch(shared: &Shared, term: &Term) -> Option<DecisionBatch> {
    let started = Instant::now();
    let mut lock = shared.owner.lock();
    let owner = lock.as_mut()?;
    let now = shared.now();
    // A system clock before 1970 counts as 1970, when no schedule is due.
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    owner.tick(now, wall);
    if !shared.stopping.load(Ordering::Relaxed) {
        // What is placed now could not be sent before the resignation.
        owner.schedule_tasks(now);
    }
    let batch = owner.take_decisions(now);
    drop(lock);
    term.load.record_pass(shared, started);
    Some(batch)
}

/// Deletes the submissions and cancellations of dropped jobs. Apart from the batches, which go on while
/// this topic cannot be written. One partition at a time, so that their number costs no more appends.
async fn delete_submissions(
    shared: Arc<Shared>,
    term: Arc<Term>,
    index: Arc<Mutex<SubmissionIndex>>,
) {
    loop {
        sleep(DELETE_INTERVAL).await;
        let Some(deletion) = next_deletion(&shared, &index) else {
            return term.end("the owner state is gone");
        };
        if let Some(Deletion { partition, keys }) = deletion
            && term.may_append(shared.now())
        {
            let records: Vec<(&str, Option<&[u8]>)> =
                keys.iter().map(|k| (k.as_str(), None)).collect();
            let condition = AppendCondition::default();
            // Repeated unless the store confirms it. Deleting a key again has no effect.
            let result = shared.store.append(jobs_partition(partition), &records, condition).await;
            if let Ok(end) = result {
                index.lock().record_deletion(partition, end);
            }
        }
    }
}

/// Tells the owner which dropped jobs have no records any more, and returns what to delete next; `None`
/// without an owner.
fn next_deletion(shared: &Shared, index: &Mutex<SubmissionIndex>) -> Option<Option<Deletion>> {
    let mut lock = shared.owner.lock();
    let owner = lock.as_mut()?;
    let mut index = index.lock();
    let deleted: Vec<JobId> = owner.dropped_jobs().filter(|id| !index.holds(id)).cloned().collect();
    owner.record_submissions_deleted(&deleted);
    Some(index.next_deletion(owner.dropped_jobs(), MAX_DELETIONS))
}

/// Stores the updates of a batch, in several appends if it is large. If only the first ones succeed,
/// the next owner finds some tasks assigned that were never ordered, as after any lost order.
async fn store_batch(
    shared: &Shared,
    term: &Term,
    batch: &DecisionBatch,
    sequence: &mut u64,
) -> Result<(), StoreError> {
    let records: Vec<(&str, Option<&[u8]>)> =
        batch.updates.iter().map(|e| (&*e.key, e.value.as_deref())).collect();
    let size = |(key, value): &(&str, Option<&[u8]>)| key.len() + value.map_or(0, <[u8]>::len);
    let mut rest = &records[..];
    while !rest.is_empty() {
        let (part, later) = rest.split_at(store::records_per_append(rest.iter().map(size)));
        let started = Instant::now();
        *sequence += 1;
        let append = RepeatedAppend {
            topic: store::PROGRESS_TOPIC,
            records: part,
            condition: AppendCondition {
                expected_end: None,
                producer: Some((term.number, *sequence)),
            },
            resend_delay: match part.iter().map(size).sum::<usize>() {
                0..=MAX_EARLY_RESEND_BYTES => PROGRESS_RESEND_DELAY,
                _ => store::CALL_TIMEOUT,
            },
        };
        append_in_term(shared, term, append).await?;
        term.load.record_store(shared, part.iter().map(size).sum(), started);
        rest = later;
    }
    Ok(())
}

fn apply_batch(shared: &Arc<Shared>, term: &Arc<Term>, batch: DecisionBatch) {
    if let Some(owner) = shared.owner.lock().as_mut() {
        owner.mark_stored(&batch);
    }
    shared.batch_stored.notify_waiters();
    shared.log_owner_events(&batch.events);
    for worker in batch.workers_to_acknowledge() {
        shared.worker_wake(worker).notify_one();
    }
    workers::send_orders(shared, term, batch.orders);
}
