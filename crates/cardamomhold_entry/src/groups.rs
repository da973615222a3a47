//! The task that starts one group task for each configured group.

use std::collections;
use std::rc;
use std::time;

use cardamomhold_core::name;
use tokio::sync::watch;

use crate::coordinator;
use crate::group;
use crate::limits;
use crate::link;
use crate::metrics;
use crate::view;

/// Interval at which tasks that have ended by a fault are started again.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// The handles of all group tasks.
pub type Groups<L> = rc::Rc<collections::BTreeMap<name::GroupName, group::Handle<L>>>;

/// Dependencies of the task.
#[derive(Debug, Clone)]
pub struct Context<C: link::Connector> {
    /// This instance.
    pub instance: name::InstanceName,
    /// The zone of this instance.
    pub zone: String,
    /// Opens connections.
    pub connector: C,
    /// The published view.
    pub views: watch::Receiver<view::View>,
    /// The published lease.
    pub lease: watch::Receiver<view::Lease>,
    /// The published samples of the primaries' positions.
    pub samples: watch::Receiver<view::Samples>,
    /// The coordinator.
    pub coordinator: coordinator::Handle,
    /// Metrics of the instance.
    pub metrics: metrics::Metrics,
    /// Limits of workspaces.
    pub limits: limits::Handle,
}

/// Starts the task; returns the channel on which it publishes the handles.
pub fn start<C: link::Connector>(context: Context<C>) -> watch::Receiver<Groups<C::Link>> {
    let (published, handles) = watch::channel(Groups::default());
    tokio::task::spawn_local(run(context, published));
    handles
}

async fn run<C: link::Connector>(
    mut context: Context<C>,
    published: watch::Sender<Groups<C::Link>>,
) {
    loop {
        let view = context.views.borrow_and_update().clone();
        if view.fleet.is_empty() {
            // This instance's share of the members' connections can't be computed yet.
            if context.views.changed().await.is_err() {
                return;
            }
            continue;
        }
        let catalog = view.catalog;
        let known = published.borrow().clone();
        let mut next = collections::BTreeMap::new();
        for spec in &catalog.groups {
            let known = known.get(spec.name.as_str());
            let handle = known.filter(|h| !h.is_closed()).cloned();
            let handle = handle.unwrap_or_else(|| start_group(&context, &spec.name));
            next.insert(spec.name.clone(), handle);
        }
        if !is_same(&next, &known) {
            // All receivers are gone only while the process ends.
            let _ = published.send(rc::Rc::new(next));
        }
        let changed = tokio::time::timeout(CHECK_INTERVAL, context.views.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            return;
        }
    }
}

/// Whether both hold the handles of the same tasks; a task that ended has been replaced.
fn is_same<L>(
    next: &collections::BTreeMap<name::GroupName, group::Handle<L>>,
    known: &collections::BTreeMap<name::GroupName, group::Handle<L>>,
) -> bool {
    if next.len() != known.len() {
        return false;
    }
    let mut pairs = next.iter().zip(known);
    pairs.all(|((name, handle), (other, known))| name == other && handle.same_channel(known))
}

fn start_group<C: link::Connector>(
    context: &Context<C>,
    group: &name::GroupName,
) -> group::Handle<C::Link> {
    group::start(group::Context {
        group: group.clone(),
        instance: context.instance.clone(),
        zone: context.zone.clone(),
        connector: context.connector.clone(),
        views: context.views.clone(),
        lease: context.lease.clone(),
        samples: context.samples.clone(),
        coordinator: context.coordinator.clone(),
        metrics: context.metrics.clone(),
        limits: context.limits.clone(),
    })
}
