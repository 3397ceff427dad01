//! Tests of the commands against a real instance and a stand-in for the platform.

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

/// Longest wait for a state that a test expects.
const PATIENCE: Duration = Duration::from_secs(10);
/// A demo key of the example with a small rate.
const SMALL_KEY: &str = "visitors-key.demo-yek-srotisiv";

/// An instance with the objects of the Board's example in force.
struct Site {
    platform: Platform,
    daemon: Daemon,
}

impl Site {
    fn spawn() -> Site {
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
        let site = Site { platform, daemon };
        let (code, out) = site.on_platform(&["apply", &example("board")]);
        assert_eq!(code, Code::Success, "{out}");
        // Earlier generations may hold a part of the objects, since they are written one by one.
        let (set, _) = siskinctl::files::load(Path::new(&example("board"))).unwrap();
        wait(|| site.daemon.config().set == set);
        site
    }

    fn on_platform(&self, line: &[&str]) -> (Code, String) {
        let address = self.platform.address().to_string();
        run(&[line, &["--platform", &address]].concat())
    }

    fn on_admin(&self, line: &[&str]) -> (Code, String) {
        let address = self.daemon.admin().to_string();
        run(&[line, &["--admin", &address]].concat())
    }

    /// Sends a request over the team's rate; returns its identifier.
    fn refused_request(&self) -> String {
        let body = json!({"model": "assessor-1", "prompt": "a", "max_tokens": 1_000});
        let answer = attohttpc::post(format!("http://{}/v1/completions", self.daemon.frontend()))
            .header("authorization", format!("Bearer {SMALL_KEY}"))
            .json(&body)
            .unwrap()
            .send()
            .unwrap();
        assert_eq!(answer.status().as_u16(), 429);
        answer.headers()["x-request-id"].to_str().unwrap().to_owned()
    }
}

impl Site {
    /// Sends a lookup to the endpoint of the example, at which nothing listens.
    fn failed_lookup(&self) {
        let url = format!("http://{}/registry/licences/1", self.daemon.frontend());
        let request = attohttpc::get(url).header("authorization", format!("Bearer {SMALL_KEY}"));
        assert_eq!(request.send().unwrap().status().as_u16(), 502);
    }
}

fn wait(done: impl Fn() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < PATIENCE, "not within {PATIENCE:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn parse(out: &str) -> Value {
    serde_json::from_str(out).expect(out)
}

#[test]
fn explain_request() {
    let site = Site::spawn();
    let id = site.refused_request();
    let (code, out) = site.on_admin(&["explain", &id]);
    assert_eq!(code, Code::Success);
    assert!(out.contains(&id) && out.contains("refused: rate_limited"), "{out}");
    let (_, out) = site.on_admin(&["--output", "json", "explain", &id]);
    let decision = parse(&out)["decisions"][0]["decision"].to_string();
    assert!(decision.starts_with("\"refused: rate_limited, team visitors has"), "{decision}");
}

#[rstest]
#[case::unknown("0123456789abcdef")]
#[case::malformed("xyz")]
fn explain_nothing(#[case] id: &str) {
    let site = Site::spawn();
    assert_eq!(site.on_admin(&["explain", id]), (Code::Refused, String::new()));
}

#[test]
fn burn_report() {
    let site = Site::spawn();
    site.refused_request();
    site.failed_lookup();
    let (code, out) = site.on_admin(&["--output", "json", "burn"]);
    assert_eq!(code, Code::Success);
    let rows = parse(&out)["rows"].clone();
    // The refusal over the team's own rate burns nothing.
    assert_eq!(rows.as_array().unwrap().len(), 1, "{out}");
    assert_eq!((&rows[0]["service"], &rows[0]["team"]), (&json!("registry"), &json!("visitors")));
    assert_eq!(rows[0]["windows"][0], json!({ "total": 1, "bad": 1 }));
    assert!(rows[0]["causes"]["endpoint"].as_f64() > Some(0.9), "{out}");
    let (code, out) = site.on_admin(&["burn"]);
    assert_eq!(code, Code::Success);
    assert!(out.contains("visitors"), "{out}");
}

#[test]
fn drain_stops() {
    let site = Site::spawn();
    let (code, out) = site.on_admin(&["drain"]);
    assert_eq!((code, out.as_str()), (Code::Success, "draining: true\n"));
    assert!(site.daemon.wait(PATIENCE));
}

#[test]
fn get_json() {
    let site = Site::spawn();
    let (code, out) = site.on_platform(&["--output", "json", "get", "team", "visitors"]);
    assert_eq!(code, Code::Success);
    let object = &parse(&out)["objects"][0];
    assert_eq!((&object["name"], &object["value"]["rate"]), (&json!("visitors"), &json!(50)));
    let (_, out) = site.on_platform(&["--output", "json", "get", "team"]);
    assert_eq!(parse(&out)["objects"].as_array().unwrap().len(), 5);
}

#[test]
fn status_json() {
    let site = Site::spawn();
    let status = || site.on_platform(&["--output", "json", "status", "team", "visitors"]);
    wait(|| status().0 == Code::Success);
    let object = &parse(&status().1)["objects"][0];
    assert_eq!(object["name"], "team.visitors");
    assert!(object["value"].is_object(), "{object}");
    let missing = site.on_platform(&["status", "team", "nobody"]);
    assert_eq!(missing, (Code::Refused, String::new()));
}

#[rstest]
#[case::explain(&["explain", "0123456789abcdef"])]
#[case::burn(&["burn"])]
#[case::drain(&["drain"])]
fn unreachable(#[case] line: &[&str]) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    assert_eq!(run(&[line, &["--admin", &address]].concat()).0, Code::Unreachable);
}

#[rstest]
fn completions(#[values("bash", "zsh", "fish", "elvish", "powershell")] shell: &str) {
    let (code, out) = run(&["completions", shell]);
    assert_eq!(code, Code::Success);
    for command in ["check", "apply", "get", "status", "explain", "burn", "drain", "key"] {
        assert!(out.contains(command), "{shell}: {command}");
    }
}
