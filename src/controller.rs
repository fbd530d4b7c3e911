//! Runs the planners of moves and maintenance over the shared state.
//!
//! Any entry instance may do it: the log rejects a second record for the same step, and a restart
//! carries the id of its drain. Only the one whose turn it is does, so that the others write nothing.

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

/// Time between two passes.
pub const PASS_INTERVAL: Duration = Duration::from_secs(1);
/// A step that the log has not confirmed is proposed again after this time.
const PROPOSE_AGAIN: Duration = Duration::from_secs(5);
/// A zone that operators take out gives running jobs this long.
const ZONE_OUT_NOTICE: Duration = Duration::from_secs(30);
/// Records about instances without a known maintenance in one pass.
const MAX_FIRST_SIGHTS: usize = 200;

/// What a probe told about an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeReport {
    /// When its answer came.
    pub at: Time,
    /// Requests and tasks that it ran, whoever sent them.
    pub running: u32,
    /// Whether it answered.
    pub answered: bool,
}

/// What one pass decides by.
pub struct Inputs<'a> {
    pub now: Time,
    /// The writer's clock in Unix seconds; orders maintenance only.
    pub unix_s: u64,
    pub node: &'a Node,
    pub list: &'a InstanceList,
    pub reports: &'a HashMap<InstanceId, ProbeReport>,
    /// Load of each pool as this entry instance sees it.
    pub loads: &'a IndexMap<PoolId, PoolLoad>,
}

/// Something that the process does for the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Append a record.
    Propose(Record),
    /// Let the jobs of an upstream save their progress.
    Checkpoint { instance: InstanceId, jobs: Vec<(JobId, Offset)> },
    /// Stop the jobs of an upstream, all of them idempotent.
    Stop { instance: InstanceId, jobs: Vec<(JobId, Offset)> },
    /// Ask the platform for a restart; a repeat of the same `op` restarts nothing.
    Reboot { instance: InstanceId, op: String },
    /// Ask an upstream for its load now.
    Probe(InstanceId),
}

/// What one pass decided, and what it left alone and why.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pass {
    pub steps: Vec<Step>,
    pub waits: Vec<Wait>,
}

/// A drain or move under way, as this instance has seen it.
#[derive(Clone, Copy, Debug)]
struct Mark {
    /// Offset of its `DrainStart` or `MoveStart`.
    offset: Offset,
    since: Time,
    /// When every entry instance was known to have folded the record.
    quiet_since: Option<Time>,
    checkpointed: Option<Time>,
    rebooting: Option<Time>,
    rebooted: bool,
}

/// Jobs that the log places at one upstream.
#[derive(Clone, Debug, Default)]
struct JobsThere {
    jobs: Vec<(JobId, Offset)>,
    all_idempotent: bool,
}

/// The planners and what they remember.
#[derive(Default)]
pub struct Controller {
    move_planner: MovePlanner,
    demand: Demand,
    sampled: Option<Time>,
    /// Slot-seconds of work that each pool had been offered here at the last sample.
    offered: IndexMap<PoolId, f64>,
    marks: HashMap<InstanceId, Mark>,
    zones_out: HashMap<ZoneId, Time>,
    zones_back: HashMap<ZoneId, Time>,
    /// When a step about an instance was last proposed.
    proposed: HashMap<InstanceId, Time>,
}

/// Whether this entry instance plans: of those with a live lease, the one with the lowest id.
pub fn is_leader(node: &Node) -> bool {
    let live = node.state().holders.iter().filter(|(_, h)| !h.expired && !h.departing && !h.gone);
    let first = live.min_by_key(|(incarnation, holder)| (holder.id.clone(), **incarnation));
    first.is_some_and(|(incarnation, _)| *incarnation == node.config().incarnation)
}

impl Controller {
    /// Remembers nothing.
    pub fn new() -> Controller {
        Controller::default()
    }

    /// Takes the platform's answer to a `Reboot`.
    pub fn on_reboot(&mut self, now: Time, instance: &InstanceId, state: RebootState) {
        if let Some(mark) = self.marks.get_mut(instance) {
            mark.rebooting.get_or_insert(now);
            mark.rebooted |= state == RebootState::Done;
        }
    }

    /// Takes a sample of the demand; every entry instance does, so that its turn finds a record.
    pub fn observe(&mut self, inputs: &Inputs<'_>) {
        let elapsed = self.sampled.map(|at| inputs.now.saturating_sub(at));
        if elapsed.is_some_and(|elapsed| elapsed < buffer::SAMPLE) {
            return;
        }
        self.sampled = Some(inputs.now);
        let seconds = elapsed.unwrap_or(buffer::SAMPLE).as_secs_f64();
        let used = used_slots(inputs);
        // Each entry instance sees the work that comes to itself; callers are spread over all.
        let entries = inputs.node.state().holders.values().filter(|h| !h.expired).count().max(1);
        for pool in inputs.node.state().config.pools.keys() {
            let load = inputs.loads.get(pool).copied().unwrap_or_default();
            let before = self.offered.insert(pool.clone(), load.offered_cost).unwrap_or(0.0);
            let sample = Sample {
                offered: (load.offered_cost - before) / seconds * entries as f64,
                used: used.get(pool).copied().unwrap_or(0).max(load.own),
                waiting: load.waiting_cost * entries as f64,
            };
            self.demand.observe(pool, sample);
        }
    }

    /// Decides the next steps.
    pub fn plan(&mut self, inputs: &Inputs<'_>) -> Pass {
        let state = inputs.node.state();
        self.update_zones(inputs.now, state);
        self.update_marks(inputs);
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
                self.take(inputs, &jobs, decision.action, &mut pass);
            }
            pass.waits.extend(plan.waits);
        }
        self.end_moves(inputs, &view, &mut pass);
        self.first_sights(inputs, &mut pass);
        let probes = self.marks.keys().cloned().map(Step::Probe);
        pass.steps.extend(probes);
        pass
    }

    fn update_zones(&mut self, now: Time, state: &State) {
        for zone in state.zones_out.keys() {
            self.zones_out.entry(zone.clone()).or_insert(now);
            self.zones_back.remove(zone);
        }
        let back = self.zones_out.keys().filter(|zone| !state.zones_out.contains_key(*zone));
        let back: Vec<ZoneId> = back.cloned().collect();
        for zone in back {
            self.zones_out.remove(&zone);
            self.zones_back.insert(zone, now);
        }
    }

    fn update_marks(&mut self, inputs: &Inputs<'_>) {
        let (now, state) = (inputs.now, inputs.node.state());
        self.marks.retain(|id, mark| {
            state.instances.get(id).and_then(under_way_since) == Some(mark.offset)
        });
        self.proposed.retain(|_, at| now < *at + PROPOSE_AGAIN);
        for (id, instance) in &state.instances {
            let Some(offset) = under_way_since(instance) else { continue };
            let mark = self.marks.entry(id.clone()).or_insert(Mark {
                offset,
                since: now,
                quiet_since: None,
                checkpointed: None,
                rebooting: None,
                rebooted: false,
            });
            if mark.quiet_since.is_none() && all_have_seen(state, offset) {
                mark.quiet_since = Some(now);
            }
        }
    }

    fn view(&self, inputs: &Inputs<'_>, jobs: &HashMap<InstanceId, JobsThere>) -> FleetView {
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
            // A pool without services serves nobody: all of it may be maintained at once.
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
        jobs: Option<&JobsThere>,
    ) -> InstanceView {
        let planned_jobs = jobs.map_or(0, |there| there.jobs.len() as u32);
        let reported = inputs.reports.get(id).map_or(0, |report| report.running);
        let mark = self.marks.get(id);
        let running = match mark {
            Some(mark) if !is_quiet(mark, inputs.reports.get(id)) => {
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
            checkpointed: mark.and_then(|mark| mark.checkpointed),
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
        let mark = self.marks.get(id);
        let since = mark.map_or(inputs.now, |mark| mark.since);
        if let Some((reason, _)) = instance.draining {
            return match mark {
                Some(mark) if mark.rebooted => Status::Rebooted,
                Some(Mark { rebooting: Some(at), .. }) => Status::Rebooting { since: *at },
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

    /// Turns a decision into a step, unless the same was proposed a moment ago.
    fn take(
        &mut self,
        inputs: &Inputs<'_>,
        jobs: &HashMap<InstanceId, JobsThere>,
        action: Action,
        pass: &mut Pass,
    ) {
        let there = |id: &InstanceId| jobs.get(id).cloned().unwrap_or_default();
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
                let Some(started) = known.and_then(under_way_since) else { return };
                let end = Record::DrainEnd { instance: instance.clone(), started, done };
                let at_s = inputs.unix_s;
                let kept = Record::Maintained { instance: instance.clone(), at_s };
                let records = if done { vec![kept, end] } else { vec![end] };
                self.propose(inputs.now, instance, records, pass);
            }
            Action::Checkpoint { instance } => {
                if let Some(mark) = self.marks.get_mut(&instance) {
                    mark.checkpointed = Some(inputs.now);
                }
                let jobs = there(&instance).jobs;
                pass.steps.push(Step::Checkpoint { instance, jobs });
            }
            // A job that may run only once ends by itself; stopping it would lose it.
            Action::Stop { instance } => {
                let there = there(&instance);
                if there.all_idempotent && !there.jobs.is_empty() {
                    pass.steps.push(Step::Stop { instance, jobs: there.jobs });
                }
            }
            Action::Reboot { instance } => {
                if let Some(mark) = self.marks.get(&instance) {
                    let op = format!("drain-{instance}-{}", mark.offset);
                    pass.steps.push(Step::Reboot { instance, op });
                }
            }
        }
    }

    fn propose(&mut self, now: Time, instance: InstanceId, records: Vec<Record>, pass: &mut Pass) {
        if self.proposed.contains_key(&instance) {
            return;
        }
        self.proposed.insert(instance, now);
        pass.steps.extend(records.into_iter().map(Step::Propose));
    }

    /// An empty instance enters its new pool; one that does not become empty in time stays.
    fn end_moves(&mut self, inputs: &Inputs<'_>, view: &FleetView, pass: &mut Pass) {
        for instance in &view.instances {
            let Status::Moving { since } = instance.status else { continue };
            let limit = drain_timeout(inputs.node.state(), &instance.pool);
            let id = instance.id.clone();
            let known = inputs.node.state().instances.get(&id);
            let Some(started) = known.and_then(under_way_since) else { continue };
            if instance.running == 0 {
                let end = Record::MoveEnd { instance: id.clone(), started };
                self.propose(inputs.now, id, vec![end], pass);
            } else if inputs.now > since + limit {
                let cancel = Record::MoveCancel { instance: id.clone(), started };
                self.propose(inputs.now, id, vec![cancel], pass);
            }
        }
    }

    /// Spreads instances that nobody has maintained yet over the first three quarters of their
    /// interval, so that a new fleet does not fall due at once.
    fn first_sights(&mut self, inputs: &Inputs<'_>, pass: &mut Pass) {
        let state = inputs.node.state();
        let unknown = state.instances.iter().filter(|(_, i)| i.maintained_at.is_none());
        let unknown: Vec<(InstanceId, u64)> = unknown
            .filter(|(id, _)| !self.proposed.contains_key(*id))
            .take(MAX_FIRST_SIGHTS)
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

fn under_way_since(instance: &Instance) -> Option<Offset> {
    let drain = instance.draining.as_ref().map(|(_, offset)| *offset);
    drain.or(instance.moving.as_ref().map(|(_, offset)| *offset))
}

/// Whether no entry instance sends new work by an older view. One that is cut off may, so that its
/// drain or move waits until it is heard or gone.
fn all_have_seen(state: &State, offset: Offset) -> bool {
    state.holders.values().filter(|holder| !holder.gone).all(|holder| holder.seen > offset)
}

/// Whether a report is young enough to count what was sent before everybody knew.
fn is_quiet(mark: &Mark, report: Option<&ProbeReport>) -> bool {
    match (mark.quiet_since, report) {
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

/// Shortest interval of the profiles that use a pool; for a pool without services, of all profiles.
fn maintenance_interval(state: &State, pool: &PoolId) -> Duration {
    let own = state.pool_profiles(pool).map(|p| p.maintenance_interval).min();
    let any = || state.config.profiles.values().map(|p| p.maintenance_interval).min();
    own.or_else(any).unwrap_or(Duration::from_secs(21 * 24 * 60 * 60))
}

/// Longest drain of the profiles that use a pool; for a pool without services, of all profiles.
fn drain_timeout(state: &State, pool: &PoolId) -> Duration {
    let own = state.pool_profiles(pool).map(|p| p.drain_timeout).max();
    let any = || state.config.profiles.values().map(|p| p.drain_timeout).max();
    own.or_else(any).unwrap_or_default()
}

fn jobs_by_upstream(state: &State) -> HashMap<InstanceId, JobsThere> {
    let mut there: HashMap<InstanceId, JobsThere> = HashMap::new();
    for (id, job) in &state.jobs {
        if let JobState::Running { upstream, fence, .. } = &job.state {
            let empty = || JobsThere { jobs: Vec::new(), all_idempotent: true };
            let entry = there.entry(upstream.clone()).or_insert_with(empty);
            entry.jobs.push((id.clone(), *fence));
            entry.all_idempotent &= job.spec.idempotent;
        }
    }
    there
}

/// Running work of each pool as the upstreams report it.
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
