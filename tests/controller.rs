//! Tests of the controller with a real node. Guard against drains that interrupt work of an entry
//! instance that does not know of them yet, jobs lost to maintenance, and moves that end too early.

use indexmap::IndexMap;
use jacinthhook::controller::{Controller, Inputs, Pass, ProbeReport, Step};
use jacinthhook::ids::*;
use jacinthhook::node::{Node, NodeConfig};
use jacinthhook::protocol::*;
use jacinthhook::record::*;
use jacinthhook::sched::PoolLoad;
use std::collections::HashMap;
use std::time::Duration;

const DAY_S: u64 = 24 * 60 * 60;
const RUNNERS: usize = 10;

/// One node, a log, and a second lease holder whose log position is set by the test.
struct Fleet {
    node: Node,
    controller: Controller,
    entries: Vec<LogEntry>,
    seqs: HashMap<Incarnation, u64>,
    now: Time,
    unix_s: u64,
    running: HashMap<InstanceId, u32>,
    /// Slot-seconds of work offered to this entry instance per second.
    offered: f64,
    offered_cost: f64,
}

fn section(name: &str, values: &[(&str, &str)]) -> SectionChange {
    let values = values.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect();
    SectionChange { section: name.to_string(), base: None, body: Some(values) }
}

fn declarations() -> Record {
    let changes = vec![
        section("zone hobart", &[("region", "south")]),
        section("team huts", &[("share", "1"), ("limit", "50")]),
        section("pool loans", &[("min_instances", "2")]),
        section("pool administration", &[("spare", "true"), ("min_instances", "1")]),
        section(
            "profile guarded",
            &[
                ("unavailable_percent", "20"),
                ("unavailable_per_rack", "1"),
                ("maintenance_days", "20"),
                ("drain_timeout_ms", "10000"),
            ],
        ),
        section("service loans", &[("profile", "guarded"), ("pool", "loans")]),
    ];
    Record::Publish { op: "declarations".into(), changes }
}

fn pool_of(i: usize) -> &'static str {
    if i < RUNNERS { "loans" } else { "administration" }
}

fn runner(i: usize) -> InstanceId {
    format!("runner-{i:02}").into()
}

fn renew(id: &str, seen: Offset) -> Record {
    Record::Renew {
        zone: "hobart".into(),
        http_addr: format!("{id}:1"),
        peer_addr: format!("{id}:2"),
        seen,
        want: IndexMap::new(),
        departing: false,
    }
}

impl Fleet {
    /// Creates a fleet of ten runners and three spare ones, all maintained on day 100, with two
    /// entry instances.
    fn new() -> Fleet {
        let cfg = NodeConfig {
            id: "entry-a".into(),
            incarnation: 1,
            zone: "hobart".into(),
            http_addr: "127.0.0.1:1".to_string(),
            peer_addr: "127.0.0.1:2".to_string(),
            entry_instances: 2,
            seed: 1,
            mutation: None,
        };
        let mut fleet = Fleet {
            node: Node::new(cfg, Duration::ZERO),
            controller: Controller::new(),
            entries: Vec::new(),
            seqs: HashMap::new(),
            now: Duration::from_secs(1),
            unix_s: 100 * DAY_S,
            running: HashMap::new(),
            offered: 0.0,
            offered_cost: 0.0,
        };
        fleet.append(1, vec![declarations()]);
        for i in 0..RUNNERS + 3 {
            let seen = Record::InstanceSeen {
                instance: runner(i),
                pool: pool_of(i).into(),
                zone: "hobart".into(),
                rack: format!("rack-{i}").into(),
            };
            let maintained = Record::Maintained { instance: runner(i), at_s: 100 * DAY_S };
            fleet.append(1, vec![seen, maintained]);
        }
        fleet.acknowledge_all();
        fleet
    }

    fn append(&mut self, incarnation: Incarnation, records: Vec<Record>) {
        let seq = self.seqs.entry(incarnation).or_insert(0);
        *seq += 1;
        let writer: EntryId = if incarnation == 1 { "entry-a".into() } else { "entry-b".into() };
        let batch = Batch { writer, incarnation, seq: *seq, records };
        let offset = self.entries.len() as Offset;
        self.entries
            .push(LogEntry { offset, data: encode(&batch).expect("a small batch encodes") });
        let answer = ReadAnswer { first: 0, next: offset + 1, entries: self.entries.clone() };
        self.node.on_read(self.now, &answer);
    }

    /// Makes both entry instances report that they have applied the whole log.
    fn acknowledge_all(&mut self) {
        let seen = self.entries.len() as Offset;
        self.append(1, vec![renew("entry-a", seen)]);
        self.append(2, vec![renew("entry-b", seen)]);
    }

    /// Runs one pass, one second after the previous one, and appends its records to the log.
    fn pass(&mut self) -> Pass {
        self.now += Duration::from_secs(1);
        let listed = |i: usize| ListedInstance {
            id: runner(i),
            role: Role::Upstream,
            pool: pool_of(i).into(),
            zone: "hobart".into(),
            rack: format!("rack-{i}").into(),
            addr: "127.0.0.1:1".to_string(),
            presence: Presence::Live,
            slots: 8,
            connections: 64,
        };
        let list = InstanceList { instances: (0..RUNNERS + 3).map(listed).collect() };
        let report = |i: usize| {
            let running = self.running.get(&runner(i)).copied().unwrap_or(0);
            (runner(i), ProbeReport { at: self.now, running, answered: true })
        };
        let reports = (0..RUNNERS + 3).map(report).collect();
        self.offered_cost += self.offered;
        let load = PoolLoad { offered_cost: self.offered_cost, ..PoolLoad::default() };
        let loads = IndexMap::from([("loans".into(), load)]);
        let inputs = Inputs {
            now: self.now,
            unix_s: self.unix_s,
            node: &self.node,
            list: &list,
            reports: &reports,
            loads: &loads,
        };
        self.controller.observe(&inputs);
        let pass = self.controller.plan(&inputs);
        for step in &pass.steps {
            if let Step::Propose(record) = step {
                self.append(1, vec![record.clone()]);
            }
        }
        pass
    }

    fn draining(&self) -> Vec<InstanceId> {
        let state = self.node.state();
        let draining = state.instances.iter().filter(|(_, i)| i.draining.is_some());
        draining.map(|(id, _)| id.clone()).collect()
    }

    fn moving(&self) -> Vec<InstanceId> {
        let state = self.node.state();
        let moving = state.instances.iter().filter(|(_, i)| i.moving.is_some());
        moving.map(|(id, _)| id.clone()).collect()
    }
}

fn reboots(pass: &Pass) -> Vec<&InstanceId> {
    let reboot = |step: &'_ Step| matches!(step, Step::Reboot { .. });
    let steps = pass.steps.iter().filter(|step| reboot(step));
    steps
        .filter_map(|step| match step {
            Step::Reboot { instance, .. } => Some(instance),
            _ => None,
        })
        .collect()
}

#[test]
fn plan_nothing_due() {
    let mut fleet = Fleet::new();
    let pass = fleet.pass();
    assert!(pass.steps.is_empty(), "{:?}", pass.steps);
}

#[test]
fn plan_due_within_budget() {
    let mut fleet = Fleet::new();
    fleet.unix_s += 19 * DAY_S;
    fleet.pass();
    let loans = fleet.draining().iter().filter(|id| **id < runner(RUNNERS)).count();
    assert_eq!(loans, 2, "20% of 10 instances may be down");
}

#[test]
fn plan_reboot_waits_for_lagging_entry_instance() {
    let mut fleet = Fleet::new();
    fleet.unix_s += 19 * DAY_S;
    fleet.pass();
    assert!(!fleet.draining().is_empty());
    for _ in 0..5 {
        let seen = fleet.entries.len() as Offset;
        fleet.append(1, vec![renew("entry-a", seen)]);
        assert!(
            reboots(&fleet.pass()).is_empty(),
            "restarted although entry-b has not applied the drain"
        );
    }
    fleet.acknowledge_all();
    let asked = (0..5).any(|_| !reboots(&fleet.pass()).is_empty());
    assert!(
        asked,
        "not restarted although all entry instances have applied the drain and nothing runs"
    );
}

#[test]
fn plan_maintenance_completes() {
    let mut fleet = Fleet::new();
    fleet.unix_s += 19 * DAY_S;
    let mut rounds = 0;
    loop {
        rounds += 1;
        assert!(rounds < 200, "not maintained: {:?}", fleet.node.state().instances);
        let pass = fleet.pass();
        for step in &pass.steps {
            if let Step::Reboot { instance, .. } = step {
                fleet.controller.on_reboot(fleet.now, instance, RebootState::Done);
            }
        }
        fleet.acknowledge_all();
        let not_maintained =
            |i: &&jacinthhook::state::Instance| i.maintained_at < Some(fleet.unix_s);
        if fleet.node.state().instances.values().filter(not_maintained).count() == 0 {
            break;
        }
    }
    // The end of the last drain is in the same batch as its `Maintained` record.
    assert!(fleet.draining().is_empty(), "{:?}", fleet.draining());
}

#[test]
fn plan_drain_does_not_stop_non_idempotent_job() {
    let mut fleet = Fleet::new();
    for (i, idempotent) in [(0, false), (1, true)] {
        let spec = JobSpec {
            job: format!("job-{i}").into(),
            team: "huts".into(),
            service: "loans".into(),
            class: Class::Planned,
            idempotent,
            declared_ms: 1,
            deadline_ms: 0,
            payload: Default::default(),
        };
        let claim = Record::JobClaim { job: spec.job.clone(), attempt: 1, upstream: runner(i) };
        fleet.append(1, vec![Record::JobSubmit { spec }, claim]);
        let reason = DrainReason::Maintenance;
        fleet.append(1, vec![Record::DrainStart { instance: runner(i), reason }]);
    }
    fleet.acknowledge_all();
    let mut stopped = Vec::new();
    for _ in 0..60 {
        for step in fleet.pass().steps {
            if let Step::Stop { instance, .. } = step {
                stopped.push(instance);
            }
        }
    }
    assert!(
        stopped.contains(&runner(1)),
        "an idempotent job must be stopped after the drain timeout"
    );
    assert!(!stopped.contains(&runner(0)), "a job that is not idempotent would be lost");
}

#[test]
fn plan_move_ends_when_empty_and_acknowledged() {
    let mut fleet = Fleet::new();
    fleet.offered = 60.0;
    for i in 0..RUNNERS {
        fleet.running.insert(runner(i), 8);
    }
    for _ in 0..4 {
        fleet.pass();
        fleet.acknowledge_all();
    }
    let first =
        fleet.moving().first().cloned().expect("a move from the spare pool to the short pool");
    assert_eq!(&*fleet.node.state().instances[&first].pool, "administration");
    fleet.running.insert(first.clone(), 1);
    for _ in 0..5 {
        fleet.pass();
        fleet.acknowledge_all();
    }
    assert_eq!(
        &*fleet.node.state().instances[&first].pool,
        "administration",
        "the instance still runs work"
    );
    fleet.running.remove(&first);
    for _ in 0..8 {
        fleet.pass();
        fleet.acknowledge_all();
    }
    assert_eq!(&*fleet.node.state().instances[&first].pool, "loans");
}
