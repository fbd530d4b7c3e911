//! Tests the written log events. Guards against lost or unbounded fields and against a flooded log.

use jacinthhook::event::{Event, Log, MAX_FIELD_LEN, MAX_PER_SECOND};
use jacinthhook::metrics::Metrics;
use jacinthhook::settings::{LogFormat, LogLevel};
use parking_lot::Mutex;
use serde_json::Value;
use std::io::Write;
use std::sync::Arc;

/// A writer that stores its output in memory.
#[derive(Clone, Default)]
struct MemoryWriter(Arc<Mutex<Vec<u8>>>);

impl Write for MemoryWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Returns the complete output of a log to which `events` writes.
fn log_output(format: LogFormat, level: LogLevel, events: impl FnOnce(&Log)) -> String {
    let writer = MemoryWriter::default();
    let log = Log::new(format, level, writer.clone());
    events(&log);
    drop(log);
    let bytes = writer.0.lock().clone();
    String::from_utf8(bytes).expect("text")
}

fn parse_lines(text: &str) -> Vec<Value> {
    text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect()
}

#[test]
fn event_as_json() {
    let text = log_output(LogFormat::Json, LogLevel::Info, |log| {
        log.event(Event::ZoneOut, &[("zone", "south-a".into()), ("offset", 7u64.into())]);
    });
    let lines = parse_lines(&text);
    assert_eq!(lines.len(), 1);
    let line = &lines[0];
    assert_eq!((&line["event"], &line["name"]), (&404.into(), &"ZoneOut".into()));
    assert_eq!((&line["zone"], &line["offset"]), (&"south-a".into(), &7.into()));
    assert_eq!(line["msg"], Event::ZoneOut.info().message);
    assert!(line.get("suppressed").is_none());
}

#[test]
fn event_as_text() {
    let text = log_output(LogFormat::Terminal, LogLevel::Info, |log| {
        log.event(Event::ZoneOut, &[("zone", "south-a".into())]);
    });
    assert!(text.contains("event: 404") && text.contains("zone: south-a"), "{text}");
}

#[test]
fn event_below_level() {
    let text = log_output(LogFormat::Json, LogLevel::Warning, |log| {
        log.event(Event::Ready, &[]);
        log.event(Event::ZoneOut, &[]);
    });
    assert_eq!(parse_lines(&text).len(), 1);
}

#[test]
fn event_long_field_truncated() {
    let long = "\u{e9}".repeat(MAX_FIELD_LEN);
    let text = log_output(LogFormat::Json, LogLevel::Info, |log| {
        log.event(Event::BadInput, &[("error", (&long).into())]);
    });
    assert_eq!(parse_lines(&text)[0]["error"].as_str().map(str::len), Some(MAX_FIELD_LEN));
}

#[test]
fn event_counts_in_metrics() {
    let metrics = Arc::new(Metrics::new().expect("metrics"));
    log_output(LogFormat::Json, LogLevel::Warning, |log| {
        let log = log.clone().with_metrics(metrics.clone());
        (0..200).for_each(|_| log.event(Event::BadInput, &[]));
    });
    let text = metrics.encode().expect("text");
    assert!(text.contains("jacinthhook_events_total{event=\"607\"} 200\n"), "{text}");
}

#[test]
fn event_flood_limited() {
    const SENT: usize = 5_000;
    let text = log_output(LogFormat::Json, LogLevel::Info, |log| {
        for _ in 0..SENT {
            log.event(Event::BadInput, &[]);
        }
        log.event(Event::Stopped, &[]);
    });
    let lines = parse_lines(&text);
    let written = lines.iter().filter(|line| line["event"] == 607).count();
    // On a busy machine, the loop may take several seconds, each with its own limit.
    let max_written = 10 * MAX_PER_SECOND as usize;
    assert!(
        (MAX_PER_SECOND as usize..=max_written).contains(&written),
        "{written} events were written"
    );
    assert_eq!(lines.last().map(|line| line["event"].clone()), Some(106.into()));
}
