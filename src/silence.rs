//! Watches attempts that receive no byte: a probe on a new connection tells a silent connection from
//! an upstream that is down.

use crate::dispatch;
use crate::entry::Entry;
use crate::health::{PROBE_TIMEOUT, SILENCE_TIMEOUT, SilenceAction};
use crate::ids::*;
use crate::probe;
use crate::protocol::ListedInstance;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time between two looks while another attempt's probe is under way.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// What has proved silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilenceScope {
    /// The connections; new ones work.
    Connections,
    /// The upstream.
    Upstream,
}

/// Returns when the connections of an attempt have been retired or its upstream was set aside. Drop it
/// when the attempt has an answer.
pub async fn watch(entry: Arc<Entry>, upstream: ListedInstance, generation: u64) -> SilenceScope {
    sleep(SILENCE_TIMEOUT).await;
    while !is_over(&entry, &upstream.id, generation) {
        let now = entry.now();
        let step = entry.health.lock().on_silence_in(now, &upstream.id, generation);
        match step {
            SilenceAction::Probe => probe_now(&entry, &upstream).await,
            SilenceAction::Wait => sleep(LOOK_INTERVAL).await,
            SilenceAction::Retire => return SilenceScope::Connections,
            SilenceAction::Eject => {
                dispatch::refresh_upstreams(&entry);
                return SilenceScope::Upstream;
            }
        }
    }
    SilenceScope::Connections
}

/// Whether another attempt's watch has retired the connections already.
fn is_over(entry: &Entry, upstream: &InstanceId, generation: u64) -> bool {
    entry.health.lock().generation(upstream) > generation
}

async fn probe_now(entry: &Entry, upstream: &ListedInstance) {
    let answer = timeout(PROBE_TIMEOUT, entry.upstreams.probe(&upstream.addr)).await;
    let answer = answer.ok().and_then(Result::ok);
    probe::on_probe(entry, upstream, answer);
}
