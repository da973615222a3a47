//! Access to the platform: versioned objects, conditional updates, watches and instances.
//!
//! The daemon uses the trait [`client::Platform`]; [`client::GrpcPlatform`] implements it for
//! the platform's published protocol.
//!
//! ```
//! use cardamomhold_platform::client;
//!
//! let error = client::PlatformError::Timeout;
//! assert!(!error.had_no_effect());
//! ```

pub mod client;
