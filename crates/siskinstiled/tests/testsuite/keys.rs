//! Keys: one answer for every bad one, and none reaches an endpoint, a log or a report.

use rstest::rstest;
use serde_json::{Value, json};

use crate::site::{Builder, KEY, Site, WITHDRAWN, bearer, completion, raw, request};

const SECRET: &str = "open-sesame-1234";

#[rstest]
#[case::completion("POST", "/v1/completions")]
#[case::models("GET", "/v1/models")]
#[case::plain("GET", "/look")]
fn refused_alike(#[case] method: &str, #[case] path: &str) {
    let site = Builder::default().spawn();
    let headers = [
        String::new(),
        bearer("k.wrong"),
        bearer("nobody.open-sesame-1234"),
        bearer(WITHDRAWN),
        bearer(""),
        format!("authorization: Basic {KEY}\r\n"),
    ];
    let messages = headers.map(|headers| {
        let answer = raw(site.daemon.frontend(), request(method, path, &headers, ""));
        let error = answer.error();
        assert_eq!((answer.status, &error["kind"]), (401, &"unauthorized".into()), "{headers}");
        assert_eq!(error["ran"], "no");
        error["message"].as_str().unwrap().to_owned()
    });
    assert!(messages.iter().all(|it| *it == messages[0]), "{messages:?}");
    assert!(site.plain.seen().is_empty());
}

fn seen(site: &Site) -> String {
    let engines = site.prefills.iter().chain([&site.decode]).flat_map(|it| it.seen());
    engines.chain(site.plain.seen()).collect()
}

#[test]
fn hidden_from_endpoints() {
    let site = Builder::default().spawn();
    let headers = format!(
        "{}cookie: key={KEY}\r\nx-api-key: {KEY}\r\nx-other: {SECRET}\r\nx-kept: yes\r\n\
         x-request-id: mine\r\nconnection: x-hop\r\nx-hop: no\r\n",
        bearer(KEY)
    );
    let text = request("GET", "/look?a=b", &headers, "").replacen("connection: close\r\n", "", 1);
    let mut stream = crate::site::connect(site.daemon.frontend());
    std::io::Write::write_all(&mut stream, text.as_bytes()).unwrap();
    crate::site::read_until(&stream, "0\r\n\r\n");
    assert_eq!(raw(site.daemon.frontend(), completion("a", 2, true)).status, 200);
    let seen = seen(&site);
    assert!(seen.contains("/look?a=b") && seen.to_lowercase().contains("x-kept: yes"), "{seen}");
    assert!(!seen.contains(SECRET) && !seen.contains("mine"), "{seen}");
    assert!(!seen.to_lowercase().contains("x-hop"), "{seen}");
}

#[rstest]
#[case::query(format!("/look?key={KEY}"))]
#[case::escaped("/look?key=k.open%2Dsesame%2D1234".to_owned())]
#[case::path(format!("/look/{SECRET}"))]
fn refused_in_path(#[case] path: String) {
    let site = Builder::default().spawn();
    let answer = raw(site.daemon.frontend(), request("GET", &path, &bearer(KEY), ""));
    assert_eq!((answer.status, &answer.error()["kind"]), (400, &"bad_request".into()));
    assert!(!answer.body.contains(SECRET) && site.plain.seen().is_empty());
}

#[test]
fn hidden_from_reports() {
    let site = Builder::default().spawn();
    let answer = raw(site.daemon.frontend(), request("GET", "/look", &bearer(KEY), ""));
    let id = answer.header("x-request-id").unwrap();
    for path in ["/status", "/burn", "/metrics", &format!("/explain/{id}")] {
        let report = raw(site.daemon.admin(), request("GET", path, "", ""));
        assert_eq!(report.status, 200, "{path}");
        assert!(!report.body.contains(SECRET), "{path}");
    }
}

#[test]
fn models_listed() {
    let site = Builder::default().spawn();
    let answer = raw(site.daemon.frontend(), request("GET", "/v1/models", &bearer(KEY), ""));
    let body: Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(
        body,
        json!({"object": "list",
        "data": [{"id": "m", "object": "model"}, {"id": "n", "object": "model"}]})
    );
}
