//! Demo, benchmark, fuzz, policy and capacity commands.
