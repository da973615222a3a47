//! The task that owns the list of instances.

use std::sync;
use std::time;

use cardamomhold_fleet::fleet;
use cardamomhold_platform::client;
use cardamomhold_platform::client::Platform;
use tokio::sync::watch;

/// Time between two reads of the platform's list.
const LIST_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Starts the task; the instance itself is always on its list.
pub fn start<P: Platform>(
    platform: P,
    own: fleet::Instance,
) -> watch::Receiver<sync::Arc<fleet::Fleet>> {
    let mut first = fleet::Fleet::default();
    first.insert(own.clone());
    let (publisher, fleet) = watch::channel(sync::Arc::new(first));
    tokio::spawn(run(platform, own, publisher));
    fleet
}

async fn run<P: Platform>(
    platform: P,
    own: fleet::Instance,
    publisher: watch::Sender<sync::Arc<fleet::Fleet>>,
) {
    while !publisher.is_closed() {
        if let Ok(listed) = platform.instances().await {
            let mut fleet = fleet::Fleet::default();
            for instance in listed {
                fleet.insert(instance_of(instance));
            }
            fleet.insert(own.clone());
            publisher.send_replace(sync::Arc::new(fleet));
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

fn instance_of(listed: client::Listed) -> fleet::Instance {
    let state = if listed.leaving {
        fleet::InstanceState::Leaving
    } else {
        fleet::InstanceState::Alive
    };
    fleet::Instance {
        name: listed.name,
        zone: listed.zone,
        address: listed.address,
        state,
    }
}
