//! Pattern: many clients send a part of a request and stay open, beside ordinary callers. No network.

use jacinthhook::batch::declarations::RequestLimits;
use jacinthhook::instance::connection_table::{
    ConnectionId, ConnectionTable, CutReason, MIN_STALL, Phase, Place, Take, UNREAD_TIMEOUT,
};
use std::time::{Duration, Instant};

const BODY: usize = 1_000_000;
const MAX_BODY: usize = 262_144;

struct Listener {
    table: ConnectionTable,
    now: Instant,
}

impl Listener {
    /// Creates a listener with memory for `bodies` bodies.
    fn new(bodies: usize) -> Listener {
        Listener { table: ConnectionTable::new(bodies * BODY), now: Instant::now() }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
    }

    /// A client that sent a whole body but its last bytes.
    fn open_body(&mut self) -> ConnectionId {
        let id = self.table.open(self.now);
        self.table.read(id, 200, MAX_BODY, self.now);
        self.table.head_complete(id, true, self.now);
        id
    }

    fn take(&mut self, id: ConnectionId) -> Take {
        self.table.take(id, BODY, self.now)
    }

    fn overdue(&mut self) -> Vec<ConnectionId> {
        self.table.cut_overdue(&RequestLimits::default(), self.now)
    }

    /// A request is served and its response read.
    fn serve(&mut self, id: ConnectionId) {
        self.table.read(id, 200, MAX_BODY, self.now);
        self.table.head_complete(id, false, self.now);
        self.table.answer_ready(id, self.now);
        self.table.flushed(id, self.now);
    }
}

/// Guards against refusing the newest honest body: those that stopped go, in the order in which they stopped.
#[test]
fn take_longest_stalled_goes() {
    let mut listener = Listener::new(2);
    let (first, second) = (listener.open_body(), listener.open_body());
    assert_eq!(listener.take(first), Take::Taken);
    assert_eq!(listener.take(second), Take::Taken);
    listener.wait(MIN_STALL);
    // Its bytes still arrive.
    listener.table.read(first, 2_000, MAX_BODY, listener.now);
    listener.wait(MIN_STALL);
    let honest = listener.open_body();
    assert_eq!(listener.take(honest), Take::Wait(vec![second]));
    assert!(listener.table.is_cut(second) && !listener.table.is_cut(first));
    // The memory is free once the connection is gone, and no other one goes for it.
    assert_eq!(listener.take(honest), Take::Wait(vec![]));
    listener.table.give_back(second, BODY);
    assert_eq!(listener.table.close(second), Some((CutReason::Memory, Phase::Body)));
    assert_eq!(listener.take(honest), Take::Taken);
}

/// Guards against bodies that all arrive and cut each other off.
#[test]
fn take_no_stalled_body() {
    let mut listener = Listener::new(1);
    let first = listener.open_body();
    assert_eq!(listener.take(first), Take::Taken);
    let second = listener.open_body();
    assert_eq!(listener.take(second), Take::Soon);
    assert!(!listener.table.is_cut(first));
}

/// Guards against clients that keep their memory by a byte now and then.
#[test]
fn take_single_bytes_are_no_progress() {
    let mut listener = Listener::new(1);
    let slow = listener.open_body();
    assert_eq!(listener.take(slow), Take::Taken);
    for _ in 0..5 {
        listener.wait(Duration::from_secs(1));
        listener.table.read(slow, 1, MAX_BODY, listener.now);
    }
    let honest = listener.open_body();
    assert_eq!(listener.take(honest), Take::Wait(vec![slow]));
}

/// Guards against cutting off requests whose body arrived: they may be stored by now.
#[test]
fn take_whole_body_stays() {
    let mut listener = Listener::new(1);
    let whole = listener.open_body();
    assert_eq!(listener.take(whole), Take::Taken);
    assert!(listener.table.body_complete(whole, listener.now));
    listener.wait(Duration::from_secs(60));
    let next = listener.open_body();
    assert_eq!(listener.take(next), Take::Refused);
    assert!(listener.overdue().is_empty());
    // The record outlives the connection.
    listener.table.body_became_record(whole, BODY, BODY / 2);
    assert_eq!(listener.table.close(whole), None);
    assert_eq!(listener.table.held(), BODY / 2);
    listener.table.record_done(BODY / 2);
    assert_eq!(listener.table.held(), 0);
}

/// Guards against serving a request whose client was told that it is not.
#[test]
fn body_complete_after_cut() {
    let mut listener = Listener::new(1);
    let slow = listener.open_body();
    assert_eq!(listener.take(slow), Take::Taken);
    listener.wait(RequestLimits::default().idle_timeout + Duration::from_millis(1));
    assert_eq!(listener.overdue(), vec![slow]);
    assert!(!listener.table.body_complete(slow, listener.now));
    assert_eq!(listener.table.close(slow), Some((CutReason::BodySlow, Phase::Body)));
}

/// Guards against heads and empty lines without end: bytes that arrive do not prolong the time.
#[test]
fn cut_overdue_endless_head() {
    let mut listener = Listener::new(1);
    let (endless, ordinary) =
        (listener.table.open(listener.now), listener.table.open(listener.now));
    listener.serve(ordinary);
    for _ in 0..4 {
        listener.table.read(endless, 100, MAX_BODY, listener.now);
        listener.wait(Duration::from_secs(1));
    }
    assert_eq!(listener.overdue(), vec![endless]);
    assert_eq!(listener.table.close(endless), Some((CutReason::HeadSlow, Phase::Head)));
    listener.wait(Duration::from_secs(11));
    assert!(listener.overdue().is_empty(), "15 s are not over");
    listener.wait(Duration::from_secs(2));
    assert_eq!(listener.overdue(), vec![ordinary]);
}

/// Guards against clients that send requests and read no answers.
#[test]
fn cut_overdue_unread_answer() {
    let mut listener = Listener::new(1);
    let unread = listener.table.open(listener.now);
    listener.table.read(unread, 200, MAX_BODY, listener.now);
    listener.table.head_complete(unread, false, listener.now);
    listener.wait(Duration::from_secs(30));
    assert!(listener.overdue().is_empty(), "a request may be served for any time");
    listener.table.answer_ready(unread, listener.now);
    listener.wait(UNREAD_TIMEOUT + Duration::from_millis(1));
    assert_eq!(listener.overdue(), vec![unread]);
}

/// Guards against bodies whose chunks are mostly framing.
#[test]
fn read_chunk_framing() {
    let mut listener = Listener::new(1);
    let id = listener.open_body();
    // One-byte chunks of a whole body stay inside the limits.
    assert!(!listener.table.read(id, 6 * MAX_BODY, MAX_BODY, listener.now));
    assert!(listener.table.read(id, 3 * MAX_BODY, MAX_BODY, listener.now));
    assert_eq!(listener.table.close(id), Some((CutReason::BodyLong, Phase::Body)));
}

/// Guards against a crowd that takes all places: unfinished requests go before connections that ordinary clients keep,
/// and requests that are served never go.
#[test]
fn cut_for_place_order() {
    let mut listener = Listener::new(1);
    let [served, kept, silent, in_head] = [(); 4].map(|()| listener.table.open(listener.now));
    listener.table.read(served, 200, MAX_BODY, listener.now);
    listener.table.head_complete(served, false, listener.now);
    listener.serve(kept);
    assert_eq!(listener.table.cut_for_place(listener.now), Place::Soon);
    listener.wait(MIN_STALL);
    listener.table.read(in_head, 10, MAX_BODY, listener.now);
    listener.wait(MIN_STALL);
    assert_eq!(listener.table.cut_for_place(listener.now), Place::Cut(silent));
    assert_eq!(listener.table.cut_for_place(listener.now), Place::Cut(in_head));
    assert_eq!(listener.table.cut_for_place(listener.now), Place::Cut(kept));
    assert_eq!(listener.table.cut_for_place(listener.now), Place::Refused);
}

/// Guards against a head that begins while the request before it is served, and never ends.
#[test]
fn flushed_next_head_has_begun() {
    let mut listener = Listener::new(1);
    let id = listener.table.open(listener.now);
    listener.table.read(id, 200, MAX_BODY, listener.now);
    listener.table.head_complete(id, false, listener.now);
    listener.table.read(id, 10, MAX_BODY, listener.now);
    listener.table.answer_ready(id, listener.now);
    listener.table.flushed(id, listener.now);
    listener.wait(RequestLimits::default().head_timeout + Duration::from_millis(1));
    assert_eq!(listener.overdue(), vec![id]);
}
