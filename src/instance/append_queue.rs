//! Queue that batches appends of callers' records to the store.
//!
//! The store processes the appends to one topic one after another. This instance has one append in
//! flight at a time; records that arrive meanwhile go into the next one, so that a slow store
//! receives fewer calls rather than more.

use crate::platform::store::{self, AppendCondition, Store, StoreError};
use bytes::Bytes;
use indexmap::IndexMap;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};
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

/// Records that wait to be appended to the store.
#[derive(Default)]
pub struct AppendQueue {
    pending: Mutex<Vec<PendingAppend>>,
    /// Until when the record of a key may be stored by an append that got no response.
    uncertain_until: Mutex<IndexMap<String, Instant>>,
    wake: Notify,
}

impl AppendQueue {
    /// Stores a record. Gives up at `deadline`.
    pub async fn store(&self, key: &str, value: Bytes, deadline: Instant) -> AppendOutcome {
        let (reply, outcome) = oneshot::channel();
        let (key, maybe_stored) = (key.to_string(), false);
        self.pending.lock().push(PendingAppend { key, value, deadline, maybe_stored, reply });
        self.wake.notify_one();
        // A record that is in flight at the deadline may still be stored.
        match timeout_at(deadline.into(), outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => AppendOutcome::Unknown,
        }
    }

    /// Appends queued records for as long as the process runs.
    pub async fn run(self: Arc<AppendQueue>, store: Store) {
        loop {
            let mut batch = self.take_batch();
            if batch.is_empty() {
                self.wake.notified().await;
                continue;
            }
            let records: Vec<(&str, Option<&[u8]>)> =
                batch.iter().map(|p| (p.key.as_str(), Some(&*p.value))).collect();
            match store.append(store::JOBS_TOPIC, &records, AppendCondition::default()).await {
                Ok(_) => complete(batch, AppendOutcome::Stored),
                Err(StoreError::NoResponse) => {
                    self.record_uncertain(&mut batch);
                    self.requeue(batch);
                    sleep(RETRY_DELAY).await;
                }
                // This append had no effect, but an earlier one of the same record may have had.
                Err(_) => {
                    let (maybe_stored, not_stored) = batch
                        .into_iter()
                        .partition(|p| p.maybe_stored || self.is_uncertain(&p.key));
                    complete(not_stored, AppendOutcome::NotStored);
                    self.requeue(maybe_stored);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn record_uncertain(&self, batch: &mut [PendingAppend]) {
        let now = Instant::now();
        let mut uncertain_until = self.uncertain_until.lock();
        uncertain_until.retain(|_, until| now < *until);
        for pending in batch {
            pending.maybe_stored = true;
            uncertain_until.insert(pending.key.clone(), now + LATE_APPEND_WINDOW);
        }
    }

    /// Whether an earlier call's record of this key may be stored or become so.
    fn is_uncertain(&self, key: &str) -> bool {
        self.uncertain_until.lock().get(key).is_some_and(|until| Instant::now() < *until)
    }

    fn take_batch(&self) -> Vec<PendingAppend> {
        let mut pending = self.pending.lock();
        let count = store::records_per_append(pending.iter().map(|p| p.key.len() + p.value.len()));
        pending.drain(..count).collect()
    }

    /// Requeues records whose deadline has not passed. Storing a record again has no effect.
    fn requeue(&self, batch: Vec<PendingAppend>) {
        let now = Instant::now();
        let (mut retained, expired): (Vec<PendingAppend>, Vec<PendingAppend>) =
            batch.into_iter().partition(|p| p.deadline > now);
        complete(expired, AppendOutcome::Unknown);
        let mut pending = self.pending.lock();
        retained.append(&mut pending);
        *pending = retained;
    }
}

fn complete(batch: Vec<PendingAppend>, outcome: AppendOutcome) {
    for pending in batch {
        // The receiver is gone if the deadline of the call has passed.
        let _ = pending.reply.send(outcome);
    }
}
