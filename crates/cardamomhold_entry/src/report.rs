//! Records an answered request in logs and metrics.

use std::time;

use crate::answer;
use crate::attempt;
use crate::clock;
use crate::view;

/// A request and its result.
#[derive(Debug, Clone, Copy)]
pub struct Report<'a> {
    /// Identity that the caller gave it.
    pub id: &'a str,
    /// The caller: its workspace, or the word that it sent in a deployment without workspaces.
    pub caller: &'a str,
    /// The database.
    pub database: &'a str,
    /// Route of the database.
    pub route: &'a view::Route,
    /// The answer, or why there is none.
    pub result: &'a Result<answer::Answer, attempt::Failure>,
    /// Time from its arrival to the answer.
    pub took: time::Duration,
}

/// Updates the metrics, and logs the request if it failed or exceeded its target latency.
pub fn record<L>(context: &attempt::Context<L>, report: &Report<'_>) {
    let (code, cause) = match report.result {
        Ok(answer) => match &answer.end {
            answer::End::Done(_) => (None, ""),
            answer::End::Refused { code, .. } => (Some(*code), "the member refused"),
        },
        Err(failure) => (Some(failure.code), failure.cause),
    };
    context
        .metrics
        .record_answer(report.route, code, report.took);
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
    let lease = context.lease.borrow().until;
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
