//! Limits of workspaces' operations over all instances together: who grants tokens
//! ([`tenure`]), how many ([`allocator`]), and who may use them until when ([`allowance`]).
//! [`limiter`] combines the three to the state of one instance.
//!
//! The functions receive events and the current time and return decisions; they do no I/O.
//! docs/design/limits.md has the arithmetic.

pub mod allocator;
pub mod allowance;
pub mod bounds;
pub mod limiter;
pub mod message;
pub mod reserve;
mod stock;
pub mod tenure;
