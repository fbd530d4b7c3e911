//! Stops of an entry instance on real processes. Guards against requests that a planned stop cuts off
//! and against jobs that wait for a lease to lapse.

mod env;

use env::{Caller, Env, SOON, verdict, wait_until};
use reqwest::Method;
use rustix::process::Signal;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// What callers saw.
#[derive(Default)]
struct Seen {
    answered: AtomicU64,
    refused: AtomicU64,
}

/// Sends requests one after the other until one is refused, as a caller behind a load balancer that
/// then turns to another instance; panics on anything but a whole answer or a refusal as not run.
async fn call_until_refused(caller: &Caller, seen: &Seen) {
    loop {
        let path = "/s/open/x?delay_ms=100&size=20000&tag=load";
        let answer = caller.request(Method::POST, path).body("loan").send().await;
        let answer = answer.expect("a request was cut off");
        if answer.status() != 200 {
            assert_eq!(verdict(&answer), (503, "stopping".into(), "not_run".into()));
            seen.refused.fetch_add(1, Ordering::Relaxed);
            return;
        }
        assert_eq!(answer.bytes().await.expect("a whole body").len(), 20_000);
        seen.answered.fetch_add(1, Ordering::Relaxed);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_under_load_cuts_off_nothing() {
    let mut env = Env::start().await;
    env.wait_for_units("planners", 20).await;
    let seen = Seen::default();
    let caller = env.caller(0);
    let callers = futures::future::join_all((0..16).map(|_| call_until_refused(&caller, &seen)));
    let stop = async {
        let seen_enough = async || seen.answered.load(Ordering::Relaxed) >= 100;
        wait_until("load is on", SOON, seen_enough).await;
        env.entries[0].signal(Signal::TERM);
        wait_until("not ready", SOON, async || {
            let answer = caller.request(Method::GET, "/readyz").send().await;
            answer.is_ok_and(|answer| answer.status() == 503)
        })
        .await;
        env.entries[0].ended(SOON).await
    };
    let (_, code) = tokio::join!(callers, stop);
    assert_eq!(code, Some(0));
    assert_eq!(seen.refused.load(Ordering::Relaxed), 16);
    // Every run has its answer and every answer its run.
    assert_eq!(env.runs("load").await, seen.answered.load(Ordering::Relaxed));
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_second_signal_ends_at_once() {
    let mut env = Env::start_small().await;
    let request = env.get(0, "/s/open/x?delay_ms=15000&tag=long").send();
    let request = tokio::spawn(request);
    wait_until("request runs", SOON, async || env.runs("long").await == 1).await;
    env.entries[0].signal(Signal::TERM);
    wait_until("not ready", SOON, async || {
        env.get(0, "/readyz").send().await.is_ok_and(|answer| answer.status() == 503)
    })
    .await;
    let started = Instant::now();
    env.entries[0].signal(Signal::TERM);
    let code = env.entries[0].ended(SOON).await;
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    assert_ne!(code, Some(0));
    assert!(request.await.expect("no panic").is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_hands_jobs_over() {
    let mut env = Env::start().await;
    let submit = env.post(0, "/v1/jobs?service=open").body(r#"{"run_ms":12000,"tag":"moved"}"#);
    let job: serde_json::Value =
        submit.send().await.expect("an answer").json().await.expect("JSON");
    let path = format!("/v1/jobs/{}", job["job"].as_str().expect("an id"));
    wait_until("job runs", SOON, async || env.json(1, &path).await["state"] == "running").await;
    let holder = env.json(1, &path).await["holder"].clone();
    let (leaving, other) = if holder == "entry-a" { (0, 1) } else { (1, 0) };
    let started = Instant::now();
    env.entries[leaving].signal(Signal::TERM);
    wait_until("job adopted", SOON, async || {
        let held = env.json(other, &path).await["holder"].clone();
        held.is_string() && held != holder
    })
    .await;
    // Well before the lease of 15 s lapses.
    assert!(started.elapsed() < Duration::from_secs(8), "{:?}", started.elapsed());
    assert_eq!(env.entries[leaving].ended(SOON).await, Some(0));
    wait_until("job done", SOON, async || env.json(other, &path).await["state"] == "done").await;
    assert_eq!(env.runs("moved").await, 1);
}
