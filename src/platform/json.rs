//! Lenient access to JSON values: other writers may omit fields or give them other types.

use crate::fair::Resources;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::value::RawValue;
use std::sync::Arc;
use std::time::Duration;

/// Bytes per unit of memory on the platform.
const MEMORY_UNIT: u64 = 1 << 20;

/// Longest time that a field may state: the largest integer that JSON numbers hold exactly, in
/// milliseconds. Leaves room for sums and products.
pub const MAX_TIME: Duration = Duration::from_millis(1 << 53);
/// Levels of arrays and objects within which a part that cannot be read does not affect the others: a
/// page, its list, an entry, its fields.
const TOLERANT_DEPTH: u32 = 4;

/// Parses JSON in which parts of another writer may be unreadable, for example nested too deeply or with
/// a number out of range. Such a part becomes null. Returns `None` if the text as a whole is no JSON.
pub fn parse_tolerant(text: &[u8]) -> Option<Value> {
    parse_part(std::str::from_utf8(text).ok()?, TOLERANT_DEPTH)
}

fn parse_part(text: &str, depth: u32) -> Option<Value> {
    if let Ok(value) = serde_json::from_str(text) {
        return Some(value);
    }
    let depth = depth.checked_sub(1)?;
    let part = |raw: &RawValue| parse_part(raw.get(), depth).unwrap_or_default();
    if let Ok(list) = serde_json::from_str::<Vec<&RawValue>>(text) {
        return Some(list.into_iter().map(part).collect());
    }
    let fields: IndexMap<String, &RawValue> = serde_json::from_str(text).ok()?;
    Some(Value::Object(fields.into_iter().map(|(name, raw)| (name, part(raw))).collect()))
}

/// Returns an unsigned integer; 0 if the field is missing, as the platform omits fields of value 0.
pub fn number(value: &Value, field: &str) -> u64 {
    value.get(field).and_then(Value::as_u64).unwrap_or(0)
}

/// Returns an unsigned integer like `number`; the largest one of 32 bits if it is larger.
pub fn number_u32(value: &Value, field: &str) -> u32 {
    u32::try_from(number(value, field)).unwrap_or(u32::MAX)
}

/// Returns an unsigned integer; 0 if the field is missing, `None` if it is anything else.
pub fn exact_number(value: &Value, field: &str) -> Option<u64> {
    value.get(field).map_or(Some(0), Value::as_u64)
}

/// Returns a string; empty if the field is missing.
pub fn text<'a>(value: &'a Value, field: &str) -> &'a str {
    value.get(field).and_then(Value::as_str).unwrap_or("")
}

/// Returns a string; `None` if the field is missing or empty.
pub fn non_empty_text(value: &Value, field: &str) -> Option<Arc<str>> {
    Some(text(value, field)).filter(|t| !t.is_empty()).map(Arc::from)
}

/// Returns a boolean; false if the field is missing.
pub fn flag(value: &Value, field: &str) -> bool {
    value.get(field).and_then(Value::as_bool).unwrap_or(false)
}

/// Returns a duration given in whole milliseconds, at most `MAX_TIME`; zero if the field is missing.
pub fn millis(value: &Value, field: &str) -> Duration {
    Duration::from_millis(number(value, field)).min(MAX_TIME)
}

/// Returns a duration given in seconds, possibly fractional, at most `MAX_TIME`; `None` if the field is
/// missing or negative.
pub fn seconds(value: &Value, field: &str) -> Option<Duration> {
    let seconds = value.get(field)?.as_f64()?;
    Duration::try_from_secs_f64(seconds.min(MAX_TIME.as_secs_f64())).ok()
}

/// Returns the time that a worker's clock shows; `None` if the field is missing or no time that a lease
/// could be counted from.
pub fn clock(value: &Value, field: &str) -> Option<Duration> {
    let clock = Duration::from_millis(value.get(field)?.as_u64()?);
    (clock <= MAX_TIME).then_some(clock)
}

/// Returns an array; empty if the field is missing.
pub fn list<'a>(value: &'a Value, field: &str) -> &'a [Value] {
    value.get(field).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// Decodes resources, which have the same format for tasks, workers and limits.
pub fn resources(value: &Value) -> Resources {
    Resources {
        slots: 0,
        processors: number(value, "cpu"),
        memory: number(value, "memMb").saturating_mul(MEMORY_UNIT),
        accelerators: number_u32(value, "gpu"),
    }
}
