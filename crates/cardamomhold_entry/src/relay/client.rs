//! The client side: sends commands for a member to the owner of its connections.

use std::io;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use tokio::net::TcpStream;

use crate::answer;
use crate::clock;
use crate::link;
use crate::relay::frame;

/// A connection to an owner, for commands to one member.
#[derive(Debug)]
pub struct Client {
    frames: frame::Frames,
    group: name::GroupName,
    member: name::MemberName,
    rank: u8,
    deadline: Timestamp,
}

impl Client {
    /// Creates a client on a stream to the owner of the target's connections.
    pub fn new(stream: TcpStream, target: &link::Target) -> Self {
        Self {
            frames: frame::Frames::new(stream),
            group: target.group.clone(),
            member: target.member.clone(),
            rank: 0,
            deadline: Timestamp(0),
        }
    }

    /// Sets the rank and the deadline of the statements that follow.
    pub fn set_priority(&mut self, rank: u8, deadline: Timestamp) {
        self.rank = rank;
        self.deadline = deadline;
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
            frame::Reply::Answered(answer) => Ok(answer),
            frame::Reply::Failed(failure) => Err(failure.into()),
            frame::Reply::Prepared(_) | frame::Reply::Pong => Err(link::LinkError::Garbled),
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
        match self
            .request(frame::Body::Prepare(commands.to_vec()))
            .await?
        {
            frame::Reply::Prepared(position) => Ok(position),
            frame::Reply::Failed(failure) => Err(failure.into()),
            frame::Reply::Answered(_) | frame::Reply::Pong => Err(link::LinkError::Garbled),
        }
    }

    /// Checks that the owner answers.
    ///
    /// # Errors
    /// [`link::LinkError`].
    pub async fn ping(&mut self) -> Result<(), link::LinkError> {
        match self.request(frame::Body::Ping).await? {
            frame::Reply::Pong => Ok(()),
            frame::Reply::Prepared(_) | frame::Reply::Answered(_) | frame::Reply::Failed(_) => {
                Err(link::LinkError::Garbled)
            }
        }
    }

    async fn request(&mut self, body: frame::Body<'_>) -> Result<frame::Reply, link::LinkError> {
        let remaining = self.deadline.since(clock::now());
        let header = frame::Header {
            group: self.group.clone(),
            member: self.member.clone(),
            rank: self.rank,
            left_us: remaining.as_micros() as u64,
        };
        let request = frame::Request { header, body };
        self.frames.send(&request).await.map_err(broken)?;
        let reply = self.frames.next().await.map_err(broken)?;
        frame::decode(&reply).map_err(broken)
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
