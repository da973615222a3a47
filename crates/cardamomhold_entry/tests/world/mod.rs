//! Test fixture: one instance with scripted members and a view that the test sets.

#![allow(dead_code)]

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::sync;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::answer;
use cardamomhold_entry::attempt;
use cardamomhold_entry::checkout;
use cardamomhold_entry::clock;
use cardamomhold_entry::coordinator;
use cardamomhold_entry::group;
use cardamomhold_entry::groups;
use cardamomhold_entry::limits;
use cardamomhold_entry::link;
use cardamomhold_entry::metrics;
use cardamomhold_entry::owners;
use cardamomhold_entry::registry;
use cardamomhold_entry::stop;
use cardamomhold_entry::traffic;
use cardamomhold_entry::view;
use cardamomhold_lead::candidate;
use cardamomhold_lead::record;
use cardamomhold_pool::wait_queue;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

pub fn group_name() -> name::GroupName {
    name::GroupName::parse("bookings").unwrap()
}

pub fn member(text: &str) -> name::MemberName {
    name::MemberName::parse(text).unwrap()
}

pub fn caller() -> name::CallerName {
    name::CallerName::parse("kalkbok").unwrap()
}

/// A request for a connection to the primary that is useful for `timeout`.
pub fn primary_request(timeout: time::Duration) -> wait_queue::Request {
    let now = clock::now();
    wait_queue::Request {
        id: 0,
        rank: 0,
        requirement: wait_queue::Requirement::Primary,
        caller: caller(),
        grant: None,
        avoid: Vec::new(),
        asked: Vec::new(),
        target: now.after(timeout / 4),
        deadline: now.after(timeout),
    }
}

/// Asks a group's task for a connection to the primary.
pub fn ask<L>(group: &group::Handle<L>, timeout: time::Duration) -> Reply<L> {
    let (reply, granted) = oneshot::channel();
    let request = primary_request(timeout);
    let message = group::Message::Request { request, reply };
    assert!(group.send(message).is_ok(), "the group's task has ended");
    granted
}

pub fn position(term: u64, number: u64) -> position::Position {
    position::Position::new(position::Term(term), position::LogPosition(number))
}

/// Commands that the members received, and how they answer.
#[derive(Debug, Default)]
pub struct Script {
    /// Each command received, with the member and the number of the connection.
    pub sent: Vec<(name::MemberName, u64, String)>,
    /// Codes with which the next statements are refused.
    pub refusals: collections::VecDeque<answer::Code>,
    /// Workspace of each connection, by its number.
    pub workspaces: collections::BTreeMap<u64, Option<name::WorkspaceName>>,
    /// Numbers of the connections with an open transaction.
    pub open: collections::BTreeSet<u64>,
    /// Members that accept commands but don't answer.
    pub silent: collections::BTreeSet<name::MemberName>,
    /// Members that [`link::Connector::reach`] reports as unreachable.
    pub unreachable: collections::BTreeSet<name::MemberName>,
    /// Whether a task that copies the connector panics.
    pub panics: bool,
    /// Whether the members refuse connections since they have too many.
    pub is_full: bool,
    /// Whether the members close new connections without an answer.
    pub resets: bool,
    /// Numbers of connections that the members have closed.
    pub closed: collections::BTreeSet<u64>,
    /// Delay before a member accepts a connection.
    pub accept_delay: time::Duration,
    /// Delay before a member answers a statement.
    pub answer_delay: time::Duration,
    connections: u64,
}

impl Script {
    /// Number of attempts to open a connection.
    pub fn opened(&self) -> u64 {
        self.connections
    }
}

#[derive(Debug, Default)]
pub struct Members {
    pub script: rc::Rc<cell::RefCell<Script>>,
}

impl Clone for Members {
    fn clone(&self) -> Self {
        assert!(!self.script.borrow().panics, "scripted fault");
        Self {
            script: self.script.clone(),
        }
    }
}

#[derive(Debug)]
pub struct Member {
    name: name::MemberName,
    number: u64,
    script: rc::Rc<cell::RefCell<Script>>,
}

impl link::Connector for Members {
    type Link = Member;

    async fn open(
        &self,
        target: &link::Target,
    ) -> Result<(Member, Option<position::Position>), link::LinkError> {
        let accept_delay = self.script.borrow().accept_delay;
        if !accept_delay.is_zero() {
            tokio::time::sleep(accept_delay).await;
        }
        let mut script = self.script.borrow_mut();
        script.connections += 1;
        if script.resets {
            let reset = std::io::ErrorKind::ConnectionReset.into();
            return Err(link::LinkError::Broken(reset));
        }
        if script.is_full {
            return Err(link::LinkError::Refused(answer::Code::TooMany));
        }
        if script.unreachable.contains(target.member.as_str()) {
            let refused = std::io::ErrorKind::ConnectionRefused.into();
            return Err(link::LinkError::Unreachable(refused));
        }
        let number = script.connections;
        script.workspaces.insert(number, target.workspace.clone());
        let member = Member {
            name: target.member.clone(),
            number: script.connections,
            script: self.script.clone(),
        };
        Ok((member, Some(position(1, 1))))
    }

    async fn reach(&self, target: &link::Target) -> Result<(), link::LinkError> {
        if self
            .script
            .borrow()
            .unreachable
            .contains(target.member.as_str())
        {
            let refused = std::io::ErrorKind::ConnectionRefused.into();
            return Err(link::LinkError::Unreachable(refused));
        }
        Ok(())
    }
}

impl Member {
    fn respond(&self, command: &link::Command<'_>) -> answer::Answer {
        let mut script = self.script.borrow_mut();
        let text = format!("{command:?}");
        script.sent.push((self.name.clone(), self.number, text));
        match command {
            link::Command::Begin { .. } => {
                script.open.insert(self.number);
            }
            link::Command::Rollback => {
                script.open.remove(&self.number);
            }
            link::Command::Pass { text: "COMMIT", .. } => {
                script.open.remove(&self.number);
            }
            _ => {}
        }
        let state = if script.open.contains(&self.number) {
            answer::State::Open
        } else {
            answer::State::Idle
        };
        let is_statement = matches!(
            command,
            link::Command::Pass { .. } | link::Command::Execute { .. }
        );
        let refusal = is_statement.then(|| script.refusals.pop_front()).flatten();
        match refusal {
            Some(code) => answer::Answer::refused(code, "scripted", state),
            None => answer::Answer {
                rows: Vec::new(),
                end: answer::End::Done(Some(self.name.to_string())),
                state,
                position: Some(position(1, 1)),
            },
        }
    }

    async fn wait_if_silent(&self) {
        if self.script.borrow().silent.contains(self.name.as_str()) {
            std::future::pending::<()>().await;
        }
    }
}

impl link::Link for Member {
    fn is_open(&mut self) -> bool {
        !self.script.borrow().closed.contains(&self.number)
    }

    async fn call(
        &mut self,
        command: link::Command<'_>,
    ) -> Result<answer::Answer, link::LinkError> {
        let answer = self.respond(&command);
        self.wait_if_silent().await;
        let answer_delay = self.script.borrow().answer_delay;
        if !answer_delay.is_zero() {
            tokio::time::sleep(answer_delay).await;
        }
        Ok(answer)
    }

    async fn prepare(
        &mut self,
        commands: &[link::Command<'_>],
    ) -> Result<Option<position::Position>, link::LinkError> {
        for command in commands {
            self.respond(command);
        }
        self.wait_if_silent().await;
        Ok(None)
    }

    async fn run_admin(
        &mut self,
        _: link::AdminCommand,
    ) -> Result<candidate::Status, link::LinkError> {
        Ok(candidate::Status {
            role: candidate::Role::Replica,
            term: position::Term(1),
            received: position(1, 1),
        })
    }
}

/// Receives the connection for a request, or why there is none.
pub type Reply<L> = oneshot::Receiver<Result<checkout::Checkout<L>, group::Refusal>>;

/// One instance with a single group of the members a, b and c.
pub struct World {
    pub instance: name::InstanceName,
    pub members: Members,
    pub views: watch::Sender<view::View>,
    pub leases: watch::Sender<view::Lease>,
    pub samples: watch::Sender<view::Samples>,
    pub phases: watch::Sender<stop::Phase>,
    pub groups: watch::Receiver<groups::Groups<Member>>,
    pub events: mpsc::UnboundedReceiver<coordinator::Event>,
    metrics: metrics::Metrics,
    coordinator: coordinator::Handle,
}

impl World {
    /// Creates one of `instances` instances, with a valid lease and `a` as the primary.
    pub fn new(instances: usize) -> Self {
        let instance = name::InstanceName::parse("entry-0").unwrap();
        Self::with_instance(&instance, instances)
    }

    /// Creates an instance that reaches `a` through an owner at the address `via`.
    pub fn relayed(via: net::SocketAddr, instances: usize) -> Self {
        let members = fleet(instances);
        let owners = owners::of_member(&members, "zone-a", &member("a"));
        let own = members.keys().find(|n| !owners.contains(n)).unwrap();
        let world = Self::with_instance(own, instances);
        let mut fleet = members.clone();
        for entry in fleet.values_mut() {
            entry.address = via;
        }
        world.views.send_modify(|v| v.fleet = sync::Arc::new(fleet));
        world
    }

    /// Like [`World::new`], with the given instance.
    pub fn with_instance(instance: &name::InstanceName, instances: usize) -> Self {
        let members = Members::default();
        let (views, view) = watch::channel(view_of("a", 1, instances));
        let (leases, lease) = watch::channel(view::Lease::default());
        let (samples, sampled) = watch::channel(view::Samples::default());
        let (phases, _) = watch::channel(stop::Phase::Serving);
        let (coordinator, events) = coordinator::mailbox();
        let metrics = metrics::Metrics::new().unwrap();
        let groups = groups::start(groups::Context {
            instance: instance.clone(),
            zone: "zone-a".to_owned(),
            connector: members.clone(),
            views: view,
            lease,
            samples: sampled,
            coordinator: coordinator.clone(),
            metrics: metrics.clone(),
            limits: limits::Handle::default(),
        });
        let world = Self {
            coordinator,
            instance: instance.clone(),
            members,
            views,
            leases,
            samples,
            phases,
            groups,
            events,
            metrics,
        };
        world.set_lease(time::Duration::from_secs(60));
        world
    }

    pub fn set_lease(&self, duration: time::Duration) {
        let until = clock::now().after(duration);
        self.set_lease_end(until);
    }

    fn set_lease_end(&self, until: Timestamp) {
        self.leases.send_replace(view::Lease {
            until,
            isolation: view::Isolation::Connected,
        });
    }

    pub fn end_lease(&self) {
        let until = Timestamp(0);
        self.set_lease_end(until);
    }

    /// Dependencies of groups of this instance that open connections with `connector`.
    pub fn groups_context<C: link::Connector>(&self, connector: C) -> groups::Context<C> {
        groups::Context {
            instance: self.instance.clone(),
            zone: "zone-a".to_owned(),
            connector,
            views: self.views.subscribe(),
            lease: self.leases.subscribe(),
            samples: self.samples.subscribe(),
            coordinator: self.coordinator.clone(),
            metrics: self.metrics.clone(),
            limits: limits::Handle::default(),
        }
    }

    /// The first owner of a member.
    pub fn first_owner(&self, member_name: &str) -> name::InstanceName {
        let fleet = self.views.borrow().fleet.clone();
        owners::of_member(&fleet, &format!("zone-{member_name}"), &member(member_name))[0].clone()
    }

    /// Counters of the instance's messages.
    pub fn traffic(&self) -> &traffic::Traffic {
        self.metrics.traffic()
    }

    pub fn set_isolation(&self, isolation: view::Isolation) {
        self.leases.send_modify(|l| l.isolation = isolation);
    }

    pub fn context(&self) -> attempt::Context<Member> {
        attempt::Context {
            views: self.views.subscribe(),
            lease: self.leases.subscribe(),
            groups: self.groups.clone(),
            phase: self.phases.subscribe(),
            metrics: self.metrics.clone(),
            limits: limits::Handle::default(),
        }
    }

    pub async fn group(&mut self) -> group::Handle<Member> {
        let name = group_name();
        let groups = self.groups.wait_for(|g| g.contains_key(name.as_str()));
        groups.await.unwrap().get(name.as_str()).unwrap().clone()
    }
}

pub fn route(consistency: view::Consistency) -> view::Route {
    view::Route {
        group: group_name(),
        consistency,
        timeout: time::Duration::from_millis(800),
        target: time::Duration::from_millis(150),
        rank: 0,
        is_public: false,
    }
}

pub fn view_of(primary: &str, change: u64, instances: usize) -> view::View {
    let mut catalog = view::Catalog {
        version: 1,
        ..view::Catalog::default()
    };
    catalog.groups.push(view::GroupSpec {
        name: group_name(),
        connections: 47,
        sync_replicas: 0,
    });
    let own = view::Consistency::OwnWrites(time::Duration::from_millis(2_500));
    for (database, consistency) in [("main", view::Consistency::Primary), ("own", own)] {
        catalog
            .routes
            .insert(database.to_owned(), route(consistency).into());
    }
    let mut members = collections::BTreeMap::new();
    for (i, text) in ["a", "b", "c"].into_iter().enumerate() {
        let name = member(text);
        let entry = view::Member {
            name: name.clone(),
            group: group_name(),
            address: net::SocketAddr::from(([127, 0, 0, 1], 5400 + i as u16)),
            zone: format!("zone-{text}"),
            state: view::MemberState::Ready,
            is_primary: text == primary,
            slots: 4,
            started_ms: 1,
        };
        members.insert(name, entry);
    }
    let mut leaderships = record::Leaderships::default();
    leaderships.update(&record::Leadership {
        group: group_name(),
        change,
        primary: Some(member(primary)),
        former: None,
        candidate: None,
        term: position::Term(change),
    });
    view::View {
        catalog: sync::Arc::new(catalog),
        members: sync::Arc::new(members),
        leaderships: sync::Arc::new(leaderships),
        fleet: sync::Arc::new(fleet(instances)),
        leaving: Default::default(),
    }
}

/// `count` instances of one zone.
pub fn fleet(count: usize) -> registry::Instances {
    let mut fleet = registry::Instances::new();
    for i in 0..count {
        let name = name::InstanceName::parse(&format!("entry-{i}")).unwrap();
        let entry = registry::Entry {
            address: ([127, 0, 0, 1], 7000 + i as u16).into(),
            zone: "zone-a".to_owned(),
        };
        fleet.insert(name, entry);
    }
    fleet
}

/// Runs a test in one thread, with paused time.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Runs a test that uses sockets, for which time can't be paused.
pub fn run_in_real_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
