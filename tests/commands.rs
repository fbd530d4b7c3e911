//! Tests the operators' commands against running entry instances. Guards against commands that report
//! success without effect, and against output and exit codes that only occur with the scripted instance of
//! the `operator_commands` tests.

mod env;

use env::{DECLARATIONS, Env, SHORT_TIMEOUT, response_outcome, wait_until};
use jacinthhook::exit::Exit;
use serde_json::{Value, json};

/// Runs a command and returns its exit code and output.
fn run(env: &Env, at: usize, args: &[&str]) -> (i32, String) {
    let output = env.cli(at, args);
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().expect("a code"), String::from_utf8_lossy(&text).into_owned())
}

fn done(env: &Env, args: &[&str]) -> String {
    let (code, text) = run(env, 0, args);
    assert_eq!(code, Exit::Done as i32, "{args:?}: {text}");
    text
}

fn status(env: &Env, at: usize) -> Value {
    serde_json::from_str(&env.cli_ok(at, &["status", "--json"])).expect("JSON")
}

async fn send_request(env: &Env, at: usize, key: &str) -> (u16, String, String) {
    let request = env.post(at, "/s/loans/x?tag=t").header("jacinthhook-key", key);
    response_outcome(&request.send().await.expect("a response"))
}

#[tokio::test(flavor = "multi_thread")]
async fn key_grant_and_withdraw() {
    let env = Env::start().await;
    let key = env.grant("counters");
    let id = key.split_once('.').expect("an id").0;
    assert!(done(&env, &["key", "list"]).contains(&format!("{id}  counters  granted")));
    assert_eq!(send_request(&env, 1, &key).await.0, 200);
    let text = done(&env, &["key", "withdraw", id]);
    assert_eq!(text.matches("in force at offset").count(), 2, "{text}");
    for at in 0..2 {
        assert_eq!(send_request(&env, at, &key).await.1, "key_unknown");
    }
    let answers = "jacinthhook_answers_total";
    let ok = format!("{answers}{{class=\"urgent\",kind=\"ok\",team=\"counters\"}} 1");
    wait_for_metric(&env, 1, &ok).await;
    let refused = format!("{answers}{{class=\"-\",kind=\"key_unknown\",team=\"-\"}} 1");
    wait_for_metric(&env, 1, &refused).await;
    let started = "jacinthhook_start_wait_seconds_count{class=\"urgent\",team=\"counters\"} 1";
    wait_for_metric(&env, 1, started).await;
    assert!(done(&env, &["key", "list"]).contains("withdrawn"));
    let (code, text) = run(&env, 0, &["key", "grant", "nobody"]);
    assert_eq!(code, Exit::Refused as i32, "{text}");
}

/// Waits until the metrics of an entry instance have a line.
async fn wait_for_metric(env: &Env, at: usize, line: &str) {
    wait_until(line, SHORT_TIMEOUT, async || {
        let text = env.get(at, "/metrics").send().await.expect("a response").text().await;
        text.expect("text").lines().any(|found| found == line)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_out_and_back() {
    let env = Env::start().await;
    done(&env, &["zone", "out", "a"]);
    let since = status(&env, 1)["zones"][0]["out_since"].as_u64();
    assert!(since.is_some());
    assert!(done(&env, &["status"]).contains(&format!("out since offset {}", since.unwrap_or(0))));
    wait_for_metric(&env, 1, "jacinthhook_events_total{event=\"404\"} 1").await;
    wait_for_metric(&env, 1, "jacinthhook_upstreams_usable{pool=\"main\"} 1").await;
    let (code, text) = run(&env, 1, &["zone", "back", "b"]);
    assert_eq!(code, Exit::Refused as i32, "{text}");
    done(&env, &["zone", "back", "a"]);
    wait_for_metric(&env, 1, "jacinthhook_events_total{event=\"405\"} 1").await;
    wait_for_metric(&env, 1, "jacinthhook_upstreams_usable{pool=\"main\"} 2").await;
    assert_eq!(status(&env, 1)["zones"][0]["out_since"], Value::Null);
    // The command that a second one would undo is no longer in force.
    let undoes = since.unwrap_or(0).to_string();
    let (code, text) = run(&env, 0, &["zone", "back", "a", "--undoes", &undoes]);
    assert_eq!(code, Exit::Refused as i32, "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_out_and_back() {
    let env = Env::start().await;
    done(&env, &["instance", "out", "u-a"]);
    let instance = json!("u-a");
    assert_eq!(status(&env, 1)["instances"][0]["instance"], instance);
    done(&env, &["instance", "back", "u-a"]);
    wait_until("the instance accepts work", SHORT_TIMEOUT, async || {
        status(&env, 1)["instances"].as_array().is_some_and(Vec::is_empty)
    })
    .await;
}

/// Guards against a publish that does not show or apply a change, and against mistakes reported without a
/// suggestion.
#[tokio::test(flavor = "multi_thread")]
async fn publish_difference_and_mistakes() {
    let env = Env::start().await;
    let changed = DECLARATIONS.replace("limit = 40", "limit = 41");
    let file = env.file("changed.ini", &changed);
    let shown = done(&env, &["publish", &file, "--dry-run"]);
    assert!(shown.contains("limit = 40 -> 41"), "{shown}");
    let shown = done(&env, &["publish", &file]);
    assert_eq!(shown.matches("in force at offset").count(), 2, "{shown}");
    assert!(done(&env, &["publish", &file]).starts_with("no difference"));
    let broken = env.file("broken.ini", &changed.replace("pool = main", "pool = mian"));
    let (code, text) = run(&env, 1, &["publish", &broken]);
    assert_eq!(code, Exit::Mistakes as i32);
    assert_eq!(text.matches("did you mean main?").count(), 2, "{text}");
}

/// While the log is down, both instances hold restrictive commands and refuse all others.
#[tokio::test(flavor = "multi_thread")]
async fn commands_log_down() {
    let env = Env::start().await;
    let key = env.grant("counters");
    let id = key.split_once('.').expect("an id").0;
    env.set_faults(&env.platform, json!({ "down": true })).await;
    wait_until("the log is unreachable", SHORT_TIMEOUT, async || {
        status(&env, 0)["log_reachable"] == false && status(&env, 1)["log_reachable"] == false
    })
    .await;
    let (code, text) = run(&env, 0, &["key", "withdraw", id, "--wait-ms", "500"]);
    assert_eq!((code, text.matches("held").count()), (Exit::Partial as i32, 3), "{text}");
    for at in 0..2 {
        assert_eq!(send_request(&env, at, &key).await.1, "key_unknown");
    }
    // `PlatformLost` and `HoldTaken`.
    wait_for_metric(&env, 1, "jacinthhook_events_total{event=\"200\"} 1").await;
    wait_for_metric(&env, 1, "jacinthhook_events_total{event=\"408\"} 1").await;
    wait_for_metric(&env, 1, "jacinthhook_holds 1").await;
    let (code, text) = run(&env, 0, &["key", "grant", "counters"]);
    assert_eq!(code, Exit::Refused as i32, "{text}");
    assert!(text.contains("log"), "{text}");
    env.set_faults(&env.platform, json!({})).await;
    wait_until("the hold is in the log", SHORT_TIMEOUT, async || {
        run(&env, 0, &["key", "list"]).1.contains("counters  withdrawn\n")
    })
    .await;
    // `PlatformBack` and `HoldEnded`.
    wait_for_metric(&env, 1, "jacinthhook_events_total{event=\"201\"} 1").await;
    wait_for_metric(&env, 1, "jacinthhook_events_total{event=\"409\"} 1").await;
    wait_for_metric(&env, 1, "jacinthhook_holds 0").await;
}
