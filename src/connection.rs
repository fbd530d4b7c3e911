//! Closes an accepted connection from within a request handler.
//!
//! `rocket` ends a streamed answer of unknown length as if it were complete when its source fails:
//! the chunked body gets its last chunk. A caller must not take a cut answer for a complete one, so
//! the socket itself is shut down.

use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::fs;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::OwnedFd;

/// Fails a streamed answer whose source was cut: closes its connection and returns, upon which the
/// stream may end. Where the system forbids it, never returns: a caller that waits for the rest is
/// better than one that takes the part for the whole.
pub async fn fail_answer(local_port: u16, remote: SocketAddr) {
    // A socket that is not found has been closed already.
    if abort(local_port, remote).is_err() {
        std::future::pending::<()>().await;
    }
}

/// Shuts down the accepted socket between `local_port` and `remote` in both directions. Answers
/// whether such a socket was found. Walks the open descriptors of the process, so it is meant for
/// the rare cut and not for each request.
pub fn abort(local_port: u16, remote: SocketAddr) -> io::Result<bool> {
    let own = pidfd_open(getpid(), PidfdFlags::empty())?;
    for item in fs::read_dir("/proc/self/fd")? {
        let name = item?.file_name();
        let Some(number) = name.to_str().and_then(|n| n.parse().ok()) else { continue };
        let Ok(copy) = pidfd_getfd(&own, number, PidfdGetfdFlags::empty()) else { continue };
        if shut_down_if(copy, local_port, remote)? {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Shuts a duplicate of a descriptor down if it is the socket in question; closing the duplicate
/// leaves any other descriptor as it was.
fn shut_down_if(copy: OwnedFd, local_port: u16, remote: SocketAddr) -> io::Result<bool> {
    let stream = TcpStream::from(copy);
    let is_it = stream.peer_addr().is_ok_and(|a| a == remote)
        && stream.local_addr().is_ok_and(|a| a.port() == local_port);
    if is_it {
        stream.shutdown(Shutdown::Both)?;
    }
    Ok(is_it)
}

/// Duplicates of the accepted sockets on `local_port`, with their remote addresses.
pub fn accepted(local_port: u16) -> io::Result<Vec<(SocketAddr, TcpStream)>> {
    let own = pidfd_open(getpid(), PidfdFlags::empty())?;
    let mut found = Vec::new();
    for item in fs::read_dir("/proc/self/fd")? {
        let name = item?.file_name();
        let Some(number) = name.to_str().and_then(|n| n.parse().ok()) else { continue };
        let Ok(copy) = pidfd_getfd(&own, number, PidfdGetfdFlags::empty()) else { continue };
        let stream = TcpStream::from(copy);
        let (Ok(remote), Ok(local)) = (stream.peer_addr(), stream.local_addr()) else { continue };
        if local.port() == local_port {
            found.push((remote, stream));
        }
    }
    Ok(found)
}
