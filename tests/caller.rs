//! The HTTP interface for callers. Guards against requests and responses that are altered while
//! they are forwarded, and against refusals that are wrong or unclear.

mod env;

use env::{Env, SHORT_TIMEOUT, response_outcome, wait_until};
use reqwest::Method;
use serde_json::Value;

#[tokio::test(flavor = "multi_thread")]
async fn request_methods_path_and_body() {
    let env = Env::start_small().await;
    let methods = [Method::GET, Method::PUT, Method::POST, Method::DELETE, Method::PATCH];
    for method in methods {
        let request = env.request(0, method.clone(), "/s/open/a%20b/.c//d/?q=1&q=%2F");
        let response = request.body("echo").send().await.expect("a response");
        assert_eq!(response.status(), 200);
        assert_eq!(response.headers()["standin-method"], method.as_str());
        assert_eq!(response.headers()["standin-path"], "/a%20b/.c//d/?q=1&q=%2F");
        assert!(response.headers().get("jacinthhook-next-id").is_some());
        assert_eq!(response.text().await.expect("a body"), "echo");
    }
    let head =
        env.request(0, Method::HEAD, "/s/open/x?size=5000").send().await.expect("a response");
    assert_eq!(head.status(), 200);
    assert_eq!(head.headers()["content-length"], "5000");
    assert_eq!(head.bytes().await.expect("no body").len(), 0);
    for status in [204, 304, 404, 500] {
        let response = env.get(0, &format!("/s/open/x?status={status}")).send().await;
        let response = response.expect("a response");
        assert_eq!(response.status(), status);
        assert!(response.headers().get("jacinthhook-kind").is_none());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_large_bodies() {
    let env = Env::start_small().await;
    for len in [65_535, 65_536, 65_537, 3_000_000] {
        let body: Vec<u8> = (0..len).map(|i| (i % 253) as u8).collect();
        let response =
            env.post(0, "/s/open/x").body(body.clone()).send().await.expect("a response");
        assert_eq!(response.bytes().await.expect("a body"), body);
        // Chunked bodies are refused because truncation cannot be detected (`call::body_length`).
        let pieces: Vec<Result<Vec<u8>, std::io::Error>> =
            body.chunks(10_000).map(|piece| Ok(piece.to_vec())).collect();
        let stream = reqwest::Body::wrap_stream(futures::stream::iter(pieces));
        let request = env.post(0, "/s/open/x?tag=chunked").body(stream).send();
        // The refusal may be sent before the whole body has been sent, which fails the request.
        if let Ok(response) = request.await {
            assert_eq!(response_outcome(&response), (400, "bad_request".into(), "not_run".into()));
        }
    }
    assert_eq!(env.run_count("chunked").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_refusals() {
    let env = Env::start_small().await;
    let cases = [
        ("/s/none/x", vec![], (404, "not_found")),
        ("/nowhere", vec![], (404, "not_found")),
        ("/s/loans/x", vec![], (401, "key_missing")),
        ("/s/loans/x", vec![("jacinthhook-key", "k")], (401, "key_unknown")),
        ("/s/open/x", vec![("jacinthhook-key", "k.s")], (401, "key_unknown")),
        ("/s/open/x", vec![("jacinthhook-class", "soon")], (400, "bad_request")),
        ("/s/open/x", vec![("jacinthhook-deadline-ms", "0")], (400, "bad_request")),
        ("/s/open/x", vec![("jacinthhook-deadline-ms", "+5")], (400, "bad_request")),
        (
            "/s/open/x",
            vec![("jacinthhook-deadline-ms", "99999999999999999999")],
            (400, "bad_request"),
        ),
        ("/s/open/x", vec![("jacinthhook-idempotent", "yes")], (400, "bad_request")),
        ("/s/open/x", vec![("jacinthhook-request-id", "")], (400, "bad_request")),
        ("/s/open/tasks/x", vec![], (404, "not_found")),
        ("/s/open/status", vec![], (404, "not_found")),
    ];
    for (path, headers, (status, kind)) in cases {
        let mut request = env.post(0, &format!("{path}?tag=refused"));
        for (name, value) in &headers {
            request = request.header(*name, *value);
        }
        let response = request.send().await.expect("a response");
        let expected = (status, kind.to_string(), "not_run".to_string());
        assert_eq!(response_outcome(&response), expected, "{path} {headers:?}");
        let body: Value = response.json().await.expect("a JSON body");
        assert_eq!(body["kind"], kind);
        assert_eq!(body["ran"], "not_run");
    }
    assert_eq!(env.run_count("refused").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_ids_run_once() {
    let env = Env::start().await;
    let issued = env.post(0, "/v1/ids?n=2").send().await.expect("a response");
    let issued: Value = issued.json().await.expect("a JSON body");
    let first = issued["ids"][0].as_str().expect("an id");
    let send = async |at: usize, id: &str| {
        let request = env.post(at, "/s/open/x?tag=once").header("jacinthhook-request-id", id);
        response_outcome(&request.send().await.expect("a response"))
    };
    // The first use of an issued id is at another entry instance than the one that issued it.
    assert_eq!(send(1, first).await.0, 200);
    for at in [0, 1] {
        assert_eq!(send(at, first).await.1, "duplicate_request");
    }
    // A caller-chosen id is sent to both entry instances at once.
    let both = tokio::join!(send(0, "own-1"), send(1, "own-1"));
    let mut found = [both.0.0, both.1.0];
    found.sort_unstable();
    assert_eq!(found, [200, 409]);
    assert_eq!(send(0, "own-1").await.1, "duplicate_request");
    assert_eq!(env.run_count("once").await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_deadline() {
    let env = Env::start_small().await;
    for (idempotent, ran) in [("true", "unknown"), ("false", "unknown")] {
        let request = env.post(0, "/s/open/x?delay_ms=5000&tag=late");
        let request = request.header("jacinthhook-idempotent", idempotent);
        let response = request.header("jacinthhook-deadline-ms", "300").send().await;
        let response = response.expect("a response");
        // If the upstream detects the deadline first, its response is forwarded to the caller.
        if response.headers().get("jacinthhook-kind").is_some() {
            assert_eq!(response_outcome(&response), (504, "deadline_passed".into(), ran.into()));
        } else {
            assert_eq!(response.status(), 504);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn job_repeat_list_and_cancel() {
    let env = Env::start_small().await;
    let submit = async |id: &str, payload: &str| -> (u16, Value) {
        let request = env.post(0, "/v1/jobs?service=open").header("jacinthhook-request-id", id);
        let response = request.body(payload.to_string()).send().await.expect("a response");
        (response.status().as_u16(), response.json().await.expect("a JSON body"))
    };
    let (status, job) = submit("plan-1", r#"{"run_ms":60000,"tag":"long"}"#).await;
    assert_eq!(status, 201);
    // A repeated submit returns the same job.
    let (status, repeated) = submit("plan-1", r#"{"run_ms":60000,"tag":"long"}"#).await;
    assert_eq!((status, &repeated["job"]), (200, &job["job"]));
    let path = format!("/v1/jobs/{}", job["job"].as_str().expect("an id"));
    wait_until("job runs", SHORT_TIMEOUT, async || env.json(0, &path).await["state"] == "running")
        .await;
    assert_eq!(
        env.get(0, &format!("{path}/result")).send().await.expect("a response").status(),
        202
    );
    let list = env.json(0, "/v1/jobs").await;
    assert_eq!(list["jobs"][0]["job"], job["job"]);

    // The job is not visible to another team.
    let key = env.grant("counters");
    let other = env.get(0, &path).header("jacinthhook-key", &key).send().await;
    assert_eq!(response_outcome(&other.expect("a response")).1, "not_found");

    let cancel = env.request(0, Method::DELETE, &path).send().await.expect("a response");
    assert!(cancel.status().is_success());
    wait_until("job cancelled", SHORT_TIMEOUT, async || {
        env.json(0, &path).await["state"] == "cancelled"
    })
    .await;
    let result = env.get(0, &format!("{path}/result")).send().await.expect("a response");
    assert_eq!(response_outcome(&result), (410, "cancelled".into(), "unknown".into()));
    assert_eq!(env.run_count("long").await, 1);

    let too_large = env.post(0, "/v1/jobs?service=open").body(vec![0; 65_537]).send().await;
    assert_eq!(
        response_outcome(&too_large.expect("a response")),
        (413, "too_large".into(), "not_run".into())
    );
}
