//! An instance that was disconnected from the store doesn't act on outdated state.

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
use cardamomhold_entry::coordinator;
use cardamomhold_entry::failovers;
use cardamomhold_entry::handover;
use cardamomhold_entry::promoter;
use cardamomhold_entry::store;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::record;
use cardamomhold_lead::succession;
use cardamomhold_lead::suspicion;

/// A store in memory that counts its writes.
#[derive(Debug, Clone, Default)]
struct Store {
    documents: rc::Rc<cell::RefCell<Vec<store::Document>>>,
    writes: rc::Rc<cell::Cell<u32>>,
}

impl store::Store for Store {
    async fn list(
        &self,
        _: &str,
        _: store::Freshness,
    ) -> Result<store::Listing, store::StoreError> {
        Ok(store::Listing {
            documents: self.documents.borrow().clone(),
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
        _: store::Condition,
    ) -> Result<store::WriteOutcome, store::StoreError> {
        self.writes.set(self.writes.get() + 1);
        let document = store::Document {
            name: name.to_owned(),
            revision: 2,
            content: content.clone(),
        };
        let mut documents = self.documents.borrow_mut();
        documents.retain(|d| d.name != name);
        documents.push(document.clone());
        Ok(store::WriteOutcome::Done(document))
    }
}

#[derive(Debug, Clone, Default)]
struct Promoter(rc::Rc<cell::Cell<u32>>);

impl promoter::Promoter for Promoter {
    async fn promote(
        &self,
        _: &name::GroupName,
        _: &name::MemberName,
        _: &promotion_lock::PromotionLock,
        _: Timestamp,
    ) -> Result<(), promoter::PromoteError> {
        self.0.set(self.0.get() + 1);
        Ok(())
    }
}

fn instance(text: &str) -> name::InstanceName {
    name::InstanceName::parse(text).unwrap()
}

/// Another instance has finished the handover meanwhile: its result isn't undone, and the
/// promotion lock isn't taken from it.
#[test]
fn keeps_finished_handover() {
    world::run(async {
        let store = Store::default();
        let group = world::group_name();
        let first = record::Leadership::first(&group, &world::member("a"), position::Term(1));
        let finished = first
            .ended()
            .with_primary(&world::member("b"), position::Term(2));
        let finished = succession::Succession::first(finished);
        let lock = promotion_lock::PromotionLock::acquired(None, &instance("entry-1"));
        let new = store::Condition::New;
        control::write_record(&store, &finished, new).await.unwrap();
        control::write_lock(&store, &lock, new).await.unwrap();
        store.writes.set(0);
        let adapters = handover::Adapters {
            store: store.clone(),
            connector: world::Members::default(),
            promoter: Promoter::default(),
        };
        let job = handover::Job {
            own: instance("entry-2"),
            group,
            change: first.ended().change,
            cause: suspicion::Cause::Unfinished,
            members: Vec::new(),
            leaving: Vec::new(),
            departed: Vec::new(),
            sync_replicas: None,
            instances: vec![instance("entry-2")],
        };
        let (coordinator, mut events) = coordinator::mailbox();
        let ended = handover::run(&adapters, &job, &coordinator).await;
        assert!(
            matches!(ended, Err(handover::HandoverError::Superseded)),
            "{ended:?}"
        );
        assert_eq!(store.writes.get(), 0);
        assert_eq!(adapters.promoter.0.get(), 0);
        // The coordinator receives the control objects that were read.
        assert!(matches!(
            events.try_recv(),
            Ok(coordinator::Event::ControlRead(..))
        ));
    });
}

/// The holder's silence counts only from the end of this instance's own store outage.
#[test]
fn outage_resets_silence() {
    let millis = Timestamp::from_millis;
    let group = world::group_name();
    let first = record::Leadership::first(&group, &world::member("a"), position::Term(1));
    let mut failovers = failovers::Failovers::default();
    let cause = failovers.update(millis(1_000), &first.ended(), None, 21);
    assert_eq!(cause, Some(suspicion::Cause::Unfinished));
    let local = failovers::LocalState {
        is_holder: false,
        holder: promotion_lock::Signs::default(),
        store_regained: None,
        is_disconnected: false,
        rank: 2,
        witnesses: 15,
    };
    let is_responsible = |now, local| failovers.is_responsible(millis(now), group.as_str(), local);
    assert!(is_responsible(7_000, local));
    let offline = failovers::LocalState {
        is_disconnected: true,
        ..local
    };
    assert!(!is_responsible(7_000, offline));
    let reconnected = failovers::LocalState {
        store_regained: Some(millis(6_800)),
        ..local
    };
    assert!(!is_responsible(7_000, reconnected));
    assert!(is_responsible(8_400, reconnected));
}
