//! Faults of upstreams, platform and entry instances, with real processes. Guards against lost work,
//! work that runs twice, and refusals that report a wrong outcome.

mod env;

use env::{Env, LEASE_TIMEOUT, SHORT_TIMEOUT, response_outcome, wait_until};
use rustix::process::Signal;
use serde_json::json;
use std::time::Duration;

#[tokio::test(flavor = "multi_thread")]
async fn upstream_connections_go_silent() {
    let env = Env::start_small().await;
    for _ in 0..4 {
        let all = futures::future::join_all((0..8).map(|_| env.get(0, "/s/open/x").send())).await;
        assert!(all.iter().all(|response| response.as_ref().is_ok_and(|r| r.status() == 200)));
    }
    env.set_faults(&env.upstreams[0], json!({ "silence_open": true })).await;
    // New connections to the upstream work. Only the request that uses a silent connection may fail.
    let first = env.get(0, "/s/open/x").header("jacinthhook-deadline-ms", "8000").send().await;
    let (status, _, ran) = response_outcome(&first.expect("a response"));
    assert!(status == 200 || (status == 504 && ran == "unknown"), "{status} {ran}");
    for _ in 0..16 {
        let response = env.get(0, "/s/open/x").send().await.expect("a response");
        assert_eq!(response.status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_silent_is_hedged() {
    let env = Env::start().await;
    for _ in 0..4 {
        let all = futures::future::join_all((0..8).map(|_| env.get(0, "/s/open/x").send())).await;
        assert!(all.iter().all(|response| response.as_ref().is_ok_and(|r| r.status() == 200)));
    }
    for upstream in &env.upstreams {
        env.set_faults(upstream, json!({ "silence_open": true })).await;
    }
    // Idempotent requests succeed with a second attempt, well before the deadline of 20 s.
    let started = std::time::Instant::now();
    let all = futures::future::join_all((0..4).map(|_| env.get(0, "/s/open/x").send())).await;
    assert!(
        all.iter().all(|response| response.as_ref().is_ok_and(|r| r.status() == 200)),
        "{all:?}"
    );
    assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
    // Requests that are not idempotent run at most once.
    for tag in ["once-1", "once-2", "once-3"] {
        let request = env.post(0, &format!("/s/open/x?tag={tag}"));
        let response = request.header("jacinthhook-deadline-ms", "3000").send().await;
        let (status, _, ran) = response_outcome(&response.expect("a response"));
        assert!(status == 200 || ran == "unknown" || ran == "not_run", "{status} {ran}");
        assert!(env.run_count(tag).await <= 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_crossed_and_lost_responses() {
    let env = Env::start().await;
    for upstream in &env.upstreams {
        env.set_faults(upstream, json!({ "crossed_answers": 1 })).await;
    }
    // A response that belongs to another request must never reach the caller.
    for i in 0..8 {
        let body = format!("body {i}");
        let response =
            env.request(0, reqwest::Method::PUT, "/s/open/x").body(body.clone()).send().await;
        let response = response.expect("a response");
        if response.status() == 200 {
            assert_eq!(response.text().await.expect("the body should be readable"), body);
        } else {
            assert_eq!(response_outcome(&response).1, "upstream_lost");
        }
    }
    for upstream in &env.upstreams {
        env.set_faults(upstream, json!({ "lose_answers": 1 })).await;
    }
    for i in 0..4 {
        let tag = format!("lost-{i}");
        let response =
            env.post(0, &format!("/s/open/x?tag={tag}")).send().await.expect("a response");
        let (status, _, ran) = response_outcome(&response);
        assert!(status == 200 || ran == "unknown", "{status} {ran}");
        assert_eq!(env.run_count(&tag).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_down_is_not_run() {
    let mut env = Env::start_small().await;
    env.upstreams[0].kill();
    let response = env.post(0, "/s/open/x").send().await.expect("a response");
    let (status, kind, ran) = response_outcome(&response);
    assert_eq!((status, ran.as_str()), (503, "not_run"), "{kind}");
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_down_serves_within_reserve() {
    let env = Env::start().await;
    env.wait_for_units("planners", 20).await;
    env.set_faults(&env.platform, json!({ "down": true })).await;
    // Without a lease, the two instances may still use their reserve, 50% of 40 units in all. It must
    // serve requests beyond the lapse of the lease of 15 s.
    let started = std::time::Instant::now();
    while started.elapsed() < Duration::from_secs(20) {
        let response = env.get(0, "/s/open/x?delay_ms=50").send().await.expect("a response");
        assert_eq!(
            response.status(),
            200,
            "{:?} {:?}",
            started.elapsed(),
            response_outcome(&response)
        );
    }
    let job = env.post(0, "/v1/jobs?service=open").body("{}").send().await.expect("a response");
    assert_eq!(response_outcome(&job), (503, "log_unavailable".into(), "not_run".into()));
    env.set_faults(&env.platform, json!({})).await;
    wait_until("jobs accepted again", SHORT_TIMEOUT, async || {
        let job = env.post(0, "/v1/jobs?service=open").body("{}").send().await.expect("a response");
        job.status() == 201
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_frozen_past_its_lease() {
    let env = Env::start().await;
    let submit = env.post(0, "/v1/jobs?service=open").body(r#"{"run_ms":25000,"tag":"frozen"}"#);
    let job: serde_json::Value =
        submit.send().await.expect("a response").json().await.expect("the body should be JSON");
    let path = format!(
        "/v1/jobs/{}",
        job["job"].as_str().expect("the response should contain the job id")
    );
    // The log lists a job as running before the start is sent to the upstream. If the holder were frozen
    // in between, and before entry-b knew how long the upstream has been running, the outcome of the job
    // would correctly be unknown. So the test waits until the upstream has started the task.
    wait_until("job runs", SHORT_TIMEOUT, async || env.json(1, &path).await["state"] == "running")
        .await;
    wait_until("task runs", SHORT_TIMEOUT, async || env.run_count("frozen").await == 1).await;
    let holder = env.json(1, &path).await["holder"].clone();
    let (frozen, other) = if holder == "entry-a" { (0, 1) } else { (1, 0) };
    env.entries[frozen].signal(Signal::STOP);
    wait_until("job adopted", LEASE_TIMEOUT, async || {
        env.json(other, &path).await["holder"] != holder
    })
    .await;
    env.entries[frozen].signal(Signal::CONT);
    wait_until("job done", LEASE_TIMEOUT, async || env.json(other, &path).await["state"] == "done")
        .await;
    // The resumed instance catches up with the log and serves requests again.
    wait_until("resumed instance caught up", SHORT_TIMEOUT, async || {
        env.json(frozen, &path).await["state"] == "done"
    })
    .await;
    wait_until("resumed instance serves", SHORT_TIMEOUT, async || {
        env.get(frozen, "/s/open/x").send().await.is_ok_and(|r| r.status() == 200)
    })
    .await;
    assert_eq!(env.run_count("frozen").await, 1);
}
