//! Tests of the example deployments and of their documentation.

use std::path::Path;

use rstest::rstest;
use siskinctl::{Code, files};

use crate::{example, run};

#[rstest]
fn check_example(#[values("board", "association")] name: &str) {
    assert_eq!(run(&["check", &example(name)]), (Code::Success, String::new()));
}

#[rstest]
fn key_matches_documented_secret(#[values("board", "association")] name: &str) {
    let readme = std::fs::read_to_string(example("README.md")).unwrap();
    let (set, _) = files::load(Path::new(&example(name))).unwrap();
    assert_eq!(set.keys.len(), 6);
    for key in set.keys.values() {
        let start = format!("`{}.", key.name);
        let after_name = readme.split_once(&start).unwrap().1;
        let secret = after_name.split_once('`').unwrap().0;
        let salt = hex::decode(&*key.salt).unwrap();
        assert_eq!(siskinstile_core::key::hash(&salt, secret), *key.hash);
    }
}

/// Guards against a field of the examples that the operators' documentation does not describe.
#[rstest]
fn fields_documented(#[values("board", "association")] name: &str) {
    let page = std::fs::read_to_string(example("../docs/operators/objects.md")).unwrap();
    let (set, _) = files::load(Path::new(&example(name))).unwrap();
    for (kind, object, value) in set.values() {
        let endpoints = value["endpoints"].as_array().cloned().unwrap_or_default();
        for fields in endpoints.iter().chain([&value]).filter_map(|it| it.as_object()) {
            for field in fields.keys() {
                let row = format!("| `{field}` |");
                assert!(page.contains(&row), "{} {object}: {field}", kind.as_str());
            }
        }
    }
}
