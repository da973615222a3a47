//! The task that monitors one member over a separate control connection.

use std::time;

use cardamomhold_core::name;
use cardamomhold_endpoint::connection;
use cardamomhold_endpoint::control;
use cardamomhold_endpoint::control::Control;
use cardamomhold_group::detect;
use cardamomhold_group::status;
use tokio::sync::mpsc;

use crate::group;

/// Maximum time that a member delays its answer to a status request while nothing changes.
pub const STATUS_WAIT: time::Duration = time::Duration::from_secs(1);

/// Pause before reconnecting to a member after a failure.
pub const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);

/// A monitor's observation of its member.
#[derive(Debug)]
pub struct Observation {
    /// The member.
    pub member: name::MemberName,
    /// Its status, or how the attempt to get it failed.
    pub status: Result<status::MemberStatus, detect::Reach>,
}

/// Monitors the member until the group's task has ended.
pub async fn run(
    member: name::MemberName,
    login: connection::Login,
    requests: mpsc::WeakSender<group::Request>,
) {
    while requests.upgrade().is_some() {
        let reach = watch(&member, &login, &requests).await;
        send_observed(&member, Err(reach), &requests).await;
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn watch(
    member: &name::MemberName,
    login: &connection::Login,
    requests: &mpsc::WeakSender<group::Request>,
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
        if !send_observed(member, Ok(status), requests).await {
            return detect::Reach::Unknown;
        }
    }
}

/// Sends an observation to the group's task; false if the task has ended.
async fn send_observed(
    member: &name::MemberName,
    status: Result<status::MemberStatus, detect::Reach>,
    requests: &mpsc::WeakSender<group::Request>,
) -> bool {
    let Some(requests) = requests.upgrade() else {
        return false;
    };
    let observation = Observation {
        member: member.clone(),
        status,
    };
    requests
        .send(group::Request::Observed(observation))
        .await
        .is_ok()
}
