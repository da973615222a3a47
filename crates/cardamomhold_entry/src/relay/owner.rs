//! The side that owns connections and lends them to other instances.

use std::net;
use std::time;

use cardamomhold_pool::pool;
use cardamomhold_pool::sample;
use cardamomhold_pool::wait_queue;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::answer;
use crate::attempt;
use crate::clock;
use crate::group;
use crate::groups;
use crate::lent;
use crate::link;
use crate::relay::frame;
use crate::session;
use crate::stop;

/// Time beyond the work's own after which a member's answer is no longer awaited.
const GRACE: time::Duration = time::Duration::from_millis(50);

/// What the tasks work with.
#[derive(Debug)]
pub struct Context<L> {
    /// The group tasks.
    pub groups: watch::Receiver<groups::Groups<L>>,
    /// Where the instance is between start and end.
    pub phase: watch::Receiver<stop::Phase>,
}

impl<L> Clone for Context<L> {
    fn clone(&self) -> Self {
        Self {
            groups: self.groups.clone(),
            phase: self.phase.clone(),
        }
    }
}

/// Serves other instances until the process ends. One that leaves finishes what it has begun.
pub fn start<L: link::Link>(listener: TcpListener, context: Context<L>) {
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    tokio::task::spawn_local(serve(stream, from, context.clone()));
                }
                Err(error) => log::warn!("event=relay_accept_failed error=\"{error}\""),
            }
        }
    });
}

async fn serve<L: link::Link>(stream: TcpStream, from: net::SocketAddr, context: Context<L>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=relay_slow from={from} error=\"{error}\"");
    }
    let mut owner = Owner {
        context,
        lent: None,
    };
    let mut frames = frame::Frames::new(stream);
    let error = loop {
        let request = match frames.next().await {
            Ok(request) => request,
            Err(error) => break error,
        };
        let reply = match frame::decode(&request) {
            Ok(request) => owner.handle(&request).await,
            Err(error) => break error,
        };
        if let Err(error) = frames.send(&reply).await {
            break error;
        }
    };
    log::debug!("event=relay_ended from={from} error=\"{error}\"");
    if let Some(mut lent) = owner.lent.take() {
        attempt::roll_back(&mut lent).await;
    }
}

/// What one connection of another instance has borrowed.
struct Owner<L> {
    context: Context<L>,
    lent: Option<lent::Lent<L>>,
}

impl<L: link::Link> Owner<L> {
    async fn handle(&mut self, request: &frame::Request<'_>) -> frame::Reply {
        let is_leaving = *self.context.phase.borrow() != stop::Phase::Serving;
        if is_leaving && self.lent.is_none() {
            return frame::Reply::Failed(frame::Failure::Unreachable);
        }
        if matches!(request.order, frame::Order::Ping) {
            return frame::Reply::Pong;
        }
        let left = time::Duration::from_micros(request.work.left_us) + GRACE;
        let limit = tokio::time::Instant::now() + left;
        if self.lent.is_none() {
            match self.acquire(&request.work).await {
                Ok(lent) => self.lent = Some(lent),
                Err(failure) => return frame::Reply::Failed(failure),
            }
        }
        let carried = tokio::time::timeout_at(limit, self.carry_out(&request.order)).await;
        let reply = carried.unwrap_or(Err(frame::Failure::Broken));
        reply.unwrap_or_else(|failure| {
            self.drop_lent(failure);
            frame::Reply::Failed(failure)
        })
    }

    /// The connection is of no use after a failure.
    fn drop_lent(&mut self, failure: frame::Failure) {
        let Some(mut lent) = self.lent.take() else {
            return;
        };
        match failure {
            frame::Failure::Refused(_) => lent.close(pool::Completion::Unused),
            frame::Failure::Unreachable | frame::Failure::Broken | frame::Failure::Garbled => {
                lent.close(pool::Completion::Failed);
            }
        }
    }

    async fn acquire(&self, work: &frame::Work) -> Result<lent::Lent<L>, frame::Failure> {
        let group = self.context.groups.borrow();
        let group = group.get(work.group.as_str()).cloned();
        let group = group.ok_or(frame::Failure::Unreachable)?;
        let (reply, granted) = oneshot::channel();
        let ask = wait_queue::Request {
            id: 0,
            rank: work.rank,
            requirement: wait_queue::Requirement::Member(work.member.clone()),
            avoid: Vec::new(),
            deadline: clock::now().after(time::Duration::from_micros(work.left_us)),
        };
        group
            .send(group::Message::Ask { ask, reply })
            .map_err(|_| frame::Failure::Unreachable)?;
        let granted = granted.await.map_err(|_| frame::Failure::Unreachable)?;
        let mut lent = granted.map_err(|reason| match reason {
            pool::Reason::NoConnection => frame::Failure::Refused(answer::Code::Busy),
            pool::Reason::NoPrimary | pool::Reason::Unreachable => frame::Failure::Unreachable,
        })?;
        if let Some(wired) = &mut lent.wired
            && !wired.applied.is_empty()
        {
            let reset = wired.link.prepare(&[link::Command::Reset]).await;
            reset.map_err(|error| frame::Failure::from(&error))?;
            wired.applied = session::Applied::default();
        }
        Ok(lent)
    }

    async fn carry_out(
        &mut self,
        order: &frame::Order<'_>,
    ) -> Result<frame::Reply, frame::Failure> {
        let lent = self.lent.as_mut().ok_or(frame::Failure::Unreachable)?;
        let wired = lent.wired.as_mut().ok_or(frame::Failure::Unreachable)?;
        let sent = clock::now();
        match order {
            frame::Order::Ping => Ok(frame::Reply::Pong),
            frame::Order::Prepare(commands) => {
                let prepared = wired.link.prepare(commands).await;
                let position = prepared.map_err(|error| frame::Failure::from(&error))?;
                wired.applied.forget();
                if commands.contains(&link::Command::Rollback) {
                    self.lent = None;
                }
                Ok(frame::Reply::Prepared(position))
            }
            frame::Order::Call(command) => {
                let called = wired.link.call(*command).await;
                let answer = called.map_err(|error| frame::Failure::from(&error))?;
                lent.ended = match answer.code() {
                    Some(answer::Code::Busy) => pool::Completion::NoSlot,
                    Some(answer::Code::Failed) => pool::Completion::StatementFailed,
                    Some(_) | None => pool::Completion::Answered(clock::now().since(sent)),
                };
                if let Some(position) = answer.position {
                    lent.seen = Some(sample::Sample { sent, position });
                }
                if answer.state == answer::State::Idle {
                    self.lent = None;
                }
                Ok(frame::Reply::Answered(answer))
            }
        }
    }
}
