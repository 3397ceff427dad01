//! Tests of `check`.

use rstest::rstest;
use siskinctl::Code;

use crate::run;

#[rstest]
#[case::syntax("[[team]]\nname = \"t\"\nrate = x\n", "line 3")]
#[case::field("[[team]]\nname = \"t\"\nrate = 1\nburst = 1\nrat = 1\n", "line 5")]
#[case::duplicate(
    "[[team]]\nname = \"t\"\nrate = 1\nburst = 1\n[[team]]\nname = \"t\"\nrate = 1\nburst = 1\n",
    "team `t` is defined twice"
)]
#[case::violation("[[team]]\nname = \"t\"\nrate = 0\nburst = 1\n", "team `t`, rate: is 0")]
fn check_refused(#[case] text: &str, #[case] expected: &str) {
    let dir = tempfile::tempdir().unwrap();
    std::fs::write(dir.path().join("a.toml"), text).unwrap();
    let (code, out) = run(&["check", dir.path().to_str().unwrap()]);
    assert_eq!(code, Code::Refused);
    assert!(out.contains(expected), "{out}");
}
