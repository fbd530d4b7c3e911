//! Queue that batches appends of callers' records to the store.
//!
//! The store processes the appends to one partition one after another. This instance has one append in
//! flight for each partition; records that arrive meanwhile go into the next one, so that a slow store
//! receives fewer calls rather than more.
//!
//! Load that this answers: many records wait when the store returns, and a slow link carries them. All appends in
//! flight share the link, so together they carry no more than one append may: more would all exceed
//! `store::CALL_TIMEOUT` and be sent again from the start. Within that budget, a partition that does not answer
//! holds up its own records only; if its records fill the budget, others wait for the time of its call.

use crate::platform::store::{self, AppendCondition, Partition, Store, StoreError};
use bytes::Bytes;
use futures::future::join_all;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::time::{sleep, timeout_at};

/// Pause before an append without a response is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time after which the store carries out an append that got no response.
const LATE_APPEND_WINDOW: Duration = Duration::from_secs(12);

/// Outcome of an attempt to store a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    Stored,
    /// The record is not stored and never will be, by any call at this instance.
    NotStored,
    /// The record is stored, or may still be stored later.
    Unknown,
}

struct PendingAppend {
    key: String,
    value: Bytes,
    deadline: Instant,
    /// An append that contained the record got no response.
    maybe_stored: bool,
    reply: oneshot::Sender<AppendOutcome>,
}

/// Records of one partition.
#[derive(Default)]
struct Lane {
    pending: Vec<PendingAppend>,
    /// Keys of the append in flight.
    in_flight: Vec<String>,
}

impl Lane {
    fn holds(&self, key: &str) -> bool {
        self.pending.iter().any(|p| p.key == key) || self.in_flight.iter().any(|k| k == key)
    }
}

/// Records that wait to be appended to the store, by partition.
pub struct AppendQueue {
    /// A key has records in one lane at a time, so that the outcome of an append is known before the next
    /// record of its key is appended.
    lanes: Mutex<Vec<Lane>>,
    /// One for each lane.
    wakes: Vec<Notify>,
    /// Bytes that further appends may carry, `store::MAX_APPEND_BYTES` while none is in flight. Lanes get them in
    /// the order in which they ask.
    budget: Semaphore,
    /// Until when the record of a key may be stored by an append that got no response, in any partition.
    uncertain_until: Mutex<IndexMap<String, Instant>>,
}

impl AppendQueue {
    /// Creates a queue for partitions numbered from 0.
    pub fn new(partitions: u32) -> AppendQueue {
        AppendQueue {
            lanes: Mutex::new((0..partitions).map(|_| Lane::default()).collect()),
            wakes: (0..partitions).map(|_| Notify::new()).collect(),
            budget: Semaphore::new(store::MAX_APPEND_BYTES),
            uncertain_until: Mutex::default(),
        }
    }

    /// Stores a record in a partition, or in the one where an earlier record of the same key waits or is in
    /// flight. Gives up at `deadline`.
    pub async fn store(
        &self,
        partition: u32,
        key: &str,
        value: Bytes,
        deadline: Instant,
    ) -> AppendOutcome {
        let (reply, outcome) = oneshot::channel();
        let (key, maybe_stored) = (key.to_string(), false);
        self.push(partition, PendingAppend { key, value, deadline, maybe_stored, reply });
        // A record that is in flight at the deadline may still be stored.
        match timeout_at(deadline.into(), outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => AppendOutcome::Unknown,
        }
    }

    fn push(&self, partition: u32, record: PendingAppend) {
        let mut lanes = self.lanes.lock();
        let busy = lanes.iter().position(|lane| lane.holds(&record.key));
        let number = busy.unwrap_or(partition as usize);
        lanes[number].pending.push(record);
        drop(lanes);
        self.wakes[number].notify_one();
    }

    /// Appends queued records for as long as the process runs.
    pub async fn run(self: Arc<AppendQueue>, store: Store) {
        join_all((0..self.wakes.len()).map(|number| self.run_lane(number, &store))).await;
    }

    async fn run_lane(&self, number: usize, store: &Store) {
        // What an earlier call of `run` had in flight has an unknown outcome.
        let interrupted = std::mem::take(&mut self.lanes.lock()[number].in_flight);
        self.record_uncertain(interrupted.into_iter());
        let partition = Partition::new(store::JOBS_TOPIC, number as u32);
        loop {
            let (count, bytes) = self.next_append(number);
            if count == 0 {
                self.wakes[number].notified().await;
                continue;
            }
            // A record that is larger than the budget takes all of it. The semaphore is never closed.
            let in_flight =
                self.budget.acquire_many(bytes.min(store::MAX_APPEND_BYTES) as u32).await;
            let mut batch = self.take_batch(number, count);
            let records: Vec<(&str, Option<&[u8]>)> =
                batch.iter().map(|p| (p.key.as_str(), Some(&*p.value))).collect();
            let result = store.append(partition, &records, AppendCondition::default()).await;
            drop(in_flight);
            match result {
                Ok(_) => {
                    complete(batch, AppendOutcome::Stored);
                    self.requeue(number, Vec::new());
                }
                Err(StoreError::NoResponse) => {
                    batch.iter_mut().for_each(|p| p.maybe_stored = true);
                    self.record_uncertain(batch.iter().map(|p| p.key.clone()));
                    self.requeue(number, batch);
                    sleep(RETRY_DELAY).await;
                }
                // This append had no effect, but an earlier one of the same record may have had.
                Err(_) => {
                    let (maybe_stored, not_stored) = batch
                        .into_iter()
                        .partition(|p| p.maybe_stored || self.is_uncertain(&p.key));
                    complete(not_stored, AppendOutcome::NotStored);
                    self.requeue(number, maybe_stored);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn record_uncertain(&self, keys: impl Iterator<Item = String>) {
        let now = Instant::now();
        let mut uncertain_until = self.uncertain_until.lock();
        uncertain_until.retain(|_, until| now < *until);
        uncertain_until.extend(keys.map(|key| (key, now + LATE_APPEND_WINDOW)));
    }

    /// Whether an earlier call's record of this key may be stored or become so.
    fn is_uncertain(&self, key: &str) -> bool {
        self.uncertain_until.lock().get(key).is_some_and(|until| Instant::now() < *until)
    }

    /// Returns how many of a lane's records the next append carries, and their size in bytes.
    fn next_append(&self, number: usize) -> (usize, usize) {
        let lane = &self.lanes.lock()[number];
        let sizes = lane.pending.iter().map(|p| p.key.len() + p.value.len());
        let count = store::records_per_append(sizes.clone());
        (count, sizes.take(count).sum())
    }

    fn take_batch(&self, number: usize, count: usize) -> Vec<PendingAppend> {
        let lane = &mut self.lanes.lock()[number];
        let batch: Vec<PendingAppend> = lane.pending.drain(..count).collect();
        lane.in_flight = batch.iter().map(|p| p.key.clone()).collect();
        batch
    }

    /// Ends an append: requeues those of its records whose outcome is open and whose deadline has not passed.
    /// Storing a record again has no effect.
    fn requeue(&self, number: usize, batch: Vec<PendingAppend>) {
        let now = Instant::now();
        let (mut retained, expired): (Vec<PendingAppend>, Vec<PendingAppend>) =
            batch.into_iter().partition(|p| p.deadline > now);
        complete(expired, AppendOutcome::Unknown);
        let lane = &mut self.lanes.lock()[number];
        lane.in_flight.clear();
        retained.append(&mut lane.pending);
        lane.pending = retained;
    }
}

fn complete(batch: Vec<PendingAppend>, outcome: AppendOutcome) {
    for pending in batch {
        // The receiver is gone if the deadline of the call has passed.
        let _ = pending.reply.send(outcome);
    }
}
