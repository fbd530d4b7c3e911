//! Pattern: a store that loses answers, or refuses for a while. No network.

use jacinthhook::instance::repeated_append::repeat_until_answered;
use jacinthhook::platform::store::StoreError;
use std::cell::Cell;
use std::future::pending;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const RESEND_DELAY: Duration = Duration::from_millis(50);

/// Guards against waiting for the whole timeout of an attempt whose answer is lost: one lost heartbeat
/// let another instance take over from a living owner.
#[tokio::test]
async fn repeat_until_answered_lost_answers() {
    let sent = Cell::new(0);
    let attempt = || {
        sent.set(sent.get() + 1);
        let is_answered = sent.get() == 3;
        async move {
            match is_answered {
                true => Ok(7),
                false => pending().await,
            }
        }
    };
    let started = Instant::now();
    assert_eq!(repeat_until_answered(attempt, RESEND_DELAY, || true).await, Ok(7));
    assert_eq!(sent.get(), 3);
    assert!(started.elapsed() >= RESEND_DELAY * 2, "{:?}", started.elapsed());
}

/// An earlier attempt is answered while a later one waits. Guards against giving up attempts that a
/// slow store still answers: none would ever be confirmed.
#[tokio::test]
async fn repeat_until_answered_slow_store() {
    let sent = Cell::new(0);
    let attempt = || {
        sent.set(sent.get() + 1);
        let end = sent.get();
        async move {
            sleep(RESEND_DELAY.mul_f64(2.5)).await;
            Ok(end)
        }
    };
    assert_eq!(repeat_until_answered(attempt, RESEND_DELAY, || true).await, Ok(1));
}

/// A refused append is sent again after a pause, and no more once retries are not permitted.
#[tokio::test]
async fn repeat_until_answered_refused() {
    let sent = Cell::new(0u32);
    let attempt = || {
        sent.set(sent.get() + 1);
        async { Err(StoreError::Refused { status: 503 }) }
    };
    let started = Instant::now();
    let answer = repeat_until_answered(attempt, RESEND_DELAY, || sent.get() < 4).await;
    assert_eq!(answer, Err(StoreError::NoResponse));
    assert_eq!(sent.get(), 4);
    assert!(started.elapsed() >= RESEND_DELAY * 3, "{:?}", started.elapsed());
}

/// Guards against repeating an append that can never take effect, such as that of a replaced owner.
#[tokio::test]
async fn repeat_until_answered_final_errors() {
    let errors = [
        StoreError::Fenced,
        StoreError::SequenceMismatch { expected: 5 },
        StoreError::EndMismatch { end: 5 },
    ];
    for error in errors {
        let sent = Cell::new(0);
        let attempt = || {
            sent.set(sent.get() + 1);
            async move { Err(error) }
        };
        assert_eq!(repeat_until_answered(attempt, RESEND_DELAY, || true).await, Err(error));
        assert_eq!(sent.get(), 1);
    }
}
