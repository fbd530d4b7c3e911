//! Closes accepted connections at the socket level.
//!
//! If the source of a streamed response of unknown length fails, `rocket` still sends the last
//! chunk of the chunked body. The caller would take the truncated response for a complete one, so
//! the socket itself is shut down.

use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::fs;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::OwnedFd;

/// Aborts a streamed response whose source has failed: closes its connection and returns, after
/// which the stream may end. If the system does not allow this, the function never returns, because
/// a caller that waits for the rest is better than one that takes a truncated response for a
/// complete one.
pub async fn abort_response(local_port: u16, remote: SocketAddr) {
    // A socket that is not found is already closed.
    if abort(local_port, remote).is_err() {
        std::future::pending::<()>().await;
    }
}

/// Shuts down the accepted socket between `local_port` and `remote` in both directions. Returns
/// whether such a socket was found. It iterates over all open file descriptors of the process, so
/// it is meant for rare failures and not for every request.
pub fn abort(local_port: u16, remote: SocketAddr) -> io::Result<bool> {
    let pidfd = pidfd_open(getpid(), PidfdFlags::empty())?;
    for dir_entry in fs::read_dir("/proc/self/fd")? {
        let name = dir_entry?.file_name();
        let Some(fd) = name.to_str().and_then(|n| n.parse().ok()) else { continue };
        let Ok(copy) = pidfd_getfd(&pidfd, fd, PidfdGetfdFlags::empty()) else { continue };
        if shut_down_if_match(copy, local_port, remote)? {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Shuts down a duplicated file descriptor if it is the socket between `local_port` and `remote`.
/// Closing the duplicate does not affect the original descriptor.
fn shut_down_if_match(copy: OwnedFd, local_port: u16, remote: SocketAddr) -> io::Result<bool> {
    let stream = TcpStream::from(copy);
    let is_match = stream.peer_addr().is_ok_and(|a| a == remote)
        && stream.local_addr().is_ok_and(|a| a.port() == local_port);
    if is_match {
        stream.shutdown(Shutdown::Both)?;
    }
    Ok(is_match)
}

/// Returns duplicates of the accepted sockets on `local_port` with their remote addresses.
pub fn accepted_sockets(local_port: u16) -> io::Result<Vec<(SocketAddr, TcpStream)>> {
    let pidfd = pidfd_open(getpid(), PidfdFlags::empty())?;
    let mut sockets = Vec::new();
    for dir_entry in fs::read_dir("/proc/self/fd")? {
        let name = dir_entry?.file_name();
        let Some(fd) = name.to_str().and_then(|n| n.parse().ok()) else { continue };
        let Ok(copy) = pidfd_getfd(&pidfd, fd, PidfdGetfdFlags::empty()) else { continue };
        let stream = TcpStream::from(copy);
        let (Ok(remote), Ok(local)) = (stream.peer_addr(), stream.local_addr()) else { continue };
        if local.port() == local_port {
            sockets.push((remote, stream));
        }
    }
    Ok(sockets)
}
