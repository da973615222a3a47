//! The edge to the platform: objects with versions, conditional updates, watches, instances.
//!
//! [`client::Platform`] is the trait that the daemon is written against;
//! [`client::GrpcPlatform`] speaks the platform's published protocol.
//!
//! ```
//! use cardamomhold_platform::client;
//!
//! let error = client::PlatformError::Timeout;
//! assert!(!error.is_certain());
//! ```

pub mod client;
