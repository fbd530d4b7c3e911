//! What operators write into the store.

use crate::batch::declarations::{Declarations, Pool, Queue, Team, Wave};
use crate::platform::json;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

/// Multiple of the chain of work where a queue names none.
const DEFAULT_SLACK_FACTOR: f64 = 2.0;

/// What a key of the operators' topic is about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Subject {
    Declarations,
    ZoneOut(Arc<str>),
    Wave(u64),
}

/// What a key is about; `None` for one that no page names.
pub fn subject(key: &str) -> Option<Subject> {
    if key == "config" {
        return Some(Subject::Declarations);
    }
    if let Some(zone) = key.strip_prefix("evacuate/") {
        return Some(Subject::ZoneOut(zone.into()));
    }
    key.strip_prefix("wave/")?.parse().ok().map(Subject::Wave)
}

/// Declarations of one version; `None` where the bytes cannot be read.
pub fn declarations(value: &[u8]) -> Option<Declarations> {
    let body: Value = serde_json::from_slice(value).ok()?;
    let version = body.get("version")?.as_u64()?;
    let mut declared = Declarations { version, ..Declarations::default() };
    declared.queues = json::list(&body, "routes").iter().filter_map(queue).collect();
    for service in json::list(&body, "services") {
        let Some(name) = json::some_text(service, "name") else { continue };
        let enforces_capacity = json::flag(service, "enforcesCapacity");
        let standby = json::flag(service, "standby");
        declared.pools.insert(name, Pool { enforces_capacity, standby });
    }
    for tenant in json::list(&body, "tenants") {
        let Some(name) = json::some_text(tenant, "name") else { continue };
        for key in json::list(tenant, "apiKeys") {
            if let Some(key) = key.as_str() {
                declared.keys.insert(key.into(), name.clone());
            }
        }
        let weight = json::number(tenant, "weight") as u32;
        // Resources that the tenant may have running, not a number of things.
        let limit = tenant.get("maxCount").map(json::need).unwrap_or_default();
        declared.teams.insert(name, Team { weight, limit });
    }
    Some(declared)
}

fn queue(route: &Value) -> Option<Queue> {
    let slack = route.get("slackFactor").and_then(Value::as_f64);
    Some(Queue {
        id: json::some_text(route, "name")?,
        host: json::some_text(route, "host")?,
        path_prefix: json::some_text(route, "pathPrefix")?,
        pool: json::some_text(route, "service")?,
        priority: json::number(route, "priority") as u32,
        max_attempts: (json::number(route, "maxAttempts") as u32).max(1),
        slack_factor: slack.filter(|s| *s >= 1.0).unwrap_or(DEFAULT_SLACK_FACTOR),
        target_latency: json::millis(route, "targetLatencyMs"),
        public: json::flag(route, "public"),
        requires_advice: route.get("advice").is_some_and(Value::is_object),
    })
}

/// A wave of maintenance; `None` where it cannot be read.
pub fn wave(number: u64, value: &[u8]) -> Option<Wave> {
    let body: Value = serde_json::from_slice(value).ok()?;
    let machines = json::list(&body, "machines").iter();
    Some(Wave {
        number,
        machines: machines.filter_map(|m| m.as_str().map(Into::into)).collect(),
        duration: json::seconds(&body, "durationS").unwrap_or(Duration::ZERO),
        // Machines that may be away at once.
        max_at_once: (json::number(&body, "maxCount") as u32).max(1),
    })
}

/// Key and value of a wave's state for operators.
pub fn wave_status(number: u64, complete: bool) -> (String, Vec<u8>) {
    let state = if complete { "complete" } else { "running" };
    (format!("wave/{number}"), json!({ "state": state }).to_string().into_bytes())
}
