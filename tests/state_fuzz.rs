//! Applies arbitrary batches of concurrent writers to the state and checks the invariants after
//! every record.
//!
//! Guards against a record that breaks an invariant, even if the writers follow no protocol at all.

use indexmap::IndexMap;
use jacinthhook::ids::*;
use jacinthhook::record::*;
use jacinthhook::state::{ApplyOutcome, JobState, State};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::HashMap;

const TEAMS: [&str; 2] = ["huts", "counter"];
const LIMITS: [u32; 2] = [7, 12];
const INSTANCES: usize = 10;
const POOLS: [&str; 3] = ["loans", "returns", "administration"];
/// Maximum number of batches in a sequence.
const STEPS: usize = 80;
/// Number of sequences.
const CASES: u64 = 2_000;
const SEED: u64 = 1;
/// Maximum share of a pool that may be down, in percent.
const UNAVAILABLE_PERCENT: u32 = 30;

fn section(name: &str, values: &[(&str, &str)]) -> SectionChange {
    let values = values.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect();
    SectionChange { section: name.to_string(), base: None, body: Some(values) }
}

fn declarations() -> Record {
    let percent = UNAVAILABLE_PERCENT.to_string();
    let mut changes = vec![
        section("zone hobart", &[("region", "south")]),
        section("zone launceston", &[("region", "north")]),
        section("profile guarded", &[("unavailable_percent", &percent), ("reserve_percent", "50")]),
    ];
    for (team, limit) in TEAMS.iter().zip(LIMITS) {
        let limit = limit.to_string();
        changes.push(section(&format!("team {team}"), &[("share", "1"), ("limit", &limit)]));
    }
    for pool in POOLS {
        changes.push(section(&format!("pool {pool}"), &[]));
    }
    for service in ["loans", "returns"] {
        let values = [("profile", "guarded"), ("pool", service)];
        changes.push(section(&format!("service {service}"), &values));
    }
    Record::Publish { op: "declarations".into(), changes }
}

/// A new batch with one record, or a repeat of the last batch as after a lost append answer.
#[derive(Clone, Debug)]
enum Step {
    Append { writer: u8, record: Box<Record> },
    Repeat,
}

fn pick<T: Clone>(g: &mut Gen, items: &[T]) -> T {
    g.choose(items).expect("items are given").clone()
}

fn instance(g: &mut Gen) -> InstanceId {
    format!("runner-{}", usize::arbitrary(g) % INSTANCES).into()
}

fn job(g: &mut Gen) -> JobId {
    format!("job-{}", u8::arbitrary(g) % 6).into()
}

fn small(g: &mut Gen) -> u32 {
    u32::arbitrary(g) % 16
}

fn offset(g: &mut Gen) -> Offset {
    u64::from(u8::arbitrary(g) % 64)
}

fn renew(g: &mut Gen) -> Record {
    let mut want = IndexMap::new();
    for team in TEAMS {
        want.insert(team.into(), Want { units: small(g), reserve: small(g), waiting: small(g) });
    }
    Record::Renew {
        zone: "hobart".into(),
        http_addr: String::new(),
        peer_addr: String::new(),
        seen: 0,
        want,
        departing: bool::arbitrary(g),
    }
}

fn spec(g: &mut Gen) -> JobSpec {
    JobSpec {
        job: job(g),
        team: pick(g, &TEAMS).into(),
        service: "loans".into(),
        class: Class::Planned,
        idempotent: bool::arbitrary(g),
        declared_ms: 10,
        deadline_ms: 0,
        payload: vec![1; small(g) as usize].into(),
    }
}

fn ending(g: &mut Gen) -> JobEnding {
    match u8::arbitrary(g) % 3 {
        0 => JobEnding::Done(vec![2; small(g) as usize].into()),
        1 => JobEnding::Failed("exit 1".to_string()),
        _ => JobEnding::Unknown,
    }
}

fn record(g: &mut Gen) -> Record {
    let op: OpId = format!("op-{}", u16::arbitrary(g)).into();
    let attempt = 1 + u32::arbitrary(g) % 3;
    match u8::arbitrary(g) % 25 {
        24 => seen(usize::arbitrary(g) % INSTANCES, pick(g, &POOLS)),
        0..=3 => renew(g),
        4 => Record::Expire {
            holder: "any".into(),
            holder_incarnation: u64::arbitrary(g) % 4,
            renewed_at: offset(g),
            level: pick(g, &[ExpireLevel::Borrowed, ExpireLevel::All]),
        },
        5 => {
            let key = pick(g, &["k1", "k2"]).into();
            Record::KeyGrant { op, key, team: pick(g, &TEAMS).into(), hash: "00".to_string() }
        }
        6 => Record::KeyWithdraw { op, key: pick(g, &["k1", "k2"]).into() },
        7 => Record::ZoneOut { op, zone: pick(g, &["hobart", "launceston"]).into() },
        8 => Record::ZoneBack { op, zone: "hobart".into(), undoes: offset(g) },
        9 => Record::InstanceOut { op, instance: instance(g) },
        10 => Record::InstanceBack { op, instance: instance(g), undoes: offset(g) },
        11 => Record::InstanceGone { instance: instance(g) },
        12 | 13 => Record::MoveStart {
            instance: instance(g),
            from: pick(g, &POOLS).into(),
            to: pick(g, &POOLS).into(),
        },
        14 => Record::MoveEnd { instance: instance(g), started: offset(g) },
        15 => Record::DrainStart { instance: instance(g), reason: DrainReason::Maintenance },
        16 => {
            Record::DrainEnd { instance: instance(g), started: offset(g), done: bool::arbitrary(g) }
        }
        17 => Record::Claim { ids: vec![ClaimId::from(u8::arbitrary(g) % 4)] },
        18 | 19 => Record::JobSubmit { spec: spec(g) },
        20 | 21 => Record::JobClaim { job: job(g), attempt, upstream: instance(g) },
        22 => Record::JobAdopt { job: job(g), attempt },
        _ => match bool::arbitrary(g) {
            true => Record::JobEnd { job: job(g), attempt, ending: ending(g) },
            false => Record::JobRelease { job: job(g), attempt },
        },
    }
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 8 {
            0 => Step::Repeat,
            _ => Step::Append { writer: u8::arbitrary(g) % 4, record: Box::new(record(g)) },
        }
    }
}

/// Final facts seen so far, which no later record may change.
#[derive(Default)]
struct Oracle {
    withdrawn: Vec<KeyId>,
    endings: HashMap<JobId, JobEnding>,
    claims: HashMap<ClaimId, Incarnation>,
}

impl Oracle {
    fn check(&mut self, before: &State, state: &State, batch: &Batch, outcome: &ApplyOutcome) {
        let record = &batch.records[0];
        check_holder(before, batch, outcome);
        self.check_limits(state);
        self.check_keys(state);
        self.check_jobs(state);
        self.check_claims(state);
        check_budget(before, state, record, outcome);
        check_pools(before, state, record);
        if matches!(outcome, ApplyOutcome::Rejected(_)) {
            assert_eq!(
                comparable(before),
                comparable(state),
                "a rejected record changed the state"
            );
        }
    }

    fn check_limits(&self, state: &State) {
        for (team, limit) in TEAMS.iter().zip(LIMITS) {
            let team: TeamId = (*team).into();
            let running =
                |j: &&jacinthhook::state::Job| matches!(j.state, JobState::Running { .. });
            let jobs = state.jobs.values().filter(|j| j.spec.team == team).filter(running).count();
            let grants = state.holders.values().filter_map(|h| h.grants.get(&team));
            let granted: u32 = grants.map(|g| g.units).sum();
            assert!(granted + jobs as u32 <= limit, "{team}: {granted} units and {jobs} jobs");
        }
    }

    fn check_keys(&mut self, state: &State) {
        for (id, key) in &state.keys {
            if key.withdrawn_at.is_some() && !self.withdrawn.contains(id) {
                self.withdrawn.push(id.clone());
            }
        }
        for id in &self.withdrawn {
            assert!(state.keys[id].withdrawn_at.is_some(), "withdrawn key {id} was restored");
        }
    }

    fn check_jobs(&mut self, state: &State) {
        for (id, job) in &state.jobs {
            if let JobState::Ended { ending, .. } = &job.state {
                let first = self.endings.entry(id.clone()).or_insert_with(|| ending.clone());
                assert_eq!(first, ending, "job {id} ended twice");
            } else {
                assert!(!self.endings.contains_key(id), "ended job {id} is active again");
            }
        }
    }

    fn check_claims(&mut self, state: &State) {
        for id in 0..4 {
            if let Some(winner) = state.claims.winner(id) {
                assert_eq!(
                    *self.claims.entry(id).or_insert(winner),
                    winner,
                    "the winner of claim {id} changed"
                );
            }
        }
    }
}

/// Checks that planned work never takes a pool beyond its budget; only unplanned loss may.
fn check_budget(before: &State, state: &State, record: &Record, outcome: &ApplyOutcome) {
    let (Record::DrainStart { instance, .. } | Record::MoveStart { instance, .. }) = record else {
        return;
    };
    let (ApplyOutcome::Applied, Some(previous)) = (outcome, before.instances.get(instance)) else {
        return;
    };
    let pool = &previous.pool;
    let down = state.pool_down(pool);
    let size = state.instances.values().filter(|i| i.pool == *pool).count() as u32;
    if **pool != *"administration" && down > before.pool_down(pool) {
        assert!(down * 100 <= size * UNAVAILABLE_PERCENT, "{down} of {size} down in {pool}");
    }
}

/// Checks that only the holder of a running job ends or releases it, and only in its current
/// attempt.
fn check_holder(before: &State, batch: &Batch, outcome: &ApplyOutcome) {
    let (Record::JobEnd { job, attempt, .. } | Record::JobRelease { job, attempt }) =
        &batch.records[0]
    else {
        return;
    };
    if *outcome == ApplyOutcome::Applied {
        let previous = &before.jobs[job];
        let JobState::Running { holder, .. } = previous.state else {
            panic!("job {job} ended while it did not run");
        };
        assert_eq!((holder, previous.attempt), (batch.incarnation, *attempt), "job {job}");
    }
}

fn check_pools(before: &State, state: &State, record: &Record) {
    for (id, instance) in &state.instances {
        if let Some(previous) = before.instances.get(id)
            && previous.pool != instance.pool
        {
            assert!(matches!(record, Record::MoveEnd { .. }), "{id} moved by {record:?}");
            assert_eq!(previous.moving.as_ref().map(|(to, _)| to), Some(&instance.pool));
        }
    }
}

/// Returns the state without the fields that every batch changes.
fn comparable(state: &State) -> serde_json::Value {
    let mut value = serde_json::to_value(state).expect("a state is serializable");
    let fields = value.as_object_mut().expect("a state is an object");
    fields.remove("next");
    fields.remove("writers");
    value
}

fn seen(i: usize, pool: &str) -> Record {
    Record::InstanceSeen {
        instance: format!("runner-{i}").into(),
        pool: pool.into(),
        zone: ["hobart", "launceston"][i % 2].into(),
        rack: format!("rack-{}", i / 2).into(),
    }
}

/// Sets the offset of most ends of moves and drains to the start in force, as an instance with a
/// current view would.
fn set_started_in_force(state: &State, record: &mut Record) {
    match record {
        Record::MoveEnd { instance, started } if *started % 4 > 0 => {
            let moving = state.instances.get(instance).and_then(|i| i.moving.as_ref());
            *started = moving.map_or(*started, |(_, at)| *at);
        }
        Record::DrainEnd { instance, started, .. } if *started % 4 > 0 => {
            let draining = state.instances.get(instance).and_then(|i| i.draining);
            *started = draining.map_or(*started, |(_, at)| at);
        }
        _ => {}
    }
}

fn run(steps: Vec<Step>) -> bool {
    let mut state = State::new();
    let mut oracle = Oracle::default();
    let mut records = vec![declarations()];
    records.extend((0..INSTANCES).map(|i| seen(i, POOLS[i % 2])));
    let first = Batch { writer: "entry-0".into(), incarnation: 0, seq: 1, records };
    let outcomes = state.apply(0, &first);
    assert!(outcomes.iter().all(|v| *v == ApplyOutcome::Applied), "{outcomes:?}");
    let mut seqs: HashMap<u64, u64> = HashMap::from([(0, 1)]);
    let mut last = first;
    for step in steps {
        let before = state.clone();
        if let Step::Append { writer, mut record } = step {
            set_started_in_force(&state, &mut record);
            let incarnation = u64::from(writer);
            let seq = seqs.entry(incarnation).or_insert(0);
            *seq += 1;
            last = Batch {
                writer: format!("entry-{}", writer % 3).into(),
                incarnation,
                seq: *seq,
                records: vec![*record],
            };
            let outcomes = state.apply(state.next(), &last);
            oracle.check(&before, &state, &last, &outcomes[0]);
        } else {
            let outcomes = state.apply(state.next(), &last);
            assert!(outcomes.iter().all(|v| *v == ApplyOutcome::Repeated), "{outcomes:?}");
            assert_eq!(comparable(&before), comparable(&state), "a repeat changed the state");
        }
    }
    let bytes = serde_json::to_vec(&state).expect("a state is serializable");
    let mut copy: State = serde_json::from_slice(&bytes).expect("an encoded state decodes");
    copy.rebuild_config().expect("accepted declarations have no mistakes");
    copy.config == state.config && copy.digest() == state.digest()
}

#[test]
fn apply_arbitrary_batches() {
    let rng = Gen::from_size_and_seed(STEPS, SEED);
    QuickCheck::new().tests(CASES).rng(rng).quickcheck(run as fn(Vec<Step>) -> bool);
}
