//! The creation of first leaderships reads no listing of the control objects. Guards against a
//! listing for each group, each of which has the leaderships of all groups: 87 groups that were
//! created in one second cost the creating instance more than its link carries.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

mod world;

use std::cell;
use std::rc;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::control;
use cardamomhold_entry::handover;
use cardamomhold_entry::link;
use cardamomhold_entry::promoter;
use cardamomhold_entry::store;
use cardamomhold_lead::candidate;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::suspicion;

/// A store in memory that counts the objects that it lists.
#[derive(Debug, Clone, Default)]
struct Store {
    documents: rc::Rc<cell::RefCell<Vec<store::Document>>>,
    listed: rc::Rc<cell::Cell<usize>>,
}

impl store::Store for Store {
    async fn list(
        &self,
        _: &str,
        _: store::Freshness,
    ) -> Result<store::Listing, store::StoreError> {
        let documents = self.documents.borrow().clone();
        self.listed.set(self.listed.get() + documents.len());
        Ok(store::Listing {
            documents,
            revision: 1,
        })
    }

    async fn watch(
        &self,
        _: &str,
        _: store::Freshness,
        _: u64,
        _: time::Duration,
    ) -> Result<(Vec<store::Change>, u64), store::StoreError> {
        std::future::pending().await
    }

    async fn write(
        &self,
        _: &str,
        name: &str,
        content: &serde_json::Value,
        condition: store::Condition,
    ) -> Result<store::WriteOutcome, store::StoreError> {
        let mut documents = self.documents.borrow_mut();
        let is_known = documents.iter().any(|d| d.name == name);
        if is_known && condition == store::Condition::New {
            return Ok(store::WriteOutcome::Conflict);
        }
        let document = store::Document {
            name: name.to_owned(),
            revision: 2,
            content: content.clone(),
        };
        documents.push(document.clone());
        Ok(store::WriteOutcome::Done(document))
    }
}

/// Members that all report to be the primary.
#[derive(Debug, Clone)]
struct Primaries;

impl link::Connector for Primaries {
    type Link = Primaries;

    async fn open(
        &self,
        _: &link::Target,
    ) -> Result<(Primaries, Option<position::Position>), link::LinkError> {
        Ok((Self, None))
    }

    async fn reach(&self, _: &link::Target) -> Result<(), link::LinkError> {
        Ok(())
    }
}

impl link::Link for Primaries {
    async fn call(
        &mut self,
        _: link::Command<'_>,
    ) -> Result<cardamomhold_entry::answer::Answer, link::LinkError> {
        Err(link::LinkError::Garbled)
    }

    async fn prepare(
        &mut self,
        _: &[link::Command<'_>],
    ) -> Result<Option<position::Position>, link::LinkError> {
        Err(link::LinkError::Garbled)
    }

    async fn run_admin(
        &mut self,
        _: link::AdminCommand,
    ) -> Result<candidate::Status, link::LinkError> {
        Ok(candidate::Status {
            role: candidate::Role::Primary,
            term: position::Term(1),
            received: world::position(1, 1),
        })
    }
}

#[derive(Debug, Clone)]
struct NoPromoter;

impl promoter::Promoter for NoPromoter {
    async fn promote(
        &self,
        _: &name::GroupName,
        _: &name::MemberName,
        _: &promotion_lock::PromotionLock,
        _: Timestamp,
    ) -> Result<(), promoter::PromoteError> {
        Err(promoter::PromoteError::Expired)
    }
}

fn job(index: usize) -> handover::Job {
    let group = name::GroupName::parse(&format!("group-{index}")).unwrap();
    let target = link::Target {
        group: group.clone(),
        member: world::member("a"),
        address: ([127, 0, 0, 1], 1).into(),
        via: None,
        workspace: None,
    };
    handover::Job {
        own: name::InstanceName::parse("entry-1").unwrap(),
        group,
        change: 0,
        cause: suspicion::Cause::Unfinished,
        members: vec![target],
        leaving: Vec::new(),
        departed: Vec::new(),
        sync_replicas: None,
        instances: Vec::new(),
    }
}

/// Each group costs one write.
#[test]
fn no_listing_for_each_group() {
    world::run(async {
        let store = Store::default();
        let adapters = handover::Adapters {
            store: store.clone(),
            connector: Primaries,
            promoter: NoPromoter,
        };
        for index in 0..100 {
            let created = handover::create_leadership(&adapters, &job(index)).await;
            created.unwrap();
        }
        let listing = store::Listing {
            documents: store.documents.borrow().clone(),
            revision: 1,
        };
        assert_eq!(control::Control::read(&listing).records.len(), 100);
        assert_eq!(store.listed.get(), 0, "objects listed");
    });
}
