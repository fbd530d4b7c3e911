//! Generates the documentation pages of error kinds, events and metrics from their lists in the code.

use crate::event::Event;
use crate::kind::Kind;
use crate::metrics;

/// Returns the content of `docs/errors.md`.
pub fn errors() -> String {
    let rows = Kind::ALL.iter().map(|kind| {
        let info = kind.info();
        let retry = match info.retry_after {
            Some(after) => format!("after {} ms", after.as_millis()),
            None => "no".to_string(),
        };
        let (name, status, ran) = (info.name, info.status, info.ran.as_str());
        format!("| `{name}` | {status} | {ran} | {retry} | {} |", info.meaning)
    });
    page(
        "Error kinds",
        "`ran` is the default of the kind; a response may carry a more precise value. `not_run` means that \
         the work did not run and will not run because of this request. Where retry is `no`, an unchanged \
         request cannot succeed.",
        "| kind | status | ran | retry | meaning |",
        rows,
    )
}

/// Returns the content of `docs/events.md`.
pub fn events() -> String {
    let rows = Event::ALL.iter().map(|event| {
        let info = event.info();
        let (code, level) = (info.code, info.level.as_str());
        let fields = if info.fields.is_empty() { "none" } else { info.fields };
        format!(
            "| {code} | `{event:?}` | {level} | {fields} | {} | {} |",
            info.message, info.action
        )
    });
    page(
        "Log events",
        "Each log line contains the number as `event` and the name as `name`. `suppressed` is the number of \
         events with the same number that were not written, because at most 50 per second are written.",
        "| event | name | level | fields | what happened | what to do |",
        rows,
    )
}

/// Returns the content of `docs/metrics.md`.
pub fn metrics() -> String {
    let rows = metrics::ALL.iter().map(|metric| {
        let labels =
            if metric.labels.is_empty() { "none".into() } else { metric.labels.join(", ") };
        format!("| `{}` | {} | {labels} | {} |", metric.name, metric.kind, metric.help)
    });
    let (teams, services) = (metrics::MAX_TEAMS, metrics::MAX_SERVICES);
    let bounds = format!(
        "`GET /metrics` returns the metrics in the Prometheus text format. The label `team` has at most \
         {teams} values, and `service` and `pool` have at most {services} each; all further values count as \
         `other`.",
    );
    page("Metrics", &bounds, "| metric | type | labels | meaning |", rows)
}

fn page(title: &str, intro: &str, head: &str, rows: impl Iterator<Item = String>) -> String {
    let columns = head.matches('|').count() - 1;
    let rule = format!("|{}", " --- |".repeat(columns));
    let rows: Vec<String> = rows.collect();
    format!(
        "# {title}\n\nGenerated from the code; `UPDATE_DOCS=1 cargo test --test catalogue` writes this \
         page.\n\n{intro}\n\n{head}\n{rule}\n{}\n",
        rows.join("\n"),
    )
}
