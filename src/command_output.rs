//! Formats the responses of the operators' interface as human-readable text.

use crate::admin_api::*;
use std::time::Duration;

/// Formats the outcome of a command, with one line per entry instance.
pub fn format_outcome(outcome: &Outcome) -> String {
    let result = match &outcome.result {
        OpResult::Applied { offset } => format!("applied at offset {offset}"),
        OpResult::Rejected { offset, reason } => format!("rejected at offset {offset}: {reason}"),
        OpResult::Held => "held; the log does not have it yet".to_string(),
        OpResult::Pending => "sent to the log; its fate is not known yet".to_string(),
        OpResult::Unknown => "not known to this entry instance".to_string(),
    };
    let rows = outcome.entries.iter().map(|entry| {
        let standing = match entry.standing {
            Standing::InForce { offset } => format!("in force at offset {offset}"),
            Standing::Held => "held".to_string(),
            Standing::NotHeard { ago_ms } => {
                format!("not heard (last heard {} ago)", format_duration(ago_ms))
            }
        };
        vec![entry.entry.to_string(), entry.zone.to_string(), standing]
    });
    format!("op {}: {result}\n{}", outcome.op, format_table(&["entry", "zone", "standing"], rows))
}

/// Formats a list of keys, one per line.
pub fn format_keys(keys: &Keys) -> String {
    let rows = keys.keys.iter().map(|info| {
        let standing = match info.standing {
            KeyStanding::Granted => "granted",
            KeyStanding::Withdrawn => "withdrawn",
            KeyStanding::Held => "withdrawn (held)",
        };
        vec![info.key.to_string(), info.team.to_string(), standing.to_string()]
    });
    format_table(&["key", "team", "standing"], rows)
}

/// Formats the state of the fleet as seen by one entry instance.
pub fn format_status(status: &Status) -> String {
    let mut text = vec![
        format_summary(status),
        format_entries(status),
        format_zones(status),
        format_pools(status),
        format_teams(status),
    ];
    if !status.instances.is_empty() {
        text.push(format_instances(status));
    }
    let holds = status.holds.iter().map(|hold| format!("hold {}: {}", hold.op, hold.what));
    text.extend(holds);
    let jobs = status.jobs.iter().map(|(state, count)| format!("{count} {state}"));
    let jobs: Vec<String> = jobs.collect();
    if !jobs.is_empty() {
        text.push(format!("jobs: {}", jobs.join(", ")));
    }
    text.join("\n\n")
}

fn format_summary(status: &Status) -> String {
    let readiness = match (status.stopping, status.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let log = if status.log_reachable { "answers" } else { "does not answer" };
    format!(
        "{} in zone {}: {readiness}; view {} old, up to offset {}, digest {:08x}; the log {log}",
        status.entry,
        status.zone,
        format_duration(status.view_age_ms),
        status.next,
        status.digest,
    )
}

fn format_entries(status: &Status) -> String {
    let rows = status.entries.iter().map(|entry| {
        vec![
            entry.entry.to_string(),
            entry.zone.to_string(),
            entry.http_addr.clone(),
            format!("{} ago", format_duration(entry.heard_ms_ago)),
            entry.seen.to_string(),
            entry_notes(status, entry),
        ]
    });
    format_table(&["entry", "zone", "address", "heard", "seen", "note"], rows)
}

fn entry_notes(status: &Status, entry: &EntryStatus) -> String {
    let mut notes = Vec::new();
    if let Some(offset) = status.published_at.filter(|offset| entry.seen <= *offset) {
        notes.push(format!("publish at offset {offset} not yet in force"));
    }
    if entry.departing {
        notes.push("departing".to_string());
    }
    if entry.expired {
        notes.push("lease expired".to_string());
    }
    notes.join(", ")
}

fn format_zones(status: &Status) -> String {
    let rows = status.zones.iter().map(|zone| {
        let standing = format_out(zone.out_since, zone.held);
        vec![zone.zone.to_string(), zone.instances.to_string(), standing]
    });
    format_table(&["zone", "instances", "standing"], rows)
}

fn format_out(since: Option<u64>, held: bool) -> String {
    match (since, held) {
        (Some(offset), _) => format!("out since offset {offset}"),
        (None, true) => "out (held)".to_string(),
        (None, false) => "in".to_string(),
    }
}

fn format_pools(status: &Status) -> String {
    let rows = status.pools.iter().map(|pool| {
        let counts = [pool.instances, pool.usable, pool.moving, pool.draining, pool.waiting]
            .map(|n| n.to_string());
        let mut row = vec![pool.pool.to_string()];
        row.extend(counts);
        row
    });
    format_table(&["pool", "instances", "usable", "moving", "draining", "waiting"], rows)
}

fn format_teams(status: &Status) -> String {
    let rows = status.teams.iter().map(|team| {
        let counts = [team.limit, team.granted, team.running, team.waiting].map(|n| n.to_string());
        let mut row = vec![team.team.to_string()];
        row.extend(counts);
        row
    });
    format_table(&["team", "limit", "granted", "running here", "waiting here"], rows)
}

fn format_instances(status: &Status) -> String {
    let rows = status.instances.iter().map(|instance| {
        let mut notes = Vec::new();
        if instance.out_since.is_some() || instance.held {
            notes.push(format_out(instance.out_since, instance.held));
        }
        notes.extend(instance.moving_to.as_ref().map(|pool| format!("moving to {pool}")));
        notes.extend(instance.draining.then(|| "draining".to_string()));
        notes.extend(instance.set_aside.then(|| "set aside".to_string()));
        let names =
            [&instance.instance, &instance.pool, &instance.zone].map(|name| name.to_string());
        let mut row = names.to_vec();
        row.push(notes.join(", "));
        row
    });
    format_table(&["instance", "pool", "zone", "standing"], rows)
}

/// Formats a duration in milliseconds with a suitable unit.
fn format_duration(ms: u64) -> String {
    match Duration::from_millis(ms) {
        short if ms < 1_000 => format!("{} ms", short.as_millis()),
        long if ms < 600_000 => format!("{:.1} s", long.as_secs_f64()),
        long => format!("{} min", long.as_secs() / 60),
    }
}

/// Formats a table whose columns are as wide as their widest cell.
fn format_table(header: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let header: Vec<String> = header.iter().map(|cell| cell.to_string()).collect();
    let all: Vec<Vec<String>> = std::iter::once(header).chain(rows).collect();
    let column = |i: usize| all.iter().filter_map(move |row| row.get(i));
    let widths: Vec<usize> =
        (0..all[0].len()).map(|i| column(i).map(String::len).max().unwrap_or(0)).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let cells: Vec<String> = cells.collect();
        format!("  {}", cells.join("  ")).trim_end().to_string()
    };
    let lines: Vec<String> = all.iter().map(line).collect();
    lines.join("\n")
}
