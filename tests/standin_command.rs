//! Runs the stand-ins as processes. Guards against processes that do not print their address, do
//! not register, or stay in the list after SIGTERM.

use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};

/// A process that is killed on drop.
struct Process {
    child: Child,
    /// Address printed in its first line of output.
    addr: String,
}

impl Process {
    fn start(args: &[&str]) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_jacinthhook"));
        let mut child = command.args(args).stdout(Stdio::piped()).spawn().expect("a process");
        let out = child.stdout.as_mut().expect("piped standard output");
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).expect("a first line");
        let addr = line.trim().rsplit(' ').next().expect("an address").to_string();
        Process { child, addr }
    }

    /// Sends SIGTERM and returns the exit code.
    fn terminate(&mut self) -> Option<i32> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, Signal::TERM).expect("a running process");
        self.child.wait().expect("an exit status").code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn get(addr: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .expect("a sent request");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("a response");
    answer
}

#[test]
fn upstream_registers_and_deregisters() {
    let mut platform = Process::start(&["platform", "--addr", "127.0.0.1:0"]);
    let mut upstream = Process::start(&[
        "upstream",
        "--id",
        "u-1",
        "--addr",
        "127.0.0.1:0",
        "--platform",
        &platform.addr,
        "--pool",
        "loans",
        "--zone",
        "a",
        "--rack",
        "r1",
        "--slots",
        "3",
    ]);
    let list = get(&platform.addr, "/instances");
    for text in ["\"u-1\"", "\"loans\"", "\"slots\":3", upstream.addr.as_str()] {
        assert!(list.contains(text), "{text} is missing in {list}");
    }
    assert_eq!(upstream.terminate(), Some(0));
    assert!(!get(&platform.addr, "/instances").contains("\"u-1\""));
    assert_eq!(platform.terminate(), Some(0));
}

#[test]
fn upstream_without_a_platform() {
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let platform = free.local_addr().expect("an address").to_string();
    drop(free);
    let mut command = Command::new(env!("CARGO_BIN_EXE_jacinthhook"));
    let args = ["upstream", "--id", "u-1", "--addr", "127.0.0.1:0", "--platform", &platform];
    command.args(args).args(["--pool", "loans", "--zone", "a", "--rack", "r1"]);
    assert_eq!(command.output().expect("an exit status").status.code(), Some(1));
}
