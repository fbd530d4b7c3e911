//! One entry instance without I/O: the replica, own units, request ids, holds and own records, tied
//! together. Every method takes the time of the own clock; nothing here waits.

use crate::hold::Holds;
use crate::ids::*;
use crate::issued_ids::IssuedIdTable;
use crate::kind::{Kind, Ran, Refusal};
use crate::lease::{LeaseObserver, LocalUnits};
use crate::outbox::{InFlightBatch, Outbox};
use crate::protocol::{InstanceList, ListedInstance, ReadAnswer};
use crate::record::{ClaimId, Class, Record, Want};
use crate::replica::{AnswerOutcome, AppliedEntry, RELAYED_NEXT, Replica};
use crate::snapshot::{self, SnapshotError};
use crate::state::{ApplyOutcome, RejectReason, State};
use bytes::Bytes;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

mod calls;
mod jobs;
mod members;
mod pacer;
mod request_ids;
mod timers;
mod units;

pub use crate::outbox::ProposalStatus;
pub use jobs::{JobStart, TaskObservation};
use pacer::ProposalPacer;

/// A start is written within this time of its last check, or the upstream refuses it as late.
pub const START_WINDOW: Duration = Duration::from_secs(1);

/// What an entry instance knows about itself.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub id: EntryId,
    /// Drawn at random at each start.
    pub incarnation: Incarnation,
    pub zone: ZoneId,
    pub http_addr: String,
    pub peer_addr: String,
    /// How many entry instances share the reserves of the teams.
    pub entry_instances: u32,
    /// For delays that must differ between instances.
    pub seed: u64,
    /// Mechanism taken out to show that the fuzzer notices.
    #[doc(hidden)]
    pub mutation: Option<Mutation>,
}

/// Mechanisms that the fuzzer takes out one at a time.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// Upstreams get work of any pool.
    IgnorePools,
    /// Upstreams that depart, drain, move or are out still get work.
    IgnoreClosedInstances,
    /// Zones taken out still get work.
    IgnoreZonesOut,
    /// Withdrawn keys still work.
    IgnoreWithdrawnKeys,
    /// Any key stands for the first team.
    IgnoreKeys,
    /// Borrowed units are used without end.
    LeaseNeverLapses,
    /// Observers free a holder's borrowed units without waiting.
    ExpireAtOnce,
    /// Observers never free a lapsed holder's units.
    NeverExpire,
    /// The answer to an append counts as the fate of its records.
    TrustAppendAnswers,
    /// A record that was sent already counts as withdrawn.
    WithdrawSent,
    /// A claim counts as won once it is read, whoever was first.
    ClaimAlwaysWins,
    /// Issued ids can be used again.
    IssuedIdsReusable,
    /// A job is started without a look at who holds it.
    StartAnyJob,
    /// A job that may have run is released to run again.
    ReleaseUnknownTasks,
    /// Entries beyond the position are folded as if none were missing.
    SkipGaps,
    /// Nobody writes snapshots.
    NoSnapshots,
    /// A stopping instance counts as having left at once.
    LeaveAtOnce,
}

/// A call as it arrived, without its body.
#[derive(Clone, Debug)]
pub struct Call {
    pub service: ServiceId,
    /// `<key id>.<secret>`.
    pub key: Option<Bytes>,
    pub class: Option<Class>,
    /// Time allowed from now.
    pub deadline: Option<Duration>,
    pub idempotent: bool,
    pub request_id: Option<String>,
}

/// What a call that passed the checks may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmittedCall {
    pub team: TeamId,
    pub pool: PoolId,
    pub profile: ProfileId,
    pub class: Class,
    /// On the own clock.
    pub deadline: Time,
}

/// What to do before a request with an id may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestIdStep {
    /// It may run now.
    Run,
    /// Ask the issuer with `use_id`; run only if it says so.
    AskIssuer { peer_addr: String },
    /// Wait until `claim_fate` tells; run only if applied.
    WaitClaim(ClaimId),
    /// Do not run it.
    Refuse(Refusal),
}

/// Entries relayed by a peer, with what the receiver needs to tell how old its view is.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Relayed {
    pub answer: ReadAnswer,
    /// First offset that the peer has not folded.
    pub next: Offset,
    /// Age of the peer's view; `None` without a view.
    pub age: Option<Duration>,
}

/// One entry instance.
pub struct Node {
    cfg: NodeConfig,
    rng: ChaCha8Rng,
    /// Latest time that was passed in.
    now: Time,
    replica: Replica,
    outbox: Outbox,
    units: LocalUnits,
    watch: LeaseObserver,
    holds: Holds,
    issued: IssuedIdTable,
    /// Claims begun here and not known to be over.
    claims: IndexMap<ClaimId, ProposalStatus>,
    new_claims: Vec<ClaimId>,
    /// Jobs with a `JobClaim` or `JobAdopt` of this instance on its way.
    claiming: HashMap<JobId, u64>,
    waiting: HashMap<TeamId, u32>,
    pacer: ProposalPacer,
    list: Option<InstanceList>,
    absent: HashMap<InstanceId, members::Absent>,
    /// When the list was last compared with the state.
    members_at: Option<Time>,
    /// Upstreams that said themselves that they drain.
    draining: HashSet<InstanceId>,
    platform_reachable: bool,
    /// When the view was last known to be complete.
    fresh_at: Option<Time>,
    renewed: units::LastRenew,
    snapshot: timers::SnapshotTimer,
    stopping: bool,
    left: bool,
}

impl Node {
    /// An entry instance without a view.
    pub fn new(cfg: NodeConfig, now: Time) -> Node {
        Node {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            now,
            replica: Replica::new().with_gaps_skipped(cfg.mutation == Some(Mutation::SkipGaps)),
            outbox: Outbox::new(cfg.id.clone(), cfg.incarnation),
            units: LocalUnits::new(),
            watch: LeaseObserver::new(),
            holds: Holds::new(),
            issued: IssuedIdTable::new(cfg.id.clone(), cfg.incarnation),
            claims: IndexMap::new(),
            new_claims: Vec::new(),
            claiming: HashMap::new(),
            waiting: HashMap::new(),
            pacer: ProposalPacer::new(),
            list: None,
            absent: HashMap::new(),
            members_at: None,
            draining: HashSet::new(),
            platform_reachable: false,
            fresh_at: None,
            renewed: units::LastRenew::default(),
            snapshot: timers::SnapshotTimer::default(),
            stopping: false,
            left: false,
            cfg,
        }
    }

    /// Its settings.
    pub fn config(&self) -> &NodeConfig {
        &self.cfg
    }

    /// The shared state as far as folded.
    pub fn state(&self) -> &State {
        self.replica.state()
    }

    /// Offset to read the log from.
    pub fn next_offset(&self) -> Offset {
        self.replica.next_offset()
    }

    /// Whether there is a view to decide by.
    pub fn has_view(&self) -> bool {
        self.replica.has_view()
    }

    /// Time since the view was last known to be complete. Without such a time, as after loading a
    /// peer's view, it is unbounded.
    pub fn view_age(&self, now: Time) -> Duration {
        match self.fresh_at {
            Some(at) => now.saturating_sub(at),
            None => Duration::MAX,
        }
    }

    /// Folds an answer of the log. Pass answers only within their request's timeout: the view
    /// counts as fresh from now on if the answer reached the end of the log.
    pub fn on_read(&mut self, now: Time, answer: &ReadAnswer) {
        self.advance(now);
        let from_log = answer.next != RELAYED_NEXT;
        if from_log && !self.platform_reachable {
            self.platform_reachable = true;
            self.outbox.resend_now(now);
        }
        let step = self.replica.apply_answer(answer);
        self.after_step(now, step);
        if from_log && self.replica.is_current() && answer.next >= self.state().next() {
            self.fresh_at = Some(now);
        }
    }

    /// Folds what a peer relayed; the view is at least as old as the peer's.
    pub fn on_relayed(&mut self, now: Time, relayed: &Relayed) {
        self.advance(now);
        let step =
            self.replica.apply_answer(&ReadAnswer { next: RELAYED_NEXT, ..relayed.answer.clone() });
        self.after_step(now, step);
        if let Some(age) = relayed.age
            && self.state().next() >= relayed.next
        {
            let at = now.saturating_sub(age);
            self.fresh_at = self.fresh_at.max(Some(at));
        }
    }

    /// Entries for a peer that cannot reach the log.
    pub fn relay(&self, from: Offset, max: usize) -> ReadAnswer {
        self.replica.relay(from, max)
    }

    /// Like `relay`, with the age of the view.
    pub fn relay_view(&self, now: Time, from: Offset, max: usize) -> Relayed {
        let age = self.fresh_at.filter(|_| self.has_view()).map(|at| now.saturating_sub(at));
        Relayed { answer: self.relay(from, max), next: self.state().next(), age }
    }

    /// Encoded state for a fresh peer; empty without a view.
    pub fn view_bytes(&self) -> Bytes {
        if !self.has_view() {
            return Bytes::new();
        }
        snapshot::encode(self.state()).unwrap_or_default()
    }

    /// Loads a peer's state if it is ahead of the own one. An error changes nothing.
    pub fn load_view(&mut self, now: Time, bytes: &[u8]) -> Result<(), SnapshotError> {
        self.advance(now);
        if self.replica.load_view(bytes)? {
            self.after_step(now, AnswerOutcome { applied: Vec::new(), snapshot_loaded: true });
        }
        Ok(())
    }

    /// Whether the platform answered the last request.
    pub fn set_platform_reachable(&mut self, now: Time, reached: bool) {
        self.advance(now);
        self.platform_reachable = reached;
    }

    /// The next entry to append: a batch whose answer was lost again, or a new one.
    pub fn next_append(&mut self, now: Time) -> Option<(u64, Bytes)> {
        self.advance(now);
        if let Some(again) = self.outbox.take_resend(now) {
            return Some(again);
        }
        if !self.has_view() || !self.outbox.may_build(now) {
            return None;
        }
        self.queue_claims();
        let renew = self.due_renew(now);
        self.outbox.build(now, renew)
    }

    /// The answer to an append; `None` when it was lost. The fate is learned by reading.
    pub fn on_append(&mut self, now: Time, seq: u64, answer: Option<Offset>) {
        self.advance(now);
        if let Some(offset) = answer
            && self.mutated(Mutation::TrustAppendAnswers)
        {
            self.outbox.assume_applied(seq, offset);
        }
        self.outbox.on_append(now, seq, answer);
    }

    /// Queues a record for the log and returns its ticket.
    pub fn propose(&mut self, now: Time, record: Record) -> u64 {
        self.advance(now);
        let job = match &record {
            Record::JobClaim { job, .. } | Record::JobAdopt { job, .. } => Some(job.clone()),
            _ => None,
        };
        let ticket = self.outbox.propose(record);
        if let Some(job) = job {
            self.claiming.insert(job, ticket);
        }
        ticket
    }

    /// The fate of a proposed record.
    pub fn proposal_status(&self, ticket: u64) -> ProposalStatus {
        self.outbox.status(ticket)
    }

    /// Takes a proposed record back; true when it was never sent and so has no effect.
    pub fn withdraw(&mut self, ticket: u64) -> bool {
        self.claiming.retain(|_, claiming| *claiming != ticket);
        self.outbox.withdraw(ticket) || self.mutated(Mutation::WithdrawSent)
    }

    /// Own clocks are monotonic; a time before the latest one counts as the latest one.
    fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    fn after_step(&mut self, now: Time, step: AnswerOutcome) {
        for folded in &step.applied {
            self.after_fold(folded);
        }
        if step.snapshot_loaded {
            let last_seq = self.state().last_seq(self.cfg.incarnation);
            if let Some(sent) = self.outbox.on_snapshot_loaded(last_seq) {
                self.after_jumped_batch(&sent);
            }
            self.end_known_holds();
        }
        if step.snapshot_loaded || !step.applied.is_empty() {
            self.watch.update(now, &self.replica.state().holders);
        }
    }

    fn after_fold(&mut self, folded: &AppliedEntry) {
        for record in &folded.batch.records {
            if let Some(op) = Holds::restrictive_op(record) {
                self.holds.end(op);
            }
        }
        if let Some(sent) = self.outbox.on_entry_applied(folded) {
            self.after_own_batch(&sent, folded);
        }
    }

    fn after_own_batch(&mut self, sent: &InFlightBatch, folded: &AppliedEntry) {
        for (record, outcome) in sent.records.iter().zip(&folded.outcomes) {
            match record {
                Record::Renew { departing, want, .. } => {
                    self.units.renewed(sent.sent);
                    self.left = *departing && want.is_empty();
                }
                Record::Claim { ids } => self.settle_claims(folded.offset, ids, outcome),
                Record::JobClaim { job, .. } | Record::JobAdopt { job, .. } => {
                    self.claiming.remove(job);
                }
                _ => {}
            }
        }
    }

    /// A batch that a snapshot covers: its `Renew` counts, the outcomes stay unknown.
    fn after_jumped_batch(&mut self, sent: &InFlightBatch) {
        for record in &sent.records {
            match record {
                Record::Renew { .. } => self.units.renewed(sent.sent),
                Record::Claim { ids } => {
                    for id in ids {
                        self.claims.insert(*id, ProposalStatus::Unknown);
                    }
                }
                Record::JobClaim { job, .. } | Record::JobAdopt { job, .. } => {
                    self.claiming.remove(job);
                }
                _ => {}
            }
        }
    }

    fn mutated(&self, mutation: Mutation) -> bool {
        self.cfg.mutation == Some(mutation)
    }
}
