//! Crowds of clients that keep outside the limits call one process of the system (issue 48).
//!
//! The crowd and the bounds are fixed: 400 connections to a process whose machine has 64 MB and 600 descriptors, of
//! which 400 are for sockets. After each crowd, while it stays open, the process lives within both, and one ordinary
//! request is answered. One test runs at a time; run nothing else beside them.

mod crowd;
mod users_platform;

use crowd::{CROWD_SIZE, Crowd, Instance, LOWERED, SMALLEST, Sent, start_platform, wait_until};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Mutex;

/// Held by the test that runs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Legal size of a body, and how much of it is never sent.
const BODY_LEN: usize = 262_000;
const MISSING: usize = 100;
/// What bodies consist of. A reader that looks at their first bytes does not refuse them for it.
const FILLER: u8 = b'{';
/// Bytes of a head that never ends; far more than any limit.
const ENDLESS_LEN: usize = 400_000;

fn head(path: &str, fields: &str) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: host.example\r\nx-jacinthhook-credential: k1\r\n\
         content-type: application/json\r\n{fields}"
    );
    head.into_bytes()
}

fn job_path(n: usize) -> String {
    format!("/q/{n:016x}")
}

fn endless_head(n: usize) -> Sent {
    let mut bytes = head(&job_path(n), "");
    while bytes.len() < ENDLESS_LEN {
        bytes.extend(format!("x-filler: {}\r\n", "a".repeat(7_000)).bytes());
    }
    Sent::at_once(bytes)
}

/// A whole job whose head is four times as long as the limit.
fn long_head(n: usize) -> Sent {
    let (filler, length) = ("a".repeat(65_536), crowd::JOB.len());
    let fields = format!("x-filler: {filler}\r\ncontent-length: {length}\r\n\r\n{}", crowd::JOB);
    Sent::at_once(head(&job_path(n), &fields))
}

fn empty_lines(_: usize) -> Sent {
    Sent::at_once(b"\r\n".repeat(ENDLESS_LEN / 2))
}

fn whole_body(n: usize) -> Sent {
    let mut bytes = head(&job_path(n), &format!("content-length: {BODY_LEN}\r\n\r\n"));
    bytes.resize(bytes.len() + BODY_LEN - MISSING, FILLER);
    Sent::at_once(bytes)
}

fn body_in_pieces(n: usize) -> Sent {
    let Sent { bytes, .. } = whole_body(n);
    Sent::with_pieces(bytes, 8_192, Duration::from_millis(10))
}

fn large_chunk(n: usize) -> Sent {
    let mut bytes = head(&job_path(n), "transfer-encoding: chunked\r\n\r\n40000\r\n");
    bytes.resize(bytes.len() + 262_144 - MISSING, FILLER);
    Sent::at_once(bytes)
}

fn small_chunks(n: usize) -> Sent {
    let mut bytes = head(&job_path(n), "transfer-encoding: chunked\r\n\r\n");
    bytes.extend(b"8\r\n{{{{{{{{\r\n".repeat((BODY_LEN - MISSING) / 8));
    Sent::at_once(bytes)
}

/// Requests one after another, whose answers nobody reads.
fn unread_answers(_: usize) -> Sent {
    let request = "GET /q/ HTTP/1.1\r\nhost: host.example\r\nx-jacinthhook-credential: k1\r\n\r\n";
    Sent::at_once(request.repeat(500).into_bytes())
}

/// One byte a second, for five seconds: half of the clients in a head, half just before the end of a body.
fn one_byte_a_second(n: usize) -> Sent {
    let mut bytes = match n % 2 {
        0 => head(&job_path(n), "x-filler: "),
        _ => whole_body(n).bytes,
    };
    let first = bytes.len();
    bytes.extend(b"     ");
    Sent::at_once(bytes).with_single_bytes_after(first)
}

fn mix(n: usize) -> Sent {
    let kinds = [
        endless_head,
        long_head,
        empty_lines,
        whole_body,
        body_in_pieces,
        large_chunk,
        small_chunks,
        unread_answers,
        one_byte_a_second,
    ];
    kinds[n % kinds.len()](n)
}

/// Lets a crowd call the listener of one process that `address` names, and checks what must hold.
async fn check_crowd(
    name: &str,
    address: impl Fn(&Instance) -> SocketAddr,
    sent: impl Fn(usize) -> Sent,
) -> Instance {
    let _running = ONE_AT_A_TIME.lock().await;
    let (_platform, store) = start_platform().await;
    let mut instance = Instance::start(name, store, LOWERED).await;
    let _crowd = Crowd::send(address(&instance), sent).await;
    instance.check_bounds();
    instance.wait_until_ready().await;
    instance.check_submission("00000000000f0000").await;
    instance.check_bounds();
    instance
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_endless_heads() {
    check_crowd("endless", |i| i.callers, endless_head).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_long_heads() {
    let instance = check_crowd("long", |i| i.callers, long_head).await;
    for n in 0..CROWD_SIZE {
        let id = format!("{n:016x}");
        assert_eq!(instance.job_state(&id).await, serde_json::Value::Null, "{id} was accepted");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_empty_lines() {
    check_crowd("empty", |i| i.callers, empty_lines).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_whole_bodies() {
    check_crowd("whole", |i| i.callers, whole_body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_bodies_in_pieces() {
    check_crowd("pieces", |i| i.callers, body_in_pieces).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_large_chunks() {
    check_crowd("chunk", |i| i.callers, large_chunk).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_small_chunks() {
    check_crowd("chunks", |i| i.callers, small_chunks).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_unread_answers() {
    check_crowd("unread", |i| i.callers, unread_answers).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_one_byte_a_second() {
    check_crowd("drip", |i| i.callers, one_byte_a_second).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_mix() {
    check_crowd("mix", |i| i.callers, mix).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn readiness_endless_heads() {
    check_crowd("ready", |i| i.readiness, endless_head).await;
}

/// A crowd at the owner's listener for other instances, which still answers another instance afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_mix() {
    let _running = ONE_AT_A_TIME.lock().await;
    let (_platform, store) = start_platform().await;
    let mut owner = Instance::start("peers-a", store, LOWERED).await;
    wait_until("the first instance is the owner", async || owner.is_owner()).await;
    let other = Instance::start("peers-b", store, LOWERED).await;
    owner.check_submission("00000000000f0001").await;
    let _crowd = Crowd::send(owner.peers, mix).await;
    owner.check_bounds();
    wait_until("the owner answers the other instance", async || {
        other.job_state("00000000000f0001").await == "complete"
    })
    .await;
    owner.check_bounds();
}

/// A crowd at the only instance, which keeps its term and runs a job afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owner_keeps_term_mix() {
    let _running = ONE_AT_A_TIME.lock().await;
    let (_platform, store) = start_platform().await;
    let mut owner = Instance::start("owner", store, LOWERED).await;
    wait_until("the instance is the owner", async || owner.is_owner()).await;
    let _crowd = Crowd::send(owner.callers, mix).await;
    owner.check_bounds();
    owner.wait_until_ready().await;
    owner.check_submission("00000000000f0002").await;
    wait_until("the job is complete", async || {
        owner.job_state("00000000000f0002").await == "complete"
    })
    .await;
    assert_eq!(owner.events("OwnerGone").len(), 0);
    owner.check_bounds();
}

/// Clients that are cut off in the middle of their bodies have submitted nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_cut_bodies_submit_nothing() {
    let _running = ONE_AT_A_TIME.lock().await;
    let (platform, store) = start_platform().await;
    let instance = Instance::start("nothing", store, LOWERED).await;
    let almost = |n| {
        let mut bytes = head(&job_path(n), &format!("content-length: {BODY_LEN}\r\n\r\n"));
        bytes.extend(crowd::JOB.bytes());
        bytes.resize(bytes.len() + BODY_LEN - crowd::JOB.len() - MISSING, b' ');
        Sent::at_once(bytes)
    };
    drop(Crowd::send(instance.callers, almost).await);
    instance.wait_until_ready().await;
    instance.check_submission("00000000000f0003").await;
    wait_until("the job is complete", async || {
        instance.job_state("00000000000f0003").await == "complete"
    })
    .await;
    let started = platform.start_counts();
    assert!(started.keys().all(|task| task.starts_with("00000000000f0003")), "{started:?}");
}

/// Guards against limits that callers inside them meet: 64 bodies of nearly full size at once, beside 200 connections
/// that wait between two requests, on the smallest machine of the deployments.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_inside_limits() {
    let _running = ONE_AT_A_TIME.lock().await;
    let (_platform, store) = start_platform().await;
    let mut instance = Instance::start("inside", store, SMALLEST).await;
    let client = reqwest::Client::new();
    let call = |n: usize, body: String| {
        let request = client.post(format!("http://{}{}", instance.callers, job_path(n)));
        let request = request.header("host", "host.example").header("x-filler", "a".repeat(15_000));
        let request = request.header("x-jacinthhook-deadline-ms", crowd::PATIENT_MS);
        request.header("x-jacinthhook-credential", "k1").body(body).send()
    };
    let small: Vec<_> = (0..200).map(|n| call(n, crowd::JOB.into())).collect();
    for answer in futures::future::join_all(small).await {
        assert_eq!(answer.expect("an answer").status(), 200);
    }
    let long = format!(r#"{{"spec":"{}","steps":[{{"count":1,"cpu":100}}]}}"#, "x".repeat(240_000));
    let large: Vec<_> = (200..264).map(|n| call(n, long.clone())).collect();
    for answer in futures::future::join_all(large).await {
        assert_eq!(answer.expect("an answer").status(), 200);
    }
    instance.check_bounds();
}

/// Each way to keep outside the limits gets its own answer, and ordinary forms of a request theirs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_answers() {
    let _running = ONE_AT_A_TIME.lock().await;
    let (_platform, store) = start_platform().await;
    let instance = Instance::start("answers", store, LOWERED).await;
    let with_fields = |fields: &str| head(&job_path(1), fields);
    let too_many_chunks = b"4000\r\n".iter().chain(&[b' '; 0x4000]).chain(b"\r\n");
    let too_many_chunks: Vec<u8> = too_many_chunks.copied().collect::<Vec<u8>>().repeat(17);
    let cases = [
        ("long head", 431, with_fields(&format!("x-filler: {}\r\n\r\n", "a".repeat(16_384)))),
        ("endless head", 408, with_fields("x-filler: a")),
        ("empty lines", 408, b"\r\n\r\n".to_vec()),
        ("long body", 413, with_fields("content-length: 262145\r\n\r\n")),
        (
            "long chunked body",
            413,
            [with_fields("transfer-encoding: chunked\r\n\r\n"), too_many_chunks].concat(),
        ),
        ("no key", 401, b"POST /q/0 HTTP/1.1\r\nhost: host.example\r\n\r\n".to_vec()),
        ("unknown host", 404, b"GET /q/ HTTP/1.1\r\nhost: other\r\n\r\n".to_vec()),
        ("no HTTP", 400, b"hello\r\n\r\n".to_vec()),
        ("unknown method", 400, b"BREW /q/ HTTP/1.1\r\nhost: host.example\r\n\r\n".to_vec()),
        (
            "method without a route",
            404,
            b"PATCH /q/ HTTP/1.1\r\nhost: host.example\r\n\r\n".to_vec(),
        ),
    ];
    for (case, status, sent) in cases {
        assert_eq!(crowd::answer_status(instance.callers, &sent).await, status, "{case}");
    }
    for request in
        ["GET /q/ HTTP/1.1\r\nhost: host.example:80", "HEAD /q/ HTTP/1.1\r\nhost: host.example"]
    {
        let request = format!("{request}\r\nx-jacinthhook-credential: k1\r\n\r\n");
        wait_until(&request, async || {
            crowd::answer_status(instance.callers, request.as_bytes()).await == 200
        })
        .await;
    }
}

/// With the part out of use, a head over the limit is read as before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_not_in_use() {
    let _running = ONE_AT_A_TIME.lock().await;
    let (_platform, store) = start_platform().await;
    let settings = "[caller_limits]\nenabled = off\n";
    let instance = Instance::start_with_settings("off", store, LOWERED, settings).await;
    assert_eq!(crowd::answer_status(instance.callers, &long_head(2).bytes).await, 200);
}
