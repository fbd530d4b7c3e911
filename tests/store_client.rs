//! Client of the users' platform's store against a server with a slow or stalled link.

use jacinthhook::platform::http::Http;
use jacinthhook::platform::store::{Store, StoreError};
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Number of pieces in which the server sends its body.
const PIECES: usize = 10;
/// Pause between two pieces. The whole body takes longer than any call may wait for an answer.
const PIECE_PAUSE: Duration = Duration::from_millis(250);

/// Starts a server that answers one call with a page of one record, and sends the first `sent_pieces`
/// pieces of it. Returns a client of it.
async fn slow_store(sent_pieces: usize) -> Store {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
    let address = listener.local_addr().expect("a local address").to_string();
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.expect("a connection");
        let mut buf = [0; 1_024];
        let _ = connection.read(&mut buf).await.expect("a request");
        let item = json!({ "key": "job", "value": "eA==", "offset": 4 });
        let body = json!({ "items": [item], "hasMore": false, "end": 5 }).to_string();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        connection.write_all(head.as_bytes()).await.expect("send the head");
        for piece in body.as_bytes().chunks(body.len().div_ceil(PIECES)).take(sent_pieces) {
            connection.write_all(piece).await.expect("send a piece");
            sleep(PIECE_PAUSE).await;
        }
        sleep(Duration::from_secs(60)).await;
    });
    Store::new(Http::new().expect("a client"), address)
}

/// A page that arrives slowly is read to its end. Guards against a time limit on whole pages: on a
/// slow link no page arrived within it, and a new owner or a restarted instance tried again forever.
#[tokio::test]
async fn read_latest_slow_link() {
    let fetched = slow_store(PIECES).await.read_latest("keyed.jobs").await.expect("the page");
    assert_eq!((fetched.records.len(), fetched.next_offset), (1, 5));
}

/// A connection that goes silent in the middle of a page is given up.
#[tokio::test]
async fn read_latest_stalled_link() {
    let started = Instant::now();
    let error = slow_store(PIECES / 2).await.read_latest("keyed.jobs").await.err();
    assert_eq!(error, Some(StoreError::NoResponse));
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
}
