//! The task that fetches changes of configuration from peers.

use std::time;

use cardamomhold_config::config;
use cardamomhold_proto::peer as schema;
use tokio::sync::mpsc;

use crate::config as config_task;
use crate::peer;

/// Changes in one answer.
const PAGE: u32 = 32;

/// Most bytes of one answer: a page of the largest objects that the platform takes.
const MAX_PAGE: usize = 40 << 20;

/// Time within which an answer must be there.
const PULL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Messages that wait for the task; a lost one is repeated by the next heartbeat.
pub const MAILBOX: usize = 16;

/// Changes that a peer is known to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// Address of the peer.
    pub address: String,
    /// Version that it holds in full.
    pub through: config::Version,
}

/// Fetches what is wanted until the last sender is dropped.
pub async fn run(mut mailbox: mpsc::Receiver<Wanted>, config: config_task::Handle) {
    let mut kept: Option<(String, peer::Client)> = None;
    // Pages on their way to the configuration's task count as held.
    let mut reached = 0;
    while let Some(wanted) = mailbox.recv().await {
        reached = config.config.borrow().through().max(reached);
        if wanted.through <= reached {
            continue;
        }
        let client = match kept.take() {
            Some((address, client)) if address == wanted.address => Some(client),
            _ => peer::connect(&wanted.address).await,
        };
        let Some(client) = client else {
            continue;
        };
        let mut client = client.max_decoding_message_size(MAX_PAGE);
        while reached < wanted.through {
            let Some(through) = fetch(&mut client, reached, &config).await else {
                break;
            };
            if through <= reached {
                break;
            }
            reached = through;
        }
        if reached >= wanted.through {
            kept = Some((wanted.address, client));
        }
    }
}

/// Fetches one page; returns the version up to which it vouches.
async fn fetch(
    client: &mut peer::Client,
    since: config::Version,
    config: &config_task::Handle,
) -> Option<config::Version> {
    let request = schema::ChangesRequest { since, limit: PAGE };
    let asked = tokio::time::timeout(PULL_TIMEOUT, client.changes(request)).await;
    let reply = asked.ok()?.ok()?.into_inner();
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
    let batch = config_task::Heard::Batch { changes, through };
    config.heard.send(batch).await.ok()?;
    Some(through)
}
