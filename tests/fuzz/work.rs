//! Simulates the layer around an instance's state machine that handles calls, jobs and maintenance, and
//! the upstreams that run the work.

use super::Ms;
use super::oracle::{CheckResult, START_SLACK, violation};
use super::world::{Event, Message, World, local_time, true_time};
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
/// Time that an upstream needs to reboot for maintenance.
const REBOOT_TIME: Ms = 3_000;
/// Time until an instance sees in the list that an upstream departs: the lag of the list and the
/// interval between two reads of it.
const DEPARTURE_VISIBLE_AFTER: Ms = super::platform::LIST_LAG + 1_500;

pub enum CallPhase {
    AskIssuer,
    WaitClaim(ClaimId),
    /// The call waits for a unit and an upstream.
    Queued,
    Running {
        unit: Time,
    },
}

/// The progress of a call at its entry instance.
pub struct CallRun {
    pub admitted: AdmittedCall,
    pub idempotent: bool,
    pub phase: CallPhase,
    pub id: Option<String>,
    pub run_for: Ms,
}

pub enum JobPhase {
    Claiming(u64),
    /// The start was sent at most once and the upstream has not answered yet.
    Starting(JobStart),
    /// The upstream runs the job or may run it; its state is polled.
    Watching,
    /// The job was not started: the upstream refused it, or its start was not sent.
    NotRun,
    Resolving(u64),
}

pub struct JobRun {
    pub phase: JobPhase,
}

pub enum Work {
    Request { call: usize, idempotent: bool },
    Job { job: JobId, idempotent: bool, fence: Offset, fails: bool },
}

/// A start request in flight to an upstream.
pub struct Start {
    pub from: usize,
    pub incarnation: Incarnation,
    pub upstream: usize,
    pub team: TeamId,
    pub pool: PoolId,
    pub work: Work,
    pub start_by: Ms,
    pub deadline: Ms,
    pub run_for: Ms,
    /// The sender's `platform_ok_since` when it last checked the start.
    pub platform_ok_since: Ms,
}

/// Work that an upstream is running.
pub struct Exec {
    pub from: usize,
    pub incarnation: Incarnation,
    pub team: TeamId,
    pub work: Work,
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
    /// Whether the upstream finishes its work before maintenance.
    pub draining: bool,
    pub rebooting: bool,
    /// Offset of the last `DrainStart` that the upstream has handled. An instance that has not read the
    /// end of a drain may send it again, and the upstream must ignore the repetition.
    pub drain_fence: Offset,
    pub fails: bool,
    pub execs: BTreeMap<u64, Exec>,
    pub tasks: HashMap<JobId, Task>,
    /// Highest fencing token of each task that started at this upstream.
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
            fails: false,
            execs: BTreeMap::new(),
            tasks: HashMap::new(),
            fences: HashMap::new(),
            idle_since: 0,
        });
    }

    fn upstream_of(&self, id: &InstanceId) -> usize {
        self.upstreams.iter().position(|u| u.id == *id).expect("listed upstreams should exist")
    }

    /// Handles a call that arrives at an instance.
    pub fn call(&mut self, i: usize, call: Call, key: Option<u8>, run_for: Ms) -> CheckResult {
        let now = local_time(i, self.now);
        let Some(node) = self.entries[i].node.as_mut() else { return Ok(()) };
        let Ok(admitted) = node.check_call(now, &call) else { return Ok(()) };
        if let Some(key) = key {
            if admitted.team != super::world::key_team(key) {
                return violation(3, format!("key k{key} was mapped to team {}", admitted.team));
            }
            if self.must_enforce(i, &format!("key k{key}"), self.platform_ok_since[i]) {
                return violation(3, format!("withdrawn key k{key} is accepted at e{i}"));
            }
        }
        let id = self.call_count;
        self.call_count += 1;
        let own_id = (!call.idempotent).then(|| call.request_id.clone()).flatten();
        self.oracle.requests.push(super::oracle::Request {
            team: admitted.team.clone(),
            id: own_id.clone(),
            starts: 0,
            answer: None,
        });
        let step = self.node(i).begin_request_id(now, &admitted.team, &call);
        let phase = match step {
            RequestIdStep::Run => CallPhase::Queued,
            RequestIdStep::WaitClaim(claim) => CallPhase::WaitClaim(claim),
            RequestIdStep::Refuse(refusal) => return self.oracle.on_answer(id, refusal.ran),
            RequestIdStep::AskIssuer { peer_addr } => {
                self.ask_issuer(i, &peer_addr, id, own_id.clone().unwrap_or_default());
                CallPhase::AskIssuer
            }
        };
        let run = CallRun { admitted, idempotent: call.idempotent, phase, id: own_id, run_for };
        self.entries[i].calls.insert(id, run);
        self.report_waiting(i);
        Ok(())
    }

    fn ask_issuer(&mut self, i: usize, peer_addr: &str, call: usize, id: String) {
        let peer: usize = peer_addr.parse().expect("peer addresses should be indices");
        let (incarnation, from_incarnation) =
            (self.entries[peer].incarnation, self.entries[i].incarnation);
        if self.linked(i, peer) {
            let ask = Message::UseId { from: i, from_incarnation, call, id };
            self.schedule(LATENCY, Event::Deliver(peer, incarnation, ask));
        }
    }

    pub fn on_issuer_answer(&mut self, i: usize, call: usize, step: RequestIdStep) -> CheckResult {
        let Some(run) = self.entries[i].calls.get_mut(&call) else { return Ok(()) };
        match step {
            RequestIdStep::Run => run.phase = CallPhase::Queued,
            RequestIdStep::Refuse(refusal) => return self.answer_call(i, call, refusal.ran),
            RequestIdStep::AskIssuer { .. } | RequestIdStep::WaitClaim(_) => {
                return violation(6, "an issuer neither admitted nor refused a request id");
            }
        }
        Ok(())
    }

    fn answer_call(&mut self, i: usize, call: usize, ran: Ran) -> CheckResult {
        let Some(run) = self.entries[i].calls.remove(&call) else { return Ok(()) };
        let now = local_time(i, self.now);
        if let Some(id) = &run.id {
            self.node(i).finish_request_id(now, id, ran);
        }
        if let CallPhase::Running { unit } = run.phase {
            self.node(i).release_unit(now, &run.admitted.team, unit);
        }
        self.oracle.on_answer(call, ran)
    }

    pub fn drive_calls(&mut self, i: usize) -> CheckResult {
        let now = local_time(i, self.now);
        let calls: Vec<usize> = self.entries[i].calls.keys().copied().collect();
        for call in calls {
            let run = &self.entries[i].calls[&call];
            let expired = now >= run.admitted.deadline;
            match run.phase {
                CallPhase::Running { unit } if now >= unit => {
                    let not_run = self.disabled.timeout_is_not_run;
                    let ran = if not_run { Ran::NotRun } else { Ran::Unknown };
                    self.answer_call(i, call, ran)?;
                }
                CallPhase::Running { .. } => {}
                CallPhase::Queued if expired => self.answer_call(i, call, Ran::NotRun)?,
                CallPhase::AskIssuer | CallPhase::WaitClaim(_) if expired => {
                    self.answer_call(i, call, Ran::Unknown)?;
                }
                CallPhase::AskIssuer => {}
                CallPhase::WaitClaim(claim) => self.drive_claim(i, call, claim)?,
                CallPhase::Queued => self.try_start(i, call)?,
            }
        }
        self.report_waiting(i);
        Ok(())
    }

    fn drive_claim(&mut self, i: usize, call: usize, claim: ClaimId) -> CheckResult {
        match self.node(i).claim_status(claim) {
            ProposalStatus::Pending => Ok(()),
            ProposalStatus::Applied(_) => {
                let run = self.entries[i].calls.get_mut(&call).expect("the call should be waiting");
                run.phase = CallPhase::Queued;
                Ok(())
            }
            ProposalStatus::Rejected(..) | ProposalStatus::Unknown => {
                self.answer_call(i, call, Ran::Unknown)
            }
        }
    }

    fn report_waiting(&mut self, i: usize) {
        for team in ["huts", "counter"] {
            let team: TeamId = team.into();
            let waits = |run: &&CallRun| {
                run.admitted.team == team && !matches!(run.phase, CallPhase::Running { .. })
            };
            let waiting = self.entries[i].calls.values().filter(waits).count() as u32;
            self.node(i).set_waiting(&team, waiting);
        }
    }

    fn try_start(&mut self, i: usize, call: usize) -> CheckResult {
        let now = local_time(i, self.now);
        let run = &self.entries[i].calls[&call];
        let (admitted, idempotent, run_for) = (run.admitted.clone(), run.idempotent, run.run_for);
        let node = self.entries[i].node.as_mut().expect("the call should be known");
        let Ok(unit) = node.acquire_unit(now, &admitted.team, admitted.deadline) else {
            return Ok(());
        };
        let upstreams = node.upstreams(now, &admitted.pool);
        let chosen = match upstreams.is_empty() {
            true => None,
            false => Some(&upstreams[self.rng.below(upstreams.len() as u64) as usize]),
        };
        let node = self.entries[i].node.as_mut().expect("the call should be known");
        let ok = chosen.filter(|u| node.may_start(now, &admitted, u).is_ok());
        let Some(upstream) = ok else {
            node.release_unit(now, &admitted.team, unit);
            return Ok(());
        };
        let start = Start {
            from: i,
            incarnation: self.entries[i].incarnation,
            upstream: self.upstream_of(&upstream.id),
            team: admitted.team.clone(),
            pool: admitted.pool.clone(),
            work: Work::Request { call, idempotent },
            start_by: true_time(i, unit.min(now + START_WINDOW)),
            deadline: true_time(i, unit),
            run_for,
            platform_ok_since: self.platform_ok_since[i],
        };
        self.entries[i].calls.get_mut(&call).expect("the call should be known").phase =
            CallPhase::Running { unit };
        self.schedule(LATENCY, Event::Start(Box::new(start)));
        Ok(())
    }

    /// Handles a start that arrives at its upstream. It is lost if the upstream's zone is cut off.
    pub fn on_start(&mut self, start: Start) -> CheckResult {
        let frozen = self.entries[start.from].frozen_until;
        if frozen > self.now && self.entries[start.from].incarnation == start.incarnation {
            // The instance is frozen after its last check, so the write happens once it resumes.
            self.schedule(frozen - self.now + LATENCY, Event::Start(Box::new(start)));
            return Ok(());
        }
        if !self.reaches_upstream(start.from, start.upstream) {
            return Ok(());
        }
        let upstream = &self.upstreams[start.upstream];
        let late = self.now > start.start_by && !self.disabled.late_starts;
        if late || !upstream.alive || upstream.draining || upstream.rebooting {
            return self.send_not_run(start);
        }
        match &start.work {
            Work::Request { call, idempotent } => {
                self.oracle.on_request_start(*call, *idempotent)?;
            }
            Work::Job { job, idempotent, fence, .. } => {
                if self.refuses_task(start.upstream, job, *fence) {
                    return self.send_not_run(start);
                }
                self.oracle.on_job_start(job, *idempotent)?;
                let upstream = &mut self.upstreams[start.upstream];
                upstream.fences.insert(job.clone(), *fence);
                upstream.tasks.insert(job.clone(), Task::Running);
                self.task_message(&start, job.clone(), true);
            }
        }
        self.check_start(&start)?;
        self.oracle.on_running(self.now, &start.team, 1)?;
        self.execute(start);
        Ok(())
    }

    /// Whether the upstream refuses a task: it is running, or a start had the same or a higher fencing
    /// token.
    fn refuses_task(&self, upstream: usize, job: &JobId, fence: Offset) -> bool {
        let upstream = &self.upstreams[upstream];
        let runs = matches!(upstream.tasks.get(job), Some(Task::Running));
        runs || upstream.fences.get(job).is_some_and(|last| fence <= *last)
    }

    fn check_start(&self, start: &Start) -> CheckResult {
        let upstream = &self.upstreams[start.upstream];
        self.oracle.on_pool_start(self.now, &upstream.id, &start.pool)?;
        let zone = super::world::ZONES[upstream.zone];
        if self.must_enforce(start.from, &format!("zone {zone}"), start.platform_ok_since) {
            return violation(
                5,
                format!("e{} started work in zone {zone}, which is out of service", start.from),
            );
        }
        if self.must_enforce(
            start.from,
            &format!("instance {}", upstream.id),
            start.platform_ok_since,
        ) {
            return violation(
                9,
                format!("e{} started work at closed instance {}", start.from, upstream.id),
            );
        }
        let ok_since = start.platform_ok_since;
        let shown = upstream
            .departing_at
            .map(|at| at.max(ok_since) + DEPARTURE_VISIBLE_AFTER + START_SLACK);
        if shown.is_some_and(|shown| shown <= self.now) {
            return violation(
                9,
                format!("e{} started work at departing instance {}", start.from, upstream.id),
            );
        }
        Ok(())
    }

    fn execute(&mut self, start: Start) {
        let end = match &start.work {
            Work::Request { .. } => (self.now + start.run_for).min(start.deadline),
            Work::Job { .. } => self.now + start.run_for,
        };
        self.exec_count += 1;
        let exec = self.exec_count;
        let Start { from, incarnation, team, work, upstream, .. } = start;
        let delay = end.saturating_sub(self.now);
        self.upstreams[upstream].execs.insert(exec, Exec { from, incarnation, team, work, end });
        self.schedule(delay, Event::WorkEnd(upstream, exec));
    }

    fn send_not_run(&mut self, start: Start) -> CheckResult {
        match &start.work {
            Work::Request { call, .. } => {
                let answer = Message::CallEnd { call: *call, ran: false };
                self.schedule(LATENCY, Event::Deliver(start.from, start.incarnation, answer));
            }
            Work::Job { job, .. } => self.task_message(&start, job.clone(), false),
        }
        Ok(())
    }

    fn task_message(&mut self, start: &Start, job: JobId, started: bool) {
        let answer = Message::TaskAnswer { job, started };
        self.schedule(LATENCY, Event::Deliver(start.from, start.incarnation, answer));
    }

    pub fn on_work_end(&mut self, upstream: usize, exec: u64) -> CheckResult {
        let Some(exec) = self.upstreams[upstream].execs.remove(&exec) else { return Ok(()) };
        self.upstreams[upstream].idle_since = self.now;
        self.oracle.on_running(self.now, &exec.team, -1)?;
        let upstream_fails = self.upstreams[upstream].fails;
        match exec.work {
            Work::Request { call, .. } => {
                if self.reaches_upstream(exec.from, upstream) && self.now <= exec.end {
                    let answer = Message::CallEnd { call, ran: true };
                    self.schedule(LATENCY, Event::Deliver(exec.from, exec.incarnation, answer));
                }
            }
            Work::Job { job, fails, .. } => {
                let observation = match fails || upstream_fails {
                    true => TaskObservation::Failed("failed".into()),
                    false => TaskObservation::Done(Bytes::from_static(b"done")),
                };
                self.upstreams[upstream].tasks.insert(job, Task::Ended(observation));
            }
        }
        self.reboot_if_idle(upstream)
    }

    pub fn on_call_end(&mut self, i: usize, call: usize, ran: bool) -> CheckResult {
        if ran {
            return self.answer_call(i, call, Ran::Ran);
        }
        let now = local_time(i, self.now);
        let Some(run) = self.entries[i].calls.get_mut(&call) else { return Ok(()) };
        let phase = std::mem::replace(&mut run.phase, CallPhase::Queued);
        let team = run.admitted.team.clone();
        if let CallPhase::Running { unit } = phase {
            self.node(i).release_unit(now, &team, unit);
        }
        Ok(())
    }

    // Jobs.

    pub fn drive_jobs(&mut self, i: usize) -> CheckResult {
        self.claim_jobs(i);
        let now = local_time(i, self.now);
        let mine: Vec<JobId> = self.entries[i].jobs.keys().cloned().collect();
        for job in mine {
            let run = self.entries[i].jobs.get_mut(&job).expect("the job should be known");
            match &run.phase {
                JobPhase::Claiming(ticket) => {
                    let ticket = *ticket;
                    self.drive_job_claim(i, &job, ticket);
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
        // Adds adopted jobs, and jobs whose claim was applied but whose status was lost when the instance
        // loaded a newer view.
        for job in self.node(i).held_jobs() {
            let watching = JobRun { phase: JobPhase::Watching };
            self.entries[i].jobs.entry(job).or_insert(watching);
        }
        Ok(())
    }

    fn claim_jobs(&mut self, i: usize) {
        let now = local_time(i, self.now);
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

    fn drive_job_claim(&mut self, i: usize, job: &JobId, ticket: u64) {
        let now = local_time(i, self.now);
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
        let fails = spec.payload.first() == Some(&1);
        let work =
            Work::Job { job: job.clone(), idempotent: spec.idempotent, fence: start.fence, fails };
        let start = Start {
            from: i,
            incarnation: self.entries[i].incarnation,
            upstream: self.upstream_of(&start.upstream),
            team: spec.team,
            pool,
            work,
            start_by: true_time(i, start.start_by),
            deadline: Ms::MAX,
            run_for: spec.declared_ms,
            platform_ok_since: self.platform_ok_since[i],
        };
        self.schedule(LATENCY, Event::Start(Box::new(start)));
        if let Some(stall_next_start) = self.stall_next_start.take() {
            self.freeze(i, stall_next_start);
        }
    }

    pub fn on_task_answer(&mut self, i: usize, job: &JobId, started: bool) {
        if let Some(run) = self.entries[i].jobs.get_mut(job)
            && matches!(run.phase, JobPhase::Starting(_))
        {
            run.phase = if started { JobPhase::Watching } else { JobPhase::NotRun };
        }
    }

    /// Polls the upstream for the state of a job that this instance holds.
    fn watch_job(&mut self, i: usize, job: &JobId) {
        let me = self.entries[i].incarnation;
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
        let observation = match self.upstreams[at].tasks.get(job) {
            Some(Task::Running) => return,
            Some(Task::Ended(observation)) => observation.clone(),
            None => TaskObservation::Unknown,
        };
        self.resolve(i, job, observation);
    }

    fn stop_task(&mut self, upstream: usize, job: &JobId) {
        let is_job_exec =
            |exec: &Exec| matches!(&exec.work, Work::Job { job: id, .. } if id == job);
        let execs = &self.upstreams[upstream].execs;
        let Some(exec) = execs.iter().find(|(_, e)| is_job_exec(e)).map(|(id, _)| *id) else {
            return;
        };
        if let Some(exec) = self.upstreams[upstream].execs.remove(&exec) {
            self.upstreams[upstream]
                .tasks
                .insert(job.clone(), Task::Ended(TaskObservation::Stopped));
            self.upstreams[upstream].idle_since = self.now;
            let ended = self.oracle.on_running(self.now, &exec.team, -1);
            ended
                .and_then(|()| self.reboot_if_idle(upstream))
                .expect("the end of work should violate no limit");
        }
    }

    fn resolve(&mut self, i: usize, job: &JobId, observation: TaskObservation) {
        let now = local_time(i, self.now);
        let record = self.node(i).resolve_job(job, observation);
        let phase = match record {
            Some(record) => JobPhase::Resolving(self.node(i).propose(now, record)),
            None => JobPhase::Watching,
        };
        self.entries[i].jobs.insert(job.clone(), JobRun { phase });
    }

    // Maintenance, moves and loss of upstreams.

    pub fn drive_maintenance(&mut self, i: usize) -> CheckResult {
        let now = local_time(i, self.now);
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

    /// Requests an upstream to finish its work and reboot.
    pub fn drain(&mut self, at: usize, fence: Offset) -> CheckResult {
        let upstream = &mut self.upstreams[at];
        let busy = upstream.draining || upstream.rebooting;
        if !upstream.alive || busy || fence <= upstream.drain_fence {
            return Ok(());
        }
        upstream.drain_fence = fence;
        upstream.draining = true;
        let id = upstream.id.clone();
        self.oracle.on_planned_stop(&id, true)?;
        self.reboot_if_idle(at)
    }

    fn reboot_if_idle(&mut self, at: usize) -> CheckResult {
        let upstream = &mut self.upstreams[at];
        if upstream.draining && !upstream.rebooting && upstream.execs.is_empty() {
            upstream.rebooting = true;
            self.schedule(REBOOT_TIME, Event::Rebooted(at));
        }
        Ok(())
    }

    pub fn on_rebooted(&mut self, at: usize) -> CheckResult {
        let upstream = &mut self.upstreams[at];
        upstream.draining = false;
        upstream.rebooting = false;
        let id = upstream.id.clone();
        self.oracle.on_planned_stop(&id, false)
    }

    pub fn crash_upstream(&mut self, at: usize) -> CheckResult {
        let upstream = &mut self.upstreams[at];
        upstream.alive = false;
        let execs = std::mem::take(&mut upstream.execs);
        let id = upstream.id.clone();
        for exec in execs.values() {
            self.oracle.on_running(self.now, &exec.team, -1)?;
        }
        self.update_list();
        self.oracle.on_planned_stop(&id, false)
    }

    pub fn may_kill_upstream(&self, at: usize) -> bool {
        let pool = &self.upstreams[at].pool;
        self.upstreams[at].alive
            && self.upstreams.iter().filter(|u| u.alive && u.pool == *pool).count() > 2
    }
}

/// Returns a call with the deadline that all calls of a run have.
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
