//! Appends that are sent again until the store answers them.

use crate::ids::Time;
use crate::instance::shared::Shared;
use crate::platform::store::{AppendCondition, StoreError};
use futures::stream::{FuturesUnordered, StreamExt};
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Attempts of one append in flight at a time.
const MAX_CONCURRENT_ATTEMPTS: usize = 4;

/// Append that the store carries out at most once, however often it is sent: its condition has a
/// sequence number.
pub struct RepeatedAppend<'a> {
    pub topic: &'a str,
    pub records: &'a [(&'a str, Option<&'a [u8]>)],
    pub condition: AppendCondition,
    /// Time without an answer after which it is sent again.
    pub resend_delay: Duration,
}

impl RepeatedAppend<'_> {
    /// Sends the append until the store answers it for good, or `may_retry` returns false. Returns the
    /// offset after the records. After `StoreError::NoResponse` it may still take effect.
    pub async fn send(
        &self,
        shared: &Shared,
        may_retry: impl Fn(Time) -> bool,
    ) -> Result<u64, StoreError> {
        let attempt = || shared.store.append(self.topic, self.records, self.condition);
        repeat_until_answered(attempt, self.resend_delay, || may_retry(shared.now())).await
    }
}

/// Makes attempts until one is answered for good. Earlier attempts go on beside later ones, since a
/// lost answer shows only at the end of its timeout.
pub async fn repeat_until_answered<F>(
    mut attempt: impl FnMut() -> F,
    resend_delay: Duration,
    may_retry: impl Fn() -> bool,
) -> Result<u64, StoreError>
where
    F: Future<Output = Result<u64, StoreError>>,
{
    let mut attempts = FuturesUnordered::new();
    loop {
        if attempts.len() < MAX_CONCURRENT_ATTEMPTS {
            attempts.push(attempt());
        }
        let resend_at = Instant::now() + resend_delay;
        while let Ok(Some(answer)) = timeout_at(resend_at, attempts.next()).await {
            match answer {
                Ok(end) => return Ok(end),
                Err(
                    e @ (StoreError::Fenced
                    | StoreError::SequenceMismatch { .. }
                    | StoreError::EndMismatch { .. }),
                ) => return Err(e),
                Err(
                    StoreError::NoResponse
                    | StoreError::Refused { .. }
                    | StoreError::Truncated { .. }
                    | StoreError::Unreachable,
                ) => {}
            }
        }
        if !may_retry() {
            return Err(StoreError::NoResponse);
        }
        sleep_until(resend_at).await;
    }
}
