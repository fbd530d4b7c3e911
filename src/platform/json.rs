//! Lenient access to JSON values: other writers may omit fields or give them other types.

use crate::fair::Resources;
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;

/// Bytes per unit of memory on the platform.
const MEMORY_UNIT: u64 = 1 << 20;

/// Returns an unsigned integer; 0 if the field is missing, as the platform omits fields of value 0.
pub fn number(value: &Value, field: &str) -> u64 {
    value.get(field).and_then(Value::as_u64).unwrap_or(0)
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

/// Returns a duration given in whole milliseconds; zero if the field is missing.
pub fn millis(value: &Value, field: &str) -> Duration {
    Duration::from_millis(number(value, field))
}

/// Returns a duration given in seconds, possibly fractional; `None` if the field is missing or
/// negative.
pub fn seconds(value: &Value, field: &str) -> Option<Duration> {
    value.get(field).and_then(Value::as_f64).and_then(|s| Duration::try_from_secs_f64(s).ok())
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
        accelerators: u32::try_from(number(value, "gpu")).unwrap_or(u32::MAX),
    }
}
