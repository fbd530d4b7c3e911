//! Periodic probes of upstreams, which report their clock, load, health and draining state.

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

/// Time between two probes of an upstream that responds. 60 upstreams with about 400 bytes per
/// probe cause 1.6 KB/s of traffic.
const PROBE_INTERVAL: Duration = Duration::from_secs(15);
/// Time between two probes of an upstream that does not respond, is draining, or has no known
/// `up_since`.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks for due probes.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of probes in flight.
const MAX_PROBES: usize = 16;
/// Maximum age of a clock reading in use: at this age, a drift of 5% amounts to 3 s.
const MAX_CLOCK_AGE: Duration = Duration::from_secs(60);
/// A reading that differs from the expected value by more than this, in addition to the drift,
/// means that the upstream has restarted.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);
/// The clock rates of two processes differ by at most 1 part in this many.
const CLOCK_DRIFT_DIVISOR: u32 = 20;

/// Result of the last probes of one upstream.
#[derive(Clone, Copy, Debug)]
struct ProbeState {
    clock: UpstreamClock,
    draining: bool,
    answered: bool,
    running: u32,
    next_probe: Time,
    /// Log position at which this process of the upstream is known to have been running; it started
    /// before any entry from this offset on was appended.
    up_since: Option<Offset>,
}

/// Clock readings and other probe results of all upstreams.
#[derive(Default)]
pub struct UpstreamClocks {
    states: Mutex<HashMap<InstanceId, ProbeState>>,
}

impl UpstreamClocks {
    /// Creates an empty table.
    pub fn new() -> UpstreamClocks {
        UpstreamClocks::default()
    }

    /// Whether the upstream's clock has been read, which is necessary to limit the start time of
    /// work.
    pub fn has_clock(&self, upstream: &InstanceId) -> bool {
        self.states.lock().contains_key(upstream)
    }

    /// Returns the clock of an upstream if its last reading is recent enough.
    pub fn get(&self, now: Time, upstream: &InstanceId) -> Option<UpstreamClock> {
        let states = self.states.lock();
        let clock = states.get(upstream)?.clock;
        (now.saturating_sub(clock.at) <= MAX_CLOCK_AGE).then_some(clock)
    }

    /// Whether the current process of an upstream is known to have been running before `offset` was
    /// appended.
    pub fn was_running_at(&self, upstream: &InstanceId, offset: Offset) -> bool {
        let states = self.states.lock();
        states.get(upstream).is_some_and(|s| s.answered && s.up_since.is_some_and(|o| o <= offset))
    }

    /// Returns the result of the last probe of each upstream.
    pub fn reports(&self) -> HashMap<InstanceId, ProbeReport> {
        let states = self.states.lock();
        let report = |state: &ProbeState| ProbeReport {
            at: state.clock.at,
            running: state.running,
            answered: state.answered,
        };
        states.iter().map(|(id, state)| (id.clone(), report(state))).collect()
    }

    /// Makes a probe of an upstream due now, for example because it reported that it is draining.
    pub fn probe_soon(&self, upstream: &InstanceId) {
        if let Some(state) = self.states.lock().get_mut(upstream) {
            state.next_probe = Time::ZERO;
        }
    }

    fn is_due(&self, now: Time, listed: &ListedInstance) -> bool {
        self.states.lock().get(&listed.id).is_none_or(|state| state.next_probe <= now)
    }

    fn retain_listed(&self, listed: &[ListedInstance]) {
        let ids: HashSet<&InstanceId> = listed.iter().map(|instance| &instance.id).collect();
        self.states.lock().retain(|id, _| ids.contains(id));
    }

    /// Records the response to a probe; returns whether the usability of the upstream may have
    /// changed.
    fn on_response(
        &self,
        now: Time,
        upstream: &InstanceId,
        status: &UpstreamStatus,
        position: Option<Offset>,
    ) -> bool {
        let clock = UpstreamClock { at: now, clock_ms: status.clock_ms };
        let mut states = self.states.lock();
        let last = states.get(upstream).copied();
        let is_continuous = last.is_some_and(|last| may_be_same_process(&last.clock, &clock));
        let up_since = match last {
            Some(last) if is_continuous => last.up_since.or(position),
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

    /// Records a probe without a valid response.
    fn on_failure(&self, now: Time, upstream: &InstanceId) {
        if let Some(state) = self.states.lock().get_mut(upstream) {
            state.answered = false;
            state.next_probe = now + RETRY_INTERVAL;
        }
    }
}

/// Whether two clock readings may come from the same process of an upstream.
fn may_be_same_process(last: &UpstreamClock, new: &UpstreamClock) -> bool {
    let elapsed = new.at.saturating_sub(last.at);
    let tolerance = CLOCK_TOLERANCE + elapsed / CLOCK_DRIFT_DIVISOR;
    let advance =
        Duration::from_millis(new.clock_ms).checked_sub(Duration::from_millis(last.clock_ms));
    advance.is_some_and(|advance| advance + tolerance >= elapsed && advance <= elapsed + tolerance)
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
        let due = upstreams.into_iter().filter(|listed| entry.clocks.is_due(now, listed));
        let due: Vec<ListedInstance> =
            due.filter(|listed| !retry_at.contains_key(&listed.id)).collect();
        if due.is_empty() {
            continue;
        }
        let changed = probe_all(&entry, due, &mut retry_at).await;
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
    due: Vec<ListedInstance>,
    retry_at: &mut HashMap<InstanceId, Time>,
) -> bool {
    let probes = stream::iter(due).map(|listed| async move {
        let response = entry.upstreams.probe(&listed.addr).await.ok();
        (listed, response)
    });
    let mut probes = probes.buffer_unordered(MAX_PROBES);
    let mut changed = false;
    while let Some((listed, response)) = probes.next().await {
        let ok = response.is_some();
        changed |= on_probe(entry, &listed, response);
        if !ok {
            retry_at.insert(listed.id, entry.now() + RETRY_INTERVAL);
        }
    }
    changed
}

/// Records the result of a probe; returns whether the usability of the upstream may have changed.
pub fn on_probe(entry: &Entry, listed: &ListedInstance, response: Option<ProbeResponse>) -> bool {
    let now = entry.now();
    // Another instance may have taken over the address of the listed one.
    let status = response.map(|response| response.status).filter(|status| status.id == listed.id);
    entry.health.lock().on_probe(now, &listed.id, status.is_some());
    let Some(status) = status else {
        entry.clocks.on_failure(now, &listed.id);
        return true;
    };
    let position = {
        let mut node = entry.node.lock();
        node.on_draining(&listed.id, status.draining);
        let view_is_current = node.view_age(now) <= RETRY_INTERVAL;
        let position = view_is_current.then(|| node.next_offset());
        entry.dispatcher.lock().sched.on_load(now, &listed.id, status.running);
        position
    };
    entry.clocks.on_response(now, &listed.id, &status, position)
}
