//! Client of the users' platform's store against a server with a slow or stalled link.

use bytes::Bytes;
use jacinthhook::instance::append_queue::{AppendOutcome, AppendQueue};
use jacinthhook::instance::submissions::partition_of;
use jacinthhook::platform::http::Http;
use jacinthhook::platform::store::{
    AppendCondition, LatestRead, MAX_APPEND_BYTES, Store, StoreError, records_per_append,
};
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
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
    Store::new(Http::new(), address)
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

/// Rate at which the slow server reads, that of a link of 2 Mbit/s. All connections share it.
const READ_BYTES_PER_TICK: usize = 12_500;
const READ_TICK: Duration = Duration::from_millis(50);

/// Starts a server that reads bodies slowly and answers each append once it has read it whole.
async fn slowly_reading_store() -> Store {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
    let address = listener.local_addr().expect("a local address").to_string();
    let link = Arc::new(Mutex::new(()));
    tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            tokio::spawn(read_slowly(connection, link.clone()));
        }
    });
    Store::new(Http::new(), address)
}

async fn read_slowly(mut connection: TcpStream, link: Arc<Mutex<()>>) {
    let (mut request, mut buf) = (Vec::new(), vec![0; READ_BYTES_PER_TICK]);
    loop {
        connection.readable().await.expect("a connection");
        let turn = link.lock().await;
        let Ok(count) = connection.read(&mut buf).await else { return };
        if count == 0 {
            return;
        }
        sleep(READ_TICK.mul_f64(count as f64 / READ_BYTES_PER_TICK as f64)).await;
        drop(turn);
        request.extend_from_slice(&buf[..count]);
        if request.len() >= request_len(&request) {
            request.clear();
            let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
            let _ = connection.write_all(answer.as_bytes()).await;
        }
    }
}

/// Returns the length of a request's head and body; the maximum if the head is not complete.
fn request_len(request: &[u8]) -> usize {
    let text = String::from_utf8_lossy(request);
    let Some((head, _)) = text.split_once("\r\n\r\n") else { return usize::MAX };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    head.len() + 4 + length.map_or(0, |l| l.parse().expect("a number"))
}

/// Records that were queued while the store was away are stored over a slow link. Guards against one
/// large append, and against many at once that share the link: they never ended within their time limit, and
/// were tried again from the start.
#[tokio::test]
async fn append_queue_slow_link() {
    for partitions in [1, 32] {
        let queue = Arc::new(AppendQueue::new(partitions));
        let deadline = Instant::now() + Duration::from_secs(20);
        let mut waiting = JoinSet::new();
        for i in 0..128 {
            let queue = queue.clone();
            let (key, value) = (format!("job-{i}"), Bytes::from(vec![b'x'; 4_000]));
            let partition = partition_of(&key, partitions);
            waiting.spawn(async move { queue.store(partition, &key, value, deadline).await });
        }
        tokio::task::yield_now().await;
        tokio::spawn(queue.run(slowly_reading_store().await));
        let outcomes = waiting.join_all().await;
        let stored = outcomes.iter().filter(|o| **o == AppendOutcome::Stored).count();
        assert_eq!(stored, 128, "{partitions} partitions");
    }
}

/// An append carries records up to its size limit, and one that is larger by itself.
#[test]
fn records_per_append_sizes() {
    let small = vec![1_000; 1_000];
    let count = records_per_append(small.iter().copied());
    assert!(count > 1 && count * 1_000 <= MAX_APPEND_BYTES, "{count}");
    assert_eq!(records_per_append([MAX_APPEND_BYTES + 1, 1].into_iter()), 1);
    assert_eq!(records_per_append([1, MAX_APPEND_BYTES + 1].into_iter()), 1);
    assert_eq!(records_per_append([1, 2, 3].into_iter()), 3);
    assert_eq!(records_per_append(std::iter::empty()), 0);
}

/// Starts a server that gives one response with this status and body.
async fn store_responding(status: u16, body: &'static str) -> Store {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
    let address = listener.local_addr().expect("a local address").to_string();
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.expect("a connection");
        let mut buf = [0; 1_024];
        let _ = connection.read(&mut buf).await.expect("a request");
        let head = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n\r\n", body.len());
        connection.write_all(head.as_bytes()).await.expect("send the head");
        connection.write_all(body.as_bytes()).await.expect("send the body");
        sleep(Duration::from_secs(1)).await;
    });
    Store::new(Http::new(), address)
}

/// Starts a server that answers every second call with the page that it asks for, of three pages with one
/// record each, and refuses the others.
async fn store_refusing_every_second_call() -> Store {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
    let address = listener.local_addr().expect("a local address").to_string();
    tokio::spawn(async move {
        let mut calls = 0;
        while let Ok((mut connection, _)) = listener.accept().await {
            let mut buf = [0; 1_024];
            let count = connection.read(&mut buf).await.expect("a request");
            calls += 1;
            let request = String::from_utf8_lossy(&buf[..count]).to_string();
            let page =
                ["c", "b", "a"].iter().position(|k| request.contains(&format!("after={k} ")));
            // Keys in ascending order, appended in descending order.
            let (key, offset, has_more) = match page {
                None => ("a", 3, true),
                Some(2) => ("b", 2, true),
                Some(_) => ("c", 1, false),
            };
            let item = json!({ "key": key, "value": "eA==", "offset": offset });
            let body = json!({ "items": [item], "hasMore": has_more, "end": 4 }).to_string();
            let status = if calls % 2 == 1 { "200 OK" } else { "503 Busy" };
            let head = "connection: close\r\ncontent-length";
            let answer = format!("HTTP/1.1 {status}\r\n{head}: {}\r\n\r\n{body}", body.len());
            let _ = connection.write_all(answer.as_bytes()).await;
        }
    });
    Store::new(Http::new(), address)
}

/// Guards against reading all pages again after one of them failed: with a store that loses answers, a
/// new owner read the stored state for the longer, the more there was of it.
#[tokio::test]
async fn continue_read_latest_failed_pages() {
    let store = store_refusing_every_second_call().await;
    let mut read = LatestRead::default();
    let mut failed = 0;
    let fetched = loop {
        match store.continue_read_latest("keyed.jobs", &mut read).await {
            Ok(fetched) => break fetched,
            Err(_) => failed += 1,
        }
        assert!(failed < 10, "no end after {failed} failed pages");
    };
    assert_eq!(failed, 2);
    assert_eq!((fetched.next_offset, fetched.records.len()), (4, 3));
}

/// Guards against jobs that start in the order of their names after a change of owner, where new ones
/// come before old ones again and again.
#[tokio::test]
async fn continue_read_latest_order() {
    let store = store_refusing_every_second_call().await;
    let mut read = LatestRead::default();
    let mut fetched = store.continue_read_latest("keyed.jobs", &mut read).await;
    for _ in 0..10 {
        if fetched.is_err() {
            fetched = store.continue_read_latest("keyed.jobs", &mut read).await;
        }
    }
    let fetched = fetched.expect("all pages");
    let keys: Vec<&str> = fetched.records.iter().map(|r| r.key.as_str()).collect();
    assert_eq!(keys, ["c", "b", "a"]);
}

/// Guards against telling a caller that its job is not stored and never runs, after an append that a
/// gateway gave up and the store may still carry out.
#[tokio::test]
async fn append_unclear_status() {
    for (status, expected) in [
        (500, StoreError::NoResponse),
        (502, StoreError::NoResponse),
        (504, StoreError::NoResponse),
        (429, StoreError::Refused { status: 429 }),
        (503, StoreError::Refused { status: 503 }),
        (507, StoreError::Refused { status: 507 }),
    ] {
        let store = store_responding(status, "{}").await;
        let record: (&str, Option<&[u8]>) = ("job", Some(b"x"));
        let result = store.append("keyed.jobs", &[record], AppendCondition::default()).await;
        assert_eq!(result, Err(expected), "{status}");
    }
}

/// Guards against taking an unreadable page for a topic without records: a new owner would start
/// every task again.
#[tokio::test]
async fn read_latest_unreadable_page() {
    let error = store_responding(200, "oops").await.read_latest("keyed.progress").await.err();
    assert_eq!(error, Some(StoreError::NoResponse));
}

/// Guards against telling a caller that its job never runs when it is sent again: the append of the
/// first call got no response and may still be carried out.
#[tokio::test]
async fn append_queue_resubmitted_record() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
    let address = listener.local_addr().expect("a local address").to_string();
    tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.expect("a connection");
        let _ = connection.read(&mut [0; 1_024]).await.expect("a request");
        drop(connection);
        while let Ok((mut connection, _)) = listener.accept().await {
            let _ = connection.read(&mut [0; 1_024]).await;
            let head = b"HTTP/1.1 503 Busy\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
            let _ = connection.write_all(head).await;
        }
    });
    let queue = Arc::new(AppendQueue::new(1));
    tokio::spawn(queue.clone().run(Store::new(Http::new(), address)));
    let store = |key: &'static str| {
        let deadline = Instant::now() + Duration::from_millis(300);
        queue.store(0, key, Bytes::from_static(b"x"), deadline)
    };
    assert_eq!(store("job").await, AppendOutcome::Unknown);
    assert_eq!(store("job").await, AppendOutcome::Unknown);
    assert_eq!(store("other").await, AppendOutcome::NotStored);
}
