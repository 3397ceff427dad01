//! Responses: statuses, error kinds, request identifiers and `retry-after`.

use rstest::rstest;

use crate::fixture::{Builder, KEY, bearer, completion, request, send};

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
fn request_refused(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] kind: &str,
) {
    let fixture = Builder::default().spawn();
    let response = send(fixture.daemon.frontend(), request(method, path, &bearer(KEY), body));
    let error = response.error();
    assert_eq!((response.status, error["kind"].as_str()), (status, Some(kind)), "{response:?}");
    assert_eq!(error["ran"], "no");
    assert!(response.header("retry-after").is_none());
    assert!(fixture.plain.transcripts().is_empty());
}

#[test]
fn rate_limited_retry_after() {
    let fixture = Builder::default().spawn();
    let text = request("GET", "/look", &bearer("small.open-sesame-9"), "");
    let responses = (0..100).map(|_| send(fixture.daemon.frontend(), &text));
    let refused = responses.into_iter().find(|it| it.status == 429).expect("a refusal");
    assert_eq!(refused.error()["ran"], "no");
    assert!(refused.header("retry-after").unwrap().parse::<u64>().unwrap() >= 1);
}

#[rstest]
#[case::completion(completion("a", 2, false))]
#[case::streamed(completion("a", 2, true))]
#[case::models(request("GET", "/v1/models", &bearer(KEY), ""))]
#[case::plain(request("GET", "/look", &bearer(KEY), ""))]
fn response_request_id(#[case] text: String) {
    let fixture = Builder::default().spawn();
    let response = send(fixture.daemon.frontend(), text);
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.header("x-request-id").map(str::len), Some(16));
}
