//! What the slopes come to at the target size.

use anyhow::Context as _;

use super::Slopes;

/// Line of the page before the table.
const BEGIN: &str = "<!-- table: begin -->";
/// Line of the page after the table.
const END: &str = "<!-- table: end -->";

/// Returns the table.
pub fn table(_slopes: &Slopes) -> String {
    String::new()
}

/// Returns the page with the table that the slopes give.
///
/// # Errors
///
/// The page lacks the lines around the table.
pub fn replace(page: &str, slopes: &Slopes) -> anyhow::Result<String> {
    let (before, rest) = page.split_once(BEGIN).context("no line that begins the table")?;
    let (_, after) = rest.split_once(END).context("no line that ends the table")?;
    Ok(format!("{before}{BEGIN}\n{}{END}{after}", table(slopes)))
}
