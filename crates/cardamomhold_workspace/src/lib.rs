//! Workspaces: the customers in whose names callers connect, the keys that identify them, and
//! the limits of their operations. Free of I/O, clocks and randomness.

pub mod access;
pub mod digest;
pub mod directory;
pub mod identity;
