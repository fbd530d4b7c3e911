//! Probes of upstreams: their clocks, load, health, and whether they drain.

use crate::controller::ProbeReport;
use crate::dispatch;
use crate::entry::Entry;
use crate::ids::*;
use crate::protocol::{Listed, Role, UpstreamStatus};
use crate::upstream::{Probed, UpstreamClock};
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
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Probes in flight at once.
const MAX_PROBES: usize = 16;
/// A clock reading older than this is not used: with 5% drift it is off by 3 s.
const MAX_CLOCK_AGE: Duration = Duration::from_secs(60);
/// Readings that differ from the expected value by more than this and the drift are another life of
/// the upstream.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);
/// Bound on the difference of clock rates: 1 part in this many.
const DRIFT_PARTS: u32 = 20;

/// What probes have told about one upstream.
#[derive(Clone, Copy, Debug)]
struct Known {
    clock: UpstreamClock,
    draining: bool,
    answered: bool,
    running: u32,
    next_probe: Time,
    /// Log position for which this life of the upstream is known to have run already; entries from
    /// here on are younger than its start.
    runs_since: Option<Offset>,
}

/// Clocks of the upstreams.
#[derive(Default)]
pub struct Clocks {
    known: Mutex<HashMap<InstanceId, Known>>,
}

impl Clocks {
    /// No clocks yet.
    pub fn new() -> Clocks {
        Clocks::default()
    }

    /// Whether an upstream's clock has been read, without which no start can be limited.
    pub fn knows(&self, upstream: &InstanceId) -> bool {
        self.known.lock().contains_key(upstream)
    }

    /// The clock of an upstream, if it was read lately.
    pub fn get(&self, now: Time, upstream: &InstanceId) -> Option<UpstreamClock> {
        let known = self.known.lock();
        let clock = known.get(upstream)?.clock;
        (now.saturating_sub(clock.at) <= MAX_CLOCK_AGE).then_some(clock)
    }

    /// Whether this life of an upstream has surely run since before the log had `offset`.
    pub fn ran_before(&self, upstream: &InstanceId, offset: Offset) -> bool {
        let known = self.known.lock();
        known.get(upstream).is_some_and(|k| k.answered && k.runs_since.is_some_and(|o| o <= offset))
    }

    /// What the last probe of each upstream told.
    pub fn reports(&self) -> HashMap<InstanceId, ProbeReport> {
        let known = self.known.lock();
        let report = |known: &Known| ProbeReport {
            at: known.clock.at,
            running: known.running,
            answered: known.answered,
        };
        known.iter().map(|(id, known)| (id.clone(), report(known))).collect()
    }

    /// Makes an upstream due for a probe, for example because it answered "draining".
    pub fn hurry(&self, upstream: &InstanceId) {
        if let Some(known) = self.known.lock().get_mut(upstream) {
            known.next_probe = Time::ZERO;
        }
    }

    fn due(&self, now: Time, listed: &Listed) -> bool {
        self.known.lock().get(&listed.id).is_none_or(|known| known.next_probe <= now)
    }

    fn keep(&self, listed: &[Listed]) {
        let ids: HashSet<&InstanceId> = listed.iter().map(|l| &l.id).collect();
        self.known.lock().retain(|id, _| ids.contains(id));
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
        let mut known = self.known.lock();
        let last = known.get(upstream).copied();
        let same_life = last.is_some_and(|last| continues(&last.clock, &clock));
        let runs_since = match last {
            Some(last) if same_life => last.runs_since.or(position),
            _ => None,
        };
        let interval =
            if status.draining || runs_since.is_none() { RETRY_INTERVAL } else { PROBE_INTERVAL };
        let (draining, running) = (status.draining, status.running);
        let next_probe = now + interval;
        let new = Known { clock, draining, answered: true, running, next_probe, runs_since };
        known.insert(upstream.clone(), new);
        last.is_none_or(|last| last.draining != draining || !last.answered)
    }

    /// Takes note of a probe without an answer.
    fn on_failure(&self, now: Time, upstream: &InstanceId) {
        if let Some(known) = self.known.lock().get_mut(upstream) {
            known.answered = false;
            known.next_probe = now + RETRY_INTERVAL;
        }
    }
}

/// Whether two readings can be of one life of an upstream.
fn continues(last: &UpstreamClock, new: &UpstreamClock) -> bool {
    let elapsed = new.at.saturating_sub(last.at);
    let slack = CLOCK_TOLERANCE + elapsed / DRIFT_PARTS;
    let shown =
        Duration::from_millis(new.clock_ms).checked_sub(Duration::from_millis(last.clock_ms));
    shown.is_some_and(|shown| shown + slack >= elapsed && shown <= elapsed + slack)
}

/// Probes upstreams for as long as the entry instance runs.
pub async fn run(entry: Arc<Entry>) {
    let mut failed: HashMap<InstanceId, Time> = HashMap::new();
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let now = entry.now();
        let upstreams = listed_upstreams(&entry);
        entry.clocks.keep(&upstreams);
        failed.retain(|_, until| *until > now);
        for upstream in entry.health.lock().due_probes(now) {
            entry.clocks.hurry(&upstream);
        }
        let due = upstreams.into_iter().filter(|l| entry.clocks.due(now, l));
        let due: Vec<Listed> = due.filter(|l| !failed.contains_key(&l.id)).collect();
        if due.is_empty() {
            continue;
        }
        let changed = probe_all(&entry, due, &mut failed).await;
        if changed {
            dispatch::refresh_upstreams(&entry);
        }
    }
}

fn listed_upstreams(entry: &Entry) -> Vec<Listed> {
    let list = entry.list.lock().clone();
    list.instances.iter().filter(|l| l.role == Role::Upstream).cloned().collect()
}

async fn probe_all(
    entry: &Arc<Entry>,
    due: Vec<Listed>,
    failed: &mut HashMap<InstanceId, Time>,
) -> bool {
    let probes = stream::iter(due).map(|listed| async move {
        let answer = entry.upstreams.probe(&listed.addr).await.ok();
        (listed, answer)
    });
    let mut probes = probes.buffer_unordered(MAX_PROBES);
    let mut changed = false;
    while let Some((listed, answer)) = probes.next().await {
        let ok = answer.is_some();
        changed |= on_probe(entry, &listed, answer);
        if !ok {
            failed.insert(listed.id, entry.now() + RETRY_INTERVAL);
        }
    }
    changed
}

/// Passes a probe's answer on; true when the upstream may now be used otherwise than before.
pub fn on_probe(entry: &Entry, listed: &Listed, answer: Option<Probed>) -> bool {
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
