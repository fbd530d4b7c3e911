//! Tests the fault switches and the lifecycle of the stand-ins. Guards against a fault switch that
//! is silently ignored, for example because its name is misspelt: the stand-in would then behave
//! better than the platform.

mod common;

use common::{any_port, start_upstream};
use jacinthhook::standin::Faults;
use jacinthhook::standin_platform::{PlatformOptions, PlatformStandin};

#[tokio::test]
async fn put_faults_sets_all_switches() {
    let (standin, _, _) = start_upstream().await;
    let url = format!("http://{}/faults", standin.addr());
    let client = reqwest::Client::new();
    let unknown = client.put(&url).body("{\"slowms\":1}").send().await.unwrap();
    assert_eq!(unknown.status(), 400);
    for wanted in [Faults { late_ms: 5, ..Faults::default() }, Faults::default()] {
        assert_eq!(client.put(&url).json(&wanted).send().await.unwrap().status(), 200);
        let set: Faults = client.get(&url).send().await.unwrap().json().await.unwrap();
        assert_eq!((&set, &standin.switches.get()), (&wanted, &wanted));
    }
}

#[tokio::test]
async fn start_port_in_use() {
    let first = PlatformStandin::start(PlatformOptions::new(any_port())).await.unwrap();
    assert!(PlatformStandin::start(PlatformOptions::new(first.addr())).await.is_err());
}

#[tokio::test]
async fn stop_frees_the_port() {
    let first = PlatformStandin::start(PlatformOptions::new(any_port())).await.unwrap();
    let addr = first.addr();
    reqwest::get(format!("http://{addr}/instances")).await.unwrap();
    first.stop().await;
    let second = PlatformStandin::start(PlatformOptions::new(addr)).await.unwrap();
    assert_eq!(second.next_offset(), 0);
}
