//! Answers that break off, seen on a raw socket. Guards against a cut answer that looks complete:
//! `rocket` ends a chunked body cleanly when its source fails.

mod env;

use env::{Env, raw, split_answer};

/// Head and body of an answer; the caller asks for a close, so that the answer ends the connection.
async fn answer(env: &Env, query: &str) -> (String, Vec<u8>) {
    let request = format!("GET /s/open/x?{query} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    split_answer(&raw(env.entries[0].addr, request.as_bytes()).await)
}

/// Bytes of a chunked body, and whether its last chunk came.
fn unchunk(mut body: &[u8]) -> (usize, bool) {
    let mut sum = 0;
    loop {
        let Some(end) = body.windows(2).position(|w| w == b"\r\n") else { return (sum, false) };
        let digits = std::str::from_utf8(&body[..end]).expect("a length");
        let len = usize::from_str_radix(digits, 16).expect("a length");
        if len == 0 {
            return (sum, true);
        }
        sum += len.min(body.len() - end - 2);
        let Some(rest) = body.get(end + 2 + len + 2..) else { return (sum, false) };
        body = rest;
    }
}

fn declared(head: &str) -> Option<usize> {
    let line = head.lines().find(|line| line.starts_with("content-length:"))?;
    line.split(':').nth(1)?.trim().parse().ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_whole_and_cut() {
    let env = Env::start_small().await;

    // Streamed with a length.
    let (head, body) = answer(&env, "size=300000").await;
    assert_eq!((declared(&head), body.len()), (Some(300_000), 300_000));
    let (head, body) = answer(&env, "size=300000&cut_after=150000").await;
    assert_eq!(declared(&head), Some(300_000));
    assert!(body.len() < 300_000, "the body of {} bytes looks complete", body.len());

    // Streamed in chunks.
    let (head, body) = answer(&env, "chunks=300&chunk_size=1000").await;
    assert!(head.contains("transfer-encoding: chunked"), "{head}");
    assert_eq!(unchunk(&body), (300_000, true));
    for cut in [66_000, 150_000, 299_000] {
        let query = format!("chunks=300&chunk_size=1000&cut_after={cut}");
        let (head, body) = answer(&env, &query).await;
        if head.starts_with("http/1.1 502") {
            // The reset can overtake the data, so that the cut is seen while the answer is held.
            assert!(head.contains("jacinthhook-kind: upstream_lost"), "{head}");
            assert_eq!(declared(&head), Some(body.len()));
            continue;
        }
        assert!(head.contains("transfer-encoding: chunked"), "{head}");
        assert!(!unchunk(&body).1, "the last chunk came after a cut at {cut}");
    }

    // A slow answer in chunks, which is streamed before it is complete.
    let (head, body) = answer(&env, "chunks=10&chunk_size=10&chunk_delay_ms=30").await;
    assert!(head.contains("transfer-encoding: chunked"), "{head}");
    assert_eq!(unchunk(&body), (100, true));
    let (_, body) = answer(&env, "chunks=10&chunk_size=10&chunk_delay_ms=30&cut_after=50").await;
    assert!(!unchunk(&body).1);

    // Short answers are held, so that a cut becomes a clear failure.
    for query in ["size=5000&cut_after=2000", "chunks=5&chunk_size=1000&cut_after=2000"] {
        let (head, body) = answer(&env, query).await;
        assert!(head.starts_with("http/1.1 502"), "{head}");
        assert!(head.contains("jacinthhook-kind: upstream_lost"), "{head}");
        assert_eq!(declared(&head), Some(body.len()));
    }
    let (head, body) = answer(&env, "chunks=5&chunk_size=1000").await;
    assert_eq!((declared(&head), body.len()), (Some(5_000), 5_000));
}
