//! A TCP forwarder that simulates a network link which can be cut.

use std::net::SocketAddr;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Forwards connections from a free port to a target address.
pub struct Link {
    pub addr: SocketAddr,
    connected: watch::Sender<bool>,
}

impl Link {
    pub async fn start(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port should be bound");
        let addr = listener.local_addr().expect("the listener should have an address");
        let (connected, state) = watch::channel(true);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, state.clone()));
            }
        });
        Link { addr, connected }
    }

    /// Cuts or restores the link. A cut closes all connections; new ones are closed on accept.
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
