//! Stand-ins and clients shared by the tests that use real sockets.
#![allow(dead_code)] // Each test program uses only some of the helpers.

use jacinthhook::platform_client::PlatformClient;
use jacinthhook::standin_platform::{PlatformOptions, PlatformStandin};
use jacinthhook::standin_upstream::{UpstreamOptions, UpstreamStandin};
use jacinthhook::transport::TransportOptions;
use jacinthhook::upstream::{Target, Upstreams};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Returns the path and text of every Rust file below a directory.
pub fn sources(dir: &Path) -> Vec<(PathBuf, String)> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(dir).expect("the directory should be readable") {
        let path = entry.expect("the entry should be readable").path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else if path.extension().is_some_and(|suffix| suffix == "rs") {
            let text = std::fs::read_to_string(&path).expect("the file should be readable");
            found.push((path, text));
        }
    }
    found
}

/// Returns port 0 of the loopback interface, so that the system picks a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns an address on which nothing listens.
pub fn closed_port() -> String {
    let listener = std::net::TcpListener::bind(any_port()).expect("a free port should be bound");
    listener.local_addr().expect("the listener should have an address").to_string()
}

/// Options with a call timeout that is long enough for a busy machine.
pub fn transport_options() -> TransportOptions {
    TransportOptions { call_timeout: Duration::from_secs(20), ..TransportOptions::default() }
}

/// Options for calls that are expected to time out.
pub fn short_timeout_options() -> TransportOptions {
    TransportOptions { call_timeout: Duration::from_millis(500), ..TransportOptions::default() }
}

pub async fn start_platform() -> (PlatformStandin, PlatformClient) {
    let standin = PlatformStandin::start(PlatformOptions::new(any_port())).await;
    let standin = standin.expect("the platform stand-in should start");
    let client = PlatformClient::new(&standin.addr().to_string(), transport_options())
        .expect("the client should build");
    (standin, client)
}

pub async fn start_upstream() -> (UpstreamStandin, Upstreams, Target) {
    start_upstream_with(UpstreamOptions::new("u1", any_port())).await
}

pub async fn start_upstream_with(options: UpstreamOptions) -> (UpstreamStandin, Upstreams, Target) {
    let standin =
        UpstreamStandin::start(options).await.expect("the upstream stand-in should start");
    let client = Upstreams::new(transport_options()).expect("the client should build");
    let addr = standin.addr().to_string();
    (standin, client, Target { id: "u1".into(), addr, generation: 0 })
}
