//! Log events as written. Guards against fields that are lost, unbounded or flood the log.

use jacinthhook::event::{Event, Log, MAX_FIELD_LEN, MAX_PER_SECOND};
use jacinthhook::metrics::Metrics;
use jacinthhook::settings::{LogFormat, LogLevel};
use parking_lot::Mutex;
use serde_json::Value;
use std::io::Write;
use std::sync::Arc;

/// A writer that keeps what it was given.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Everything that is written by the time the log is dropped.
fn written(format: LogFormat, level: LogLevel, events: impl FnOnce(&Log)) -> String {
    let kept = Kept::default();
    let log = Log::new(format, level, kept.clone());
    events(&log);
    drop(log);
    let bytes = kept.0.lock().clone();
    String::from_utf8(bytes).expect("text")
}

fn lines(text: &str) -> Vec<Value> {
    text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect()
}

#[test]
fn event_as_json() {
    let text = written(LogFormat::Json, LogLevel::Info, |log| {
        log.event(Event::ZoneOut, &[("zone", "south-a".into()), ("offset", 7u64.into())]);
    });
    let lines = lines(&text);
    assert_eq!(lines.len(), 1);
    let line = &lines[0];
    assert_eq!((&line["event"], &line["name"]), (&404.into(), &"ZoneOut".into()));
    assert_eq!((&line["zone"], &line["offset"]), (&"south-a".into(), &7.into()));
    assert_eq!(line["msg"], Event::ZoneOut.info().message);
    assert!(line.get("suppressed").is_none());
}

#[test]
fn event_as_text() {
    let text = written(LogFormat::Terminal, LogLevel::Info, |log| {
        log.event(Event::ZoneOut, &[("zone", "south-a".into())]);
    });
    assert!(text.contains("event: 404") && text.contains("zone: south-a"), "{text}");
}

#[test]
fn event_below_the_level() {
    let text = written(LogFormat::Json, LogLevel::Warning, |log| {
        log.event(Event::Ready, &[]);
        log.event(Event::ZoneOut, &[]);
    });
    assert_eq!(lines(&text).len(), 1);
}

#[test]
fn event_long_field_is_cut() {
    let long = "\u{e9}".repeat(MAX_FIELD_LEN);
    let text = written(LogFormat::Json, LogLevel::Info, |log| {
        log.event(Event::BadInput, &[("error", (&long).into())]);
    });
    assert_eq!(lines(&text)[0]["error"].as_str().map(str::len), Some(MAX_FIELD_LEN));
}

#[test]
fn event_counts_in_metrics() {
    let metrics = Arc::new(Metrics::new().expect("metrics"));
    written(LogFormat::Json, LogLevel::Warning, |log| {
        let log = log.clone().with_metrics(metrics.clone());
        (0..200).for_each(|_| log.event(Event::BadInput, &[]));
    });
    let text = metrics.encode().expect("text");
    assert!(text.contains("jacinthhook_events_total{event=\"607\"} 200\n"), "{text}");
}

#[test]
fn event_flood_is_bounded() {
    const SENT: usize = 5_000;
    let text = written(LogFormat::Json, LogLevel::Info, |log| {
        for _ in 0..SENT {
            log.event(Event::BadInput, &[]);
        }
        log.event(Event::Stopped, &[]);
    });
    let lines = lines(&text);
    let flood = lines.iter().filter(|line| line["event"] == 607).count();
    // The loop may pass the turn of a second or two on a busy machine.
    let most = 10 * MAX_PER_SECOND as usize;
    assert!((MAX_PER_SECOND as usize..=most).contains(&flood), "{flood} events were written");
    assert_eq!(lines.last().map(|line| line["event"].clone()), Some(106.into()));
}
