//! Probes of upstreams: their clocks, load, health, and whether they drain.

use crate::controller::ProbeReport;
use crate::dispatch;
use crate::entry::Entry;
use crate::ids::*;
use crate::protocol::{ListedInstance, Role, UpstreamStatus};
use crate::upstream::{ProbeResponse, UpstreamClock};
use futures::stream::{self, StreamExt};
use parking_lot::Mutex;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Time between two probes of an upstream that answers. 60 upstreams at about 400 bytes a probe make
/// 1.6 KB/s.
const PROBE_INTERVAL: Duration = Duration::from_secs(15);
/// Time between two probes of an upstream that does not answer or drains.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two looks for due probes.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Probes in flight at once.
const MAX_PROBES: usize = 16;
/// A clock reading older than this is not used: with 5% drift it is off by 3 s.
const MAX_CLOCK_AGE: Duration = Duration::from_secs(60);
/// Readings that differ from the expected value by more than this and the drift are another life of
/// the upstream.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);
/// Bound on the difference of clock rates: 1 part in this many.
const CLOCK_DRIFT_DIVISOR: u32 = 20;

/// What probes have told about one upstream.
#[derive(Clone, Copy, Debug)]
struct ProbeState {
    clock: UpstreamClock,
    draining: bool,
    answered: bool,
    running: u32,
    next_probe: Time,
    /// Log position for which this life of the upstream is known to have run already; entries from
    /// here on are younger than its start.
    up_since: Option<Offset>,
}

/// Clocks of the upstreams.
#[derive(Default)]
pub struct UpstreamClocks {
    states: Mutex<HashMap<InstanceId, ProbeState>>,
}

impl UpstreamClocks {
    /// No clocks yet.
    pub fn new() -> UpstreamClocks {
        UpstreamClocks::default()
    }

    /// Whether an upstream's clock has been read, without which no start can be limited.
    pub fn has_clock(&self, upstream: &InstanceId) -> bool {
        self.states.lock().contains_key(upstream)
    }

    /// The clock of an upstream, if it was read lately.
    pub fn get(&self, now: Time, upstream: &InstanceId) -> Option<UpstreamClock> {
        let states = self.states.lock();
        let clock = states.get(upstream)?.clock;
        (now.saturating_sub(clock.at) <= MAX_CLOCK_AGE).then_some(clock)
    }

    /// Whether this life of an upstream has surely run since before the log had `offset`.
    pub fn was_running_at(&self, upstream: &InstanceId, offset: Offset) -> bool {
        let states = self.states.lock();
        states.get(upstream).is_some_and(|s| s.answered && s.up_since.is_some_and(|o| o <= offset))
    }

    /// What the last probe of each upstream told.
    pub fn reports(&self) -> HashMap<InstanceId, ProbeReport> {
        let states = self.states.lock();
        let report = |states: &ProbeState| ProbeReport {
            at: states.clock.at,
            running: states.running,
            answered: states.answered,
        };
        states.iter().map(|(id, states)| (id.clone(), report(states))).collect()
    }

    /// Makes an upstream due for a probe, for example because it answered "draining".
    pub fn probe_soon(&self, upstream: &InstanceId) {
        if let Some(states) = self.states.lock().get_mut(upstream) {
            states.next_probe = Time::ZERO;
        }
    }

    fn is_due(&self, now: Time, listed: &ListedInstance) -> bool {
        self.states.lock().get(&listed.id).is_none_or(|states| states.next_probe <= now)
    }

    fn retain_listed(&self, listed: &[ListedInstance]) {
        let ids: HashSet<&InstanceId> = listed.iter().map(|listed| &listed.id).collect();
        self.states.lock().retain(|id, _| ids.contains(id));
    }

    /// Takes an answer; true when the upstream may now be used otherwise than before.
    fn on_answer(
        &self,
        now: Time,
        upstream: &InstanceId,
        status: &UpstreamStatus,
        position: Option<Offset>,
    ) -> bool {
        let clock = UpstreamClock { at: now, clock_ms: status.clock_ms };
        let mut states = self.states.lock();
        let last = states.get(upstream).copied();
        let same_process = last.is_some_and(|last| is_same_process(&last.clock, &clock));
        let up_since = match last {
            Some(last) if same_process => last.up_since.or(position),
            _ => None,
        };
        let interval =
            if status.draining || up_since.is_none() { RETRY_INTERVAL } else { PROBE_INTERVAL };
        let (draining, running) = (status.draining, status.running);
        let next_probe = now + interval;
        let new = ProbeState { clock, draining, answered: true, running, next_probe, up_since };
        states.insert(upstream.clone(), new);
        last.is_none_or(|last| last.draining != draining || !last.answered)
    }

    /// Takes note of a probe without an answer.
    fn on_failure(&self, now: Time, upstream: &InstanceId) {
        if let Some(states) = self.states.lock().get_mut(upstream) {
            states.answered = false;
            states.next_probe = now + RETRY_INTERVAL;
        }
    }
}

/// Whether two readings can be of one life of an upstream.
fn is_same_process(last: &UpstreamClock, new: &UpstreamClock) -> bool {
    let elapsed = new.at.saturating_sub(last.at);
    let slack = CLOCK_TOLERANCE + elapsed / CLOCK_DRIFT_DIVISOR;
    let shown =
        Duration::from_millis(new.clock_ms).checked_sub(Duration::from_millis(last.clock_ms));
    shown.is_some_and(|shown| shown + slack >= elapsed && shown <= elapsed + slack)
}

/// Probes upstreams for as long as the entry instance runs.
pub async fn run(entry: Arc<Entry>) {
    let mut retry_at: HashMap<InstanceId, Time> = HashMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = entry.now();
        let upstreams = listed_upstreams(&entry);
        entry.clocks.retain_listed(&upstreams);
        retry_at.retain(|_, until| *until > now);
        for upstream in entry.health.lock().due_probes(now) {
            entry.clocks.probe_soon(&upstream);
        }
        let is_due = upstreams.into_iter().filter(|listed| entry.clocks.is_due(now, listed));
        let is_due: Vec<ListedInstance> =
            is_due.filter(|listed| !retry_at.contains_key(&listed.id)).collect();
        if is_due.is_empty() {
            continue;
        }
        let changed = probe_all(&entry, is_due, &mut retry_at).await;
        if changed {
            dispatch::refresh_upstreams(&entry);
        }
    }
}

fn listed_upstreams(entry: &Entry) -> Vec<ListedInstance> {
    let list = entry.list.lock().clone();
    list.instances.iter().filter(|listed| listed.role == Role::Upstream).cloned().collect()
}

async fn probe_all(
    entry: &Arc<Entry>,
    is_due: Vec<ListedInstance>,
    retry_at: &mut HashMap<InstanceId, Time>,
) -> bool {
    let probes = stream::iter(is_due).map(|listed| async move {
        let answer = entry.upstreams.probe(&listed.addr).await.ok();
        (listed, answer)
    });
    let mut probes = probes.buffer_unordered(MAX_PROBES);
    let mut changed = false;
    while let Some((listed, answer)) = probes.next().await {
        let ok = answer.is_some();
        changed |= on_probe(entry, &listed, answer);
        if !ok {
            retry_at.insert(listed.id, entry.now() + RETRY_INTERVAL);
        }
    }
    changed
}

/// Passes a probe's answer on; true when the upstream may now be used otherwise than before.
pub fn on_probe(entry: &Entry, listed: &ListedInstance, answer: Option<ProbeResponse>) -> bool {
    let now = entry.now();
    // An instance that took over the address is not the one that the list names.
    let status = answer.map(|probed| probed.status).filter(|status| status.id == listed.id);
    entry.health.lock().on_probe(now, &listed.id, status.is_some());
    let Some(status) = status else {
        entry.clocks.on_failure(now, &listed.id);
        return true;
    };
    let position = {
        let mut node = entry.node.lock();
        node.on_draining(&listed.id, status.draining);
        let fresh = node.view_age(now) <= RETRY_INTERVAL;
        let position = fresh.then(|| node.next_offset());
        entry.dispatcher.lock().sched.on_load(now, &listed.id, status.running);
        position
    };
    entry.clocks.on_answer(now, &listed.id, &status, position)
}
