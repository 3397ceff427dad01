use siskinstile_core::{error, log};

#[test]
fn codes_match_catalogue() {
    let catalogue = include_str!("../../../../docs/log-events.md");
    for code in log::CODES {
        let level = code.level.as_str().to_lowercase();
        let row = format!("| {} | {level} | {} |", code.number, code.text);
        assert!(catalogue.contains(&row), "no row {row}");
    }
    let rows = catalogue.lines().filter(|line| line.starts_with("| ")).count() - 1;
    assert_eq!(rows, log::CODES.len());
}

#[test]
fn kinds_match_catalogue() {
    let catalogue = include_str!("../../../../docs/errors.md");
    for row in error::TABLE {
        let retryable = if row.retryable { "yes" } else { "no" };
        let row =
            format!("| {} | {} | {retryable} | {} |", row.kind.as_str(), row.status, row.message);
        assert!(catalogue.contains(&row), "no row {row}");
    }
}
