//! Events found between two looks at the state. Guards against changes that reach no log.

use jacinthhook::event::Event;
use jacinthhook::record::{Batch, DrainReason, ExpireLevel, Record, SectionChange};
use jacinthhook::state::{ApplyOutcome, State};
use jacinthhook::state_diff::{FieldValue, StateEvent, StateSummary};
use jacinthhook::{config::Config, settings};

/// A state to which records are applied one by one by one entry instance.
struct Fold {
    state: State,
    seq: u64,
}

impl Fold {
    fn new() -> Fold {
        let mut fold = Fold { state: State::new(), seq: 0 };
        let text = "[zone a]\nregion = r\n[team huts]\nlimit = 9\n[pool p]\n[pool q]\nspare = true\n\
                    [profile f]\nunavailable_percent = 90\n[service s]\nprofile = f\npool = p\n";
        let bodies = settings::read_declarations("f.ini", text).expect("declarations");
        let changes: Vec<SectionChange> = settings::section_additions(bodies);
        Config::new().change(&changes).expect("no mistakes");
        fold.apply(Record::Publish { op: "op-0".into(), changes });
        fold.renew(false);
        for id in ["u1", "u2"] {
            let (pool, zone, rack) = ("p".into(), "a".into(), id.into());
            fold.apply(Record::InstanceSeen { instance: id.into(), pool, zone, rack });
        }
        fold
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

    fn look(&self) -> StateSummary {
        StateSummary::new(&self.state, &[])
    }

    /// Events of one record.
    fn events(&mut self, record: Record) -> Vec<StateEvent> {
        let before = self.look();
        self.apply(record);
        self.look().events_since(&before)
    }

    fn one(&mut self, record: Record) -> StateEvent {
        let mut events = self.events(record);
        assert_eq!(events.len(), 1, "{events:?}");
        events.remove(0)
    }
}

fn names(events: &[StateEvent]) -> Vec<Event> {
    events.iter().map(|event| event.event).collect()
}

#[test]
fn look_unchanged() {
    let fold = Fold::new();
    assert_eq!(fold.look().events_since(&fold.look()), []);
}

#[test]
fn look_at_everything_new() {
    let events = names(&Fold::new().look().events_since(&StateSummary::default()));
    let seen = Event::UpstreamSeen;
    assert_eq!(events, [Event::Published, seen, seen, Event::EntrySeen]);
}

#[test]
fn look_at_zone_out_and_back() {
    let mut fold = Fold::new();
    let out = fold.one(Record::ZoneOut { op: "op-1".into(), zone: "a".into() });
    let offset = fold.state.zones_out["a"];
    let fields =
        vec![("zone", FieldValue::Text("a".into())), ("offset", FieldValue::Number(offset))];
    assert_eq!(out, StateEvent { event: Event::ZoneOut, fields });
    let back = fold.one(Record::ZoneBack { op: "op-2".into(), zone: "a".into(), undoes: offset });
    assert_eq!(back.event, Event::ZoneBack);
}

#[test]
fn look_at_instance_out_and_back() {
    let mut fold = Fold::new();
    let out = fold.one(Record::InstanceOut { op: "op-1".into(), instance: "u1".into() });
    assert_eq!(out.event, Event::InstanceOut);
    let undoes = fold.state.instances_out["u1"];
    let back = Record::InstanceBack { op: "op-2".into(), instance: "u1".into(), undoes };
    assert_eq!(fold.one(back).event, Event::InstanceBack);
    assert_eq!(fold.one(Record::InstanceGone { instance: "u1".into() }).event, Event::UpstreamGone);
}

#[test]
fn look_at_keys() {
    let mut fold = Fold::new();
    let (key, team, hash) = ("k1".into(), "huts".into(), "00".repeat(32));
    let granted = fold.one(Record::KeyGrant { op: "op-1".into(), key, team, hash: hash.clone() });
    assert_eq!(granted.event, Event::KeyGranted);
    assert!(!format!("{granted:?}").contains(&hash), "a hash must not reach the log");
    let withdrawn = fold.one(Record::KeyWithdraw { op: "op-2".into(), key: "k1".into() });
    assert_eq!(withdrawn.event, Event::KeyWithdrawn);
}

#[test]
fn look_at_publish() {
    let mut fold = Fold::new();
    let base = Some(fold.state.sections["pool q"].version);
    let change = SectionChange { section: "pool q".into(), base, body: None };
    let removed = fold.one(Record::Publish { op: "op-1".into(), changes: vec![change] });
    assert_eq!((removed.event, &removed.fields[0].1), (Event::Published, &FieldValue::Number(1)));
}

fn move_started(fold: &Fold) -> u64 {
    let moving = fold.state.instances["u2"].moving.as_ref();
    moving.map(|(_, started)| *started).expect("it moves")
}

#[test]
fn look_at_drain_and_move() {
    let mut fold = Fold::new();
    let start = Record::DrainStart { instance: "u1".into(), reason: DrainReason::Maintenance };
    assert_eq!(fold.one(start).event, Event::DrainStarted);
    let (_, started) = fold.state.instances["u1"].draining.expect("it drains");
    let end = fold.one(Record::DrainEnd { instance: "u1".into(), started, done: true });
    assert_eq!(end.event, Event::DrainEnded);
    let maintained = |at_s| Record::Maintained { instance: "u1".into(), at_s };
    assert_eq!(fold.events(maintained(100)), [], "the start of the interval is no maintenance");
    assert_eq!(fold.one(maintained(200)).event, Event::InstanceMaintained);
    assert_eq!(fold.events(maintained(150)), [], "an earlier time is no maintenance");
    let start = || Record::MoveStart { instance: "u2".into(), from: "p".into(), to: "q".into() };
    assert_eq!(fold.one(start()).event, Event::MoveStarted);
    let started = move_started(&fold);
    let cancel = Record::MoveCancel { instance: "u2".into(), started };
    assert_eq!(fold.one(cancel).event, Event::MoveCancelled);
    fold.apply(start());
    fold.renew(false);
    let started = move_started(&fold);
    let end = Record::MoveEnd { instance: "u2".into(), started };
    assert_eq!(fold.one(end).event, Event::MoveEnded);
}

#[test]
fn look_at_lapsed_and_departing_holders() {
    let mut fold = Fold::new();
    let expire = |fold: &Fold| Record::Expire {
        holder: "entry-1".into(),
        holder_incarnation: 7,
        renewed_at: fold.state.holders[&7].renewed_at,
        level: ExpireLevel::Borrowed,
    };
    let record = expire(&fold);
    assert_eq!(fold.one(record).event, Event::LeaseExpired);
    let before = fold.look();
    fold.renew(true);
    let record = expire(&fold);
    fold.apply(record);
    assert_eq!(names(&fold.look().events_since(&before)), [Event::EntryDeparting]);
}

#[test]
fn look_at_holds() {
    let fold = Fold::new();
    let hold = Record::ZoneOut { op: "op-1".into(), zone: "a".into() };
    let held = StateSummary::new(&fold.state, &[hold]);
    assert_eq!(names(&held.events_since(&fold.look())), [Event::HoldTaken]);
    assert_eq!(names(&fold.look().events_since(&held)), [Event::HoldEnded]);
}
