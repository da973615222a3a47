//! Types generated from the schema files: the platform's API, the peer service and the
//! operators' service.
//!
//! The schema files are in `schema/`; `cargo run -p cardamomhold_codegen` regenerates
//! `src/generated/`. The generated code is committed, so that a build needs no generator.
//!
//! ```
//! use cardamomhold_proto::peer;
//!
//! let place = peer::Place { term: 2, log: 7 };
//! assert_eq!(place.term, 2);
//! ```

pub mod entry;

/// The platform's object API.
#[allow(missing_docs, clippy::all)]
#[path = "generated/cardamomhold.platform.v1.rs"]
pub mod platform;

/// The service between instances.
#[allow(missing_docs, clippy::all)]
#[path = "generated/cardamomhold.peer.v1.rs"]
pub mod peer;

/// The operators' service.
#[allow(missing_docs, clippy::all)]
#[path = "generated/cardamomhold.operator.v1.rs"]
pub mod operator;
