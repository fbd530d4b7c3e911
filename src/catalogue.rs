//! Pages generated from closed lists in the code: error kinds, events and metrics.

use crate::event::Event;
use crate::kind::Kind;
use crate::metrics;

/// `docs/errors.md`.
pub fn errors() -> String {
    let rows = Kind::ALL.iter().map(|kind| {
        let answer = kind.info();
        let retry = match answer.retry_after {
            Some(after) => format!("after {} ms", after.as_millis()),
            None => "no".to_string(),
        };
        let (name, status, ran) = (answer.name, answer.status, answer.ran.as_str());
        format!("| `{name}` | {status} | {ran} | {retry} | {} |", answer.meaning)
    });
    page(
        "Error kinds",
        "`ran` is the value for the kind; an answer may carry a more exact one. `not_run` means that the \
         work did not run and will not run because of this request. A retry marked `no` cannot succeed \
         unchanged.",
        "| kind | status | ran | retry | meaning |",
        rows,
    )
}

/// `docs/events.md`.
pub fn events() -> String {
    let rows = Event::ALL.iter().map(|event| {
        let entry = event.info();
        let (code, level) = (entry.code, entry.level.as_str());
        let fields = if entry.fields.is_empty() { "none" } else { entry.fields };
        format!(
            "| {code} | `{event:?}` | {level} | {fields} | {} | {} |",
            entry.message, entry.action
        )
    });
    page(
        "Log events",
        "Each line of the log has `event` with the number and `name`. `suppressed` counts events of the same \
         number that were left out, since at most 50 a second are written.",
        "| event | name | level | fields | what happened | what to do |",
        rows,
    )
}

/// `docs/metrics.md`.
pub fn metrics() -> String {
    let rows = metrics::ALL.iter().map(|metric| {
        let labels =
            if metric.labels.is_empty() { "none".into() } else { metric.labels.join(", ") };
        format!("| `{}` | {} | {labels} | {} |", metric.name, metric.kind, metric.help)
    });
    let (teams, services) = (metrics::MAX_TEAMS, metrics::MAX_SERVICES);
    let bounds = format!(
        "`GET /metrics` answers in the text format of Prometheus. The label `team` has at most {teams} values \
         and `service` and `pool` at most {services} each; the rest count as `other`.",
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
