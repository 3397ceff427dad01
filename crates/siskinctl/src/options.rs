//! Values of options that several subcommands accept.

use clap::ValueEnum;
use siskinstile_core::object::Kind;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Human-readable lines.
    Text,
    /// One JSON document.
    Json,
}

/// Parses the name of an object kind; the error lists the valid names.
pub(crate) fn parse_kind(name: &str) -> Result<Kind, String> {
    Kind::parse(name).ok_or_else(|| {
        let kinds = Kind::ALL.map(Kind::as_str).join(", ");
        format!("no such kind; use one of {kinds}")
    })
}
