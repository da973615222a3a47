//! The server side: runs other instances' commands on connections that this one owns.

use std::net;
use std::time;

use cardamomhold_core::rank;
use cardamomhold_workspace::access;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::admission;
use crate::answer;
use crate::checkout;
use crate::clock;
use crate::group;
use crate::groups;
use crate::limits;
use crate::link;
use crate::relay::frame;
use crate::stop;
use crate::traffic;
use crate::view;

mod accept;
mod execute;

pub use accept::start;
pub use accept::start_charged;

/// How long a member's answer is awaited beyond the deadline of the request.
const ANSWER_GRACE: time::Duration = time::Duration::from_millis(50);

/// Part of a request's time that is reserved for the way of its refusal back.
const REFUSAL_RESERVE: time::Duration = time::Duration::from_millis(20);

/// Timeout of the rollback for a client that has gone.
const ROLLBACK_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// How long an idle transaction is kept beyond its limit, for its end to arrive from the instance
/// that keeps to the limit.
const IDLE_GRACE: time::Duration = time::Duration::from_millis(1_000);

/// Dependencies of the tasks.
#[derive(Debug)]
pub struct Context<L> {
    /// The published view.
    pub views: watch::Receiver<view::View>,
    /// The group tasks.
    pub groups: watch::Receiver<groups::Groups<L>>,
    /// Phase of the instance's shutdown.
    pub phase: watch::Receiver<stop::Phase>,
    /// Limits of workspaces.
    pub limits: limits::Handle,
    /// Counters of the frames.
    pub traffic: traffic::Traffic,
    /// Counts the work for other instances.
    pub users: stop::Users,
}

impl<L> Clone for Context<L> {
    fn clone(&self) -> Self {
        Self {
            views: self.views.clone(),
            groups: self.groups.clone(),
            phase: self.phase.clone(),
            limits: self.limits.clone(),
            traffic: self.traffic.clone(),
            users: self.users.clone(),
        }
    }
}

async fn serve<L: link::Link>(
    mut frames: frame::Frames,
    from: net::SocketAddr,
    context: Context<L>,
) {
    if let Err(error) = frames.set_nodelay() {
        log::debug!("event=relay_slow from={from} error=\"{error}\"");
    }
    let traffic = context.traffic.clone();
    let mut server = Server {
        context,
        work: None,
        last_report: link::Report::default(),
    };
    let error = loop {
        let request = match server.next(&mut frames).await {
            Ok(request) => request,
            Err(error) => break error,
        };
        let len = request.len();
        let reply = match frame::decode::<frame::Request<'_>>(&request) {
            Ok(request) => {
                let received = traffic::Direction::Received;
                traffic.record(traffic::Channel::Relay, request.body.kind(), received, len);
                server.handle(&request).await
            }
            Err(error) => break error,
        };
        match frames.send(&reply).await {
            Ok(len) => {
                let sent = traffic::Direction::Sent;
                traffic.record(traffic::Channel::Relay, reply.result.kind(), sent, len);
            }
            Err(error) => break error,
        }
    };
    log::debug!("event=relay_ended from={from} error=\"{error}\"");
    server.roll_back().await;
}

/// Work of the client on one connection of the member.
struct Work<L> {
    connection: checkout::Connection<L>,
    job: admission::Job<L>,
    group: group::Handle<L>,
    header: frame::Header,
    permit: limits::Permit,
    _user: stop::User,
}

/// State of one connection from another instance.
struct Server<L> {
    context: Context<L>,
    work: Option<Work<L>>,
    last_report: link::Report,
}

/// What happens to the connection after a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// The transaction is open, so the client keeps the connection.
    Hold,
    /// The work has ended; it tells whether the member answered, as [`admission::Job::finish`]
    /// does.
    Release(Option<bool>),
}

impl<L: link::Link> Server<L> {
    /// Receives the next request. The client of an open transaction has as long as its caller may
    /// stay idle: one that lost power or went silent would keep the connection for good.
    async fn next(&self, frames: &mut frame::Frames) -> Result<bytes::BytesMut, frame::FrameError> {
        let Some(work) = &self.work else {
            return frames.next().await;
        };
        let limit = self.context.views.borrow().catalog.idle_limit() + IDLE_GRACE;
        let received = tokio::time::timeout(limit, frames.next()).await;
        received.unwrap_or_else(|elapsed| {
            log::warn!(
                "event=relay_silent group={} member={} limit_ms={}",
                work.header.group,
                work.header.member,
                limit.as_millis()
            );
            Err(frame::FrameError::Io(elapsed.into()))
        })
    }

    async fn handle(&mut self, request: &frame::Request<'_>) -> frame::Reply {
        self.last_report.waited_us = 0;
        let result = self.run(request).await;
        frame::Reply {
            report: self.last_report,
            result: result.unwrap_or_else(frame::Outcome::Failed),
        }
    }

    async fn run(
        &mut self,
        request: &frame::Request<'_>,
    ) -> Result<frame::Outcome, frame::Failure> {
        let phase = *self.context.phase.borrow();
        if phase >= stop::Phase::Ending && self.work.is_none() {
            return Err(frame::Failure::Unreachable);
        }
        if let frame::Body::Ping { group, member } = &request.body {
            // Who asks would use this owner again.
            let is_starting = !self.context.views.borrow().is_complete();
            if phase != stop::Phase::Serving || is_starting {
                return Err(frame::Failure::Unreachable);
            }
            let is_answering = self.is_answering(group.as_str(), member).await;
            return Ok(frame::Outcome::Pong { is_answering });
        }
        let remaining = time::Duration::from_micros(request.left_us);
        let limit = tokio::time::Instant::now() + remaining + ANSWER_GRACE;
        let is_first = self.work.is_none();
        let mut work = match self.work.take() {
            Some(mut work) => {
                work.job.resume();
                work
            }
            None => self.acquire(request, remaining, limit).await?,
        };
        if request.body.starts_operation() {
            if let Err(after) = work.permit.renew().await {
                work.job.finish(None, Some(work.connection));
                return Err(execute::limited(after));
            }
            work.permit.mark_sent();
        }
        let executed =
            tokio::time::timeout_at(limit, execute::execute(&mut work, &request.body)).await;
        let executed = executed.unwrap_or(Err(frame::Failure::Broken));
        work.permit.record(execute::has_run(&executed));
        self.last_report.load = work.job.load();
        match executed {
            Ok((outcome, Next::Hold)) => {
                work.job.pause();
                self.work = Some(work);
                Ok(outcome)
            }
            Ok((outcome, Next::Release(is_answered))) => {
                work.job.finish(is_answered, Some(work.connection));
                Ok(outcome)
            }
            Err(frame::Failure::Refused(answer::Code::Busy))
                if is_first && execute::is_reusable(&request.body) =>
            {
                work.connection.applied.mark_unknown();
                work.job.finish(None, Some(work.connection));
                Err(frame::Failure::Refused(answer::Code::Busy))
            }
            Err(failure) => {
                let has_failed = !matches!(failure, frame::Failure::Refused(_));
                work.job.finish(has_failed.then_some(false), None);
                Err(failure)
            }
        }
    }

    /// Whether the member answers, as far as this instance knows.
    async fn is_answering(
        &self,
        group: &str,
        member: &cardamomhold_core::name::MemberName,
    ) -> bool {
        let status = self.status(group, member).await;
        status.is_none_or(|s| s.is_answering(clock::now()))
    }

    /// State of the member's queue; none for a group that isn't set up.
    async fn status(
        &self,
        group: &str,
        member: &cardamomhold_core::name::MemberName,
    ) -> Option<admission::Status> {
        let handle = self.context.groups.borrow().get(group).cloned()?;
        let (reply, status) = oneshot::channel();
        let member = member.clone();
        handle.send(group::Message::Status { member, reply }).ok()?;
        Some(status.await.unwrap_or_default())
    }

    /// Checks the workspace against this instance's own configuration, which may be newer than the
    /// one by which the statement was authorized.
    fn check_grant(&self, header: &frame::Header) -> Result<(), frame::Failure> {
        let view = self.context.views.borrow();
        let catalog = &view.catalog;
        let workspaces = catalog.workspaces.as_deref();
        let grant = header.grant.as_ref();
        let has_public = grant.is_some_and(|g| g.is_public()) && catalog.has_public(&header.group);
        if access::is_valid(workspaces, catalog.version, grant, has_public) {
            return Ok(());
        }
        log::info!(
            "event=grant_refused group={} member={} workspace={} granted_by={} version={}",
            header.group,
            header.member,
            grant.map_or("-", |g| g.workspace.as_str()),
            grant.map_or(0, |g| g.version),
            catalog.version
        );
        Err(frame::Failure::Refused(answer::Code::Unauthorized))
    }

    /// Waits for a connection of the member, and clears the state of its last session.
    async fn acquire(
        &mut self,
        request: &frame::Request<'_>,
        remaining: time::Duration,
        limit: tokio::time::Instant,
    ) -> Result<Work<L>, frame::Failure> {
        let user = self.context.users.enter();
        let header = request.header.clone().ok_or(frame::Failure::Unreachable)?;
        self.check_grant(&header)?;
        let group = self
            .context
            .groups
            .borrow()
            .get(header.group.as_str())
            .cloned();
        let group = group.ok_or(frame::Failure::Unreachable)?;
        let workspace = header.grant.as_ref().map(|g| &g.workspace);
        let now = clock::now();
        let target = now.after(time::Duration::from_micros(header.target_us));
        let deadline = now.after(remaining.saturating_sub(REFUSAL_RESERVE));
        let limits = &self.context.limits;
        let permit = limits.acquire(workspace, target, deadline).await;
        let permit = permit.map_err(execute::limited)?;
        let work = admission::Request {
            rank: to_rank(header.rank),
            caller: header.caller.clone(),
            workspace: workspace.cloned(),
            max_wait: header.max_wait,
            target,
            deadline,
        };
        let (reply, admitted) = oneshot::channel();
        let message = group::Message::Admit {
            member: header.member.clone(),
            request: work,
            reply,
        };
        group
            .send(message)
            .map_err(|_| frame::Failure::Unreachable)?;
        let admitted = tokio::time::timeout_at(limit, admitted).await;
        let admitted = admitted.ok().and_then(Result::ok);
        let admitted = admitted.unwrap_or(Err(admission::Refusal::Unreachable));
        if admitted.is_err() {
            // The report of the last answer may be of another time or member.
            let status = self.status(header.group.as_str(), &header.member).await;
            self.last_report.load = status.unwrap_or_default().load;
        }
        let admission::Admitted { connection, job } =
            admitted.map_err(|refusal| match refusal {
                admission::Refusal::Overloaded(after) => frame::Failure::Overloaded {
                    after_ms: after.as_millis() as u32,
                },
                admission::Refusal::LongWait => frame::Failure::LongWait,
                admission::Refusal::Unreachable => frame::Failure::Unreachable,
            })?;
        self.last_report.waited_us = job.waited.as_micros() as u32;
        let mut work = Work {
            connection,
            job,
            group,
            header,
            permit,
            _user: user,
        };
        if let Err(failure) = execute::clear_state(&mut work.connection, limit).await {
            match failure {
                frame::Failure::Refused(_) => work.job.finish(None, Some(work.connection)),
                _ => work.job.finish(Some(false), None),
            }
            return Err(failure);
        }
        Ok(work)
    }

    /// Rolls back the open transaction of a client that has gone.
    async fn roll_back(&mut self) {
        let Some(mut work) = self.work.take() else {
            return;
        };
        work.job.resume();
        let rollback = work.connection.link.prepare(&[link::Command::Rollback]);
        let done = tokio::time::timeout(ROLLBACK_TIMEOUT, rollback).await;
        match done {
            Ok(Ok(_)) => work.job.finish(Some(true), Some(work.connection)),
            _ => work.job.finish(Some(false), None),
        }
    }
}

/// Rank of a route's priority in an owner's queue.
pub fn to_rank(priority: u8) -> rank::Rank {
    let index = usize::from(priority).min(rank::Rank::ALL.len() - 1);
    rank::Rank::ALL[index]
}
