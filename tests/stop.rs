//! Planned stops of an entry instance, with real processes. Guards against requests that a stop
//! aborts, and against jobs that are not taken over until a lease expires.

mod env;

use env::{Caller, Env, SHORT_TIMEOUT, response_outcome, wait_until};
use reqwest::Method;
use rustix::process::Signal;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Number of responses received by callers.
#[derive(Default)]
struct ResponseCounts {
    completed: AtomicU64,
    refused: AtomicU64,
}

/// Sends requests one after the other until one is refused, like a caller whose load balancer then
/// selects another instance. Panics on anything but a complete response or a refusal as not run.
async fn call_until_refused(caller: &Caller, counts: &ResponseCounts) {
    loop {
        let path = "/s/open/x?delay_ms=100&size=20000&tag=load";
        let response = caller.request(Method::POST, path).body("loan").send().await;
        let response = response.expect("no aborted request");
        if response.status() != 200 {
            assert_eq!(response_outcome(&response), (503, "stopping".into(), "not_run".into()));
            counts.refused.fetch_add(1, Ordering::Relaxed);
            return;
        }
        assert_eq!(response.bytes().await.expect("a complete body").len(), 20_000);
        counts.completed.fetch_add(1, Ordering::Relaxed);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_under_load_aborts_no_request() {
    let mut env = Env::start().await;
    env.wait_for_units("planners", 20).await;
    let counts = ResponseCounts::default();
    let caller = env.caller(0);
    let callers = futures::future::join_all((0..16).map(|_| call_until_refused(&caller, &counts)));
    let stop = async {
        let enough_completed = async || counts.completed.load(Ordering::Relaxed) >= 100;
        wait_until("requests complete", SHORT_TIMEOUT, enough_completed).await;
        env.entries[0].signal(Signal::TERM);
        wait_until("not ready", SHORT_TIMEOUT, async || {
            let response = caller.request(Method::GET, "/readyz").send().await;
            response.is_ok_and(|response| response.status() == 503)
        })
        .await;
        env.entries[0].wait_for_exit(SHORT_TIMEOUT).await
    };
    let (_, code) = tokio::join!(callers, stop);
    assert_eq!(code, Some(0));
    assert_eq!(counts.refused.load(Ordering::Relaxed), 16);
    // Every run has a response and every response has a run.
    assert_eq!(env.run_count("load").await, counts.completed.load(Ordering::Relaxed));
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_second_signal_ends_at_once() {
    let mut env = Env::start_small().await;
    let request = env.get(0, "/s/open/x?delay_ms=15000&tag=long").send();
    let request = tokio::spawn(request);
    wait_until("request runs", SHORT_TIMEOUT, async || env.run_count("long").await == 1).await;
    env.entries[0].signal(Signal::TERM);
    wait_until("not ready", SHORT_TIMEOUT, async || {
        env.get(0, "/readyz").send().await.is_ok_and(|response| response.status() == 503)
    })
    .await;
    let started = Instant::now();
    env.entries[0].signal(Signal::TERM);
    let code = env.entries[0].wait_for_exit(SHORT_TIMEOUT).await;
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    assert_ne!(code, Some(0));
    assert!(request.await.expect("no panic").is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_hands_jobs_over() {
    let mut env = Env::start().await;
    let submit = env.post(0, "/v1/jobs?service=open").body(r#"{"run_ms":12000,"tag":"moved"}"#);
    let job: serde_json::Value =
        submit.send().await.expect("a response").json().await.expect("a JSON body");
    let path = format!("/v1/jobs/{}", job["job"].as_str().expect("an id"));
    wait_until("job runs", SHORT_TIMEOUT, async || env.json(1, &path).await["state"] == "running")
        .await;
    let holder = env.json(1, &path).await["holder"].clone();
    let (stopping, other) = if holder == "entry-a" { (0, 1) } else { (1, 0) };
    let started = Instant::now();
    env.entries[stopping].signal(Signal::TERM);
    wait_until("job adopted", SHORT_TIMEOUT, async || {
        let current_holder = env.json(other, &path).await["holder"].clone();
        current_holder.is_string() && current_holder != holder
    })
    .await;
    // Well before the lease of 15 s expires.
    assert!(started.elapsed() < Duration::from_secs(8), "{:?}", started.elapsed());
    assert_eq!(env.entries[stopping].wait_for_exit(SHORT_TIMEOUT).await, Some(0));
    wait_until("job done", SHORT_TIMEOUT, async || env.json(other, &path).await["state"] == "done")
        .await;
    assert_eq!(env.run_count("moved").await, 1);
}
