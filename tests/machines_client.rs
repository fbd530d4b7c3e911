//! Client of the machine service: what a response says about an order.

use jacinthhook::platform::http::HttpResponse;
use jacinthhook::platform::machines::{MachineOutcome, decode_outcome};

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
