//! Checks the invariants of a run. The oracle applies each log entry when it is appended and observes
//! every start in true time. It shares no state with the instances, only the code that applies entries.

use super::Ms;
use jacinthhook::ids::*;
use jacinthhook::kind::Ran;
use jacinthhook::node::{Node, ProposalStatus};
use jacinthhook::record::*;
use jacinthhook::state::{ApplyOutcome, State};
use std::collections::{HashMap, HashSet};

/// Time within which a command must be in force at every instance that can learn of it. The
/// requirement says "within seconds".
pub const IN_FORCE_TIMEOUT: Ms = 4_000;
/// Longest delay of a start at an upstream whose instance checked it before it read a command.
pub const START_SLACK: Ms = 1_500;
/// Time after a limit is lowered until all work admitted under the old limit has ended.
const LOWERED_LIMIT_GRACE: Ms = 45_000;

pub type CheckResult = Result<(), String>;

/// A request, its starts and the answer that its caller received.
pub struct Request {
    pub team: TeamId,
    /// Requests of one team with the same id are the same operation and may start once in all.
    pub id: Option<String>,
    pub starts: u32,
    pub answer: Option<Ran>,
}

/// A record that was proposed at an instance, with the last status that the instance reported.
pub struct Proposal {
    pub node: usize,
    pub incarnation: Incarnation,
    pub ticket: u64,
    pub record: Record,
    pub last_status: Option<ProposalStatus>,
}

#[derive(Default)]
pub struct Oracle {
    pub state: State,
    pub entries: Vec<(Batch, Vec<ApplyOutcome>)>,
    pub requests: Vec<Request>,
    pub proposals: Vec<Proposal>,
    /// Jobs whose submission was withdrawn before it was sent to the log.
    pub withdrawn_jobs: Vec<JobId>,
    job_starts: HashMap<JobId, u32>,
    starts_by_request_id: HashMap<(TeamId, String), u32>,
    running: HashMap<TeamId, u32>,
    limit_history: HashMap<TeamId, Vec<(Ms, u32)>>,
    /// Since when the log restricts a key, zone or instance (such as `zone hobart`).
    pub restricted_since: HashMap<String, Ms>,
    /// Since when a hold restricts a key, zone or instance, and the index and incarnation of the instance
    /// on which the hold was placed.
    pub hold_since: HashMap<String, (Ms, usize, Incarnation)>,
    pool_since: HashMap<InstanceId, Ms>,
    last_offsets: HashMap<Incarnation, Offset>,
    planned_stops: HashSet<InstanceId>,
}

/// Returns the error for a violated invariant; `point` is its number.
pub fn violation<T>(point: u8, text: impl std::fmt::Display) -> Result<T, String> {
    Err(format!("point {point}: {text}"))
}

impl Oracle {
    /// Applies an entry when it is appended to the log.
    pub fn on_append(&mut self, now: Ms, offset: Offset, bytes: &[u8]) {
        let batch = decode(bytes).expect("appended entries should decode");
        let pools: HashMap<InstanceId, PoolId> =
            self.state.instances.iter().map(|(id, i)| (id.clone(), i.pool.clone())).collect();
        let outcomes = self.state.apply(offset, &batch);
        for (record, outcome) in batch.records.iter().zip(&outcomes) {
            if *outcome == ApplyOutcome::Applied {
                self.on_applied(now, record);
            }
        }
        for (id, instance) in &self.state.instances {
            if pools.get(id).is_some_and(|pool| *pool != instance.pool) {
                self.pool_since.insert(id.clone(), now);
            }
        }
        self.update_restricted(now);
        self.entries.push((batch, outcomes));
    }

    fn on_applied(&mut self, now: Ms, record: &Record) {
        match record {
            Record::Publish { .. } => {
                for (team, declared) in &self.state.config.teams {
                    self.limit_history.entry(team.clone()).or_default().push((now, declared.limit));
                }
            }
            Record::KeyWithdraw { key, .. } => {
                self.restricted_since.entry(format!("key {key}")).or_insert(now);
                self.hold_since.remove(&format!("key {key}"));
            }
            Record::ZoneOut { zone, .. } => drop(self.hold_since.remove(&format!("zone {zone}"))),
            Record::InstanceOut { instance, .. } => {
                self.hold_since.remove(&format!("instance {instance}"));
            }
            _ => {}
        }
    }

    /// Updates `restricted_since` for zones and instances from the state.
    fn update_restricted(&mut self, now: Ms) {
        let state = &self.state;
        let zones = state.zones_out.keys().map(|zone| format!("zone {zone}"));
        let closed = state.instances.iter().filter(|(id, i)| {
            state.instances_out.contains_key(*id) || i.draining.is_some() || i.moving.is_some()
        });
        let closed: HashSet<String> =
            zones.chain(closed.map(|(id, _)| format!("instance {id}"))).collect();
        self.restricted_since
            .retain(|subject, _| subject.starts_with("key ") || closed.contains(subject));
        for subject in closed {
            self.restricted_since.entry(subject).or_insert(now);
        }
    }

    /// Counts the start of a request at an upstream.
    pub fn on_request_start(&mut self, request: usize, idempotent: bool) -> CheckResult {
        let known = &mut self.requests[request];
        known.starts += 1;
        if known.answer == Some(Ran::NotRun) {
            return violation(7, format!("request {request} started after the answer not_run"));
        }
        if idempotent {
            return Ok(());
        }
        if known.starts > 1 {
            return violation(8, format!("request {request} started {} times", known.starts));
        }
        let Some(id) = &known.id else { return Ok(()) };
        let starts = self.starts_by_request_id.entry((known.team.clone(), id.clone())).or_insert(0);
        *starts += 1;
        if *starts > 1 {
            return violation(8, format!("request id {id:?} started {starts} times"));
        }
        Ok(())
    }

    pub fn on_answer(&mut self, request: usize, ran: Ran) -> CheckResult {
        let known = &mut self.requests[request];
        if known.answer.replace(ran).is_some() {
            return violation(6, format!("request {request} was answered twice"));
        }
        if ran == Ran::NotRun && known.starts > 0 {
            return violation(7, format!("request {request} ran but was answered not_run"));
        }
        Ok(())
    }

    pub fn on_job_start(&mut self, job: &JobId, idempotent: bool) -> CheckResult {
        let starts = self.job_starts.entry(job.clone()).or_insert(0);
        *starts += 1;
        if *starts > 1 && !idempotent {
            return violation(8, format!("job {job} started {starts} times"));
        }
        Ok(())
    }

    /// Counts work of a team that started (+1) or ended (-1) at an upstream.
    pub fn on_running(&mut self, now: Ms, team: &TeamId, change: i32) -> CheckResult {
        let running = self.running.entry(team.clone()).or_insert(0);
        *running = running.saturating_add_signed(change);
        let history = self.limit_history.get(team).map_or(&[][..], |h| h);
        let mut limit = 0;
        for (i, (_, value)) in history.iter().enumerate() {
            let until = history.get(i + 1).map_or(Ms::MAX, |(at, _)| at + LOWERED_LIMIT_GRACE);
            limit = if until >= now { limit.max(*value) } else { limit };
        }
        if change > 0 && *running > limit {
            return violation(4, format!("team {team} has {running} running, limit {limit}"));
        }
        Ok(())
    }

    /// Checks that work of a pool is started at an upstream of that pool.
    pub fn on_pool_start(&self, now: Ms, upstream: &InstanceId, pool: &PoolId) -> CheckResult {
        let Some(instance) = self.state.instances.get(upstream) else { return Ok(()) };
        let since = self.pool_since.get(upstream).copied().unwrap_or(0);
        if instance.pool != *pool && now > since + START_SLACK {
            return violation(
                2,
                format!("{upstream} is in pool {} and received work of pool {pool}", instance.pool),
            );
        }
        Ok(())
    }

    /// Counts a planned stop of an upstream that began or ended, and checks the pool's budget.
    pub fn on_planned_stop(&mut self, upstream: &InstanceId, down: bool) -> CheckResult {
        if !down {
            self.planned_stops.remove(upstream);
            return Ok(());
        }
        let state = &self.state;
        let Some(instance) = state.instances.get(upstream) else { return Ok(()) };
        self.planned_stops.insert(upstream.clone());
        // Upstreams in a zone that is out of service count too: the zone may return to service before
        // their drain ends.
        let in_pool = state.instances.iter().filter(|(_, i)| i.pool == instance.pool);
        let down =
            in_pool.filter(|(id, i)| self.planned_stops.contains(*id) && i.gone_at.is_none());
        let down = down.count() as u32;
        // The pool may have shrunk since the drain was allowed, which can lower the budget to 0. No pool
        // of these runs has a budget above 1, so 1 is a valid minimum.
        let allowed = state.pool_budget(&instance.pool).map_or(u32::MAX, |budget| budget.max(1));
        if instance.gone_at.is_none() && down > allowed {
            return violation(
                1,
                format!(
                    "{down} upstreams of pool {} are stopped, allowed {allowed}",
                    instance.pool
                ),
            );
        }
        Ok(())
    }

    /// Checks that an instance's state matches the log: its offset never decreases, equal offsets have
    /// equal digests, and an instance that has reached the platform long enough is at `old_next` or later.
    pub fn check_node(
        &mut self,
        node: &Node,
        platform_ok_since: Ms,
        now: Ms,
        old_next: Offset,
    ) -> CheckResult {
        let id = node.config().incarnation;
        let next = node.state().next();
        if self.last_offsets.insert(id, next).is_some_and(|last| next < last) {
            return violation(
                11,
                format!("the offset of {} decreased to {next}", node.config().id),
            );
        }
        if next == self.state.next() && node.state().digest() != self.state.digest() {
            return violation(
                11,
                format!("the state of {} differs at offset {next}", node.config().id),
            );
        }
        if platform_ok_since + IN_FORCE_TIMEOUT <= now && node.has_view() && next < old_next {
            return violation(
                11,
                format!("{} is at offset {next}, behind {old_next}", node.config().id),
            );
        }
        Ok(())
    }

    /// Checks that the status reported for a proposal is the outcome in the log.
    pub fn check_proposal_status(
        &self,
        proposal: &Proposal,
        status: &ProposalStatus,
    ) -> CheckResult {
        // A batch may contain equal records with different outcomes, so any match is accepted.
        let has = |offset: &Offset, rejected: bool| {
            let entry = self.entries.get(*offset as usize);
            entry.is_some_and(|(batch, outcomes)| {
                let mut pairs = batch.records.iter().zip(outcomes);
                batch.incarnation == proposal.incarnation
                    && pairs.any(|(record, outcome)| {
                        *record == proposal.record
                            && matches!(outcome, ApplyOutcome::Rejected(_)) == rejected
                    })
            })
        };
        match status {
            ProposalStatus::Rejected(0, _) | ProposalStatus::Pending | ProposalStatus::Unknown => {
                Ok(())
            }
            ProposalStatus::Applied(offset) if has(offset, false) => Ok(()),
            ProposalStatus::Rejected(offset, _) if has(offset, true) => Ok(()),
            ProposalStatus::Applied(_) | ProposalStatus::Rejected(..) => {
                violation(6, format!("reported {status:?} for {:?}", proposal.record))
            }
        }
    }

    /// Checks that no job whose submission was withdrawn is in the log.
    pub fn check_withdrawn(&self) -> CheckResult {
        match self.withdrawn_jobs.iter().find(|job| self.state.jobs.contains_key(*job)) {
            Some(job) => {
                violation(7, format!("job {job} was refused as not run but is in the log"))
            }
            None => Ok(()),
        }
    }
}
