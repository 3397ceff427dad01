//! Answers of endpoints: what their heads and bodies state, and what follows from it over some time.
#![no_main]

#[allow(dead_code)]
#[path = "../../crates/gateway/tests/testsuite/site.rs"]
mod site;

use std::time::Duration;

use arbitrary::Arbitrary;
use hyper::Response;
use libfuzzer_sys::fuzz_target;
use siskinstile_fuzz::codec;
use siskinstile_gateway::call::{Outcome, Step};
use siskinstile_gatewayd::Protocol as _;

use site::Site;

/// An answer to each call that is open, and the time until the next one.
#[derive(Debug, Arbitrary)]
struct Answer {
    status: u16,
    headers: [Option<String>; 4],
    body: Vec<u8>,
    connection_age_ms: u32,
    wait_ms: u16,
}

/// Headers in which an endpoint states something of itself.
const HEADERS: [&str; 4] = ["server-limit", "retry-after", "server-load", "cold-milliseconds"];

fuzz_target!(|answers: Vec<Answer>| {
    let codec = codec();
    let mut site = Site::configured();
    for answer in answers.into_iter().take(8) {
        site.send("/review-again/");
        site.send("/lookup/");
        let mut response = Response::builder().status(answer.status.clamp(100, 599));
        for (name, value) in HEADERS.into_iter().zip(&answer.headers) {
            response = value.iter().fold(response, |it, value| it.header(name, value));
        }
        let Ok(response) = response.body(()) else { continue };
        let (head, ()) = response.into_parts();
        let notice = codec.read_response(&head).notice;
        let status = head.status.as_u16();
        for call in site.calls() {
            let body = &answer.body;
            let outcome = match call.step {
                _ if status >= 500 => Some(Outcome::Refused { status }),
                Step::Hold { .. } => codec.read_hold(body).map(|hold| Outcome::Held { hold }),
                Step::Prefill => codec
                    .read_handle(body)
                    .map(|(handle, tokens)| Outcome::Computed { handle, tokens }),
                Step::Inspect => codec.read_report(body),
                Step::QueryStart => Some(Outcome::StartTold {
                    started_at_ms: codec.read_start(body),
                    connection_age: Duration::from_millis(answer.connection_age_ms.into()),
                }),
                Step::Run { .. } => Some(Outcome::Buffered { status }),
                _ => Some(Outcome::Done),
            };
            site.report_with(call.id, outcome.unwrap_or(Outcome::Refused { status }), notice);
        }
        site.advance(answer.wait_ms.into());
    }
});
