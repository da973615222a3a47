//! What to do after an attempt failed: try again, or tell the caller.
//!
//! An outcome that was once in doubt never becomes "not run": a later refusal says
//! nothing about the earlier attempt.

use cardamomhold_core::name;
use cardamomhold_core::outcome;
use cardamomhold_core::time::Timestamp;

/// Why a request may be sent again although an earlier attempt may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// Nothing guards it: once it may have run, it is not sent again.
    None,
    /// Its request key sees to it that it takes effect at most once.
    Key,
    /// It has no effect of its own: a declared read, a lone BEGIN, a description.
    Harmless,
}

/// One failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// Its outcome, as far as the endpoint's owner knows it.
    pub outcome: outcome::Outcome,
    /// The replica that was asked; none when it was the primary, or nobody.
    pub replica: Option<&'a name::MemberName>,
    /// Address of the other instance that owns the endpoint; none when it is this one.
    pub owner: Option<&'a str>,
    /// Whether the caller has received a part of the answer.
    pub forwarded: bool,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Try again at once.
    Now,
    /// Try again after a pause.
    Later,
    /// Tell the caller this outcome.
    GiveUp(outcome::Outcome),
}

/// The attempts of one request.
#[derive(Debug, Clone)]
pub struct Retry {
    guard: Guard,
    deadline: Timestamp,
    doubt: Option<outcome::Doubt>,
    skips_replicas: bool,
    avoided: Vec<name::MemberName>,
    stopping: Vec<String>,
}

impl Retry {
    /// Starts before the first attempt; none starts after `deadline`.
    pub fn new(guard: Guard, deadline: Timestamp) -> Self {
        Self {
            guard,
            deadline,
            doubt: None,
            skips_replicas: false,
            avoided: Vec::new(),
            stopping: Vec::new(),
        }
    }

    /// Goes on from an earlier request with the same key whose outcome is unknown.
    pub fn resume(guard: Guard, deadline: Timestamp, doubt: Option<outcome::Doubt>) -> Self {
        Self {
            doubt: doubt.filter(|_| guard == Guard::Key),
            ..Self::new(guard, deadline)
        }
    }

    /// Whether a replica may be asked by the next attempt.
    pub fn allows(&self, replica: &name::MemberName) -> bool {
        !self.skips_replicas && !self.avoided.contains(replica)
    }

    /// Takes a failed attempt at time `now`.
    pub fn fail(&mut self, now: Timestamp, attempt: Attempt<'_>) -> Step {
        if attempt.forwarded {
            return Step::GiveUp(self.cut_short(attempt.outcome));
        }
        let is_over = now >= self.deadline;
        match attempt.outcome {
            outcome::Outcome::NotRun(outcome::Refusal::ReplicaBehind) if !is_over => {
                self.skips_replicas = true;
                Step::Now
            }
            outcome::Outcome::NotRun(outcome::Refusal::Stopping)
                if self.pass_over(attempt.owner) =>
            {
                Step::Now
            }
            outcome::Outcome::NotRun(refusal) if refusal.is_transient() && !is_over => {
                self.avoid(attempt.replica)
            }
            outcome::Outcome::Unknown(doubt) if self.may_repeat(doubt) && !is_over => {
                if self.guard == Guard::Key {
                    self.doubt = Some(doubt);
                }
                self.avoid(attempt.replica)
            }
            outcome => Step::GiveUp(self.keep_doubt(outcome)),
        }
    }

    /// Owners that have said that they are stopping.
    pub fn stopping(&self) -> &[String] {
        &self.stopping
    }

    /// Leaves a stopping owner out from now on; false when there is no other to try.
    fn pass_over(&mut self, owner: Option<&str>) -> bool {
        let Some(owner) = owner else {
            return false;
        };
        if self.stopping.iter().any(|s| s == owner) {
            return false;
        }
        self.stopping.push(owner.to_owned());
        true
    }

    /// A replica that failed is not asked again; another one may answer at once.
    fn avoid(&mut self, replica: Option<&name::MemberName>) -> Step {
        match replica {
            Some(replica) => {
                self.avoided.push(replica.clone());
                Step::Now
            }
            None => {
                // By then the replicas may have recovered.
                self.skips_replicas = false;
                self.avoided.clear();
                Step::Later
            }
        }
    }

    /// A second attempt would give the caller the first rows twice.
    fn cut_short(&self, outcome: outcome::Outcome) -> outcome::Outcome {
        match outcome {
            outcome::Outcome::NotRun(_) | outcome::Outcome::Ran => {
                let doubt = self.doubt.unwrap_or(outcome::Doubt::ConnectionLost);
                outcome::Outcome::Unknown(doubt)
            }
            outcome::Outcome::Unknown(_) => outcome,
        }
    }

    fn may_repeat(&self, doubt: outcome::Doubt) -> bool {
        match self.guard {
            Guard::None => false,
            // No attempt can tell what became of a key that is no longer kept.
            Guard::Key => doubt != outcome::Doubt::KeyExpired,
            Guard::Harmless => true,
        }
    }

    fn keep_doubt(&self, outcome: outcome::Outcome) -> outcome::Outcome {
        match (outcome, self.doubt) {
            (outcome::Outcome::NotRun(_), Some(doubt)) => outcome::Outcome::Unknown(doubt),
            (outcome, _) => outcome,
        }
    }
}
