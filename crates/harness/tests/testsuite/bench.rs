//! Runs the benchmark with small numbers; only its output lines are checked, not the figures.

use std::process::Command;

#[test]
fn bench_small() {
    let output = Command::new(env!("CARGO_BIN_EXE_bench"))
        .args(["--requests", "2", "--streams", "3", "--seconds", "1"])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    for line in ["first token, door", "between tokens, direct", "cores", "KiB resident"] {
        assert!(text.contains(line), "{line}: {text}");
    }
}
