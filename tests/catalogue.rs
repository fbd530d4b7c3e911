//! Generated pages. Guards against pages that the code has left behind and numbers used twice.

use jacinthhook::catalogue;
use jacinthhook::event::Event;
use jacinthhook::metrics;
use std::collections::HashSet;
use std::path::Path;

/// Compares a page with what the code says, or writes it when `UPDATE_DOCS` is set.
fn compare(page: &str, generated: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs").join(page);
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&path, generated).expect("a writable page");
    }
    let written = std::fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(written, generated, "docs/{page} differs from the code");
}

#[test]
fn errors_page() {
    compare("errors.md", &catalogue::errors());
}

#[test]
fn events_page() {
    compare("events.md", &catalogue::events());
}

#[test]
fn metrics_page() {
    compare("metrics.md", &catalogue::metrics());
}

#[test]
fn events_have_rising_numbers() {
    let codes: Vec<u16> = Event::ALL.iter().map(|event| event.entry().code).collect();
    assert!(codes.windows(2).all(|pair| pair[0] < pair[1]), "{codes:?}");
}

#[test]
fn metrics_have_names_of_their_own() {
    let names: HashSet<&str> = metrics::ALL.iter().map(|metric| metric.name).collect();
    assert_eq!(names.len(), metrics::ALL.len());
}
