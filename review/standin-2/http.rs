//! HTTP/1.1 server with one thread a connection, and a client with one connection a call.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Req {
    pub path: String,
    pub query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v)
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(n, _)| n == name).map(|(_, v)| &**v)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.param(name)?.parse().ok()
    }
}

pub struct Resp {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Answers a request; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Req) -> Option<Resp> + Send + Sync>;

/// Server on a loopback port until it is closed.
pub struct Server {
    pub addr: SocketAddr,
    open: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Listens on `port` of 127.0.0.1; 0 takes a free one.
    pub fn start(port: u16, handler: Handler) -> std::io::Result<Server> {
        let listener = TcpListener::bind(("127.0.0.1", port))?;
        let addr = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let open = Arc::new(AtomicBool::new(true));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (is_open, kept) = (open.clone(), streams.clone());
        let accepting = thread::spawn(move || {
            while is_open.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            kept.lock().unwrap().push(copy);
                        }
                        let (handler, is_open) = (handler.clone(), is_open.clone());
                        thread::spawn(move || serve(stream, &handler, &is_open));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Server { addr, open, streams, accepting: Some(accepting) })
    }

    /// Closes the port and all connections, as the end of a process does.
    pub fn close(&mut self) {
        self.open.store(false, Ordering::Relaxed);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, is_open: &AtomicBool) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(req) = read_request(&mut input) {
        let answer = handler(req);
        if !is_open.load(Ordering::Relaxed) {
            break;
        }
        let Some(resp) = answer else { break };
        let head = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            resp.status,
            resp.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(&resp.body);
        if out.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = out.shutdown(Shutdown::Both);
}

fn read_head(input: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if input.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_string(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

fn read_request(input: &mut impl BufRead) -> Option<Req> {
    let (first, headers) = read_head(input)?;
    let mut parts = first.split(' ');
    parts.next()?;
    let target = parts.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|p| p.split_once('='));
    let query = query.map(|(n, v)| (n.to_string(), decode(v))).collect();
    let len = headers.iter().find(|(n, _)| n == "content-length");
    let len = len.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; len];
    input.read_exact(&mut body).ok()?;
    Some(Req { path: path.to_string(), query, headers, body })
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Calls a server; `None` if there is no answer within `timeout`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut input = BufReader::new(stream);
    let (first, headers) = read_head(&mut input)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let len = headers.iter().find(|(n, _)| n == "content-length");
    let mut body = Vec::new();
    match len.and_then(|(_, v)| v.parse::<usize>().ok()) {
        Some(len) => {
            body = vec![0; len];
            input.read_exact(&mut body).ok()?;
        }
        None => {
            let _ = input.read_to_end(&mut body);
        }
    }
    Some((status, body))
}
