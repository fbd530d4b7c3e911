//! Malformed and hostile input on raw sockets. Guards against input that reaches an upstream, uses
//! unbounded memory, or receives no clear response.

mod env;

use env::{DECLARATIONS, Env, send_raw, split_response};
use std::time::{Duration, Instant};

/// Starts an entry instance that accepts bodies of at most 100,000 bytes.
async fn small_limits() -> Env {
    let mut env = Env::platform_only();
    env.add_upstream("u-a", "a");
    env.add_entry("entry-a", "a", "[limits]\nbody_bytes = 100000\n").await;
    env.publish(DECLARATIONS).await;
    env.wait_for_upstreams(1).await;
    env
}

/// Sends raw bytes and returns the status and body of the first response, after which the
/// connection must be closed.
async fn send(env: &Env, bytes: &[u8]) -> (String, String) {
    let response = send_raw(env.entries[0].addr, bytes).await;
    let (head, body) = split_response(&response);
    let status = head.split(' ').nth(1).expect("a status").to_string();
    (status, String::from_utf8_lossy(&body).into_owned())
}

fn request(line: &str, headers: &str, body: &str) -> Vec<u8> {
    let head = format!("{line} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{headers}\r\n");
    [head.as_bytes(), body.as_bytes()].concat()
}

#[tokio::test(flavor = "multi_thread")]
async fn request_malformed_reaches_no_upstream() {
    let env = small_limits().await;
    let target = "POST /s/open/x?tag=bad";
    let header = |len: usize| format!("x-filler: {}\r\n", "a".repeat(len));
    let many: String = (0..200).map(|i| format!("x-{i}: 1\r\n")).collect();
    let cases: Vec<(&str, Vec<u8>, &[&str])> = vec![
        ("not HTTP", b"\x16\x03\x01\x02\x00\x01\r\n\r\n".to_vec(), &["400"]),
        ("unknown method", request("BREW /s/open/x?tag=bad", "", ""), &["400", "404"]),
        (
            "dot segments",
            request("POST /s/open/a/%2e%2E/b?tag=bad", "content-length: 0\r\n", ""),
            &["400"],
        ),
        ("length is not a number", request(target, "content-length: abc\r\n", "x"), &["400"]),
        ("negative length", request(target, "content-length: -1\r\n", "x"), &["400"]),
        ("length with a sign", request(target, "content-length: +1\r\n", "x"), &["400"]),
        (
            "two lengths",
            request(target, "content-length: 1\r\ncontent-length: 2\r\n", "xx"),
            &["400"],
        ),
        (
            "unknown transfer coding",
            request(target, "transfer-encoding: gzip\r\n", "x"),
            &["400", "501"],
        ),
        (
            "broken chunk",
            request(target, "transfer-encoding: chunked\r\n", "zz\r\nxx\r\n0\r\n\r\n"),
            &["400"],
        ),
        ("head over the limit", request(target, &header(20_000), ""), &["413", "431"]),
        ("huge head", request(target, &header(900_000), ""), &["413", "431"]),
        ("many headers", request(target, &many, ""), &["400", "413", "431"]),
        // `rocket` calls no handler before it has received 512 bytes of a body.
        ("long body", request(target, "content-length: 100001\r\n", &"a".repeat(600)), &["413"]),
        ("long body that is not sent", request(target, "content-length: 100001\r\n", ""), &["408"]),
        (
            "two keys",
            request(target, "jacinthhook-key: a.b\r\njacinthhook-key: a.c\r\n", ""),
            &["400"],
        ),
    ];
    for (case, bytes, allowed) in cases {
        let (status, body) = send(&env, &bytes).await;
        assert!(allowed.contains(&status.as_str()), "{case}: {status} {body}");
    }
    assert_eq!(env.run_count("bad").await, 0);
    // The entry instance still serves requests.
    assert_eq!(env.get(0, "/s/open/x").send().await.expect("a response").status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn body_truncated_reaches_no_upstream() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let env = small_limits().await;
    for headers in ["content-length: 1000\r\n", "transfer-encoding: chunked\r\n"] {
        let bytes = request("POST /s/open/x?tag=cut", headers, "5\r\nhello\r\n");
        let mut stream =
            tokio::net::TcpStream::connect(env.entries[0].addr).await.expect("a connection");
        stream.write_all(&bytes).await.expect("a successful write");
        drop(stream);
    }
    // A body that stalls after its first 512 bytes until the deadline has passed.
    let headers = "content-length: 1000\r\njacinthhook-deadline-ms: 500\r\n";
    let started = Instant::now();
    let body_part = "a".repeat(700);
    let bytes = request("POST /s/open/x?tag=cut", headers, &body_part);
    let mut stream =
        tokio::net::TcpStream::connect(env.entries[0].addr).await.expect("a connection");
    stream.write_all(&bytes).await.expect("a successful write");
    let mut response = vec![0; 12];
    stream.read_exact(&mut response).await.expect("a response");
    assert_eq!(response, b"HTTP/1.1 400");
    assert!(started.elapsed() < Duration::from_secs(10));
    assert_eq!(env.run_count("cut").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn body_in_chunks_reaches_no_upstream() {
    let env = small_limits().await;
    // A complete body, one over the limit and one with broken framing: `rocket` does not
    // distinguish them without a declared length, so all are refused.
    let over = format!("{:x}\r\n{}\r\n0\r\n\r\n", 150_000, "a".repeat(150_000));
    for body in ["5\r\nhello\r\n0\r\n\r\n", &over, "5\r\nhello\r\nzz\r\n"] {
        let bytes = request("PUT /s/open/x?tag=chunks", "transfer-encoding: chunked\r\n", body);
        let (status, body) = send(&env, &bytes).await;
        assert_eq!(status, "400", "{body}");
        assert!(body.contains(r#""ran":"not_run""#), "{body}");
    }
    assert_eq!(env.run_count("chunks").await, 0);
}

/// A connection without a complete request is closed after a 408 response.
#[tokio::test(flavor = "multi_thread")]
async fn slow_head_and_body_time_out() {
    let env = small_limits().await;
    let addr = env.entries[0].addr;
    let head = request("POST /s/open/x?tag=slow", "content-length: 100\r\n", "slow");
    let (head, start, silent) = tokio::join!(
        send_raw(addr, &head),
        send_raw(addr, b"GET /s/open/x HTTP/1.1\r\nhos"),
        send_raw(addr, b"")
    );
    for response in [head, start, silent] {
        let (head, _) = split_response(&response);
        assert!(head.starts_with("http/1.1 408"), "{head}");
    }
    assert_eq!(env.run_count("slow").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn admin_body_over_the_limit() {
    let env = small_limits().await;
    let body = "a".repeat(1_100_000);
    for path in ["/v1/admin/publish", "/v1/admin/zones/out"] {
        let response = env.post(0, path).body(body.clone()).send().await.expect("a response");
        assert_eq!(env::response_outcome(&response), (413, "too_large".into(), "not_run".into()));
        let response = env.post(0, path).body("{").send().await.expect("a response");
        assert_eq!(env::response_outcome(&response), (400, "bad_request".into(), "not_run".into()));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_use_bounded_memory() {
    use tokio::io::AsyncWriteExt;
    let env = small_limits().await;
    let before = env.entries[0].resident_kib();
    let head_part = format!("GET /s/open/x HTTP/1.1\r\nx-filler: {}", "a".repeat(300_000));
    let mut open = Vec::new();
    for _ in 0..100 {
        let stream = tokio::net::TcpStream::connect(env.entries[0].addr).await;
        let mut stream = stream.expect("a connection");
        // The entry instance may refuse the head before all of it has been written.
        let _ = stream.write_all(head_part.as_bytes()).await;
        open.push(stream);
    }
    assert_eq!(env.get(0, "/s/open/x").send().await.expect("a response").status(), 200);
    let grown = env.entries[0].resident_kib().saturating_sub(before);
    println!("100 open heads of 300 KB: {grown} KiB");
    assert!(grown < 100 * 500, "{grown} KiB");
}
