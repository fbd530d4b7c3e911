//! Watches attempts that receive no response: a probe on a new connection shows whether only the
//! existing connections or the upstream itself stopped responding.

use crate::dispatch;
use crate::entry::Entry;
use crate::health::{PROBE_TIMEOUT, SILENCE_TIMEOUT, SilenceAction};
use crate::ids::*;
use crate::probe;
use crate::protocol::ListedInstance;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time between two checks while the probe of another attempt is in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What stopped responding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilenceScope {
    /// The existing connections; new connections work.
    Connections,
    /// The upstream itself.
    Upstream,
}

/// Returns when the connections of an attempt have been retired or its upstream has been ejected.
/// The caller drops the future once the attempt has a response.
pub async fn watch(entry: Arc<Entry>, upstream: ListedInstance, generation: u64) -> SilenceScope {
    sleep(SILENCE_TIMEOUT).await;
    while !is_retired(&entry, &upstream.id, generation) {
        let now = entry.now();
        let action = entry.health.lock().on_silence_in(now, &upstream.id, generation);
        match action {
            SilenceAction::Probe => send_probe(&entry, &upstream).await,
            SilenceAction::Wait => sleep(POLL_INTERVAL).await,
            SilenceAction::Retire => return SilenceScope::Connections,
            SilenceAction::Eject => {
                dispatch::refresh_upstreams(&entry);
                return SilenceScope::Upstream;
            }
        }
    }
    SilenceScope::Connections
}

/// Whether the watch of another attempt has already retired the connections.
fn is_retired(entry: &Entry, upstream: &InstanceId, generation: u64) -> bool {
    entry.health.lock().generation(upstream) > generation
}

async fn send_probe(entry: &Entry, upstream: &ListedInstance) {
    let response = timeout(PROBE_TIMEOUT, entry.upstreams.probe(&upstream.addr)).await;
    let response = response.ok().and_then(Result::ok);
    probe::on_probe(entry, upstream, response);
}
