//! The client side: sends commands for a member to the owner of its connections.

use std::io;

use cardamomhold_budget::accounts;
use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use tokio::net::TcpStream;

use crate::answer;
use crate::clock;
use crate::link;
use crate::relay::frame;
use crate::traffic;

/// A connection to an owner, for commands to one member.
#[derive(Debug)]
pub struct Client {
    frames: frame::Frames,
    group: name::GroupName,
    member: name::MemberName,
    priority: Option<link::Priority>,
    /// Whether the owner has a connection of the member for this client: inside a transaction.
    is_held: bool,
    report: Option<link::Report>,
    traffic: traffic::Traffic,
}

impl Client {
    /// Creates a client on a stream to the owner of the target's connections.
    pub fn new(stream: TcpStream, target: &link::Target, traffic: &traffic::Traffic) -> Self {
        Self::charged(stream, target, accounts::Account::default(), traffic)
    }

    /// Creates a client whose frames are charged to `account`.
    pub fn charged(
        stream: TcpStream,
        target: &link::Target,
        account: accounts::Account,
        traffic: &traffic::Traffic,
    ) -> Self {
        Self {
            frames: frame::Frames::charged(stream, account),
            group: target.group.clone(),
            member: target.member.clone(),
            priority: None,
            is_held: false,
            report: None,
            traffic: traffic.clone(),
        }
    }

    /// Sets the priority of the statements that follow.
    pub fn set_priority(&mut self, priority: link::Priority) {
        self.priority = Some(priority);
        self.report = None;
    }

    /// Sets target and deadline of the next statement.
    pub fn set_deadline(&mut self, target: Timestamp, deadline: Timestamp) {
        if let Some(priority) = &mut self.priority {
            priority.target = target;
            priority.deadline = deadline;
        }
    }

    /// Whether the owner has kept the idle connection open.
    pub fn is_open(&self) -> bool {
        self.frames.is_idle()
    }

    /// The owner's last report.
    pub fn report(&self) -> Option<link::Report> {
        self.report
    }

    /// Runs a statement.
    ///
    /// # Errors
    /// [`link::LinkError`].
    pub async fn call(
        &mut self,
        command: link::Command<'_>,
    ) -> Result<answer::Answer, link::LinkError> {
        match self.request(frame::Body::Call(command)).await? {
            frame::Outcome::Answered(answer) => {
                self.is_held = answer.state != answer::State::Idle;
                Ok(answer)
            }
            frame::Outcome::Failed(failure) => Err(self.fail(failure)),
            frame::Outcome::Prepared(_) | frame::Outcome::Pong { .. } => {
                Err(link::LinkError::Garbled)
            }
        }
    }

    /// Runs several commands; each must succeed.
    ///
    /// # Errors
    /// [`link::LinkError`].
    pub async fn prepare(
        &mut self,
        commands: &[link::Command<'_>],
    ) -> Result<Option<position::Position>, link::LinkError> {
        let is_end = commands.contains(&link::Command::Rollback);
        match self
            .request(frame::Body::Prepare(commands.to_vec()))
            .await?
        {
            frame::Outcome::Prepared(position) => {
                self.is_held = !is_end;
                Ok(position)
            }
            frame::Outcome::Failed(failure) => Err(self.fail(failure)),
            frame::Outcome::Answered(_) | frame::Outcome::Pong { .. } => {
                Err(link::LinkError::Garbled)
            }
        }
    }

    /// Asks whether the owner is there; returns whether the member answers it.
    ///
    /// # Errors
    /// [`link::LinkError`].
    pub async fn ping(&mut self) -> Result<bool, link::LinkError> {
        let ping = frame::Body::Ping {
            group: self.group.clone(),
            member: self.member.clone(),
        };
        match self.request(ping).await? {
            frame::Outcome::Pong { is_answering } => Ok(is_answering),
            frame::Outcome::Prepared(_)
            | frame::Outcome::Answered(_)
            | frame::Outcome::Failed(_) => Err(link::LinkError::Garbled),
        }
    }

    fn fail(&mut self, failure: frame::Failure) -> link::LinkError {
        self.is_held = false;
        failure.into()
    }

    fn header(&self, now: Timestamp) -> Option<frame::Header> {
        if self.is_held {
            return None;
        }
        let priority = self.priority.as_ref()?;
        Some(frame::Header {
            group: self.group.clone(),
            member: self.member.clone(),
            caller: priority.caller.clone(),
            grant: priority.grant.clone(),
            max_wait: priority.max_wait,
            rank: priority.rank,
            target_us: priority.target.since(now).as_micros() as u64,
        })
    }

    async fn request(&mut self, body: frame::Body<'_>) -> Result<frame::Outcome, link::LinkError> {
        let now = clock::now();
        let deadline = self.priority.as_ref().map(|p| p.deadline);
        let remaining = deadline.unwrap_or_default().since(now);
        let request = frame::Request {
            header: self.header(now),
            left_us: remaining.as_micros() as u64,
            body,
        };
        let len = self.frames.send(&request).await.map_err(broken)?;
        let (channel, sent) = (traffic::Channel::Relay, traffic::Direction::Sent);
        self.traffic.record(channel, request.body.kind(), sent, len);
        let bytes = self.frames.next().await.map_err(broken)?;
        let len = bytes.len();
        let decoded = frame::decode(&bytes);
        drop(bytes);
        self.frames.release();
        let reply: frame::Reply = decoded.map_err(broken)?;
        let received = traffic::Direction::Received;
        self.traffic
            .record(channel, reply.result.kind(), received, len);
        self.report = Some(reply.report);
        Ok(reply.result)
    }
}

fn broken(error: frame::FrameError) -> link::LinkError {
    match error {
        frame::FrameError::Io(error) => link::LinkError::OwnerLost(error),
        frame::FrameError::Closed => {
            link::LinkError::OwnerLost(io::ErrorKind::UnexpectedEof.into())
        }
        frame::FrameError::Codec(_) => link::LinkError::Garbled,
    }
}
