//! Runs sequences: commands, the end of all faults, liveness, and the search for a smaller failure.

use super::Ms;
use super::command::{Cmd, Sequence};
use super::oracle::{Judged, Ticket, fail};
use super::work::call;
use super::world::*;
use bytes::Bytes;
use jacinthhook::ids::*;
use jacinthhook::node::ProposalStatus;
use jacinthhook::record::*;
use jacinthhook::state::JobState;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Everything admitted is done and every instance is in step this long after the faults end.
const SETTLED: Ms = 120_000;
/// Runs spent on shrinking one failure.
const SHRINK_RUNS: usize = 1_500;

/// A failure of a sequence.
#[derive(Clone, Debug)]
pub struct Failure {
    pub sequence: Sequence,
    pub text: String,
}

/// Runs a sequence; a panic of the core counts as a failure.
pub fn run(sequence: &Sequence, disabled: DisabledChecks) -> Judged {
    let judged = catch_unwind(AssertUnwindSafe(|| {
        let mut world = World::new(sequence.seed, disabled);
        world.advance(3_000)?;
        for cmd in &sequence.steps {
            world.step(cmd)?;
        }
        world.heal()?;
        world.settle()
    }));
    judged.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        Err(format!("panic: {}", text.unwrap_or_default()))
    })
}

/// Runs the sequences of `seeds` until one fails; the failure is shrunk.
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

/// Looks for a smaller sequence that fails at the same point.
pub fn shrink(mut failure: Failure, disabled: DisabledChecks) -> Failure {
    let mut runs = 0;
    let point = |text: &str| text.split(':').next().map(str::to_string);
    'smaller: while runs < SHRINK_RUNS {
        for sequence in failure.sequence.smaller() {
            runs += 1;
            match run(&sequence, disabled) {
                Err(text) if point(&text) == point(&failure.text) => {
                    failure = Failure { sequence, text };
                    continue 'smaller;
                }
                _ if runs >= SHRINK_RUNS => break 'smaller,
                _ => {}
            }
        }
        break;
    }
    failure
}

impl World {
    fn step(&mut self, cmd: &Cmd) -> Judged {
        self.apply(cmd)?;
        let pause = match cmd {
            Cmd::Wait { tenths } => Ms::from(*tenths) * 100,
            _ => 50 + self.rng.below(900),
        };
        self.advance(pause)
    }

    fn awake(&self, node: u8) -> Option<usize> {
        let i = usize::from(node) % NODES;
        (self.entries[i].node.is_some() && self.entries[i].frozen_until <= self.now).then_some(i)
    }

    fn apply(&mut self, cmd: &Cmd) -> Judged {
        match *cmd {
            Cmd::Call { node, key, id, seconds } => self.call_of(node, key, id, seconds)?,
            Cmd::Race { node, other } => {
                self.call_of(node, 1, 1, 1)?;
                self.call_of(other, 1, 3, 1)?;
            }
            Cmd::Burst { node, calls, seconds } => {
                for _ in 0..calls {
                    self.call_of(node, 5, 0, seconds)?;
                }
            }
            Cmd::Job { node, idempotent, seconds, bad } => self.job(node, idempotent, seconds, bad),
            Cmd::CancelJobs { node, every } => self.cancel_jobs(node, every),
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
                self.ops += 1;
                let op = format!("op {}", self.ops);
                self.operate(node, key_grant(key, &op));
            }
            Cmd::KeyWithdraw { node, key } => {
                let key: KeyId = format!("k{key}").into();
                let what = format!("key {key}");
                self.restrict(node, what, |op| Record::KeyWithdraw { op, key });
            }
            Cmd::ZoneOut { node, zone } => {
                let zone: ZoneId = ZONES[usize::from(zone) % 3].into();
                self.restrict(node, format!("zone {zone}"), |op| Record::ZoneOut { op, zone });
            }
            Cmd::InstanceOut { node, upstream } => {
                let instance = self.upstream_id(upstream);
                let what = format!("instance {instance}");
                self.restrict(node, what, |op| Record::InstanceOut { op, instance });
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
                self.operate(node, Record::DrainStart { instance, reason });
            }
            Cmd::Move { node, upstream, pool } => self.start_move(node, upstream, pool),
            _ => self.fault(cmd)?,
        }
        Ok(())
    }

    fn fault(&mut self, cmd: &Cmd) -> Judged {
        let platform = &mut self.platform;
        match *cmd {
            Cmd::PlatformDown { down } => platform.down = down,
            Cmd::PlatformSlow { tenths } => platform.slow = Ms::from(tenths) * 100,
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
            Cmd::CutPlatform { zone, way } => {
                let cut = &mut self.cut_platform[usize::from(zone) % 3];
                cut[0] |= way != 1;
                cut[1] |= way != 0;
            }
            Cmd::HealCuts => {
                self.cut_zones = Default::default();
                self.cut_platform = Default::default();
            }
            Cmd::Kill { node } => {
                let i = usize::from(node) % NODES;
                if self.is_spare(i) {
                    self.end(i);
                }
            }
            Cmd::Restart { node } => {
                let i = usize::from(node) % NODES;
                if self.is_spare(i) {
                    self.end(i);
                    self.start(i);
                }
            }
            Cmd::Freeze { node, seconds } => {
                let i = usize::from(node) % NODES;
                if let Some(awake) = self.awake(node).filter(|_| seconds % 2 == 1) {
                    // It is frozen between its last checks and its writes.
                    self.act(awake)?;
                }
                self.freeze(i, Ms::from(seconds) * 1_000);
            }
            Cmd::StallStart { seconds } => self.stall = Some(Ms::from(seconds) * 1_000),
            Cmd::CutOffUnderLoad { node } => self.cut_off_under_load(node)?,
            Cmd::Stop { node } => {
                if let Some(i) = self.awake(node) {
                    let now = local(i, self.now);
                    self.node(i).stop(now);
                }
            }
            _ => return self.upstream_fault(cmd),
        }
        Ok(())
    }

    /// A zone with borrowed units is cut off; the others' load takes over all units that lapse.
    fn cut_off_under_load(&mut self, node: u8) -> Judged {
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

    fn upstream_fault(&mut self, cmd: &Cmd) -> Judged {
        let count = self.upstreams.len();
        match *cmd {
            Cmd::UpstreamDies { upstream } => {
                let at = usize::from(upstream) % count;
                if self.may_kill_upstream(at) {
                    self.upstream_dies(at)?;
                }
            }
            Cmd::UpstreamDeparts { upstream } => {
                let at = usize::from(upstream) % count;
                if self.may_kill_upstream(at) && self.upstreams[at].departing_at.is_none() {
                    self.upstreams[at].departing_at = Some(self.now);
                    self.list_changed();
                }
            }
            Cmd::UpstreamBad { upstream, bad } => {
                self.upstreams[usize::from(upstream) % count].bad = bad;
            }
            _ => {}
        }
        Ok(())
    }

    fn call_of(&mut self, node: u8, key: u8, id: u8, seconds: u8) -> Judged {
        let Some(i) = self.awake(node) else { return Ok(()) };
        let id = match id {
            0 => None,
            1 => {
                self.ops += 1;
                Some(format!("order {}", self.ops))
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

    fn operate(&mut self, node: u8, record: Record) -> Option<usize> {
        let i = self.awake(node)?;
        let now = local(i, self.now);
        let ticket = self.node(i).propose(now, record.clone());
        let incarnation = self.entries[i].life;
        self.entries[i].tickets.push(self.oracle.tickets.len());
        self.oracle.tickets.push(Ticket { node: i, incarnation, ticket, record, told: None });
        Some(ticket as usize)
    }

    /// A restrictive command: in force at once where it is given, in the log when that answers.
    fn restrict(&mut self, node: u8, what: String, record: impl FnOnce(OpId) -> Record) {
        let Some(i) = self.awake(node) else { return };
        self.ops += 1;
        let record = record(format!("op {}", self.ops).into());
        let now = local(i, self.now);
        let known = match &record {
            Record::KeyWithdraw { key, .. } => self.node(i).state().keys.contains_key(key),
            Record::InstanceOut { instance, .. } => {
                self.node(i).state().instances.contains_key(instance)
            }
            _ => self.node(i).has_view(),
        };
        if known && self.node(i).add_hold(now, record) {
            let life = self.entries[i].life;
            self.oracle.held_since.entry(what).or_insert((self.now, i, life));
        }
    }

    fn zone_back(&mut self, node: u8, zone: &str) {
        let Some(i) = self.awake(node) else { return };
        self.ops += 1;
        let op = format!("op {}", self.ops).into();
        if let Some(undoes) = self.node(i).state().zones_out.get(zone).copied() {
            self.operate(node, Record::ZoneBack { op, zone: zone.into(), undoes });
        }
    }

    fn instance_back(&mut self, node: u8, instance: InstanceId) {
        let Some(i) = self.awake(node) else { return };
        self.ops += 1;
        let op = format!("op {}", self.ops).into();
        if let Some(undoes) = self.node(i).state().instances_out.get(&instance).copied() {
            self.operate(node, Record::InstanceBack { op, instance, undoes });
        }
    }

    fn publish(&mut self, node: u8, limit: u8) {
        let limit = (5 + limit % 8).to_string();
        self.publish_section(node, section("team counter", &[("share", "1"), ("limit", &limit)]));
    }

    fn publish_section(&mut self, node: u8, mut change: SectionChange) {
        let Some(i) = self.awake(node) else { return };
        self.ops += 1;
        let op = format!("op {}", self.ops).into();
        let Some(known) = self.node(i).state().sections.get(&change.section) else { return };
        change.base = Some(known.version);
        self.operate(node, Record::Publish { op, changes: vec![change] });
    }

    fn job(&mut self, node: u8, idempotent: bool, seconds: u8, bad: bool) {
        let Some(i) = self.awake(node) else { return };
        if !self.node(i).has_view() {
            return;
        }
        self.ops += 1;
        let spec = JobSpec {
            job: format!("job-{}", self.ops).into(),
            team: "counter".into(),
            service: "returns".into(),
            class: Class::Planned,
            idempotent,
            declared_ms: u64::from(seconds) * 1_000,
            deadline_ms: 0,
            payload: Bytes::from(vec![u8::from(bad)]),
        };
        let job = spec.job.clone();
        let Some(ticket) = self.operate(node, Record::JobSubmit { spec }) else { return };
        // A caller that gives up at once is told the truth on whether the job was sent.
        let sent = self.rng.below(2) == 0;
        if sent {
            let now = local(i, self.now);
            if let Some((seq, bytes)) = self.node(i).next_append(now) {
                self.send_append(i, seq, bytes);
            }
        }
        if self.rng.below(6) == 0 && self.node(i).withdraw(ticket as u64) {
            self.entries[i].tickets.pop();
            self.oracle.withdrawn_jobs.push(job);
        }
    }

    fn cancel_jobs(&mut self, node: u8, every: u8) {
        let Some(i) = self.awake(node) else { return };
        let jobs: Vec<JobId> = self.node(i).state().jobs.keys().cloned().collect();
        for job in jobs.into_iter().step_by(usize::from(every) + 1) {
            self.ops += 1;
            let op = format!("op {}", self.ops).into();
            self.operate(node, Record::JobCancel { op, job, team: "counter".into() });
        }
    }

    fn start_move(&mut self, node: u8, upstream: u8, pool: u8) {
        let Some(i) = self.awake(node) else { return };
        let id = self.upstream_id(upstream);
        let Some(known) = self.node(i).state().instances.get(&id) else { return };
        let (from, to) = (known.pool.clone(), pool_name(usize::from(pool)));
        self.operate(node, Record::MoveStart { instance: id, from, to });
    }

    fn upstream_id(&self, upstream: u8) -> InstanceId {
        self.upstreams[usize::from(upstream) % self.upstreams.len()].id.clone()
    }

    /// The retention passes; some instance has folded all that goes.
    fn trim(&mut self, keep: Offset) {
        let first = self.platform.next().saturating_sub(keep).max(self.platform.first);
        let nodes = self.entries.iter().filter_map(|entry| entry.node.as_ref());
        let folded = nodes.filter(|node| node.has_view()).map(|node| node.state().next()).max();
        if folded.is_some_and(|folded| folded >= first) {
            self.platform.first = first;
        }
    }

    /// Ends every fault and brings back what operators took out.
    fn heal(&mut self) -> Judged {
        self.platform.down = false;
        self.platform.slow = 0;
        self.platform.lose_answers = false;
        self.platform.disorder = false;
        self.cut_zones = Default::default();
        self.cut_platform = Default::default();
        for i in 0..NODES {
            let stopping = self.entries[i].node.as_ref().is_none_or(|node| node.is_stopping());
            if stopping && (self.is_spare(i) || self.entries[i].node.is_none()) {
                self.end(i);
                self.start(i);
            }
        }
        for at in 0..self.upstreams.len() {
            let lost = &self.upstreams[at];
            let replaced = !lost.alive || lost.departing_at.is_some();
            let (zone, pool) = (lost.zone, lost.pool.clone());
            if lost.departing_at.is_some() && lost.alive {
                self.upstream_dies(at)?;
            }
            if replaced {
                self.add_upstream(zone, pool);
            }
        }
        self.list_changed();
        Ok(())
    }

    fn settle(&mut self) -> Judged {
        // Frozen instances thaw by themselves.
        let thawed = self.entries.iter().map(|entry| entry.frozen_until).max().unwrap_or(0);
        self.advance(thawed.saturating_sub(self.now))?;
        let from = self.now;
        while let Err(text) = self.is_settled() {
            if self.now > from + SETTLED {
                return Err(format!("liveness: {text}"));
            }
            self.bring_back();
            self.advance(1_000)?;
        }
        self.probe()
    }

    fn bring_back(&mut self) {
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

    /// Whether nothing is left over; the text says what is.
    fn is_settled(&mut self) -> Judged {
        let state = &self.oracle.state;
        let open = state.jobs.iter().find(|(_, j)| !matches!(j.state, JobState::Ended { .. }));
        if let Some((id, job)) = open {
            return Err(format!("job {id} is {:?}", job.state));
        }
        let live: Vec<Incarnation> = self.entries.iter().map(|entry| entry.life).collect();
        if let Some((life, left)) = state.holders.iter().find(|(id, _)| !live.contains(id)) {
            return Err(format!("units of {} {life} are not freed", left.id));
        }
        for (i, entry) in self.entries.iter().enumerate() {
            let Some(node) = &entry.node else { return Err(format!("e{i} does not run")) };
            if !node.has_view() || node.state().next() + 20 < state.next() {
                return Err(format!("e{i} is at {} of {}", node.next_offset(), state.next()));
            }
            if !state.is_live(entry.life) || !node.holds().is_empty() {
                return Err(format!("e{i} has no lease or still has holds"));
            }
            if !entry.calls.is_empty() || !entry.tickets.is_empty() {
                let calls = entry.calls.len();
                return Err(format!("e{i} has {calls} calls, {} fates open", entry.tickets.len()));
            }
        }
        match state.instances.iter().find(|(_, i)| i.draining.is_some() || i.moving.is_some()) {
            Some((id, _)) => Err(format!("{id} still drains or moves")),
            None if !state.zones_out.is_empty() => Err("a zone is out".into()),
            None => Ok(()),
        }
    }

    /// After everything, a call at each instance still gets through.
    fn probe(&mut self) -> Judged {
        for i in 0..NODES {
            let before = self.calls;
            self.call(i, call("returns", None, None), None, 100)?;
            if self.calls == before {
                return Err(format!("liveness: e{i} admits nothing"));
            }
            self.advance(8_000)?;
            if self.oracle.requests[before].answer != Some(jacinthhook::kind::Ran::Ran) {
                let answer = self.oracle.requests[before].answer;
                return Err(format!("liveness: a call at e{i} got {answer:?}"));
            }
        }
        let told = |t: &&Ticket| t.told == Some(ProposalStatus::Pending);
        match self
            .oracle
            .tickets
            .iter()
            .find(told)
            .filter(|t| self.entries[t.node].life == t.incarnation)
        {
            Some(ticket) => fail(6, format!("never told the fate of {:?}", ticket.record)),
            None => Ok(()),
        }
    }
}
