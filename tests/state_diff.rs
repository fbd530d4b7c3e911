//! Tests the events derived from two summaries of the state. Guards against changes that are not logged.

use jacinthhook::event::Event;
use jacinthhook::record::{Batch, DrainReason, ExpireLevel, Record, SectionChange};
use jacinthhook::state::{ApplyOutcome, State};
use jacinthhook::state_diff::{FieldValue, StateEvent, StateSummary};
use jacinthhook::{config::Config, settings};

/// A state to which one entry instance appends records one at a time.
struct StateUnderTest {
    state: State,
    seq: u64,
}

impl StateUnderTest {
    fn new() -> StateUnderTest {
        let mut fixture = StateUnderTest { state: State::new(), seq: 0 };
        let text = "[zone a]\nregion = r\n[team huts]\nlimit = 9\n[pool p]\n[pool q]\nspare = true\n\
                    [profile f]\nunavailable_percent = 90\n[service s]\nprofile = f\npool = p\n";
        let bodies = settings::read_declarations("f.ini", text).expect("declarations");
        let changes: Vec<SectionChange> = settings::section_additions(bodies);
        Config::new().change(&changes).expect("no mistakes");
        fixture.apply(Record::Publish { op: "op-0".into(), changes });
        fixture.renew(false);
        for id in ["u1", "u2"] {
            let (pool, zone, rack) = ("p".into(), "a".into(), id.into());
            fixture.apply(Record::InstanceSeen { instance: id.into(), pool, zone, rack });
        }
        fixture
    }

    fn renew(&mut self, departing: bool) {
        let seen = self.state.next();
        self.apply(Record::Renew {
            zone: "a".into(),
            http_addr: "127.0.0.1:1".into(),
            peer_addr: "127.0.0.1:2".into(),
            seen,
            want: Default::default(),
            departing,
        });
    }

    fn apply(&mut self, record: Record) {
        self.seq += 1;
        let batch = Batch {
            writer: "entry-1".into(),
            incarnation: 7,
            seq: self.seq,
            records: vec![record],
        };
        let outcomes = self.state.apply(self.state.next(), &batch);
        assert_eq!(outcomes, [ApplyOutcome::Applied], "{batch:?}");
    }

    fn summary(&self) -> StateSummary {
        StateSummary::new(&self.state, &[])
    }

    /// Applies a record and returns the resulting events.
    fn events(&mut self, record: Record) -> Vec<StateEvent> {
        let before = self.summary();
        self.apply(record);
        self.summary().events_since(&before)
    }

    fn only_event(&mut self, record: Record) -> StateEvent {
        let mut events = self.events(record);
        assert_eq!(events.len(), 1, "{events:?}");
        events.remove(0)
    }
}

fn names(events: &[StateEvent]) -> Vec<Event> {
    events.iter().map(|event| event.event).collect()
}

#[test]
fn events_since_unchanged() {
    let fixture = StateUnderTest::new();
    assert_eq!(fixture.summary().events_since(&fixture.summary()), []);
}

#[test]
fn events_since_empty_summary() {
    let events = names(&StateUnderTest::new().summary().events_since(&StateSummary::default()));
    let seen = Event::UpstreamSeen;
    assert_eq!(events, [Event::Published, seen, seen, Event::EntrySeen]);
}

#[test]
fn events_since_zone_out_and_back() {
    let mut fixture = StateUnderTest::new();
    let out = fixture.only_event(Record::ZoneOut { op: "op-1".into(), zone: "a".into() });
    let offset = fixture.state.zones_out["a"];
    let fields =
        vec![("zone", FieldValue::Text("a".into())), ("offset", FieldValue::Number(offset))];
    assert_eq!(out, StateEvent { event: Event::ZoneOut, fields });
    let back = fixture.only_event(Record::ZoneBack {
        op: "op-2".into(),
        zone: "a".into(),
        undoes: offset,
    });
    assert_eq!(back.event, Event::ZoneBack);
}

#[test]
fn events_since_instance_out_and_back() {
    let mut fixture = StateUnderTest::new();
    let out = fixture.only_event(Record::InstanceOut { op: "op-1".into(), instance: "u1".into() });
    assert_eq!(out.event, Event::InstanceOut);
    let undoes = fixture.state.instances_out["u1"];
    let back = Record::InstanceBack { op: "op-2".into(), instance: "u1".into(), undoes };
    assert_eq!(fixture.only_event(back).event, Event::InstanceBack);
    assert_eq!(
        fixture.only_event(Record::InstanceGone { instance: "u1".into() }).event,
        Event::UpstreamGone
    );
}

#[test]
fn events_since_keys() {
    let mut fixture = StateUnderTest::new();
    let (key, team, hash) = ("k1".into(), "huts".into(), "00".repeat(32));
    let granted =
        fixture.only_event(Record::KeyGrant { op: "op-1".into(), key, team, hash: hash.clone() });
    assert_eq!(granted.event, Event::KeyGranted);
    assert!(!format!("{granted:?}").contains(&hash), "a hash must not reach the log");
    let withdrawn = fixture.only_event(Record::KeyWithdraw { op: "op-2".into(), key: "k1".into() });
    assert_eq!(withdrawn.event, Event::KeyWithdrawn);
}

#[test]
fn events_since_publish() {
    let mut fixture = StateUnderTest::new();
    let base = Some(fixture.state.sections["pool q"].version);
    let change = SectionChange { section: "pool q".into(), base, body: None };
    let removed = fixture.only_event(Record::Publish { op: "op-1".into(), changes: vec![change] });
    assert_eq!((removed.event, &removed.fields[0].1), (Event::Published, &FieldValue::Number(1)));
}

fn move_start_offset(fixture: &StateUnderTest) -> u64 {
    let moving = fixture.state.instances["u2"].moving.as_ref();
    moving.map(|(_, started)| *started).expect("it moves")
}

#[test]
fn events_since_drain_and_move() {
    let mut fixture = StateUnderTest::new();
    let start = Record::DrainStart { instance: "u1".into(), reason: DrainReason::Maintenance };
    assert_eq!(fixture.only_event(start).event, Event::DrainStarted);
    let (_, started) = fixture.state.instances["u1"].draining.expect("it drains");
    let end = fixture.only_event(Record::DrainEnd { instance: "u1".into(), started, done: true });
    assert_eq!(end.event, Event::DrainEnded);
    let maintained = |at_s| Record::Maintained { instance: "u1".into(), at_s };
    assert_eq!(fixture.events(maintained(100)), [], "the start of the interval is no maintenance");
    assert_eq!(fixture.only_event(maintained(200)).event, Event::InstanceMaintained);
    assert_eq!(fixture.events(maintained(150)), [], "an earlier time is no maintenance");
    let start = || Record::MoveStart { instance: "u2".into(), from: "p".into(), to: "q".into() };
    assert_eq!(fixture.only_event(start()).event, Event::MoveStarted);
    let started = move_start_offset(&fixture);
    let cancel = Record::MoveCancel { instance: "u2".into(), started };
    assert_eq!(fixture.only_event(cancel).event, Event::MoveCancelled);
    fixture.apply(start());
    fixture.renew(false);
    let started = move_start_offset(&fixture);
    let end = Record::MoveEnd { instance: "u2".into(), started };
    assert_eq!(fixture.only_event(end).event, Event::MoveEnded);
}

#[test]
fn events_since_expired_and_departing_holders() {
    let mut fixture = StateUnderTest::new();
    let expire = |fixture: &StateUnderTest| Record::Expire {
        holder: "entry-1".into(),
        holder_incarnation: 7,
        renewed_at: fixture.state.holders[&7].renewed_at,
        level: ExpireLevel::Borrowed,
    };
    let record = expire(&fixture);
    assert_eq!(fixture.only_event(record).event, Event::LeaseExpired);
    let before = fixture.summary();
    fixture.renew(true);
    let record = expire(&fixture);
    fixture.apply(record);
    assert_eq!(names(&fixture.summary().events_since(&before)), [Event::EntryDeparting]);
}

#[test]
fn events_since_holds() {
    let fixture = StateUnderTest::new();
    let hold = Record::ZoneOut { op: "op-1".into(), zone: "a".into() };
    let held = StateSummary::new(&fixture.state, &[hold]);
    assert_eq!(names(&held.events_since(&fixture.summary())), [Event::HoldTaken]);
    assert_eq!(names(&fixture.summary().events_since(&held)), [Event::HoldEnded]);
}
