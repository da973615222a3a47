//! What the logs and metrics say of an answered request.

use std::time;

use crate::answer;
use crate::attempt;
use crate::clock;
use crate::view;

/// A request and how it ended.
#[derive(Debug, Clone, Copy)]
pub struct Report<'a> {
    /// The caller's identity of it.
    pub id: &'a str,
    /// Who asked.
    pub caller: &'a str,
    /// The database.
    pub database: &'a str,
    /// How the database is served.
    pub route: &'a view::Route,
    /// How it ended.
    pub result: &'a Result<answer::Answer, attempt::Failure>,
    /// Time from its arrival.
    pub took: time::Duration,
}

/// Counts a request; writes a line about it when it failed or was late.
pub fn note<L>(context: &attempt::Context<L>, report: &Report<'_>) {
    let (code, cause) = match report.result {
        Ok(answer) => match &answer.end {
            answer::End::Done(_) => (None, ""),
            answer::End::Refused { code, .. } => (Some(*code), "the member refused"),
        },
        Err(failure) => (Some(failure.code), failure.cause),
    };
    context.metrics.answered(report.route, code, report.took);
    let Some(code) = code else {
        if report.took > report.route.target {
            log::info!(
                "event=late id={} caller={} database={} group={} took_ms={} target_ms={}",
                report.id,
                report.caller,
                report.database,
                report.route.group,
                report.took.as_millis(),
                report.route.target.as_millis()
            );
        }
        return;
    };
    let now = clock::now();
    let lease = context.standing.borrow().until;
    log::info!(
        "event=failed id={} caller={} database={} group={} code={} took_ms={} lease_left_ms={} cause=\"{cause}\"",
        report.id,
        report.caller,
        report.database,
        report.route.group,
        code.as_str(),
        report.took.as_millis(),
        lease.since(now).as_millis()
    );
}
