//! Who gets which connection of a group, and after which position it reads.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

use crate::fresh;
use crate::line;
use crate::member;

/// A replica's usual delay: an own commit that is younger is read at the primary.
const OWN_DELAY: time::Duration = time::Duration::from_millis(150);

/// A connection for a piece of work.
#[derive(Debug)]
pub struct Grant<L> {
    /// The work.
    pub id: u64,
    /// The member.
    pub member: name::MemberName,
    /// Whether the member is the group's primary.
    pub is_primary: bool,
    /// The position that a read must find.
    pub after: Option<position::Position>,
    /// An idle link; none when one has to be opened.
    pub link: Option<L>,
}

/// Why work gets no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The group has no primary, or the lease on it is not valid.
    NoPrimary,
    /// No member that would do has a connection to spare.
    Full,
    /// No member that would do can be reached.
    Unreachable,
}

/// What the pool decided.
#[derive(Debug)]
pub enum Decision<L> {
    /// The work gets a connection.
    Grant(Grant<L>),
    /// The work is refused; it did not run.
    Refuse {
        /// The work.
        id: u64,
        /// Why.
        reason: Reason,
    },
}

/// How the use of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The member answered; it took this long for each statement.
    Answered(time::Duration),
    /// The member refused for want of a slot.
    Full,
    /// The member refused for want of a connection.
    Crowded,
    /// The member lacks a position.
    Lacks(position::Position),
    /// The connection broke, or could not be opened.
    Failed,
    /// The member did not answer in time.
    Silent,
    /// The member ran the work without success.
    Erred,
    /// The way to the owner of the connection broke, which says nothing of the member.
    OwnerLost,
    /// The connection was not used.
    Unused,
}

/// The pool of one group.
#[derive(Debug)]
pub struct Pool<L> {
    members: Vec<member::Member<L>>,
    primary: Option<name::MemberName>,
    samples: fresh::Samples,
    line: line::Line,
}

impl<L> Default for Pool<L> {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            primary: None,
            samples: fresh::Samples::default(),
            line: line::Line::default(),
        }
    }
}

impl<L> Pool<L> {
    /// A pool without members.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the members.
    pub fn set_members(&mut self, infos: &[member::MemberInfo<'_>]) {
        self.members
            .retain(|m| infos.iter().any(|i| *i.name == m.name));
        for info in infos {
            match self.members.iter_mut().find(|m| m.name == *info.name) {
                Some(member) => member.update(info),
                None => self.members.push(member::Member::new(info)),
            }
        }
        let primary = self.primary.as_ref();
        for member in &mut self.members {
            if !member.is_ready && primary != Some(&member.name) {
                member.close_idle();
            }
        }
    }

    /// Takes the primary of the present leadership; none during a change.
    pub fn set_primary(&mut self, primary: Option<&name::MemberName>) {
        self.primary = primary.cloned();
    }

    /// Takes work in; [`Pool::poll`] decides.
    pub fn ask(&mut self, ask: line::Ask) {
        self.line.push(ask);
    }

    /// Decides what gets a connection and what is refused now.
    pub fn poll(&mut self, now: Timestamp, is_leased: bool) -> Vec<Decision<L>> {
        for member in &mut self.members {
            member.expire(now);
        }
        let mut decisions = Vec::new();
        let mut done = Vec::new();
        let line = std::mem::take(&mut self.line);
        for ask in line.iter() {
            if ask.deadline <= now || !self.may_serve(ask) {
                let reason = self.reason(ask, is_leased);
                decisions.push(Decision::Refuse { id: ask.id, reason });
                done.push((ask.rank, ask.id));
                continue;
            }
            if let Some((at, after)) = self.choose(now, ask, is_leased) {
                decisions.push(Decision::Grant(self.lend(at, ask.id, after)));
                done.push((ask.rank, ask.id));
                continue;
            }
        }
        self.line = line;
        for (rank, id) in done {
            self.line.remove(rank, id);
        }
        decisions
    }

    /// Whether waiting may help: what another instance wants of a member that is down, or
    /// whose connections are not owned here, is better sought elsewhere.
    fn may_serve(&self, ask: &line::Ask) -> bool {
        let line::Want::Member(name) = &ask.want else {
            return true;
        };
        let member = self.members.iter().find(|m| m.name == *name);
        member.is_some_and(|m| m.is_owned() && !m.is_lost())
    }

    fn lend(&mut self, at: usize, id: u64, after: Option<position::Position>) -> Grant<L> {
        let is_primary = self.is_primary(at);
        let member = &mut self.members[at];
        member.lent += 1;
        Grant {
            id,
            member: member.name.clone(),
            is_primary,
            after,
            link: member.take_idle(),
        }
    }

    fn is_primary(&self, at: usize) -> bool {
        self.primary.as_ref() == Some(&self.members[at].name)
    }

    /// The member for a piece of work, and the position that it must hold.
    fn choose(
        &self,
        now: Timestamp,
        ask: &line::Ask,
        is_leased: bool,
    ) -> Option<(usize, Option<position::Position>)> {
        match &ask.want {
            line::Want::Primary => {
                let at = self.primary_at(now, is_leased)?;
                Some((at, None))
            }
            line::Want::Member(name) => {
                let at = self.members.iter().position(|m| m.name == *name)?;
                self.members[at].has_room(now).then_some((at, None))
            }
            line::Want::Read { staleness, own } => {
                let replica = self.replica_for(now, ask, *staleness, *own);
                if let Some((at, needed)) = replica {
                    return Some((at, Some(needed)));
                }
                let at = self.primary_at(now, is_leased)?;
                Some((at, None))
            }
        }
    }

    fn primary_at(&self, now: Timestamp, is_leased: bool) -> Option<usize> {
        if !is_leased {
            return None;
        }
        let at = (0..self.members.len()).find(|at| self.is_primary(*at))?;
        let member = &self.members[at];
        // There is no other primary to go to.
        member.has_room(now).then_some(at)
    }

    fn replica_for(
        &self,
        now: Timestamp,
        ask: &line::Ask,
        staleness: time::Duration,
        own: Option<(position::Position, Timestamp)>,
    ) -> Option<(usize, position::Position)> {
        let mut needed = self.samples.needed(now, staleness)?;
        let mut is_recent = false;
        if let Some((position, at)) = own {
            needed = needed.max(position);
            is_recent = needed == position && now.since(at) < OWN_DELAY;
        }
        let mut best: Option<(usize, f64)> = None;
        for (at, member) in self.members.iter().enumerate() {
            if !member.is_ready || self.is_primary(at) {
                continue;
            }
            if !member.has_room(now) || ask.avoid.contains(&member.name) {
                continue;
            }
            if !member.may_hold(now, needed) {
                continue;
            }
            if is_recent && !member.holds(needed) {
                continue;
            }
            let cost = member.cost_us();
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((at, cost));
            }
        }
        best.map(|(at, _)| (at, needed))
    }

    fn reason(&self, ask: &line::Ask, is_leased: bool) -> Reason {
        if let line::Want::Member(name) = &ask.want {
            let member = self.members.iter().find(|m| m.name == *name);
            return match member {
                Some(member) if member.is_owned() && !member.is_lost() => Reason::Full,
                Some(_) | None => Reason::Unreachable,
            };
        }
        if ask.want == line::Want::Primary && (self.primary.is_none() || !is_leased) {
            return Reason::NoPrimary;
        }
        let mut is_reachable = false;
        for member in &self.members {
            is_reachable |= member.is_ready && !member.is_down();
        }
        if is_reachable {
            Reason::Full
        } else {
            Reason::Unreachable
        }
    }

    /// Takes a connection back, with what its use showed; without a link it is gone.
    pub fn give_back(
        &mut self,
        now: Timestamp,
        name: &name::MemberName,
        link: Option<L>,
        ended: Ended,
    ) {
        let Some(member) = self.members.iter_mut().find(|m| m.name == *name) else {
            return;
        };
        member.lent = member.lent.saturating_sub(1);
        match ended {
            Ended::Answered(took) => member.answered(took),
            Ended::Full => member.full(now),
            Ended::Crowded => member.crowd(now),
            Ended::Lacks(needed) => member.lacks(now, needed),
            Ended::Failed | Ended::Silent => member.failed(now),
            Ended::Erred => member.revive(),
            Ended::OwnerLost | Ended::Unused => {}
        }
        let is_primary = self.primary.as_ref() == Some(&member.name);
        if let Some(link) = link
            && (member.is_ready || is_primary)
        {
            member.put_idle(now, link);
        }
    }

    /// Takes note that a connection for work was opened.
    pub fn opened(&mut self, name: &name::MemberName) {
        if let Some(member) = self.members.iter_mut().find(|m| m.name == *name) {
            member.opened();
        }
    }

    /// Takes note that a member has been silent for long: work goes elsewhere until a probe
    /// of it succeeds.
    pub fn doubt(&mut self, now: Timestamp, name: &name::MemberName) {
        if let Some(member) = self.members.iter_mut().find(|m| m.name == *name) {
            member.doubt(now);
        }
    }

    /// Members to probe now, by opening a connection; [`Pool::probed`] ends each probe.
    pub fn probes(&mut self, now: Timestamp) -> Vec<name::MemberName> {
        let mut names = Vec::new();
        for member in &mut self.members {
            if member.probe_at().is_some_and(|at| at <= now) {
                member.is_probed = true;
                names.push(member.name.clone());
            }
        }
        names
    }

    /// Takes the end of a probe, with the connection that it opened, if any.
    pub fn probed(
        &mut self,
        now: Timestamp,
        name: &name::MemberName,
        is_reached: bool,
        link: Option<L>,
    ) {
        let Some(member) = self.members.iter_mut().find(|m| m.name == *name) else {
            return;
        };
        member.is_probed = false;
        if !is_reached {
            member.failed(now);
            return;
        }
        member.revive();
        if let Some(link) = link
            && member.lacks_idle()
        {
            member.put_idle(now, link);
        }
    }

    /// Takes a position that a member gave in answer to what was sent at `sent`; true when it
    /// is a sample of the primary that is worth telling others.
    ///
    /// `is_leased`: the lease was valid when the answer came.
    pub fn observe(
        &mut self,
        name: &name::MemberName,
        sample: fresh::Sample,
        is_leased: bool,
    ) -> bool {
        if let Some(member) = self.members.iter_mut().find(|m| m.name == *name) {
            member.observe(sample.position);
        }
        is_leased && self.primary.as_ref() == Some(name) && self.samples.observe(sample)
    }

    /// Takes a sample of the primary's position that another instance made under a valid
    /// lease.
    pub fn learn(&mut self, sample: fresh::Sample) {
        self.samples.observe(sample);
    }

    /// When [`Pool::poll`] or [`Pool::probes`] may do something without another event.
    pub fn wake(&self, now: Timestamp) -> Option<Timestamp> {
        let mut wake = self.line.deadline();
        for member in &self.members {
            let reopens = member.reopens(now).filter(|_| !self.line.is_empty());
            let expires = member.expires();
            for at in [reopens, member.probe_at(), expires].into_iter().flatten() {
                wake = Some(wake.map_or(at, |w| w.min(at)));
            }
        }
        wake
    }

    /// Number of waiting pieces of work.
    pub fn waiting(&self) -> usize {
        self.line.len()
    }
}
