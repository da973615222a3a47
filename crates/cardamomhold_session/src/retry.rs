//! Decision after a failed attempt: retry, or report the failure to the caller.
//!
//! An outcome that was in doubt once never becomes "not run": a later refusal proves
//! nothing about the earlier attempt.

use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::time::Timestamp;

/// Reason why a request may be sent again although an earlier attempt may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing prevents a second effect: the request is not sent again once it may have run.
    None,
    /// The request key ensures that the request takes effect at most once.
    Key,
    /// The request has no effect of its own: a declared read, a lone BEGIN, a Parse or
    /// Describe without an execution.
    NoEffect,
}

/// One failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// Outcome as the endpoint's owner reported it.
    pub outcome: outcome::Outcome,
    /// Replica that the request was sent to; none for the primary or when it was not sent.
    pub replica: Option<&'a name::MemberName>,
    /// Address of the instance that owns the endpoint; none when it is this instance.
    pub owner: Option<&'a str>,
    /// Whether the caller has received part of the answer.
    pub forwarded: bool,
}

/// Next step after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Retry immediately.
    Now,
    /// Retry after a delay.
    Later,
    /// Report this outcome to the caller.
    GiveUp(outcome::Outcome),
}

/// Retry state of one request.
#[derive(Debug, Clone)]
pub struct Retry {
    idempotency: Idempotency,
    deadline: Timestamp,
    /// Why the outcome of an earlier attempt is unknown.
    doubt: Option<outcome::Doubt>,
    /// Whether the next attempt must go to the primary.
    skips_replicas: bool,
    /// Replicas whose attempts failed.
    avoided: Vec<name::MemberName>,
    /// Addresses of the owners that reported that they are stopping.
    stopping: Vec<String>,
}

impl Retry {
    /// Creates the state before the first attempt. After `deadline`, only a request that a
    /// stopping owner refused is retried.
    pub fn new(idempotency: Idempotency, deadline: Timestamp) -> Self {
        Self {
            idempotency,
            deadline,
            doubt: None,
            skips_replicas: false,
            avoided: Vec::new(),
            stopping: Vec::new(),
        }
    }

    /// Continues an earlier request with the same key; `doubt` is why its outcome is unknown.
    pub fn resume(
        idempotency: Idempotency,
        deadline: Timestamp,
        doubt: Option<outcome::Doubt>,
    ) -> Self {
        Self {
            doubt: doubt.filter(|_| idempotency == Idempotency::Key),
            ..Self::new(idempotency, deadline)
        }
    }

    /// Whether the next attempt may use the replica.
    pub fn allows(&self, replica: &name::MemberName) -> bool {
        !self.skips_replicas && !self.avoided.contains(replica)
    }

    /// Records a failed attempt at time `now` and decides the next step.
    pub fn record_failure(&mut self, now: Timestamp, attempt: Attempt<'_>) -> Step {
        if attempt.forwarded {
            return Step::GiveUp(self.partial_outcome(attempt.outcome));
        }
        let is_late = now >= self.deadline;
        match attempt.outcome {
            outcome::Outcome::NotRun(outcome::Refusal::ReplicaBehind) if !is_late => {
                self.skips_replicas = true;
                Step::Now
            }
            outcome::Outcome::NotRun(outcome::Refusal::Stopping)
                if self.skip_owner(attempt.owner) =>
            {
                Step::Now
            }
            outcome::Outcome::NotRun(refusal) if refusal.is_transient() && !is_late => {
                self.avoid(attempt.replica)
            }
            outcome::Outcome::Unknown(doubt) if self.may_retry(doubt) && !is_late => {
                if self.idempotency == Idempotency::Key {
                    self.doubt = Some(doubt);
                }
                self.avoid(attempt.replica)
            }
            outcome => Step::GiveUp(self.final_outcome(outcome)),
        }
    }

    /// Addresses of the owners that reported that they are stopping.
    pub fn stopping(&self) -> &[String] {
        &self.stopping
    }

    /// Excludes a stopping owner from later attempts. Returns false when this instance is the
    /// owner or the owner was excluded before.
    fn skip_owner(&mut self, owner: Option<&str>) -> bool {
        let Some(owner) = owner else {
            return false;
        };
        if self.stopping.iter().any(|s| s == owner) {
            return false;
        }
        self.stopping.push(owner.to_owned());
        true
    }

    /// Excludes a failed replica from later attempts, so that another member is tried
    /// immediately. Without a replica, all members are tried again after a delay.
    fn avoid(&mut self, replica: Option<&name::MemberName>) -> Step {
        match replica {
            Some(replica) => {
                self.avoided.push(replica.clone());
                Step::Now
            }
            None => {
                // The replicas may have recovered after the delay.
                self.skips_replicas = false;
                self.avoided.clear();
                Step::Later
            }
        }
    }

    /// Returns the outcome after a partial answer. There is no retry, because it would send the
    /// first rows to the caller twice.
    fn partial_outcome(&self, outcome: outcome::Outcome) -> outcome::Outcome {
        match outcome {
            outcome::Outcome::NotRun(_) | outcome::Outcome::Ran => {
                let doubt = self.doubt.unwrap_or(outcome::Doubt::ConnectionLost);
                outcome::Outcome::Unknown(doubt)
            }
            outcome::Outcome::Unknown(_) => outcome,
        }
    }

    fn may_retry(&self, doubt: outcome::Doubt) -> bool {
        match self.idempotency {
            Idempotency::None => false,
            // A retry can't find the outcome of a key that is no longer stored.
            Idempotency::Key => doubt != outcome::Doubt::KeyExpired,
            Idempotency::NoEffect => true,
        }
    }

    /// Returns the outcome to report: unknown instead of a refusal if an earlier attempt was in
    /// doubt.
    fn final_outcome(&self, outcome: outcome::Outcome) -> outcome::Outcome {
        match (outcome, self.doubt) {
            (outcome::Outcome::NotRun(_), Some(doubt)) => outcome::Outcome::Unknown(doubt),
            (outcome, _) => outcome,
        }
    }
}
