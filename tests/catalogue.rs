//! Tests the generated pages. Guards against outdated pages and against event codes and metric names used
//! twice.

use jacinthhook::catalogue;
use jacinthhook::event::Event;
use jacinthhook::instance::run_settings::{self, SECTION_NAMES};
use jacinthhook::metrics;
use jacinthhook::settings;
use std::collections::{HashMap, HashSet};
use std::path::Path;

mod common;

/// Compares a page with the generated content, and first updates it if `UPDATE_DOCS` is set.
fn check_page(page: &str, generated: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs").join(page);
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&path, generated).expect("a writable page");
    }
    let content = std::fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(content, generated, "docs/{page} differs from the code");
}

#[test]
fn errors_page() {
    check_page("errors.md", &catalogue::errors());
}

#[test]
fn events_page() {
    check_page("events.md", &catalogue::events());
}

#[test]
fn metrics_page() {
    check_page("metrics.md", &catalogue::metrics());
}

#[test]
fn events_codes_ascending() {
    let codes: Vec<u16> = Event::ALL.iter().map(|event| event.info().code).collect();
    assert!(codes.windows(2).all(|pair| pair[0] < pair[1]), "{codes:?}");
}

#[test]
fn metrics_names_unique() {
    let names: HashSet<&str> = metrics::ALL.iter().map(|metric| metric.name).collect();
    assert_eq!(names.len(), metrics::ALL.len());
}

/// Returns the path and text of each page for operators.
fn operator_pages() -> Vec<(String, String)> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/operators");
    let pages = std::fs::read_dir(dir).expect("pages").map(|entry| {
        let path = entry.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("a page");
        (path.display().to_string(), text)
    });
    pages.collect()
}

/// Guards against pages that refer to an event or metric that does not exist.
#[test]
fn operator_pages_events_and_metrics_exist() {
    let codes: HashSet<u16> = Event::ALL.iter().map(|event| event.info().code).collect();
    let names: HashSet<&str> = metrics::ALL.iter().map(|metric| metric.name).collect();
    for (page, text) in operator_pages() {
        let words: Vec<&str> = text.split(|c: char| !c.is_alphanumeric() && c != '_').collect();
        let is_metric = |word: &&&str| word.starts_with("jacinthhook_");
        let unknown: Vec<&&str> =
            words.iter().filter(is_metric).filter(|w| !names.contains(**w)).collect();
        assert!(unknown.is_empty(), "{page} names {unknown:?}");
        // A number after a word that starts with "event" is an event code.
        let numbers = words.windows(2).filter(|pair| pair[0].starts_with("event"));
        for code in numbers.filter_map(|pair| pair[1].parse::<u16>().ok()) {
            assert!(codes.contains(&code), "{page} names event {code}");
        }
    }
}

/// Guards against events that refer operators to a page that does not exist.
#[test]
fn events_pages_exist() {
    for event in Event::ALL {
        let action = event.info().action;
        let Some(page) = action.split(' ').find(|word| word.starts_with("docs/")) else { continue };
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(page.trim_end_matches('.'));
        assert!(path.exists(), "{event:?} names {page}");
    }
}

/// Guards against keys that are missing in the pages, and against documented keys that the parser does
/// not know.
#[test]
fn settings_and_declarations_pages_complete() {
    let known = |file: &str, section: &str| {
        let text = format!("[{section}]\nno_such_key = 1\n");
        let mistakes = match file {
            "settings.md" if SECTION_NAMES.contains(&section) => {
                run_settings::read(file, &text).expect_err("a mistake")
            }
            "settings.md" => settings::read_settings(file, &text).expect_err("a mistake"),
            _ => settings::check_declarations(file, &text).expect_err("a mistake"),
        };
        let unknown = mistakes.iter().find(|m| m.mistake.key.as_deref() == Some("no_such_key"));
        let allowed = &unknown.expect("the unknown key").mistake.allowed;
        let keys = allowed.trim_start_matches("keys ").split(", ").map(str::to_string);
        keys.collect::<HashSet<String>>()
    };
    let rows = |part: &str| {
        let rows = part.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
        rows.map(str::to_string).collect::<HashSet<String>>()
    };
    let pages = [
        ("settings.md", ["entry", "limits", "log"].as_slice()),
        ("declarations.md", ["zone x", "team x", "pool x", "profile x", "service x"].as_slice()),
    ];
    for (page, sections) in pages {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs").join(page);
        let text = std::fs::read_to_string(path).expect("a page");
        let (text, run) = text.split_once("\n# Settings of `run`").unwrap_or((&text, ""));
        let parts: Vec<&str> = text.split("\n## ").skip(1).collect();
        assert_eq!(parts.len(), sections.len());
        for (part, section) in parts.iter().zip(sections) {
            assert_eq!(rows(part), known(page, section), "[{section}] in docs/{page}");
        }
        if page != "settings.md" {
            continue;
        }
        let mut parts = run.split("\n## `[");
        let listed = rows(parts.next().unwrap_or_default());
        assert_eq!(listed, HashSet::from(SECTION_NAMES.map(|name| format!("[{name}]"))));
        let parts: HashMap<&str, &str> = parts.filter_map(|part| part.split_once("]`")).collect();
        for section in SECTION_NAMES {
            // A section with no key of its own has no table.
            let keys = match parts.get(section) {
                Some(part) => rows(part),
                None => HashSet::from(["enabled".to_string()]),
            };
            assert_eq!(keys, known(page, section), "[{section}] in docs/{page}");
        }
    }
}

/// Guards against events that are in the catalogue but never written.
#[test]
fn events_written() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let code: String = common::sources(&dir).into_iter().map(|(_, text)| text).collect();
    let words: HashSet<&str> = code.split(|c: char| !c.is_alphanumeric() && c != ':').collect();
    for event in Event::ALL {
        let name = format!("Event::{event:?}");
        assert!(words.contains(name.as_str()), "nothing writes {name}");
    }
}
