//! A network link that can be cut: forwards connections to an address.

use std::net::SocketAddr;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Forwards from a free port until it is dropped.
pub struct Link {
    pub addr: SocketAddr,
    connected: watch::Sender<bool>,
}

impl Link {
    pub async fn start(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let (connected, state) = watch::channel(true);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, state.clone()));
            }
        });
        Link { addr, connected }
    }

    /// Closes all connections and lets no new one through, or lets them through again.
    pub fn set_connected(&self, connected: bool) {
        self.connected.send_replace(connected);
    }
}

async fn forward(mut from: TcpStream, target: SocketAddr, mut connected: watch::Receiver<bool>) {
    if !*connected.borrow() {
        return;
    }
    let Ok(mut to) = TcpStream::connect(target).await else { return };
    tokio::select! {
        _ = copy_bidirectional(&mut from, &mut to) => {}
        _ = connected.wait_for(|connected| !connected) => {}
    }
}
