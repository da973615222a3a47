//! The task that watches one member over a control connection of its own.

use std::time;

use cardamomhold_core::name;
use cardamomhold_endpoint::connection;
use cardamomhold_endpoint::control;
use cardamomhold_endpoint::control::Control;
use cardamomhold_group::detect;
use cardamomhold_group::status;
use tokio::sync::mpsc;

use crate::group;

/// Longest wait for news of a member that has none.
pub const STATUS_WAIT: time::Duration = time::Duration::from_secs(1);

/// Pause before a member that failed is asked again.
pub const RETRY: time::Duration = time::Duration::from_millis(100);

/// What the monitor tells the group's task.
#[derive(Debug)]
pub struct Observed {
    /// The member.
    pub member: name::MemberName,
    /// Its status, or how the attempt to have it failed.
    pub status: Result<status::MemberStatus, detect::Reach>,
}

/// Watches until the group's task has ended.
pub async fn run(
    member: name::MemberName,
    login: connection::Login,
    reports: mpsc::WeakSender<group::Request>,
) {
    while reports.upgrade().is_some() {
        let reach = watch(&member, &login, &reports).await;
        report(&member, Err(reach), &reports).await;
        tokio::time::sleep(RETRY).await;
    }
}

async fn watch(
    member: &name::MemberName,
    login: &connection::Login,
    reports: &mpsc::WeakSender<group::Request>,
) -> detect::Reach {
    let mut control = match control::SqlControl::open(login).await {
        Ok(control) => control,
        Err(error) => {
            log::debug!("event=member_unreachable member={member} error=\"{error}\"");
            return error.reach();
        }
    };
    let mut seen = control::Progress::default();
    loop {
        let status = match control.status(seen, STATUS_WAIT).await {
            Ok(status) => status,
            Err(error) => {
                log::info!("event=member_lost member={member} error=\"{error}\"");
                return error.reach();
            }
        };
        seen = control::Progress {
            received: status.received,
            applied: status.applied,
        };
        if !report(member, Ok(status), reports).await {
            return detect::Reach::Unknown;
        }
    }
}

/// Tells the group's task; false when it has ended.
async fn report(
    member: &name::MemberName,
    status: Result<status::MemberStatus, detect::Reach>,
    reports: &mpsc::WeakSender<group::Request>,
) -> bool {
    let Some(reports) = reports.upgrade() else {
        return false;
    };
    let observed = Observed {
        member: member.clone(),
        status,
    };
    reports
        .send(group::Request::Observed(observed))
        .await
        .is_ok()
}
