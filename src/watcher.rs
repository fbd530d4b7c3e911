//! Watches a running entry instance: writes what changed to the log, and sets gauges for a scrape.

use crate::entry::Entry;
use crate::event::Event;
use crate::ids::*;
use crate::jobs::PLATFORM_LOST_AFTER;
use crate::look::Look;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time between two looks; holds and set-aside upstreams change without a fold.
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two looks. What is done and undone within it is not reported.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after a look in multiples of its time, which bounds the watcher to 2% of a core.
const COST: u32 = 50;

/// What was seen at the last look.
struct Watcher {
    entry: Arc<Entry>,
    ready: bool,
    /// Since when the platform has not answered.
    away_since: Option<Time>,
    /// Offset of the last look, and the look; `None` before the first view.
    look: Option<(Offset, Look)>,
    set_aside: HashSet<InstanceId>,
    empty_pools: HashSet<PoolId>,
}

/// Watches an entry instance for as long as it runs.
pub async fn run(entry: Arc<Entry>) {
    let mut watcher = Watcher {
        entry,
        ready: false,
        away_since: None,
        look: None,
        set_aside: HashSet::new(),
        empty_pools: HashSet::new(),
    };
    let mut folded = watcher.entry.subscribe_folded();
    loop {
        let started = Instant::now();
        watcher.look();
        tokio::time::sleep((started.elapsed() * COST).clamp(MIN_INTERVAL, MAX_INTERVAL)).await;
        // Both a fold and the end of the wait lead to the next look.
        let _ = tokio::time::timeout(MAX_INTERVAL, folded.changed()).await;
    }
}

impl Watcher {
    fn look(&mut self) {
        self.look_at_platform();
        self.look_at_state();
        self.look_at_readiness();
        self.look_at_upstreams();
    }

    fn look_at_platform(&mut self) {
        let (age, now) = (self.entry.time_since_platform_answer(), self.entry.now());
        let away = age > PLATFORM_LOST_AFTER;
        match (self.away_since, away) {
            (None, true) => {
                self.away_since = Some(now.saturating_sub(age));
                self.entry.log.event(Event::PlatformLost, &[("since_ms", millis(age).into())]);
            }
            (Some(since), false) => {
                self.away_since = None;
                let after = millis(now.saturating_sub(since));
                self.entry.log.event(Event::PlatformBack, &[("after_ms", after.into())]);
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    fn look_at_state(&mut self) {
        let Some((offset, look)) = self.take_look() else { return };
        let before = self.look.replace((offset, look));
        let (Some((_, before)), Some((_, look))) = (before, &self.look) else { return };
        for noticed in look.since(&before) {
            let fields = noticed.fields.iter();
            let fields: Vec<_> = fields.map(|(name, value)| (*name, value.as_field())).collect();
            self.entry.log.event(noticed.event, &fields);
        }
    }

    /// A new look, unless nothing can have changed.
    fn take_look(&self) -> Option<(Offset, Look)> {
        let node = self.entry.node.lock();
        let next = node.next_offset();
        let holds = node.holds();
        let same = self.look.as_ref().is_some_and(|(last, _)| *last == next);
        // A hold changes no offset while the log is away.
        if !node.has_view() || (same && holds.is_empty() && self.away_since.is_none()) {
            return None;
        }
        Some((next, Look::new(node.state(), &holds)))
    }

    fn look_at_readiness(&mut self) {
        let ready = self.entry.is_ready();
        if ready && !self.ready {
            let offset = self.entry.node.lock().next_offset();
            self.entry.log.event(Event::Ready, &[("offset", offset.into())]);
        }
        self.ready = ready;
    }

    fn look_at_upstreams(&mut self) {
        let pools = pools(&self.entry);
        let of = |pools: &[PoolLook], pick: fn(&PoolLook) -> Vec<Arc<str>>| {
            pools.iter().flat_map(pick).collect::<HashSet<Arc<str>>>()
        };
        let set_aside = of(&pools, |pool| pool.set_aside.clone());
        let empty = of(&pools, |pool| {
            if pool.used && pool.usable == 0 { vec![pool.id.clone()] } else { Vec::new() }
        });
        for instance in set_aside.difference(&self.set_aside) {
            self.entry.log.event(Event::UpstreamSetAside, &[("instance", instance.into())]);
        }
        for instance in self.set_aside.difference(&set_aside) {
            self.entry.log.event(Event::UpstreamReturned, &[("instance", instance.into())]);
        }
        for pool in empty.difference(&self.empty_pools) {
            self.entry.log.event(Event::PoolEmpty, &[("pool", pool.into())]);
        }
        (self.set_aside, self.empty_pools) = (set_aside, empty);
    }
}

/// One declared pool as this entry instance can use it.
struct PoolLook {
    id: PoolId,
    /// Whether a service names it.
    used: bool,
    usable: u32,
    set_aside: Vec<InstanceId>,
}

fn pools(entry: &Entry) -> Vec<PoolLook> {
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
    let look = |pool: &PoolId| {
        let ids = members.remove(pool).unwrap_or_default();
        let usable: HashSet<InstanceId> = health.usable(now, &ids).into_iter().collect();
        PoolLook {
            id: pool.clone(),
            used: state.config.services.values().any(|service| service.pool == *pool),
            usable: dispatcher.usable(pool),
            set_aside: ids.into_iter().filter(|id| !usable.contains(id)).collect(),
        }
    };
    state.config.pools.keys().map(look).collect()
}

/// Sets every gauge, for a scrape.
pub fn set_gauges(entry: &Entry) {
    let metrics = &entry.metrics;
    for pool in pools(entry) {
        metrics.set_upstreams(&pool.id, pool.usable, pool.set_aside.len() as u32);
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
