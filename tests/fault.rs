//! Faults of upstreams, platform and entry instances on real processes. Guards against lost or doubled
//! work and against refusals that are not true.

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
        assert!(all.iter().all(|answer| answer.as_ref().is_ok_and(|a| a.status() == 200)));
    }
    env.set_faults(&env.upstreams[0], json!({ "silence_open": true })).await;
    // The upstream works over new connections; a request over a silent one is the only one hurt.
    let first = env.get(0, "/s/open/x").header("jacinthhook-deadline-ms", "8000").send().await;
    let (status, _, ran) = response_outcome(&first.expect("an answer"));
    assert!(status == 200 || (status == 504 && ran == "unknown"), "{status} {ran}");
    for _ in 0..16 {
        let answer = env.get(0, "/s/open/x").send().await.expect("an answer");
        assert_eq!(answer.status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_silent_is_hedged() {
    let env = Env::start().await;
    for _ in 0..4 {
        let all = futures::future::join_all((0..8).map(|_| env.get(0, "/s/open/x").send())).await;
        assert!(all.iter().all(|answer| answer.as_ref().is_ok_and(|a| a.status() == 200)));
    }
    for upstream in &env.upstreams {
        env.set_faults(upstream, json!({ "silence_open": true })).await;
    }
    // Idempotent requests get their answer by a second attempt, well before the deadline of 20 s.
    let started = std::time::Instant::now();
    let all = futures::future::join_all((0..4).map(|_| env.get(0, "/s/open/x").send())).await;
    assert!(all.iter().all(|answer| answer.as_ref().is_ok_and(|a| a.status() == 200)), "{all:?}");
    assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
    // Others run at most once.
    for tag in ["once-1", "once-2", "once-3"] {
        let request = env.post(0, &format!("/s/open/x?tag={tag}"));
        let answer = request.header("jacinthhook-deadline-ms", "3000").send().await;
        let (status, _, ran) = response_outcome(&answer.expect("an answer"));
        assert!(status == 200 || ran == "unknown" || ran == "not_run", "{status} {ran}");
        assert!(env.run_count(tag).await <= 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_crossed_and_lost_answers() {
    let env = Env::start().await;
    for upstream in &env.upstreams {
        env.set_faults(upstream, json!({ "crossed_answers": 1 })).await;
    }
    // An answer that belongs to another request never reaches the caller.
    for i in 0..8 {
        let body = format!("body {i}");
        let answer =
            env.request(0, reqwest::Method::PUT, "/s/open/x").body(body.clone()).send().await;
        let answer = answer.expect("an answer");
        if answer.status() == 200 {
            assert_eq!(answer.text().await.expect("a body"), body);
        } else {
            assert_eq!(response_outcome(&answer).1, "upstream_lost");
        }
    }
    for upstream in &env.upstreams {
        env.set_faults(upstream, json!({ "lose_answers": 1 })).await;
    }
    for i in 0..4 {
        let tag = format!("lost-{i}");
        let answer = env.post(0, &format!("/s/open/x?tag={tag}")).send().await.expect("an answer");
        let (status, _, ran) = response_outcome(&answer);
        assert!(status == 200 || ran == "unknown", "{status} {ran}");
        assert_eq!(env.run_count(&tag).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_down_is_not_run() {
    let mut env = Env::start_small().await;
    env.upstreams[0].kill();
    let answer = env.post(0, "/s/open/x").send().await.expect("an answer");
    let (status, kind, ran) = response_outcome(&answer);
    assert_eq!((status, ran.as_str()), (503, "not_run"), "{kind}");
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_down_serves_within_reserve() {
    let env = Env::start().await;
    env.wait_for_units("planners", 20).await;
    env.set_faults(&env.platform, json!({ "down": true })).await;
    // The reserve of 50% of 40 units over two instances outlasts the lease of 15 s.
    let started = std::time::Instant::now();
    while started.elapsed() < Duration::from_secs(20) {
        let answer = env.get(0, "/s/open/x?delay_ms=50").send().await.expect("an answer");
        assert_eq!(answer.status(), 200, "{:?} {:?}", started.elapsed(), response_outcome(&answer));
    }
    let job = env.post(0, "/v1/jobs?service=open").body("{}").send().await.expect("an answer");
    assert_eq!(response_outcome(&job), (503, "log_unavailable".into(), "not_run".into()));
    env.set_faults(&env.platform, json!({})).await;
    wait_until("jobs are taken again", SHORT_TIMEOUT, async || {
        let job = env.post(0, "/v1/jobs?service=open").body("{}").send().await.expect("an answer");
        job.status() == 201
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_frozen_past_its_lease() {
    let env = Env::start().await;
    let submit = env.post(0, "/v1/jobs?service=open").body(r#"{"run_ms":25000,"tag":"frozen"}"#);
    let job: serde_json::Value =
        submit.send().await.expect("an answer").json().await.expect("JSON");
    let path = format!("/v1/jobs/{}", job["job"].as_str().expect("an id"));
    // The log shows a job as running before its start is sent. Frozen in between, and before entry-b
    // could tell how long the upstream has run, its fate is rightly unknown.
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
    // The thawed instance catches up and serves again.
    wait_until("thawed instance agrees", SHORT_TIMEOUT, async || {
        env.json(frozen, &path).await["state"] == "done"
    })
    .await;
    wait_until("thawed instance serves", SHORT_TIMEOUT, async || {
        env.get(frozen, "/s/open/x").send().await.is_ok_and(|a| a.status() == 200)
    })
    .await;
    assert_eq!(env.run_count("frozen").await, 1);
}
