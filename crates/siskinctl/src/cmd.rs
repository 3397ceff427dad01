//! The subcommands, one module each.

pub mod apply;
pub mod burn;
pub mod check;
pub mod completions;
pub mod drain;
pub mod explain;
pub mod get;
pub mod key;
pub mod status;
