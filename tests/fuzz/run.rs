//! Runs sequences: applies the commands, ends all faults, checks liveness, and shrinks failures.

use super::Ms;
use super::command::{Cmd, Sequence};
use super::oracle::{CheckResult, Proposal, violation};
use super::work::call;
use super::world::*;
use bytes::Bytes;
use jacinthhook::ids::*;
use jacinthhook::node::ProposalStatus;
use jacinthhook::record::*;
use jacinthhook::state::JobState;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Time after the end of all faults within which all admitted work must end and all instances must
/// catch up with the log.
const SETTLE_TIMEOUT: Ms = 120_000;
/// Most runs spent on shrinking one failure.
const MAX_SHRINK_RUNS: usize = 1_500;

/// A sequence that violates an invariant, and the text that names the invariant.
#[derive(Clone, Debug)]
pub struct Failure {
    pub sequence: Sequence,
    pub text: String,
}

/// Runs a sequence. A panic counts as a failure.
pub fn run(sequence: &Sequence, disabled: DisabledChecks) -> CheckResult {
    let result = catch_unwind(AssertUnwindSafe(|| {
        let mut world = World::new(sequence.seed, disabled);
        world.advance(3_000)?;
        for cmd in &sequence.steps {
            world.step(cmd)?;
        }
        world.end_faults()?;
        world.settle()
    }));
    result.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        Err(format!("panic: {}", text.unwrap_or_default()))
    })
}

/// Runs the sequences of `seeds` until one fails, and shrinks that failure.
pub fn search(
    seeds: std::ops::Range<u64>,
    steps: usize,
    disabled: DisabledChecks,
) -> Option<Failure> {
    for seed in seeds {
        let sequence = Sequence::generate(seed, steps);
        if let Err(text) = run(&sequence, disabled) {
            return Some(shrink(Failure { sequence, text }, disabled));
        }
    }
    None
}

/// Searches for a smaller sequence that violates the same invariant.
pub fn shrink(mut failure: Failure, disabled: DisabledChecks) -> Failure {
    let mut runs = 0;
    let point = |text: &str| text.split(':').next().map(str::to_string);
    'shrink: while runs < MAX_SHRINK_RUNS {
        for sequence in failure.sequence.shrunk() {
            runs += 1;
            match run(&sequence, disabled) {
                Err(text) if point(&text) == point(&failure.text) => {
                    failure = Failure { sequence, text };
                    continue 'shrink;
                }
                _ if runs >= MAX_SHRINK_RUNS => break 'shrink,
                _ => {}
            }
        }
        break;
    }
    failure
}

impl World {
    fn step(&mut self, cmd: &Cmd) -> CheckResult {
        self.apply(cmd)?;
        let pause = match cmd {
            Cmd::Wait { tenths } => Ms::from(*tenths) * 100,
            _ => 50 + self.rng.below(900),
        };
        self.advance(pause)
    }

    fn awake_entry(&self, node: u8) -> Option<usize> {
        let i = usize::from(node) % NODES;
        (self.entries[i].node.is_some() && self.entries[i].frozen_until <= self.now).then_some(i)
    }

    fn apply(&mut self, cmd: &Cmd) -> CheckResult {
        match *cmd {
            Cmd::Call { node, key, id, seconds } => self.apply_call(node, key, id, seconds)?,
            Cmd::Race { node, other } => {
                self.apply_call(node, 1, 1, 1)?;
                self.apply_call(other, 1, 3, 1)?;
            }
            Cmd::Burst { node, calls, seconds } => {
                for _ in 0..calls {
                    self.apply_call(node, 5, 0, seconds)?;
                }
            }
            Cmd::Job { node, idempotent, seconds, fails } => {
                self.submit_job(node, idempotent, seconds, fails)
            }
            Cmd::CancelJobs { node, stride } => self.cancel_jobs(node, stride),
            Cmd::Publish { node, other, limit } => {
                self.publish(node, limit);
                self.publish(other, limit.wrapping_add(1));
            }
            Cmd::PublishProfile { node, reserve } => {
                let reserve_percent = reserve.to_string();
                let deadline = (4_000 + u32::from(reserve) * 40).to_string();
                let values = [
                    ("reserve_percent", &reserve_percent[..]),
                    ("max_deadline_ms", &deadline[..]),
                    ("unavailable_percent", "30"),
                ];
                self.publish_section(node, section("profile guarded", &values));
            }
            Cmd::KeyGrant { node, key } => {
                self.op_count += 1;
                let op = format!("op {}", self.op_count);
                self.propose(node, key_grant(key, &op));
            }
            Cmd::KeyWithdraw { node, key } => {
                let key: KeyId = format!("k{key}").into();
                let subject = format!("key {key}");
                self.restrict(node, subject, |op| Record::KeyWithdraw { op, key });
            }
            Cmd::ZoneOut { node, zone } => {
                let zone: ZoneId = ZONES[usize::from(zone) % 3].into();
                self.restrict(node, format!("zone {zone}"), |op| Record::ZoneOut { op, zone });
            }
            Cmd::InstanceOut { node, upstream } => {
                let instance = self.upstream_id(upstream);
                let subject = format!("instance {instance}");
                self.restrict(node, subject, |op| Record::InstanceOut { op, instance });
            }
            Cmd::ZoneBack { node, zone } => self.zone_back(node, ZONES[usize::from(zone) % 3]),
            Cmd::InstanceBack { node, upstream } => {
                let instance = self.upstream_id(upstream);
                self.instance_back(node, instance);
            }
            Cmd::Drain { upstream, .. } if self.disabled.drain_without_log => {
                self.drain(usize::from(upstream) % self.upstreams.len(), Offset::MAX)?;
            }
            Cmd::Drain { node, upstream } => {
                let instance = self.upstream_id(upstream);
                let reason = DrainReason::Maintenance;
                self.propose(node, Record::DrainStart { instance, reason });
            }
            Cmd::Move { node, upstream, pool } => self.start_move(node, upstream, pool),
            _ => self.apply_fault(cmd)?,
        }
        Ok(())
    }

    fn apply_fault(&mut self, cmd: &Cmd) -> CheckResult {
        let platform = &mut self.platform;
        match *cmd {
            Cmd::PlatformDown { down } => platform.down = down,
            Cmd::PlatformSlow { tenths } => platform.extra_delay = Ms::from(tenths) * 100,
            Cmd::LoseAnswers { on } => platform.lose_answers = on,
            Cmd::Disorder { on } => platform.disorder = on,
            Cmd::Trim { keep } => self.trim(Offset::from(keep)),
            Cmd::CutZones { a, b, both } => {
                let (a, b) = (usize::from(a) % 3, usize::from(b) % 3);
                self.cut_zones[a][b] |= a != b;
                self.cut_zones[b][a] |= a != b && both;
            }
            Cmd::Isolate { zone } => {
                let zone = usize::from(zone) % 3;
                self.cut_platform[zone] = [true; 2];
                (0..3).filter(|other| *other != zone).for_each(|other| {
                    self.cut_zones[zone][other] = true;
                });
            }
            Cmd::CutPlatform { zone, direction } => {
                let cut = &mut self.cut_platform[usize::from(zone) % 3];
                cut[0] |= direction != 1;
                cut[1] |= direction != 0;
            }
            Cmd::HealCuts => {
                self.cut_zones = Default::default();
                self.cut_platform = Default::default();
            }
            Cmd::Kill { node } => {
                let i = usize::from(node) % NODES;
                if self.may_stop(i) {
                    self.end(i);
                }
            }
            Cmd::Restart { node } => {
                let i = usize::from(node) % NODES;
                if self.may_stop(i) {
                    self.end(i);
                    self.start(i);
                }
            }
            Cmd::Freeze { node, seconds } => {
                let i = usize::from(node) % NODES;
                if let Some(awake_entry) = self.awake_entry(node).filter(|_| seconds % 2 == 1) {
                    // The instance is frozen after its last checks and before its writes.
                    self.run_tick(awake_entry)?;
                }
                self.freeze(i, Ms::from(seconds) * 1_000);
            }
            Cmd::StallStart { seconds } => self.stall_next_start = Some(Ms::from(seconds) * 1_000),
            Cmd::IsolateUnderLoad { node } => self.isolate_under_load(node)?,
            Cmd::Stop { node } => {
                if let Some(i) = self.awake_entry(node) {
                    let now = local_time(i, self.now);
                    self.node(i).stop(now);
                }
            }
            _ => return self.apply_upstream_fault(cmd),
        }
        Ok(())
    }

    /// Isolates a zone whose instances use borrowed units. Load at the other instances then borrows all
    /// units whose leases lapse.
    fn isolate_under_load(&mut self, node: u8) -> CheckResult {
        self.apply(&Cmd::Burst { node, calls: 10, seconds: 3 })?;
        self.advance(1_500)?;
        let zone = self.entries[usize::from(node) % NODES].zone as u8;
        self.apply(&Cmd::Isolate { zone })?;
        for other in 1..NODES as u8 {
            self.advance(5_000)?;
            self.apply(&Cmd::Burst { node: node.wrapping_add(other), calls: 10, seconds: 4 })?;
        }
        self.apply(&Cmd::Burst { node, calls: 10, seconds: 4 })?;
        self.apply(&Cmd::Burst { node: node.wrapping_add(2), calls: 10, seconds: 4 })?;
        self.advance(1_500)
    }

    fn apply_upstream_fault(&mut self, cmd: &Cmd) -> CheckResult {
        let count = self.upstreams.len();
        match *cmd {
            Cmd::UpstreamCrash { upstream } => {
                let at = usize::from(upstream) % count;
                if self.may_kill_upstream(at) {
                    self.crash_upstream(at)?;
                }
            }
            Cmd::UpstreamDepart { upstream } => {
                let at = usize::from(upstream) % count;
                if self.may_kill_upstream(at) && self.upstreams[at].departing_at.is_none() {
                    self.upstreams[at].departing_at = Some(self.now);
                    self.update_list();
                }
            }
            Cmd::UpstreamFailsWork { upstream, fails } => {
                self.upstreams[usize::from(upstream) % count].fails = fails;
            }
            _ => {}
        }
        Ok(())
    }

    fn apply_call(&mut self, node: u8, key: u8, id: u8, seconds: u8) -> CheckResult {
        let Some(i) = self.awake_entry(node) else { return Ok(()) };
        let id = match id {
            0 => None,
            1 => {
                self.op_count += 1;
                Some(format!("order {}", self.op_count))
            }
            2 => {
                let issued = self.node(i).issue_ids(1);
                let other = usize::from(node / 16) % NODES;
                self.entries[other].issued.extend(issued);
                self.entries[i].issued.pop()
            }
            _ => self.oracle.requests.iter().rev().find_map(|r| r.id.clone()),
        };
        let key = (key < 5).then_some(key);
        let service = if key.is_some() { "loans" } else { "returns" };
        self.call(i, call(service, key, id), key, Ms::from(seconds) * 1_000)
    }

    fn propose(&mut self, node: u8, record: Record) -> Option<usize> {
        let i = self.awake_entry(node)?;
        let now = local_time(i, self.now);
        let ticket = self.node(i).propose(now, record.clone());
        let incarnation = self.entries[i].incarnation;
        self.entries[i].proposals.push(self.oracle.proposals.len());
        self.oracle.proposals.push(Proposal {
            node: i,
            incarnation,
            ticket,
            record,
            last_status: None,
        });
        Some(ticket as usize)
    }

    /// Applies a restrictive command: it takes effect at this instance at once as a hold, and elsewhere
    /// once it is in the log or the hold reaches a peer.
    fn restrict(&mut self, node: u8, subject: String, record: impl FnOnce(OpId) -> Record) {
        let Some(i) = self.awake_entry(node) else { return };
        self.op_count += 1;
        let record = record(format!("op {}", self.op_count).into());
        let now = local_time(i, self.now);
        let known = match &record {
            Record::KeyWithdraw { key, .. } => self.node(i).state().keys.contains_key(key),
            Record::InstanceOut { instance, .. } => {
                self.node(i).state().instances.contains_key(instance)
            }
            _ => self.node(i).has_view(),
        };
        if known && self.node(i).add_hold(now, record) {
            let incarnation = self.entries[i].incarnation;
            self.oracle.hold_since.entry(subject).or_insert((self.now, i, incarnation));
        }
    }

    fn zone_back(&mut self, node: u8, zone: &str) {
        let Some(i) = self.awake_entry(node) else { return };
        self.op_count += 1;
        let op = format!("op {}", self.op_count).into();
        if let Some(undoes) = self.node(i).state().zones_out.get(zone).copied() {
            self.propose(node, Record::ZoneBack { op, zone: zone.into(), undoes });
        }
    }

    fn instance_back(&mut self, node: u8, instance: InstanceId) {
        let Some(i) = self.awake_entry(node) else { return };
        self.op_count += 1;
        let op = format!("op {}", self.op_count).into();
        if let Some(undoes) = self.node(i).state().instances_out.get(&instance).copied() {
            self.propose(node, Record::InstanceBack { op, instance, undoes });
        }
    }

    fn publish(&mut self, node: u8, limit: u8) {
        let limit = (5 + limit % 8).to_string();
        self.publish_section(node, section("team counter", &[("share", "1"), ("limit", &limit)]));
    }

    fn publish_section(&mut self, node: u8, mut change: SectionChange) {
        let Some(i) = self.awake_entry(node) else { return };
        self.op_count += 1;
        let op = format!("op {}", self.op_count).into();
        let Some(known) = self.node(i).state().sections.get(&change.section) else { return };
        change.base = Some(known.version);
        self.propose(node, Record::Publish { op, changes: vec![change] });
    }

    fn submit_job(&mut self, node: u8, idempotent: bool, seconds: u8, fails: bool) {
        let Some(i) = self.awake_entry(node) else { return };
        if !self.node(i).has_view() {
            return;
        }
        self.op_count += 1;
        let spec = JobSpec {
            job: format!("job-{}", self.op_count).into(),
            team: "counter".into(),
            service: "returns".into(),
            class: Class::Planned,
            idempotent,
            declared_ms: u64::from(seconds) * 1_000,
            deadline_ms: 0,
            payload: Bytes::from(vec![u8::from(fails)]),
        };
        let job = spec.job.clone();
        let Some(ticket) = self.propose(node, Record::JobSubmit { spec }) else { return };
        // A caller may give up at once. A withdrawn submission must not have been sent to the log.
        let sent = self.rng.below(2) == 0;
        if sent {
            let now = local_time(i, self.now);
            if let Some((seq, bytes)) = self.node(i).next_append(now) {
                self.send_append(i, seq, bytes);
            }
        }
        if self.rng.below(6) == 0 && self.node(i).withdraw(ticket as u64) {
            self.entries[i].proposals.pop();
            self.oracle.withdrawn_jobs.push(job);
        }
    }

    fn cancel_jobs(&mut self, node: u8, stride: u8) {
        let Some(i) = self.awake_entry(node) else { return };
        let jobs: Vec<JobId> = self.node(i).state().jobs.keys().cloned().collect();
        for job in jobs.into_iter().step_by(usize::from(stride) + 1) {
            self.op_count += 1;
            let op = format!("op {}", self.op_count).into();
            self.propose(node, Record::JobCancel { op, job, team: "counter".into() });
        }
    }

    fn start_move(&mut self, node: u8, upstream: u8, pool: u8) {
        let Some(i) = self.awake_entry(node) else { return };
        let id = self.upstream_id(upstream);
        let Some(known) = self.node(i).state().instances.get(&id) else { return };
        let (from, to) = (known.pool.clone(), pool_name(usize::from(pool)));
        self.propose(node, Record::MoveStart { instance: id, from, to });
    }

    fn upstream_id(&self, upstream: u8) -> InstanceId {
        self.upstreams[usize::from(upstream) % self.upstreams.len()].id.clone()
    }

    /// Trims the log to its last `keep` entries, unless no instance has applied all dropped entries.
    fn trim(&mut self, keep: Offset) {
        let first = self.platform.next().saturating_sub(keep).max(self.platform.first);
        let nodes = self.entries.iter().filter_map(|entry| entry.node.as_ref());
        let applied = nodes.filter(|node| node.has_view()).map(|node| node.state().next()).max();
        if applied.is_some_and(|applied| applied >= first) {
            self.platform.first = first;
        }
    }

    /// Ends all faults, restarts stopped instances and replaces lost upstreams.
    fn end_faults(&mut self) -> CheckResult {
        self.platform.down = false;
        self.platform.extra_delay = 0;
        self.platform.lose_answers = false;
        self.platform.disorder = false;
        self.cut_zones = Default::default();
        self.cut_platform = Default::default();
        for i in 0..NODES {
            let stopping = self.entries[i].node.as_ref().is_none_or(|node| node.is_stopping());
            if stopping && (self.may_stop(i) || self.entries[i].node.is_none()) {
                self.end(i);
                self.start(i);
            }
        }
        for at in 0..self.upstreams.len() {
            let lost = &self.upstreams[at];
            let replaced = !lost.alive || lost.departing_at.is_some();
            let (zone, pool) = (lost.zone, lost.pool.clone());
            if lost.departing_at.is_some() && lost.alive {
                self.crash_upstream(at)?;
            }
            if replaced {
                self.add_upstream(zone, pool);
            }
        }
        self.update_list();
        Ok(())
    }

    fn settle(&mut self) -> CheckResult {
        // Frozen instances resume by themselves.
        let resumed_at = self.entries.iter().map(|entry| entry.frozen_until).max().unwrap_or(0);
        self.advance(resumed_at.saturating_sub(self.now))?;
        let from = self.now;
        while let Err(text) = self.is_settled() {
            if self.now > from + SETTLE_TIMEOUT {
                return Err(format!("liveness: {text}"));
            }
            self.undo_restrictions();
            self.advance(1_000)?;
        }
        self.check_calls_admitted()
    }

    /// Starts stopped instances and returns zones and upstreams to service that operators took out.
    fn undo_restrictions(&mut self) {
        for i in 0..NODES as u8 {
            if self.entries[usize::from(i)].node.is_none() {
                self.start(usize::from(i));
            }
            ZONES.iter().for_each(|zone| self.zone_back(i, zone));
            let Some(node) = &self.entries[usize::from(i)].node else { continue };
            let out: Vec<InstanceId> = node.state().instances_out.keys().cloned().collect();
            out.into_iter().for_each(|instance| self.instance_back(i, instance));
        }
    }

    /// Checks that no work, restriction or proposal is left; the error names the first that is.
    fn is_settled(&mut self) -> CheckResult {
        let state = &self.oracle.state;
        let open = state.jobs.iter().find(|(_, j)| !matches!(j.state, JobState::Ended { .. }));
        if let Some((id, job)) = open {
            return Err(format!("job {id} is {:?}", job.state));
        }
        let live: Vec<Incarnation> = self.entries.iter().map(|entry| entry.incarnation).collect();
        if let Some((incarnation, left)) = state.holders.iter().find(|(id, _)| !live.contains(id)) {
            return Err(format!("units of {} {incarnation} are not released", left.id));
        }
        for (i, entry) in self.entries.iter().enumerate() {
            let Some(node) = &entry.node else { return Err(format!("e{i} is not running")) };
            if !node.has_view() || node.state().next() + 20 < state.next() {
                return Err(format!(
                    "e{i} is at offset {} of {}",
                    node.next_offset(),
                    state.next()
                ));
            }
            if !state.is_live(entry.incarnation) || !node.holds().is_empty() {
                return Err(format!("e{i} has no lease or still has holds"));
            }
            if !entry.calls.is_empty() || !entry.proposals.is_empty() {
                let calls = entry.calls.len();
                return Err(format!(
                    "e{i} has {calls} open calls and {} pending proposals",
                    entry.proposals.len()
                ));
            }
        }
        match state.instances.iter().find(|(_, i)| i.draining.is_some() || i.moving.is_some()) {
            Some((id, _)) => Err(format!("{id} is still draining or moving")),
            None if !state.zones_out.is_empty() => Err("a zone is still out of service".into()),
            None => Ok(()),
        }
    }

    /// Checks that after all faults each instance admits and answers a call, and that no proposal of a
    /// running instance is left pending.
    fn check_calls_admitted(&mut self) -> CheckResult {
        for i in 0..NODES {
            let call_id = self.call_count;
            self.call(i, call("returns", None, None), None, 100)?;
            if self.call_count == call_id {
                return Err(format!("liveness: e{i} admits no calls"));
            }
            self.advance(8_000)?;
            if self.oracle.requests[call_id].answer != Some(jacinthhook::kind::Ran::Ran) {
                let answer = self.oracle.requests[call_id].answer;
                return Err(format!("liveness: a call at e{i} got {answer:?}"));
            }
        }
        let is_pending = |t: &&Proposal| t.last_status == Some(ProposalStatus::Pending);
        match self
            .oracle
            .proposals
            .iter()
            .find(is_pending)
            .filter(|t| self.entries[t.node].incarnation == t.incarnation)
        {
            Some(proposal) => {
                violation(6, format!("no final status was reported for {:?}", proposal.record))
            }
            None => Ok(()),
        }
    }
}
