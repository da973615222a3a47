//! Starts the tasks of one instance and stops them gracefully.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time;

use cardamomhold_budget::accounts;
use cardamomhold_budget::plan;
use cardamomhold_core::token;
use cardamomhold_fleet::fleet;
use cardamomhold_platform::client;
use cardamomhold_proto::operator as operator_schema;
use cardamomhold_proto::peer as peer_schema;
use tokio::net;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task;
use tonic::transport::server;

use crate::accept;
use crate::caller;
use crate::caller_limit;
use crate::clock;
use crate::config;
use crate::fleet as fleet_task;
use crate::follow;
use crate::http;
use crate::leaderships;
use crate::metrics;
use crate::operator;
use crate::owner;
use crate::peer;
use crate::pull;
use crate::settings;
use crate::stop;
use crate::sweep;

/// Number of cancel requests that are buffered for slow receivers.
const CANCEL_CAPACITY: usize = 256;

/// Maximum number of further attempts to find a port that is free for both TCP and UDP.
const MAX_PORT_TRIES: u32 = 16;

/// Reason why an instance did not start.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be listened on.
    Listen {
        /// Name of the setting with the address.
        setting: &'static str,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The platform's address is invalid.
    PlatformAddress,
    /// The metrics can't be set up.
    Metrics(prometheus::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { setting, error } => write!(f, "{setting}: can't listen: {error}"),
            Self::PlatformAddress => f.write_str("platform: not an address"),
            Self::Metrics(error) => write!(f, "metrics: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running instance.
#[derive(Debug)]
pub struct Daemon {
    listen: SocketAddr,
    peer: SocketAddr,
    metrics: SocketAddr,
    ready: watch::Sender<bool>,
    phase: watch::Sender<stop::Phase>,
    config: config::Handle,
    fleet: fleet_task::Handle,
    owner: mpsc::Sender<owner::Request>,
    callers: task::JoinHandle<task::JoinSet<()>>,
    peers: task::JoinHandle<()>,
    services: task::JoinSet<()>,
}

async fn bind(
    setting: &'static str,
    address: SocketAddr,
) -> Result<(net::TcpListener, SocketAddr), StartError> {
    let failed = |error| StartError::Listen { setting, error };
    let listener = net::TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok((listener, address))
}

/// Binds a TCP listener and a UDP socket to the same address.
async fn bind_peer(
    address: SocketAddr,
) -> Result<(net::TcpListener, SocketAddr, net::UdpSocket), StartError> {
    let mut tries = 0;
    loop {
        let (listener, bound) = bind("peer", address).await?;
        match net::UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, bound, socket)),
            // The system chose the port for TCP; another port may be free for both.
            Err(_) if address.port() == 0 && tries < MAX_PORT_TRIES => tries += 1,
            Err(error) => {
                return Err(StartError::Listen {
                    setting: "peer",
                    error,
                });
            }
        }
    }
}

impl Daemon {
    /// Starts an instance.
    ///
    /// # Errors
    /// [`StartError`] if an address can't be listened on, the platform's address is invalid or
    /// the metrics can't be set up.
    pub async fn start(settings: &settings::Settings) -> Result<Self, StartError> {
        let platform = client::GrpcPlatform::new(&settings.platform.to_string())
            .map_err(|_| StartError::PlatformAddress)?;
        let metrics = metrics::Metrics::new().map_err(StartError::Metrics)?;
        let (callers_listener, listen) = bind("listen", settings.listen).await?;
        let (peer_listener, peer, socket) = bind_peer(settings.peer).await?;
        let (metrics_listener, metrics_address) = bind("metrics", settings.metrics).await?;
        let own = fleet::Instance {
            name: settings.instance.clone(),
            zone: settings.zone.clone(),
            address: peer.to_string(),
            state: fleet::InstanceState::Alive,
        };
        let clock = clock::Clock::start();
        let config = config::start();
        let (pulls, pull_mailbox) = mpsc::channel(pull::MAILBOX_CAPACITY);
        let (fleet, fleet_runner) = fleet_task::prepare(fleet_task::Context {
            platform: platform.clone(),
            own: own.clone(),
            seeds: settings.seeds.clone(),
            socket,
            clock,
            config: config.clone(),
            pulls,
        });
        let follower = follow::Follower {
            platform: platform.clone(),
            config: config.clone(),
            fleet: fleet.clone(),
            own: own.clone(),
            clock,
            has_seeds: !settings.seeds.is_empty(),
        };
        let leaderships =
            leaderships::start(platform.clone(), own.name.clone(), config.updates.clone());
        let phase = watch::Sender::new(stop::Phase::default());
        let stop = stop::Stop::new(phase.subscribe());
        let limits = plan::Limits::of_machine(settings.memory_mb, settings.max_fds);
        log::info!("event=limits {limits}");
        let shed = metrics.clone();
        let report = move |report| shed.record_budget(report);
        let accounts = accounts::start(limits, move || clock.now(), report);
        let owner = owner::start(owner::Context {
            instance: own.name.clone(),
            config: config.config.clone(),
            fleet: fleet.fleet.clone(),
            membership: fleet.membership.clone(),
            clock,
            leaderships,
            metrics: metrics.clone(),
            stop: stop.clone(),
            accounts: accounts.clone(),
        });
        let (ready, ready_receiver) = watch::channel(false);
        let cancels = broadcast::Sender::new(CANCEL_CAPACITY);
        let context = caller::Context {
            instance: own.name.clone(),
            zone: own.zone.clone(),
            secret: token::TokenSecret::new(settings.token_secret.as_bytes()),
            config: config.config.clone(),
            fleet: fleet.fleet.clone(),
            owner: owner.clone(),
            peers: peer::start(),
            cancels: cancels.clone(),
            caller_limit: caller_limit::start(),
            metrics: metrics.clone(),
            stop,
        };
        let peers = peer::Service {
            owner: owner.clone(),
            config: config.config.clone(),
            fleet: fleet.requests.clone(),
            cancels,
        };
        let sweep = sweep::Context {
            instance: own.name.clone(),
            config: config.config.clone(),
            fleet: fleet.fleet.clone(),
            owner: owner.clone(),
        };
        let operators = operator::Service {
            platform,
            config: config.clone(),
            fleet: fleet.fleet.clone(),
            owner: owner.clone(),
            own,
        };
        let mut services = task::JoinSet::new();
        let peers_stop = stop::Stop::new(phase.subscribe());
        let peers = tokio::spawn(serve_peers(peer_listener, peers, operators, peers_stop));
        services.spawn(fleet_runner.run());
        services.spawn(pull::run(pull_mailbox, config.clone()));
        services.spawn(follower.run());
        services.spawn(http::run(metrics_listener, metrics, ready_receiver));
        services.spawn(sweep::run(sweep));
        services.spawn(await_config(config.config.clone(), ready.clone()));
        let callers = tokio::spawn(accept::run(callers_listener, context, accounts));
        log::info!(
            "event=started instance={} zone={} listen={listen} peer={peer}",
            settings.instance,
            settings.zone
        );
        Ok(Self {
            listen,
            peer,
            metrics: metrics_address,
            ready,
            phase,
            config,
            fleet,
            owner,
            callers,
            peers,
            services,
        })
    }

    /// Address where callers connect.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Address where other instances and operators connect.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Address where metrics and the readiness probe are served.
    pub fn metrics(&self) -> SocketAddr {
        self.metrics
    }

    /// Waits until the instance has a configuration and is ready for callers.
    pub async fn ready(&self) {
        let mut ready = self.ready.subscribe();
        // The sender lives as long as `self`.
        let _ = ready.wait_for(|r| *r).await;
    }

    /// Time that open transactions get to end during a stop, from the stop rule.
    pub fn grace(&self) -> time::Duration {
        time::Duration::from_millis(self.config.config.borrow().stop_rule().grace_ms)
    }

    /// Stops gracefully.
    ///
    /// The instance reports not ready and gives up its endpoints, but keeps serving until the
    /// balancer and the other instances have had time to notice. Then it refuses new work, and
    /// requests in flight get `grace` to end.
    ///
    /// Returns the number of connections or streams, whichever is greater, that were still
    /// open after `grace`.
    pub async fn stop(mut self, grace: time::Duration) -> usize {
        self.leave().await;
        let rule = self.config.config.borrow().stop_rule();
        tokio::time::sleep(time::Duration::from_millis(rule.notice_ms)).await;
        self.enter_phase(stop::Phase::Draining);
        let deadline = tokio::time::Instant::now() + grace;
        let mut callers = (&mut self.callers).await.unwrap_or_default();
        // On a timeout the remaining tasks are counted below.
        let _ = tokio::time::timeout_at(deadline, join_all(&mut callers)).await;
        let streams = self.await_streams(deadline).await;
        let remaining = callers.len().max(streams);
        self.enter_phase(stop::Phase::Ending);
        let _ = tokio::time::timeout(stop::FINAL_REPORT_TIMEOUT, join_all(&mut callers)).await;
        // Connections of other instances close once their last stream has reported.
        let _ = tokio::time::timeout(stop::FINAL_REPORT_TIMEOUT, &mut self.peers).await;
        self.peers.abort();
        callers.shutdown().await;
        self.services.shutdown().await;
        log::info!("event=stopped left={remaining}");
        remaining
    }

    /// Announces to the balancer and the other instances that this instance is leaving.
    async fn leave(&self) {
        self.ready.send_replace(false);
        self.enter_phase(stop::Phase::Leaving);
        self.fleet.leave().await;
    }

    fn enter_phase(&self, phase: stop::Phase) {
        log::info!("event=stop_phase phase={phase}");
        self.phase.send_replace(phase);
    }

    /// Waits until no stream is open here; returns the number still open at the deadline.
    async fn await_streams(&self, deadline: tokio::time::Instant) -> usize {
        let (reply, answer) = oneshot::channel();
        let sent = self.owner.send(owner::Request::AwaitIdle(reply)).await;
        if sent.is_err() {
            return 0;
        }
        match tokio::time::timeout_at(deadline, answer).await {
            Ok(_) => 0,
            Err(_) => self.count_streams().await,
        }
    }

    async fn count_streams(&self) -> usize {
        let (reply, answer) = oneshot::channel();
        if self
            .owner
            .send(owner::Request::CountStreams(reply))
            .await
            .is_err()
        {
            return 0;
        }
        answer.await.unwrap_or_default()
    }
}

async fn join_all(tasks: &mut task::JoinSet<()>) {
    while tasks.join_next().await.is_some() {}
}

async fn await_config(
    mut config: watch::Receiver<std::sync::Arc<cardamomhold_config::config::Config>>,
    ready: watch::Sender<bool>,
) {
    if config.wait_for(|c| c.through() > 0).await.is_ok() {
        ready.send_replace(true);
    }
}

async fn serve_peers(
    listener: net::TcpListener,
    peers: peer::Service,
    operators: operator::Service<client::GrpcPlatform>,
    mut stop: stop::Stop,
) {
    let incoming = server::TcpIncoming::from(listener).with_nodelay(Some(true));
    let served = tonic::transport::Server::builder()
        .add_service(peer_schema::peer_server::PeerServer::new(peers))
        .add_service(operator_schema::operator_server::OperatorServer::new(
            operators,
        ))
        .serve_with_incoming_shutdown(incoming, async move {
            stop.await_phase(stop::Phase::Ending).await
        });
    if let Err(error) = served.await {
        log::error!("event=peer_service_end error=\"{error}\"");
    }
}
