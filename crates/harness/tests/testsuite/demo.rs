//! Runs the demo for the examples; the demo itself checks the responses.

use std::path::Path;

use siskinstile_harness::demo;

#[test]
fn demo_every_example() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    demo::run(&examples, false).unwrap();
}
