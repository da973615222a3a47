//! Benchmarks of the decisions, in virtual time.

pub mod dissemination;
