//! Applies a session's state to the connection that is to run its statement.

use std::io;

use cardamomhold_core::name;
use cardamomhold_pool::pool;

use crate::answer;
use crate::attempt::Context;
use crate::attempt::awaited;
use crate::call;
use crate::checkout;
use crate::link;
use crate::session;

/// Applies the session's state to the connection; `begin` is the read-only flag of the
/// transaction to begin, if there is one.
///
/// # Errors
/// [`link::LinkError`]; the connection is closed, unless its owner refused the request.
pub async fn prepare<L: link::Link>(
    context: &Context<L>,
    group: &name::GroupName,
    checkout: &mut checkout::Checkout<L>,
    session: &session::Session,
    begin: Option<bool>,
    call: &call::Call<'_>,
) -> Result<(), link::LinkError> {
    checkout.resume();
    let awaited = awaited::Awaited {
        group,
        member: &checkout.member.clone(),
        deadline: call.deadline,
        owner: Some(checkout.owner_watch()),
    };
    let Some(connection) = &mut checkout.connection else {
        return Err(link::LinkError::Garbled);
    };
    let needed = call.prepared();
    let difference = session.difference(&connection.applied, needed);
    if difference.is_empty() && begin.is_none() {
        return Ok(());
    }
    let mut commands = Vec::new();
    if difference.needs_reset {
        commands.push(link::Command::Reset);
    }
    for (name, value) in &difference.values {
        commands.push(link::Command::Set { name, value });
    }
    if let Some(prepared) = difference.prepared {
        commands.push(link::Command::Prepare {
            name: &prepared.shared_name,
            access: prepared.access,
            shape: &prepared.shape,
        });
    }
    if let Some(read_only) = begin {
        let after = checkout.after;
        commands.push(link::Command::Begin { read_only, after });
    }
    connection.link.set_deadline(call.target, call.deadline);
    if begin.is_some() {
        checkout.permit.mark_sent();
    }
    let preparing = connection.link.prepare(&commands);
    let prepared = match awaited::answer(context, awaited, preparing).await {
        Ok(prepared) => prepared,
        Err(awaited::Unanswered::Late) => {
            Err(link::LinkError::Broken(io::ErrorKind::TimedOut.into()))
        }
        Err(awaited::Unanswered::OwnerSilent) => {
            Err(link::LinkError::OwnerLost(io::ErrorKind::TimedOut.into()))
        }
    };
    checkout.permit.record(link::may_have_run(&prepared));
    if let Err(error) = prepared {
        if error.is_owner_refusal() {
            checkout.completion = pool::Completion::Unused;
            return Err(error);
        }
        // To close the connection for a refusal and open another would take a slot more. Where a
        // transaction may be open, the connection is closed.
        let is_idle = begin.is_none() && session.transaction == session::Transaction::None;
        if let link::LinkError::Refused(answer::Code::Busy) = error
            && is_idle
        {
            connection.applied.mark_unknown();
            checkout.completion = pool::Completion::NoSlot;
            return Err(error);
        }
        checkout.close(match &error {
            link::LinkError::Refused(_) => pool::Completion::Unused,
            link::LinkError::OwnerLost(_) => pool::Completion::OwnerLost,
            link::LinkError::Unreachable(_) => pool::Completion::Unserved,
            link::LinkError::Broken(error) if error.kind() == io::ErrorKind::TimedOut => {
                pool::Completion::TimedOut
            }
            _ => pool::Completion::Failed,
        });
        return Err(error);
    }
    connection.applied.record(session, needed);
    Ok(())
}
