//! What the members have answered in a handover.

use std::collections;
use std::fmt::Write as _;

use cardamomhold_core::name;
use cardamomhold_lead::candidate;
use cardamomhold_lead::durability;
use cardamomhold_lead::succession;

use crate::handover::members;

/// The last answer of each member since no instance relies on the former primary. Earlier answers
/// stay valid while a member is busy or silent, as a log only grows until another member leads.
#[derive(Debug, Default)]
pub(super) struct Survey {
    answers: collections::BTreeMap<name::MemberName, candidate::Status>,
}

impl Survey {
    /// Adds a member's answer.
    pub(super) fn record(&mut self, member: &name::MemberName, status: candidate::Status) {
        self.answers.insert(member.clone(), status);
    }

    /// The log that a new primary must have.
    pub(super) fn requirement(&self, record: &succession::Succession) -> durability::Requirement {
        if record.durability.is_asynchronous() {
            return durability::Requirement::Nothing;
        }
        let answers = members::candidates(&self.answers);
        record.answers(&answers).requirement(&record.durability)
    }

    /// Logs what decided on a candidate, or against each one.
    pub(super) fn log(
        &self,
        record: &succession::Succession,
        requirement: durability::Requirement,
        chosen: Option<&name::MemberName>,
    ) {
        let answers = members::candidates(&self.answers);
        let shown = record.answers(&answers);
        log::info!(
            "event=members_heard group={} change={} chosen={} sync_replicas={} required={requirement} \
             heard=\"{}\" silent=\"{}\"",
            record.leadership.group,
            record.leadership.change,
            chosen.map_or("none", |m| m.as_str()),
            record.durability.sync_replicas,
            answer_text(&answers),
            member_list(&shown.silent)
        );
    }
}

/// Each member's role and newest position.
fn answer_text(answers: &[candidate::Candidate<'_>]) -> String {
    let mut text = String::new();
    for answer in answers {
        let status = answer.status;
        // Writing to a string doesn't fail.
        let _ = write!(
            text,
            "{}:{:?}:{}:{} ",
            answer.name, status.role, status.term, status.received
        );
    }
    text.truncate(text.trim_end().len());
    text
}

fn member_list(members: &[&name::MemberName]) -> String {
    let names: Vec<&str> = members.iter().map(|m| m.as_str()).collect();
    names.join(" ")
}
