//! Accepts the connections of other instances.

use std::time;

use cardamomhold_budget::accounts;
use cardamomhold_budget::budget;
use tokio::net::TcpListener;

use crate::link;
use crate::relay::frame;
use crate::relay::owner;

/// Delay after a failed accept, mostly caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Serves other instances until the process ends. While this instance leaves, it still serves those
/// that haven't learnt it; from [`stop::Phase::Ending`] on it only finishes open transactions.
pub fn start<L: link::Link>(listener: TcpListener, context: owner::Context<L>) {
    start_charged(listener, context, accounts::Handle::unlimited());
}

/// As [`start`], with the connections and their frames charged to `accounts`.
pub fn start_charged<L: link::Link>(
    listener: TcpListener,
    context: owner::Context<L>,
    accounts: accounts::Handle,
) {
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    // Without an account, the connection is closed.
                    if let Some(account) = accounts.open(budget::Kind::Peer).await {
                        let frames = frame::Frames::charged(stream, account);
                        tokio::task::spawn_local(owner::serve(frames, from, context.clone()));
                    }
                }
                Err(error) => {
                    log::warn!("event=relay_accept_failed error=\"{error}\"");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
}
