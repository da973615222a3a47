//! The task that owns the instance's group and endpoint tasks.

use std::collections;
use std::sync;
use std::time;

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
use crate::fleet as fleet_task;
use crate::group;
use crate::lane;
use crate::leaderships;
use crate::metrics;
use crate::stop;
use crate::work;

/// Messages that wait for the task.
const MAILBOX: usize = 4096;

/// Part of an endpoint's connections that one owner uses, so that two owners with
/// different views stay within the endpoint's limit.
const POOL_DIVISOR: usize = 3;

/// When an endpoint counts as down.
const TRIP: breaker::Trip = breaker::Trip::Ratio {
    window: time::Duration::from_secs(10),
    percent: 90,
    min_calls: 5,
};

/// Time without requests of other instances after which they are taken to have noticed a stop.
const QUIET: time::Duration = time::Duration::from_millis(250);

/// What the task is asked.
#[derive(Debug)]
pub enum Request {
    /// Serves a lane of a caller of this instance.
    Open(Box<lane::Ticket>, lane::LaneEnd),
    /// Serves a lane of another instance; refused once this one is draining.
    Forwarded(Box<lane::Ticket>, lane::LaneEnd),
    /// Answered once no lane is open and no other instance asks for one.
    AwaitIdle(oneshot::Sender<()>),
    /// Tells how many lanes are open.
    Lanes(oneshot::Sender<usize>),
    /// Shows the groups and endpoints that have tasks here.
    Show(oneshot::Sender<Shown>),
}

/// The groups and endpoints that have tasks here.
#[derive(Debug, Clone, Default)]
pub struct Shown {
    /// The groups' tasks.
    pub groups: Vec<(name::GroupName, group::Handle)>,
    /// The endpoints' tasks.
    pub endpoints: Vec<(name::MemberName, endpoint::Handle)>,
}

/// Where the task finds itself.
#[derive(Debug, Clone)]
pub struct Setting {
    /// This instance.
    pub instance: name::InstanceName,
    /// The configuration as it changes.
    pub config: watch::Receiver<sync::Arc<config::Config>>,
    /// The fleet as it changes.
    pub fleet: watch::Receiver<sync::Arc<fleet::Fleet>>,
    /// What the instance may do.
    pub standing: watch::Receiver<fleet_task::Standing>,
    /// The clock.
    pub clock: clock::Clock,
    /// The task that calls the platform for the groups' leaderships.
    pub leaderships: mpsc::Sender<leaderships::Call>,
    /// Where the endpoints' load is shown.
    pub metrics: metrics::Metrics,
    /// How far the instance's end has come.
    pub stop: stop::Stop,
}

/// Starts the task; it ends when its last handle is dropped.
pub fn start(setting: Setting) -> mpsc::Sender<Request> {
    let (requests, mailbox) = mpsc::channel(MAILBOX);
    let task = Task {
        setting,
        groups: collections::BTreeMap::new(),
        endpoints: collections::BTreeMap::new(),
        works: task::JoinSet::new(),
        asked: tokio::time::Instant::now(),
        waiters: Vec::new(),
    };
    tokio::spawn(task.run(mailbox));
    requests
}

struct Task {
    setting: Setting,
    groups: collections::BTreeMap<name::GroupName, group::Handle>,
    endpoints: collections::BTreeMap<name::MemberName, Pool>,
    works: task::JoinSet<()>,
    /// When another instance last asked for a lane after this one began to drain.
    asked: tokio::time::Instant,
    waiters: Vec<oneshot::Sender<()>>,
}

#[derive(Debug)]
struct Pool {
    address: String,
    handle: endpoint::Handle,
}

impl Task {
    async fn run(mut self, mut mailbox: mpsc::Receiver<Request>) {
        let mut config = self.setting.config.clone();
        let mut fleet = self.setting.fleet.clone();
        loop {
            let quiet = self.quiet_at();
            tokio::select! {
                () = quiet_until(quiet), if !self.waiters.is_empty() => self.tell_idle(),
                Some(_) = self.works.join_next() => {}
                request = mailbox.recv() => match request {
                    Some(Request::Open(ticket, end)) => self.open(*ticket, end),
                    Some(Request::Forwarded(ticket, end)) => self.forwarded(*ticket, end),
                    Some(Request::AwaitIdle(reply)) => {
                        self.asked = tokio::time::Instant::now();
                        self.waiters.push(reply);
                    }
                    Some(Request::Lanes(reply)) => {
                        // Whoever asked may have stopped waiting.
                        let _ = reply.send(self.works.len());
                    }
                    Some(Request::Show(reply)) => {
                        // Whoever asked may have stopped waiting.
                        let _ = reply.send(self.show());
                    }
                    None => return,
                },
                changed = config.changed() => match changed {
                    Ok(()) => self.reshape(),
                    Err(_) => return,
                },
                changed = fleet.changed() => match changed {
                    Ok(()) => self.reshape(),
                    Err(_) => return,
                },
            }
        }
    }

    /// Starts the tasks of what this instance owns, and ends those of what is no more.
    fn reshape(&mut self) {
        let config = self.setting.config.borrow().clone();
        let fleet = self.setting.fleet.borrow().clone();
        let mut members = collections::BTreeMap::new();
        for (group, spec) in config.groups() {
            for member in &spec.members {
                members.insert(&member.name, &member.address);
                if let Some(pool) = self.endpoints.get(&member.name) {
                    pool.handle.resize(bounds_of(spec, &config));
                }
                let owner = fleet.owner(&member.name, &member.zone);
                if owner.is_some_and(|o| o.name == self.setting.instance) {
                    self.ensure_group(group);
                }
            }
        }
        self.groups.retain(|name, _| config.group(name).is_some());
        self.endpoints
            .retain(|name, pool| members.get(name).is_some_and(|a| **a == pool.address));
    }

    fn ensure_group(&mut self, group: &name::GroupName) -> group::Handle {
        let setting = &self.setting;
        let handle = self.groups.entry(group.clone()).or_insert_with(|| {
            group::start(group::Setting {
                group: group.clone(),
                instance: setting.instance.clone(),
                config: setting.config.clone(),
                fleet: setting.fleet.clone(),
                clock: setting.clock,
                leaderships: setting.leaderships.clone(),
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
        let setting = &self.setting;
        let pool = self
            .endpoints
            .entry(member.name.clone())
            .or_insert_with(|| {
                let login = endpoint::login(&member.address, group, &setting.instance);
                let handle = endpoint::start(endpoint::Setting {
                    group: group.clone(),
                    member: member.name.clone(),
                    login,
                    bounds: bounds_of(spec, config),
                    clock: setting.clock,
                    metrics: setting.metrics.clone(),
                });
                Pool {
                    address: member.address.clone(),
                    handle,
                }
            });
        pool.handle.clone()
    }

    /// When nothing is in flight and other instances ask for nothing more; none while lanes are open.
    fn quiet_at(&self) -> Option<tokio::time::Instant> {
        if !self.works.is_empty() {
            return None;
        }
        Some(self.asked + QUIET)
    }

    fn tell_idle(&mut self) {
        for waiter in self.waiters.drain(..) {
            // Whoever asked may have stopped waiting.
            let _ = waiter.send(());
        }
    }

    /// Serves a lane of another instance, which finds the next owner when it is refused here.
    fn forwarded(&mut self, ticket: lane::Ticket, end: lane::LaneEnd) {
        if self.setting.stop.is_at(stop::Phase::Draining) {
            self.asked = tokio::time::Instant::now();
            return refuse(&end, outcome::Refusal::Stopping);
        }
        self.open(ticket, end);
    }

    fn open(&mut self, ticket: lane::Ticket, end: lane::LaneEnd) {
        let config = self.setting.config.borrow().clone();
        match self.context(&config, &ticket) {
            Ok(context) => {
                self.works.spawn(work::run(context, ticket, end));
            }
            Err(refusal) => refuse(&end, refusal),
        }
    }

    fn context(
        &mut self,
        config: &config::Config,
        ticket: &lane::Ticket,
    ) -> Result<work::Context, outcome::Refusal> {
        let now = self.setting.clock.now();
        if !self.setting.standing.borrow().is_member(now) {
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
        Ok(work::Context {
            group: self.ensure_group(&ticket.group),
            endpoint: self.ensure_endpoint(&ticket.group, spec, member, config),
            weight: config.caller_rule(&ticket.caller).weight,
            retention: spec.key_retention(),
            idle: time::Duration::from_millis(config.stop_rule().idle_ms),
            stop: self.setting.stop.clone(),
        })
    }

    fn show(&self) -> Shown {
        Shown {
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

fn refuse(end: &lane::LaneEnd, refusal: outcome::Refusal) {
    let failure = lane::Down::Failure(lane::Failure::NotRun(refusal));
    // The lane is fresh, so there is room; a caller that has gone needs no answer.
    let _ = end.down.try_send(failure);
}

async fn quiet_until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

fn bounds_of(spec: &spec::GroupSpec, config: &config::Config) -> endpoint::Bounds {
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
            trip: TRIP,
        },
        connections,
    }
}
