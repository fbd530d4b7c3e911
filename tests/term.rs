//! Permission of the owner to send orders, without I/O.

use jacinthhook::batch::owner::MAX_STORE_OUTAGE;
use jacinthhook::instance::term::Term;
use std::time::Duration;

/// Guards against an owner that was suspended or cut off and acts on a permission that ran out
/// meanwhile: a later owner has given its tasks to other workers by then.
#[test]
fn may_send_orders_after_pause() {
    let confirmed_at = Duration::from_secs(100);
    let term = Term::new(1, Duration::from_secs(90));
    term.record_stored(confirmed_at);
    assert!(term.may_send_orders(confirmed_at + MAX_STORE_OUTAGE - Duration::from_millis(1)));
    assert!(!term.may_send_orders(confirmed_at + MAX_STORE_OUTAGE));
}

/// Guards against orders after the end of a term that was confirmed a moment ago.
#[test]
fn may_send_orders_ended_term() {
    let term = Term::new(1, Duration::from_secs(90));
    term.end("a later owner has taken over");
    assert!(!term.may_send_orders(Duration::from_secs(90)));
}
