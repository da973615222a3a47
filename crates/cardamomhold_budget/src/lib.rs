//! Bounds on what clients and other instances can make a process hold.
//!
//! [`budget`] is the aggregate, without I/O or clock: bytes are charged before they are held, and
//! when they run short it chooses who gives way. [`accounts`] is the task that owns it, and the
//! handles through which the tasks of connections charge. [`plan`] derives the limits from a
//! machine's memory and descriptors.

pub mod accounts;
pub mod budget;
pub mod plan;
