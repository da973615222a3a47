//! Orders to members, each over a connection of its own.

use std::time;

use cardamomhold_core::position;
use cardamomhold_lead::candidate;

use crate::clock;
use crate::link;
use crate::link::Link as _;

/// Longest wait for a member's answer to an order.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Time for which the former primary is told that it was replaced.
const DEMOTE_FOR: time::Duration = time::Duration::from_secs(8);

/// Tells a replaced primary until it has heard.
pub(super) async fn demote<C: link::Connector>(
    connector: C,
    target: link::Target,
    term: position::Term,
) {
    let until = clock::now().after(DEMOTE_FOR);
    while clock::now() < until {
        let answer = order(&connector, &target, link::Order::Demote(term)).await;
        if answer.is_ok_and(|s| s.role == candidate::Role::Replica) {
            return;
        }
        tokio::time::sleep(ORDER_TIMEOUT).await;
    }
}

/// Gives a member an order over a connection of its own.
pub(super) async fn order<C: link::Connector>(
    connector: &C,
    target: &link::Target,
    order: link::Order,
) -> Result<candidate::Status, link::LinkError> {
    let ordering = async {
        let (mut link, _) = connector.open(target).await?;
        link.order(order).await
    };
    tokio::time::timeout(ORDER_TIMEOUT, ordering)
        .await
        .unwrap_or_else(|elapsed| Err(link::LinkError::Broken(elapsed.into())))
}
