//! The task that fetches configuration changes from peers.

use std::time;

use cardamomhold_config::config;
use cardamomhold_proto::peer as schema;
use tokio::sync::mpsc;

use crate::config as config_task;
use crate::peer;

/// Maximum number of changes per page.
const PAGE_CHANGES: u32 = 32;

/// Maximum length of a page, in bytes: enough for the largest objects that the platform accepts.
const MAX_PAGE_LEN: usize = 40 << 20;

/// Time limit for one page.
const PULL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Capacity of the task's mailbox, in messages; the next heartbeat repeats a dropped one.
pub const MAILBOX_CAPACITY: usize = 16;

/// Request to fetch changes that a peer is known to have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Address of the peer.
    pub address: String,
    /// Version up to which it has all changes.
    pub through: config::Version,
}

/// Handles requests until the last sender is dropped.
pub async fn run(mut mailbox: mpsc::Receiver<Request>, config: config_task::Handle) {
    let mut cached: Option<(String, peer::Client)> = None;
    // Includes pages that the configuration's task hasn't processed yet.
    let mut fetched_through = 0;
    while let Some(request) = mailbox.recv().await {
        fetched_through = config.config.borrow().through().max(fetched_through);
        if request.through <= fetched_through {
            continue;
        }
        let client = match cached.take() {
            Some((address, client)) if address == request.address => Some(client),
            _ => peer::connect(&request.address).await,
        };
        let Some(client) = client else {
            continue;
        };
        let mut client = client.max_decoding_message_size(MAX_PAGE_LEN);
        while fetched_through < request.through {
            let Some(through) = fetch(&mut client, fetched_through, &config).await else {
                break;
            };
            if through <= fetched_through {
                break;
            }
            fetched_through = through;
        }
        if fetched_through >= request.through {
            cached = Some((request.address, client));
        }
    }
}

/// Fetches one page; returns the version up to which it is complete.
async fn fetch(
    client: &mut peer::Client,
    since: config::Version,
    config: &config_task::Handle,
) -> Option<config::Version> {
    let request = schema::ChangesRequest {
        since,
        limit: PAGE_CHANGES,
    };
    let answer = tokio::time::timeout(PULL_TIMEOUT, client.changes(request)).await;
    let reply = answer.ok()?.ok()?.into_inner();
    let mut changes = Vec::new();
    for change in reply.changes {
        changes.push(config::Change {
            name: change.name,
            value: change.value.as_ref().into(),
            version: change.version,
            removed: change.removed,
        });
    }
    let through = reply.through;
    let batch = config_task::Update::Batch { changes, through };
    config.updates.send(batch).await.ok()?;
    Some(through)
}
