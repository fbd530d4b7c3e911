//! Judges a run. It folds the log itself at the moment of each append and sees every start in true
//! time; it shares nothing with the instances but the fold.

use super::Ms;
use jacinthhook::ids::*;
use jacinthhook::kind::Ran;
use jacinthhook::node::{Node, ProposalStatus};
use jacinthhook::record::*;
use jacinthhook::state::{ApplyOutcome, State};
use std::collections::{HashMap, HashSet};

/// "Within seconds": time for a command to be in force where it was heard.
pub const IN_FORCE: Ms = 4_000;
/// A start that was checked before a command was read may still come this much later.
pub const START_SLACK: Ms = 1_500;
/// Work admitted under a limit that was lowered since has ended by then.
const LOWERED: Ms = 45_000;

pub type Judged = Result<(), String>;

/// A request as its caller knows it.
pub struct Request {
    pub team: TeamId,
    /// Requests with the same text are the same business.
    pub id: Option<String>,
    pub starts: u32,
    pub answer: Option<Ran>,
}

/// A record whose fate somebody was told.
pub struct Ticket {
    pub node: usize,
    pub incarnation: Incarnation,
    pub ticket: u64,
    pub record: Record,
    pub told: Option<ProposalStatus>,
}

#[derive(Default)]
pub struct Oracle {
    pub state: State,
    pub entries: Vec<(Batch, Vec<ApplyOutcome>)>,
    pub requests: Vec<Request>,
    pub tickets: Vec<Ticket>,
    /// Jobs whose submit was surely never sent.
    pub withdrawn_jobs: Vec<JobId>,
    job_starts: HashMap<JobId, u32>,
    business: HashMap<(TeamId, String), u32>,
    running: HashMap<TeamId, u32>,
    limits: HashMap<TeamId, Vec<(Ms, u32)>>,
    /// When a key, zone or instance was withdrawn or taken out by the log.
    pub out_since: HashMap<String, Ms>,
    /// The same by a hold, and the instance and incarnation that has it.
    pub held_since: HashMap<String, (Ms, usize, Incarnation)>,
    pool_since: HashMap<InstanceId, Ms>,
    last_next: HashMap<Incarnation, Offset>,
    planned_down: HashSet<InstanceId>,
}

pub fn fail<T>(point: u8, text: impl std::fmt::Display) -> Result<T, String> {
    Err(format!("point {point}: {text}"))
}

impl Oracle {
    /// Folds an entry at the moment of its append.
    pub fn on_append(&mut self, now: Ms, offset: Offset, bytes: &[u8]) {
        let batch = decode(bytes).expect("instances append what decodes");
        let pools: HashMap<InstanceId, PoolId> =
            self.state.instances.iter().map(|(id, i)| (id.clone(), i.pool.clone())).collect();
        let outcomes = self.state.apply(offset, &batch);
        for (record, verdict) in batch.records.iter().zip(&outcomes) {
            if *verdict == ApplyOutcome::Applied {
                self.note(now, record);
            }
        }
        for (id, instance) in &self.state.instances {
            if pools.get(id).is_some_and(|pool| *pool != instance.pool) {
                self.pool_since.insert(id.clone(), now);
            }
        }
        self.note_closed(now);
        self.entries.push((batch, outcomes));
    }

    fn note(&mut self, now: Ms, record: &Record) {
        match record {
            Record::Publish { .. } => {
                for (team, declared) in &self.state.config.teams {
                    self.limits.entry(team.clone()).or_default().push((now, declared.limit));
                }
            }
            Record::KeyWithdraw { key, .. } => {
                self.out_since.entry(format!("key {key}")).or_insert(now);
                self.held_since.remove(&format!("key {key}"));
            }
            Record::ZoneOut { zone, .. } => drop(self.held_since.remove(&format!("zone {zone}"))),
            Record::InstanceOut { instance, .. } => {
                self.held_since.remove(&format!("instance {instance}"));
            }
            _ => {}
        }
    }

    /// Keeps `out_since` of zones and instances in step with the state.
    fn note_closed(&mut self, now: Ms) {
        let state = &self.state;
        let zones = state.zones_out.keys().map(|zone| format!("zone {zone}"));
        let closed = state.instances.iter().filter(|(id, i)| {
            state.instances_out.contains_key(*id) || i.draining.is_some() || i.moving.is_some()
        });
        let closed: HashSet<String> =
            zones.chain(closed.map(|(id, _)| format!("instance {id}"))).collect();
        self.out_since.retain(|what, _| what.starts_with("key ") || closed.contains(what));
        for what in closed {
            self.out_since.entry(what).or_insert(now);
        }
    }

    /// A start of a request at an upstream.
    pub fn on_request_start(&mut self, request: usize, idempotent: bool) -> Judged {
        let known = &mut self.requests[request];
        known.starts += 1;
        if known.answer == Some(Ran::NotRun) {
            return fail(7, format!("request {request} started after the answer not_run"));
        }
        if idempotent {
            return Ok(());
        }
        if known.starts > 1 {
            return fail(8, format!("request {request} started {} times", known.starts));
        }
        let Some(id) = &known.id else { return Ok(()) };
        let starts = self.business.entry((known.team.clone(), id.clone())).or_insert(0);
        *starts += 1;
        if *starts > 1 {
            return fail(8, format!("request id {id:?} started {starts} times"));
        }
        Ok(())
    }

    pub fn on_answer(&mut self, request: usize, ran: Ran) -> Judged {
        let known = &mut self.requests[request];
        if known.answer.replace(ran).is_some() {
            return fail(6, format!("request {request} was answered twice"));
        }
        if ran == Ran::NotRun && known.starts > 0 {
            return fail(7, format!("request {request} ran and was answered not_run"));
        }
        Ok(())
    }

    pub fn on_job_start(&mut self, job: &JobId, idempotent: bool) -> Judged {
        let starts = self.job_starts.entry(job.clone()).or_insert(0);
        *starts += 1;
        if *starts > 1 && !idempotent {
            return fail(8, format!("job {job} started {starts} times"));
        }
        Ok(())
    }

    /// Work of a team began (+1) or ended (-1) at an upstream.
    pub fn on_running(&mut self, now: Ms, team: &TeamId, change: i32) -> Judged {
        let running = self.running.entry(team.clone()).or_insert(0);
        *running = running.saturating_add_signed(change);
        let history = self.limits.get(team).map_or(&[][..], |h| h);
        let mut limit = 0;
        for (i, (_, value)) in history.iter().enumerate() {
            let until = history.get(i + 1).map_or(Ms::MAX, |(at, _)| at + LOWERED);
            limit = if until >= now { limit.max(*value) } else { limit };
        }
        if change > 0 && *running > limit {
            return fail(4, format!("team {team} has {running} running, limit {limit}"));
        }
        Ok(())
    }

    /// A start of work of a pool: the instance is in that pool and no other.
    pub fn on_pool_start(&self, now: Ms, upstream: &InstanceId, pool: &PoolId) -> Judged {
        let Some(instance) = self.state.instances.get(upstream) else { return Ok(()) };
        let since = self.pool_since.get(upstream).copied().unwrap_or(0);
        if instance.pool != *pool && now > since + START_SLACK {
            return fail(2, format!("{upstream} is in {} and got work of {pool}", instance.pool));
        }
        Ok(())
    }

    /// A planned stop of an upstream began or ended.
    pub fn on_planned(&mut self, upstream: &InstanceId, down: bool) -> Judged {
        if !down {
            self.planned_down.remove(upstream);
            return Ok(());
        }
        let state = &self.state;
        let Some(instance) = state.instances.get(upstream) else { return Ok(()) };
        self.planned_down.insert(upstream.clone());
        // Those in a zone that is out count too, since it may come back before their drain ends.
        let in_pool = state.instances.iter().filter(|(_, i)| i.pool == instance.pool);
        let down = in_pool.filter(|(id, i)| self.planned_down.contains(*id) && i.gone_at.is_none());
        let down = down.count() as u32;
        // The pool may have shrunk since the drain was allowed, but one at a time is the most that
        // the budget of any pool in these runs allows.
        let allowed = state.pool_budget(&instance.pool).map_or(u32::MAX, |budget| budget.max(1));
        if instance.gone_at.is_none() && down > allowed {
            return fail(1, format!("{down} of {} down, allowed {allowed}", instance.pool));
        }
        Ok(())
    }

    /// What an instance may not know differently from the log.
    pub fn check_node(
        &mut self,
        node: &Node,
        heard_since: Ms,
        now: Ms,
        old_next: Offset,
    ) -> Judged {
        let id = node.config().incarnation;
        let next = node.state().next();
        if self.last_next.insert(id, next).is_some_and(|last| next < last) {
            return fail(11, format!("{} went back to {next}", node.config().id));
        }
        if next == self.state.next() && node.state().digest() != self.state.digest() {
            return fail(11, format!("{} differs at offset {next}", node.config().id));
        }
        if heard_since + IN_FORCE <= now && node.has_view() && next < old_next {
            return fail(11, format!("{} is at {next}, not {old_next}", node.config().id));
        }
        Ok(())
    }

    /// The fate that somebody was told is what the log says.
    pub fn check_fate(&self, ticket: &Ticket, fate: &ProposalStatus) -> Judged {
        // Two equal records of one batch may have different outcomes.
        let has = |offset: &Offset, rejected: bool| {
            let entry = self.entries.get(*offset as usize);
            entry.is_some_and(|(batch, outcomes)| {
                let mut pairs = batch.records.iter().zip(outcomes);
                batch.incarnation == ticket.incarnation
                    && pairs.any(|(record, verdict)| {
                        *record == ticket.record
                            && matches!(verdict, ApplyOutcome::Rejected(_)) == rejected
                    })
            })
        };
        match fate {
            ProposalStatus::Rejected(0, _) | ProposalStatus::Pending | ProposalStatus::Unknown => {
                Ok(())
            }
            ProposalStatus::Applied(offset) if has(offset, false) => Ok(()),
            ProposalStatus::Rejected(offset, _) if has(offset, true) => Ok(()),
            ProposalStatus::Applied(_) | ProposalStatus::Rejected(..) => {
                fail(6, format!("told {fate:?} for {:?}", ticket.record))
            }
        }
    }

    /// Jobs that were refused as never sent are not in the log.
    pub fn check_withdrawn(&self) -> Judged {
        match self.withdrawn_jobs.iter().find(|job| self.state.jobs.contains_key(*job)) {
            Some(job) => fail(7, format!("job {job} was refused as not run and is in the log")),
            None => Ok(()),
        }
    }
}
