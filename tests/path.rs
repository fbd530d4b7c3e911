//! End-to-end tests with separate processes: an operator publishes declarations and grants a key,
//! and callers' requests and jobs run on upstreams. Guards against components that only work in
//! isolation.

mod env;

use env::{Env, LEASE_TIMEOUT, SHORT_TIMEOUT, response_outcome, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn request_with_and_without_key() {
    let env = Env::start().await;
    let key = env.grant("counters");
    for at in 0..2 {
        let request = env.post(at, "/s/loans/reserve?size=12&tag=r").body("pair 7");
        let response = request.header("jacinthhook-key", &key).send().await.expect("a response");
        assert_eq!(response.status(), 200);
        assert_eq!(response.bytes().await.expect("a body").len(), 12);

        let refused = env.post(at, "/s/loans/reserve?tag=none").send().await.expect("a response");
        assert_eq!(response_outcome(&refused), (401, "key_missing".into(), "not_run".into()));
    }
    assert_eq!(env.run_count("r").await, 2);
    assert_eq!(env.run_count("none").await, 0);
}

/// Requests the status of a job from the second entry instance.
async fn job(env: &Env, path: &str, key: &str) -> serde_json::Value {
    let response = env.get(1, path).header("jacinthhook-key", key).send().await;
    response.expect("a response").json().await.expect("a JSON body")
}

/// Submits jobs to the first entry instance until it holds one itself; returns the path of that
/// job.
async fn job_held_by_first(env: &Env, key: &str, payload: &str) -> String {
    for _ in 0..16 {
        let request = env.post(0, "/v1/jobs?service=loans&declared_ms=4000");
        let request = request.body(payload.to_string()).header("jacinthhook-key", key);
        let response = request.send().await.expect("a response");
        assert_eq!(response.status(), 201);
        let submitted: serde_json::Value = response.json().await.expect("a JSON body");
        let path = format!("/v1/jobs/{}", submitted["job"].as_str().expect("an id"));
        wait_until("job runs", SHORT_TIMEOUT, async || {
            job(env, &path, key).await["state"] == "running"
        })
        .await;
        if job(env, &path, key).await["holder"] == "entry-a" {
            return path;
        }
        let cancel = env.request(0, reqwest::Method::DELETE, &path).header("jacinthhook-key", key);
        assert!(cancel.send().await.expect("a response").status().is_success());
    }
    panic!("none of 16 jobs is held by the first entry instance");
}

#[tokio::test(flavor = "multi_thread")]
async fn job_survives_kill_of_its_holder() {
    let mut env = Env::start().await;
    let key = env.grant("planners");
    let payload = r#"{"run_ms":4000}"#;
    let path = job_held_by_first(&env, &key, payload).await;
    env.entries[0].kill();
    wait_until("job done", LEASE_TIMEOUT, async || job(&env, &path, &key).await["state"] == "done")
        .await;
    let result = env.get(1, &format!("{path}/result")).header("jacinthhook-key", &key);
    let result = result.send().await.expect("a response");
    assert_eq!(result.text().await.expect("a body"), payload);
    assert_eq!(env.run_count(path.trim_start_matches("/v1/jobs/")).await, 1);
}
