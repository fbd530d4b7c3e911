//! Tests the measurements of the load generator. Guards against latencies that leave out the
//! requests that a stalled server kept from being sent, and rates that count requests without a
//! response.

mod common;

use common::{any_port, closed_port, start_upstream, start_upstream_with};
use jacinthhook::load::*;
use jacinthhook::standin_upstream::UpstreamOptions;
use std::time::Duration;

const SHORT: Duration = Duration::from_millis(500);

fn options(target: impl ToString, path: &str) -> LoadOptions {
    LoadOptions::new(target.to_string(), path).with_connections(4).with_times(Duration::ZERO, SHORT)
}

#[tokio::test]
async fn run_open_loop_sends_planned_requests() {
    let (standin, _, _) = start_upstream().await;
    let open = options(standin.addr(), "/x?tag=t").with_pace(Pace::Open { per_second: 200.0 });
    let report = run(open).await.unwrap();
    assert_eq!((report.ok, report.failures()), (100, 0));
    assert_eq!(standin.runs()["t"], 100);
}

#[tokio::test]
async fn run_open_loop_latency_from_planned_time() {
    // One slot and 20 ms per request serve 50 of the planned 200 requests per second. The last of
    // 100 requests therefore ends 1.5 s late, although each waits for at most 80 ms once it is
    // sent.
    let slow = UpstreamOptions::new("u1", any_port()).with_size(1, 64);
    let (standin, _, _) = start_upstream_with(slow).await;
    let open =
        options(standin.addr(), "/x?delay_ms=20").with_pace(Pace::Open { per_second: 200.0 });
    let report = run(open).await.unwrap();
    assert_eq!(report.ok, 100);
    assert!(report.latency.p99_us > 1_300_000, "{report}");
    assert!(report.latency.p50_us > 600_000, "{report}");
}

#[tokio::test]
async fn run_closed_loop_counts_answers() {
    let (standin, _, _) = start_upstream().await;
    let report = run(options(standin.addr(), "/x?tag=t")).await.unwrap();
    let runs = u64::from(standin.runs()["t"]);
    assert!(report.ok > 0 && report.ok <= runs && runs <= report.ok + 4, "{runs} runs\n{report}");
}

#[tokio::test]
async fn run_warmup_is_not_measured() {
    let (standin, _, _) = start_upstream().await;
    let open = options(standin.addr(), "/x?tag=t")
        .with_times(SHORT, SHORT)
        .with_pace(Pace::Open { per_second: 100.0 });
    assert_eq!(run(open).await.unwrap().ok, 50);
    assert_eq!(standin.runs()["t"], 100);
}

#[tokio::test]
async fn run_failures_by_kind() {
    let (standin, _, _) = start_upstream().await;
    let open = Pace::Open { per_second: 20.0 };
    let refused = run(options(standin.addr(), "/x?status=429").with_pace(open)).await.unwrap();
    assert_eq!((refused.ok, refused.failed["429"], refused.latency.max_us), (0, 10, 0));
    let closed = run(options(closed_port(), "/x").with_pace(open)).await.unwrap();
    assert_eq!((closed.ok, closed.failed["connect"]), (0, 10));
    let mut hanging = options(standin.addr(), "/x?delay_ms=60000").with_pace(open);
    hanging.timeout = Duration::from_millis(100);
    let hanging = run(hanging).await.unwrap();
    assert_eq!((hanging.ok, hanging.failures()), (0, 10));
    assert!(hanging.latency.p50_us >= 100_000, "{hanging}");
}

#[tokio::test]
async fn run_invalid_options() {
    let none = run(options("127.0.0.1:1", "/").with_connections(0)).await.unwrap_err();
    assert!(matches!(none, LoadError::NotPositive { .. }));
    let rate = options("127.0.0.1:1", "/").with_pace(Pace::Open { per_second: f64::NAN });
    assert!(matches!(run(rate).await.unwrap_err(), LoadError::NotPositive { .. }));
    let target = run(options("not an address", "/")).await.unwrap_err();
    assert!(matches!(target, LoadError::Target { .. }));
    let header = options("127.0.0.1:1", "/").with_header("no colon").unwrap_err();
    assert!(matches!(header, LoadError::Header { .. }));
}

#[tokio::test]
async fn compare_reports_ratio_and_added_latency() {
    let (standin, _, _) = start_upstream().await;
    let times = (Duration::ZERO, Duration::from_millis(200));
    let direct = options(standin.addr(), "/x").with_times(times.0, times.1);
    let slower = options(standin.addr(), "/x?delay_ms=30").with_times(times.0, times.1);
    let both = compare(direct, slower, 3).await.unwrap();
    let mut ratios: Vec<f64> = both.full.iter().map(Pair::ratio).collect();
    ratios.sort_by(f64::total_cmp);
    assert_eq!((both.ratio, ratios.len()), (ratios[1], 3));
    assert!(both.ratio < 1.0, "{both}");
    assert!(both.added_p50_us > 10_000, "{both}");
    let json = serde_json::to_value(&both).unwrap();
    assert!(json["half"][2]["through"]["latency"]["p99_9_us"].is_u64());
}
