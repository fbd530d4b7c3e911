//! HTTP/1.1 on a socket that the test holds, so that it decides when bytes pass and connections end.

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest request that is read.
const MAX_REQUEST_BYTES: usize = 4 << 20;

pub struct Request {
    pub path: String,
    /// Value of `X-Jacinthhook-Expected-Instance`.
    pub expected_worker: String,
    pub body: Value,
}

pub struct Response {
    pub status: u16,
    pub body: Value,
}

/// Reads the next request into `buf`, which keeps the bytes of an unfinished one: the future may be
/// dropped. Returns `None` at the end of the connection.
pub async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Request> {
    loop {
        if let Some((request, len)) = parse(buf) {
            buf.drain(..len);
            return Some(request);
        }
        if buf.len() > MAX_REQUEST_BYTES || stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
}

/// Reads until the other side ends the connection.
pub async fn read_to_end(stream: &mut TcpStream) {
    let mut ignored = vec![0; 4096];
    while stream.read(&mut ignored).await.is_ok_and(|len| len > 0) {}
}

/// Parses a complete request at the begin of `buf`. Returns it with its length.
fn parse(buf: &[u8]) -> Option<(Request, usize)> {
    let head_len = buf.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buf[..head_len]);
    let mut lines = head.lines();
    let path = lines.next()?.split(' ').nth(1)?.to_string();
    let (mut body_len, mut expected_worker) = (0, String::new());
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        match name.to_ascii_lowercase().as_str() {
            "content-length" => body_len = value.trim().parse().ok()?,
            "x-jacinthhook-expected-instance" => expected_worker = value.trim().to_string(),
            _ => {}
        }
    }
    let body = serde_json::from_slice(buf.get(head_len..head_len + body_len)?).unwrap_or_default();
    Some((Request { path, expected_worker, body }, head_len + body_len))
}

/// Writes a response. Returns whether the connection can go on.
pub async fn write_response(stream: &mut TcpStream, response: &Response) -> bool {
    let body = response.body.to_string();
    let head = format!(
        "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        response.status,
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).await.is_ok()
}
