//! Records that operators write to the store, and the status reported to them.

use crate::batch::declarations::{Declarations, Pool, Queue, RequestLimits, Team, Wave};
use crate::platform::json;
use indexmap::IndexSet;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

/// Slack factor of a queue that declares none, as a multiple of its longest chain of work.
const DEFAULT_SLACK_FACTOR: f64 = 2.0;

/// Parsed key of a record in the operators' topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorKey {
    Declarations,
    ZoneOut(Arc<str>),
    Wave(u64),
}

/// Parses a key; `None` if the key is unknown.
pub fn parse_key(key: &str) -> Option<OperatorKey> {
    if key == "config" {
        return Some(OperatorKey::Declarations);
    }
    if let Some(zone) = key.strip_prefix("evacuate/") {
        return (!zone.is_empty()).then(|| OperatorKey::ZoneOut(zone.into()));
    }
    let number = key.strip_prefix("wave/")?;
    let wave: u64 = number.parse().ok()?;
    // Another spelling of the number would replace the wave.
    (wave.to_string() == number).then_some(OperatorKey::Wave(wave))
}

/// Decodes one version of the declarations, without the parts that cannot be read; `None` if the value
/// is malformed.
pub fn decode_declarations(value: &[u8]) -> Option<Declarations> {
    let body = json::parse_tolerant(value)?;
    let version = body.get("version")?.as_u64()?;
    let mut declared = Declarations { version, ..Declarations::default() };
    declared.queues = json::list(&body, "routes").iter().filter_map(decode_queue).collect();
    for service in json::list(&body, "services") {
        let Some(name) = json::non_empty_text(service, "name") else { continue };
        let enforces_capacity = json::flag(service, "enforcesCapacity");
        let standby = json::flag(service, "standby");
        declared.pools.insert(name, Pool { enforces_capacity, standby });
    }
    for tenant in json::list(&body, "tenants") {
        let Some(name) = json::non_empty_text(tenant, "name") else { continue };
        for key in json::list(tenant, "apiKeys") {
            if let Some(key) = key.as_str() {
                declared.keys.insert(key.into(), name.clone());
            }
        }
        let weight = json::number_u32(tenant, "weight");
        // The platform owes a tenant as many jobs a second as its weight says.
        let job_rate = (weight > 0).then_some(weight);
        // In tenants, this field holds resources instead of a count.
        let limit = tenant.get("maxCount").map(json::resources).unwrap_or_default();
        declared.teams.insert(name, Team { weight, job_rate, limit });
    }
    declared.request_limits = body.get("limits").map(decode_request_limits).unwrap_or_default();
    Some(declared)
}

/// Decodes the limits on callers' requests; a missing one, and one of value 0, keeps its default.
fn decode_request_limits(limits: &Value) -> RequestLimits {
    let default = RequestLimits::default();
    let bytes = |name, default| match json::number(limits, name) {
        0 => default,
        bytes => usize::try_from(bytes).unwrap_or(usize::MAX),
    };
    let time = |name, default| match json::millis(limits, name) {
        Duration::ZERO => default,
        time => time,
    };
    RequestLimits {
        max_head_bytes: bytes("maxHeaderBytes", default.max_head_bytes),
        max_body_bytes: bytes("maxBodyBytes", default.max_body_bytes),
        head_timeout: time("headerTimeoutMs", default.head_timeout),
        idle_timeout: time("idleTimeoutMs", default.idle_timeout),
    }
}

fn decode_queue(route: &Value) -> Option<Queue> {
    let slack = route.get("slackFactor").and_then(Value::as_f64);
    Some(Queue {
        id: json::non_empty_text(route, "name")?,
        host: json::non_empty_text(route, "host")?,
        path_prefix: json::non_empty_text(route, "pathPrefix")?,
        pool: json::non_empty_text(route, "service")?,
        priority: json::number_u32(route, "priority"),
        max_attempts: json::number_u32(route, "maxAttempts").max(1),
        slack_factor: slack.filter(|s| *s >= 1.0).unwrap_or(DEFAULT_SLACK_FACTOR),
        target_latency: json::millis(route, "targetLatencyMs"),
        public: json::flag(route, "public"),
        requires_advice: route.get("advice").is_some_and(Value::is_object),
    })
}

/// Decodes a maintenance wave; `None` if the value is malformed.
pub fn decode_wave(number: u64, value: &[u8]) -> Option<Wave> {
    let body = json::parse_tolerant(value).filter(Value::is_object)?;
    let machines = json::list(&body, "machines").iter().filter_map(Value::as_str);
    let machines: IndexSet<Arc<str>> = machines.filter(|m| !m.is_empty()).map(Into::into).collect();
    Some(Wave {
        number,
        machines: machines.into_iter().collect(),
        duration: json::seconds(&body, "durationS").unwrap_or(Duration::ZERO),
        // In waves, this field is the number of machines that may be unavailable at once.
        max_at_once: json::number_u32(&body, "maxCount").max(1),
    })
}

/// Encodes the key and value of a wave's status record.
pub fn encode_wave_status(number: u64, complete: bool) -> (String, Vec<u8>) {
    let state = if complete { "complete" } else { "running" };
    (format!("wave/{number}"), json!({ "state": state }).to_string().into_bytes())
}
