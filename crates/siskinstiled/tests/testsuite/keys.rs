//! API keys: all invalid ones get the same error, and none reaches an endpoint or a report.

use rstest::rstest;
use serde_json::{Value, json};

use crate::fixture::{Builder, Fixture, KEY, WITHDRAWN, bearer, completion, request, send};

const SECRET: &str = "open-sesame-1234";

#[rstest]
#[case::completion("POST", "/v1/completions")]
#[case::models("GET", "/v1/models")]
#[case::plain("GET", "/look")]
fn key_refused_with_same_message(#[case] method: &str, #[case] path: &str) {
    let fixture = Builder::default().spawn();
    let headers = [
        String::new(),
        bearer("k.wrong"),
        bearer("nobody.open-sesame-1234"),
        bearer(WITHDRAWN),
        bearer(""),
        format!("authorization: Basic {KEY}\r\n"),
    ];
    let messages = headers.map(|headers| {
        let response = send(fixture.daemon.frontend(), request(method, path, &headers, ""));
        let error = response.error();
        assert_eq!((response.status, &error["kind"]), (401, &"unauthorized".into()), "{headers}");
        assert_eq!(error["ran"], "no");
        error["message"].as_str().unwrap().to_owned()
    });
    assert!(messages.iter().all(|it| *it == messages[0]), "{messages:?}");
    assert!(fixture.plain.transcripts().is_empty());
}

fn received_requests(fixture: &Fixture) -> String {
    let engines = fixture.prefills.iter().chain([&fixture.decode]).flat_map(|it| it.transcripts());
    engines.chain(fixture.plain.transcripts()).collect()
}

#[test]
fn key_hidden_from_endpoints() {
    let fixture = Builder::default().spawn();
    let headers = format!(
        "{}cookie: key={KEY}\r\nx-api-key: {KEY}\r\nx-other: {SECRET}\r\nx-kept: yes\r\n\
         x-request-id: mine\r\nconnection: x-hop\r\nx-hop: no\r\n",
        bearer(KEY)
    );
    let text = request("GET", "/look?a=b", &headers, "").replacen("connection: close\r\n", "", 1);
    let mut stream = crate::fixture::connect(fixture.daemon.frontend());
    std::io::Write::write_all(&mut stream, text.as_bytes()).unwrap();
    crate::fixture::read_until(&stream, "0\r\n\r\n");
    assert_eq!(send(fixture.daemon.frontend(), completion("a", 2, true)).status, 200);
    let received = received_requests(&fixture);
    assert!(
        received.contains("/look?a=b") && received.to_lowercase().contains("x-kept: yes"),
        "{received}"
    );
    assert!(!received.contains(SECRET) && !received.contains("mine"), "{received}");
    assert!(!received.to_lowercase().contains("x-hop"), "{received}");
}

#[rstest]
#[case::query(format!("/look?key={KEY}"))]
#[case::escaped("/look?key=k.open%2Dsesame%2D1234".to_owned())]
#[case::path(format!("/look/{SECRET}"))]
fn key_refused_in_path(#[case] path: String) {
    let fixture = Builder::default().spawn();
    let response = send(fixture.daemon.frontend(), request("GET", &path, &bearer(KEY), ""));
    assert_eq!((response.status, &response.error()["kind"]), (400, &"bad_request".into()));
    assert!(!response.body.contains(SECRET) && fixture.plain.transcripts().is_empty());
}

#[test]
fn key_hidden_from_reports() {
    let fixture = Builder::default().spawn();
    let response = send(fixture.daemon.frontend(), request("GET", "/look", &bearer(KEY), ""));
    let id = response.header("x-request-id").unwrap();
    for path in ["/status", "/burn", "/metrics", &format!("/explain/{id}")] {
        let report = send(fixture.daemon.admin(), request("GET", path, "", ""));
        assert_eq!(report.status, 200, "{path}");
        assert!(!report.body.contains(SECRET), "{path}");
    }
}

#[test]
fn models_listed() {
    let fixture = Builder::default().spawn();
    let response = send(fixture.daemon.frontend(), request("GET", "/v1/models", &bearer(KEY), ""));
    let body: Value = serde_json::from_str(&response.body).unwrap();
    assert_eq!(
        body,
        json!({"object": "list",
        "data": [{"id": "m", "object": "model"}, {"id": "n", "object": "model"}]})
    );
}
