//! Sessions roam over instances with old views while replicas lag and primaries change:
//! a read never misses the session's own acknowledged write.

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

#[derive(Debug, Clone)]
enum Event {
    Write(usize),
    Confirm,
    Read { session: usize, spread: usize },
    Roam { session: usize, instance: usize },
    Replicate(usize, usize),
    Apply(usize, usize),
    Promote { fenced: [usize; 2] },
    Join(usize),
    Learn(usize),
}

#[derive(Debug, Clone, Default)]
struct Member {
    /// Numbers of the writes, in the log's order.
    log: Vec<u32>,
    applied: usize,
    term: u64,
    fenced: u64,
    leads: bool,
    /// Term of the primary that it follows.
    follows: u64,
    /// Where that term's own log starts.
    first: usize,
}

impl Member {
    /// A followed term counts as its own once everything before the term's start is there.
    fn take_term(&mut self) {
        if self.log.len() >= self.first {
            self.term = self.follows;
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct View {
    term: u64,
    primary: usize,
    /// Length of the log when the term began.
    first: usize,
}

#[derive(Debug, Clone, Default)]
struct Session {
    instance: usize,
    text: String,
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
            member.follows = 1;
        }
        members[0].leads = true;
        let view = View {
            term: 1,
            primary: 0,
            first: 0,
        };
        let secret = token::TokenSecret::new(b"secret");
        let empty = token::SessionToken::default().encode(&secret);
        let session = Session {
            text: empty,
            ..Session::default()
        };
        Self {
            members,
            names: ["a", "b", "c"]
                .map(|n| name::MemberName::parse(n).expect("name"))
                .into(),
            group: name::GroupName::parse("bookings").expect("name"),
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
        token::SessionToken::decode(&self.sessions[session].text, &self.secret).expect("known")
    }

    fn take(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match *event {
            Event::Write(session) => self.write(session),
            Event::Confirm => self.confirm(),
            Event::Read { session, spread } => return self.read(session, spread),
            Event::Roam { session, instance } => self.sessions[session].instance = instance,
            Event::Replicate(member, count) => self.replicate(member, count),
            Event::Apply(member, count) => {
                let member = &mut self.members[member];
                member.applied = (member.applied + count).min(member.log.len());
            }
            Event::Promote { fenced } => self.promote(fenced),
            Event::Join(member) => self.join(member),
            Event::Learn(instance) => self.views[instance] = self.leadership,
        }
        Ok(())
    }

    fn write(&mut self, session: usize) {
        let view = self.views[self.sessions[session].instance];
        let seen = self.token(session).position(self.group.as_str());
        let names = &self.names;
        let chosen = route::View {
            term: position::Term(view.term),
            primary: Some(&names[view.primary]),
            replicas: &[],
        };
        if route::choose(chosen, false, seen, 0).is_err() {
            return;
        }
        let member = &mut self.members[view.primary];
        if !member.leads {
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

    fn status(&self, at: usize) -> status::MemberStatus {
        let member = &self.members[at];
        status::MemberStatus {
            role: if member.leads {
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
        for at in 0..MEMBERS {
            confirmations.observe(&self.names[at], &self.status(at));
        }
        for pending in std::mem::take(&mut self.pending) {
            confirmations.record_position(&self.names[pending.member], pending.position);
            if !confirmations.is_confirmed(pending.position) {
                self.pending.push(pending);
                continue;
            }
            let mut token = self.token(pending.session);
            token.observe(&self.group, pending.position).expect("known");
            let session = &mut self.sessions[pending.session];
            session.text = token.encode(&self.secret);
            session.acked.push(pending.write);
        }
    }

    fn read(&mut self, session: usize, spread: usize) -> Result<(), TestCaseError> {
        let view = self.views[self.sessions[session].instance];
        let seen = self.token(session).position(self.group.as_str());
        let mut replicas = Vec::new();
        for (at, name) in self.names.iter().enumerate() {
            if at != view.primary {
                replicas.push(route::Candidate {
                    member: name,
                    is_near: false,
                });
            }
        }
        let mut known = route::View {
            term: position::Term(view.term),
            primary: Some(&self.names[view.primary]),
            replicas: &replicas,
        };
        let mut chosen = route::choose(known, true, seen, spread);
        if let Ok(route::Route::Replica(member)) = chosen {
            let status = self.status(self.index(member));
            if self.decide(&status, seen) != wait::Wait::Ready {
                known.replicas = &[];
                chosen = route::choose(known, true, seen, spread);
            }
        }
        let member = match chosen {
            Ok(route::Route::Replica(member) | route::Route::Primary(member)) => member,
            Err(outcome::Refusal::StaleView) => return Ok(()),
            Err(refusal) => return Err(TestCaseError::fail(refusal.to_string())),
        };
        self.reads += 1;
        let member = &self.members[self.index(member)];
        for write in &self.sessions[session].acked {
            let is_there = member.log[..member.applied].contains(write);
            prop_assert!(is_there, "session {session} misses its write {write}");
        }
        Ok(())
    }

    fn decide(
        &self,
        status: &status::MemberStatus,
        seen: Option<position::Position>,
    ) -> wait::Wait {
        let distance = wait::Distance {
            is_missing: seen.is_some_and(|s| !s.is_held(status.term, status.applied)),
            delay: time::Duration::ZERO,
            silence: status.silence,
            lag: status.lag,
            staleness: time::Duration::from_secs(1),
        };
        wait::decide(distance, time::Duration::from_secs(1))
    }

    fn index(&self, name: &name::MemberName) -> usize {
        self.names.iter().position(|n| n == name).expect("known")
    }

    fn leader(&self, term: u64) -> Option<usize> {
        self.members.iter().position(|m| m.leads && m.term == term)
    }

    fn replicate(&mut self, at: usize, count: usize) {
        let term = self.members[at].follows;
        if self.members[at].leads || self.members[at].fenced > term {
            return;
        }
        let Some(leader) = self.leader(term) else {
            return;
        };
        let from = self.members[at].log.len();
        let entries: Vec<u32> = self.members[leader]
            .log
            .iter()
            .skip(from)
            .take(count)
            .copied()
            .collect();
        self.members[at].log.extend(entries);
        self.members[at].take_term();
    }

    /// Fences a majority, then promotes the one with the newest log among them.
    fn promote(&mut self, fenced: [usize; 2]) {
        if fenced[0] == fenced[1] {
            return;
        }
        let term = self.leadership.term + 1;
        for at in fenced {
            self.members[at].fenced = term;
            self.members[at].leads = false;
        }
        let newest = |at: &usize| (self.members[*at].term, self.members[*at].log.len());
        let primary = fenced.into_iter().max_by_key(newest).expect("known");
        let member = &mut self.members[primary];
        member.term = term;
        member.follows = term;
        member.leads = true;
        member.applied = member.log.len();
        let first = member.log.len();
        self.leadership = View {
            term,
            primary,
            first,
        };
    }

    /// A member follows the newest primary and cuts off what that one does not hold.
    fn join(&mut self, at: usize) {
        let View {
            term,
            primary,
            first,
        } = self.leadership;
        if at == primary {
            return;
        }
        let leader = self.members[primary].log.clone();
        let member = &mut self.members[at];
        let common = member
            .log
            .iter()
            .zip(&leader)
            .take_while(|(a, b)| a == b)
            .count();
        member.log.truncate(common);
        member.applied = member.applied.min(common);
        member.follows = term;
        member.first = first;
        member.fenced = term;
        member.leads = false;
        member.take_term();
    }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..SESSIONS).prop_map(Event::Write),
        4 => Just(Event::Confirm),
        6 => (0..SESSIONS, 0..8usize).prop_map(|(session, spread)| Event::Read { session, spread }),
        2 => (0..SESSIONS, 0..INSTANCES).prop_map(|(session, instance)| Event::Roam { session, instance }),
        6 => (0..MEMBERS, 1..4usize).prop_map(|(member, count)| Event::Replicate(member, count)),
        3 => (0..MEMBERS, 1..4usize).prop_map(|(member, count)| Event::Apply(member, count)),
        1 => (0..MEMBERS, 0..MEMBERS).prop_map(|(a, b)| Event::Promote { fenced: [a, b] }),
        2 => (0..MEMBERS).prop_map(Event::Join),
        2 => (0..INSTANCES).prop_map(Event::Learn),
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
    fn never_missed(events in proptest::collection::vec(event(), 1..120)) {
        let mut world = World::new();
        for event in &events {
            world.take(event)?;
        }
    }
}
