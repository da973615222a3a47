//! The task that owns the membership and its datagram socket.

use std::net::SocketAddr;
use std::sync;
use std::time;

use cardamomhold_core::time::Timestamp;
use cardamomhold_fleet::elect;
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

/// Time between two reads of the platform's list by the instance that a zone elected.
const LIST_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Further time between two reads for each instance on the list, which bounds the bytes.
const LIST_PER_INSTANCE: time::Duration = time::Duration::from_millis(100);

/// First pause between two reads of the list while nobody is known; doubles each time.
const JOIN_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Instances of a zone that read the platform's list.
const LISTERS: usize = 1;

/// Least time between two publications of the fleet for each instance in it, for the making
/// of one takes milliseconds with thousands of instances.
const PUBLISH_PER_INSTANCE: time::Duration = time::Duration::from_micros(60);

/// Messages that wait for the task.
const MAILBOX: usize = 256;

/// What the task is told and asked.
#[derive(Debug)]
pub enum Request {
    /// Announces that the instance leaves.
    Leave(oneshot::Sender<()>),
    /// The platform answered this instance.
    Heard,
    /// The platform's list; none when it did not answer.
    Listed(Option<Vec<client::Instance>>),
    /// What differs in the membership of a peer.
    Synced(Vec<message::Rumor>),
    /// Asks for what differs in the membership here.
    Members(gossip::Digests, oneshot::Sender<Vec<message::Rumor>>),
}

/// What the instance may do, as its own membership has it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// Until when it may act as an owner; none while it rejoins.
    pub until: Option<Timestamp>,
    /// When the platform last answered anybody.
    pub heard: Option<Timestamp>,
}

impl Standing {
    /// Whether the instance may act as an owner now.
    pub fn is_member(&self, now: Timestamp) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Time since the platform last answered anybody.
    pub fn silence(&self, now: Timestamp) -> Option<time::Duration> {
        self.heard.map(|at| now.since(at))
    }
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub struct Handle {
    /// The fleet as it changes.
    pub fleet: watch::Receiver<sync::Arc<fleet::Fleet>>,
    /// What the instance may do; renewed with each step of the task.
    pub standing: watch::Receiver<Standing>,
    /// Tells and asks the task.
    pub requests: mpsc::Sender<Request>,
}

impl Handle {
    /// Announces that the instance leaves; returns once its neighbours were told.
    pub async fn leave(&self) {
        let (told, done) = oneshot::channel();
        if self.requests.send(Request::Leave(told)).await.is_ok() {
            // The task may be ending, and then nobody is left to tell.
            let _ = done.await;
        }
    }

    /// Takes note that the platform answered.
    pub async fn heard(&self) {
        // The next answer is noted if the task is ending.
        let _ = self.requests.send(Request::Heard).await;
    }
}

/// What the task needs.
#[derive(Debug)]
pub struct Setting<P> {
    /// Where the list is read.
    pub platform: P,
    /// The instance itself.
    pub own: fleet::Instance,
    /// Addresses of instances to ask at the start.
    pub seeds: Vec<SocketAddr>,
    /// The socket, at the address of the peer service.
    pub socket: net::UdpSocket,
    /// The clock.
    pub clock: clock::Clock,
    /// The configuration as it changes.
    pub config: config::Handle,
    /// Takes the changes that peers are known to hold.
    pub pulls: mpsc::Sender<pull::Wanted>,
}

/// Prepares the task; the instance itself is always in its fleet.
pub fn prepare<P: Platform>(setting: Setting<P>) -> (Handle, Task<P>) {
    let (requests, mailbox) = mpsc::channel(MAILBOX);
    let incarnation = clock::unix_now().as_millis() as u64;
    let now = setting.clock.now();
    let swim = swim::Swim::new(swim::Origin {
        own: setting.own.clone(),
        incarnation,
        seeds: setting.seeds.iter().map(SocketAddr::to_string).collect(),
        seed: uuid::Uuid::new_v4().as_u64_pair().0,
        now,
    });
    let (publisher, fleet) = watch::channel(sync::Arc::new(swim.fleet()));
    let (standing, standing_seen) = watch::channel(Standing {
        until: swim.valid_until(),
        heard: None,
    });
    let handle = Handle {
        fleet,
        standing: standing_seen,
        requests: requests.clone(),
    };
    let task = Task {
        revision: swim.revision(),
        setting,
        swim,
        requests,
        mailbox,
        publisher,
        standing,
        next_list: now,
        next_publish: now,
        join_interval: JOIN_INTERVAL,
    };
    (handle, task)
}

/// The task, ready to run.
#[derive(Debug)]
pub struct Task<P> {
    setting: Setting<P>,
    swim: swim::Swim,
    revision: u64,
    requests: mpsc::Sender<Request>,
    mailbox: mpsc::Receiver<Request>,
    publisher: watch::Sender<sync::Arc<fleet::Fleet>>,
    standing: watch::Sender<Standing>,
    next_list: Timestamp,
    next_publish: Timestamp,
    join_interval: time::Duration,
}

impl<P: Platform> Task<P> {
    /// Runs until it is aborted.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(timing::TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut datagram = vec![0; gossip::MAX_DATAGRAM];
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                received = self.setting.socket.recv_from(&mut datagram) => {
                    // An error tells of an earlier datagram that could not be delivered.
                    if let Ok((len, from)) = received {
                        self.receive(&datagram[..len], from).await;
                    }
                }
                request = self.mailbox.recv() => match request {
                    Some(request) => self.serve(request).await,
                    None => return,
                },
            }
            self.standing.send_replace(Standing {
                until: self.swim.valid_until(),
                heard: self.heard_at(),
            });
        }
    }

    fn heard_at(&self) -> Option<Timestamp> {
        let now = self.setting.clock.now();
        let age = self.swim.heard(now)?;
        Some(Timestamp(now.0.saturating_sub(age.as_micros() as u64)))
    }

    async fn tick(&mut self) {
        let now = self.setting.clock.now();
        let through = self.setting.config.config.borrow().through();
        self.swim.set_through(through);
        let mut outputs = Vec::new();
        self.swim.tick(now, &mut outputs);
        self.carry(outputs).await;
        self.publish();
        self.read_list(now);
    }

    async fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        let Ok(message) = gossip::decode(datagram) else {
            log::debug!("event=bad_datagram from={from}");
            return;
        };
        let now = self.setting.clock.now();
        let mut outputs = Vec::new();
        self.swim
            .receive(&from.to_string(), &message, now, &mut outputs);
        self.carry(outputs).await;
    }

    async fn serve(&mut self, request: Request) {
        let now = self.setting.clock.now();
        match request {
            Request::Leave(told) => {
                let mut outputs = Vec::new();
                self.swim.leave(now, &mut outputs);
                self.carry(outputs).await;
                self.publish();
                // Whoever asked may have stopped waiting.
                let _ = told.send(());
            }
            Request::Heard => self.swim.set_heard(now),
            Request::Listed(Some(listed)) => {
                self.swim.set_heard(now);
                let listed: Vec<_> = listed.into_iter().map(instance_of).collect();
                self.swim.hint(&listed, now);
                self.publish();
            }
            Request::Listed(None) => {}
            Request::Synced(rumors) => {
                self.swim.synced(&rumors, now);
                self.publish();
            }
            Request::Members(digests, reply) => {
                // Whoever asked may have stopped waiting.
                let _ = reply.send(self.swim.roster().differing(&digests));
            }
        }
    }

    async fn carry(&mut self, outputs: Vec<message::Output>) {
        for output in outputs {
            match output {
                message::Output::Send(address, message) => {
                    let datagram = gossip::encode(&message);
                    let Ok(address) = address.parse::<SocketAddr>() else {
                        continue;
                    };
                    // A lost datagram is the protocol's to notice.
                    let _ = self.setting.socket.send_to(&datagram, address).await;
                }
                message::Output::Sync(address) => self.sync(address),
                message::Output::Pull(address, through) => {
                    let wanted = pull::Wanted { address, through };
                    // A full mailbox loses the message; the next heartbeat repeats it.
                    let _ = self.setting.pulls.try_send(wanted);
                }
            }
        }
    }

    fn sync(&self, address: String) {
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
        let now = self.setting.clock.now();
        if self.swim.revision() == self.revision || now < self.next_publish {
            return;
        }
        let count = self.swim.roster().len() as u32;
        self.next_publish = now.after(PUBLISH_PER_INSTANCE * count);
        self.revision = self.swim.revision();
        let fleet = self.swim.fleet();
        self.publisher.send_replace(sync::Arc::new(fleet));
    }

    /// Reads the platform's list if it is this instance's turn.
    fn read_list(&mut self, now: Timestamp) {
        if now < self.next_list {
            return;
        }
        let pause = if self.swim.is_joined() {
            let count = self.swim.roster().len() as u32;
            LIST_INTERVAL.max(LIST_PER_INSTANCE * count)
        } else {
            self.join_interval = (self.join_interval * 2).min(LIST_INTERVAL);
            self.join_interval
        };
        self.next_list = now.after(pause);
        let own = &self.setting.own;
        let is_elected = elect::is_elected(&self.publisher.borrow(), own, LISTERS);
        if self.swim.is_joined() && !is_elected {
            return;
        }
        let platform = self.setting.platform.clone();
        let requests = self.requests.clone();
        tokio::spawn(async move {
            let listed = platform.instances().await.ok();
            // The task may be ending.
            let _ = requests.send(Request::Listed(listed)).await;
        });
    }
}

fn instance_of(listed: client::Instance) -> fleet::Instance {
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
