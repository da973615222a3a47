//! A read never misses the session's own acknowledged writes, while sessions move between
//! instances with old views, replicas lag and primaries change.

#![allow(clippy::unwrap_used)]

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::position;
use cardamomhold_core::token;
use cardamomhold_group::confirm;
use cardamomhold_group::status;
use cardamomhold_session::route;
use cardamomhold_session::wait;
use proptest::prelude::*;
use proptest::test_runner;

const MEMBERS: usize = 3;
const INSTANCES: usize = 3;
const SESSIONS: usize = 3;
const SEED: u64 = 0x5eed_0002;

/// A step; the numbers of `Replicate` and `Apply` are the member and the number of entries.
#[derive(Debug, Clone)]
enum Event {
    Write(usize),
    Confirm,
    Read { session: usize, spread: usize },
    Move { session: usize, instance: usize },
    Replicate(usize, usize),
    Apply(usize, usize),
    Promote { fenced: [usize; 2] },
    Join(usize),
    UpdateView(usize),
}

#[derive(Debug, Clone, Default)]
struct Member {
    /// Numbers of the writes, in log order.
    log: Vec<u32>,
    applied: usize,
    term: u64,
    fenced: u64,
    is_primary: bool,
    /// Term of the primary that the member replicates from.
    followed_term: u64,
    /// Length of the log when that term started.
    start: usize,
}

impl Member {
    /// Adopts the followed term once the log includes everything before the term's start.
    fn adopt_term(&mut self) {
        if self.log.len() >= self.start {
            self.term = self.followed_term;
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct View {
    term: u64,
    primary: usize,
    /// Length of the log when the term started.
    start: usize,
}

#[derive(Debug, Clone, Default)]
struct Session {
    instance: usize,
    /// Encoded session token.
    token: String,
    /// Acknowledged writes.
    acked: Vec<u32>,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    session: usize,
    write: u32,
    member: usize,
    position: position::Position,
}

struct World {
    members: Vec<Member>,
    names: Vec<name::MemberName>,
    group: name::GroupName,
    secret: token::TokenSecret,
    views: [View; INSTANCES],
    leadership: View,
    sessions: Vec<Session>,
    pending: Vec<Pending>,
    writes: u32,
    reads: usize,
}

impl World {
    fn new() -> Self {
        let mut members = vec![Member::default(); MEMBERS];
        for member in &mut members {
            member.term = 1;
            member.fenced = 1;
            member.followed_term = 1;
        }
        members[0].is_primary = true;
        let view = View {
            term: 1,
            primary: 0,
            start: 0,
        };
        let secret = token::TokenSecret::new(b"secret");
        let empty = token::SessionToken::default().encode(&secret);
        let session = Session {
            token: empty,
            ..Session::default()
        };
        Self {
            members,
            names: ["a", "b", "c"]
                .map(|n| name::MemberName::parse(n).expect("valid name"))
                .into(),
            group: name::GroupName::parse("bookings").expect("valid name"),
            secret,
            views: [view; INSTANCES],
            leadership: view,
            sessions: vec![session; SESSIONS],
            pending: Vec::new(),
            writes: 0,
            reads: 0,
        }
    }

    fn token(&self, session: usize) -> token::SessionToken {
        token::SessionToken::decode(&self.sessions[session].token, &self.secret)
            .expect("valid token")
    }

    fn apply(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match *event {
            Event::Write(session) => self.write(session),
            Event::Confirm => self.confirm(),
            Event::Read { session, spread } => return self.read(session, spread),
            Event::Move { session, instance } => self.sessions[session].instance = instance,
            Event::Replicate(member, count) => self.replicate(member, count),
            Event::Apply(member, count) => {
                let member = &mut self.members[member];
                member.applied = (member.applied + count).min(member.log.len());
            }
            Event::Promote { fenced } => self.promote(fenced),
            Event::Join(member) => self.join(member),
            Event::UpdateView(instance) => self.views[instance] = self.leadership,
        }
        Ok(())
    }

    fn write(&mut self, session: usize) {
        let view = self.views[self.sessions[session].instance];
        let seen = self.token(session).position(self.group.as_str());
        let names = &self.names;
        let route_view = route::View {
            term: position::Term(view.term),
            primary: Some(&names[view.primary]),
            replicas: &[],
        };
        if route::choose(route_view, false, seen, 0).is_err() {
            return;
        }
        let member = &mut self.members[view.primary];
        if !member.is_primary {
            return;
        }
        self.writes += 1;
        member.log.push(self.writes);
        member.applied = member.log.len();
        let log = position::LogPosition(member.log.len() as u64);
        let position = position::Position::new(position::Term(member.term), log);
        if member.term != view.term {
            return;
        }
        self.pending.push(Pending {
            session,
            write: self.writes,
            member: view.primary,
            position,
        });
    }

    fn status(&self, index: usize) -> status::MemberStatus {
        let member = &self.members[index];
        status::MemberStatus {
            role: if member.is_primary {
                status::MemberRole::Primary
            } else {
                status::MemberRole::Replica
            },
            term: position::Term(member.term),
            fenced: position::Term(member.fenced),
            received: position::LogPosition(member.log.len() as u64),
            applied: position::LogPosition(member.applied as u64),
            silence: time::Duration::ZERO,
            lag: time::Duration::ZERO,
            leaving: false,
        }
    }

    fn confirm(&mut self) {
        let mut confirmations = confirm::Confirmations::new(MEMBERS / 2 + 1);
        for index in 0..MEMBERS {
            confirmations.observe(&self.names[index], &self.status(index));
        }
        for pending in std::mem::take(&mut self.pending) {
            confirmations.record_position(&self.names[pending.member], pending.position);
            if !confirmations.is_confirmed(pending.position) {
                self.pending.push(pending);
                continue;
            }
            let mut token = self.token(pending.session);
            token
                .observe(&self.group, pending.position)
                .expect("token has room");
            let session = &mut self.sessions[pending.session];
            session.token = token.encode(&self.secret);
            session.acked.push(pending.write);
        }
    }

    fn read(&mut self, session: usize, spread: usize) -> Result<(), TestCaseError> {
        let view = self.views[self.sessions[session].instance];
        let seen = self.token(session).position(self.group.as_str());
        let mut replicas = Vec::new();
        for (index, name) in self.names.iter().enumerate() {
            if index != view.primary {
                replicas.push(route::Candidate {
                    member: name,
                    is_near: false,
                });
            }
        }
        let mut route_view = route::View {
            term: position::Term(view.term),
            primary: Some(&self.names[view.primary]),
            replicas: &replicas,
        };
        let mut route = route::choose(route_view, true, seen, spread);
        if let Ok(route::Route::Replica(member)) = route {
            let status = self.status(self.index(member));
            if self.decide(&status, seen) != wait::Wait::Ready {
                route_view.replicas = &[];
                route = route::choose(route_view, true, seen, spread);
            }
        }
        let member = match route {
            Ok(route::Route::Replica(member) | route::Route::Primary(member)) => member,
            Err(outcome::Refusal::StaleView) => return Ok(()),
            Err(refusal) => return Err(TestCaseError::fail(refusal.to_string())),
        };
        self.reads += 1;
        let member = &self.members[self.index(member)];
        for write in &self.sessions[session].acked {
            let is_applied = member.log[..member.applied].contains(write);
            prop_assert!(is_applied, "session {session} misses its write {write}");
        }
        Ok(())
    }

    fn decide(
        &self,
        status: &status::MemberStatus,
        seen: Option<position::Position>,
    ) -> wait::Wait {
        let replica = wait::ReplicaState {
            is_behind: seen.is_some_and(|s| !s.is_applied(status.term, status.applied)),
            delay: time::Duration::ZERO,
            silence: status.silence,
            lag: status.lag,
            staleness: time::Duration::from_secs(1),
        };
        wait::decide(replica, time::Duration::from_secs(1))
    }

    fn index(&self, name: &name::MemberName) -> usize {
        self.names
            .iter()
            .position(|n| n == name)
            .expect("known member")
    }

    fn primary(&self, term: u64) -> Option<usize> {
        self.members
            .iter()
            .position(|m| m.is_primary && m.term == term)
    }

    fn replicate(&mut self, index: usize, count: usize) {
        let term = self.members[index].followed_term;
        if self.members[index].is_primary || self.members[index].fenced > term {
            return;
        }
        let Some(primary) = self.primary(term) else {
            return;
        };
        let start = self.members[index].log.len();
        let entries: Vec<u32> = self.members[primary]
            .log
            .iter()
            .skip(start)
            .take(count)
            .copied()
            .collect();
        self.members[index].log.extend(entries);
        self.members[index].adopt_term();
    }

    /// Fences a majority, then promotes the fenced member with the newest log.
    fn promote(&mut self, fenced: [usize; 2]) {
        if fenced[0] == fenced[1] {
            return;
        }
        let term = self.leadership.term + 1;
        for index in fenced {
            self.members[index].fenced = term;
            self.members[index].is_primary = false;
        }
        let newest = |index: &usize| (self.members[*index].term, self.members[*index].log.len());
        let primary = fenced
            .into_iter()
            .max_by_key(newest)
            .expect("two fenced members");
        let member = &mut self.members[primary];
        member.term = term;
        member.followed_term = term;
        member.is_primary = true;
        member.applied = member.log.len();
        let start = member.log.len();
        self.leadership = View {
            term,
            primary,
            start,
        };
    }

    /// Lets a member follow the newest primary and truncate entries that the primary lacks.
    fn join(&mut self, index: usize) {
        let View {
            term,
            primary,
            start,
        } = self.leadership;
        if index == primary {
            return;
        }
        let primary_log = self.members[primary].log.clone();
        let member = &mut self.members[index];
        let common = member
            .log
            .iter()
            .zip(&primary_log)
            .take_while(|(a, b)| a == b)
            .count();
        member.log.truncate(common);
        member.applied = member.applied.min(common);
        member.followed_term = term;
        member.start = start;
        member.fenced = term;
        member.is_primary = false;
        member.adopt_term();
    }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..SESSIONS).prop_map(Event::Write),
        4 => Just(Event::Confirm),
        6 => (0..SESSIONS, 0..8usize).prop_map(|(session, spread)| Event::Read { session, spread }),
        2 => (0..SESSIONS, 0..INSTANCES).prop_map(|(session, instance)| Event::Move { session, instance }),
        6 => (0..MEMBERS, 1..4usize).prop_map(|(member, count)| Event::Replicate(member, count)),
        3 => (0..MEMBERS, 1..4usize).prop_map(|(member, count)| Event::Apply(member, count)),
        1 => (0..MEMBERS, 0..MEMBERS).prop_map(|(a, b)| Event::Promote { fenced: [a, b] }),
        2 => (0..MEMBERS).prop_map(Event::Join),
        2 => (0..INSTANCES).prop_map(Event::UpdateView),
    ]
}

fn config() -> test_runner::Config {
    let cases = std::env::var("CARDAMOMHOLD_CASES").ok();
    test_runner::Config {
        cases: cases.and_then(|c| c.parse().ok()).unwrap_or(5_000),
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn never_misses_writes(events in proptest::collection::vec(event(), 1..120)) {
        let mut world = World::new();
        for event in &events {
            world.apply(event)?;
        }
    }
}
