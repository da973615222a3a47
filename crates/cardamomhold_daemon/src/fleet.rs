//! The task that owns the fleet's membership and its UDP socket.

use std::net::SocketAddr;
use std::sync;
use std::time;

use cardamomhold_core::time::Timestamp;
use cardamomhold_fleet::election;
use cardamomhold_fleet::fleet;
use cardamomhold_fleet::message;
use cardamomhold_fleet::swim;
use cardamomhold_fleet::timing;
use cardamomhold_platform::client;
use cardamomhold_platform::client::Platform;
use tokio::net;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::clock;
use crate::config;
use crate::gossip;
use crate::pull;

/// Minimum interval between reads of the platform's instance list by a zone's elected instance.
const LIST_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Minimum interval between reads of the list, per known instance; bounds the rate of bytes read.
const LIST_INTERVAL_PER_INSTANCE: time::Duration = time::Duration::from_millis(100);

/// Half of the first interval between reads of the list while the instance hasn't joined; the
/// interval doubles before each use, up to `LIST_INTERVAL`.
const INITIAL_JOIN_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Number of instances per zone that read the platform's list.
const LISTERS_PER_ZONE: usize = 1;

/// Minimum interval between publications of the fleet, per known instance; building a view of
/// thousands of instances takes milliseconds.
const PUBLISH_INTERVAL_PER_INSTANCE: time::Duration = time::Duration::from_micros(60);

/// Capacity of the task's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 256;

/// Requests to the task.
#[derive(Debug)]
pub enum Request {
    /// Announces that the instance leaves.
    Leave(oneshot::Sender<()>),
    /// The platform has answered this instance.
    PlatformAnswered,
    /// The platform's list; `None` if it did not answer.
    Listed(Option<Vec<client::Instance>>),
    /// Entries that differ in a peer's membership.
    Synced(Vec<message::Rumor>),
    /// Returns the entries of this instance's membership that differ from the digests.
    Members(gossip::Digests, oneshot::Sender<Vec<message::Rumor>>),
}

/// Validity of the instance's own membership.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Membership {
    /// Time until which the instance may act as an owner; `None` while it rejoins.
    pub valid_until: Option<Timestamp>,
    /// When the platform last answered any instance.
    pub answered_at: Option<Timestamp>,
}

impl Membership {
    /// Whether the instance may act as an owner now.
    pub fn is_member(&self, now: Timestamp) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Time since the platform last answered any instance.
    pub fn platform_silence(&self, now: Timestamp) -> Option<time::Duration> {
        self.answered_at.map(|at| now.since(at))
    }
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub struct Handle {
    /// The latest view of the fleet.
    pub fleet: watch::Receiver<sync::Arc<fleet::Fleet>>,
    /// The instance's own membership; updated with each step of the task.
    pub membership: watch::Receiver<Membership>,
    /// Sends requests to the task.
    pub requests: mpsc::Sender<Request>,
}

impl Handle {
    /// Announces that the instance leaves; returns once the announcement is sent.
    pub async fn leave(&self) {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Leave(reply)).await.is_ok() {
            // If the task is ending, there is no announcement.
            let _ = answer.await;
        }
    }

    /// Records that the platform has answered.
    pub async fn platform_answered(&self) {
        // If the task is ending, the record isn't needed.
        let _ = self.requests.send(Request::PlatformAnswered).await;
    }
}

/// Dependencies of the task.
#[derive(Debug)]
pub struct Context<P> {
    /// Platform that serves the list of instances.
    pub platform: P,
    /// This instance.
    pub own: fleet::Instance,
    /// Addresses of instances to contact at the start.
    pub seeds: Vec<SocketAddr>,
    /// UDP socket at the address of the peer service.
    pub socket: net::UdpSocket,
    /// Clock of the instance.
    pub clock: clock::Clock,
    /// Handle of the configuration's task.
    pub config: config::Handle,
    /// Receives requests for changes that peers have.
    pub pulls: mpsc::Sender<pull::Request>,
}

/// Prepares the task; the fleet always includes this instance.
pub fn prepare<P: Platform>(context: Context<P>) -> (Handle, Task<P>) {
    let (requests, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    let incarnation = clock::unix_now().as_millis() as u64;
    let now = context.clock.now();
    let swim = swim::Swim::new(swim::Config {
        own: context.own.clone(),
        incarnation,
        seeds: context.seeds.iter().map(SocketAddr::to_string).collect(),
        seed: uuid::Uuid::new_v4().as_u64_pair().0,
        now,
    });
    let (publisher, fleet) = watch::channel(sync::Arc::new(swim.fleet()));
    let (membership, membership_receiver) = watch::channel(Membership {
        valid_until: swim.valid_until(),
        answered_at: None,
    });
    let handle = Handle {
        fleet,
        membership: membership_receiver,
        requests: requests.clone(),
    };
    let task = Task {
        revision: swim.revision(),
        context,
        swim,
        requests,
        mailbox,
        publisher,
        membership,
        next_list: now,
        next_publish: now,
        join_interval: INITIAL_JOIN_INTERVAL,
    };
    (handle, task)
}

/// The task, ready to run.
#[derive(Debug)]
pub struct Task<P> {
    context: Context<P>,
    swim: swim::Swim,
    revision: u64,
    requests: mpsc::Sender<Request>,
    mailbox: mpsc::Receiver<Request>,
    publisher: watch::Sender<sync::Arc<fleet::Fleet>>,
    membership: watch::Sender<Membership>,
    next_list: Timestamp,
    next_publish: Timestamp,
    join_interval: time::Duration,
}

impl<P: Platform> Task<P> {
    /// Runs until it is aborted.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(timing::TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut datagram = vec![0; gossip::MAX_DATAGRAM_LEN];
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                received = self.context.socket.recv_from(&mut datagram) => {
                    // An error reports an earlier datagram that could not be delivered.
                    if let Ok((len, from)) = received {
                        self.receive(&datagram[..len], from).await;
                    }
                }
                request = self.mailbox.recv() => match request {
                    Some(request) => self.handle(request).await,
                    None => return,
                },
            }
            self.membership.send_replace(Membership {
                valid_until: self.swim.valid_until(),
                answered_at: self.answered_at(),
            });
        }
    }

    fn answered_at(&self) -> Option<Timestamp> {
        let now = self.context.clock.now();
        let age = self.swim.answer_age(now)?;
        Some(Timestamp(now.0.saturating_sub(age.as_micros() as u64)))
    }

    async fn tick(&mut self) {
        let now = self.context.clock.now();
        let through = self.context.config.config.borrow().through();
        self.swim.set_through(through);
        let mut outputs = Vec::new();
        self.swim.tick(now, &mut outputs);
        self.dispatch(outputs).await;
        self.publish();
        self.read_list(now);
    }

    async fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        let Ok(message) = gossip::decode(datagram) else {
            log::debug!("event=bad_datagram from={from}");
            return;
        };
        let now = self.context.clock.now();
        let mut outputs = Vec::new();
        self.swim
            .receive(&from.to_string(), &message, now, &mut outputs);
        self.dispatch(outputs).await;
    }

    async fn handle(&mut self, request: Request) {
        let now = self.context.clock.now();
        match request {
            Request::Leave(reply) => {
                let mut outputs = Vec::new();
                self.swim.leave(now, &mut outputs);
                self.dispatch(outputs).await;
                self.publish();
                // The requester may have stopped waiting.
                let _ = reply.send(());
            }
            Request::PlatformAnswered => self.swim.record_answer(now),
            Request::Listed(Some(listed)) => {
                self.swim.record_answer(now);
                let listed: Vec<_> = listed.into_iter().map(listed_instance).collect();
                self.swim.add_listed(&listed, now);
                self.publish();
            }
            Request::Listed(None) => {}
            Request::Synced(rumors) => {
                self.swim.apply_sync(&rumors, now);
                self.publish();
            }
            Request::Members(digests, reply) => {
                // The requester may have stopped waiting.
                let _ = reply.send(self.swim.roster().differing(&digests));
            }
        }
    }

    async fn dispatch(&mut self, outputs: Vec<message::Output>) {
        for output in outputs {
            match output {
                message::Output::Send(address, message) => {
                    let datagram = gossip::encode(&message);
                    let Ok(address) = address.parse::<SocketAddr>() else {
                        continue;
                    };
                    // The protocol detects lost datagrams.
                    let _ = self.context.socket.send_to(&datagram, address).await;
                }
                message::Output::Sync(address) => self.start_sync(address),
                message::Output::Pull(address, through) => {
                    let request = pull::Request { address, through };
                    // If the mailbox is full, the request is dropped; the next heartbeat
                    // repeats it.
                    let _ = self.context.pulls.try_send(request);
                }
            }
        }
    }

    fn start_sync(&self, address: String) {
        let requests = self.requests.clone();
        let digests = self.swim.roster().digests();
        tokio::spawn(async move {
            if let Some(rumors) = gossip::sync(&address, &digests).await {
                // The task may be ending.
                let _ = requests.send(Request::Synced(rumors)).await;
            }
        });
    }

    fn publish(&mut self) {
        let now = self.context.clock.now();
        if self.swim.revision() == self.revision || now < self.next_publish {
            return;
        }
        let count = self.swim.roster().len() as u32;
        self.next_publish = now.after(PUBLISH_INTERVAL_PER_INSTANCE * count);
        self.revision = self.swim.revision();
        let fleet = self.swim.fleet();
        self.publisher.send_replace(sync::Arc::new(fleet));
    }

    /// Reads the platform's list if that is due and this instance is elected or not joined yet.
    fn read_list(&mut self, now: Timestamp) {
        if now < self.next_list {
            return;
        }
        let pause = if self.swim.is_joined() {
            let count = self.swim.roster().len() as u32;
            LIST_INTERVAL.max(LIST_INTERVAL_PER_INSTANCE * count)
        } else {
            self.join_interval = (self.join_interval * 2).min(LIST_INTERVAL);
            self.join_interval
        };
        self.next_list = now.after(pause);
        let own = &self.context.own;
        let is_elected = election::is_elected(&self.publisher.borrow(), own, LISTERS_PER_ZONE);
        if self.swim.is_joined() && !is_elected {
            return;
        }
        let platform = self.context.platform.clone();
        let requests = self.requests.clone();
        tokio::spawn(async move {
            let listed = platform.instances().await.ok();
            // The task may be ending.
            let _ = requests.send(Request::Listed(listed)).await;
        });
    }
}

fn listed_instance(listed: client::Instance) -> fleet::Instance {
    let state = if listed.leaving {
        fleet::InstanceState::Leaving
    } else {
        fleet::InstanceState::Alive
    };
    fleet::Instance {
        name: listed.name,
        zone: listed.zone,
        address: listed.address,
        state,
    }
}
