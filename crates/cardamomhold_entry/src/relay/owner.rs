//! The server side: owns connections to members and runs other instances' commands on them.

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
use crate::checkout;
use crate::clock;
use crate::group;
use crate::groups;
use crate::link;
use crate::relay::frame;
use crate::session;
use crate::stop;

/// How long a member's answer is awaited beyond the deadline of the request.
const ANSWER_GRACE: time::Duration = time::Duration::from_millis(50);

/// Dependencies of the tasks.
#[derive(Debug)]
pub struct Context<L> {
    /// The group tasks.
    pub groups: watch::Receiver<groups::Groups<L>>,
    /// Phase of the instance's shutdown.
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

/// Serves other instances until the process ends. While this instance shuts down, it only
/// finishes open transactions.
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
    let mut server = Server {
        context,
        checkout: None,
    };
    let mut frames = frame::Frames::new(stream);
    let error = loop {
        let request = match frames.next().await {
            Ok(request) => request,
            Err(error) => break error,
        };
        let reply = match frame::decode(&request) {
            Ok(request) => server.handle(&request).await,
            Err(error) => break error,
        };
        if let Err(error) = frames.send(&reply).await {
            break error;
        }
    };
    log::debug!("event=relay_ended from={from} error=\"{error}\"");
    if let Some(mut checkout) = server.checkout.take() {
        attempt::roll_back(&mut checkout).await;
    }
}

/// State of one connection from another instance.
struct Server<L> {
    context: Context<L>,
    checkout: Option<checkout::Checkout<L>>,
}

impl<L: link::Link> Server<L> {
    async fn handle(&mut self, request: &frame::Request<'_>) -> frame::Reply {
        let is_leaving = *self.context.phase.borrow() != stop::Phase::Serving;
        if is_leaving && self.checkout.is_none() {
            return frame::Reply::Failed(frame::Failure::Unreachable);
        }
        if matches!(request.body, frame::Body::Ping) {
            return frame::Reply::Pong;
        }
        let remaining = time::Duration::from_micros(request.header.left_us) + ANSWER_GRACE;
        let limit = tokio::time::Instant::now() + remaining;
        if self.checkout.is_none() {
            match self.acquire(&request.header).await {
                Ok(checkout) => self.checkout = Some(checkout),
                Err(failure) => return frame::Reply::Failed(failure),
            }
        }
        let executed = tokio::time::timeout_at(limit, self.execute(&request.body)).await;
        let reply = executed.unwrap_or(Err(frame::Failure::Broken));
        reply.unwrap_or_else(|failure| {
            self.close_failed(failure);
            frame::Reply::Failed(failure)
        })
    }

    /// Closes the checked-out connection after a failure.
    fn close_failed(&mut self, failure: frame::Failure) {
        let Some(mut checkout) = self.checkout.take() else {
            return;
        };
        match failure {
            frame::Failure::Refused(_) => checkout.close(pool::Completion::Unused),
            frame::Failure::Unreachable | frame::Failure::Broken | frame::Failure::Garbled => {
                checkout.close(pool::Completion::Failed);
            }
        }
    }

    async fn acquire(
        &self,
        header: &frame::Header,
    ) -> Result<checkout::Checkout<L>, frame::Failure> {
        let group = self.context.groups.borrow();
        let group = group.get(header.group.as_str()).cloned();
        let group = group.ok_or(frame::Failure::Unreachable)?;
        let (reply, granted) = oneshot::channel();
        let request = wait_queue::Request {
            id: 0,
            rank: header.rank,
            requirement: wait_queue::Requirement::Member(header.member.clone()),
            avoid: Vec::new(),
            deadline: clock::now().after(time::Duration::from_micros(header.left_us)),
        };
        group
            .send(group::Message::Request { request, reply })
            .map_err(|_| frame::Failure::Unreachable)?;
        let granted = granted.await.map_err(|_| frame::Failure::Unreachable)?;
        let mut checkout = granted.map_err(|reason| match reason {
            pool::Reason::NoConnection => frame::Failure::Refused(answer::Code::Busy),
            pool::Reason::NoPrimary | pool::Reason::Unreachable => frame::Failure::Unreachable,
        })?;
        if let Some(connection) = &mut checkout.connection
            && !connection.applied.is_empty()
        {
            let reset = connection.link.prepare(&[link::Command::Reset]).await;
            reset.map_err(|error| frame::Failure::from(&error))?;
            connection.applied = session::Applied::default();
        }
        Ok(checkout)
    }

    async fn execute(&mut self, body: &frame::Body<'_>) -> Result<frame::Reply, frame::Failure> {
        let checkout = self.checkout.as_mut().ok_or(frame::Failure::Unreachable)?;
        let connection = checkout
            .connection
            .as_mut()
            .ok_or(frame::Failure::Unreachable)?;
        let sent = clock::now();
        match body {
            frame::Body::Ping => Ok(frame::Reply::Pong),
            frame::Body::Prepare(commands) => {
                let prepared = connection.link.prepare(commands).await;
                let position = prepared.map_err(|error| frame::Failure::from(&error))?;
                connection.applied.mark_unknown();
                if commands.contains(&link::Command::Rollback) {
                    self.checkout = None;
                }
                Ok(frame::Reply::Prepared(position))
            }
            frame::Body::Call(command) => {
                let called = connection.link.call(*command).await;
                let answer = called.map_err(|error| frame::Failure::from(&error))?;
                checkout.completion = match answer.code() {
                    Some(answer::Code::Busy) => pool::Completion::NoSlot,
                    Some(answer::Code::Failed) => pool::Completion::StatementFailed,
                    Some(_) | None => pool::Completion::Answered(clock::now().since(sent)),
                };
                if let Some(position) = answer.position {
                    checkout.sample = Some(sample::Sample { sent, position });
                }
                if answer.state == answer::State::Idle {
                    self.checkout = None;
                }
                Ok(frame::Reply::Answered(answer))
            }
        }
    }
}
