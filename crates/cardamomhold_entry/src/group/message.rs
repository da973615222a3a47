//! Messages to a group's task.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::pool;
use cardamomhold_pool::sample;
use cardamomhold_pool::wait_queue;
use tokio::sync::oneshot;

use crate::admission;
use crate::checkout;
use crate::group::owned;
use crate::limits;
use crate::link;

/// A new connection with the member's log position, or why it could not be opened.
pub type Opened<L> = Result<(L, Option<position::Position>), link::LinkError>;

/// Messages to the group's task.
#[derive(Debug)]
pub enum Message<L> {
    /// Requests a connection.
    Request {
        /// The request; the task sets its id.
        request: wait_queue::Request,
        /// Receives the connection, or why there is none.
        reply: oneshot::Sender<Result<checkout::Checkout<L>, Refusal>>,
    },
    /// Asks for a connection of a member that this instance owns, for another instance.
    Admit {
        /// The member.
        member: name::MemberName,
        /// The work.
        request: admission::Request,
        /// Receives the connection, or why there is none.
        reply: oneshot::Sender<Result<admission::Admitted<L>, admission::Refusal>>,
    },
    /// Asks for the state of a member that this instance owns.
    Status {
        /// The member.
        member: name::MemberName,
        /// Receives the state.
        reply: oneshot::Sender<admission::Status>,
    },
    /// This instance's own queue has decided on a granted request.
    Admitted {
        /// The pool's grant.
        grant: pool::Grant<checkout::Connection<L>>,
        /// Change number of the leadership at the time of the grant.
        change: u64,
        /// The right to run the operation, where the workspace may have a limit.
        permit: Option<limits::Permit>,
        /// The connection, or why there is none.
        result: Box<Result<admission::Admitted<L>, admission::Refusal>>,
    },
    /// A granted request has the permit of its workspace, or the time after which there may be one.
    Permitted {
        /// The pool's grant.
        grant: pool::Grant<checkout::Connection<L>>,
        /// The permit.
        result: Result<limits::Permit, time::Duration>,
    },
    /// A statement of another instance returned a log position.
    Sampled {
        /// The member.
        member: name::MemberName,
        /// The position, with the time at which the statement was sent.
        sample: sample::Sample,
    },
    /// Returns a connection to the pool.
    Release {
        /// The connection's member.
        member: name::MemberName,
        /// The connection; none when it was closed.
        connection: Option<checkout::Connection<L>>,
        /// How its use ended.
        completion: pool::Completion,
        /// The newest log position it returned, with the time at which that statement was sent.
        sample: Option<sample::Sample>,
        /// Report of this instance's own queue.
        report: Option<link::Report>,
    },
    /// An attempt to open a connection finished.
    Opened {
        /// The pool's grant that it is for.
        grant: pool::Grant<checkout::Connection<L>>,
        /// The owner to which the connection was to be opened; none for a direct one.
        owner: Option<name::InstanceName>,
        /// Change number of the leadership at the time of the grant.
        change: u64,
        /// When the attempt started.
        sent: Timestamp,
        /// The connection with the member's log position, or the error.
        result: Opened<L>,
    },
    /// A statement at this member has had no answer for a long time.
    Unresponsive(name::MemberName),
    /// A ping of an owner finished.
    OwnerPinged {
        /// The owner.
        owner: name::InstanceName,
        /// The member that the ping asked for.
        member: name::MemberName,
        /// Whether the member answers the owner; none when the owner didn't answer.
        is_answering: Option<bool>,
        /// Why it was pinged.
        ping: owned::Ping,
    },
    /// A probe of a member finished.
    Probed {
        /// The member.
        member: name::MemberName,
        /// When the probe started.
        sent: Timestamp,
        /// The error, if it failed.
        result: Result<(), link::LinkError>,
    },
}

/// Why a request gets no connection; it did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The pool's reason.
    Pool(pool::Reason),
    /// The member has too much to do; there is room after this time.
    Overloaded(time::Duration),
}
