//! Runs the planners for moves and maintenance on the replicated state.
//!
//! It is safe for several entry instances to plan at the same time: the log rejects a second record
//! for the same step, and the request for a restart carries the id of the drain. To avoid redundant
//! records, only the leader plans.

use crate::buffer::{self, Demand, Sample};
use crate::fleet::*;
use crate::ids::*;
use crate::maintenance;
use crate::node::{Node, START_WINDOW};
use crate::pool_moves::MovePlanner;
use crate::protocol::{InstanceList, ListedInstance, Presence, RebootState};
use crate::record::Record;
use crate::sched::PoolLoad;
use crate::state::{Instance, JobState, State};
use indexmap::IndexMap;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Interval between two passes.
pub const PASS_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which records about an instance may be proposed again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that running jobs get when an operator takes their zone out of service.
const ZONE_OUT_NOTICE: Duration = Duration::from_secs(30);
/// Maximum number of instances per pass for which an initial maintenance date is recorded.
const MAX_INITIAL_RECORDS: usize = 200;

/// Result of a probe of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeReport {
    /// When the response arrived.
    pub at: Time,
    /// Number of requests and tasks it ran, sent by any entry instance.
    pub running: u32,
    /// Whether the upstream responded.
    pub answered: bool,
}

/// Input of one pass.
pub struct Inputs<'a> {
    pub now: Time,
    /// Wall clock of this process in Unix seconds. Used only for maintenance dates.
    pub unix_s: u64,
    pub node: &'a Node,
    pub list: &'a InstanceList,
    pub reports: &'a HashMap<InstanceId, ProbeReport>,
    /// Load of each pool as seen by this entry instance.
    pub loads: &'a IndexMap<PoolId, PoolLoad>,
}

/// Step that the caller carries out for the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Append a record to the log.
    Propose(Record),
    /// Ask the jobs of an upstream to save a checkpoint.
    Checkpoint { instance: InstanceId, jobs: Vec<(JobId, Offset)> },
    /// Stop the jobs of an upstream, which are all idempotent.
    Stop { instance: InstanceId, jobs: Vec<(JobId, Offset)> },
    /// Ask the platform to restart an instance. The platform ignores a repeated `op`.
    Reboot { instance: InstanceId, op: String },
    /// Probe the load of an upstream immediately.
    Probe(InstanceId),
}

/// Result of one pass: the steps to carry out, and the pools for which nothing is done and why.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pass {
    pub steps: Vec<Step>,
    pub waits: Vec<Wait>,
}

/// Progress of a drain or move, as observed by this entry instance.
#[derive(Clone, Copy, Debug)]
struct OperationProgress {
    /// Log offset of its `DrainStart` or `MoveStart` record.
    offset: Offset,
    since: Time,
    /// When all entry instances were first seen to have applied the record.
    acknowledged_at: Option<Time>,
    checkpointed: Option<Time>,
    reboot_started_at: Option<Time>,
    rebooted: bool,
}

/// Jobs that run on one upstream according to the log.
#[derive(Clone, Debug, Default)]
struct UpstreamJobs {
    jobs: Vec<(JobId, Offset)>,
    all_idempotent: bool,
}

/// The planners and the observations that they need between passes.
#[derive(Default)]
pub struct Controller {
    move_planner: MovePlanner,
    demand: Demand,
    last_sampled_at: Option<Time>,
    /// Value of `PoolLoad::offered_cost` for each pool at the last sample.
    offered_costs: IndexMap<PoolId, f64>,
    operations: HashMap<InstanceId, OperationProgress>,
    zones_out: HashMap<ZoneId, Time>,
    zones_back: HashMap<ZoneId, Time>,
    /// When records about each instance were last proposed.
    proposed_at: HashMap<InstanceId, Time>,
}

/// Whether this entry instance is the leader: the one with the lowest id among those with a live
/// lease.
pub fn is_leader(node: &Node) -> bool {
    let live = node.state().holders.iter().filter(|(_, h)| !h.expired && !h.departing && !h.gone);
    let first = live.min_by_key(|(incarnation, holder)| (holder.id.clone(), **incarnation));
    first.is_some_and(|(incarnation, _)| *incarnation == node.config().incarnation)
}

impl Controller {
    /// Creates a controller without observations.
    pub fn new() -> Controller {
        Controller::default()
    }

    /// Handles the platform's response to `Step::Reboot`.
    pub fn on_reboot(&mut self, now: Time, instance: &InstanceId, state: RebootState) {
        if let Some(operation) = self.operations.get_mut(instance) {
            operation.reboot_started_at.get_or_insert(now);
            operation.rebooted |= state == RebootState::Done;
        }
    }

    /// Samples the demand. Every entry instance does this, so that it has a record when it becomes
    /// the leader.
    pub fn observe(&mut self, inputs: &Inputs<'_>) {
        let elapsed = self.last_sampled_at.map(|at| inputs.now.saturating_sub(at));
        if elapsed.is_some_and(|elapsed| elapsed < buffer::SAMPLE_INTERVAL) {
            return;
        }
        self.last_sampled_at = Some(inputs.now);
        let seconds = elapsed.unwrap_or(buffer::SAMPLE_INTERVAL).as_secs_f64();
        let used = used_slots(inputs);
        // Callers are spread over all entry instances, and each one sees only its own work.
        let entries = inputs.node.state().holders.values().filter(|h| !h.expired).count().max(1);
        for pool in inputs.node.state().config.pools.keys() {
            let load = inputs.loads.get(pool).copied().unwrap_or_default();
            let before = self.offered_costs.insert(pool.clone(), load.offered_cost).unwrap_or(0.0);
            let sample = Sample {
                offered: (load.offered_cost - before) / seconds * entries as f64,
                used: used.get(pool).copied().unwrap_or(0).max(load.own),
                waiting: load.waiting_cost * entries as f64,
            };
            self.demand.observe(pool, sample);
        }
    }

    /// Plans the next steps.
    pub fn plan(&mut self, inputs: &Inputs<'_>) -> Pass {
        let state = inputs.node.state();
        self.update_zones(inputs.now, state);
        self.update_operations(inputs);
        let jobs = jobs_by_upstream(state);
        let view = self.view(inputs, &jobs);
        let moving = state.instances.iter().filter_map(|(id, instance)| {
            instance.moving.as_ref().map(|(to, _)| (id.clone(), to.clone()))
        });
        let moves = self.move_planner.plan(inputs.now, &view, &moving.collect());
        let drains = maintenance::plan(inputs.now, &view);
        let mut pass = Pass::default();
        for plan in [drains, moves] {
            for decision in plan.decisions {
                self.add_steps(inputs, &jobs, decision.action, &mut pass);
            }
            pass.waits.extend(plan.waits);
        }
        self.end_moves(inputs, &view, &mut pass);
        self.seed_maintenance_dates(inputs, &mut pass);
        let probes = self.operations.keys().cloned().map(Step::Probe);
        pass.steps.extend(probes);
        pass
    }

    fn update_zones(&mut self, now: Time, state: &State) {
        for zone in state.zones_out.keys() {
            self.zones_out.entry(zone.clone()).or_insert(now);
            self.zones_back.remove(zone);
        }
        let returned = self.zones_out.keys().filter(|zone| !state.zones_out.contains_key(*zone));
        let returned: Vec<ZoneId> = returned.cloned().collect();
        for zone in returned {
            self.zones_out.remove(&zone);
            self.zones_back.insert(zone, now);
        }
    }

    fn update_operations(&mut self, inputs: &Inputs<'_>) {
        let (now, state) = (inputs.now, inputs.node.state());
        self.operations.retain(|id, operation| {
            state.instances.get(id).and_then(operation_offset) == Some(operation.offset)
        });
        self.proposed_at.retain(|_, at| now < *at + PROPOSAL_TIMEOUT);
        for (id, instance) in &state.instances {
            let Some(offset) = operation_offset(instance) else { continue };
            let operation = self.operations.entry(id.clone()).or_insert(OperationProgress {
                offset,
                since: now,
                acknowledged_at: None,
                checkpointed: None,
                reboot_started_at: None,
                rebooted: false,
            });
            if operation.acknowledged_at.is_none() && is_acknowledged_by_all(state, offset) {
                operation.acknowledged_at = Some(now);
            }
        }
    }

    fn view(&self, inputs: &Inputs<'_>, jobs: &HashMap<InstanceId, UpstreamJobs>) -> FleetView {
        let state = inputs.node.state();
        let listed: HashMap<&InstanceId, &ListedInstance> =
            inputs.list.instances.iter().map(|listed| (&listed.id, listed)).collect();
        let instances = state.instances.iter().map(|(id, instance)| {
            self.instance_view(inputs, id, instance, listed.get(id).copied(), jobs.get(id))
        });
        let pools =
            state.config.pools.keys().map(|pool| (pool.clone(), self.pool_view(state, pool)));
        let out = self.zones_out.iter().map(|(zone, since)| ZoneView {
            id: zone.clone(),
            state: ZoneState::Out { stop_by: *since + ZONE_OUT_NOTICE },
        });
        let back = self.zones_back.iter().map(|(zone, since)| ZoneView {
            id: zone.clone(),
            state: ZoneState::Back { since: *since },
        });
        FleetView {
            instances: instances.collect(),
            pools: pools.collect(),
            zones: out.chain(back).collect(),
        }
    }

    fn pool_view(&self, state: &State, pool: &PoolId) -> PoolView {
        let rules = state.config.pools.get(pool);
        let profiles: Vec<_> = state.pool_profiles(pool).collect();
        PoolView {
            spare: rules.is_some_and(|pool| pool.spare),
            min_instances: rules.map_or(0, |pool| pool.min_instances),
            // A pool without services serves no callers, so all of it may be down for maintenance.
            unavailable_percent: profiles
                .iter()
                .map(|p| p.unavailable_percent)
                .min()
                .unwrap_or(100),
            unavailable_per_rack: profiles
                .iter()
                .map(|p| p.unavailable_per_rack)
                .min()
                .unwrap_or(u32::MAX),
            drain_timeout: drain_timeout(state, pool),
            maintenance_interval: maintenance_interval(state, pool),
            required_slots: self.demand.need(pool),
        }
    }

    fn instance_view(
        &self,
        inputs: &Inputs<'_>,
        id: &InstanceId,
        instance: &Instance,
        listed: Option<&ListedInstance>,
        jobs: Option<&UpstreamJobs>,
    ) -> InstanceView {
        let planned_jobs = jobs.map_or(0, |on_instance| on_instance.jobs.len() as u32);
        let reported = inputs.reports.get(id).map_or(0, |report| report.running);
        let operation = self.operations.get(id);
        let running = match operation {
            Some(operation) if !is_report_conclusive(operation, inputs.reports.get(id)) => {
                reported.max(planned_jobs).max(1)
            }
            _ => reported.max(planned_jobs),
        };
        InstanceView {
            id: id.clone(),
            pool: instance.pool.clone(),
            home_pool: listed.map_or_else(|| instance.pool.clone(), |listed| listed.pool.clone()),
            zone: instance.zone.clone(),
            rack: instance.rack.clone(),
            status: self.status(inputs, id, instance, listed),
            slots: listed.map_or(0, |listed| listed.slots),
            running,
            planned_jobs,
            checkpointed: operation.and_then(|operation| operation.checkpointed),
            maintenance_due: maintenance_due(
                inputs,
                instance,
                maintenance_interval(inputs.node.state(), &instance.pool),
            ),
        }
    }

    fn status(
        &self,
        inputs: &Inputs<'_>,
        id: &InstanceId,
        instance: &Instance,
        listed: Option<&ListedInstance>,
    ) -> Status {
        let operation = self.operations.get(id);
        let since = operation.map_or(inputs.now, |operation| operation.since);
        if let Some((reason, _)) = instance.draining {
            return match operation {
                Some(operation) if operation.rebooted => Status::Rebooted,
                Some(OperationProgress { reboot_started_at: Some(at), .. }) => {
                    Status::Rebooting { since: *at }
                }
                _ => Status::Draining { reason, since },
            };
        }
        if instance.moving.is_some() {
            return Status::Moving { since };
        }
        let live = listed.is_some_and(|listed| listed.presence == Presence::Live);
        let answers = inputs.reports.get(id).is_none_or(|report| report.answered);
        let out = inputs.node.state().instances_out.contains_key(id);
        match live && answers && !out && instance.gone_at.is_none() {
            true => Status::Serving,
            false => Status::Down { since },
        }
    }

    /// Adds the steps for a decision to the pass.
    fn add_steps(
        &mut self,
        inputs: &Inputs<'_>,
        jobs: &HashMap<InstanceId, UpstreamJobs>,
        action: Action,
        pass: &mut Pass,
    ) {
        let jobs_on = |id: &InstanceId| jobs.get(id).cloned().unwrap_or_default();
        match action {
            Action::DrainStart { instance, reason } => {
                let record = Record::DrainStart { instance: instance.clone(), reason };
                self.propose(inputs.now, instance, vec![record], pass);
            }
            Action::MoveStart { instance, from, to } => {
                let record = Record::MoveStart { instance: instance.clone(), from, to };
                self.propose(inputs.now, instance, vec![record], pass);
            }
            Action::DrainEnd { instance, done } => {
                let known = inputs.node.state().instances.get(&instance);
                let Some(started) = known.and_then(operation_offset) else { return };
                let end = Record::DrainEnd { instance: instance.clone(), started, done };
                let at_s = inputs.unix_s;
                let maintained = Record::Maintained { instance: instance.clone(), at_s };
                let records = if done { vec![maintained, end] } else { vec![end] };
                self.propose(inputs.now, instance, records, pass);
            }
            Action::Checkpoint { instance } => {
                if let Some(operation) = self.operations.get_mut(&instance) {
                    operation.checkpointed = Some(inputs.now);
                }
                let jobs = jobs_on(&instance).jobs;
                pass.steps.push(Step::Checkpoint { instance, jobs });
            }
            // A job that is not idempotent must not run again, so stopping it would lose it.
            Action::Stop { instance } => {
                let upstream_jobs = jobs_on(&instance);
                if upstream_jobs.all_idempotent && !upstream_jobs.jobs.is_empty() {
                    pass.steps.push(Step::Stop { instance, jobs: upstream_jobs.jobs });
                }
            }
            Action::Reboot { instance } => {
                if let Some(operation) = self.operations.get(&instance) {
                    let op = format!("drain-{instance}-{}", operation.offset);
                    pass.steps.push(Step::Reboot { instance, op });
                }
            }
        }
    }

    /// Proposes records about an instance, unless others were proposed within `PROPOSAL_TIMEOUT`.
    fn propose(&mut self, now: Time, instance: InstanceId, records: Vec<Record>, pass: &mut Pass) {
        if self.proposed_at.contains_key(&instance) {
            return;
        }
        self.proposed_at.insert(instance, now);
        pass.steps.extend(records.into_iter().map(Step::Propose));
    }

    /// Completes the move of each instance that runs no work any more, and cancels moves that
    /// exceed the drain timeout.
    fn end_moves(&mut self, inputs: &Inputs<'_>, view: &FleetView, pass: &mut Pass) {
        for instance in &view.instances {
            let Status::Moving { since } = instance.status else { continue };
            let limit = drain_timeout(inputs.node.state(), &instance.pool);
            let id = instance.id.clone();
            let known = inputs.node.state().instances.get(&id);
            let Some(started) = known.and_then(operation_offset) else { continue };
            if instance.running == 0 {
                let end = Record::MoveEnd { instance: id.clone(), started };
                self.propose(inputs.now, id, vec![end], pass);
            } else if inputs.now > since + limit {
                let cancel = Record::MoveCancel { instance: id.clone(), started };
                self.propose(inputs.now, id, vec![cancel], pass);
            }
        }
    }

    /// Records a maintenance date for instances that have none. The dates are spread over three
    /// quarters of the interval, so that the instances of a new fleet are not all due at the same
    /// time.
    fn seed_maintenance_dates(&mut self, inputs: &Inputs<'_>, pass: &mut Pass) {
        let state = inputs.node.state();
        let unknown = state.instances.iter().filter(|(_, i)| i.maintained_at.is_none());
        let unknown: Vec<(InstanceId, u64)> = unknown
            .filter(|(id, _)| !self.proposed_at.contains_key(*id))
            .take(MAX_INITIAL_RECORDS)
            .map(|(id, i)| (id.clone(), maintenance_interval(state, &i.pool).as_secs()))
            .collect();
        for (instance, interval_s) in unknown {
            let spread = u64::from(crc32fast::hash(instance.as_bytes()));
            let age_s = (interval_s * 3 / 4) * spread / u64::from(u32::MAX);
            let at_s = inputs.unix_s.saturating_sub(age_s);
            let record = Record::Maintained { instance: instance.clone(), at_s };
            self.propose(inputs.now, instance, vec![record], pass);
        }
    }
}

fn operation_offset(instance: &Instance) -> Option<Offset> {
    let drain = instance.draining.as_ref().map(|(_, offset)| *offset);
    drain.or(instance.moving.as_ref().map(|(_, offset)| *offset))
}

/// Whether every entry instance has applied the log beyond `offset` and thus sends no new work
/// based on an older state. An entry instance that is cut off may still do so; the drain or move
/// waits until it is heard from again or gone.
fn is_acknowledged_by_all(state: &State, offset: Offset) -> bool {
    state.holders.values().filter(|holder| !holder.gone).all(|holder| holder.seen > offset)
}

/// Whether a report is recent enough to include all work that was sent to the instance before every
/// entry instance knew of the drain or move.
fn is_report_conclusive(operation: &OperationProgress, report: Option<&ProbeReport>) -> bool {
    match (operation.acknowledged_at, report) {
        (Some(since), Some(report)) => report.answered && report.at > since + START_WINDOW,
        _ => false,
    }
}

fn maintenance_due(inputs: &Inputs<'_>, instance: &Instance, interval: Duration) -> Time {
    let Some(at_s) = instance.maintained_at else { return inputs.now + interval };
    let due_s = at_s.saturating_add(interval.as_secs());
    match due_s.checked_sub(inputs.unix_s) {
        Some(left_s) => inputs.now + Duration::from_secs(left_s),
        None => inputs.now.saturating_sub(Duration::from_secs(inputs.unix_s - due_s)),
    }
}

/// Returns the shortest maintenance interval of the profiles that use a pool, or of all profiles if
/// the pool has no services.
fn maintenance_interval(state: &State, pool: &PoolId) -> Duration {
    let own = state.pool_profiles(pool).map(|p| p.maintenance_interval).min();
    let any = || state.config.profiles.values().map(|p| p.maintenance_interval).min();
    own.or_else(any).unwrap_or(Duration::from_secs(21 * 24 * 60 * 60))
}

/// Returns the longest drain timeout of the profiles that use a pool, or of all profiles if the
/// pool has no services.
fn drain_timeout(state: &State, pool: &PoolId) -> Duration {
    let own = state.pool_profiles(pool).map(|p| p.drain_timeout).max();
    let any = || state.config.profiles.values().map(|p| p.drain_timeout).max();
    own.or_else(any).unwrap_or_default()
}

fn jobs_by_upstream(state: &State) -> HashMap<InstanceId, UpstreamJobs> {
    let mut by_instance: HashMap<InstanceId, UpstreamJobs> = HashMap::new();
    for (id, job) in &state.jobs {
        if let JobState::Running { upstream, fence, .. } = &job.state {
            let empty = || UpstreamJobs { jobs: Vec::new(), all_idempotent: true };
            let entry = by_instance.entry(upstream.clone()).or_insert_with(empty);
            entry.jobs.push((id.clone(), *fence));
            entry.all_idempotent &= job.spec.idempotent;
        }
    }
    by_instance
}

/// Returns the running work of each pool as reported by the upstreams.
fn used_slots(inputs: &Inputs<'_>) -> HashMap<PoolId, u32> {
    let mut used: HashMap<PoolId, u32> = HashMap::new();
    let known: HashSet<&InstanceId> = inputs.list.instances.iter().map(|l| &l.id).collect();
    for (id, instance) in &inputs.node.state().instances {
        if let Some(report) = inputs.reports.get(id).filter(|_| known.contains(id)) {
            *used.entry(instance.pool.clone()).or_default() += report.running;
        }
    }
    used
}
