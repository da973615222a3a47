//! What a handover must know about its group.

use cardamomhold_core::name;
use cardamomhold_lead::suspicion;

use crate::clock;
use crate::coordinator::Coordinator;
use crate::handover;
use crate::link;
use crate::promoter;
use crate::store;
use crate::view;

impl<S, C, P> Coordinator<S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    /// Collects what this instance knows about a group and its members.
    pub(super) fn handover_job(
        &self,
        group: &name::GroupName,
        cause: suspicion::Cause,
    ) -> handover::Job {
        let view = self.published.views.borrow();
        let mut members = Vec::new();
        let mut leaving = Vec::new();
        for member in view.members.values() {
            if member.group != *group {
                continue;
            }
            if member.state == view::MemberState::Leaving {
                leaving.push(member.name.clone());
            }
            members.push(link::Target {
                group: group.clone(),
                member: member.name.clone(),
                address: member.address,
                via: None,
                workspace: None,
            });
        }
        let mut specs = view.catalog.groups.iter();
        let spec = specs.find(|spec| spec.name == *group);
        handover::Job {
            own: self.own.clone(),
            group: group.clone(),
            change: self.records.get(group.as_str()).map_or(0, |r| r.change),
            cause,
            members,
            leaving,
            departed: self.roster.departed(clock::now(), group),
            sync_replicas: spec.map(|spec| spec.sync_replicas),
            instances: self.instances.keys().cloned().collect(),
        }
    }
}
