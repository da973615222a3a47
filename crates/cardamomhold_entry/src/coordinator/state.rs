//! Stores what the coordinator learns of configuration, members, instances and leaderships, and
//! publishes it.

use std::sync;

use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::record;

use crate::clock;
use crate::coordinator::Coordinator;
use crate::link;
use crate::message;
use crate::promoter;
use crate::registry;
use crate::store;
use crate::view;

impl<S, C, P> Coordinator<S, C, P>
where
    S: store::Store,
    C: link::Connector,
    P: promoter::Promoter,
{
    pub(super) fn update_catalog(&mut self, catalog: view::Catalog) {
        let version = self.published.views.borrow().catalog.version;
        if catalog.version <= version {
            if catalog.version < version {
                log::warn!(
                    "event=config_older version={} known={version}",
                    catalog.version
                );
            }
            return;
        }
        log::info!(
            "event=config version={} before={version} routes={} groups={}",
            catalog.version,
            catalog.routes.len(),
            catalog.groups.len()
        );
        self.seen.config = catalog.version;
        self.published
            .views
            .send_modify(|v| v.catalog = catalog.into());
    }

    pub(super) fn update_instances(&mut self, instances: registry::Instances) {
        if instances == self.instances {
            return;
        }
        log::info!("event=instances count={}", instances.len());
        self.electorate.record_instances(clock::now());
        self.instances = instances;
        let instances = &self.instances;
        self.marks.retain(|name| instances.contains_key(name));
        let fleet = sync::Arc::new(self.instances.clone());
        self.published.views.send_modify(|v| v.fleet = fleet);
    }

    pub(super) fn publish_members(&mut self, now: Timestamp) {
        let members = self.roster.members(now);
        if *self.published.views.borrow().members != members {
            self.published
                .views
                .send_modify(|v| v.members = members.into());
        }
    }

    /// Stores and publishes a leadership if it is newer; `source` is for the log.
    pub(super) fn update_record(&mut self, record: &record::Leadership, source: &str) {
        if self.records.update(record) {
            log_update(record, source);
            self.publish_records();
        }
    }

    pub(super) fn publish_records(&mut self) {
        let records = self.records.clone();
        self.published
            .views
            .send_modify(|v| v.leaderships = records.into());
    }

    pub(super) fn broadcast(&self, message: &message::Message) {
        for (name, entry) in &self.instances {
            if *name != self.own {
                self.peers.send(entry.address, message.clone());
            }
        }
    }
}

pub(super) fn log_update(record: &record::Leadership, source: &str) {
    log::info!(
        "event=leadership group={} change={} primary={} term={} source={source}",
        record.group,
        record.change,
        record.primary.as_ref().map_or("none", |p| p.as_str()),
        record.term
    );
}
