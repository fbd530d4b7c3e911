//! Random sequences of elections over an append log that applies appends late, loses answers, keeps a
//! limited history and is read from its start by restarted instances. No network.
//!
//! Guards against two owners of one term. `FUZZ_SEED` and `FUZZ_CASES` select another run.

use jacinthhook::batch::owner::MAX_STORE_OUTAGE;
use jacinthhook::instance::config::MachineSize;
use jacinthhook::instance::election::{Election, Heartbeats, RecordOutcome};
use jacinthhook::instance::shared::OwnerInfo;
use jacinthhook::platform::store::{AppendCondition, StoreError};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Default number of sequences, and seed.
const CASES: u64 = 3_000;
const SEED: u64 = 1;
/// Maximum number of steps in a sequence.
const STEPS: usize = 150;
const NAMES: [&str; 4] = ["a", "b", "entry-10", "f"];
const MACHINE: MachineSize = MachineSize { processors_milli: 250, link_mbps: 100 };
/// Number of latest appends whose repetition gets the first answer again.
const REMEMBERED_APPENDS: usize = 5;
/// Time without faults after which there is one owner that all follow.
const CALM: Duration = Duration::from_secs(12);
const CALM_STEP: Duration = Duration::from_millis(100);

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// What becomes of one attempt to append.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    /// Applied at once, but the answer is lost.
    AnswerLost,
    /// Applied after this time, which is known to nobody.
    Late(u16),
    Lost,
}

#[derive(Clone, Debug)]
enum Step {
    Advance {
        ms: u16,
    },
    /// An instance reads the owner topic and tries to take over if it is time, or an owner appends a
    /// heartbeat. Each attempt of the append has its own fate.
    Act {
        instance: u8,
        attempts: Vec<Fate>,
    },
    Restart {
        instance: u8,
    },
    /// The store drops all records but the latest.
    Truncate,
}

impl Arbitrary for Fate {
    fn arbitrary(g: &mut Gen) -> Fate {
        match u8::arbitrary(g) % 8 {
            0..=3 => Fate::Answered,
            4 => Fate::AnswerLost,
            5 | 6 => Fate::Late(1_000 + u16::arbitrary(g) % 5_000),
            _ => Fate::Lost,
        }
    }
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 32 {
            0..=9 => Step::Advance { ms: u16::arbitrary(g) % 900 },
            10..=29 => {
                let attempts = (0..1 + u8::arbitrary(g) % 3).map(|_| Fate::arbitrary(g)).collect();
                Step::Act { instance: u8::arbitrary(g), attempts }
            }
            30 => Step::Restart { instance: u8::arbitrary(g) },
            _ => Step::Truncate,
        }
    }
}

type OwnerRecord = (OwnerInfo, bool);

/// The owner topic. A rejected append changes nothing.
#[derive(Default)]
struct Log {
    records: Vec<OwnerRecord>,
    /// Offset of the oldest record that is kept.
    first: usize,
    epoch: u64,
    /// Sequence number and answer of the latest appends of the epoch.
    latest: VecDeque<(u64, u64)>,
}

impl Log {
    fn append(
        &mut self,
        condition: AppendCondition,
        record: OwnerRecord,
    ) -> Result<u64, StoreError> {
        let end = self.records.len() as u64;
        let Some((epoch, sequence)) = condition.producer else {
            return match condition.expected_end.is_none_or(|at| at == end) {
                true => {
                    self.records.push(record);
                    Ok(end + 1)
                }
                false => Err(StoreError::EndMismatch { end }),
            };
        };
        if epoch < self.epoch {
            return Err(StoreError::Fenced);
        }
        if epoch == self.epoch {
            if let Some((_, end)) = self.latest.iter().find(|(number, _)| *number == sequence) {
                return Ok(*end);
            }
            let expected = self.latest.back().map_or(0, |(number, _)| number + 1);
            if sequence != expected {
                return Err(StoreError::SequenceMismatch { expected });
            }
        }
        if condition.expected_end.is_some_and(|at| at != end) {
            return Err(StoreError::EndMismatch { end });
        }
        if epoch > self.epoch {
            self.latest.clear();
        }
        self.epoch = epoch;
        self.records.push(record);
        self.latest.push_back((sequence, end + 1));
        if self.latest.len() > REMEMBERED_APPENDS {
            self.latest.pop_front();
        }
        Ok(end + 1)
    }
}

enum Role {
    Follower,
    Owner { heartbeats: Heartbeats, term: u64, confirmed_at: Duration },
}

struct Instance {
    name: &'static str,
    incarnation: u64,
    election: Election,
    /// Offset to read from; `None` reads the latest record.
    next: Option<u64>,
    last_ended_term: u64,
    role: Role,
}

struct World {
    now: Duration,
    log: Log,
    late: Vec<(Duration, AppendCondition, OwnerRecord)>,
    instances: Vec<Instance>,
    restarts: u64,
    owners: HashMap<u64, u64>,
}

impl World {
    fn new() -> World {
        let mut world = World {
            now: Duration::from_secs(1),
            log: Log::default(),
            late: Vec::new(),
            instances: Vec::new(),
            restarts: 0,
            owners: HashMap::new(),
        };
        for name in NAMES {
            let instance = world.start(name);
            world.instances.push(instance);
        }
        world
    }

    fn start(&mut self, name: &'static str) -> Instance {
        self.restarts += 1;
        // Spread over all bits, as random incarnations are.
        let incarnation = self.restarts.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Instance {
            name,
            incarnation,
            election: Election::new(name.into(), incarnation, MACHINE, self.now),
            next: None,
            last_ended_term: 0,
            role: Role::Follower,
        }
    }

    fn record(&self, index: usize, term: u64) -> OwnerRecord {
        let instance = &self.instances[index];
        let info = OwnerInfo {
            term,
            incarnation: instance.incarnation,
            name: instance.name.into(),
            zone: "z1".into(),
            peers: "127.0.0.1:1".into(),
            machine: MACHINE,
            term_age: Duration::ZERO,
        };
        (info, false)
    }

    fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        self.late.sort_by_key(|(at, ..)| *at);
        while self.late.first().is_some_and(|(at, ..)| *at <= until) {
            let (at, condition, record) = self.late.remove(0);
            self.now = self.now.max(at);
            // Its sender does not wait for it any more.
            let _ = self.log.append(condition, record);
        }
        self.now = until;
    }

    /// Sends the attempts of one append. Returns the first answer that arrives.
    fn append(
        &mut self,
        condition: AppendCondition,
        record: &OwnerRecord,
        attempts: &[Fate],
    ) -> Result<u64, StoreError> {
        for fate in attempts {
            match fate {
                Fate::Answered => return self.log.append(condition, record.clone()),
                Fate::AnswerLost => {
                    let _ = self.log.append(condition, record.clone());
                }
                Fate::Late(ms) => {
                    let at = self.now + Duration::from_millis(u64::from(*ms));
                    self.late.push((at, condition, record.clone()));
                }
                Fate::Lost => {}
            }
        }
        Err(StoreError::NoResponse)
    }

    fn act(&mut self, index: usize, attempts: &[Fate]) {
        match self.instances[index].role {
            Role::Follower => self.follow(index, attempts),
            Role::Owner { .. } => self.send_heartbeat(index, attempts),
        }
    }

    fn follow(&mut self, index: usize, attempts: &[Fate]) {
        let instance = &mut self.instances[index];
        let end = self.log.records.len();
        let from = match instance.next {
            // The history before was dropped.
            Some(next) if (next as usize) < self.log.first => {
                instance.next = None;
                return;
            }
            Some(next) => next as usize,
            None => end.saturating_sub(1),
        };
        for (owner, has_resigned) in &self.log.records[from..end] {
            let known = instance.election.latest_owner().map_or(0, |o| o.term);
            let outcome = instance.election.record_owner(owner.clone(), *has_resigned, self.now);
            let latest = instance.election.latest_owner().map_or(0, |o| o.term);
            assert!(latest >= known, "an earlier owner counts as the latest again");
            assert_ne!(outcome, RecordOutcome::SameTerm, "two owners of term {}", owner.term);
        }
        instance.next = Some(end as u64);
        if let Some((newest, _)) = self.log.records.last() {
            assert_eq!(instance.election.latest_owner(), Some(newest), "the owner is not followed");
        }
        if let Some(term) = instance.election.unconfirmed_term(instance.last_ended_term) {
            return self.begin_term(index, term, end as u64, self.now);
        }
        if self.now < instance.election.takeover_at().0 {
            return;
        }
        let term = instance.election.next_term();
        let condition = instance.election.takeover_condition(end as u64);
        let record = self.record(index, term);
        match self.append(condition, &record, attempts) {
            Ok(end) => self.begin_term(index, term, end, self.now),
            Err(e) => {
                let now = self.now;
                self.instances[index].election.record_failed_takeover(&e, now);
            }
        }
    }

    fn begin_term(&mut self, index: usize, term: u64, topic_end: u64, now: Duration) {
        let instance = &mut self.instances[index];
        let incarnation = instance.incarnation;
        let earlier = self.owners.insert(term, incarnation);
        assert_eq!(earlier.unwrap_or(incarnation), incarnation, "term {term} has two owners");
        let heartbeats = Heartbeats::new(term, incarnation, topic_end);
        instance.role = Role::Owner { heartbeats, term, confirmed_at: now };
    }

    fn send_heartbeat(&mut self, index: usize, attempts: &[Fate]) {
        let Role::Owner { heartbeats, term, confirmed_at } = &self.instances[index].role else {
            return;
        };
        let (condition, term, confirmed_at) = (heartbeats.condition(), *term, *confirmed_at);
        let record = self.record(index, term);
        let answer = self.append(condition, &record, attempts);
        let now = self.now;
        let Role::Owner { heartbeats, confirmed_at: latest, .. } = &mut self.instances[index].role
        else {
            return;
        };
        match answer {
            Ok(end) => {
                let unread = heartbeats.record_stored(end);
                assert_eq!(unread, None, "a record of another owner lies below a heartbeat");
                *latest = now;
            }
            Err(StoreError::SequenceMismatch { .. }) => panic!("two producers in term {term}"),
            Err(StoreError::Fenced) => self.end_term(index, term),
            Err(_) if now >= confirmed_at + MAX_STORE_OUTAGE => self.end_term(index, term),
            Err(_) => {}
        }
    }

    fn end_term(&mut self, index: usize, term: u64) {
        let now = self.now;
        let instance = &mut self.instances[index];
        (instance.role, instance.next, instance.last_ended_term) = (Role::Follower, None, term);
        instance.election.record_gap(now);
    }

    fn step(&mut self, step: &Step) {
        let index = |instance: &u8| usize::from(*instance) % NAMES.len();
        match step {
            Step::Advance { ms } => self.advance(Duration::from_millis(u64::from(*ms))),
            Step::Act { instance, attempts } => self.act(index(instance), attempts),
            Step::Restart { instance } => {
                let index = index(instance);
                self.instances[index] = self.start(NAMES[index]);
            }
            Step::Truncate => self.log.first = self.log.records.len().saturating_sub(1),
        }
    }

    /// Without faults there is one owner soon, and all others follow it.
    fn check_calm(&mut self) {
        let until = self.now + CALM;
        while self.now < until {
            self.advance(CALM_STEP);
            for index in 0..NAMES.len() {
                self.act(index, &[Fate::Answered]);
            }
        }
        let newest = &self.log.records.last().expect("an owner record").0;
        let owners = self.instances.iter().filter(|i| matches!(i.role, Role::Owner { .. }));
        let owners: Vec<u64> = owners.map(|i| i.incarnation).collect();
        assert_eq!(owners, [newest.incarnation], "one owner after {CALM:?} without faults");
        for instance in self.instances.iter().filter(|i| matches!(i.role, Role::Follower)) {
            assert_eq!(instance.election.latest_owner(), Some(newest));
        }
    }
}

fn run(steps: Vec<Step>) -> bool {
    let mut world = World::new();
    steps.iter().for_each(|step| world.step(step));
    world.check_calm();
    true
}

/// No term has two owners, an earlier owner never counts as the latest again, a living owner is
/// followed, and there is one soon. Guards against tasks that two owners start under the same fencing
/// tokens.
#[test]
fn election_random_sequences() {
    let (seed, cases) = (env_number("FUZZ_SEED", SEED), env_number("FUZZ_CASES", CASES));
    let rng = Gen::from_size_and_seed(STEPS, seed);
    QuickCheck::new()
        .tests(cases)
        .max_tests(cases)
        .rng(rng)
        .quickcheck(run as fn(Vec<Step>) -> bool);
}
