//! The daemon: tasks that own the sockets and the state, and call the decision logic of the
//! other crates.
//!
//! [`daemon::Daemon`] starts one instance inside the running `tokio` runtime; the binary
//! `cardamomholdd` does so from a settings file.
//!
//! ```
//! use cardamomhold_daemon::settings;
//!
//! let error = settings::parse(r#"{"instance": "a", "colour": "red"}"#).unwrap_err();
//! assert!(error.to_string().contains("colour"));
//! ```

mod accept;
mod apply;
pub mod attempt;
pub mod batch;
pub mod caller;
pub mod caller_limit;
pub mod change;
pub mod checkout;
pub mod clock;
pub mod codec;
pub mod config;
mod confirmation;
pub mod daemon;
pub mod endpoint;
pub mod execution;
pub mod filter;
pub mod fleet;
pub mod follow;
pub mod gossip;
pub mod group;
pub mod handshake;
pub mod http;
pub mod leaderships;
pub mod local_answer;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod monitor;
pub mod operator;
pub mod overview;
pub mod owner;
pub mod parameters;
pub mod peer;
pub mod plan;
pub mod pull;
pub mod relay;
pub mod request_key;
pub mod settings;
pub mod shutdown;
pub mod stop;
pub mod stream;
pub mod sweep;
pub mod switchover;
pub mod write_gate;
