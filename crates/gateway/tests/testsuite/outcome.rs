//! What callers are told of requests that may have run.

use rstest::rstest;
use siskinstile_gateway::call::Outcome;

use crate::site::{Site, broken};

/// A request that an endpoint holds at its route's timeout may have run: no promise is given.
#[test]
fn timeout_run_open() {
    let mut site = Site::open();
    let id = site.send("/issue/");
    site.call();
    site.pass(900);
    assert_eq!(site.failure(id).map(|it| it.0), Some(504));
}

#[rstest]
#[case::connection_refused(broken(false), 1)]
#[case::reset_after_send(broken(true), 0)]
#[case::not_run(Outcome::Refused { status: 503 }, 0)]
fn resend_once(#[case] outcome: Outcome, #[case] calls: usize) {
    let mut site = Site::open();
    site.send("/issue/");
    let call = site.call();
    site.report(call.id, outcome);
    assert_eq!(site.calls().len(), calls);
}

#[rstest]
#[case::reset(broken(true))]
#[case::server_error(Outcome::Buffered { status: 500 })]
#[case::not_run(Outcome::Refused { status: 503 })]
fn resend_idempotent(#[case] outcome: Outcome) {
    let mut site = Site::open();
    site.send("/lookup/");
    let first = site.call();
    site.report(first.id, outcome);
    let second = site.call();
    assert_ne!(first.endpoint.id, second.endpoint.id);
}

/// An endpoint's 503 that has run is no promise that it has not.
#[test]
fn status_false_promise() {
    let mut site = Site::open();
    let id = site.send("/issue/");
    let call = site.call();
    site.report(call.id, Outcome::Buffered { status: 503 });
    assert_eq!(site.failure(id).map(|it| it.0), Some(502));
}
