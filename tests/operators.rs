//! Operators' commands on a running fleet. Guards against commands that are reported in force on an
//! entry instance where they are not, and against holds that end too early.

mod env;

use env::link::Link;
use env::{DECLARATIONS, Env, SHORT_TIMEOUT, response_outcome, wait_until};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Longest time until a change must be in force on every entry instance.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);

/// Sends a request to an entry instance and returns the id of the upstream that answered.
async fn answered_by(env: &Env, at: usize) -> String {
    let answer = env.get(at, "/s/open/x").send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    answer.headers()["standin-id"].to_str().expect("a name").to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_out_and_back() {
    let env = Env::start().await;
    let text = env.cli_ok(0, &["zone", "out", "b", "--wait-ms", "4000"]);
    assert!(text.contains("entry-a") && text.contains("entry-b"), "{text}");
    for at in [0, 1, 0, 1, 0, 1] {
        assert_eq!(answered_by(&env, at).await, "u-a");
    }
    env.cli_ok(1, &["zone", "back", "b", "--wait-ms", "4000"]);
    wait_until("zone b works again", SHORT_TIMEOUT, async || answered_by(&env, 1).await == "u-b")
        .await;

    env.cli_ok(0, &["instance", "out", "u-a", "--wait-ms", "4000"]);
    for at in [0, 1, 0, 1] {
        assert_eq!(answered_by(&env, at).await, "u-b");
    }
    env.cli_ok(0, &["instance", "back", "u-a", "--wait-ms", "4000"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_withdraw_in_force_everywhere() {
    let env = Env::start().await;
    let key = env.grant("counters");
    let send = async |at: usize| {
        let request = env.get(at, "/s/loans/x").header("jacinthhook-key", &key);
        response_outcome(&request.send().await.expect("an answer"))
    };
    assert_eq!((send(0).await.0, send(1).await.0), (200, 200));
    let started = Instant::now();
    let id = key.split('.').next().expect("an id");
    env.cli_ok(0, &["key", "withdraw", id, "--wait-ms", "4000"]);
    for at in 0..2 {
        assert_eq!(send(at).await, (401, "key_unknown".into(), "not_run".into()));
    }
    assert!(started.elapsed() < PROPAGATION_LIMIT, "{:?}", started.elapsed());
    let text = env.cli_ok(0, &["key", "list"]);
    assert!(text.contains("withdrawn"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn publish_check_conflict_and_dry_run() {
    let env = Env::start_small().await;
    let before = env.json(0, "/v1/admin/sections").await;
    let publish = async |op: &str, changes: Value| -> (u16, Value) {
        let body = json!({ "op": op, "changes": changes });
        let answer = env.post(0, "/v1/admin/publish").json(&body).send().await;
        let answer = answer.expect("an answer");
        (answer.status().as_u16(), answer.json().await.expect("JSON"))
    };
    let section = "service open";
    let base = before["sections"][section]["version"].clone();
    let wrong = json!({ "profile": "none", "pool": "none", "open_to": "planners" });
    let (status, body) =
        publish("op-1", json!([{ "section": section, "base": base, "body": wrong }])).await;
    assert_eq!((status, body["kind"].as_str()), (422, Some("check_failed")));
    assert!(body["mistakes"].as_array().is_some_and(|m| m.len() == 2), "{body}");

    let good = json!({ "profile": "guarded", "pool": "main", "open_to": "counters" });
    let (status, body) =
        publish("op-2", json!([{ "section": section, "base": 999_999, "body": good }])).await;
    assert_eq!((status, body["kind"].as_str()), (409, Some("conflict")));

    let file = format!("{}/dry-{}.ini", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&file, DECLARATIONS.replace("limit = 40", "limit = 50")).expect("a file");
    let text = env.cli_ok(0, &["publish", &file, "--dry-run"]);
    std::fs::remove_file(&file).expect("the file");
    assert!(text.contains("50"), "{text}");
    assert_eq!(env.json(0, "/v1/admin/sections").await["sections"], before["sections"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_during_platform_outage() {
    let env = Env::start().await;
    env.wait_for_units("counters", 20).await;
    let key = env.grant("counters");
    env.set_faults(&env.platform, json!({ "down": true })).await;
    wait_until("outage noticed", SHORT_TIMEOUT, async || {
        env.json(0, "/v1/admin/status").await["log_reachable"] == false
    })
    .await;
    let id = key.split('.').next().expect("an id");
    let body = json!({ "op": "withdraw-1", "key": id });
    let held = env.post(0, "/v1/admin/keys/withdraw").json(&body).send().await;
    let held: Value = held.expect("an answer").json().await.expect("JSON");
    assert_eq!(held["result"], "held", "{held}");
    for entry in held["entries"].as_array().expect("entries") {
        assert_eq!(entry["standing"], "held", "{held}");
    }
    for at in 0..2 {
        let request = env.get(at, "/s/loans/x").header("jacinthhook-key", &key);
        assert_eq!(response_outcome(&request.send().await.expect("an answer")).1, "key_unknown");
    }
    let grant = json!({ "op": "grant-1", "key": "k2", "team": "counters", "hash": "00" });
    let grant = env.post(0, "/v1/admin/keys/grant").json(&grant).send().await;
    assert_eq!(response_outcome(&grant.expect("an answer")).1, "log_unavailable");

    env.set_faults(&env.platform, json!({})).await;
    wait_until("hold is in the log", SHORT_TIMEOUT, async || {
        let outcome = env.json(1, "/v1/admin/ops/withdraw-1").await;
        outcome["result"] == "applied"
            && outcome["entries"]
                .as_array()
                .is_some_and(|entries| entries.iter().all(|entry| entry["standing"] == "in_force"))
    })
    .await;
    let request = env.get(1, "/s/loans/x").header("jacinthhook-key", &key);
    assert_eq!(response_outcome(&request.send().await.expect("an answer")).1, "key_unknown");
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_off_entry_receives_changes_from_peers() {
    let mut env = Env::platform_only();
    let link = Link::start(env.platform.addr).await;
    env.add_upstream("u-a", "a");
    env.add_upstream("u-b", "b");
    env.add_entry("entry-a", "a", "").await;
    env.add_entry_at("entry-b", "b", link.addr, "").await;
    env.publish(DECLARATIONS).await;
    env.wait_for_upstreams(2).await;
    let key = env.grant("counters");
    link.set_connected(false);
    wait_until("outage noticed", SHORT_TIMEOUT, async || {
        env.json(1, "/v1/admin/status").await["log_reachable"] == false
    })
    .await;
    let started = Instant::now();
    let id = key.split('.').next().expect("an id");
    env.cli_ok(0, &["key", "withdraw", id, "--wait-ms", "4000"]);
    let request = env.get(1, "/s/loans/x").header("jacinthhook-key", &key);
    assert_eq!(response_outcome(&request.send().await.expect("an answer")).1, "key_unknown");
    assert!(started.elapsed() < PROPAGATION_LIMIT, "{:?}", started.elapsed());
    // The cut-off instance receives the publish by relay from its peer.
    env.publish(&DECLARATIONS.replace("open_to = planners", "open_to = counters")).await;
    wait_until("publish in force at the cut-off instance", PROPAGATION_LIMIT, async || {
        let sections = env.json(1, "/v1/admin/sections").await;
        sections["sections"]["service open"]["values"]["open_to"] == "counters"
    })
    .await;
}
