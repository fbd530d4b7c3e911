//! Decoding of arbitrary and damaged entries and snapshots. Guards against panics, and against a
//! partial state in place of an error.

use bytes::Bytes;
use indexmap::IndexMap;
use jacinthhook::node::{Node, NodeConfig};
use jacinthhook::protocol::{LogEntry, ReadAnswer};
use jacinthhook::record::*;
use jacinthhook::snapshot::{self, PartAssembler};
use jacinthhook::state::State;
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;

const CASES: u64 = 2_000;
const SEED: u64 = 7;

fn check<A: quickcheck::Testable>(property: A) {
    let g = Gen::from_size_and_seed(200, SEED);
    QuickCheck::new().rng(g).tests(CASES).quickcheck(property);
}

fn batch(seq: u64) -> Batch {
    let spec = JobSpec {
        job: "job-1".into(),
        team: "huts".into(),
        service: "loans".into(),
        class: Class::Planned,
        idempotent: true,
        declared_ms: 10,
        deadline_ms: 0,
        payload: vec![7; 40].into(),
    };
    let values = IndexMap::from([
        ("share".to_string(), "1".to_string()),
        ("limit".to_string(), "8".to_string()),
    ]);
    let change = SectionChange { section: "team huts".into(), base: None, body: Some(values) };
    let want = IndexMap::from([("huts".into(), Want { units: 3, reserve: 1, waiting: 2 })]);
    let records = vec![
        Record::Publish { op: "op-1".into(), changes: vec![change] },
        Record::Renew {
            zone: "hobart".into(),
            http_addr: "127.0.0.1:1".into(),
            peer_addr: "127.0.0.1:2".into(),
            seen: 0,
            want,
            departing: false,
        },
        Record::Claim { ids: vec![1, u128::MAX] },
        Record::JobSubmit { spec },
    ];
    Batch { writer: "entry-1".into(), incarnation: 9, seq, records }
}

fn state() -> State {
    let mut state = State::new();
    state.apply(0, &batch(1));
    state
}

/// Returns a copy of `bytes` with one byte changed.
fn damaged(bytes: &[u8], at: usize, by: u8) -> Vec<u8> {
    let mut copy = bytes.to_vec();
    let at = at % copy.len();
    copy[at] ^= by.max(1);
    copy
}

fn node() -> Node {
    let cfg = NodeConfig {
        id: "entry-1".into(),
        incarnation: 9,
        zone: "hobart".into(),
        http_addr: String::new(),
        peer_addr: String::new(),
        entry_instances: 1,
        seed: 1,
        mutation: None,
    };
    Node::new(cfg, Duration::ZERO)
}

#[test]
fn snapshot_decode_arbitrary_bytes() {
    check((|bytes: Vec<u8>| snapshot::decode(&bytes).is_err()) as fn(Vec<u8>) -> bool);
}

#[test]
fn snapshot_decode_damaged_bytes() {
    fn property(at: usize, by: u8) -> bool {
        let bytes = snapshot::encode(&state()).unwrap();
        snapshot::decode(&damaged(&bytes, at, by)).is_err()
    }
    check(property as fn(usize, u8) -> bool);
}

#[test]
fn snapshot_decode_round_trip() {
    let copy = snapshot::decode(&snapshot::encode(&state()).unwrap()).unwrap();
    assert_eq!(copy.digest(), state().digest());
    assert_eq!(copy.config, state().config);
}

/// Guards against a panic for a body that is damaged although its checksum matches.
#[test]
fn apply_damaged_body_with_valid_checksum() {
    fn property(at: usize, by: u8) -> bool {
        let body = serde_json::to_vec(&batch(2)).unwrap();
        let body = damaged(&body, at, by);
        let mut entry = MAGIC.to_vec();
        entry.extend(crc32fast::hash(&body).to_be_bytes());
        entry.extend(&body);
        if let Ok(batch) = decode(&entry) {
            let mut state = state();
            let records = batch.records.len();
            return state.apply(1, &batch).len() == records && state.next() == 2;
        }
        true
    }
    check(property as fn(usize, u8) -> bool);
}

#[test]
fn node_read_damaged_entries() {
    fn property(bytes: Vec<u8>, at: usize, by: u8) -> bool {
        let intact = encode(&batch(1)).unwrap();
        let truncated = intact.slice(..at % intact.len());
        let entries =
            [Bytes::from(damaged(&intact, at, by)), Bytes::from(bytes), truncated, intact];
        let entries = entries.into_iter().enumerate();
        let entries = entries.map(|(i, data)| LogEntry { offset: i as u64, data });
        let answer = ReadAnswer { first: 0, next: 4, entries: entries.collect() };
        let mut node = node();
        node.on_read(Duration::from_secs(1), &answer);
        // Only the intact entry is applied, at its own offset.
        let mut expected = State::new();
        expected.skip(2);
        expected.apply(3, &batch(1));
        node.has_view() && node.state().digest() == expected.digest()
    }
    check(property as fn(Vec<u8>, usize, u8) -> bool);
}

#[test]
fn node_load_damaged_view() {
    fn property(at: usize, by: u8) -> bool {
        let bytes = snapshot::encode(&state()).unwrap();
        let mut node = node();
        let before = node.state().digest();
        let refused = node.load_view(Duration::ZERO, &damaged(&bytes, at, by)).is_err();
        refused && !node.has_view() && node.state().digest() == before
    }
    check(property as fn(usize, u8) -> bool);
}

/// Guards against a wrong state assembled from repeated, reordered or damaged parts.
#[test]
fn collector_damaged_parts() {
    fn property(order: Vec<u8>, at: usize, by: u8) -> bool {
        let mut state = state();
        let payload = Bytes::from(vec![1; MAX_JOB_PAYLOAD_LEN]);
        for i in 0..4 {
            let Record::JobSubmit { mut spec } = batch(1).records.remove(3) else { return false };
            spec.job = format!("large-{i}").into();
            spec.payload = payload.clone();
            let records = vec![Record::JobSubmit { spec }];
            let batch = Batch { writer: "entry-1".into(), incarnation: 9, seq: i + 2, records };
            state.apply(i + 1, &batch);
        }
        let parts = snapshot::split(&state, 1).unwrap();
        let mut collector = PartAssembler::new(false);
        for i in order {
            let mut part = parts[usize::from(i / 2) % parts.len()].clone();
            if let Record::SnapshotPart { data, .. } = &mut part
                && i % 8 == 1
            {
                *data = Bytes::from(damaged(data, at, by));
            }
            if let Some(complete) = collector.add(9, &part)
                && let Ok(assembled) = complete.decode()
                && assembled.digest() != state.digest()
            {
                return false;
            }
        }
        true
    }
    let g = Gen::from_size_and_seed(60, SEED);
    let property = property as fn(Vec<u8>, usize, u8) -> bool;
    QuickCheck::new().rng(g).tests(100).quickcheck(property);
}
