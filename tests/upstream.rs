//! Tests the upstream client against the stand-in upstream. Guards against a request that is
//! reported as not run although it ran, a response that reaches the wrong caller, and tasks that
//! run twice.

mod common;

use bytes::Bytes;
use common::{any_port, closed_port, start_upstream, start_upstream_with};
use jacinthhook::health::AttemptOutcome;
use jacinthhook::protocol::{EXCHANGE_HEADER, TaskRenew, TaskStart, TaskState, TaskThrottle};
use jacinthhook::standin::Faults;
use jacinthhook::standin_upstream::{UpstreamOptions, UpstreamStandin};
use jacinthhook::upstream::*;
use reqwest::Method;
use reqwest::header::{HeaderMap, HeaderValue};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

fn request(method: Method, path: &str, body: impl Into<Bytes>) -> AttemptRequest {
    AttemptRequest {
        method,
        path: path.to_string(),
        headers: HeaderMap::new(),
        body: RequestBody::Full(body.into()),
        start_by_ms: None,
        deadline_ms: None,
        timeout: Duration::from_secs(5),
    }
}

fn get(path: &str) -> AttemptRequest {
    request(Method::GET, path, "")
}

async fn read_body(response: &mut AttemptResponse) -> Result<Vec<u8>, AttemptOutcome> {
    let mut body = Vec::new();
    while let Some(chunk) = response.next_chunk(IDLE_TIMEOUT).await? {
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

fn set_faults(standin: &UpstreamStandin, faults: Faults) {
    standin.switches.set(faults);
}

fn task(fence: u64, payload: &str) -> TaskStart {
    TaskStart {
        fence,
        start_by_ms: u64::MAX,
        lease_ms: 60_000,
        declared_ms: 60_000,
        payload: Bytes::from(payload.to_string()),
    }
}

#[tokio::test]
async fn attempt_forwards_request_and_response() {
    let (_standin, client, target) = start_upstream().await;
    let attempt = request(Method::PATCH, "/loan/7?x=%20y", "cleats");
    let mut response = client.attempt(&target, attempt).await.unwrap();
    assert_eq!(response.status, 200);
    assert_eq!(response.headers["standin-method"], "PATCH");
    assert_eq!(response.headers["standin-path"], "/loan/7?x=%20y");
    assert_eq!(response.length, Some(6));
    assert!(response.status_headers.load.is_some());
    assert_eq!(read_body(&mut response).await.unwrap(), b"cleats");
}

#[tokio::test]
async fn attempt_streams_the_body() {
    let (_standin, client, target) = start_upstream().await;
    for length in [None, Some(640_000)] {
        let (tx, chunks) = mpsc::channel(1);
        let mut attempt = request(Method::POST, "/x", "");
        attempt.body = RequestBody::Stream { chunks, length };
        tokio::spawn(async move {
            for i in 0..10_u8 {
                tx.send(Ok(Bytes::from(vec![i; 64_000]))).await.unwrap();
            }
        });
        let mut response = client.attempt(&target, attempt).await.unwrap();
        let body = read_body(&mut response).await.unwrap();
        assert_eq!(body.len(), 640_000);
        assert!(body.chunks(64_000).enumerate().all(|(i, c)| c == [i as u8; 64_000]));
    }
}

#[tokio::test]
async fn attempt_connect_refused() {
    let (_standin, client, mut target) = start_upstream().await;
    target.addr = closed_port();
    let failure = client.attempt(&target, get("/x")).await.unwrap_err();
    assert_eq!(failure.outcome, AttemptOutcome::ConnectFailed);
}

#[tokio::test]
async fn attempt_lost_response_ran() {
    let (standin, client, target) = start_upstream().await;
    client.attempt(&target, get("/x")).await.unwrap();
    set_faults(&standin, Faults { lose_answers: 1, ..Faults::default() });
    let attempt = request(Method::POST, "/x?tag=t", "");
    let failure = client.attempt(&target, attempt).await.unwrap_err();
    assert_eq!(
        (failure.outcome, failure.cause),
        (AttemptOutcome::LostBeforeHead, FailureCause::Upstream)
    );
    assert_eq!(standin.runs()["t"], 1);
}

#[tokio::test]
async fn attempt_draining_is_not_run() {
    let (standin, client, target) = start_upstream().await;
    standin.set_draining(true);
    let failure = client.attempt(&target, get("/x?tag=t")).await.unwrap_err();
    assert_eq!(failure.outcome, AttemptOutcome::NotRun);
    assert!(failure.status_headers.draining);
    assert!(standin.runs().is_empty());
}

#[tokio::test]
async fn attempt_late_start_is_not_run() {
    let options = UpstreamOptions::new("u1", any_port());
    let options = options.with_clock_origin(Duration::from_secs(100));
    let (standin, client, target) = start_upstream_with(options).await;
    let mut attempt = get("/x?tag=t");
    attempt.start_by_ms = Some(99_999);
    let failure = client.attempt(&target, attempt).await.unwrap_err();
    assert_eq!((failure.outcome, standin.runs().len()), (AttemptOutcome::NotRun, 0));
}

#[tokio::test]
async fn attempt_late_response_ran() {
    let (standin, client, target) = start_upstream().await;
    set_faults(&standin, Faults { late_answers: 1, late_ms: 60_000, ..Faults::default() });
    let mut attempt = get("/x?tag=t");
    attempt.timeout = Duration::from_secs(1);
    let failure = client.attempt(&target, attempt).await.unwrap_err();
    assert_eq!((failure.outcome, standin.runs()["t"]), (AttemptOutcome::TimedOut, 1));
}

#[tokio::test]
async fn attempt_beyond_connections_is_not_run() {
    let options = UpstreamOptions::new("u1", any_port()).with_size(1, 1);
    let (_standin, client, target) = start_upstream_with(options).await;
    let open_response = client.attempt(&target, get("/x?chunks=2&chunk_delay_ms=60000")).await;
    let failure = client.attempt(&target, get("/x")).await.unwrap_err();
    assert_eq!(failure.outcome, AttemptOutcome::NotRun);
    drop(open_response);
}

#[tokio::test]
async fn attempt_error_status() {
    let (standin, client, target) = start_upstream().await;
    set_faults(&standin, Faults { fail: true, ..Faults::default() });
    let response = client.attempt(&target, get("/x")).await.unwrap();
    assert_eq!(response.outcome(), AttemptOutcome::Answered { failed: true });
}

#[tokio::test]
async fn attempt_times_out() {
    let (_standin, client, target) = start_upstream().await;
    let mut attempt = get("/x?delay_ms=60000");
    attempt.timeout = Duration::from_millis(50);
    assert_eq!(
        client.attempt(&target, attempt).await.unwrap_err().outcome,
        AttemptOutcome::TimedOut
    );
}

#[tokio::test]
async fn attempt_truncated_body_is_lost() {
    let (_standin, client, target) = start_upstream().await;
    for query in ["size=100000&cut_after=30000", "chunks=9&chunk_size=1000&cut_after=3000"] {
        let path = format!("/x?{query}");
        let mut response = client.attempt(&target, get(&path)).await.unwrap();
        assert_eq!(read_body(&mut response).await, Err(AttemptOutcome::LostInBody), "{query}");
    }
}

#[tokio::test]
async fn attempt_body_is_complete() {
    let (_standin, client, target) = start_upstream().await;
    for (query, len) in [("size=100000", 100_000), ("chunks=3&chunk_size=7", 21), ("size=0", 0)] {
        let path = format!("/x?{query}");
        let mut response = client.attempt(&target, get(&path)).await.unwrap();
        let expected: Vec<u8> = (0..len).map(|i| (i % 251) as u8).collect();
        assert_eq!(read_body(&mut response).await.unwrap(), expected, "{query}");
    }
}

#[tokio::test]
async fn attempt_stalled_body_is_lost() {
    let (_standin, client, target) = start_upstream().await;
    let path = "/x?chunks=9&chunk_delay_ms=60000";
    let mut response = client.attempt(&target, get(path)).await.unwrap();
    let chunk = response.next_chunk(Duration::from_millis(50)).await;
    assert_eq!(chunk, Err(AttemptOutcome::LostInBody));
}

#[tokio::test]
async fn attempt_caller_gone_is_no_upstream_failure() {
    let (_standin, client, target) = start_upstream().await;
    let (tx, chunks) = mpsc::channel(2);
    let mut attempt = request(Method::POST, "/x", "");
    attempt.body = RequestBody::Stream { chunks, length: None };
    tx.send(Ok(Bytes::from("half"))).await.unwrap();
    tx.send(Err(io::Error::other("caller left"))).await.unwrap();
    let failure = client.attempt(&target, attempt).await.unwrap_err();
    assert_eq!(failure.cause, FailureCause::CallerGone);
}

#[tokio::test]
async fn attempt_mismatched_responses_reach_no_caller() {
    let (standin, client, target) = start_upstream().await;
    let client = Arc::new(client);
    set_faults(&standin, Faults { crossed_answers: 10, ..Faults::default() });
    let calls = (0..40).map(|i| {
        let (client, target) = (client.clone(), target.clone());
        tokio::spawn(async move {
            let expected = format!("body {i}");
            let attempt = request(Method::POST, "/x", expected.clone());
            match client.attempt(&target, attempt).await {
                Ok(mut response) => {
                    assert_eq!(read_body(&mut response).await.unwrap(), expected.as_bytes());
                    0
                }
                Err(failure) => {
                    assert_eq!(failure.outcome, AttemptOutcome::LostBeforeHead);
                    assert_eq!(failure.cause, FailureCause::Mismatch);
                    1
                }
            }
        })
    });
    let mismatched: i32 =
        futures::future::join_all(calls).await.into_iter().map(|c| c.unwrap()).sum();
    assert_eq!(mismatched, 10);
}

#[tokio::test]
async fn attempt_silent_generation_is_retired() {
    let (standin, client, mut target) = start_upstream().await;
    client.attempt(&target, get("/x")).await.unwrap();
    set_faults(&standin, Faults { silence_open: true, ..Faults::default() });
    let mut attempt = get("/x");
    attempt.timeout = Duration::from_millis(100);
    assert_eq!(
        client.attempt(&target, attempt).await.unwrap_err().outcome,
        AttemptOutcome::TimedOut
    );
    client.probe(&target.addr).await.unwrap();
    target.generation += 1;
    assert_eq!(client.attempt(&target, get("/x")).await.unwrap().status, 200);
}

#[tokio::test]
async fn attempt_reserved_paths() {
    let (standin, client, target) = start_upstream().await;
    let reserved =
        ["/tasks/a", "//tasks/a", "/%74asks/a", "/x/../tasks/a", "/x/%2e%2e/TASKS", "/faults"];
    for path in reserved {
        let failure = client.attempt(&target, request(Method::PUT, path, "{}")).await.unwrap_err();
        assert_eq!(failure.cause, FailureCause::Reserved, "{path}");
    }
    assert!(standin.runs().is_empty());
}

#[test]
fn forwarded_headers_drop_hop_by_hop_and_own_headers() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "keep-alive, X-Hop"),
        ("x-hop", "1"),
        ("te", "trailers"),
        ("jacinthhook-key", "secret"),
        ("x-kept", "1"),
    ] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    let names: Vec<_> = forwarded_headers(&headers).keys().map(|n| n.to_string()).collect();
    assert_eq!(names, ["x-kept"]);
}

#[test]
fn clock_lower_bound_is_never_too_late() {
    let clock = UpstreamClock { at: Duration::from_secs(10), clock_ms: 5_000 };
    assert_eq!(clock.lower_bound_at(Duration::from_secs(10)), 5_000);
    assert_eq!(clock.lower_bound_at(Duration::from_secs(12)), 6_900);
    assert_eq!(clock.lower_bound_at(Duration::from_secs(9)), 3_950);
    assert_eq!(clock.lower_bound_at(Duration::ZERO), 0);
}

#[tokio::test]
async fn probe_reports_clock_and_load() {
    let options = UpstreamOptions::new("u1", any_port());
    let options = options.with_clock_origin(Duration::from_secs(1_000));
    let (_standin, client, target) = start_upstream_with(options).await;
    client.start_task(&target, "t", &task(1, "")).await.unwrap();
    let probed = client.probe(&target.addr).await.unwrap();
    assert!(probed.status.clock_ms >= 1_000_000);
    assert_eq!((probed.status.running, probed.status.slots), (1, 8));
}

#[tokio::test]
async fn start_task_runs_once() {
    let (standin, client, target) = start_upstream().await;
    let client = Arc::new(client);
    let starts = (0..20).map(|_| {
        let (client, target) = (client.clone(), target.clone());
        tokio::spawn(async move { client.start_task(&target, "t", &task(5, "")).await })
    });
    let results = futures::future::join_all(starts).await;
    let started =
        results.into_iter().filter(|a| matches!(a, Ok(Ok(TaskStartOutcome::Started)))).count();
    assert_eq!(started, 1);
    assert_eq!(standin.runs()["t"], 1);
    assert_eq!(standin.running(), 1);
}

#[tokio::test]
async fn start_task_refusals() {
    let options = UpstreamOptions::new("u1", any_port()).with_size(1, 64);
    let (standin, client, target) =
        start_upstream_with(options.with_clock_origin(Duration::from_secs(9))).await;
    let late = TaskStart { start_by_ms: 8_999, ..task(1, "") };
    assert_eq!(refused(client.start_task(&target, "late", &late).await), "late");
    client.start_task(&target, "t", &task(5, "")).await.unwrap();
    assert_eq!(refused(client.start_task(&target, "u", &task(5, "")).await), "busy");
    assert_eq!(refused(client.start_task(&target, "t", &task(4, "")).await), "fence");
    assert_eq!(refused(client.stop_task(&target, "t", 4).await), "fence");
    standin.set_draining(true);
    assert_eq!(refused(client.start_task(&target, "u", &task(5, "")).await), "draining");
    assert_eq!(standin.runs().len(), 1);
}

fn refused<T: std::fmt::Debug>(response: Result<T, TaskError>) -> String {
    match response {
        Err(TaskError::Refused { reason, .. }) => reason,
        other => panic!("not refused: {other:?}"),
    }
}

#[tokio::test]
async fn start_task_lost_response_may_have_effect() {
    let (standin, client, target) = start_upstream().await;
    set_faults(&standin, Faults { lose_answers: 1, ..Faults::default() });
    let error = client.start_task(&target, "t", &task(1, "")).await.unwrap_err();
    assert!(!error.had_no_effect(), "{error}");
    let repeated = client.start_task(&target, "t", &task(1, "")).await.unwrap();
    assert_eq!(repeated, TaskStartOutcome::Known(TaskState::Running { fence: 1 }));
    assert_eq!(standin.runs()["t"], 1);
}

#[tokio::test]
async fn task_ends_with_its_result() {
    let (_standin, client, target) = start_upstream().await;
    let start = task(1, "{\"run_ms\":0}");
    client.start_task(&target, "t", &start).await.unwrap();
    let state = client.task(&target, "t").await.unwrap();
    assert_eq!(state, TaskState::Done { result: start.payload });
    assert_eq!(client.task(&target, "other").await, Err(TaskError::NoSuchTask));
}

#[tokio::test]
async fn task_lease_expires() {
    let (standin, client, target) = start_upstream().await;
    let start = TaskStart { lease_ms: 0, ..task(1, "") };
    client.start_task(&target, "t", &start).await.unwrap();
    assert_eq!(client.task(&target, "t").await.unwrap(), TaskState::Stopped);
    let renew = TaskRenew { fence: 2, lease_ms: 60_000 };
    assert_eq!(client.renew_task(&target, "t", &renew).await.unwrap(), TaskState::Stopped);
    let repeated = client.start_task(&target, "t", &task(3, "")).await.unwrap();
    assert_eq!(repeated, TaskStartOutcome::Started);
    assert_eq!(standin.runs()["t"], 2);
}

#[tokio::test]
async fn task_renew_raises_the_fence() {
    let (_standin, client, target) = start_upstream().await;
    client.start_task(&target, "t", &task(1, "")).await.unwrap();
    let renew = TaskRenew { fence: 7, lease_ms: 60_000 };
    let state = client.renew_task(&target, "t", &renew).await.unwrap();
    assert_eq!(state, TaskState::Running { fence: 7 });
    let old = TaskRenew { fence: 6, lease_ms: 60_000 };
    assert_eq!(refused(client.renew_task(&target, "t", &old).await), "fence");
}

#[tokio::test]
async fn task_throttle_checkpoint_and_stop() {
    let (_standin, client, target) = start_upstream().await;
    client.start_task(&target, "t", &task(1, "{\"done_ms\":500}")).await.unwrap();
    let throttle = TaskThrottle { fence: 1, percent: 1 };
    client.throttle_task(&target, "t", &throttle).await.unwrap();
    assert!(client.checkpoint_task(&target, "t", 1).await.unwrap().done_ms >= 500);
    assert_eq!(client.stop_task(&target, "t", 1).await.unwrap(), TaskState::Stopped);
}

#[tokio::test]
async fn attempt_response_without_length_or_chunks() {
    // If the end of a body is only marked by the end of the connection, a truncated body looks
    // complete.
    let (_standin, client, target) = start_upstream().await;
    let listener = TcpListener::bind(any_port()).await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let server = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(socket.read_u8().await.expect("a request"));
        }
        let head = String::from_utf8(head).expect("text");
        let exchange = head.lines().find(|line| line.starts_with(EXCHANGE_HEADER));
        let response =
            format!("HTTP/1.1 200 OK\r\n{}\r\n\r\ncleats", exchange.expect("an exchange"));
        socket.write_all(response.as_bytes()).await.expect("an open socket");
    });
    let failure = client.attempt(&Target { addr, ..target }, get("/loan/7")).await.unwrap_err();
    assert_eq!(failure.outcome, AttemptOutcome::LostBeforeHead, "{failure:?}");
    assert!(failure.message.contains("neither a length nor chunks"), "{failure:?}");
    server.await.expect("the server ends");
}
