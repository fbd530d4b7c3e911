//! Runs the controller: supplies its inputs at a fixed interval and executes the steps it plans.

use crate::controller::{Controller, Inputs, PASS_INTERVAL, Pass, Step, is_leader};
use crate::entry::Entry;
use crate::event::Event;
use crate::fleet::Wait;
use crate::ids::*;
use crate::job_runner;
use crate::protocol::InstanceList;
use crate::sched::PoolLoad;
use crate::upstream::Target;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::{MissedTickBehavior, interval};

/// Runs planning passes until the entry instance stops.
pub async fn run(entry: Arc<Entry>) {
    let mut controller = Controller::new();
    let mut waits = Vec::new();
    let mut ticks = interval(PASS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let list = entry.list.lock().clone();
        let pass = run_pass(&entry, &mut controller, &list);
        log_new_waits(&entry, &waits, &pass.waits);
        waits = pass.waits;
        for step in pass.steps {
            execute_step(&entry, &mut controller, &list, step).await;
        }
    }
}

fn run_pass(entry: &Entry, controller: &mut Controller, list: &InstanceList) -> Pass {
    let reports = entry.clocks.reports();
    let node = entry.node.lock();
    let loads = pool_loads(entry, node.state().config.pools.keys());
    let inputs = Inputs {
        now: entry.now(),
        unix_s: unix_s(),
        node: &node,
        list,
        reports: &reports,
        loads: &loads,
    };
    controller.observe(&inputs);
    match node.has_view() && is_leader(&node) {
        true => controller.plan(&inputs),
        false => Pass::default(),
    }
}

/// Logs the waits that were not part of the last pass.
fn log_new_waits(entry: &Entry, previous: &[Wait], current: &[Wait]) {
    for wait in current.iter().filter(|wait| !previous.contains(wait)) {
        let reason = wait.reason.to_string();
        let fields = [("pool", (&wait.pool).into()), ("reason", reason.as_str().into())];
        entry.log.event(Event::PlanWaits, &fields);
    }
}

fn pool_loads<'a>(
    entry: &Entry,
    pools: impl Iterator<Item = &'a PoolId>,
) -> IndexMap<PoolId, PoolLoad> {
    let dispatcher = entry.dispatcher.lock();
    pools.map(|pool| (pool.clone(), dispatcher.sched.pool_load(pool))).collect()
}

fn unix_s() -> u64 {
    // A system clock set before 1970 counts as 1970 in maintenance planning.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_secs())
}

async fn execute_step(
    entry: &Arc<Entry>,
    controller: &mut Controller,
    list: &InstanceList,
    step: Step,
) {
    match step {
        Step::Propose(record) => {
            entry.propose(record);
        }
        Step::Probe(instance) => entry.clocks.probe_soon(&instance),
        Step::Reboot { instance, op } => {
            // Without an answer, the next pass repeats the request with the same op id.
            if let Ok(state) = entry.platform.reboot(&instance, op).await {
                controller.on_reboot(entry.now(), &instance, state);
            }
        }
        Step::Checkpoint { instance, jobs } => {
            let Some(target) = target(entry, list, &instance) else { return };
            for (job, fence) in jobs {
                // A job without a checkpoint restarts from the beginning when it is stopped.
                let _ = entry.upstreams.checkpoint_task(&target, &job, fence).await;
            }
        }
        Step::Stop { instance, jobs } => {
            let Some(target) = target(entry, list, &instance) else { return };
            for (job, fence) in jobs {
                // The holder of the job observes the stop and releases the job. A failed call is
                // repeated by a later pass.
                let _ = entry.upstreams.stop_task(&target, &job, fence).await;
            }
        }
    }
}

fn target(entry: &Entry, list: &InstanceList, instance: &InstanceId) -> Option<Target> {
    let listed = list.instances.iter().find(|listed| listed.id == *instance)?;
    Some(job_runner::task_target(entry, listed))
}
