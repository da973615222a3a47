//! Which voters are there, as far as a candidate knows. Candidates ask the voters that precede them
//! shortly before the tenure may become free, so that nobody waits for one that is gone.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::voters;

/// Time before the tenure may become free at which the preceding voters are asked. Two renewals
/// of the holder are missing then, so nobody asks while the tenure is renewed.
pub(super) const LEAD: time::Duration = time::Duration::from_millis(250);

/// Interval between two requests while nobody holds the tenure.
const INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Time after which a voter that hasn't answered counts as absent. A process with 0.084 of a core
/// stands still for up to 92 ms in each scheduling period of 100 ms.
const ANSWER_TIME: time::Duration = time::Duration::from_millis(100);

/// Age of the last sign of life of a voter that the tenure may be handed over to: it has answered
/// one of the last two renewals.
const RECENT: time::Duration = time::Duration::from_millis(500);

/// What a candidate knows of the other voters. It decides only who tries first: a voter that is
/// taken for absent by mistake costs a failed attempt, but no safety.
#[derive(Debug, Default)]
pub(super) struct Presence {
    /// The last two requests, the newest first.
    asked: [Option<Timestamp>; 2],
    heard: collections::BTreeMap<name::InstanceName, Timestamp>,
    /// Voters that are no candidates, such as those that are stopping.
    passive: voters::Set,
}

impl Presence {
    /// Forgets instances that aren't voters any more.
    pub(super) fn retain(&mut self, names: &voters::Set) {
        self.heard.retain(|name, _| names.contains(name));
        self.passive.retain(|name| names.contains(name));
    }

    /// Records a sign of life.
    pub(super) fn record(&mut self, now: Timestamp, name: &name::InstanceName) {
        self.heard.insert(name.clone(), now);
    }

    /// Records whether a voter is a candidate.
    pub(super) fn record_candidate(&mut self, name: &name::InstanceName, is_candidate: bool) {
        match is_candidate {
            true => self.passive.remove(name),
            false => self.passive.insert(name.clone()),
        };
    }

    pub(super) fn record_request(&mut self, now: Timestamp) {
        self.asked = [Some(now), self.asked[0]];
    }

    /// When the preceding voters are to be asked, if the tenure may become free at `free_at`.
    pub(super) fn due(&self, free_at: Timestamp) -> Timestamp {
        let lead = Timestamp(free_at.0.saturating_sub(LEAD.as_micros() as u64));
        let [last, _] = self.asked;
        lead.max(last.map_or(Timestamp(0), |at| at.after(INTERVAL)))
    }

    /// When the answers to the last request are judged; none if they have been.
    pub(super) fn judged_at(&self, now: Timestamp) -> Option<Timestamp> {
        let at = self.asked[0]?.after(ANSWER_TIME);
        (at > now).then_some(at)
    }

    /// Whether a voter isn't there or isn't a candidate.
    pub(super) fn is_absent(&self, now: Timestamp, name: &name::InstanceName) -> bool {
        let mut asked = self.asked.iter().flatten();
        let judged = asked.find(|at| now >= at.after(ANSWER_TIME));
        let heard = self.heard.get(name.as_str());
        let is_silent = judged.is_some_and(|at| heard.is_none_or(|heard| heard < at));
        is_silent || self.passive.contains(name)
    }

    /// Whether a voter has given a sign of life a moment ago, and is a candidate.
    pub(super) fn is_recent(&self, now: Timestamp, name: &name::InstanceName) -> bool {
        let heard = self.heard.get(name.as_str());
        heard.is_some_and(|at| now.since(*at) < RECENT) && !self.passive.contains(name)
    }
}
