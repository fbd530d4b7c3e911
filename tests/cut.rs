//! Truncated responses, read from a raw socket. Guards against a truncated response that looks
//! complete, because `rocket` sends the last chunk of a chunked body even if the source failed.

mod env;

use env::{Env, send_raw, split_response};

/// Returns the head and body of a response. The request asks to close the connection, so that the
/// end of the response ends the connection.
async fn get(env: &Env, query: &str) -> (String, Vec<u8>) {
    let request = format!("GET /s/open/x?{query} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    split_response(&send_raw(env.entries[0].addr, request.as_bytes()).await)
}

/// Returns the number of bytes in a chunked body, and whether the last chunk was received.
fn chunked_len(mut body: &[u8]) -> (usize, bool) {
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

fn content_length(head: &str) -> Option<usize> {
    let line = head.lines().find(|line| line.starts_with("content-length:"))?;
    line.split(':').nth(1)?.trim().parse().ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn response_complete_and_truncated() {
    let env = Env::start_small().await;

    // A streamed response with a content-length.
    let (head, body) = get(&env, "size=300000").await;
    assert_eq!((content_length(&head), body.len()), (Some(300_000), 300_000));
    let (head, body) = get(&env, "size=300000&cut_after=150000").await;
    assert_eq!(content_length(&head), Some(300_000));
    assert!(body.len() < 300_000, "the body of {} bytes looks complete", body.len());

    // A streamed response with chunked transfer coding.
    let (head, body) = get(&env, "chunks=300&chunk_size=1000").await;
    assert!(head.contains("transfer-encoding: chunked"), "{head}");
    assert_eq!(chunked_len(&body), (300_000, true));
    for cut in [66_000, 150_000, 299_000] {
        let query = format!("chunks=300&chunk_size=1000&cut_after={cut}");
        let (head, body) = get(&env, &query).await;
        if head.starts_with("http/1.1 502") {
            // If the reset overtakes the data, the entry instance detects the failure while it
            // still buffers the response.
            assert!(head.contains("jacinthhook-kind: upstream_lost"), "{head}");
            assert_eq!(content_length(&head), Some(body.len()));
            continue;
        }
        assert!(head.contains("transfer-encoding: chunked"), "{head}");
        assert!(!chunked_len(&body).1, "the last chunk was received after a cut at {cut}");
    }

    // A slow chunked response, which is streamed before it is complete.
    let (head, body) = get(&env, "chunks=10&chunk_size=10&chunk_delay_ms=30").await;
    assert!(head.contains("transfer-encoding: chunked"), "{head}");
    assert_eq!(chunked_len(&body), (100, true));
    let (_, body) = get(&env, "chunks=10&chunk_size=10&chunk_delay_ms=30&cut_after=50").await;
    assert!(!chunked_len(&body).1);

    // Short responses are buffered, so a truncated one is reported as an error.
    for query in ["size=5000&cut_after=2000", "chunks=5&chunk_size=1000&cut_after=2000"] {
        let (head, body) = get(&env, query).await;
        assert!(head.starts_with("http/1.1 502"), "{head}");
        assert!(head.contains("jacinthhook-kind: upstream_lost"), "{head}");
        assert_eq!(content_length(&head), Some(body.len()));
    }
    let (head, body) = get(&env, "chunks=5&chunk_size=1000").await;
    assert_eq!((content_length(&head), body.len()), (Some(5_000), 5_000));
}
