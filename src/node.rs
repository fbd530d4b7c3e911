//! State machine of one entry instance, free of I/O. It combines the replica of the shared log, the
//! units that the instance holds, request ids, holds, and the records that it proposes. Every
//! method is given the time of the local clock; none blocks.

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
mod membership;
mod pacer;
mod request_ids;
mod timers;
mod units;

pub use crate::outbox::ProposalStatus;
pub use jobs::{JobStart, TaskObservation};
use pacer::ProposalPacer;

/// Maximum time between the last check before a start and the arrival of the start at the upstream,
/// which rejects a later one.
pub const START_WINDOW: Duration = Duration::from_secs(1);

/// Identity and settings of an entry instance.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub id: EntryId,
    /// Random value that is new at each process start.
    pub incarnation: Incarnation,
    pub zone: ZoneId,
    pub http_addr: String,
    pub peer_addr: String,
    /// Number of entry instances, by which the reserve of each team is divided.
    pub entry_instances: u32,
    /// Seeds the random delays, which must differ between instances.
    pub seed: u64,
    /// Disables one safety check, to show that the fuzzer detects the resulting fault.
    #[doc(hidden)]
    pub mutation: Option<Mutation>,
}

/// Safety checks that the fuzzer disables one at a time.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// Sends work of any pool to any upstream.
    IgnorePools,
    /// Sends new work to upstreams that are departing, draining, moving or out of service.
    IgnoreClosedInstances,
    /// Sends new work to zones that are out of service.
    IgnoreZonesOut,
    /// Accepts withdrawn keys.
    IgnoreWithdrawnKeys,
    /// Maps every key to the first team.
    IgnoreKeys,
    /// Uses borrowed units after the lease has lapsed.
    LeaseNeverLapses,
    /// Expires the borrowed units of other holders without waiting for their leases to lapse.
    ExpireAtOnce,
    /// Never expires the units of lapsed holders.
    NeverExpire,
    /// Treats a successful append answer as proof that the records were applied.
    TrustAppendAnswers,
    /// Reports a record as withdrawn although it was already sent.
    WithdrawSent,
    /// Treats a claim as won once it is read from the log, even if another instance claimed first.
    ClaimAlwaysWins,
    /// Accepts an issued request id more than once.
    IssuedIdsReusable,
    /// Starts a job without checking which instance holds it.
    StartAnyJob,
    /// Releases a job that may have run, so that it can run a second time.
    ReleaseUnknownTasks,
    /// Applies entries after a gap in the offsets as if none were missing.
    SkipGaps,
    /// Writes no snapshots.
    NoSnapshots,
    /// Reports a stopping instance as departed before its units are returned.
    LeaveAtOnce,
}

/// Metadata of an incoming call, without the body.
#[derive(Clone, Debug)]
pub struct Call {
    pub service: ServiceId,
    /// `<key id>.<secret>`.
    pub key: Option<Bytes>,
    pub class: Option<Class>,
    /// Time allowed for the call, counted from its arrival.
    pub deadline: Option<Duration>,
    pub idempotent: bool,
    pub request_id: Option<String>,
}

/// Team, pool and limits that apply to a call that passed the admission checks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmittedCall {
    pub team: TeamId,
    pub pool: PoolId,
    pub profile: ProfileId,
    pub class: Class,
    /// Deadline on the local clock.
    pub deadline: Time,
}

/// Next step before a call with a request id may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestIdStep {
    /// The call may run now.
    Run,
    /// Ask the issuer of the id through `use_id`; run the call only if the issuer answers `Run`.
    AskIssuer { peer_addr: String },
    /// Wait until `claim_status` is no longer pending; run the call only if the claim was applied.
    WaitClaim(ClaimId),
    /// Reject the call.
    Refuse(Refusal),
}

/// Log entries relayed by a peer, and what the receiver needs to compute the age of its own view.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Relayed {
    pub answer: ReadAnswer,
    /// First offset that the peer has not applied.
    pub next: Offset,
    /// Age of the peer's view; `None` if the peer has no view.
    pub age: Option<Duration>,
}

/// State of one entry instance.
pub struct Node {
    cfg: NodeConfig,
    rng: ChaCha8Rng,
    /// Latest time passed to any method.
    now: Time,
    replica: Replica,
    outbox: Outbox,
    units: LocalUnits,
    watch: LeaseObserver,
    holds: Holds,
    issued: IssuedIdTable,
    /// Status of the claims that this instance made, limited to the most recent ones.
    claims: IndexMap<ClaimId, ProposalStatus>,
    unsent_claims: Vec<ClaimId>,
    /// Jobs for which a `JobClaim` or `JobAdopt` of this instance is pending, with its ticket.
    claiming: HashMap<JobId, u64>,
    waiting: HashMap<TeamId, u32>,
    pacer: ProposalPacer,
    list: Option<InstanceList>,
    absent: HashMap<InstanceId, membership::Absence>,
    /// Time of the last comparison of the instance list with the state.
    members_compared_at: Option<Time>,
    /// Upstreams that report themselves as draining.
    draining: HashSet<InstanceId>,
    platform_reachable: bool,
    /// Latest time at which the view was known to include the end of the log.
    fresh_at: Option<Time>,
    last_renew: units::LastRenew,
    snapshot: timers::SnapshotTimer,
    stopping: bool,
    departed: bool,
}

impl Node {
    /// Creates an instance that has no view of the log yet.
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
            unsent_claims: Vec::new(),
            claiming: HashMap::new(),
            waiting: HashMap::new(),
            pacer: ProposalPacer::new(),
            list: None,
            absent: HashMap::new(),
            members_compared_at: None,
            draining: HashSet::new(),
            platform_reachable: false,
            fresh_at: None,
            last_renew: units::LastRenew::default(),
            snapshot: timers::SnapshotTimer::default(),
            stopping: false,
            departed: false,
            cfg,
        }
    }

    pub fn config(&self) -> &NodeConfig {
        &self.cfg
    }

    /// Returns the shared state after the last applied entry.
    pub fn state(&self) -> &State {
        self.replica.state()
    }

    /// Returns the offset from which the log is read next.
    pub fn next_offset(&self) -> Offset {
        self.replica.next_offset()
    }

    /// Whether the state is complete enough to base decisions on.
    pub fn has_view(&self) -> bool {
        self.replica.has_view()
    }

    /// Returns the time since the view was last known to include the end of the log. It is
    /// unbounded if no such time is known, as after loading a view from a peer that reports no age.
    pub fn view_age(&self, now: Time) -> Duration {
        match self.fresh_at {
            Some(at) => now.saturating_sub(at),
            None => Duration::MAX,
        }
    }

    /// Applies an answer from the log. The caller passes only answers that arrived within the
    /// timeout of their request, because the view counts as fresh from `now` on if the answer
    /// reached the end of the log.
    pub fn on_read(&mut self, now: Time, answer: &ReadAnswer) {
        self.advance_clock(now);
        let from_log = answer.next != RELAYED_NEXT;
        if from_log && !self.platform_reachable {
            self.platform_reachable = true;
            self.outbox.resend_now(now);
        }
        let outcome = self.replica.apply_answer(answer);
        self.on_answer_applied(now, outcome);
        if from_log && self.replica.is_current() && answer.next >= self.state().next() {
            self.fresh_at = Some(now);
        }
    }

    /// Applies entries relayed by a peer. The view counts as at least as old as the peer's view.
    pub fn on_relayed(&mut self, now: Time, relayed: &Relayed) {
        self.advance_clock(now);
        let outcome =
            self.replica.apply_answer(&ReadAnswer { next: RELAYED_NEXT, ..relayed.answer.clone() });
        self.on_answer_applied(now, outcome);
        if let Some(age) = relayed.age
            && self.state().next() >= relayed.next
        {
            let at = now.saturating_sub(age);
            self.fresh_at = self.fresh_at.max(Some(at));
        }
    }

    /// Returns log entries for a peer that cannot reach the log.
    pub fn relay(&self, from: Offset, max: usize) -> ReadAnswer {
        self.replica.relay(from, max)
    }

    /// Returns the same entries as `relay`, with the age of the local view.
    pub fn relay_view(&self, now: Time, from: Offset, max: usize) -> Relayed {
        let age = self.fresh_at.filter(|_| self.has_view()).map(|at| now.saturating_sub(at));
        Relayed { answer: self.relay(from, max), next: self.state().next(), age }
    }

    /// Encodes the state for a peer that starts without a view; empty if there is no view here.
    pub fn view_bytes(&self) -> Bytes {
        if !self.has_view() {
            return Bytes::new();
        }
        snapshot::encode(self.state()).unwrap_or_default()
    }

    /// Loads the state of a peer if it is ahead of the local one. On an error the local state stays
    /// unchanged.
    pub fn load_view(&mut self, now: Time, bytes: &[u8]) -> Result<(), SnapshotError> {
        self.advance_clock(now);
        if self.replica.load_view(bytes)? {
            self.on_answer_applied(
                now,
                AnswerOutcome { applied: Vec::new(), snapshot_loaded: true },
            );
        }
        Ok(())
    }

    /// Records whether the platform answered the last request.
    pub fn set_platform_reachable(&mut self, now: Time, reached: bool) {
        self.advance_clock(now);
        self.platform_reachable = reached;
    }

    /// Returns the sequence number and bytes of the next batch to append: either a batch to be
    /// resent because its answer was lost, or a new one.
    pub fn next_append(&mut self, now: Time) -> Option<(u64, Bytes)> {
        self.advance_clock(now);
        if let Some(resend) = self.outbox.due_resend(now) {
            return Some(resend);
        }
        if !self.has_view() || !self.outbox.may_build_batch(now) {
            return None;
        }
        self.queue_claims();
        let renew = self.build_renew(now);
        self.outbox.build_batch(now, renew)
    }

    /// Handles the answer to an append; `None` means that it was lost. Whether the records were
    /// applied is learned only by reading the log.
    pub fn on_append(&mut self, now: Time, seq: u64, answer: Option<Offset>) {
        self.advance_clock(now);
        if let Some(offset) = answer
            && self.has_mutation(Mutation::TrustAppendAnswers)
        {
            self.outbox.assume_applied(seq, offset);
        }
        self.outbox.on_append(now, seq, answer);
    }

    /// Queues a record for the log and returns a ticket for `proposal_status`.
    pub fn propose(&mut self, now: Time, record: Record) -> u64 {
        self.advance_clock(now);
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

    /// Returns the status of a proposed record.
    pub fn proposal_status(&self, ticket: u64) -> ProposalStatus {
        self.outbox.status(ticket)
    }

    /// Withdraws a proposed record. Returns true if the record was never sent, so that it can have
    /// no effect.
    pub fn withdraw(&mut self, ticket: u64) -> bool {
        self.claiming.retain(|_, claiming| *claiming != ticket);
        self.outbox.withdraw(ticket) || self.has_mutation(Mutation::WithdrawSent)
    }

    /// Keeps the local clock monotonic: a time before the latest one is ignored.
    fn advance_clock(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    fn on_answer_applied(&mut self, now: Time, outcome: AnswerOutcome) {
        for entry in &outcome.applied {
            self.on_entry_applied(entry);
        }
        if outcome.snapshot_loaded {
            let last_seq = self.state().last_seq(self.cfg.incarnation);
            if let Some(sent) = self.outbox.on_snapshot_loaded(last_seq) {
                self.on_own_batch_in_snapshot(&sent);
            }
            self.end_applied_holds();
        }
        if outcome.snapshot_loaded || !outcome.applied.is_empty() {
            self.watch.update(now, &self.replica.state().holders);
        }
    }

    fn on_entry_applied(&mut self, entry: &AppliedEntry) {
        for record in &entry.batch.records {
            if let Some(op) = Holds::restrictive_op(record) {
                self.holds.end(op);
            }
        }
        if let Some(sent) = self.outbox.on_entry_applied(entry) {
            self.on_own_batch_applied(&sent, entry);
        }
    }

    fn on_own_batch_applied(&mut self, sent: &InFlightBatch, entry: &AppliedEntry) {
        for (record, outcome) in sent.records.iter().zip(&entry.outcomes) {
            match record {
                Record::Renew { departing, want, .. } => {
                    self.units.extend_lease(sent.sent_at);
                    self.departed = *departing && want.is_empty();
                }
                Record::Claim { ids } => self.settle_claims(entry.offset, ids, outcome),
                Record::JobClaim { job, .. } | Record::JobAdopt { job, .. } => {
                    self.claiming.remove(job);
                }
                _ => {}
            }
        }
    }

    /// Handles an own batch that a loaded snapshot already includes: its `Renew` takes effect, but
    /// the outcomes of the other records remain unknown.
    fn on_own_batch_in_snapshot(&mut self, sent: &InFlightBatch) {
        for record in &sent.records {
            match record {
                Record::Renew { .. } => self.units.extend_lease(sent.sent_at),
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

    fn has_mutation(&self, mutation: Mutation) -> bool {
        self.cfg.mutation == Some(mutation)
    }
}
