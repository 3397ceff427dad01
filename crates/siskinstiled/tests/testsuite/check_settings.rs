//! Validation of settings: errors give the file, the line and the valid values.

use std::{path::Path, process::Command};

use rstest::rstest;
use siskinstiled::Settings;

const VALID: &str = "[instance]
name = \"one\"
datacentre = \"a\"
[platform]
address = \"127.0.0.1:7001\"
[door]
max_connections = 10
[fleet]
size = 6
";

#[rstest]
#[case::unknown_key("size = 6", "sise = 6", 9, "expected `size` or `balancer_lag_ms`")]
#[case::unknown_table("[fleet]", "[flet]", 8, "expected one of `instance`, `door`, `admin`")]
#[case::missing("name = \"one\"", "", 1, "missing field `name`")]
#[case::wrong_type("size = 6", "size = \"six\"", 9, "expected u64")]
#[case::negative("size = 6", "size = -6", 9, "expected u64")]
#[case::bad_address("127.0.0.1:7001", "platform:7001", 5, "invalid socket address")]
#[case::syntax("size = 6", "size = = 6", 9, "line 9, column 8")]
#[case::zero("size = 6", "size = 0", 9, "fleet.size is 0; it must be from 1 to 100000")]
#[case::no_connections("= 10", "= 0", 7, "door.max_connections is 0; it must be from 1")]
#[case::empty_name("\"one\"", "\"\"", 2, "instance.name is \"\"; it must be letters")]
#[case::port("127.0.0.1:7001", "127.0.0.1:0", 5, "give the platform's port")]
#[case::no_limit("= 10", "= 10\nhead_limit_ms = 0", 8, "door.head_limit_ms is 0")]
#[case::long_lag("size = 6", "balancer_lag_ms = 9999999", 9, "must be from 1 to 600000")]
fn settings_refused(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] line: usize,
    #[case] expected: &str,
) {
    let dir = std::env::temp_dir().join(format!("siskinstile-{:016x}", rand::random::<u64>()));
    std::fs::create_dir(&dir).unwrap();
    let file = dir.join("settings.toml");
    std::fs::write(&file, VALID.replacen(valid, invalid, 1)).unwrap();
    let error = format!("{:#}", Settings::open(&file).unwrap_err());
    std::fs::remove_dir_all(&dir).unwrap();
    assert!(error.contains(&file.display().to_string()), "{error}");
    assert!(error.contains(&format!("line {line}")), "{error}");
    assert!(error.contains(expected), "{error}");
}

#[test]
fn settings_refused_all_problems() {
    let text = VALID.replace("= 10", "= 0").replace("= 6", "= 0");
    let error = Settings::parse(&text).unwrap_err().to_string();
    assert!(error.contains("line 7: door.max") && error.contains("line 9: fleet.size"), "{error}");
}

#[test]
fn settings_defaults() {
    let text =
        "[instance]\nname = \"one\"\ndatacentre = \"a\"\n[platform]\naddress = \"127.0.0.1:7001\"";
    let settings = Settings::parse(text).unwrap();
    assert_eq!((settings.frontend.max_connections, settings.fleet.size), (1_024, 6));
}

fn example() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/siskinstiled.toml")
}

/// The example contains every setting, with its default value if it has one.
#[test]
fn example_complete() {
    let settings = Settings::open(&example()).unwrap();
    let text = std::fs::read_to_string(example()).unwrap();
    let written: toml::Table = toml::from_str(&text).unwrap();
    assert_eq!(toml::Table::try_from(&settings).unwrap(), written);
    assert_eq!(settings.frontend, siskinstiled::settings::Frontend::default());
    assert_eq!(settings.admin, siskinstiled::settings::Admin::default());
    assert_eq!(settings.fleet, siskinstiled::settings::Fleet::default());
}

/// The operators' page on settings describes every setting of the example.
#[test]
fn example_documented() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/settings.md");
    let page = std::fs::read_to_string(page).unwrap();
    let text = std::fs::read_to_string(example()).unwrap();
    for (table, keys) in toml::from_str::<toml::Table>(&text).unwrap() {
        for key in keys.as_table().unwrap().keys() {
            assert!(page.contains(&format!("`{table}.{key}`")), "{table}.{key}");
        }
    }
}

#[test]
fn process_check_only() {
    let run = |file: &Path| {
        let binary = env!("CARGO_BIN_EXE_siskinstiled");
        Command::new(binary).arg("--check").arg("--config").arg(file).output().unwrap()
    };
    assert_eq!(run(&example()).status.code(), Some(0));
    let missing = run(Path::new("/nowhere/settings.toml"));
    assert_eq!(missing.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("/nowhere/settings.toml"));
}
