//! Lenient access to JSON values: another writer may leave fields out or give them other types.

use crate::fair::Resources;
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;

/// Bytes in the platform's unit of memory.
const MEMORY_UNIT: u64 = 1 << 20;

/// A whole number; 0 where the field is left out, as the platform omits fields of value 0.
pub fn number(value: &Value, field: &str) -> u64 {
    value.get(field).and_then(Value::as_u64).unwrap_or(0)
}

/// A text; empty where the field is left out.
pub fn text<'a>(value: &'a Value, field: &str) -> &'a str {
    value.get(field).and_then(Value::as_str).unwrap_or("")
}

/// A text that is there and not empty.
pub fn some_text(value: &Value, field: &str) -> Option<Arc<str>> {
    Some(text(value, field)).filter(|t| !t.is_empty()).map(Arc::from)
}

/// True or false; false where the field is left out.
pub fn flag(value: &Value, field: &str) -> bool {
    value.get(field).and_then(Value::as_bool).unwrap_or(false)
}

/// Whole milliseconds.
pub fn millis(value: &Value, field: &str) -> Duration {
    Duration::from_millis(number(value, field))
}

/// Seconds, also fractions of them; `None` where the field is left out or negative.
pub fn seconds(value: &Value, field: &str) -> Option<Duration> {
    value.get(field).and_then(Value::as_f64).and_then(|s| Duration::try_from_secs_f64(s).ok())
}

/// A list; empty where the field is left out.
pub fn list<'a>(value: &'a Value, field: &str) -> &'a [Value] {
    value.get(field).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// Resources, spelled in the same way for tasks, workers and limits.
pub fn need(value: &Value) -> Resources {
    Resources {
        slots: 0,
        processors: number(value, "cpu"),
        memory: number(value, "memMb").saturating_mul(MEMORY_UNIT),
        accelerators: u32::try_from(number(value, "gpu")).unwrap_or(u32::MAX),
    }
}
