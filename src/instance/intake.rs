//! Stores what callers hand in, together with what comes at the same time.
//!
//! The store takes the appends to one topic one after another. One append of this instance is under
//! way at a time; what comes meanwhile goes with the next one, so that a slow store is asked less
//! often, not more.

use crate::platform::store::{self, Guard, Store, StoreError};
use bytes::Bytes;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout_at};

/// Pause before an append without an answer is sent again.
const AGAIN: Duration = Duration::from_millis(50);
/// Most records in one append; at 4 KB each they stay under the store's bound on a call.
const MAX_RECORDS: usize = 256;

/// What became of a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stored {
    Yes,
    /// It is not stored and never will be.
    No,
    /// It may be stored, or may still be.
    Unknown,
}

struct Waiting {
    key: String,
    value: Bytes,
    until: Instant,
    /// An append with it had no answer.
    unsure: bool,
    done: oneshot::Sender<Stored>,
}

/// Records that wait for the store.
#[derive(Default)]
pub struct Intake {
    waiting: Mutex<Vec<Waiting>>,
    wake: Notify,
}

impl Intake {
    /// Stores a record; gives up at `until`.
    pub async fn store(&self, key: &str, value: Bytes, until: Instant) -> Stored {
        let (done, stored) = oneshot::channel();
        let (key, unsure) = (key.to_string(), false);
        self.waiting.lock().push(Waiting { key, value, until, unsure, done });
        self.wake.notify_one();
        // A record that is under way when the caller must be answered may be stored yet.
        match timeout_at(until.into(), stored).await {
            Ok(Ok(stored)) => stored,
            Ok(Err(_)) | Err(_) => Stored::Unknown,
        }
    }

    /// Appends what waits, for as long as the process lives.
    pub async fn run(self: Arc<Intake>, store: Store) {
        loop {
            let mut batch = self.take();
            if batch.is_empty() {
                self.wake.notified().await;
                continue;
            }
            let records: Vec<(&str, Option<&[u8]>)> =
                batch.iter().map(|w| (w.key.as_str(), Some(&*w.value))).collect();
            match store.append(store::JOBS, &records, Guard::default()).await {
                Ok(_) => answer(batch, Stored::Yes),
                Err(StoreError::NoAnswer) => {
                    batch.iter_mut().for_each(|w| w.unsure = true);
                    self.put_back(batch);
                    sleep(AGAIN).await;
                }
                // Nothing was done now, but an earlier append may have been.
                Err(_) => {
                    let (unsure, sure) = batch.into_iter().partition(|w| w.unsure);
                    answer(sure, Stored::No);
                    self.put_back(unsure);
                    sleep(AGAIN).await;
                }
            }
        }
    }

    fn take(&self) -> Vec<Waiting> {
        let mut waiting = self.waiting.lock();
        let count = waiting.len().min(MAX_RECORDS);
        waiting.drain(..count).collect()
    }

    /// Puts back what is still waited for; a repeat of an append changes nothing.
    fn put_back(&self, batch: Vec<Waiting>) {
        let now = Instant::now();
        let (mut again, over): (Vec<Waiting>, Vec<Waiting>) =
            batch.into_iter().partition(|w| w.until > now);
        answer(over, Stored::Unknown);
        let mut waiting = self.waiting.lock();
        again.append(&mut waiting);
        *waiting = again;
    }
}

fn answer(batch: Vec<Waiting>, stored: Stored) {
    for waiting in batch {
        // The caller may have been answered when its time was over.
        let _ = waiting.done.send(stored);
    }
}
