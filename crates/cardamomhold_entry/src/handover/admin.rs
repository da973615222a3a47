//! Administrative commands to members, each on its own connection.

use std::time;

use cardamomhold_core::position;
use cardamomhold_lead::candidate;

use crate::clock;
use crate::link;
use crate::link::Link as _;

/// Timeout of a command, and the pause between two attempts.
const COMMAND_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// How long demoting the former primary is retried.
const DEMOTE_TIMEOUT: time::Duration = time::Duration::from_secs(8);

/// Sends a demotion to a replaced primary until it reports that it is a replica.
pub(super) async fn demote<C: link::Connector>(
    connector: C,
    target: link::Target,
    term: position::Term,
) {
    let until = clock::now().after(DEMOTE_TIMEOUT);
    while clock::now() < until {
        let answer = run(&connector, &target, link::AdminCommand::Demote(term)).await;
        if answer.is_ok_and(|s| s.role == candidate::Role::Replica) {
            return;
        }
        tokio::time::sleep(COMMAND_TIMEOUT).await;
    }
}

/// Opens a connection to a member and runs a command; returns the member's status.
pub(super) async fn run<C: link::Connector>(
    connector: &C,
    target: &link::Target,
    command: link::AdminCommand,
) -> Result<candidate::Status, link::LinkError> {
    let running = async {
        let (mut link, _) = connector.open(target).await?;
        link.run_admin(command).await
    };
    tokio::time::timeout(COMMAND_TIMEOUT, running)
        .await
        .unwrap_or_else(|elapsed| Err(link::LinkError::Broken(elapsed.into())))
}
