//! How a group's task gets the permits of operations that this instance sends to members itself:
//! through its own queues, or on direct connections. For the others, the owner gets them.

use std::time;

use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::pool;
use cardamomhold_pool::share;

use crate::admission;
use crate::checkout;
use crate::group::Message;
use crate::group::Refusal;
use crate::group::Task;
use crate::limits;
use crate::link;

impl<C: link::Connector> Task<C> {
    /// Whether a granted request has yet to get a permit.
    pub(super) fn needs_permit(
        &self,
        now: Timestamp,
        grant: &pool::Grant<checkout::Connection<C::Link>>,
    ) -> bool {
        let is_local = self.pool.share(&grant.member) == Some(share::Share::Local);
        if !is_local && self.routes.owner(&grant.member).is_some() {
            return false;
        }
        let Some(waiting) = self.waiting.get(&grant.id) else {
            return false;
        };
        let workspace = waiting.request.grant.as_ref().map(|g| &g.workspace);
        let has_permit = waiting.permit.as_ref().is_some_and(|p| p.is_valid(now));
        self.context.limits.may_limit(workspace) && !has_permit
    }

    /// Asks for the permit of a granted request.
    pub(super) fn acquire_permit(&mut self, grant: pool::Grant<checkout::Connection<C::Link>>) {
        let Some(waiting) = self.waiting.get_mut(&grant.id) else {
            return;
        };
        // One that has expired.
        waiting.permit = None;
        let request = waiting.request.clone();
        let limits = self.context.limits.clone();
        let handle = self.handle.clone();
        tokio::task::spawn_local(async move {
            let workspace = request.grant.as_ref().map(|g| &g.workspace);
            let acquiring = limits.acquire(workspace, request.target, request.deadline);
            let result = acquiring.await;
            // The receiver is gone when the group's task has ended.
            let _ = handle.send(Message::Permitted { grant, result });
        });
    }

    pub(super) fn handle_permitted(
        &mut self,
        now: Timestamp,
        mut grant: pool::Grant<checkout::Connection<C::Link>>,
        result: Result<limits::Permit, time::Duration>,
    ) {
        let waiting = self.waiting.get_mut(&grant.id);
        let refusal = match (waiting, result) {
            (Some(waiting), Ok(permit)) => {
                waiting.permit = Some(permit);
                self.grant(now, grant);
                return;
            }
            (_, Err(after)) => Some(Refusal::Overloaded(after)),
            (None, Ok(_)) => None,
        };
        let link = grant.link.take();
        let workspace = link.as_ref().and_then(|l| l.workspace.clone());
        let unused = pool::Completion::Unused;
        self.pool
            .release_bound(now, &grant.member, link, workspace, unused);
        if let Some(refusal) = refusal {
            self.refuse(grant.id, refusal);
        }
    }
}

/// Renews the permit of admitted work that has waited in a queue; without one, the work ends.
pub(super) async fn renew<L>(
    permit: &mut Option<limits::Permit>,
    admitted: admission::Admitted<L>,
) -> Result<admission::Admitted<L>, admission::Refusal> {
    let Some(permit) = permit else {
        return Ok(admitted);
    };
    match permit.renew().await {
        Ok(()) => Ok(admitted),
        Err(after) => {
            admitted.job.finish(None, Some(admitted.connection));
            Err(admission::Refusal::Overloaded(after))
        }
    }
}
