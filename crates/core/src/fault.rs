//! Faults that tests plant to see that they are caught; nothing plants one in production.

use siskinstile_macros::value;

/// A fault in publication or distribution.
#[value(id)]
pub enum Fault {
    /// Takes and hands over older generations.
    Revert,
    /// Takes a generation before all its chunks are there.
    Partial,
    /// Publishes a set with errors.
    Unchecked,
    /// Publishes past the lease's term and without a condition on the manifest.
    Unfenced,
    /// Takes nothing from other instances and does not watch.
    Deaf,
}
