//! Stand-ins and clients that the tests on real sockets share.
#![allow(dead_code)] // Each test program uses a part.

use jacinthhook::platform_client::PlatformClient;
use jacinthhook::standin_platform::{PlatformOptions, PlatformStandin};
use jacinthhook::standin_upstream::{UpstreamOptions, UpstreamStandin};
use jacinthhook::transport::TransportOptions;
use jacinthhook::upstream::{Target, Upstreams};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// All Rust files under a folder with their texts.
pub fn sources(dir: &Path) -> Vec<(PathBuf, String)> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(dir).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else if path.extension().is_some_and(|suffix| suffix == "rs") {
            let text = std::fs::read_to_string(&path).expect("a source");
            found.push((path, text));
        }
    }
    found
}

/// Port 0 of the loopback interface: the system picks a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An address on which nothing listens.
pub fn closed_port() -> String {
    let listener = std::net::TcpListener::bind(any_port()).expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

/// Long enough for a busy machine.
pub fn transport_options() -> TransportOptions {
    TransportOptions { call_timeout: Duration::from_secs(20), ..TransportOptions::default() }
}

/// For calls that are to time out.
pub fn short_timeout_options() -> TransportOptions {
    TransportOptions { call_timeout: Duration::from_millis(500), ..TransportOptions::default() }
}

pub async fn start_platform() -> (PlatformStandin, PlatformClient) {
    let standin = PlatformStandin::start(PlatformOptions::new(any_port())).await;
    let standin = standin.expect("platform starts");
    let client =
        PlatformClient::new(&standin.addr().to_string(), transport_options()).expect("a client");
    (standin, client)
}

pub async fn start_upstream() -> (UpstreamStandin, Upstreams, Target) {
    start_upstream_with(UpstreamOptions::new("u1", any_port())).await
}

pub async fn start_upstream_with(wanted: UpstreamOptions) -> (UpstreamStandin, Upstreams, Target) {
    let standin = UpstreamStandin::start(wanted).await.expect("upstream starts");
    let client = Upstreams::new(transport_options()).expect("a client");
    let addr = standin.addr().to_string();
    (standin, client, Target { id: "u1".into(), addr, generation: 0 })
}
