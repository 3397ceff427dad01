//! The form of answers: statuses, identifiers, when to come back.

use rstest::rstest;

use crate::site::{Builder, KEY, bearer, completion, raw, request};

#[rstest]
#[case::path("GET", "/nowhere", "", 404, "not_found")]
#[case::prefix_only("GET", "/lookout", "", 404, "not_found")]
#[case::model("POST", "/v1/completions", "{\"model\":\"z\",\"prompt\":\"a\"}", 404, "not_found")]
#[case::completions("GET", "/v1/completions", "", 405, "method_not_allowed")]
#[case::chat("PUT", "/v1/chat/completions", "", 405, "method_not_allowed")]
#[case::models("POST", "/v1/models", "", 405, "method_not_allowed")]
#[case::plain("DELETE", "/look", "", 405, "method_not_allowed")]
#[case::dots("GET", "/look/../charge", "", 400, "bad_request")]
#[case::escaped_dots("GET", "/look/%2e%2E/charge", "", 400, "bad_request")]
#[case::escaped_slash("GET", "/look/..%2fcharge", "", 400, "bad_request")]
#[case::backslash("GET", "/look\\..\\charge", "", 400, "bad_request")]
fn refused(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] kind: &str,
) {
    let site = Builder::default().spawn();
    let answer = raw(site.daemon.frontend(), request(method, path, &bearer(KEY), body));
    let error = answer.error();
    assert_eq!((answer.status, error["kind"].as_str()), (status, Some(kind)), "{answer:?}");
    assert_eq!(error["ran"], "no");
    assert!(answer.header("retry-after").is_none());
    assert!(site.plain.seen().is_empty());
}

#[test]
fn rate_limited_retry_after() {
    let site = Builder::default().spawn();
    let text = request("GET", "/look", &bearer("small.open-sesame-9"), "");
    let answers = (0..100).map(|_| raw(site.daemon.frontend(), &text));
    let refused = answers.into_iter().find(|it| it.status == 429).expect("a refusal");
    assert_eq!(refused.error()["ran"], "no");
    assert!(refused.header("retry-after").unwrap().parse::<u64>().unwrap() >= 1);
}

#[rstest]
#[case::completion(completion("a", 2, false))]
#[case::streamed(completion("a", 2, true))]
#[case::models(request("GET", "/v1/models", &bearer(KEY), ""))]
#[case::plain(request("GET", "/look", &bearer(KEY), ""))]
fn answered_request_id(#[case] text: String) {
    let site = Builder::default().spawn();
    let answer = raw(site.daemon.frontend(), text);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.header("x-request-id").map(str::len), Some(16));
}
