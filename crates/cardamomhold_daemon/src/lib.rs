//! The daemon: tasks that own sockets and state, around the aggregates that decide.
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

mod apply;
pub mod attempt;
pub mod batch;
pub mod border;
pub mod caller;
pub mod change;
pub mod clock;
pub mod config;
pub mod daemon;
pub mod declare;
pub mod endpoint;
pub mod filter;
pub mod fleet;
pub mod follow;
pub mod gossip;
pub mod greet;
pub mod group;
pub mod guard;
pub mod http;
pub mod lane;
pub mod leaderships;
pub mod lease;
pub mod local;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod monitor;
pub mod operator;
pub mod overview;
pub mod owner;
pub mod pass;
pub mod peer;
pub mod plan;
pub mod pull;
pub mod relay;
pub mod seats;
pub mod settings;
mod settle;
pub mod shutdown;
pub mod stop;
pub mod sweep;
pub mod switchover;
pub mod work;
