//! Conditions under which a replica has a view complete enough for decisions.

use bytes::Bytes;
use jacinthhook::protocol::{LogEntry, ReadAnswer};
use jacinthhook::replica::{RELAYED_NEXT, Replica};
use jacinthhook::snapshot;
use jacinthhook::state::State;

/// Answer with empty entries. They do not decode but still advance the position.
fn answer(first: u64, next: u64, offsets: std::ops::Range<u64>) -> ReadAnswer {
    let entries = offsets.map(|offset| LogEntry { offset, data: Bytes::new() });
    ReadAnswer { first, next, entries: entries.collect() }
}

/// Encoded view of a peer that has applied all entries before `next`.
fn view(next: u64) -> Bytes {
    let mut state = State::new();
    state.skip(next - 1);
    snapshot::encode(&state).expect("the state encodes")
}

/// Guards against decisions based on a peer's view that lacks entries known to be in the log. Keys
/// withdrawn or zones taken out of service by these entries would still be served.
#[test]
fn load_view_behind_known_end() {
    let mut replica = Replica::new();
    replica.apply_answer(&answer(80, 121, 80..80));
    assert!(!replica.has_view());
    assert!(replica.load_view(&view(88)).expect("a valid view"));
    assert!(!replica.has_view(), "33 entries are missing");
    replica.apply_answer(&answer(80, 121, 88..121));
    assert!(replica.has_view());
}

/// Guards against an instance that waits for the log although its peers relay all missing entries.
#[test]
fn load_view_completed_by_relayed_entries() {
    let mut replica = Replica::new();
    replica.apply_answer(&answer(80, 121, 80..80));
    replica.load_view(&view(88)).expect("a valid view");
    replica.apply_answer(&answer(0, RELAYED_NEXT, 88..120));
    assert!(!replica.has_view());
    replica.apply_answer(&answer(0, RELAYED_NEXT, 120..121));
    assert!(replica.has_view());
}

/// Guards against an instance without a view when the platform is unreachable from its start on.
#[test]
fn load_view_without_known_end() {
    let mut replica = Replica::new();
    assert!(replica.load_view(&view(88)).expect("a valid view"));
    assert!(replica.has_view());
}

/// Guards against treating relayed entries from the start of the log as the whole log.
#[test]
fn read_relayed_without_known_end() {
    let mut replica = Replica::new();
    replica.apply_answer(&answer(0, RELAYED_NEXT, 0..5));
    assert!(!replica.has_view());
}
