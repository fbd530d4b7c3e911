//! Small HTTP/1.1 server and client on loopback connections, a thread for each connection.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v)
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.param(name)?.parse().ok()
    }
}

/// Answer to a request; `None` closes the connection without one.
pub type Answer = Option<(u16, Vec<u8>)>;

/// A server whose connections can be closed all at once, as when its process dies.
pub struct Server {
    pub address: SocketAddr,
    is_open: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves on a port of the loopback interface, 0 for a free one.
    pub fn start(
        port: u16,
        handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
    ) -> std::io::Result<Server> {
        let listener = bind(port)?;
        let address = listener.local_addr()?;
        let (is_open, streams) = (Arc::new(AtomicBool::new(true)), Arc::new(Mutex::new(Vec::new())));
        let handler = Arc::new(handler);
        let (open, kept): (Arc<AtomicBool>, Arc<Mutex<Vec<TcpStream>>>) =
            (is_open.clone(), streams.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                if !open.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    kept.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Ok(Server { address, is_open, streams })
    }

    /// Closes the port and all connections.
    pub fn close(&self) {
        self.is_open.store(false, Ordering::SeqCst);
        // Wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Binds a port again that was in use just before.
fn bind(port: u16) -> std::io::Result<TcpListener> {
    let mut tries = 0;
    loop {
        match TcpListener::bind(("127.0.0.1", port)) {
            Err(_) if tries < 100 && port != 0 => {
                tries += 1;
                thread::sleep(Duration::from_millis(10));
            }
            result => return result,
        }
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input) {
        let Some((status, body)) = handler(request) else { break };
        let head = format!(
            "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(body);
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
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
}

fn read_body(input: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let header = |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
    let mut body = Vec::new();
    if header("transfer-encoding") == Some("chunked") {
        loop {
            let mut line = String::new();
            input.read_line(&mut line).ok()?;
            let len = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; len + 2];
            input.read_exact(&mut chunk).ok()?;
            if len == 0 {
                return Some(body);
            }
            body.extend(&chunk[..len]);
        }
    }
    body.resize(header("content-length").map_or(0, |len| len.parse().unwrap_or(0)), 0);
    input.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(input: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(input)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?.to_string();
    let body = read_body(input, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(n, v)| (n.to_string(), decode(v))).collect();
    Some(Request { path: path.to_string(), query, headers, body })
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a connection of its own. Returns status and body; status 0 stands for no answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> (u16, Vec<u8>) {
    let attempt = || -> Option<(u16, Vec<u8>)> {
        let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\nconnection: close\r\n\r\n", body.len()));
        stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        let mut input = BufReader::new(stream);
        let (first, headers) = read_head(&mut input)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        Some((status, read_body(&mut input, &headers)?))
    };
    attempt().unwrap_or_default()
}
