//! Permission of the owner to send orders, without I/O.

use jacinthhook::batch::owner::MAX_STORE_OUTAGE;
use jacinthhook::instance::election::HEARTBEAT_TIMEOUT;
use jacinthhook::instance::term::{StartPermission, Term};
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

/// Guards against a start that an owner sends after another one may have followed: a worker that restarted has no
/// fencing token to refuse it by. Other orders go on, and so do starts once the store confirms the term.
#[test]
fn start_permission_after_pause() {
    let confirmed_at = Duration::from_secs(100);
    let term = Term::new(1, Duration::from_secs(90));
    term.record_stored(confirmed_at);
    term.record_heartbeat(confirmed_at);
    let last = confirmed_at + HEARTBEAT_TIMEOUT - Duration::from_millis(1);
    assert_eq!(term.start_permission(last), StartPermission::Granted);
    let later = confirmed_at + HEARTBEAT_TIMEOUT;
    assert_eq!(term.start_permission(later), StartPermission::Unconfirmed);
    assert!(term.may_send_orders(later));
    term.record_heartbeat(later);
    assert_eq!(term.start_permission(later), StartPermission::Granted);
    let over = confirmed_at + MAX_STORE_OUTAGE;
    assert_eq!(term.start_permission(over), StartPermission::Denied);
}

/// Guards against an append of progress that counts as a heartbeat: others follow heartbeats only, and take over
/// sooner after it.
#[test]
fn start_permission_progress_stored() {
    let heartbeat_at = Duration::from_secs(100);
    let term = Term::new(1, heartbeat_at).with_confirmed_takeover(heartbeat_at);
    term.record_stored(heartbeat_at + HEARTBEAT_TIMEOUT / 2);
    let later = heartbeat_at + HEARTBEAT_TIMEOUT;
    assert_eq!(term.start_permission(later), StartPermission::Unconfirmed);
}

/// A takeover got no response, and its record was read later. Guards against counting from the read: others may have
/// read the record long before.
#[test]
fn start_permission_takeover_read() {
    let read_at = Duration::from_secs(100);
    let term = Term::new(1, read_at);
    assert_eq!(term.start_permission(read_at), StartPermission::Unconfirmed);
    term.record_heartbeat(read_at);
    assert_eq!(term.start_permission(read_at), StartPermission::Granted);
}

/// Guards against starts in a term that has ended, or whose owner resigns.
#[test]
fn start_permission_ended_term() {
    let now = Duration::from_secs(90);
    let term = Term::new(1, now);
    term.resign();
    assert_eq!(term.start_permission(now), StartPermission::Denied);
    let term = Term::new(2, now);
    term.end("a later owner has taken over");
    assert_eq!(term.start_permission(now), StartPermission::Denied);
}
