//! Position in the log: what a replica takes for a view to decide by.

use bytes::Bytes;
use jacinthhook::protocol::{LogEntry, ReadAnswer};
use jacinthhook::replica::{RELAYED_NEXT, Replica};
use jacinthhook::snapshot;
use jacinthhook::state::State;

/// Entries of no content; the position moves over them all the same.
fn answer(first: u64, next: u64, offsets: std::ops::Range<u64>) -> ReadAnswer {
    let entries = offsets.map(|offset| LogEntry { offset, data: Bytes::new() });
    ReadAnswer { first, next, entries: entries.collect() }
}

/// A peer's encoded view of all entries before `next`.
fn view(next: u64) -> Bytes {
    let mut state = State::new();
    state.skip(next - 1);
    snapshot::encode(&state).expect("an encoded state")
}

/// Guards against deciding by a peer's view that lacks entries which the log is known to have: a key
/// withdrawn or a zone taken out by them would be served for a moment.
#[test]
fn load_view_behind_known_end() {
    let mut replica = Replica::new();
    replica.apply_answer(&answer(80, 121, 80..80));
    assert!(!replica.has_view());
    assert!(replica.load_view(&view(88)).expect("a sound view"));
    assert!(!replica.has_view(), "33 entries are missing");
    replica.apply_answer(&answer(80, 121, 88..121));
    assert!(replica.has_view());
}

/// Guards against an instance that waits for the log itself though its peers relay all that is missing.
#[test]
fn load_view_completed_by_relayed_entries() {
    let mut replica = Replica::new();
    replica.apply_answer(&answer(80, 121, 80..80));
    replica.load_view(&view(88)).expect("a sound view");
    replica.apply_answer(&answer(0, RELAYED_NEXT, 88..120));
    assert!(!replica.has_view());
    replica.apply_answer(&answer(0, RELAYED_NEXT, 120..121));
    assert!(replica.has_view());
}

/// Guards against an instance without a view while the platform is away from its start on.
#[test]
fn load_view_without_known_end() {
    let mut replica = Replica::new();
    assert!(replica.load_view(&view(88)).expect("a sound view"));
    assert!(replica.has_view());
}

/// Guards against taking relayed entries from the log's start for all that there is.
#[test]
fn read_relayed_without_known_end() {
    let mut replica = Replica::new();
    replica.apply_answer(&answer(0, RELAYED_NEXT, 0..5));
    assert!(!replica.has_view());
}
