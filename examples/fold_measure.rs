//! Measures at the design size how long a replica takes to apply the changes of one day, how much memory
//! its state needs, and how long a new instance takes to load the snapshot.
//!
//! Run it with `cargo run --release --example fold_measure`.

use indexmap::IndexMap;
use jacinthhook::protocol::{LogEntry, ReadAnswer};
use jacinthhook::record::*;
use jacinthhook::replica::Replica;
use jacinthhook::snapshot;
use std::time::Instant;

const WORKERS: usize = 9_500;
const POOLS: usize = 66;
const TEAMS: usize = 230;
const CHANGES_PER_DAY: usize = 27_000;
const ZONES: usize = 7;

fn section(name: String, base: Option<Version>, values: &[(&str, String)]) -> SectionChange {
    let values: IndexMap<String, String> =
        values.iter().map(|(k, v)| (k.to_string(), v.clone())).collect();
    SectionChange { section: name, base, body: Some(values) }
}

fn declarations() -> Record {
    let mut changes = vec![section("profile guarded".into(), None, &[])];
    changes.extend((0..ZONES).map(|i| {
        section(format!("zone zone-{i}"), None, &[("region", format!("region-{}", i % 3))])
    }));
    changes.extend((0..POOLS).map(|i| section(format!("pool pool-{i}"), None, &[])));
    changes.extend((0..TEAMS).map(|i| team(i, None, 100)));
    changes.extend((0..POOLS).map(|i| {
        let values = [("profile", "guarded".to_string()), ("pool", format!("pool-{i}"))];
        section(format!("service service-{i}"), None, &values)
    }));
    Record::Publish { op: "declarations".into(), changes }
}

fn team(i: usize, base: Option<Version>, limit: usize) -> SectionChange {
    let values = [("share", "1".to_string()), ("limit", limit.to_string())];
    section(format!("team team-{i}"), base, &values)
}

fn worker_seen(i: usize) -> Record {
    Record::InstanceSeen {
        instance: format!("worker-{i}").into(),
        pool: format!("pool-{}", i % POOLS).into(),
        zone: format!("zone-{}", i % ZONES).into(),
        rack: format!("rack-{}", i / 4).into(),
    }
}

/// Returns the `i`th change of the day. `versions` holds the offset of the last change of each team.
fn daily_change(i: usize, offset: Version, versions: &mut [Version]) -> Record {
    let op = format!("op-{i}").into();
    let k = i / 5;
    match i % 5 {
        0 | 1 => {
            let team_index = (i / 2) % TEAMS;
            let base = Some(std::mem::replace(&mut versions[team_index], offset));
            Record::Publish { op, changes: vec![team(team_index, base, 50 + i % 100)] }
        }
        2 => Record::KeyGrant {
            op,
            key: format!("key-{k}").into(),
            team: format!("team-{}", k % TEAMS).into(),
            hash: "0".repeat(64),
        },
        3 => Record::KeyWithdraw { op, key: format!("key-{k}").into() },
        _ => Record::InstanceOut { op, instance: format!("worker-{}", k % WORKERS).into() },
    }
}

fn entry(offset: u64, records: Vec<Record>) -> LogEntry {
    let batch = Batch { writer: "entry-1".into(), incarnation: 1, seq: offset + 1, records };
    LogEntry { offset, data: encode(&batch).expect("the batch should fit") }
}

/// Returns the resident memory of this process in KB.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn main() {
    let mut initial = vec![entry(0, vec![declarations()])];
    let workers: Vec<Record> = (0..WORKERS).map(worker_seen).collect();
    initial
        .extend(workers.chunks(500).zip(1..).map(|(chunk, offset)| entry(offset, chunk.to_vec())));
    let first = initial.len() as u64;
    let mut versions = vec![0; TEAMS];
    let day = (0..CHANGES_PER_DAY).map(|i| {
        let offset = first + i as u64;
        entry(offset, vec![daily_change(i, offset, &mut versions)])
    });
    let day = ReadAnswer { first: 0, next: first + CHANGES_PER_DAY as u64, entries: day.collect() };
    let before = resident_kb();
    let mut replica = Replica::new();
    replica.apply_answer(&ReadAnswer { first: 0, next: first, entries: initial });
    let started = Instant::now();
    let mut applied = 0;
    for chunk in day.entries.chunks(64) {
        let step = replica.apply_answer(&ReadAnswer { entries: chunk.to_vec(), ..day });
        let outcomes = step.applied.iter().flat_map(|entry| &entry.outcomes);
        applied += outcomes.filter(|v| **v == jacinthhook::state::ApplyOutcome::Applied).count();
    }
    let fold = started.elapsed();
    let state_kb = resident_kb() - before;
    let bytes = snapshot::encode(replica.state()).expect("the state should encode");
    let parts = snapshot::split(replica.state(), 1).expect("the state should split").len();
    let started = Instant::now();
    let mut fresh = Replica::new();
    fresh.load_view(&bytes).expect("the snapshot should load");
    let load = started.elapsed();
    assert_eq!(fresh.state().digest(), replica.state().digest());
    println!("workers {WORKERS}, pools {POOLS}, teams {TEAMS}");
    println!("fold of {CHANGES_PER_DAY} changes: {fold:?}, {applied} applied");
    println!("memory of the replica with its relay buffer: {state_kb} KB");
    println!("snapshot: {} bytes in {parts} parts; fresh instance ready: {load:?}", bytes.len());
}
