//! The requests of an instance for tokens: whom to ask, when, and which answers still count.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;

use crate::allocator;

/// Interval between two requests ahead of need.
const AHEAD_INTERVAL: time::Duration = time::Duration::from_millis(80);

/// Interval between two requests while operations wait: an owner of 40 operations a second, of
/// many workspaces, sends about half as many datagrams, and an operation waits 5 ms longer on
/// average.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Time after which a request counts as lost while operations wait. Two fit into the time for which
/// an operation waits.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(50);

/// Requests without tokens to the known holder after which voters are asked for another one.
const MAX_FAILURES: u32 = 2;

/// Answers in a row that name another holder and are followed at once: instances with old news may
/// name one another.
const MAX_REDIRECTS: u32 = 2;

/// Requests whose answers are still accepted.
const MAX_REQUESTS: usize = 8;

/// A request that was sent.
#[derive(Debug)]
pub(super) struct Sent {
    number: u64,
    pub(super) at: Timestamp,
    pub(super) workspaces: Vec<name::WorkspaceName>,
}

/// Requests of an instance.
#[derive(Debug)]
pub(super) struct Requests {
    own: name::InstanceName,
    incarnation: u64,
    /// The last requests, the newest last.
    sent: collections::VecDeque<Sent>,
    /// The request whose answer is awaited.
    awaited: Option<u64>,
    last_sent: Option<Timestamp>,
    number: u64,
    /// Requests without tokens since the last answer with some.
    pub(super) failures: u32,
    pub(super) holder: Option<name::InstanceName>,
    /// The instance that the last answer named, if it hasn't been asked yet.
    hint: Option<name::InstanceName>,
    redirects: u32,
}

impl Requests {
    pub(super) fn new(own: &name::InstanceName, incarnation: u64) -> Self {
        Self {
            own: own.clone(),
            incarnation,
            sent: collections::VecDeque::new(),
            awaited: None,
            last_sent: None,
            number: 0,
            failures: 0,
            holder: None,
            hint: None,
            redirects: 0,
        }
    }

    pub(super) fn is_failing(&self) -> bool {
        self.failures >= MAX_FAILURES
    }

    /// When the next request may be sent while operations wait.
    pub(super) fn due(&self) -> Timestamp {
        let Some(sent) = self.last_sent else {
            return Timestamp(0);
        };
        let follows = self.hint.is_some() && self.redirects <= MAX_REDIRECTS;
        match self.awaited.is_some() || (self.failures > 0 && !follows) {
            true => sent.after(ANSWER_TIMEOUT),
            false if follows => sent,
            false => sent.after(REQUEST_INTERVAL),
        }
    }

    /// When the next request may be sent ahead of need.
    pub(super) fn due_ahead(&self) -> Timestamp {
        let ahead = self.last_sent.map(|at| at.after(AHEAD_INTERVAL));
        self.due().max(ahead.unwrap_or_default())
    }

    /// Starts a request; one that is still awaited counts as lost.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        wanted: Vec<allocator::Wanted>,
    ) -> allocator::Request {
        if self.awaited.is_some() {
            self.failures += 1;
        }
        self.number += 1;
        self.awaited = Some(self.number);
        self.last_sent = Some(now);
        if self.sent.len() >= MAX_REQUESTS {
            self.sent.pop_front();
        }
        self.sent.push_back(Sent {
            number: self.number,
            at: now,
            workspaces: wanted.iter().map(|w| w.workspace.clone()).collect(),
        });
        allocator::Request {
            incarnation: self.incarnation,
            number: self.number,
            wanted,
        }
    }

    /// Whom to send it to: the instance that the last answer named, the holder, or one of the
    /// voters in turn while the holder isn't known or doesn't answer.
    pub(super) fn target(
        &mut self,
        voters: &collections::BTreeSet<name::InstanceName>,
    ) -> Option<name::InstanceName> {
        let is_failing = self.is_failing();
        let holder = self.holder.clone().filter(|_| !is_failing);
        let known = self.hint.take().or(holder).filter(|h| *h != self.own);
        let turn = self.number as usize % voters.len().max(1);
        known.or_else(|| voters.iter().nth(turn).cloned())
    }

    /// Returns the request of an answer, unless it was answered before or is too old.
    pub(super) fn finish(
        &mut self,
        from: &name::InstanceName,
        answer: &allocator::Answer,
    ) -> Option<Sent> {
        if answer.incarnation != self.incarnation {
            return None;
        }
        let index = self.sent.iter().position(|r| r.number == answer.number)?;
        let sent = self.sent.remove(index)?;
        if self.awaited == Some(answer.number) {
            self.awaited = None;
        }
        if answer.grants.is_some() {
            self.holder = Some(from.clone());
            self.hint = None;
            self.failures = 0;
            self.redirects = 0;
        } else {
            self.failures += 1;
            self.redirects += 1;
            self.hint = answer.holder.clone().filter(|h| h != from);
            self.holder = self.hint.clone();
        }
        Some(sent)
    }
}
