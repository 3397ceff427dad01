//! The catalogue of log events.

use siskinstile_gateway::record;

#[test]
fn codes_match_catalogue() {
    let catalogue = include_str!("../../../../docs/log-events-gateway.md");
    for code in record::CODES {
        let level = code.level.as_str().to_lowercase();
        let row = format!("| {} | {level} | {} |", code.number, code.text);
        assert!(catalogue.contains(&row), "no row {row}");
    }
    let rows = catalogue.lines().filter(|line| line.starts_with("| ")).count() - 1;
    assert_eq!(rows, record::CODES.len());
}
