//! Messages and frames between the instances of a fleet.
