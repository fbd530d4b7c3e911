//! Client of the machine service: what a response says about an order, and unreadable pages. A local
//! listener stands in for the service.

use jacinthhook::platform::http::{Http, HttpResponse};
use jacinthhook::platform::machines::{MachineOutcome, Machines, decode_outcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn outcome(status: u16, body: &'static str) -> MachineOutcome {
    decode_outcome(&HttpResponse { status, body: body.into() })
}

/// Guards against taking an order for rejected that a gateway gave up: it may still take the machine
/// away, on which tasks would start meanwhile.
#[test]
fn decode_outcome_unclear_status() {
    for status in [500, 502, 504] {
        assert_eq!(outcome(status, "{}"), MachineOutcome::Unknown, "{status}");
    }
    for status in [403, 429, 503] {
        assert_eq!(outcome(status, "{}"), MachineOutcome::Refused, "{status}");
    }
}

/// Guards against skipping a machine of a wave on a rejection without a readable reason: the wave
/// would be reported as complete without it.
#[test]
fn decode_outcome_unreadable_reason() {
    for body in ["", "{", "{}", r#"{"reason":"other"}"#] {
        assert_eq!(outcome(409, body), MachineOutcome::Refused, "{body}");
    }
    assert_eq!(outcome(409, r#"{"reason":"wave"}"#), MachineOutcome::Unfit);
    assert_eq!(outcome(409, r#"{"reason":"busy"}"#), MachineOutcome::Busy);
    assert_eq!(outcome(409, r#"{"reason":"fence"}"#), MachineOutcome::Fenced);
    assert_eq!(outcome(400, "{}"), MachineOutcome::Unfit);
}

/// Guards against taking an unreadable page for a fleet without machines: every wave would be
/// complete.
#[tokio::test]
async fn list_unreadable_page() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buf = [0; 1_024];
        let _ = stream.read(&mut buf).await.expect("a request");
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\noops";
        stream.write_all(response).await.expect("a response");
    });
    assert_eq!(Machines::new(Http::new(), address).list().await, None);
}
