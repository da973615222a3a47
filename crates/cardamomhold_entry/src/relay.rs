//! Connections to members through another instance, which owns them.
//!
//! An instance sends its commands to the [`owner`] over a connection between instances. The
//! owner checks out one of the member's connections for the first command, and returns it to
//! its pool when no transaction is open. The instance that serves the caller decides which
//! member runs a statement, and checks the answer against its own lease; the owner only queues.

use std::io;
use std::net;
use std::time;

use cardamomhold_budget::budget;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::candidate;
use tokio::net::TcpStream;

use crate::answer;
use crate::connect;
use crate::link;
use crate::traffic;

pub mod client;
pub mod frame;
pub mod owner;

/// A connection to a member, direct or through its owner.
#[derive(Debug)]
pub enum Link<L> {
    /// A connection to the member itself.
    Direct(L),
    /// A connection to the owner.
    Relayed(Box<client::Client>),
}

/// Timeout of a ping to an owner, connecting included.
const PING_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Opens and counts a connection to an owner.
async fn connect_owner(
    owner: net::SocketAddr,
    traffic: &traffic::Traffic,
) -> Result<TcpStream, link::LinkError> {
    let sent = traffic::Direction::Sent;
    traffic.record(traffic::Channel::Relay, "connect", sent, 0);
    let opened = connect::open(owner).await;
    opened.map_err(link::LinkError::Unreachable)
}

/// Pings the owner at the address `owner`; returns whether the target's member answers it, none
/// when the owner itself doesn't answer.
pub async fn ping_owner(
    owner: net::SocketAddr,
    target: &link::Target,
    traffic: &traffic::Traffic,
) -> Option<bool> {
    let pinging = async {
        let stream = connect_owner(owner, traffic).await?;
        client::Client::new(stream, target, traffic).ping().await
    };
    let pinged = tokio::time::timeout(PING_TIMEOUT, pinging).await;
    pinged.ok().and_then(Result::ok)
}

/// Opens connections to members, through the owner where the target names one.
#[derive(Debug, Clone)]
pub struct Connector<C> {
    direct: C,
    traffic: traffic::Traffic,
}

impl<C> Connector<C> {
    /// Creates a connector that opens direct connections with `direct`.
    pub fn new(direct: C, traffic: &traffic::Traffic) -> Self {
        Self {
            direct,
            traffic: traffic.clone(),
        }
    }
}

impl<C: link::Connector> link::Connector for Connector<C> {
    type Link = Link<C::Link>;

    async fn open(
        &self,
        target: &link::Target,
    ) -> Result<(Self::Link, Option<position::Position>), link::LinkError> {
        let Some(owner) = &target.via else {
            let (link, position) = self.direct.open(target).await?;
            return Ok((Link::Direct(link), position));
        };
        let account = self.direct.accounts().open(budget::Kind::Outgoing).await;
        let refused = || link::LinkError::Unreachable(io::ErrorKind::QuotaExceeded.into());
        let account = account.ok_or_else(refused)?;
        let stream = connect_owner(owner.address, &self.traffic).await?;
        let client = Box::new(client::Client::charged(
            stream,
            target,
            account,
            &self.traffic,
        ));
        Ok((Link::Relayed(client), None))
    }

    async fn reach(&self, target: &link::Target) -> Result<(), link::LinkError> {
        self.direct.reach(target).await
    }
}

impl<L: link::Link> link::Link for Link<L> {
    fn set_priority(&mut self, priority: link::Priority) {
        match self {
            Self::Direct(_) => {}
            Self::Relayed(client) => client.set_priority(priority),
        }
    }

    fn set_deadline(&mut self, target: Timestamp, deadline: Timestamp) {
        match self {
            Self::Direct(_) => {}
            Self::Relayed(client) => client.set_deadline(target, deadline),
        }
    }

    fn is_open(&mut self) -> bool {
        match self {
            Self::Direct(link) => link.is_open(),
            Self::Relayed(client) => client.is_open(),
        }
    }

    fn report(&self) -> Option<link::Report> {
        match self {
            Self::Direct(_) => None,
            Self::Relayed(client) => client.report(),
        }
    }

    fn keeps_state(&self) -> bool {
        matches!(self, Self::Direct(_))
    }

    async fn call(
        &mut self,
        command: link::Command<'_>,
    ) -> Result<answer::Answer, link::LinkError> {
        match self {
            Self::Direct(link) => link.call(command).await,
            Self::Relayed(client) => client.call(command).await,
        }
    }

    async fn prepare(
        &mut self,
        commands: &[link::Command<'_>],
    ) -> Result<Option<position::Position>, link::LinkError> {
        match self {
            Self::Direct(link) => link.prepare(commands).await,
            Self::Relayed(client) => client.prepare(commands).await,
        }
    }

    async fn run_admin(
        &mut self,
        command: link::AdminCommand,
    ) -> Result<candidate::Status, link::LinkError> {
        match self {
            Self::Direct(link) => link.run_admin(command).await,
            Self::Relayed(_) => {
                let unsupported = io::Error::from(io::ErrorKind::Unsupported);
                Err(link::LinkError::Broken(unsupported))
            }
        }
    }
}
