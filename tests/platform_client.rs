//! Client for the platform against its stand-in. Guards against an append with a lost answer that
//! counts as not done, an answer to another call that is accepted, and calls that hang on a stalled
//! connection.

mod common;

use bytes::Bytes;
use common::{any_port, closed_port, short_timeout_options, start_platform, transport_options};
use jacinthhook::platform_client::{PlatformClient, PlatformError};
use jacinthhook::protocol::{ListedInstance, Presence, Role};
use jacinthhook::record::MAX_ENTRY_LEN;
use jacinthhook::standin::Faults;
use jacinthhook::standin_platform::{PlatformOptions, PlatformStandin};
use jacinthhook::transport::CallError;
use std::time::Duration;

const NO_WAIT: Duration = Duration::ZERO;

fn listed(id: &str) -> ListedInstance {
    ListedInstance {
        id: id.into(),
        role: Role::Upstream,
        pool: "counter".into(),
        zone: "a".into(),
        rack: "r1".into(),
        addr: "127.0.0.1:1".into(),
        presence: Presence::Live,
        slots: 8,
        connections: 64,
    }
}

#[tokio::test]
async fn append_is_read_back() {
    let (_standin, client) = start_platform().await;
    assert_eq!(client.append(Bytes::from("one")).await.unwrap(), 0);
    assert_eq!(client.append(Bytes::from("two")).await.unwrap(), 1);
    let answer = client.read(1, 10, NO_WAIT).await.unwrap();
    assert_eq!((answer.first, answer.next), (0, 2));
    assert_eq!(answer.entries[0].data, "two");
}

#[tokio::test]
async fn append_lost_answer_may_take_effect() {
    let (standin, client) = start_platform().await;
    standin.switches.set(Faults { lose_answers: 1, ..Faults::default() });
    let lost = client.append(Bytes::from("lost")).await.unwrap_err();
    assert!(!lost.had_no_effect(), "{lost}");
    assert_eq!(client.read(0, 10, NO_WAIT).await.unwrap().entries[0].data, "lost");
}

#[tokio::test]
async fn append_refused_connection_has_no_effect() {
    let client = PlatformClient::new(&closed_port(), transport_options()).unwrap();
    let refused = client.append(Bytes::from("x")).await.unwrap_err();
    assert!(refused.had_no_effect(), "{refused}");
}

#[tokio::test]
async fn append_platform_down_effect_unknown() {
    let (standin, client) = start_platform().await;
    standin.switches.set(Faults { down: true, ..Faults::default() });
    let down = client.append(Bytes::from("x")).await.unwrap_err();
    assert!(!down.had_no_effect(), "{down}");
    assert_eq!(standin.next_offset(), 0);
}

#[tokio::test]
async fn append_too_large_is_refused() {
    let (standin, client) = start_platform().await;
    client.append(Bytes::from(vec![7; MAX_ENTRY_LEN])).await.unwrap();
    client.append(Bytes::from(vec![7; MAX_ENTRY_LEN + 1])).await.unwrap_err();
    assert_eq!(standin.next_offset(), 1);
}

#[tokio::test]
async fn append_server_error_effect_unknown() {
    let (standin, client) = start_platform().await;
    standin.switches.set(Faults { fail: true, ..Faults::default() });
    let failed = client.append(Bytes::from("x")).await.unwrap_err();
    assert_eq!(failed, PlatformError::Status { status: 500 });
    assert!(!failed.had_no_effect());
}

#[tokio::test]
async fn read_mismatched_answer_is_refused() {
    let (standin, client) = start_platform().await;
    client.append(Bytes::from("x")).await.unwrap();
    standin.switches.set(Faults { crossed_answers: 1, ..Faults::default() });
    let mismatched = client.read(0, 1, NO_WAIT).await.unwrap_err();
    assert!(matches!(mismatched, PlatformError::Call { source: CallError::Mismatch { .. } }));
    assert_eq!(client.read(0, 1, NO_WAIT).await.unwrap().entries.len(), 1);
}

#[tokio::test]
async fn list_stalled_connections_are_all_replaced() {
    let (standin, _) = start_platform().await;
    let client = PlatformClient::new(&standin.addr().to_string(), short_timeout_options()).unwrap();
    standin.switches.set(Faults { slow_ms: 50, ..Faults::default() });
    let pooled = futures::future::join_all((0..3).map(|_| client.list())).await;
    assert!(pooled.iter().all(|answer| answer.is_ok()));
    standin.switches.set(Faults { silence_open: true, ..Faults::default() });
    let stalled = client.list().await.unwrap_err();
    assert!(matches!(
        stalled,
        PlatformError::Call { source: CallError::Unknown { timed_out: true, .. } }
    ));
    client.list().await.unwrap();
}

#[tokio::test]
async fn read_after_retention_starts_at_first() {
    let options = PlatformOptions::new(any_port()).with_retention(3);
    let standin = PlatformStandin::start(options).await.unwrap();
    let client =
        PlatformClient::new(&standin.addr().to_string(), common::transport_options()).unwrap();
    for data in ["a", "b", "c", "d", "e"] {
        client.append(Bytes::from(data)).await.unwrap();
    }
    for (kept, first) in [(3, 2), (2, 3), (0, 5)] {
        standin.trim(kept);
        let answer = client.read(0, 10, NO_WAIT).await.unwrap();
        assert_eq!((answer.first, answer.next, answer.entries.len()), (first, 5, kept));
        let last = answer.entries.last().map(|entry| (entry.offset, entry.data.clone()));
        assert_eq!(last, (kept > 0).then(|| (4, Bytes::from("e"))));
    }
}

#[tokio::test]
async fn read_waits_for_an_append() {
    let (_standin, client) = start_platform().await;
    let wait = client.read(0, 1, Duration::from_secs(20));
    let both = async { futures::join!(wait, client.append(Bytes::from("x"))).0 };
    let answer = tokio::time::timeout(Duration::from_secs(10), both).await;
    assert_eq!(answer.unwrap().unwrap().entries.len(), 1);
}

#[tokio::test]
async fn read_answer_size_is_limited() {
    let (_standin, client) = start_platform().await;
    for _ in 0..20 {
        client.append(Bytes::from(vec![7; MAX_ENTRY_LEN])).await.unwrap();
    }
    let mut from = 0;
    while from < 20 {
        let answer = client.read(from, 1_000, NO_WAIT).await.unwrap();
        assert!(answer.entries.len() <= 4);
        from = answer.entries.last().unwrap().offset + 1;
    }
}

#[tokio::test]
async fn list_lags_behind_registrations() {
    let (standin, client) = start_platform().await;
    standin.set_list_lag(Duration::from_secs(3_600));
    client.register(&listed("u1")).await.unwrap();
    assert!(client.list().await.unwrap().instances.is_empty());
    standin.set_list_lag(Duration::ZERO);
    assert_eq!(client.list().await.unwrap().instances, [listed("u1")]);
    client.remove(&"u1".into()).await.unwrap();
    assert!(client.list().await.unwrap().instances.is_empty());
}

#[tokio::test]
async fn list_never_shows_a_live_instance_as_gone() {
    let (standin, client) = start_platform().await;
    client.register(&listed("u1")).await.unwrap();
    assert_eq!(client.list().await.unwrap().instances.len(), 1);
    standin.set_list_lag(Duration::from_secs(3_600));
    client.remove(&"u1".into()).await.unwrap();
    client.register(&listed("u1")).await.unwrap();
    standin.set_list_lag(Duration::ZERO);
    assert_eq!(client.list().await.unwrap().instances.len(), 1);
}
