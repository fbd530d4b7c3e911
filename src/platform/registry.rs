//! What workers write about themselves into the store.

use crate::batch::worker::WorkerInfo;
use crate::platform::json;
use serde_json::Value;

/// A worker's entry. `None` where another writer left out or mistyped what is needed to use it.
pub fn worker(id: &str, value: &[u8]) -> Option<WorkerInfo> {
    let entry: Value = serde_json::from_slice(value).ok()?;
    let draining = match json::text(&entry, "state") {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    // Kind of the worker, then its rack.
    let labels = json::list(&entry, "labels").iter();
    let labels: Vec<_> = labels.filter_map(|l| l.as_str().map(Into::into)).collect();
    let capacity = entry.get("capacity").filter(|c| c.is_object())?;
    json::text(&entry, "address").parse::<std::net::SocketAddr>().ok()?;
    Some(WorkerInfo {
        id: id.into(),
        machine: json::text(&entry, "machine").into(),
        pool: json::some_text(&entry, "service")?,
        zone: json::some_text(&entry, "zone")?,
        rack: labels.get(1).cloned().unwrap_or_else(|| "".into()),
        labels,
        address: json::some_text(&entry, "address")?,
        capacity: json::need(capacity),
        draining,
        incarnation: json::number(&entry, "born"),
    })
}
