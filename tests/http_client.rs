//! Whether the client of the platform's services tells calls that were not sent from calls without a
//! response. A local listener stands in for the service.

use bytes::Bytes;
use hyper::Method;
use jacinthhook::platform::http::{Call, CallFailure, Http, HttpResponse};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

async fn post(http: &Http, address: SocketAddr) -> Result<HttpResponse, CallFailure> {
    let call = Call {
        method: Method::POST,
        address: &address.to_string(),
        path: "/-/hold?x=1",
        headers: &[("x-test", "1")],
        body: Bytes::from_static(b"{}"),
        timeout: Duration::from_millis(300),
    };
    http.call(call).await
}

/// Reads one request; returns its text.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut buf = vec![0; 4_096];
    let mut len = 0;
    while !buf[..len].ends_with(b"\r\n\r\n{}") {
        let read = stream.read(&mut buf[len..]).await.expect("a request");
        assert!(read > 0, "the request ends early");
        len += read;
    }
    String::from_utf8_lossy(&buf[..len]).into_owned()
}

/// Guards against reporting a call as unknown although no connection was made.
#[tokio::test]
async fn call_refused_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    assert_eq!(post(&Http::new(), address).await.err(), Some(CallFailure::NotSent));
}

/// Guards against reporting a call as not sent after the service has read it: the order would go to
/// another worker as well.
#[tokio::test]
async fn call_without_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let service = tokio::spawn(async move {
        // The first connection is closed after the request, the second one stays silent.
        let (mut closed, _) = listener.accept().await.expect("a connection");
        read_request(&mut closed).await;
        drop(closed);
        let (mut silent, _) = listener.accept().await.expect("a connection");
        read_request(&mut silent).await;
        silent
    });
    let http = Http::new();
    assert_eq!(post(&http, address).await.err(), Some(CallFailure::NoResponse));
    assert_eq!(post(&http, address).await.err(), Some(CallFailure::NoResponse));
    service.await.expect("the service");
}

/// Calls share a connection, and the service gets path, host, headers and body.
#[tokio::test]
async fn call_keeps_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let service = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut requests = Vec::new();
        for _ in 0..2 {
            requests.push(read_request(&mut stream).await.to_lowercase());
            stream.write_all(RESPONSE).await.expect("a response");
        }
        requests
    });
    let http = Http::new();
    for _ in 0..2 {
        let response = post(&http, address).await.expect("a response");
        assert_eq!((response.status, &response.body[..]), (200, &b"{}"[..]));
    }
    let requests = service.await.expect("the service");
    assert!(requests[0].starts_with("post /-/hold?x=1 http/1.1\r\n"), "{}", requests[0]);
    assert!(requests[0].contains(&format!("host: {address}\r\n")), "{}", requests[0]);
    assert!(requests[1].contains("x-test: 1\r\n"), "{}", requests[1]);
}

/// The service closes a connection that it kept, after it has read the next request. Guards against
/// sending that request again on another connection, and against reporting it as not sent.
#[tokio::test]
async fn call_kept_connection_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let service = tokio::spawn(async move {
        let (mut kept, _) = listener.accept().await.expect("a connection");
        read_request(&mut kept).await;
        kept.write_all(RESPONSE).await.expect("a response");
        read_request(&mut kept).await;
        drop(kept);
        let next = tokio::time::timeout(Duration::from_millis(300), listener.accept()).await;
        assert!(next.is_err(), "the request was sent again");
    });
    let http = Http::new();
    assert!(post(&http, address).await.is_ok());
    assert_eq!(post(&http, address).await.err(), Some(CallFailure::NoResponse));
    service.await.expect("the service");
}

/// Guards against an order that is written after its permit ended while the connection was made.
#[tokio::test]
async fn connection_call_permit_ended() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener's address").to_string();
    let http = Http::new();
    for is_permitted in [true, false] {
        let call = Call {
            method: Method::POST,
            address: &address,
            path: "/-/run-start",
            headers: &[],
            body: Bytes::from_static(b"{}"),
            timeout: Duration::from_millis(300),
        };
        let received = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut buf = Vec::new();
            // Ends with the connection, which the client closes after the timeout.
            let _ = stream.read_to_end(&mut buf).await;
            buf
        };
        let sent = async {
            let mut connection = http.connect(&address).await?;
            connection.call(call, Some(Arc::new(move || is_permitted))).await
        };
        let (result, received) = tokio::join!(sent, received);
        assert_eq!(result.expect_err("there is no response"), CallFailure::NoResponse);
        assert_eq!(received.ends_with(b"\r\n\r\n{}"), is_permitted, "{received:?}");
    }
}
