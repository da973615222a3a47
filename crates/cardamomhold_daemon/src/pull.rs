//! The task that fetches changes of configuration from peers.

use std::time;

use cardamomhold_config::config;
use cardamomhold_proto::peer as schema;
use tokio::sync::mpsc;

use crate::config as config_task;
use crate::peer;

/// Changes in one answer.
const PAGE_CHANGES: u32 = 32;

/// Most bytes of one answer: a page of the largest objects that the platform takes.
const MAX_PAGE_LEN: usize = 40 << 20;

/// Time within which an answer must be there.
const PULL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Messages that wait for the task; a lost one is repeated by the next heartbeat.
pub const MAILBOX_CAPACITY: usize = 16;

/// Changes that a peer is known to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Address of the peer.
    pub address: String,
    /// Version that it holds in full.
    pub through: config::Version,
}

/// Fetches what is wanted until the last sender is dropped.
pub async fn run(mut mailbox: mpsc::Receiver<Request>, config: config_task::Handle) {
    let mut cached: Option<(String, peer::Client)> = None;
    // Pages on their way to the configuration's task count as held.
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

/// Fetches one page; returns the version up to which it vouches.
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
