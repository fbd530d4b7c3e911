//! Simulates entry instances, their clocks, the links between them, and the queue of events.

use super::oracle::{CheckResult, Oracle, violation};
use super::platform::Platform;
use super::work::{CallRun, JobRun, Start, Upstream};
use super::{Ms, Rng};
use bytes::Bytes;
use jacinthhook::ids::*;
use jacinthhook::node::{Mutation, Node, NodeConfig, ProposalStatus, Relayed, RequestIdStep};
use jacinthhook::protocol::*;
use jacinthhook::record::*;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

pub const NODES: usize = 5;
pub const ZONES: [&str; 3] = ["hobart", "launceston", "strahan"];
/// Zone index of each entry instance.
const NODE_ZONES: [usize; NODES] = [0, 0, 1, 1, 2];
/// Rate of each entry instance's clock, in parts per thousand of true time.
const CLOCK_RATES: [u64; NODES] = [975, 1025, 1000, 990, 1020];
/// Time between two ticks of an instance.
pub const TICK_INTERVAL: Ms = 150;
const LATENCY: Ms = 5;
/// Time after which an instance abandons a read of the log.
const READ_TIMEOUT: Ms = 1_000;
/// Upper bound of the extra delay of an answer while answers are disordered.
const MAX_DISORDER_DELAY: Ms = 4_000;

/// Safety checks that are disabled in the simulation or the state machine, to show that the oracle
/// detects their absence.
#[derive(Clone, Copy, Debug, Default)]
pub struct DisabledChecks {
    pub mutation: Option<Mutation>,
    /// Upstreams are drained without a record in the log.
    pub drain_without_log: bool,
    /// Upstreams start work after its latest start time.
    pub late_starts: bool,
    /// A timeout after the start was sent is answered as not run.
    pub timeout_is_not_run: bool,
}

pub enum Message {
    Read(ReadAnswer),
    Appended(u64, Option<Offset>),
    List(InstanceList),
    Relayed(Relayed),
    View(Bytes),
    Holds(Vec<Record>),
    UseId { from: usize, from_incarnation: Incarnation, call: usize, id: String },
    UseIdAnswer { call: usize, step: RequestIdStep },
    CallEnd { call: usize, ran: bool },
    TaskAnswer { job: JobId, started: bool },
}

pub enum Event {
    Tick(usize, Incarnation),
    Deliver(usize, Incarnation, Message),
    Append(usize, Incarnation, u64, Bytes),
    Start(Box<Start>),
    WorkEnd(usize, u64),
    Rebooted(usize),
}

/// One entry instance: its state machine and the calls, jobs and proposals around it.
pub struct Entry {
    pub node: Option<Node>,
    pub incarnation: Incarnation,
    pub zone: usize,
    pub frozen_until: Ms,
    pub calls: BTreeMap<usize, CallRun>,
    pub jobs: HashMap<JobId, JobRun>,
    pub proposals: Vec<usize>,
    pub issued: Vec<String>,
    read_sent: Option<Ms>,
    last_read_at: Ms,
    last_list_at: Ms,
    pub attempted_at: HashMap<String, Ms>,
}

pub struct World {
    pub now: Ms,
    pub rng: Rng,
    pub disabled: DisabledChecks,
    pub entries: Vec<Entry>,
    pub platform: Platform,
    pub upstreams: Vec<Upstream>,
    pub oracle: Oracle,
    queue: BTreeMap<(Ms, u64), Event>,
    event_count: u64,
    pub incarnation_count: u64,
    /// Cut connections, indexed by source and destination zone.
    pub cut_zones: [[bool; 3]; 3],
    /// Cut connections between each zone and the platform: requests, then answers.
    pub cut_platform: [[bool; 2]; 3],
    /// Since when each instance has reached the platform without a fault.
    pub platform_ok_since: [Ms; NODES],
    /// Since when each pair of instances has reached each other.
    pub linked_since: [[Ms; NODES]; NODES],
    /// Log length by time, oldest first.
    log_lengths: Vec<(Ms, Offset)>,
    pub call_count: usize,
    pub op_count: u64,
    /// Time for which the next instance that starts a job is frozen before it writes the start.
    pub stall_next_start: Option<Ms>,
    pub exec_count: u64,
    seed: u64,
}

pub fn pool_name(i: usize) -> PoolId {
    ["loans", "returns", "administration"][i % 3].into()
}

impl World {
    pub fn new(seed: u64, disabled: DisabledChecks) -> World {
        let mut world = World {
            now: 0,
            rng: Rng(seed),
            disabled,
            entries: Vec::new(),
            platform: Platform::default(),
            upstreams: Vec::new(),
            oracle: Oracle::default(),
            queue: BTreeMap::new(),
            event_count: 0,
            incarnation_count: 0,
            cut_zones: Default::default(),
            cut_platform: Default::default(),
            platform_ok_since: [0; NODES],
            linked_since: [[0; NODES]; NODES],
            log_lengths: Vec::new(),
            call_count: 0,
            op_count: 0,
            stall_next_start: None,
            exec_count: 0,
            seed,
        };
        (0..10)
            .for_each(|i| world.add_upstream(i % 3, pool_name([0, 0, 0, 0, 1, 1, 1, 1, 2, 2][i])));
        world.publish_initial();
        for (i, zone) in NODE_ZONES.iter().enumerate() {
            world.entries.push(Entry::new(*zone));
            world.start(i);
        }
        world
    }

    fn publish_initial(&mut self) {
        let mut changes = vec![
            section(
                "profile guarded",
                &[
                    ("reserve_percent", "50"),
                    ("max_deadline_ms", "8000"),
                    ("unavailable_percent", "30"),
                ],
            ),
            section("team huts", &[("share", "1"), ("limit", "6")]),
            section("team counter", &[("share", "1"), ("limit", "10")]),
            section("service loans", &[("profile", "guarded"), ("pool", "loans")]),
            section(
                "service returns",
                &[("profile", "guarded"), ("pool", "returns"), ("open_to", "counter")],
            ),
        ];
        changes.extend((0..3).map(|i| section(&format!("pool {}", pool_name(i)), &[])));
        changes.extend(ZONES.iter().map(|z| section(&format!("zone {z}"), &[("region", "south")])));
        let mut records = vec![Record::Publish { op: "start".into(), changes }];
        records.extend((0..4).map(|key| key_grant(key, "start")));
        let batch = Batch { writer: "start".into(), incarnation: 1, seq: 1, records };
        let bytes = encode(&batch).expect("the batch should fit");
        self.platform.append(&bytes);
        self.oracle.on_append(0, 0, &bytes);
        let rejected = |v: &&jacinthhook::state::ApplyOutcome| {
            matches!(v, jacinthhook::state::ApplyOutcome::Rejected(_))
        };
        assert!(
            self.oracle.entries[0].1.iter().find(rejected).is_none(),
            "the initial declarations should be valid"
        );
    }

    /// Starts an instance without any state.
    pub fn start(&mut self, i: usize) {
        self.incarnation_count += 1;
        let incarnation = 1_000 + self.incarnation_count;
        let entry = &mut self.entries[i];
        let zone = ZONES[entry.zone];
        let cfg = NodeConfig {
            id: format!("e{i}").into(),
            incarnation,
            zone: zone.into(),
            http_addr: String::new(),
            peer_addr: i.to_string(),
            entry_instances: NODES as u32,
            seed: self.rng.next(),
            mutation: self.disabled.mutation,
        };
        let local_time = local_time(i, self.now);
        *entry =
            Entry { incarnation, node: Some(Node::new(cfg, local_time)), ..Entry::new(entry.zone) };
        entry.last_read_at = self.now;
        self.platform_ok_since[i] = self.now;
        self.schedule(0, Event::Tick(i, incarnation));
        self.update_list();
    }

    /// Kills an instance; its state in memory is lost.
    pub fn end(&mut self, i: usize) {
        self.entries[i].node = None;
        self.entries[i].calls.clear();
        self.entries[i].jobs.clear();
        self.update_list();
    }

    /// Freezes an instance; its pending messages and starts are delayed until it resumes.
    pub fn freeze(&mut self, i: usize, time: Ms) {
        let until = (self.now + time).max(self.entries[i].frozen_until);
        self.entries[i].frozen_until = until;
        self.platform_ok_since[i] = until;
        for peer in 0..NODES {
            self.linked_since[i][peer] = until;
            self.linked_since[peer][i] = until;
        }
    }

    /// Whether the instance may stop: another one must have applied all entries that the log has dropped.
    pub fn may_stop(&self, i: usize) -> bool {
        let others = self.entries.iter().enumerate().filter(|(k, _)| *k != i);
        let is_complete = |n: &Node| n.has_view() && n.state().next() >= self.platform.first;
        others.filter_map(|(_, entry)| entry.node.as_ref()).any(is_complete)
    }

    pub fn update_list(&mut self) {
        let entries = self.entries.iter().enumerate().filter(|(_, e)| e.node.is_some());
        let entries = entries.map(|(i, e)| listed(format!("e{i}").into(), Role::Entry, "", e.zone));
        let upstreams = self.upstreams.iter().filter(|u| u.alive);
        let upstreams = upstreams.map(|u| ListedInstance {
            presence: if u.departing_at.is_some() { Presence::Departing } else { Presence::Live },
            ..listed(u.id.clone(), Role::Upstream, &u.pool, u.zone)
        });
        let instances = entries.chain(upstreams).collect();
        self.platform.list_history.push((self.now, InstanceList { instances }));
    }

    pub fn schedule(&mut self, delay: Ms, event: Event) {
        self.event_count += 1;
        self.queue.insert((self.now + delay, self.event_count), event);
    }

    /// Advances the clock, handles the events that are due, and checks the instances.
    pub fn advance(&mut self, time: Ms) -> CheckResult {
        let until = self.now + time;
        while let Some(next) = self.queue.first_entry() {
            let ((at, _), event) = match next.key().0 <= until {
                true => next.remove_entry(),
                false => break,
            };
            self.now = self.now.max(at);
            // Random numbers depend on the time and not on how many were drawn before, so that removing
            // a step during shrinking has little effect on later steps.
            self.rng = Rng(self.seed ^ self.now.wrapping_mul(0x2545_f491_4f6c_dd1d));
            self.handle(event)?;
        }
        self.now = until;
        self.check_nodes()
    }

    fn handle(&mut self, event: Event) -> CheckResult {
        match event {
            Event::Tick(i, incarnation) if self.entries[i].incarnation == incarnation => {
                self.on_tick(i)
            }
            Event::Tick(..) => Ok(()),
            Event::Deliver(i, incarnation, message) => {
                let entry = &self.entries[i];
                if entry.incarnation != incarnation || entry.node.is_none() {
                    return Ok(());
                }
                if entry.frozen_until > self.now {
                    let delay = entry.frozen_until - self.now;
                    self.schedule(delay, Event::Deliver(i, incarnation, message));
                    return Ok(());
                }
                self.deliver(i, message)
            }
            Event::Append(i, incarnation, seq, bytes) => {
                self.append(i, incarnation, seq, bytes);
                Ok(())
            }
            Event::Start(start) => self.on_start(*start),
            Event::WorkEnd(upstream, exec) => self.on_work_end(upstream, exec),
            Event::Rebooted(upstream) => self.on_rebooted(upstream),
        }
    }

    fn deliver(&mut self, i: usize, message: Message) -> CheckResult {
        let now = local_time(i, self.now);
        let Some(node) = self.entries[i].node.as_mut() else { return Ok(()) };
        match message {
            Message::Read(answer) => {
                self.entries[i].read_sent = None;
                self.entries[i].last_read_at = self.now;
                self.node(i).on_read(now, &answer);
            }
            Message::Appended(seq, answer) => node.on_append(now, seq, answer),
            Message::List(list) => node.on_list(now, &list),
            Message::Relayed(relayed) => node.on_relayed(now, &relayed),
            Message::View(bytes) if bytes.is_empty() => {}
            Message::View(bytes) => {
                if let Err(e) = node.load_view(now, &bytes) {
                    return violation(11, format!("cannot load the view of a peer: {e}"));
                }
            }
            Message::Holds(holds) => {
                for hold in holds {
                    node.add_hold(now, hold);
                }
            }
            Message::UseId { from, from_incarnation, call, id } => {
                let step = node.use_id(now, &id);
                let answer = Message::UseIdAnswer { call, step };
                if self.linked(i, from) {
                    self.schedule(LATENCY, Event::Deliver(from, from_incarnation, answer));
                }
            }
            Message::UseIdAnswer { call, step } => self.on_issuer_answer(i, call, step)?,
            Message::CallEnd { call, ran } => self.on_call_end(i, call, ran)?,
            Message::TaskAnswer { job, started } => self.on_task_answer(i, &job, started),
        }
        Ok(())
    }

    /// Returns the state machine of a running instance.
    pub fn node(&mut self, i: usize) -> &mut Node {
        self.entries[i].node.as_mut().expect("the instance should run")
    }

    fn on_tick(&mut self, i: usize) -> CheckResult {
        let incarnation = self.entries[i].incarnation;
        if self.entries[i].node.is_none() {
            return Ok(());
        }
        let frozen = self.entries[i].frozen_until.saturating_sub(self.now);
        self.schedule(frozen.max(TICK_INTERVAL), Event::Tick(i, incarnation));
        if frozen > 0 { Ok(()) } else { self.run_tick(i) }
    }

    /// Runs one tick of an instance.
    pub fn run_tick(&mut self, i: usize) -> CheckResult {
        let now = local_time(i, self.now);
        self.update_link_times(i);
        self.node(i).tick(now);
        self.poll_log(i);
        self.poll_peers(i);
        if let Some((seq, bytes)) = self.node(i).next_append(now) {
            self.send_append(i, seq, bytes);
        }
        self.drive_calls(i)?;
        self.drive_jobs(i)?;
        self.drive_maintenance(i)?;
        if self.node(i).has_left() {
            return self.on_left(i);
        }
        Ok(())
    }

    fn on_left(&mut self, i: usize) -> CheckResult {
        let incarnation = self.entries[i].incarnation;
        if !self.entries[i].calls.is_empty() {
            return violation(10, format!("e{i} left with open calls"));
        }
        let held =
            self.oracle.state.holders.get(&incarnation).is_some_and(|h| !h.grants.is_empty());
        if held {
            return violation(10, format!("e{i} left while it held units"));
        }
        if self.may_stop(i) {
            self.end(i);
        }
        Ok(())
    }

    /// Returns the delay of a message to or from the platform.
    fn delay(&mut self) -> Ms {
        let extra = if self.platform.disorder { self.rng.below(MAX_DISORDER_DELAY) } else { 0 };
        LATENCY + self.platform.extra_delay + extra
    }

    fn answer(&mut self, i: usize, message: impl Fn() -> Message) {
        let (zone, incarnation) = (self.entries[i].zone, self.entries[i].incarnation);
        if self.cut_platform[zone][1] {
            return;
        }
        let copies = if self.platform.disorder && self.rng.below(3) == 0 { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.delay();
            self.schedule(delay, Event::Deliver(i, incarnation, message()));
        }
    }

    fn poll_log(&mut self, i: usize) {
        let now = local_time(i, self.now);
        let entry = &self.entries[i];
        if entry.read_sent.is_some_and(|sent| self.now < sent + READ_TIMEOUT) {
            return;
        }
        if entry.read_sent.is_some() {
            self.node(i).set_platform_reachable(now, false);
        }
        self.entries[i].read_sent = Some(self.now);
        if !self.reaches_platform(i) {
            return;
        }
        let from = self.node(i).next_offset();
        let answer = self.platform.read(from);
        self.answer(i, || Message::Read(answer.clone()));
        if self.now >= self.entries[i].last_list_at + 1_000 {
            self.entries[i].last_list_at = self.now;
            let list = self.platform.list(self.now);
            self.answer(i, || Message::List(list.clone()));
        }
    }

    fn reaches_platform(&self, i: usize) -> bool {
        !self.platform.down && !self.cut_platform[self.entries[i].zone][0]
    }

    pub fn send_append(&mut self, i: usize, seq: u64, bytes: Bytes) {
        let (incarnation, now) = (self.entries[i].incarnation, local_time(i, self.now));
        if self.reaches_platform(i) {
            let delay = self.delay();
            self.schedule(delay, Event::Append(i, incarnation, seq, bytes));
        } else {
            self.node(i).on_append(now, seq, None);
        }
    }

    fn append(&mut self, i: usize, incarnation: Incarnation, seq: u64, bytes: Bytes) {
        if self.platform.down {
            return;
        }
        let offset = self.platform.append(&bytes);
        self.oracle.on_append(self.now, offset, &bytes);
        if self.platform.lose_answers && self.rng.below(2) == 0 {
            return;
        }
        let crossed = self.platform.disorder && self.rng.below(4) == 0;
        let answered = if crossed { self.rng.below(offset + 1) } else { offset };
        if self.entries[i].incarnation == incarnation {
            self.answer(i, || Message::Appended(seq, Some(answered)));
        }
    }

    fn poll_peers(&mut self, i: usize) {
        let cut_off = self.now > self.entries[i].last_read_at + READ_TIMEOUT;
        let holds = self.node(i).holds();
        for peer in (0..NODES).filter(|peer| *peer != i) {
            if !self.linked(i, peer) {
                continue;
            }
            let incarnation = self.entries[peer].incarnation;
            if !holds.is_empty() {
                self.schedule(
                    LATENCY,
                    Event::Deliver(peer, incarnation, Message::Holds(holds.clone())),
                );
            }
        }
        let peer = self.rng.below(NODES as u64) as usize;
        if cut_off && peer != i && self.linked(i, peer) {
            self.ask_peer(i, peer);
        }
    }

    fn ask_peer(&mut self, i: usize, peer: usize) {
        let (incarnation, now) = (self.entries[i].incarnation, local_time(peer, self.now));
        let from = self.node(i).next_offset();
        let has_view = self.node(i).has_view();
        let behind = self.node(peer).state().next() > self.node(i).state().next();
        let relayed = self.node(peer).relay_view(now, from, 64);
        let stuck = behind && relayed.answer.entries.is_empty();
        self.schedule(LATENCY, Event::Deliver(i, incarnation, Message::Relayed(relayed)));
        if !has_view || stuck {
            let bytes = self.node(peer).view_bytes();
            self.schedule(LATENCY, Event::Deliver(i, incarnation, Message::View(bytes)));
        }
    }

    /// Whether two instances can call each other: both run, neither is frozen, no cut lies between.
    pub fn linked(&self, a: usize, b: usize) -> bool {
        let (x, y) = (&self.entries[a], &self.entries[b]);
        let cut = self.cut_zones[x.zone][y.zone] || self.cut_zones[y.zone][x.zone];
        !cut && x.node.is_some() && y.node.is_some() && self.is_awake(a) && self.is_awake(b)
    }

    fn is_awake(&self, i: usize) -> bool {
        self.entries[i].frozen_until <= self.now
    }

    /// Whether the zones of an instance and an upstream reach each other in both directions.
    pub fn reaches_upstream(&self, i: usize, upstream: usize) -> bool {
        let (a, b) = (self.entries[i].zone, self.upstreams[upstream].zone);
        !self.cut_zones[a][b] && !self.cut_zones[b][a]
    }

    /// Resets `platform_ok_since` and `linked_since` of an instance while it is affected by a fault.
    pub fn update_link_times(&mut self, i: usize) {
        let platform = &self.platform;
        let degraded = platform.down || platform.extra_delay > 200 || platform.disorder;
        let cut = self.cut_platform[self.entries[i].zone].contains(&true);
        if degraded || cut || !self.is_awake(i) || self.entries[i].node.is_none() {
            self.platform_ok_since[i] = self.now.max(self.entries[i].frozen_until);
        }
        for peer in 0..NODES {
            if !self.linked(i, peer) {
                let resumed_at = self.entries[i].frozen_until.max(self.entries[peer].frozen_until);
                self.linked_since[i][peer] = self.now.max(resumed_at);
                self.linked_since[peer][i] = self.now.max(resumed_at);
            }
        }
    }

    fn check_nodes(&mut self) -> CheckResult {
        self.log_lengths.push((self.now, self.platform.next()));
        let old = self
            .log_lengths
            .iter()
            .rev()
            .find(|(at, _)| at + super::oracle::IN_FORCE_TIMEOUT <= self.now);
        let old_next = old.map_or(0, |(_, next)| *next);
        for i in 0..NODES {
            self.update_link_times(i);
            let Some(node) = &self.entries[i].node else { continue };
            self.oracle.check_node(node, self.platform_ok_since[i], self.now, old_next)?;
        }
        self.check_proposals()?;
        self.oracle.check_withdrawn()
    }

    fn check_proposals(&mut self) -> CheckResult {
        for i in 0..NODES {
            let proposals = std::mem::take(&mut self.entries[i].proposals);
            for t in proposals {
                let Some(node) = &self.entries[i].node else { continue };
                let status = node.proposal_status(self.oracle.proposals[t].ticket);
                self.oracle.check_proposal_status(&self.oracle.proposals[t], &status)?;
                if status == ProposalStatus::Pending {
                    self.entries[i].proposals.push(t);
                }
                self.oracle.proposals[t].last_status = Some(status);
            }
        }
        Ok(())
    }

    /// Whether an instance that has reached the platform since `platform_ok_since` must enforce a restriction:
    /// for at least `IN_FORCE_TIMEOUT` and `START_SLACK` it could read the log entry, or it was linked to
    /// the instance on which the hold was placed.
    pub fn must_enforce(&self, i: usize, subject: &str, platform_ok_since: Ms) -> bool {
        let grace = super::oracle::IN_FORCE_TIMEOUT + super::oracle::START_SLACK;
        let is_enforced = |since: Ms| since + grace <= self.now;
        let logged = self.oracle.restricted_since.get(subject);
        if logged.is_some_and(|at| is_enforced(platform_ok_since.max(*at))) {
            return true;
        }
        let Some((at, holder, incarnation)) = self.oracle.hold_since.get(subject) else {
            return false;
        };
        let holder_runs = self.entries[*holder].incarnation == *incarnation && *holder != i;
        let linked = self.linked_since[i][*holder].max(*at);
        holder_runs && self.linked(i, *holder) && is_enforced(linked)
    }
}

impl Entry {
    fn new(zone: usize) -> Entry {
        Entry {
            node: None,
            incarnation: 0,
            zone,
            frozen_until: 0,
            calls: BTreeMap::new(),
            jobs: HashMap::new(),
            proposals: Vec::new(),
            issued: Vec::new(),
            read_sent: None,
            last_read_at: 0,
            last_list_at: 0,
            attempted_at: HashMap::new(),
        }
    }

    /// Whether an action on a subject is due; it is due at most every two seconds.
    pub fn is_due(&mut self, now: Ms, subject: String) -> bool {
        let last = self.attempted_at.entry(subject).or_insert(0);
        let due = *last == 0 || now >= *last + 2_000;
        *last = if due { now } else { *last };
        due
    }
}

/// Converts true time to an instance's local clock; each has its own origin and rate.
pub fn local_time(i: usize, now: Ms) -> Time {
    Duration::from_micros(1_000_000 * (i as u64 + 1) + now * CLOCK_RATES[i])
}

/// Converts a time on an instance's local clock to true time.
pub fn true_time(i: usize, at: Time) -> Ms {
    (at.as_micros() as u64).saturating_sub(1_000_000 * (i as u64 + 1)) / CLOCK_RATES[i]
}

pub fn section(name: &str, values: &[(&str, &str)]) -> SectionChange {
    let values = values.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect();
    SectionChange { section: name.to_string(), base: None, body: Some(values) }
}

/// Returns the team of a key: `huts` for even numbers, `counter` for odd ones.
pub fn key_team(key: u8) -> TeamId {
    if key.is_multiple_of(2) { "huts".into() } else { "counter".into() }
}

pub fn key_grant(key: u8, op: &str) -> Record {
    use sha2::Digest;
    let hash = hex::encode(sha2::Sha256::digest(b"secret"));
    let op = format!("{op} key {key}").into();
    Record::KeyGrant { op, key: format!("k{key}").into(), team: key_team(key), hash }
}

fn listed(id: InstanceId, role: Role, pool: &str, zone: usize) -> ListedInstance {
    ListedInstance {
        id,
        role,
        pool: pool.into(),
        zone: ZONES[zone].into(),
        rack: format!("r{zone}").into(),
        addr: String::new(),
        presence: Presence::Live,
        slots: 8,
        connections: 64,
    }
}
