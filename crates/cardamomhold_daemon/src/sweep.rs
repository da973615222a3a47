//! The task that deletes request keys older than their group's retention time.
//!
//! The owner of a group's primary deletes them through a stream of its own, like any other
//! bulk write. If two instances with different views of the fleet both act as the owner, the same
//! keys are deleted twice, which is harmless.

use std::sync;
use std::time;

use bytes::BytesMut;
use cardamomhold_config::config;
use cardamomhold_core::key;
use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_fleet::fleet;
use cardamomhold_wire::answer;
use pgwire::messages::simplequery;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::clock;
use crate::owner;
use crate::stream;

/// Pause between two sweeps.
pub const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(600);

/// Delay of the first sweep after the start.
pub const FIRST_SWEEP_DELAY: time::Duration = time::Duration::from_secs(2);

/// Time limit of one deletion.
const SWEEP_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Caller name that sweeps have in the queue.
const SWEEP_CALLER: &str = "cardamomhold";

/// Dependencies of the task.
#[derive(Debug, Clone)]
pub struct Context {
    /// This instance.
    pub instance: name::InstanceName,
    /// The latest configuration.
    pub config: watch::Receiver<sync::Arc<config::Config>>,
    /// The latest view of the fleet.
    pub fleet: watch::Receiver<sync::Arc<fleet::Fleet>>,
    /// Task that serves streams on this instance.
    pub owner: mpsc::Sender<owner::Request>,
}

/// The deletion of one group's expired keys.
#[derive(Debug)]
struct Sweep {
    ticket: stream::Ticket,
    oldest_kept: String,
}

impl Sweep {
    /// Deletes the keys; returns the failure if there was one.
    async fn run(self, owner: &mpsc::Sender<owner::Request>) -> Option<stream::Failure> {
        let (mut stream, end) = stream::pair();
        let open = owner::Request::Open(Box::new(self.ticket), end);
        owner.send(open).await.ok()?;
        let text = format!(
            "DELETE FROM cardamomhold_request_key WHERE request_key < '{}'",
            self.oldest_kept
        );
        let mut frames = BytesMut::new();
        answer::put(&mut frames, &simplequery::Query::new(text));
        let batch = stream::Up::Batch(stream::Batch {
            frames: frames.freeze(),
            sync: true,
            answers: 0,
        });
        // A stream that was refused immediately still delivers its failure.
        let _ = stream.up.send(batch).await;
        while let Some(down) = stream.down.recv().await {
            match down {
                stream::Down::Frames(_) => continue,
                stream::Down::Ready(_) => return None,
                stream::Down::Failure(failure) => return Some(failure),
            }
        }
        None
    }
}

/// Sweeps until the owner's task has ended.
pub async fn run(context: Context) {
    tokio::time::sleep(FIRST_SWEEP_DELAY).await;
    while !context.owner.is_closed() {
        for sweep in pending_sweeps(&context) {
            let group = sweep.ticket.group.clone();
            if let Some(failure) = sweep.run(&context.owner).await {
                log::info!("event=sweep_failed group={group} failure=\"{failure:?}\"");
            }
        }
        tokio::time::sleep(SWEEP_INTERVAL).await;
    }
}

/// The sweeps of the groups whose primary this instance owns.
fn pending_sweeps(context: &Context) -> Vec<Sweep> {
    let config = context.config.borrow().clone();
    let fleet = context.fleet.borrow().clone();
    let Ok(caller) = name::CallerName::parse(SWEEP_CALLER) else {
        return Vec::new();
    };
    let mut pending_sweeps = Vec::new();
    for (group, spec) in config.groups() {
        let Some(leadership) = config.leadership(group) else {
            continue;
        };
        let Some(member) = leadership.primary.as_ref().and_then(|p| spec.member(p)) else {
            continue;
        };
        let owner = fleet.owner(&member.name, &member.zone);
        if owner.is_none_or(|o| o.name != context.instance) {
            continue;
        }
        let ticket = stream::Ticket {
            group: group.clone(),
            member: member.name.clone(),
            term: leadership.term,
            rank: rank::Rank::Bulk,
            caller: caller.clone(),
            deadline: SWEEP_TIMEOUT,
            access: stream::Access::Write,
            request_key: None,
            begins: false,
            seen: None,
            setup: Vec::new(),
        };
        let oldest_kept = key::oldest_kept(clock::unix_now(), spec.key_retention());
        pending_sweeps.push(Sweep {
            ticket,
            oldest_kept,
        });
    }
    pending_sweeps
}
