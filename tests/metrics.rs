//! Tests the encoded metrics. Guards against an unbounded number of series and against metrics that are
//! not registered.

use jacinthhook::event::Event;
use jacinthhook::kind::Kind;
use jacinthhook::metrics::{ALL, DelayReason, MAX_TEAMS, Metrics, OTHER_LABEL, OwnerStage};
use jacinthhook::record::Class;
use std::time::Duration;

#[test]
fn encode_all_metrics() {
    let metrics = Metrics::new().unwrap();
    metrics.record_response("huts", Class::Urgent, Some(Kind::QueueFull), Duration::from_millis(3));
    metrics.record_start("huts", Class::Urgent, Duration::from_millis(2));
    metrics.record_retry("loans");
    metrics.set_waiting("huts", 4);
    metrics.set_units("huts", 9, 8);
    metrics.set_upstreams("loans", 7, 1);
    metrics.set_in_progress(3);
    metrics.set_ready(true);
    metrics.set_view(Duration::from_millis(1_500), 77);
    metrics.set_log_reachable(false);
    metrics.set_holds(2);
    metrics.set_submission_partitions(32);
    metrics.record_owner_stage(OwnerStage::Store, Duration::from_millis(30));
    metrics.set_connections("callers", 12, 4_096);
    metrics.record_cut("callers", "memory");
    metrics.record_job_delayed(DelayReason::SetAside);
    metrics.record_event(Event::ZoneOut);
    let text = metrics.encode().unwrap();
    for metric in ALL {
        let line = format!("# TYPE {} {}", metric.name, metric.kind);
        assert!(text.lines().any(|found| found == line), "{line} is missing in {text}");
    }
    let expected = [
        "jacinthhook_answers_total{class=\"urgent\",kind=\"queue_full\",team=\"huts\"} 1",
        "jacinthhook_request_seconds_bucket{class=\"urgent\",team=\"huts\",le=\"0.005\"} 1",
        "jacinthhook_request_seconds_bucket{class=\"urgent\",team=\"huts\",le=\"0.0025\"} 0",
        "jacinthhook_units_held{team=\"huts\"} 9",
        "jacinthhook_units_used{team=\"huts\"} 8",
        "jacinthhook_view_age_seconds 1.5",
        "jacinthhook_submission_partitions 32",
        "jacinthhook_owner_stage_seconds_bucket{stage=\"store\",le=\"0.05\"} 1",
        "jacinthhook_events_total{event=\"404\"} 1",
    ];
    for line in expected {
        assert!(text.lines().any(|found| found == line), "{line} is missing in {text}");
    }
}

#[test]
fn record_response_teams_beyond_maximum() {
    let metrics = Metrics::new().unwrap();
    for i in 0..MAX_TEAMS + 50 {
        metrics.record_response(&format!("t{i}"), Class::Planned, None, Duration::ZERO);
    }
    let text = metrics.encode().unwrap();
    let series = text.lines().filter(|line| line.starts_with("jacinthhook_answers_total"));
    assert_eq!(series.count(), MAX_TEAMS + 1);
    let other = format!(
        "jacinthhook_answers_total{{class=\"planned\",kind=\"ok\",team=\"{OTHER_LABEL}\"}} 50"
    );
    assert!(text.lines().any(|line| line == other), "{text}");
}
