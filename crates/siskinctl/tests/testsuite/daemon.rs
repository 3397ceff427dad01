//! Tests of the commands against a real instance and a fake platform.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::Path,
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use serde_json::{Value, json};
use siskinctl::Code;
use siskinstile_fakes::Platform;
use siskinstiled::{Daemon, Settings, settings};

use crate::{example, run};

/// Maximum time to wait for a state that a test expects.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// API key in the `board` example of a team with a low rate limit.
const VISITORS_KEY: &str = "visitors-key.demo-yek-srotisiv";

/// An instance with the objects of the `board` example in force.
struct Fixture {
    platform: Platform,
    daemon: Daemon,
}

impl Fixture {
    fn spawn() -> Fixture {
        let platform = Platform::spawn().unwrap();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let daemon = Daemon::spawn(&Settings {
            instance: settings::Instance { name: "one".into(), datacentre: "lk-west-1".into() },
            frontend: settings::Frontend { listen: any, ..settings::Frontend::default() },
            admin: settings::Admin { listen: any },
            peer: None,
            platform: settings::Platform { address: platform.address() },
            fleet: settings::Fleet { size: 1, balancer_lag_ms: 100 },
        })
        .unwrap();
        let record = json!({"name": "one", "address": daemon.frontend().to_string(),
            "admin": daemon.admin().to_string(), "datacentre": "lk-west-1", "incarnation": 1,
            "state": "live"});
        let url = format!("http://{}/instances/one", platform.address());
        attohttpc::put(url).json(&record).unwrap().send().unwrap();
        let fixture = Fixture { platform, daemon };
        let (code, out) = fixture.run_on_platform(&["apply", &example("board")]);
        assert_eq!(code, Code::Success, "{out}");
        // Objects are written one by one, so earlier generations may contain only some of them.
        let (set, _) = siskinctl::files::load(Path::new(&example("board"))).unwrap();
        wait_until(|| fixture.daemon.config().set == set);
        fixture
    }

    fn run_on_platform(&self, line: &[&str]) -> (Code, String) {
        let address = self.platform.address().to_string();
        run(&[line, &["--platform", &address]].concat())
    }

    fn run_on_admin(&self, line: &[&str]) -> (Code, String) {
        let address = self.daemon.admin().to_string();
        run(&[line, &["--admin", &address]].concat())
    }

    /// Sends a request that exceeds the team's rate limit; returns its identifier.
    fn send_refused_request(&self) -> String {
        let body = json!({"model": "assessor-1", "prompt": "a", "max_tokens": 1_000});
        let answer = attohttpc::post(format!("http://{}/v1/completions", self.daemon.frontend()))
            .header("authorization", format!("Bearer {VISITORS_KEY}"))
            .json(&body)
            .unwrap()
            .send()
            .unwrap();
        assert_eq!(answer.status().as_u16(), 429);
        answer.headers()["x-request-id"].to_str().unwrap().to_owned()
    }
}

impl Fixture {
    /// Sends a lookup, which fails since nothing listens at the endpoint's address in the example.
    fn send_failed_lookup(&self) {
        let url = format!("http://{}/registry/licences/1", self.daemon.frontend());
        let request = attohttpc::get(url).header("authorization", format!("Bearer {VISITORS_KEY}"));
        assert_eq!(request.send().unwrap().status().as_u16(), 502);
    }
}

fn wait_until(done: impl Fn() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < MAX_WAIT, "not within {MAX_WAIT:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn parse(out: &str) -> Value {
    serde_json::from_str(out).expect(out)
}

#[test]
fn explain_request() {
    let fixture = Fixture::spawn();
    let id = fixture.send_refused_request();
    let (code, out) = fixture.run_on_admin(&["explain", &id]);
    assert_eq!(code, Code::Success);
    assert!(out.contains(&id) && out.contains("refused: rate_limited"), "{out}");
    let (_, out) = fixture.run_on_admin(&["--output", "json", "explain", &id]);
    let decision = parse(&out)["decisions"][0]["decision"].to_string();
    assert!(decision.starts_with("\"refused: rate_limited, team visitors has"), "{decision}");
}

#[rstest]
#[case::unknown("0123456789abcdef")]
#[case::malformed("xyz")]
fn explain_not_found(#[case] id: &str) {
    let fixture = Fixture::spawn();
    assert_eq!(fixture.run_on_admin(&["explain", id]), (Code::Refused, String::new()));
}

#[test]
fn burn_report() {
    let fixture = Fixture::spawn();
    fixture.send_refused_request();
    fixture.send_failed_lookup();
    let (code, out) = fixture.run_on_admin(&["--output", "json", "burn"]);
    assert_eq!(code, Code::Success);
    let rows = parse(&out)["rows"].clone();
    // A refusal because of the team's own rate limit does not consume error budget.
    assert_eq!(rows.as_array().unwrap().len(), 1, "{out}");
    assert_eq!((&rows[0]["service"], &rows[0]["team"]), (&json!("registry"), &json!("visitors")));
    assert_eq!(rows[0]["windows"][0], json!({ "total": 1, "bad": 1 }));
    assert!(rows[0]["causes"]["endpoint"].as_f64() > Some(0.9), "{out}");
    let (code, out) = fixture.run_on_admin(&["burn"]);
    assert_eq!(code, Code::Success);
    assert!(out.contains("visitors"), "{out}");
}

#[test]
fn drain_stops() {
    let fixture = Fixture::spawn();
    let (code, out) = fixture.run_on_admin(&["drain"]);
    assert_eq!((code, out.as_str()), (Code::Success, "draining: true\n"));
    assert!(fixture.daemon.wait(MAX_WAIT));
}

#[test]
fn get_json() {
    let fixture = Fixture::spawn();
    let (code, out) = fixture.run_on_platform(&["--output", "json", "get", "team", "visitors"]);
    assert_eq!(code, Code::Success);
    let object = &parse(&out)["objects"][0];
    assert_eq!((&object["name"], &object["value"]["rate"]), (&json!("visitors"), &json!(50)));
    let (_, out) = fixture.run_on_platform(&["--output", "json", "get", "team"]);
    assert_eq!(parse(&out)["objects"].as_array().unwrap().len(), 5);
}

#[test]
fn status_json() {
    let fixture = Fixture::spawn();
    let status = || fixture.run_on_platform(&["--output", "json", "status", "team", "visitors"]);
    wait_until(|| status().0 == Code::Success);
    let object = &parse(&status().1)["objects"][0];
    assert_eq!(object["name"], "team.visitors");
    assert!(object["value"].is_object(), "{object}");
    let missing = fixture.run_on_platform(&["status", "team", "nobody"]);
    assert_eq!(missing, (Code::Refused, String::new()));
}

#[rstest]
#[case::explain(&["explain", "0123456789abcdef"])]
#[case::burn(&["burn"])]
#[case::drain(&["drain"])]
fn admin_unreachable(#[case] line: &[&str]) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    assert_eq!(run(&[line, &["--admin", &address]].concat()).0, Code::Unreachable);
}

#[rstest]
fn completions_list_commands(#[values("bash", "zsh", "fish", "elvish", "powershell")] shell: &str) {
    let (code, out) = run(&["completions", shell]);
    assert_eq!(code, Code::Success);
    for command in ["check", "apply", "get", "status", "explain", "burn", "drain", "key"] {
        assert!(out.contains(command), "{shell}: {command}");
    }
}
