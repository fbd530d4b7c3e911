//! The whole path as separate processes: an operator publishes and grants a key, callers' requests and
//! jobs pass to upstreams. Guards against parts that work alone and not together.

mod env;

use env::{AFTER_LEASE, Env, SOON, verdict, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn request_with_and_without_key() {
    let env = Env::start().await;
    let key = env.grant("counters");
    for at in 0..2 {
        let request = env.post(at, "/s/loans/reserve?size=12&tag=r").body("pair 7");
        let answer = request.header("jacinthhook-key", &key).send().await.expect("an answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.bytes().await.expect("a body").len(), 12);

        let refused = env.post(at, "/s/loans/reserve?tag=none").send().await.expect("an answer");
        assert_eq!(verdict(&refused), (401, "key_missing".into(), "not_run".into()));
    }
    assert_eq!(env.runs("r").await, 2);
    assert_eq!(env.runs("none").await, 0);
}

/// A job as the second entry instance tells it.
async fn job(env: &Env, path: &str, key: &str) -> serde_json::Value {
    let answer = env.get(1, path).header("jacinthhook-key", key).send().await;
    answer.expect("an answer").json().await.expect("JSON")
}

/// Submits jobs to the first entry instance until it holds one itself; answers that one's path.
async fn job_held_by_first(env: &Env, key: &str, payload: &str) -> String {
    for _ in 0..16 {
        let request = env.post(0, "/v1/jobs?service=loans&declared_ms=4000");
        let request = request.body(payload.to_string()).header("jacinthhook-key", key);
        let answer = request.send().await.expect("an answer");
        assert_eq!(answer.status(), 201);
        let submitted: serde_json::Value = answer.json().await.expect("JSON");
        let path = format!("/v1/jobs/{}", submitted["job"].as_str().expect("an id"));
        wait_until("job runs", SOON, async || job(env, &path, key).await["state"] == "running")
            .await;
        if job(env, &path, key).await["holder"] == "entry-a" {
            return path;
        }
        let cancel = env.request(0, reqwest::Method::DELETE, &path).header("jacinthhook-key", key);
        assert!(cancel.send().await.expect("an answer").status().is_success());
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
    wait_until("job done", AFTER_LEASE, async || job(&env, &path, &key).await["state"] == "done")
        .await;
    let result = env.get(1, &format!("{path}/result")).header("jacinthhook-key", &key);
    let result = result.send().await.expect("an answer");
    assert_eq!(result.text().await.expect("a body"), payload);
    assert_eq!(env.runs(path.trim_start_matches("/v1/jobs/")).await, 1);
}
