//! Accepts callers' connections.

use std::time;

use cardamomhold_budget::accounts;
use cardamomhold_budget::budget;
use tokio::net;
use tokio::task;

use crate::caller;
use crate::stop;

/// Pause after a failed accept.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Accepts callers until the instance drains; returns the tasks that still run.
pub async fn run(
    listener: net::TcpListener,
    context: caller::Context,
    accounts: accounts::Handle,
) -> task::JoinSet<()> {
    let mut callers = task::JoinSet::new();
    let mut stop = context.stop.clone();
    let mut number = 0u32;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.await_phase(stop::Phase::Draining) => return callers,
        };
        while callers.try_join_next().is_some() {}
        let socket = match accepted {
            Ok((socket, _)) => socket,
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if socket.set_nodelay(true).is_err() {
            continue;
        }
        // Without an account, the connection is closed.
        let Some(account) = accounts.open(budget::Kind::Caller).await else {
            continue;
        };
        number = number.wrapping_add(1);
        let secret = uuid::Uuid::new_v4().as_u128() as i32;
        let cancel_target = caller::CancelTarget::new(&context.instance, number, secret);
        callers.spawn(caller::run(context.clone(), socket, account, cancel_target));
    }
}
