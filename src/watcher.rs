//! Watches a running entry instance: logs changes as events and sets the gauges for a metrics
//! scrape.

use crate::entry::Entry;
use crate::event::Event;
use crate::ids::*;
use crate::jobs::PLATFORM_LOST_AFTER;
use crate::state_diff::StateSummary;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum time between two checks; holds and ejected upstreams change without a new log entry.
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two checks. A change that is reverted within this time is not reported.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after a check as a multiple of its duration, which limits the watcher to 2% of a core.
const PAUSE_FACTOR: u32 = 50;

/// State found by the last check.
struct Watcher {
    entry: Arc<Entry>,
    ready: bool,
    /// Time since which the platform has not responded.
    lost_since: Option<Time>,
    /// State of the last check and the log offset up to which it was applied; `None` before the
    /// first view.
    last_summary: Option<(Offset, StateSummary)>,
    ejected: HashSet<InstanceId>,
    empty_pools: HashSet<PoolId>,
}

/// Watches an entry instance for as long as it runs.
pub async fn run(entry: Arc<Entry>) {
    let mut watcher = Watcher {
        entry,
        ready: false,
        lost_since: None,
        last_summary: None,
        ejected: HashSet::new(),
        empty_pools: HashSet::new(),
    };
    let mut applied = watcher.entry.subscribe_applied();
    loop {
        let started = Instant::now();
        watcher.check();
        tokio::time::sleep((started.elapsed() * PAUSE_FACTOR).clamp(MIN_INTERVAL, MAX_INTERVAL))
            .await;
        // Both a new log entry and the end of the wait start the next check.
        let _ = tokio::time::timeout(MAX_INTERVAL, applied.changed()).await;
    }
}

impl Watcher {
    fn check(&mut self) {
        self.check_platform();
        self.check_state();
        self.check_readiness();
        self.check_upstreams();
    }

    fn check_platform(&mut self) {
        let (silent_for, now) = (self.entry.time_since_platform_answer(), self.entry.now());
        let lost = silent_for > PLATFORM_LOST_AFTER;
        match (self.lost_since, lost) {
            (None, true) => {
                self.lost_since = Some(now.saturating_sub(silent_for));
                self.entry
                    .log
                    .event(Event::PlatformLost, &[("since_ms", millis(silent_for).into())]);
            }
            (Some(since), false) => {
                self.lost_since = None;
                let outage_ms = millis(now.saturating_sub(since));
                self.entry.log.event(Event::PlatformBack, &[("after_ms", outage_ms.into())]);
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    fn check_state(&mut self) {
        let Some((offset, current)) = self.current_summary() else { return };
        let before = self.last_summary.replace((offset, current));
        let (Some((_, before)), Some((_, current))) = (before, &self.last_summary) else { return };
        for change in current.events_since(&before) {
            let fields = change.fields.iter();
            let fields: Vec<_> = fields.map(|(name, value)| (*name, value.as_field())).collect();
            self.entry.log.event(change.event, &fields);
        }
    }

    /// Returns the current state, or `None` if it cannot have changed since the last check.
    fn current_summary(&self) -> Option<(Offset, StateSummary)> {
        let node = self.entry.node.lock();
        let next = node.next_offset();
        let holds = node.holds();
        let unchanged = self.last_summary.as_ref().is_some_and(|(last, _)| *last == next);
        // While the log is unreachable, a hold can change without a change of the offset.
        if !node.has_view() || (unchanged && holds.is_empty() && self.lost_since.is_none()) {
            return None;
        }
        Some((next, StateSummary::new(node.state(), &holds)))
    }

    fn check_readiness(&mut self) {
        let ready = self.entry.is_ready();
        if ready && !self.ready {
            let offset = self.entry.node.lock().next_offset();
            self.entry.log.event(Event::Ready, &[("offset", offset.into())]);
        }
        self.ready = ready;
    }

    fn check_upstreams(&mut self) {
        let pools = pools(&self.entry);
        let collect_from = |pools: &[PoolStatus], select: fn(&PoolStatus) -> Vec<Arc<str>>| {
            pools.iter().flat_map(select).collect::<HashSet<Arc<str>>>()
        };
        let ejected = collect_from(&pools, |pool| pool.ejected.clone());
        let empty_pools = collect_from(&pools, |pool| {
            if pool.in_use && pool.usable == 0 { vec![pool.id.clone()] } else { Vec::new() }
        });
        for instance in ejected.difference(&self.ejected) {
            self.entry.log.event(Event::UpstreamSetAside, &[("instance", instance.into())]);
        }
        for instance in self.ejected.difference(&ejected) {
            self.entry.log.event(Event::UpstreamReturned, &[("instance", instance.into())]);
        }
        for pool in empty_pools.difference(&self.empty_pools) {
            self.entry.log.event(Event::PoolEmpty, &[("pool", pool.into())]);
        }
        (self.ejected, self.empty_pools) = (ejected, empty_pools);
    }
}

/// Status of one declared pool on this entry instance.
struct PoolStatus {
    id: PoolId,
    /// Whether a service uses the pool.
    in_use: bool,
    usable: u32,
    ejected: Vec<InstanceId>,
}

fn pools(entry: &Entry) -> Vec<PoolStatus> {
    let now = entry.now();
    let node = entry.node.lock();
    let state = node.state();
    let mut members: HashMap<&PoolId, Vec<InstanceId>> = HashMap::new();
    let live = state.instances.iter().filter(|(_, instance)| instance.gone_at.is_none());
    for (id, instance) in live {
        members.entry(&instance.pool).or_default().push(id.clone());
    }
    let dispatcher = entry.dispatcher.lock();
    let health = entry.health.lock();
    let status_of = |pool: &PoolId| {
        let ids = members.remove(pool).unwrap_or_default();
        let usable: HashSet<InstanceId> = health.usable(now, &ids).into_iter().collect();
        PoolStatus {
            id: pool.clone(),
            in_use: state.config.services.values().any(|service| service.pool == *pool),
            usable: dispatcher.usable(pool),
            ejected: ids.into_iter().filter(|id| !usable.contains(id)).collect(),
        }
    };
    state.config.pools.keys().map(status_of).collect()
}

/// Sets all gauges for a metrics scrape.
pub fn set_gauges(entry: &Entry) {
    let metrics = &entry.metrics;
    for pool in pools(entry) {
        metrics.set_upstreams(&pool.id, pool.usable, pool.ejected.len() as u32);
    }
    let now = entry.now();
    let node = entry.node.lock();
    let dispatcher = entry.dispatcher.lock();
    let state = node.state();
    for team in state.config.teams.keys() {
        metrics.set_waiting(team, dispatcher.sched.waiting(team));
        metrics.set_units(
            team,
            state.usable_grant(entry.incarnation(), team).units,
            dispatcher.running(team),
        );
    }
    metrics.set_view(node.view_age(now), node.next_offset());
    metrics.set_holds(node.holds().len() as u32);
    metrics.set_ready(entry.is_ready_with(&node));
    metrics.set_log_reachable(entry.time_since_platform_answer() <= PLATFORM_LOST_AFTER);
    metrics
        .set_in_progress(u32::try_from(*entry.subscribe_in_flight().borrow()).unwrap_or(u32::MAX));
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
