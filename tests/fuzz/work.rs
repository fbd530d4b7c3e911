//! What the edge of an instance does with the core, and upstreams that run the work.

use super::Ms;
use super::oracle::{Judged, START_SLACK, fail};
use super::world::{Event, Message, World, local, true_time};
use bytes::Bytes;
use jacinthhook::ids::*;
use jacinthhook::kind::Ran;
use jacinthhook::node::*;
use jacinthhook::protocol::ListedInstance;
use jacinthhook::record::*;
use jacinthhook::state::JobState;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const LATENCY: Ms = 5;
/// How long an upstream is away for its maintenance.
const REBOOT: Ms = 3_000;
/// The list shows a departing upstream after its lag and the time between two lists.
const LIST_SHOWS: Ms = super::platform::LIST_LAG + 1_500;

pub enum Phase {
    AskIssuer,
    WaitClaim(ClaimId),
    /// Waits for a unit and an upstream.
    Queued,
    Running {
        unit: Time,
    },
}

/// A call at its entry instance.
pub struct CallRun {
    pub allowed: AdmittedCall,
    pub idempotent: bool,
    pub phase: Phase,
    pub id: Option<String>,
    pub run_for: Ms,
}

pub enum JobPhase {
    Claiming(u64),
    /// The start was sent at most once; nothing was heard yet.
    Starting(JobStart),
    /// The upstream has it, or may have it.
    Watching,
    /// The upstream said that it never started.
    NotRun,
    Resolving(u64),
}

pub struct JobRun {
    pub phase: JobPhase,
}

pub enum What {
    Request { call: usize, idempotent: bool },
    Job { job: JobId, idempotent: bool, fence: Offset, bad: bool },
}

/// A start on its way to an upstream.
pub struct Start {
    pub from: usize,
    pub life: Incarnation,
    pub upstream: usize,
    pub team: TeamId,
    pub pool: PoolId,
    pub what: What,
    pub start_by: Ms,
    pub deadline: Ms,
    pub run_for: Ms,
    /// Since when its sender heard the platform at the last check.
    pub heard_since: Ms,
}

/// Work that runs at an upstream.
pub struct Exec {
    pub from: usize,
    pub life: Incarnation,
    pub team: TeamId,
    pub what: What,
    pub end: Ms,
}

pub enum Task {
    Running,
    Ended(TaskObservation),
}

pub struct Upstream {
    pub id: InstanceId,
    pub zone: usize,
    pub pool: PoolId,
    pub alive: bool,
    pub departing_at: Option<Ms>,
    /// It finishes its work for a maintenance.
    pub draining: bool,
    pub rebooting: bool,
    /// Offset of the last `DrainStart` that it acted on; an instance that has not read the end of a
    /// drain may tell it again.
    pub drain_fence: Offset,
    pub bad: bool,
    pub execs: BTreeMap<u64, Exec>,
    pub tasks: HashMap<JobId, Task>,
    /// Highest fence of each task that started here.
    pub fences: HashMap<JobId, Offset>,
    idle_since: Ms,
}

impl World {
    pub fn add_upstream(&mut self, zone: usize, pool: PoolId) {
        self.upstreams.push(Upstream {
            id: format!("u{}", self.upstreams.len()).into(),
            zone,
            pool,
            alive: true,
            departing_at: None,
            draining: false,
            rebooting: false,
            drain_fence: 0,
            bad: false,
            execs: BTreeMap::new(),
            tasks: HashMap::new(),
            fences: HashMap::new(),
            idle_since: 0,
        });
    }

    fn upstream_of(&self, id: &InstanceId) -> usize {
        self.upstreams.iter().position(|u| u.id == *id).expect("listed upstreams exist")
    }

    /// A call arrives at an instance.
    pub fn call(&mut self, i: usize, call: Call, key: Option<u8>, run_for: Ms) -> Judged {
        let now = local(i, self.now);
        let Some(node) = self.entries[i].node.as_mut() else { return Ok(()) };
        let Ok(allowed) = node.check_call(now, &call) else { return Ok(()) };
        if let Some(key) = key {
            if allowed.team != super::world::key_team(key) {
                return fail(3, format!("key k{key} stood for {}", allowed.team));
            }
            if self.must_know(i, &format!("key k{key}"), self.heard_since[i]) {
                return fail(3, format!("withdrawn key k{key} works at e{i}"));
            }
        }
        let id = self.calls;
        self.calls += 1;
        let own = (!call.idempotent).then(|| call.request_id.clone()).flatten();
        self.oracle.requests.push(super::oracle::Request {
            team: allowed.team.clone(),
            id: own.clone(),
            starts: 0,
            answer: None,
        });
        let step = self.node(i).begin_request_id(now, &allowed.team, &call);
        let phase = match step {
            RequestIdStep::Run => Phase::Queued,
            RequestIdStep::WaitClaim(claim) => Phase::WaitClaim(claim),
            RequestIdStep::Refuse(refusal) => return self.oracle.on_answer(id, refusal.ran),
            RequestIdStep::AskIssuer { peer_addr } => {
                self.ask_issuer(i, &peer_addr, id, own.clone().unwrap_or_default());
                Phase::AskIssuer
            }
        };
        let run = CallRun { allowed, idempotent: call.idempotent, phase, id: own, run_for };
        self.entries[i].calls.insert(id, run);
        self.tell_waiting(i);
        Ok(())
    }

    fn ask_issuer(&mut self, i: usize, peer_addr: &str, call: usize, id: String) {
        let peer: usize = peer_addr.parse().expect("addresses are numbers");
        let (life, from_life) = (self.entries[peer].life, self.entries[i].life);
        if self.linked(i, peer) {
            let ask = Message::UseId { from: i, from_life, call, id };
            self.post(LATENCY, Event::Deliver(peer, life, ask));
        }
    }

    pub fn issuer_answered(&mut self, i: usize, call: usize, step: RequestIdStep) -> Judged {
        let Some(run) = self.entries[i].calls.get_mut(&call) else { return Ok(()) };
        match step {
            RequestIdStep::Run => run.phase = Phase::Queued,
            RequestIdStep::Refuse(refusal) => return self.answer_call(i, call, refusal.ran),
            RequestIdStep::AskIssuer { .. } | RequestIdStep::WaitClaim(_) => {
                return fail(6, "an issuer neither allowed nor refused an id");
            }
        }
        Ok(())
    }

    fn answer_call(&mut self, i: usize, call: usize, ran: Ran) -> Judged {
        let Some(run) = self.entries[i].calls.remove(&call) else { return Ok(()) };
        let now = local(i, self.now);
        if let Some(id) = &run.id {
            self.node(i).finish_request_id(now, id, ran);
        }
        if let Phase::Running { unit } = run.phase {
            self.node(i).release_unit(now, &run.allowed.team, unit);
        }
        self.oracle.on_answer(call, ran)
    }

    pub fn turn_calls(&mut self, i: usize) -> Judged {
        let now = local(i, self.now);
        let calls: Vec<usize> = self.entries[i].calls.keys().copied().collect();
        for call in calls {
            let run = &self.entries[i].calls[&call];
            let over = now >= run.allowed.deadline;
            match run.phase {
                Phase::Running { unit } if now >= unit => {
                    let not_run = self.disabled.timeout_is_not_run;
                    let ran = if not_run { Ran::NotRun } else { Ran::Unknown };
                    self.answer_call(i, call, ran)?;
                }
                Phase::Running { .. } => {}
                Phase::Queued if over => self.answer_call(i, call, Ran::NotRun)?,
                Phase::AskIssuer | Phase::WaitClaim(_) if over => {
                    self.answer_call(i, call, Ran::Unknown)?;
                }
                Phase::AskIssuer => {}
                Phase::WaitClaim(claim) => self.turn_claim(i, call, claim)?,
                Phase::Queued => self.try_start(i, call)?,
            }
        }
        self.tell_waiting(i);
        Ok(())
    }

    fn turn_claim(&mut self, i: usize, call: usize, claim: ClaimId) -> Judged {
        match self.node(i).claim_status(claim) {
            ProposalStatus::Pending => Ok(()),
            ProposalStatus::Applied(_) => {
                let run = self.entries[i].calls.get_mut(&call).expect("it waits");
                run.phase = Phase::Queued;
                Ok(())
            }
            ProposalStatus::Rejected(..) | ProposalStatus::Unknown => {
                self.answer_call(i, call, Ran::Unknown)
            }
        }
    }

    fn tell_waiting(&mut self, i: usize) {
        for team in ["huts", "counter"] {
            let team: TeamId = team.into();
            let waits = |run: &&CallRun| {
                run.allowed.team == team && !matches!(run.phase, Phase::Running { .. })
            };
            let waiting = self.entries[i].calls.values().filter(waits).count() as u32;
            self.node(i).set_waiting(&team, waiting);
        }
    }

    fn try_start(&mut self, i: usize, call: usize) -> Judged {
        let now = local(i, self.now);
        let run = &self.entries[i].calls[&call];
        let (allowed, idempotent, run_for) = (run.allowed.clone(), run.idempotent, run.run_for);
        let node = self.entries[i].node.as_mut().expect("it has calls");
        let Ok(unit) = node.acquire_unit(now, &allowed.team, allowed.deadline) else {
            return Ok(());
        };
        let upstreams = node.upstreams(now, &allowed.pool);
        let chosen = match upstreams.is_empty() {
            true => None,
            false => Some(&upstreams[self.rng.below(upstreams.len() as u64) as usize]),
        };
        let node = self.entries[i].node.as_mut().expect("it has calls");
        let ok = chosen.filter(|u| node.may_start(now, &allowed, u).is_ok());
        let Some(upstream) = ok else {
            node.release_unit(now, &allowed.team, unit);
            return Ok(());
        };
        let start = Start {
            from: i,
            life: self.entries[i].life,
            upstream: self.upstream_of(&upstream.id),
            team: allowed.team.clone(),
            pool: allowed.pool.clone(),
            what: What::Request { call, idempotent },
            start_by: true_time(i, unit.min(now + START_WINDOW)),
            deadline: true_time(i, unit),
            run_for,
            heard_since: self.heard_since[i],
        };
        self.entries[i].calls.get_mut(&call).expect("it has calls").phase = Phase::Running { unit };
        self.post(LATENCY, Event::Start(Box::new(start)));
        Ok(())
    }

    /// A start reaches its upstream, or the upstream's zone is cut off.
    pub fn start_arrives(&mut self, start: Start) -> Judged {
        let frozen = self.entries[start.from].frozen_until;
        if frozen > self.now && self.entries[start.from].life == start.life {
            // The instance was frozen between its last check and the write.
            self.post(frozen - self.now + LATENCY, Event::Start(Box::new(start)));
            return Ok(());
        }
        if !self.reaches_upstream(start.from, start.upstream) {
            return Ok(());
        }
        let upstream = &self.upstreams[start.upstream];
        let late = self.now > start.start_by && !self.disabled.late_starts;
        if late || !upstream.alive || upstream.draining || upstream.rebooting {
            return self.not_run(start);
        }
        match &start.what {
            What::Request { call, idempotent } => {
                self.oracle.on_request_start(*call, *idempotent)?;
            }
            What::Job { job, idempotent, fence, .. } => {
                if self.refuses_task(start.upstream, job, *fence) {
                    return self.not_run(start);
                }
                self.oracle.on_job_start(job, *idempotent)?;
                let upstream = &mut self.upstreams[start.upstream];
                upstream.fences.insert(job.clone(), *fence);
                upstream.tasks.insert(job.clone(), Task::Running);
                self.task_message(&start, job.clone(), true);
            }
        }
        self.judge_start(&start)?;
        self.oracle.on_running(self.now, &start.team, 1)?;
        self.execute(start);
        Ok(())
    }

    /// The same task runs, or the same or a higher fence came before.
    fn refuses_task(&self, upstream: usize, job: &JobId, fence: Offset) -> bool {
        let upstream = &self.upstreams[upstream];
        let runs = matches!(upstream.tasks.get(job), Some(Task::Running));
        runs || upstream.fences.get(job).is_some_and(|last| fence <= *last)
    }

    fn judge_start(&self, start: &Start) -> Judged {
        let upstream = &self.upstreams[start.upstream];
        self.oracle.on_pool_start(self.now, &upstream.id, &start.pool)?;
        let zone = super::world::ZONES[upstream.zone];
        if self.must_know(start.from, &format!("zone {zone}"), start.heard_since) {
            return fail(5, format!("e{} started work in {zone}, which is out", start.from));
        }
        if self.must_know(start.from, &format!("instance {}", upstream.id), start.heard_since) {
            return fail(9, format!("e{} started work at {}", start.from, upstream.id));
        }
        let heard = start.heard_since;
        let shown = upstream.departing_at.map(|at| at.max(heard) + LIST_SHOWS + START_SLACK);
        if shown.is_some_and(|shown| shown <= self.now) {
            return fail(9, format!("e{} started work at departing {}", start.from, upstream.id));
        }
        Ok(())
    }

    fn execute(&mut self, start: Start) {
        let end = match &start.what {
            What::Request { .. } => (self.now + start.run_for).min(start.deadline),
            What::Job { .. } => self.now + start.run_for,
        };
        self.execs += 1;
        let exec = self.execs;
        let Start { from, life, team, what, upstream, .. } = start;
        let delay = end.saturating_sub(self.now);
        self.upstreams[upstream].execs.insert(exec, Exec { from, life, team, what, end });
        self.post(delay, Event::WorkEnd(upstream, exec));
    }

    fn not_run(&mut self, start: Start) -> Judged {
        match &start.what {
            What::Request { call, .. } => {
                let answer = Message::CallEnd { call: *call, ran: false };
                self.post(LATENCY, Event::Deliver(start.from, start.life, answer));
            }
            What::Job { job, .. } => self.task_message(&start, job.clone(), false),
        }
        Ok(())
    }

    fn task_message(&mut self, start: &Start, job: JobId, started: bool) {
        let answer = Message::TaskAnswer { job, started };
        self.post(LATENCY, Event::Deliver(start.from, start.life, answer));
    }

    pub fn work_ends(&mut self, upstream: usize, exec: u64) -> Judged {
        let Some(exec) = self.upstreams[upstream].execs.remove(&exec) else { return Ok(()) };
        self.upstreams[upstream].idle_since = self.now;
        self.oracle.on_running(self.now, &exec.team, -1)?;
        let bad_instance = self.upstreams[upstream].bad;
        match exec.what {
            What::Request { call, .. } => {
                if self.reaches_upstream(exec.from, upstream) && self.now <= exec.end {
                    let answer = Message::CallEnd { call, ran: true };
                    self.post(LATENCY, Event::Deliver(exec.from, exec.life, answer));
                }
            }
            What::Job { job, bad, .. } => {
                let seen = match bad || bad_instance {
                    true => TaskObservation::Failed("failed".into()),
                    false => TaskObservation::Done(Bytes::from_static(b"done")),
                };
                self.upstreams[upstream].tasks.insert(job, Task::Ended(seen));
            }
        }
        self.drained(upstream)
    }

    pub fn call_ended(&mut self, i: usize, call: usize, ran: bool) -> Judged {
        if ran {
            return self.answer_call(i, call, Ran::Ran);
        }
        let now = local(i, self.now);
        let Some(run) = self.entries[i].calls.get_mut(&call) else { return Ok(()) };
        let phase = std::mem::replace(&mut run.phase, Phase::Queued);
        let team = run.allowed.team.clone();
        if let Phase::Running { unit } = phase {
            self.node(i).release_unit(now, &team, unit);
        }
        Ok(())
    }

    // Jobs.

    pub fn turn_jobs(&mut self, i: usize) -> Judged {
        self.claim_jobs(i);
        let now = local(i, self.now);
        let mine: Vec<JobId> = self.entries[i].jobs.keys().cloned().collect();
        for job in mine {
            let run = self.entries[i].jobs.get_mut(&job).expect("listed");
            match &run.phase {
                JobPhase::Claiming(ticket) => {
                    let ticket = *ticket;
                    self.turn_claiming(i, &job, ticket);
                }
                JobPhase::Starting(start) if now >= Node::start_ruled_out_at(start) => {
                    run.phase = JobPhase::Watching;
                }
                JobPhase::Starting(_) => {}
                JobPhase::NotRun => self.resolve(i, &job, TaskObservation::Unknown),
                JobPhase::Watching => self.watch_job(i, &job),
                JobPhase::Resolving(ticket) => {
                    let ticket = *ticket;
                    if self.node(i).proposal_status(ticket) != ProposalStatus::Pending {
                        self.entries[i].jobs.remove(&job);
                    }
                }
            }
        }
        // Adopted jobs, and claims whose fate was lost in a jump.
        for job in self.node(i).held_jobs() {
            let watching = JobRun { phase: JobPhase::Watching };
            self.entries[i].jobs.entry(job).or_insert(watching);
        }
        Ok(())
    }

    fn claim_jobs(&mut self, i: usize) {
        let now = local(i, self.now);
        for job in self.node(i).pending_jobs().into_iter().take(4) {
            if self.entries[i].jobs.contains_key(&job) || self.rng.below(2) == 0 {
                continue;
            }
            let known = &self.node(i).state().jobs[&job];
            let (attempt, service) = (known.attempt + 1, known.spec.service.clone());
            let Some(pool) = self.node(i).state().config.services.get(&service) else { continue };
            let pool = pool.pool.clone();
            let upstreams: Vec<ListedInstance> = self.node(i).upstreams(now, &pool);
            if upstreams.is_empty() {
                continue;
            }
            let at = self.rng.below(upstreams.len() as u64) as usize;
            let upstream = upstreams[at].id.clone();
            let claim = Record::JobClaim { job: job.clone(), attempt, upstream };
            let ticket = self.node(i).propose(now, claim);
            self.entries[i].jobs.insert(job, JobRun { phase: JobPhase::Claiming(ticket) });
        }
        for job in self.node(i).orphaned_jobs() {
            if self.entries[i].is_due(self.now, format!("adopt {job}")) {
                let attempt = self.node(i).state().jobs[&job].attempt;
                self.node(i).propose(now, Record::JobAdopt { job, attempt });
            }
        }
    }

    fn turn_claiming(&mut self, i: usize, job: &JobId, ticket: u64) {
        let now = local(i, self.now);
        match self.node(i).proposal_status(ticket) {
            ProposalStatus::Pending => return,
            ProposalStatus::Applied(_) => {}
            ProposalStatus::Rejected(..) | ProposalStatus::Unknown => {
                self.entries[i].jobs.remove(job);
                return;
            }
        }
        let phase = match self.node(i).job_start(now, job) {
            Ok(start) => {
                self.send_task(i, job, &start);
                JobPhase::Starting(start)
            }
            Err(_) => JobPhase::NotRun,
        };
        self.entries[i].jobs.insert(job.clone(), JobRun { phase });
    }

    fn send_task(&mut self, i: usize, job: &JobId, start: &JobStart) {
        let spec = self.node(i).state().jobs[job].spec.clone();
        let pool = self.node(i).state().config.services[&spec.service].pool.clone();
        let bad = spec.payload.first() == Some(&1);
        let what =
            What::Job { job: job.clone(), idempotent: spec.idempotent, fence: start.fence, bad };
        let start = Start {
            from: i,
            life: self.entries[i].life,
            upstream: self.upstream_of(&start.upstream),
            team: spec.team,
            pool,
            what,
            start_by: true_time(i, start.start_by),
            deadline: Ms::MAX,
            run_for: spec.declared_ms,
            heard_since: self.heard_since[i],
        };
        self.post(LATENCY, Event::Start(Box::new(start)));
        if let Some(stall) = self.stall.take() {
            self.freeze(i, stall);
        }
    }

    pub fn task_answered(&mut self, i: usize, job: &JobId, started: bool) {
        if let Some(run) = self.entries[i].jobs.get_mut(job)
            && matches!(run.phase, JobPhase::Starting(_))
        {
            run.phase = if started { JobPhase::Watching } else { JobPhase::NotRun };
        }
    }

    /// Asks the upstream of a job that this instance holds.
    fn watch_job(&mut self, i: usize, job: &JobId) {
        let me = self.entries[i].life;
        let Some(known) = self.node(i).state().jobs.get(job) else {
            self.entries[i].jobs.remove(job);
            return;
        };
        let (JobState::Running { holder, upstream, .. }, cancel) = (&known.state, known.cancel)
        else {
            self.entries[i].jobs.remove(job);
            return;
        };
        if *holder != me {
            self.entries[i].jobs.remove(job);
            return;
        }
        let upstream = upstream.clone();
        let gone = self.node(i).state().instances.get(&upstream);
        if gone.is_none_or(|instance| instance.gone_at.is_some()) {
            return self.resolve(i, job, TaskObservation::Gone);
        }
        let at = self.upstream_of(&upstream);
        if !self.reaches_upstream(i, at) || !self.upstreams[at].alive {
            return;
        }
        if cancel {
            self.stop_task(at, job);
        }
        let seen = match self.upstreams[at].tasks.get(job) {
            Some(Task::Running) => return,
            Some(Task::Ended(seen)) => seen.clone(),
            None => TaskObservation::Unknown,
        };
        self.resolve(i, job, seen);
    }

    fn stop_task(&mut self, upstream: usize, job: &JobId) {
        let is_it = |exec: &Exec| matches!(&exec.what, What::Job { job: id, .. } if id == job);
        let execs = &self.upstreams[upstream].execs;
        let Some(exec) = execs.iter().find(|(_, e)| is_it(e)).map(|(id, _)| *id) else { return };
        if let Some(exec) = self.upstreams[upstream].execs.remove(&exec) {
            self.upstreams[upstream]
                .tasks
                .insert(job.clone(), Task::Ended(TaskObservation::Stopped));
            self.upstreams[upstream].idle_since = self.now;
            let ended = self.oracle.on_running(self.now, &exec.team, -1);
            ended.and_then(|()| self.drained(upstream)).expect("an end breaks no limit");
        }
    }

    fn resolve(&mut self, i: usize, job: &JobId, seen: TaskObservation) {
        let now = local(i, self.now);
        let record = self.node(i).resolve_job(job, seen);
        let phase = match record {
            Some(record) => JobPhase::Resolving(self.node(i).propose(now, record)),
            None => JobPhase::Watching,
        };
        self.entries[i].jobs.insert(job.clone(), JobRun { phase });
    }

    // Maintenance, moves, loss of upstreams.

    pub fn turn_maintenance(&mut self, i: usize) -> Judged {
        let now = local(i, self.now);
        if !self.node(i).has_view() {
            return Ok(());
        }
        let state = self.node(i).state();
        let draining: Vec<(InstanceId, Offset)> = state
            .instances
            .iter()
            .filter_map(|(id, known)| known.draining.map(|(_, at)| (id.clone(), at)))
            .collect();
        let moving: Vec<(InstanceId, Offset)> = state
            .instances
            .iter()
            .filter_map(|(id, known)| known.moving.as_ref().map(|(_, at)| (id.clone(), *at)))
            .collect();
        for (id, fence) in draining {
            let at = self.upstream_of(&id);
            let known = &self.upstreams[at];
            let busy = known.draining || known.rebooting;
            if known.drain_fence >= fence && !busy || !known.alive {
                if self.entries[i].is_due(self.now, format!("drain end {id}")) {
                    self.node(i).propose(
                        now,
                        Record::DrainEnd { instance: id, started: fence, done: true },
                    );
                }
            } else if self.reaches_upstream(i, at) {
                self.drain(at, fence)?;
            }
        }
        for (id, started) in moving {
            let at = self.upstream_of(&id);
            let known = &self.upstreams[at];
            let idle = known.execs.is_empty() && known.idle_since + 2_000 <= self.now;
            if idle && self.entries[i].is_due(self.now, format!("move end {id}")) {
                self.node(i).propose(now, Record::MoveEnd { instance: id, started });
            }
        }
        Ok(())
    }

    /// Tells an upstream to finish its work and reboot.
    pub fn drain(&mut self, at: usize, fence: Offset) -> Judged {
        let upstream = &mut self.upstreams[at];
        let busy = upstream.draining || upstream.rebooting;
        if !upstream.alive || busy || fence <= upstream.drain_fence {
            return Ok(());
        }
        upstream.drain_fence = fence;
        upstream.draining = true;
        let id = upstream.id.clone();
        self.oracle.on_planned(&id, true)?;
        self.drained(at)
    }

    fn drained(&mut self, at: usize) -> Judged {
        let upstream = &mut self.upstreams[at];
        if upstream.draining && !upstream.rebooting && upstream.execs.is_empty() {
            upstream.rebooting = true;
            self.post(REBOOT, Event::Rebooted(at));
        }
        Ok(())
    }

    pub fn rebooted(&mut self, at: usize) -> Judged {
        let upstream = &mut self.upstreams[at];
        upstream.draining = false;
        upstream.rebooting = false;
        let id = upstream.id.clone();
        self.oracle.on_planned(&id, false)
    }

    pub fn upstream_dies(&mut self, at: usize) -> Judged {
        let upstream = &mut self.upstreams[at];
        upstream.alive = false;
        let execs = std::mem::take(&mut upstream.execs);
        let id = upstream.id.clone();
        for exec in execs.values() {
            self.oracle.on_running(self.now, &exec.team, -1)?;
        }
        self.list_changed();
        self.oracle.on_planned(&id, false)
    }

    pub fn may_kill_upstream(&self, at: usize) -> bool {
        let pool = &self.upstreams[at].pool;
        self.upstreams[at].alive
            && self.upstreams.iter().filter(|u| u.alive && u.pool == *pool).count() > 2
    }
}

/// A call of a run.
pub fn call(service: &str, key: Option<u8>, request_id: Option<String>) -> Call {
    Call {
        service: service.into(),
        key: key.map(|key| Bytes::from(format!("k{key}.secret"))),
        class: None,
        deadline: Some(Duration::from_secs(6)),
        idempotent: false,
        request_id,
    }
}
