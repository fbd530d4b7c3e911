//! Operators' commands against a scripted entry instance. Guards against exit codes and output that
//! claim more than the entry instance reported, and against a repeated send that counts as a second
//! command.

use jacinthhook::cli;
use jacinthhook::exit::Exit;
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// Reaction of the scripted instance to one call.
enum Step {
    Answer(u16, Value),
    /// Reads the call and closes the connection without an answer.
    CloseUnanswered,
}

/// Request line and body of each call.
type Calls = Arc<Mutex<Vec<(String, Value)>>>;

/// Serves the steps in order on a free port, each on its own connection.
fn scripted(steps: Vec<Step>) -> (SocketAddr, Calls) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let calls = Calls::default();
    let seen = calls.clone();
    std::thread::spawn(move || {
        for step in steps {
            let (mut stream, _) = listener.accept().expect("a connection");
            let call = read_call(&stream);
            seen.lock().push(call);
            if let Step::Answer(status, body) = step {
                let body = body.to_string();
                let head = format!("HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: ");
                write!(stream, "{head}{}\r\n\r\n{body}", body.len()).expect("an open connection");
            }
        }
    });
    (addr, calls)
}

fn read_call(stream: &TcpStream) -> (String, Value) {
    let mut reader = BufReader::new(stream);
    let mut lines = Vec::new();
    while lines.last().is_none_or(|line: &String| !line.trim().is_empty()) {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a head");
        lines.push(line);
    }
    let length = lines.iter().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).expect("a body");
    let request_line = lines[0].trim().trim_end_matches(" HTTP/1.1").to_string();
    (request_line, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

/// Runs a command with `--at` appended; returns its exit status and its output.
fn run(at: SocketAddr, args: &str) -> (Exit, String) {
    let mut command_line: Vec<&str> =
        std::iter::once("jacinthhook").chain(args.split(' ')).collect();
    let at = at.to_string();
    command_line.extend(["--at", &at]);
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = cli::run(&command_line, &mut out, &mut err);
    out.extend(err);
    (exit, String::from_utf8(out).expect("text"))
}

/// Builds an outcome from the fields of a result, with one entry instance per standing.
fn outcome(mut result: Value, standings: &[Value]) -> Value {
    let mut entries = standings.to_vec();
    for (i, entry) in entries.iter_mut().enumerate() {
        entry["entry"] = format!("entry-{i}").into();
        entry["zone"] = "a".into();
    }
    result["op"] = "op-1".into();
    result["entries"] = entries.into();
    result
}

fn applied() -> Value {
    json!({ "result": "applied", "offset": 7 })
}

fn in_force() -> Value {
    json!({ "standing": "in_force", "offset": 7 })
}

fn not_heard() -> Value {
    json!({ "standing": "not_heard", "ago_ms": 3200 })
}

fn refusal(kind: &str, ran: &str) -> Value {
    json!({ "kind": kind, "ran": ran, "retry_after_ms": 1000, "message": "why" })
}

#[test]
fn zone_out_exit_codes() {
    let held = json!({ "standing": "held" });
    let cases = [
        (outcome(applied(), &[in_force(), in_force()]), Exit::Done, "applied at offset 7"),
        (outcome(applied(), &[in_force(), not_heard()]), Exit::Partial, "last heard 3.2 s ago"),
        (outcome(json!({ "result": "held" }), &[held, not_heard()]), Exit::Partial, "held"),
        (outcome(json!({ "result": "pending" }), &[]), Exit::FateUnknown, "fate is not known"),
        (
            outcome(json!({ "result": "rejected", "offset": 8, "reason": "no such zone" }), &[]),
            Exit::Refused,
            "rejected at offset 8: no such zone",
        ),
    ];
    for (answer, exit, text) in cases {
        let (at, _) = scripted(vec![Step::Answer(200, answer)]);
        let (found, shown) = run(at, "zone out south-a --wait-ms 0");
        assert_eq!(found, exit, "{shown}");
        assert!(shown.contains(text), "{shown}");
    }
}

#[test]
fn zone_out_waits_until_in_force_everywhere() {
    let steps = [outcome(applied(), &[not_heard()]), outcome(applied(), &[in_force()])];
    let (at, calls) = scripted(steps.map(|answer| Step::Answer(200, answer)).into());
    let (exit, shown) = run(at, "zone out south-a --op op-1");
    assert_eq!(exit, Exit::Done, "{shown}");
    let follow = calls.lock()[1].0.clone();
    assert!(follow.starts_with("GET /v1/admin/ops/op-1?wait_ms="), "{follow}");
}

#[test]
fn zone_out_lost_answers_repeat_the_same_op() {
    let steps = vec![
        Step::CloseUnanswered,
        Step::Answer(504, refusal("fate_unknown", "unknown")),
        Step::Answer(200, outcome(applied(), &[in_force()])),
    ];
    let (at, calls) = scripted(steps);
    let (exit, shown) = run(at, "zone out south-a");
    assert_eq!(exit, Exit::Done, "{shown}");
    let calls = calls.lock();
    assert_eq!(calls.len(), 3);
    assert!(calls.iter().all(|call| *call == calls[0]), "{calls:?}");
}

/// A refusal after a lost answer does not show whether the first send took effect.
#[test]
fn zone_out_refused_after_lost_answer() {
    let no_log = || Step::Answer(503, refusal("log_unavailable", "not_run"));
    let (at, _) = scripted(vec![Step::CloseUnanswered, no_log(), no_log()]);
    let (exit, shown) = run(at, "zone out south-a --wait-ms 0");
    assert_eq!(exit, Exit::FateUnknown, "{shown}");
    let (at, _) = scripted(vec![no_log()]);
    assert_eq!(run(at, "zone out south-a --wait-ms 0").0, Exit::Refused);
}

#[test]
fn zone_out_wrong_answers() {
    let (at, _) = scripted(vec![
        Step::Answer(200, json!([])),
        Step::Answer(404, json!("no")),
        Step::Answer(200, json!({})),
    ]);
    assert_eq!(run(at, "zone out south-a --wait-ms 0").0, Exit::FateUnknown);
    let unused_addr = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_eq!(run(unused_addr, "zone out south-a").0, Exit::Unreachable);
    assert_eq!(run(unused_addr, "zone out South").0, Exit::Usage);
    assert_eq!(run(unused_addr, "zone outt south-a").0, Exit::Usage);
    assert_eq!(run(unused_addr, "zone out south-a --op ../keys").0, Exit::Usage);
}

fn status() -> Value {
    json!({
        "entry": "entry-0", "zone": "a", "ready": true, "stopping": false, "log_reachable": false,
        "next": 40, "view_age_ms": 2500, "digest": 10, "published_at": 30,
        "entries": [
            { "entry": "entry-0", "zone": "a", "http_addr": "127.0.0.1:1", "seen": 40,
              "heard_ms_ago": 0, "departing": false, "expired": false },
            { "entry": "entry-1", "zone": "b", "http_addr": "127.0.0.1:2", "seen": 30,
              "heard_ms_ago": 9000, "departing": false, "expired": true },
        ],
        "zones": [
            { "zone": "a", "out_since": null, "held": false, "instances": 3 },
            { "zone": "b", "out_since": 21, "held": false, "instances": 3 },
            { "zone": "c", "out_since": null, "held": true, "instances": 3 },
        ],
        "pools": [], "teams": [], "instances": [], "holds": [], "jobs": { "pending": 2 },
    })
}

#[test]
fn zone_back_sends_offset_to_undo() {
    let back = Step::Answer(200, outcome(applied(), &[in_force()]));
    let (at, calls) = scripted(vec![Step::Answer(200, status()), back]);
    assert_eq!(run(at, "zone back b").0, Exit::Done);
    assert_eq!(calls.lock()[1].1["undoes"], 21);
    for zone in ["a", "c", "d"] {
        let (at, calls) = scripted(vec![Step::Answer(200, status())]);
        assert_eq!(run(at, &format!("zone back {zone}")).0, Exit::Refused);
        assert_eq!(calls.lock().len(), 1);
    }
}

#[test]
fn status_shows_view_age_and_entries_behind() {
    let (at, _) = scripted(vec![Step::Answer(200, status())]);
    let (exit, shown) = run(at, "status");
    assert_eq!(exit, Exit::Done);
    for text in ["view 2.5 s old", "the log does not answer", "out since offset 21", "2 pending"] {
        assert!(shown.contains(text), "{text} is missing in {shown}");
    }
    let behind: Vec<&str> =
        shown.lines().filter(|line| line.contains("not yet in force")).collect();
    assert!(behind.len() == 1 && behind[0].contains("entry-1"), "{shown}");
    let (at, _) = scripted(vec![Step::Answer(200, status())]);
    let json: Value = serde_json::from_str(&run(at, "status --json").1).expect("JSON");
    assert_eq!(json, status());
}

#[test]
fn key_grant_shows_the_key_and_sends_its_hash() {
    let granted = Step::Answer(200, outcome(applied(), &[in_force()]));
    let (at, calls) = scripted(vec![granted]);
    let (exit, shown) = run(at, "key grant huts");
    assert_eq!(exit, Exit::Done, "{shown}");
    let key = shown.lines().find_map(|line| line.strip_prefix("key: ")).expect("a key");
    let (id, secret) = key.split_once('.').expect("an id and a secret");
    let hash = hex::encode(<sha2::Sha256 as sha2::Digest>::digest(secret.as_bytes()));
    let sent = calls.lock()[0].1.clone();
    assert_eq!((&sent["key"], &sent["hash"]), (&json!(id), &json!(hash)));
    assert!(!sent.to_string().contains(secret));
}

#[test]
fn key_withdraw_sends_no_secret() {
    let withdrawn = Step::Answer(200, outcome(applied(), &[in_force()]));
    let (at, calls) = scripted(vec![withdrawn]);
    assert_eq!(run(at, "key withdraw k1.0123").0, Exit::Done);
    assert_eq!(calls.lock()[0].1["key"], "k1");
}

/// Temporary declarations file, removed on drop.
struct TempFile(std::path::PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> TempFile {
        let name = format!("jacinthhook-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("a writable directory");
        TempFile(path)
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn declarations() -> Step {
    let team = |limit: &str| json!({ "version": 5, "values": { "limit": limit } });
    let sections = json!({ "team huts": team("4"), "team old": team("9"), "team same": team("2") });
    Step::Answer(200, json!({ "next": 12, "view_age_ms": 3, "sections": sections }))
}

const FILE: &str =
    "[team huts]\nlimit = 8\nshare = 2\n[team same]\nlimit = 2\n[team new]\nlimit = 1\n";

#[test]
fn publish_sends_only_the_difference() {
    let file = TempFile::new("difference.ini", FILE);
    let (at, calls) =
        scripted(vec![declarations(), Step::Answer(200, outcome(applied(), &[in_force()]))]);
    let (exit, shown) = run(at, &format!("publish {}", file.0.display()));
    assert_eq!(exit, Exit::Done, "{shown}");
    let expected = json!([
        { "section": "team huts", "base": 5, "body": { "limit": "8", "share": "2" } },
        { "section": "team new", "base": null, "body": { "limit": "1" } },
    ]);
    assert_eq!(calls.lock()[1].1["changes"], expected);
}

#[test]
fn publish_dry_run_shows_and_sends_nothing() {
    let file = TempFile::new("dry.ini", FILE);
    let (at, calls) = scripted(vec![declarations()]);
    let args = format!("publish {} --dry-run --remove-missing", file.0.display());
    let (exit, shown) = run(at, &args);
    assert_eq!(exit, Exit::Done, "{shown}");
    for line in
        ["~ [team huts]", "~   limit = 4 -> 8", "+   share = 2", "+ [team new]", "- [team old]"]
    {
        assert!(shown.lines().any(|shown| shown == line), "{line} is missing in {shown}");
    }
    assert!(!shown.contains("same"), "{shown}");
    assert_eq!(calls.lock().len(), 1);
}

#[test]
fn publish_mistakes_have_lines_and_send_nothing() {
    let file = TempFile::new("mistakes.ini", "[team huts]\nlimit = 0\n[service x]\npool = p\n");
    let (at, calls) = scripted(vec![declarations()]);
    let (exit, shown) = run(at, &format!("publish {}", file.0.display()));
    assert_eq!(exit, Exit::Mistakes);
    for place in
        [":2: [team huts] limit = 0:", ":3: [service x] profile", ":4: [service x] pool = p:"]
    {
        assert!(shown.contains(place), "{place} is missing in {shown}");
    }
    assert_eq!(calls.lock().len(), 1);
}

/// Guards against exit codes that differ from the table in the documentation.
#[test]
fn exit_codes_match_the_table() {
    let page = include_str!("../docs/cli.md");
    let codes =
        page.lines().filter_map(|line| line.strip_prefix("| ")?.split(' ').next()?.parse().ok());
    let codes: Vec<u8> = codes.collect();
    assert_eq!(codes, Exit::ALL.map(|exit| exit as u8));
}

#[test]
fn check_exit_codes() {
    let check = |file: &str| {
        let mut text = Vec::new();
        cli::run(&["jacinthhook", "check", file], &mut Vec::new(), &mut text)
    };
    let good = TempFile::new("good.ini", "[team huts]\nlimit = 1\n");
    let bad = TempFile::new("bad.ini", "[team huts]\nlimit = x\n");
    assert_eq!(check(&good.0.to_string_lossy()), Exit::Done);
    assert_eq!(check(&bad.0.to_string_lossy()), Exit::Mistakes);
    assert_eq!(check("/nonexistent/file.ini"), Exit::Local);
}
