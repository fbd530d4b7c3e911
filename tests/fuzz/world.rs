//! Entry instances, links, clocks and the queue of messages between them.

use super::oracle::{Judged, Oracle, fail};
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
/// Zone of each instance.
const NODE_ZONES: [usize; NODES] = [0, 0, 1, 1, 2];
/// Rate of each instance's clock in parts per thousand.
const RATES: [u64; NODES] = [975, 1025, 1000, 990, 1020];
/// Time between two turns of an instance.
pub const TURN: Ms = 150;
const LATENCY: Ms = 5;
/// An instance gives up a read after this time.
const READ_TIMEOUT: Ms = 1_000;
/// Longest extra delay of disordered answers.
const DISORDER: Ms = 4_000;

/// What is taken out of the fakes or the core to show that the oracle notices.
#[derive(Clone, Copy, Debug, Default)]
pub struct DisabledChecks {
    pub mutation: Option<Mutation>,
    /// Upstreams are stopped without asking the log.
    pub drain_without_log: bool,
    /// Upstreams start late work.
    pub late_starts: bool,
    /// A timeout after the write is answered as not run.
    pub timeout_is_not_run: bool,
}

pub enum Message {
    Read(ReadAnswer),
    Appended(u64, Option<Offset>),
    List(InstanceList),
    Relayed(Relayed),
    View(Bytes),
    Holds(Vec<Record>),
    UseId { from: usize, from_life: Incarnation, call: usize, id: String },
    UseIdAnswer { call: usize, step: RequestIdStep },
    CallEnd { call: usize, ran: bool },
    TaskAnswer { job: JobId, started: bool },
}

pub enum Event {
    /// An instance's turn.
    Turn(usize, Incarnation),
    Deliver(usize, Incarnation, Message),
    Append(usize, Incarnation, u64, Bytes),
    Start(Box<Start>),
    WorkEnd(usize, u64),
    Rebooted(usize),
}

/// One entry instance with its edge.
pub struct Entry {
    pub node: Option<Node>,
    pub life: Incarnation,
    pub zone: usize,
    pub frozen_until: Ms,
    pub calls: BTreeMap<usize, CallRun>,
    pub jobs: HashMap<JobId, JobRun>,
    pub tickets: Vec<usize>,
    pub issued: Vec<String>,
    read_sent: Option<Ms>,
    reached_at: Ms,
    list_at: Ms,
    pub paced: HashMap<String, Ms>,
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
    events: u64,
    pub lives: u64,
    /// Zone to zone, by direction.
    pub cut_zones: [[bool; 3]; 3],
    /// Zone to platform, and platform to zone.
    pub cut_platform: [[bool; 2]; 3],
    /// Since when each instance hears the platform without a fault.
    pub heard_since: [Ms; NODES],
    /// Since when each pair of instances hears each other.
    pub linked_since: [[Ms; NODES]; NODES],
    /// Log length at past times.
    lengths: Vec<(Ms, Offset)>,
    pub calls: usize,
    pub ops: u64,
    /// The next instance that writes a job's start is frozen for this long before the write.
    pub stall: Option<Ms>,
    pub execs: u64,
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
            events: 0,
            lives: 0,
            cut_zones: Default::default(),
            cut_platform: Default::default(),
            heard_since: [0; NODES],
            linked_since: [[0; NODES]; NODES],
            lengths: Vec::new(),
            calls: 0,
            ops: 0,
            stall: None,
            execs: 0,
            seed,
        };
        (0..10)
            .for_each(|i| world.add_upstream(i % 3, pool_name([0, 0, 0, 0, 1, 1, 1, 1, 2, 2][i])));
        world.publish_start();
        for (i, zone) in NODE_ZONES.iter().enumerate() {
            world.entries.push(Entry::new(*zone));
            world.start(i);
        }
        world
    }

    fn publish_start(&mut self) {
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
        let bytes = encode(&batch).expect("fits");
        self.platform.append(&bytes);
        self.oracle.on_append(0, 0, &bytes);
        let rejected = |v: &&jacinthhook::state::ApplyOutcome| {
            matches!(v, jacinthhook::state::ApplyOutcome::Rejected(_))
        };
        assert!(self.oracle.entries[0].1.iter().find(rejected).is_none(), "the start is valid");
    }

    /// Starts an instance with nothing but its settings.
    pub fn start(&mut self, i: usize) {
        self.lives += 1;
        let life = 1_000 + self.lives;
        let entry = &mut self.entries[i];
        let zone = ZONES[entry.zone];
        let cfg = NodeConfig {
            id: format!("e{i}").into(),
            incarnation: life,
            zone: zone.into(),
            http_addr: String::new(),
            peer_addr: i.to_string(),
            entry_instances: NODES as u32,
            seed: self.rng.next(),
            mutation: self.disabled.mutation,
        };
        let local = local(i, self.now);
        *entry = Entry { life, node: Some(Node::new(cfg, local)), ..Entry::new(entry.zone) };
        entry.reached_at = self.now;
        self.heard_since[i] = self.now;
        self.post(0, Event::Turn(i, life));
        self.list_changed();
    }

    /// Ends an instance at once; what it held in memory is gone.
    pub fn end(&mut self, i: usize) {
        self.entries[i].node = None;
        self.entries[i].calls.clear();
        self.entries[i].jobs.clear();
        self.list_changed();
    }

    /// Freezes an instance with whatever it was about to do.
    pub fn freeze(&mut self, i: usize, time: Ms) {
        let until = (self.now + time).max(self.entries[i].frozen_until);
        self.entries[i].frozen_until = until;
        self.heard_since[i] = until;
        for peer in 0..NODES {
            self.linked_since[i][peer] = until;
            self.linked_since[peer][i] = until;
        }
    }

    /// Whether the instance may be lost: some other one has a view of all that the log dropped.
    pub fn is_spare(&self, i: usize) -> bool {
        let others = self.entries.iter().enumerate().filter(|(k, _)| *k != i);
        let whole = |n: &Node| n.has_view() && n.state().next() >= self.platform.first;
        others.filter_map(|(_, entry)| entry.node.as_ref()).any(whole)
    }

    pub fn list_changed(&mut self) {
        let entries = self.entries.iter().enumerate().filter(|(_, e)| e.node.is_some());
        let entries = entries.map(|(i, e)| listed(format!("e{i}").into(), Role::Entry, "", e.zone));
        let upstreams = self.upstreams.iter().filter(|u| u.alive);
        let upstreams = upstreams.map(|u| ListedInstance {
            presence: if u.departing_at.is_some() { Presence::Departing } else { Presence::Live },
            ..listed(u.id.clone(), Role::Upstream, &u.pool, u.zone)
        });
        let instances = entries.chain(upstreams).collect();
        self.platform.lists.push((self.now, InstanceList { instances }));
    }

    pub fn post(&mut self, delay: Ms, event: Event) {
        self.events += 1;
        self.queue.insert((self.now + delay, self.events), event);
    }

    /// Lets time pass and judges what happens meanwhile.
    pub fn advance(&mut self, time: Ms) -> Judged {
        let until = self.now + time;
        while let Some(next) = self.queue.first_entry() {
            let ((at, _), event) = match next.key().0 <= until {
                true => next.remove_entry(),
                false => break,
            };
            self.now = self.now.max(at);
            // Random numbers depend on the time and not on how many were drawn before, so that a step
            // that is taken out while shrinking changes little of what comes later.
            self.rng = Rng(self.seed ^ self.now.wrapping_mul(0x2545_f491_4f6c_dd1d));
            self.handle(event)?;
        }
        self.now = until;
        self.check_nodes()
    }

    fn handle(&mut self, event: Event) -> Judged {
        match event {
            Event::Turn(i, life) if self.entries[i].life == life => self.turn(i),
            Event::Turn(..) => Ok(()),
            Event::Deliver(i, life, message) => {
                let entry = &self.entries[i];
                if entry.life != life || entry.node.is_none() {
                    return Ok(());
                }
                if entry.frozen_until > self.now {
                    let delay = entry.frozen_until - self.now;
                    self.post(delay, Event::Deliver(i, life, message));
                    return Ok(());
                }
                self.deliver(i, message)
            }
            Event::Append(i, life, seq, bytes) => {
                self.append(i, life, seq, bytes);
                Ok(())
            }
            Event::Start(start) => self.start_arrives(*start),
            Event::WorkEnd(upstream, exec) => self.work_ends(upstream, exec),
            Event::Rebooted(upstream) => self.rebooted(upstream),
        }
    }

    fn deliver(&mut self, i: usize, message: Message) -> Judged {
        let now = local(i, self.now);
        let Some(node) = self.entries[i].node.as_mut() else { return Ok(()) };
        match message {
            Message::Read(answer) => {
                self.entries[i].read_sent = None;
                self.entries[i].reached_at = self.now;
                self.node(i).on_read(now, &answer);
            }
            Message::Appended(seq, answer) => node.on_append(now, seq, answer),
            Message::List(list) => node.on_list(now, &list),
            Message::Relayed(relayed) => node.on_relayed(now, &relayed),
            Message::View(bytes) if bytes.is_empty() => {}
            Message::View(bytes) => {
                if let Err(e) = node.load_view(now, &bytes) {
                    return fail(11, format!("a peer's view does not load: {e}"));
                }
            }
            Message::Holds(holds) => {
                for hold in holds {
                    node.add_hold(now, hold);
                }
            }
            Message::UseId { from, from_life, call, id } => {
                let step = node.use_id(now, &id);
                let answer = Message::UseIdAnswer { call, step };
                if self.linked(i, from) {
                    self.post(LATENCY, Event::Deliver(from, from_life, answer));
                }
            }
            Message::UseIdAnswer { call, step } => self.issuer_answered(i, call, step)?,
            Message::CallEnd { call, ran } => self.call_ended(i, call, ran)?,
            Message::TaskAnswer { job, started } => self.task_answered(i, &job, started),
        }
        Ok(())
    }

    /// The running core of an instance.
    pub fn node(&mut self, i: usize) -> &mut Node {
        self.entries[i].node.as_mut().expect("the instance runs")
    }

    fn turn(&mut self, i: usize) -> Judged {
        let life = self.entries[i].life;
        if self.entries[i].node.is_none() {
            return Ok(());
        }
        let frozen = self.entries[i].frozen_until.saturating_sub(self.now);
        self.post(frozen.max(TURN), Event::Turn(i, life));
        if frozen > 0 { Ok(()) } else { self.act(i) }
    }

    /// What an instance does in each turn.
    pub fn act(&mut self, i: usize) -> Judged {
        let now = local(i, self.now);
        self.note_links(i);
        self.node(i).tick(now);
        self.poll_log(i);
        self.poll_peers(i);
        if let Some((seq, bytes)) = self.node(i).next_append(now) {
            self.send_append(i, seq, bytes);
        }
        self.turn_calls(i)?;
        self.turn_jobs(i)?;
        self.turn_maintenance(i)?;
        if self.node(i).has_left() {
            return self.leaves(i);
        }
        Ok(())
    }

    fn leaves(&mut self, i: usize) -> Judged {
        let life = self.entries[i].life;
        if !self.entries[i].calls.is_empty() {
            return fail(10, format!("e{i} left with calls open"));
        }
        let held = self.oracle.state.holders.get(&life).is_some_and(|h| !h.grants.is_empty());
        if held {
            return fail(10, format!("e{i} left with units"));
        }
        if self.is_spare(i) {
            self.end(i);
        }
        Ok(())
    }

    /// Extra delay of an answer of the platform.
    fn delay(&mut self) -> Ms {
        let extra = if self.platform.disorder { self.rng.below(DISORDER) } else { 0 };
        LATENCY + self.platform.slow + extra
    }

    fn answer(&mut self, i: usize, message: impl Fn() -> Message) {
        let (zone, life) = (self.entries[i].zone, self.entries[i].life);
        if self.cut_platform[zone][1] {
            return;
        }
        let copies = if self.platform.disorder && self.rng.below(3) == 0 { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.delay();
            self.post(delay, Event::Deliver(i, life, message()));
        }
    }

    fn poll_log(&mut self, i: usize) {
        let now = local(i, self.now);
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
        if self.now >= self.entries[i].list_at + 1_000 {
            self.entries[i].list_at = self.now;
            let list = self.platform.list(self.now);
            self.answer(i, || Message::List(list.clone()));
        }
    }

    fn reaches_platform(&self, i: usize) -> bool {
        !self.platform.down && !self.cut_platform[self.entries[i].zone][0]
    }

    pub fn send_append(&mut self, i: usize, seq: u64, bytes: Bytes) {
        let (life, now) = (self.entries[i].life, local(i, self.now));
        if self.reaches_platform(i) {
            let delay = self.delay();
            self.post(delay, Event::Append(i, life, seq, bytes));
        } else {
            self.node(i).on_append(now, seq, None);
        }
    }

    fn append(&mut self, i: usize, life: Incarnation, seq: u64, bytes: Bytes) {
        if self.platform.down {
            return;
        }
        let offset = self.platform.append(&bytes);
        self.oracle.on_append(self.now, offset, &bytes);
        if self.platform.lose_answers && self.rng.below(2) == 0 {
            return;
        }
        let crossed = self.platform.disorder && self.rng.below(4) == 0;
        let told = if crossed { self.rng.below(offset + 1) } else { offset };
        if self.entries[i].life == life {
            self.answer(i, || Message::Appended(seq, Some(told)));
        }
    }

    fn poll_peers(&mut self, i: usize) {
        let cut_off = self.now > self.entries[i].reached_at + READ_TIMEOUT;
        let holds = self.node(i).holds();
        for peer in (0..NODES).filter(|peer| *peer != i) {
            if !self.linked(i, peer) {
                continue;
            }
            let life = self.entries[peer].life;
            if !holds.is_empty() {
                self.post(LATENCY, Event::Deliver(peer, life, Message::Holds(holds.clone())));
            }
        }
        let peer = self.rng.below(NODES as u64) as usize;
        if cut_off && peer != i && self.linked(i, peer) {
            self.ask_peer(i, peer);
        }
    }

    fn ask_peer(&mut self, i: usize, peer: usize) {
        let (life, now) = (self.entries[i].life, local(peer, self.now));
        let from = self.node(i).next_offset();
        let has_view = self.node(i).has_view();
        let behind = self.node(peer).state().next() > self.node(i).state().next();
        let relayed = self.node(peer).relay_view(now, from, 64);
        let stuck = behind && relayed.answer.entries.is_empty();
        self.post(LATENCY, Event::Deliver(i, life, Message::Relayed(relayed)));
        if !has_view || stuck {
            let bytes = self.node(peer).view_bytes();
            self.post(LATENCY, Event::Deliver(i, life, Message::View(bytes)));
        }
    }

    /// Whether two instances can call each other now.
    pub fn linked(&self, a: usize, b: usize) -> bool {
        let (x, y) = (&self.entries[a], &self.entries[b]);
        let cut = self.cut_zones[x.zone][y.zone] || self.cut_zones[y.zone][x.zone];
        !cut && x.node.is_some() && y.node.is_some() && self.is_awake(a) && self.is_awake(b)
    }

    fn is_awake(&self, i: usize) -> bool {
        self.entries[i].frozen_until <= self.now
    }

    /// Whether an instance's zone and an upstream's reach each other.
    pub fn reaches_upstream(&self, i: usize, upstream: usize) -> bool {
        let (a, b) = (self.entries[i].zone, self.upstreams[upstream].zone);
        !self.cut_zones[a][b] && !self.cut_zones[b][a]
    }

    /// Takes note of which faults an instance has now.
    pub fn note_links(&mut self, i: usize) {
        let platform = &self.platform;
        let troubled = platform.down || platform.slow > 200 || platform.disorder;
        let cut = self.cut_platform[self.entries[i].zone].contains(&true);
        if troubled || cut || !self.is_awake(i) || self.entries[i].node.is_none() {
            self.heard_since[i] = self.now.max(self.entries[i].frozen_until);
        }
        for peer in 0..NODES {
            if !self.linked(i, peer) {
                let thawed = self.entries[i].frozen_until.max(self.entries[peer].frozen_until);
                self.linked_since[i][peer] = self.now.max(thawed);
                self.linked_since[peer][i] = self.now.max(thawed);
            }
        }
    }

    fn check_nodes(&mut self) -> Judged {
        self.lengths.push((self.now, self.platform.next()));
        let old =
            self.lengths.iter().rev().find(|(at, _)| at + super::oracle::IN_FORCE <= self.now);
        let old_next = old.map_or(0, |(_, next)| *next);
        for i in 0..NODES {
            self.note_links(i);
            let Some(node) = &self.entries[i].node else { continue };
            self.oracle.check_node(node, self.heard_since[i], self.now, old_next)?;
        }
        self.check_tickets()?;
        self.oracle.check_withdrawn()
    }

    fn check_tickets(&mut self) -> Judged {
        for i in 0..NODES {
            let tickets = std::mem::take(&mut self.entries[i].tickets);
            for t in tickets {
                let Some(node) = &self.entries[i].node else { continue };
                let fate = node.proposal_status(self.oracle.tickets[t].ticket);
                self.oracle.check_fate(&self.oracle.tickets[t], &fate)?;
                if fate == ProposalStatus::Pending {
                    self.entries[i].tickets.push(t);
                }
                self.oracle.tickets[t].told = Some(fate);
            }
        }
        Ok(())
    }

    /// Whether a restriction must be in force for what an instance does that heard the platform since
    /// `heard_since`: its log entry was within hearing for `IN_FORCE`, or an instance that holds it.
    pub fn must_know(&self, i: usize, what: &str, heard_since: Ms) -> bool {
        let over = super::oracle::IN_FORCE + super::oracle::START_SLACK;
        let heard = |since: Ms| since + over <= self.now;
        let logged = self.oracle.out_since.get(what);
        if logged.is_some_and(|at| heard(heard_since.max(*at))) {
            return true;
        }
        let Some((at, holder, life)) = self.oracle.held_since.get(what) else { return false };
        let holder_lives = self.entries[*holder].life == *life && *holder != i;
        let linked = self.linked_since[i][*holder].max(*at);
        holder_lives && self.linked(i, *holder) && heard(linked)
    }
}

impl Entry {
    fn new(zone: usize) -> Entry {
        Entry {
            node: None,
            life: 0,
            zone,
            frozen_until: 0,
            calls: BTreeMap::new(),
            jobs: HashMap::new(),
            tickets: Vec::new(),
            issued: Vec::new(),
            read_sent: None,
            reached_at: 0,
            list_at: 0,
            paced: HashMap::new(),
        }
    }

    /// Whether something done at most every two seconds is due.
    pub fn is_due(&mut self, now: Ms, subject: String) -> bool {
        let last = self.paced.entry(subject).or_insert(0);
        let due = *last == 0 || now >= *last + 2_000;
        *last = if due { now } else { *last };
        due
    }
}

/// The own clock of an instance: its origin and rate differ from the others'.
pub fn local(i: usize, now: Ms) -> Time {
    Duration::from_micros(1_000_000 * (i as u64 + 1) + now * RATES[i])
}

/// True time of a time on an instance's own clock.
pub fn true_time(i: usize, at: Time) -> Ms {
    (at.as_micros() as u64).saturating_sub(1_000_000 * (i as u64 + 1)) / RATES[i]
}

pub fn section(name: &str, values: &[(&str, &str)]) -> SectionChange {
    let values = values.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect();
    SectionChange { section: name.to_string(), base: None, body: Some(values) }
}

/// Even keys stand for `huts`, odd ones for `counter`.
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
