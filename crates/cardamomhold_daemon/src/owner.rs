//! The task that starts and ends the instance's group and endpoint tasks, and serves streams.

use std::collections;
use std::sync;
use std::time;

use cardamomhold_budget::accounts;
use cardamomhold_config::config;
use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::rank;
use cardamomhold_fleet::fleet;
use cardamomhold_group::spec;
use cardamomhold_queue::breaker;
use cardamomhold_queue::queue;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task;

use crate::clock;
use crate::endpoint;
use crate::execution;
use crate::fleet as fleet_task;
use crate::group;
use crate::leaderships;
use crate::metrics;
use crate::stop;
use crate::stream;

/// Capacity of the task's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 4096;

/// Divisor for the share of an endpoint's connections that one owner uses, so that two
/// owners with different views of the fleet stay within the endpoint's limit.
const POOL_DIVISOR: usize = 3;

/// Failure ratio at which the circuit breaker of an endpoint trips.
const BREAKER_TRIP: breaker::Trip = breaker::Trip::Ratio {
    window: time::Duration::from_secs(10),
    percent: 90,
    min_calls: 5,
};

/// Time without requests from other instances after which they are assumed to have noticed
/// the stop.
const STOP_QUIET_PERIOD: time::Duration = time::Duration::from_millis(250);

/// Requests to the task.
#[derive(Debug)]
pub enum Request {
    /// Serves a stream of a caller of this instance.
    Open(Box<stream::Ticket>, stream::StreamEnd),
    /// Serves a stream of another instance; refused once this instance drains.
    Forwarded(Box<stream::Ticket>, stream::StreamEnd),
    /// Waits until no stream is open and no other instance requests one.
    AwaitIdle(oneshot::Sender<()>),
    /// Returns the number of open streams.
    CountStreams(oneshot::Sender<usize>),
    /// Returns the group and endpoint tasks of this instance.
    ListTasks(oneshot::Sender<Tasks>),
}

/// The group and endpoint tasks of this instance.
#[derive(Debug, Clone, Default)]
pub struct Tasks {
    /// The groups' tasks.
    pub groups: Vec<(name::GroupName, group::Handle)>,
    /// The endpoints' tasks.
    pub endpoints: Vec<(name::MemberName, endpoint::Handle)>,
}

/// Dependencies of the task.
#[derive(Debug, Clone)]
pub struct Context {
    /// This instance.
    pub instance: name::InstanceName,
    /// The latest configuration.
    pub config: watch::Receiver<sync::Arc<config::Config>>,
    /// The latest view of the fleet.
    pub fleet: watch::Receiver<sync::Arc<fleet::Fleet>>,
    /// The instance's own membership, without which it serves no streams.
    pub membership: watch::Receiver<fleet_task::Membership>,
    /// Clock of the instance.
    pub clock: clock::Clock,
    /// Task that reads and writes the groups' leaderships at the platform.
    pub leaderships: mpsc::Sender<leaderships::Call>,
    /// Metrics for the endpoints' load.
    pub metrics: metrics::Metrics,
    /// Phase of the instance's shutdown.
    pub stop: stop::Stop,
    /// Accounts to which the answers of endpoints are charged.
    pub accounts: accounts::Handle,
}

/// Starts the task; it ends when its last handle is dropped.
pub fn start(context: Context) -> mpsc::Sender<Request> {
    let (requests, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    let task = Task {
        context,
        groups: collections::BTreeMap::new(),
        endpoints: collections::BTreeMap::new(),
        executions: task::JoinSet::new(),
        last_request: tokio::time::Instant::now(),
        idle_waiters: Vec::new(),
    };
    tokio::spawn(task.run(mailbox));
    requests
}

struct Task {
    context: Context,
    groups: collections::BTreeMap<name::GroupName, group::Handle>,
    endpoints: collections::BTreeMap<name::MemberName, Pool>,
    executions: task::JoinSet<()>,
    /// When another instance last requested a stream while this one drained, or when
    /// [`Request::AwaitIdle`] arrived.
    last_request: tokio::time::Instant,
    idle_waiters: Vec<oneshot::Sender<()>>,
}

#[derive(Debug)]
struct Pool {
    address: String,
    handle: endpoint::Handle,
}

impl Task {
    async fn run(mut self, mut mailbox: mpsc::Receiver<Request>) {
        let mut config = self.context.config.clone();
        let mut fleet = self.context.fleet.clone();
        loop {
            let idle_at = self.idle_at();
            tokio::select! {
                () = sleep_until(idle_at), if !self.idle_waiters.is_empty() => self.notify_idle(),
                Some(_) = self.executions.join_next() => {}
                request = mailbox.recv() => match request {
                    Some(Request::Open(ticket, end)) => self.serve(*ticket, end),
                    Some(Request::Forwarded(ticket, end)) => self.serve_forwarded(*ticket, end),
                    Some(Request::AwaitIdle(reply)) => {
                        self.last_request = tokio::time::Instant::now();
                        self.idle_waiters.push(reply);
                    }
                    Some(Request::CountStreams(reply)) => {
                        // The requester may have stopped waiting.
                        let _ = reply.send(self.executions.len());
                    }
                    Some(Request::ListTasks(reply)) => {
                        // The requester may have stopped waiting.
                        let _ = reply.send(self.tasks());
                    }
                    None => return,
                },
                changed = config.changed() => match changed {
                    Ok(()) => self.apply_config(),
                    Err(_) => return,
                },
                changed = fleet.changed() => match changed {
                    Ok(()) => self.apply_config(),
                    Err(_) => return,
                },
            }
        }
    }

    /// Starts the tasks of the groups that this instance owns members of, updates the pools'
    /// bounds, and ends the tasks of removed groups and of members that were removed or have a new
    /// address.
    fn apply_config(&mut self) {
        let config = self.context.config.borrow().clone();
        let fleet = self.context.fleet.borrow().clone();
        let mut members = collections::BTreeMap::new();
        for (group, spec) in config.groups() {
            for member in &spec.members {
                members.insert(&member.name, &member.address);
                if let Some(pool) = self.endpoints.get(&member.name) {
                    pool.handle.resize(pool_bounds(spec, &config));
                }
                let owner = fleet.owner(&member.name, &member.zone);
                if owner.is_some_and(|o| o.name == self.context.instance) {
                    self.ensure_group(group);
                }
            }
        }
        self.groups.retain(|name, _| config.group(name).is_some());
        self.endpoints
            .retain(|name, pool| members.get(name).is_some_and(|a| **a == pool.address));
    }

    fn ensure_group(&mut self, group: &name::GroupName) -> group::Handle {
        let context = &self.context;
        let handle = self.groups.entry(group.clone()).or_insert_with(|| {
            group::start(group::Context {
                group: group.clone(),
                instance: context.instance.clone(),
                config: context.config.clone(),
                fleet: context.fleet.clone(),
                clock: context.clock,
                leaderships: context.leaderships.clone(),
            })
        });
        handle.clone()
    }

    fn ensure_endpoint(
        &mut self,
        group: &name::GroupName,
        spec: &spec::GroupSpec,
        member: &spec::MemberSpec,
        config: &config::Config,
    ) -> endpoint::Handle {
        let context = &self.context;
        let pool = self
            .endpoints
            .entry(member.name.clone())
            .or_insert_with(|| {
                let login = endpoint::login(&member.address, group, &context.instance);
                let handle = endpoint::start(endpoint::Context {
                    group: group.clone(),
                    member: member.name.clone(),
                    login,
                    bounds: pool_bounds(spec, config),
                    clock: context.clock,
                    metrics: context.metrics.clone(),
                });
                Pool {
                    address: member.address.clone(),
                    handle,
                }
            });
        pool.handle.clone()
    }

    /// Time at which the instance counts as idle unless another instance requests a stream;
    /// `None` while streams are open.
    fn idle_at(&self) -> Option<tokio::time::Instant> {
        if !self.executions.is_empty() {
            return None;
        }
        Some(self.last_request + STOP_QUIET_PERIOD)
    }

    fn notify_idle(&mut self) {
        for waiter in self.idle_waiters.drain(..) {
            // The requester may have stopped waiting.
            let _ = waiter.send(());
        }
    }

    /// Serves a stream of another instance, which tries the next owner if it is refused here.
    fn serve_forwarded(&mut self, ticket: stream::Ticket, end: stream::StreamEnd) {
        if self.context.stop.has_reached(stop::Phase::Draining) {
            self.last_request = tokio::time::Instant::now();
            return refuse(&end, outcome::Refusal::Stopping);
        }
        self.serve(ticket, end);
    }

    fn serve(&mut self, ticket: stream::Ticket, end: stream::StreamEnd) {
        let config = self.context.config.borrow().clone();
        match self.execution_context(&config, &ticket) {
            Ok(context) => {
                self.executions.spawn(execution::run(context, ticket, end));
            }
            Err(refusal) => refuse(&end, refusal),
        }
    }

    fn execution_context(
        &mut self,
        config: &config::Config,
        ticket: &stream::Ticket,
    ) -> Result<execution::Context, outcome::Refusal> {
        let now = self.context.clock.now();
        if !self.context.membership.borrow().is_member(now) {
            return Err(outcome::Refusal::Rejoining);
        }
        let spec = config
            .group(&ticket.group)
            .ok_or(outcome::Refusal::StaleView)?;
        let member = spec
            .member(&ticket.member)
            .ok_or(outcome::Refusal::StaleView)?;
        let term = config
            .leadership(&ticket.group)
            .map(|r| r.term)
            .unwrap_or_default();
        if !ticket.access.is_read() && ticket.term < term {
            return Err(outcome::Refusal::StaleView);
        }
        Ok(execution::Context {
            group: self.ensure_group(&ticket.group),
            endpoint: self.ensure_endpoint(&ticket.group, spec, member, config),
            weight: config.caller_rule(&ticket.caller).weight,
            retention: spec.key_retention(),
            idle: time::Duration::from_millis(config.stop_rule().idle_ms),
            stop: self.context.stop.clone(),
            accounts: self.context.accounts.clone(),
        })
    }

    fn tasks(&self) -> Tasks {
        Tasks {
            groups: self
                .groups
                .iter()
                .map(|(n, h)| (n.clone(), h.clone()))
                .collect(),
            endpoints: self
                .endpoints
                .iter()
                .map(|(n, p)| (n.clone(), p.handle.clone()))
                .collect(),
        }
    }
}

fn refuse(end: &stream::StreamEnd, refusal: outcome::Refusal) {
    let failure = stream::Down::Failure(stream::Failure::NotRun(refusal));
    // The stream is new, so it has capacity; a caller that is gone needs no answer.
    let _ = end.down.try_send(failure);
}

async fn sleep_until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

fn pool_bounds(spec: &spec::GroupSpec, config: &config::Config) -> endpoint::Bounds {
    let connections = (spec.connections as usize / POOL_DIVISOR).max(1);
    let ranks = rank::Rank::ALL.map(|rank| {
        let rule = config.rank_rule(rank);
        queue::RankLimits {
            share_percent: rule.share_percent,
            max_waiting: rule.queue as usize,
            target: time::Duration::from_millis(rule.target_ms),
        }
    });
    endpoint::Bounds {
        limits: queue::Limits {
            max_started: connections,
            slots: spec.slots as usize,
            ranks,
            trip: BREAKER_TRIP,
        },
        connections,
    }
}
