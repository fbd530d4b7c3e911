//! The stand-ins on real sockets. Guards against stand-ins that are kinder than the platform: faults
//! that do not act, a log that loses or renumbers entries, tasks that start twice.

use bytes::Bytes;
use jacinthhook::protocol::*;
use jacinthhook::standin::Faults;
use jacinthhook::standin_platform::{PlatformOptions, PlatformStandin};
use jacinthhook::standin_upstream::{UpstreamOptions, UpstreamStandin};
use std::net::SocketAddr;
use std::time::Duration;

fn free_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn platform() -> PlatformStandin {
    PlatformStandin::start(PlatformOptions::new(free_port())).await.expect("platform starts")
}

async fn upstream() -> UpstreamStandin {
    UpstreamStandin::start(UpstreamOptions::new("u1", free_port())).await.expect("upstream starts")
}

async fn set_faults(addr: SocketAddr, faults: &Faults) {
    let url = format!("http://{addr}/faults");
    let answer = reqwest::Client::new().put(url).json(faults).send().await.expect("faults are set");
    assert_eq!(answer.status(), 200);
}

async fn append(addr: SocketAddr, data: &'static [u8]) -> reqwest::Result<u64> {
    let url = format!("http://{addr}/log");
    let answer = reqwest::Client::new().post(url).body(data).send().await?;
    let body: serde_json::Value = answer.json().await?;
    Ok(body["offset"].as_u64().expect("an offset"))
}

async fn read(addr: SocketAddr, query: &str) -> ReadAnswer {
    let url = format!("http://{addr}/log?{query}");
    let answer = reqwest::get(url).await.expect("the log answers");
    answer.json().await.expect("a read answer")
}

#[tokio::test]
async fn log_retention_keeps_offsets() {
    let options = PlatformOptions::new(free_port()).with_retention(2);
    let standin = PlatformStandin::start(options).await.unwrap();
    for (i, data) in [&b"a"[..], b"b", b"c"].into_iter().enumerate() {
        assert_eq!(append(standin.addr(), data).await.unwrap(), i as u64);
    }
    let answer = read(standin.addr(), "from=0&max=10&wait_ms=0").await;
    assert_eq!((answer.first, answer.next), (1, 3));
    let offsets: Vec<_> = answer.entries.iter().map(|e| (e.offset, e.data.clone())).collect();
    assert_eq!(offsets, [(1, Bytes::from("b")), (2, Bytes::from("c"))]);
}

#[tokio::test]
async fn log_long_poll_answers_with_the_append() {
    let standin = platform().await;
    let addr = standin.addr();
    let waiting = tokio::spawn(async move { read(addr, "from=0&max=1&wait_ms=20000").await });
    append(addr, b"x").await.unwrap();
    let answer = tokio::time::timeout(Duration::from_secs(10), waiting).await.unwrap().unwrap();
    assert_eq!(answer.entries.len(), 1);
}

#[tokio::test]
async fn faults_lost_append_takes_effect() {
    let standin = platform().await;
    set_faults(standin.addr(), &Faults { lose_answers: 1, ..Faults::default() }).await;
    assert!(append(standin.addr(), b"lost").await.is_err());
    assert_eq!(standin.next_offset(), 1);
    assert_eq!(append(standin.addr(), b"heard").await.unwrap(), 1);
}

#[tokio::test]
async fn faults_down_has_no_effect() {
    let standin = platform().await;
    set_faults(standin.addr(), &Faults { down: true, ..Faults::default() }).await;
    assert!(append(standin.addr(), b"x").await.is_err());
    set_faults(standin.addr(), &Faults::default()).await;
    assert_eq!(append(standin.addr(), b"y").await.unwrap(), 0);
}

#[tokio::test]
async fn faults_silence_leaves_new_connections() {
    let standin = upstream().await;
    let url = format!("http://{}/x", standin.addr());
    let old = reqwest::Client::new();
    assert_eq!(old.get(&url).send().await.unwrap().status(), 200);
    set_faults(standin.addr(), &Faults { silence_open: true, ..Faults::default() }).await;
    let silent = old.get(&url).timeout(Duration::from_millis(300)).send().await;
    assert!(silent.unwrap_err().is_timeout());
    assert_eq!(reqwest::get(&url).await.unwrap().status(), 200);
}

#[tokio::test]
async fn faults_unknown_switch_is_refused() {
    let standin = upstream().await;
    let url = format!("http://{}/faults", standin.addr());
    let answer = reqwest::Client::new().put(url).body("{\"slowms\":1}").send().await.unwrap();
    assert_eq!(answer.status(), 400);
}

#[tokio::test]
async fn service_streamed_body_cut_is_an_error() {
    let standin = upstream().await;
    for query in ["size=100000&cut_after=50000", "chunks=10&chunk_size=1000&cut_after=5000"] {
        let url = format!("http://{}/x?{query}", standin.addr());
        let answer = reqwest::get(url).await.unwrap();
        assert!(answer.bytes().await.is_err(), "{query} looked complete");
    }
}

#[tokio::test]
async fn service_body_sizes() {
    let standin = upstream().await;
    for (query, len) in [("size=100000", 100_000), ("chunks=3&chunk_size=7", 21), ("size=0", 0)] {
        let url = format!("http://{}/a/b?{query}", standin.addr());
        assert_eq!(reqwest::get(url).await.unwrap().bytes().await.unwrap().len(), len);
    }
}

#[tokio::test]
async fn service_late_start_is_not_run() {
    let options = UpstreamOptions::new("u1", free_port());
    let options = options.with_clock_origin(Duration::from_secs(100));
    let standin = UpstreamStandin::start(options).await.unwrap();
    let url = format!("http://{}/x?tag=t", standin.addr());
    let late = reqwest::Client::new().post(url).header(START_BY_HEADER, "99999");
    let answer = late.send().await.unwrap();
    assert_eq!(answer.headers()[RAN_HEADER], "not_run");
    assert!(standin.runs().is_empty());
}
