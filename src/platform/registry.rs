//! Registrations that workers write to the store.

use crate::batch::worker::WorkerInfo;
use crate::fair::Resources;
use crate::platform::json;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest registration. Those of workers have some hundred bytes.
const MAX_ENTRY_BYTES: usize = 64 * 1_024;
/// Largest capacity of a worker, far beyond any machine: processors in thousandths and memory in MB.
const MAX_PROCESSORS: u64 = 1 << 32;
const MAX_MEMORY_MB: u64 = 1 << 32;

/// Decodes a worker's registration; `None` if a field that is needed is missing, has the wrong type, or
/// has a value that no worker can have. Another writer's entry names no worker.
pub fn decode_worker(id: &str, value: &[u8]) -> Option<WorkerInfo> {
    if id.is_empty() || value.len() > MAX_ENTRY_BYTES {
        return None;
    }
    let entry: Value = serde_json::from_slice(value).ok()?;
    let draining = match json::text(&entry, "state") {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    // The first label is the worker's kind, the second its rack.
    let labels: Vec<Arc<str>> = match entry.get("labels") {
        Some(labels) => {
            labels.as_array()?.iter().map(|l| l.as_str().map(Into::into)).collect::<Option<_>>()?
        }
        None => Vec::new(),
    };
    let address: SocketAddr = json::text(&entry, "address").parse().ok()?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        return None;
    }
    let machine = entry.get("machine").map_or(Some(""), Value::as_str)?;
    Some(WorkerInfo {
        id: id.into(),
        machine: machine.into(),
        pool: json::non_empty_text(&entry, "service")?,
        zone: json::non_empty_text(&entry, "zone")?,
        rack: labels.get(1).cloned().unwrap_or_else(|| "".into()),
        labels,
        address: json::non_empty_text(&entry, "address")?,
        capacity: decode_capacity(entry.get("capacity")?)?,
        draining,
        time_left: if draining { json::millis(&entry, "remainingMs") } else { Duration::ZERO },
        incarnation: json::exact_number(&entry, "born")?,
    })
}

fn decode_capacity(capacity: &Value) -> Option<Resources> {
    capacity.as_object()?;
    let is_in_range = json::exact_number(capacity, "cpu")? <= MAX_PROCESSORS
        && json::exact_number(capacity, "memMb")? <= MAX_MEMORY_MB
        && u32::try_from(json::exact_number(capacity, "gpu")?).is_ok();
    is_in_range.then(|| json::resources(capacity))
}
