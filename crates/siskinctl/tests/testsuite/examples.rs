//! Tests of the example deployments.

use std::path::Path;

use rstest::rstest;
use siskinctl::{Code, files};

use crate::{example, run};

#[rstest]
fn check_example(#[values("board", "association")] name: &str) {
    assert_eq!(run(&["check", &example(name)]), (Code::Success, String::new()));
}

#[rstest]
fn hash_documented(#[values("board", "association")] name: &str) {
    let readme = std::fs::read_to_string(example("README.md")).unwrap();
    let (set, _) = files::load(Path::new(&example(name))).unwrap();
    assert_eq!(set.keys.len(), 6);
    for key in set.keys.values() {
        let start = format!("`{}.", key.name);
        let rest = readme.split_once(&start).unwrap().1;
        let secret = rest.split_once('`').unwrap().0;
        let salt = hex::decode(&*key.salt).unwrap();
        assert_eq!(siskinstile_core::key::hash(&salt, secret), *key.hash);
    }
}
